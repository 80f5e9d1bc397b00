package controller

import (
	"context"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

// adoption is how far the leader is with taking back a share that its owner released.
type adoption struct {
	reading bool
	taken   bool                     // its machines and jobs are the leader's
	left    map[string]*writer.Entry // allocations that are still to be deleted
}

// adoptShare takes back a released share: first what the store holds of it is read, then
// its jobs and machines join the leader's, then its records are deleted.
func (l *Lead) adoptShare(e share.Entry, now micro.Time) {
	a := l.sharing.adopted[e.Name]
	if a == nil {
		a = &adoption{left: map[string]*writer.Entry{}}
		l.sharing.adopted[e.Name] = a
	}
	switch {
	case a.reading:
	case !a.taken:
		a.reading = true
		go l.readShare(e, a)
	case len(a.left) == 0 && !l.assignedTo(e.Name):
		delete(l.sharing.adopted, e.Name)
		l.deleteShare(e)
	default:
		l.clearShare(e.Name, a, now)
	}
}

// readShare reads the allocations of a released share.
func (l *Lead) readShare(e share.Entry, a *adoption) {
	var items []wire.Item
	after, ok := "", true
	for more := true; more && ok; {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		page, err := l.n.Store.Range(ctx, store.Routine, share.AllocationsOf(e.Name), after, 1000)
		cancel()
		if ok = err == nil; ok {
			for _, it := range page.Items {
				items = append(items, it)
				after = it.Key
			}
			more = page.More && len(page.Items) > 0
		}
	}
	l.post(func() {
		a.reading = false
		if ok && !a.taken {
			l.takeShareBack(e, a, items)
		}
	})
}

// takeShareBack joins a released share's machines and jobs to the leader's. Its last
// owner gave out tokens above those of this term, perhaps: the leader's go above them.
func (l *Lead) takeShareBack(e share.Entry, a *adoption, items []wire.Item) {
	now := l.n.Now()
	first := e.Version << tokenBits
	l.token = max(l.token, first)
	l.c.RaiseBase(first)
	a.taken = true
	for _, m := range l.c.List() {
		if m.Foreign && e.Record.Selector.Matches(attributes(m.TypeName, m.Zone, m.Spot)) {
			l.c.Receive(m, now)
		}
	}
	l.c.Repartition()
	for _, x := range l.sharing.assigned {
		if x.share == e.Name {
			l.c.Unassign(x.job, now)
		}
	}
	for _, it := range items {
		l.takeAllocationBack(it, a, now)
	}
	for _, x := range l.sharing.assigned {
		if x.share == e.Name {
			l.takenBack(x, now)
		}
	}
	l.log.Info("share taken back", "share", e.Name, "records", len(items))
}

// takenBack goes on with a job of a share that was taken back, as with any other.
func (l *Lead) takenBack(x *assignedJob, now micro.Time) {
	j := x.job
	l.c.RestoredJob(j, now)
	if x.zones = nil; j.Over() && j.HeldN > 0 {
		l.unproven[j] = true
	}
	if x.stopping && !x.ended && j.State == model.Aborting {
		x.ended = true // the usual way, from here on
		l.stopPlaces(j, now)
		l.leaving[j] = true
	}
}

// takeAllocationBack takes the places of a record into the leader's own, which is
// written before that is deleted.
func (l *Lead) takeAllocationBack(it wire.Item, a *adoption, now micro.Time) {
	id, alloc, ok := readAllocation(it)
	entry := l.records.Entry(it.Key)
	entry.SetVersion(uint64(it.Version))
	a.left[it.Key] = entry
	j := l.c.Jobs[id]
	var ch *model.Chunk
	if ok && j != nil && alloc.chunk < len(j.Chunks) {
		ch = j.Chunks[alloc.chunk]
		if !ch.Stored { // else an earlier leader has moved it
			l.c.TakeBack(j, alloc.chunk, &alloc.record, now)
			l.records.chunk(ch).Touch(now, writer.Soon)
		}
	}
	entry.Build = func() (any, uint64) {
		if ch != nil && !ch.Stored && !(j.Over() && j.HeldN == 0) {
			return writer.NotYet, 0
		}
		return nil, 0
	}
	entry.Saved = func(uint64) { delete(a.left, it.Key) }
}

// clearShare deletes what is left of a share that was taken back.
func (l *Lead) clearShare(name string, a *adoption, now micro.Time) {
	for _, entry := range a.left {
		entry.Touch(now, writer.Soon)
	}
	if len(a.left) > 0 {
		return // a next leader needs them to know where the allocations belong
	}
	for _, x := range l.sharing.assigned {
		if x.share != name {
			continue
		}
		x.entry.Build = func() (any, uint64) { return nil, 0 }
		x.entry.Saved = func(uint64) { l.forgetAssignment(x) }
		x.entry.Touch(now, writer.Soon)
	}
}

// assignedTo reports whether the record of an assignment to a share is left.
func (l *Lead) assignedTo(name string) bool {
	for _, x := range l.sharing.assigned {
		if x.share == name {
			return true
		}
	}
	return false
}
