package controller

import (
	"context"
	"errors"
	"math"
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

const (
	// freshRoom is how old what an owner told of its room may be.
	freshRoom = 3 * micro.Second
	// assignAfter is how long a job waits for room among the leader's own machines
	// before it goes to a share, and assignPartAfter before an array or a service goes
	// to one that has room for a part of it.
	assignAfter     = micro.Second
	assignPartAfter = 15 * micro.Second
	// assignAtOnce is how many jobs are assigned in one round.
	assignAtOnce = 24
)

// assignJobs gives jobs that wait to shares that have room for them.
func (l *Lead) assignJobs(now micro.Time) {
	left := assignAtOnce
	var open []share.Entry
	l.table().Each(func(e share.Entry) bool {
		if v := l.view(e.Name); e.Record.State == share.Owned && now-v.roomAt < freshRoom && len(v.room) > 0 {
			open = append(open, e)
		}
		return true
	})
	if len(open) == 0 {
		return
	}
	for _, j := range l.assignable() {
		for _, e := range open {
			if left > 0 && l.assignTo(e, j, now) {
				left--
				break
			}
		}
	}
}

// assignable lists the jobs that may be assigned, in the order in which they get room.
func (l *Lead) assignable() []*model.Job {
	var jobs []*model.Job
	for j := range l.c.Pending {
		if j.State == model.Active && j.Untouched() {
			jobs = append(jobs, j)
		}
	}
	sort.Slice(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		if x.Level != y.Level {
			return x.Level < y.Level
		}
		if x.Since != y.Since {
			return x.Since < y.Since
		}
		return x.Spec.ID < y.Spec.ID
	})
	return jobs
}

// assignTo assigns a job to a share if that has room for it.
func (l *Lead) assignTo(e share.Entry, j *model.Job, now micro.Time) bool {
	waited := now - j.WaitsFrom
	if !slices.Contains(e.Record.Teams, j.Spec.Team) && (len(e.Record.Teams) > 0 || waited < assignAfter) {
		return false
	}
	v := l.view(e.Name)
	whole := len(j.Tasks)
	fit := l.fits(v.room, &j.Spec)
	part := waited > assignPartAfter && j.Spec.Kind != wire.Gang && !j.Spec.Spread && fit > 0
	if fit < whole && !part {
		return false
	}
	record := share.Assignment{Job: j.Spec, At: int64(l.n.Wall())}
	if wire.JSONSize(record) > l.ValueBytes() {
		return false
	}
	n := l.c.Assign(j, e.Name)
	if n == 0 {
		return false
	}
	l.takeRoom(v, &j.Spec, min(n, fit))
	record.Tasks = n
	l.log.Info("job assigned", "job", j.Spec.ID, "share", e.Name, "owner", e.Record.Owner.Node, "tasks", whole, "at_once", n)
	l.storeAssignment(e.Name, j, record).entry.Touch(now, writer.Soon)
	return true
}

// fits is how many of a job's tasks fit the room as it is, by its rules on zones.
func (l *Lead) fits(room []share.Room, s *wire.Job) int {
	zones := map[string]int{}
	for i := range room {
		zones[room[i].Zone] += room[i].Count * l.each(&room[i], s)
	}
	sum, most := 0, 0
	for _, n := range zones {
		if s.Spread {
			n = min(n, (s.Tasks+1)/2)
		}
		sum, most = sum+n, max(most, n)
	}
	if s.OneZone {
		return most
	}
	return sum
}

// each is how many of a job's tasks one machine of a kind of room takes.
func (l *Lead) each(r *share.Room, s *wire.Job) int {
	t := l.c.Types[r.Type]
	if t == nil || !sched.Allowed(s, t, r.Zone, r.Spot) {
		return 0
	}
	n := math.MaxInt32
	for _, x := range []struct{ free, need float64 }{{r.CPU, max(s.CPUs, sched.Scaled(s.CPUs, t.K, t.CPUs))}, {r.GPU, s.GPUs}, {r.Mem, s.MemoryGB}} {
		if x.need > 0 {
			n = min(n, int(x.free/x.need+1e-9))
		}
	}
	return n
}

// takeRoom takes the room of so many tasks out of what is free.
func (l *Lead) takeRoom(v *shareView, s *wire.Job, tasks int) {
	for i := range v.room {
		r := &v.room[i]
		each := l.each(r, s)
		if each == 0 {
			continue
		}
		machines := min((tasks+each-1)/each, r.Count)
		r.Count -= machines
		if tasks -= machines * each; tasks <= 0 {
			return
		}
	}
}

// storeAssignment keeps the record of an assignment.
func (l *Lead) storeAssignment(name string, j *model.Job, record share.Assignment) *assignedJob {
	a := &assignedJob{job: j, share: name, record: record, entry: l.records.Entry(share.AssignmentKey(name, j.Spec.ID))}
	l.sharing.assigned[j.Spec.ID] = a
	a.entry.Guards = func() []wire.Guard { return l.assignmentGuards(a) }
	a.entry.Build = func() (any, uint64) {
		if a.entry.Version() > 0 || !a.stored && !j.Over() {
			return a.record, 0
		}
		l.assignmentDeleted(a)
		return writer.NotYet, 0
	}
	a.entry.Saved = func(uint64) {
		a.stored = true
		v := l.view(name)
		v.latest = max(v.latest, a.entry.Version())
	}
	return a
}

// assignmentGuards are further conditions of the write that creates an assignment. An
// earlier try without an answer may be carried out late, after the owner has deleted the
// record: with the condition on its key alone, a job whose user was told that it is
// cancelled was assigned once more, and ran. Later writes carry their key's version.
func (l *Lead) assignmentGuards(a *assignedJob) []wire.Guard {
	if a.entry.Version() > 0 {
		return nil
	}
	guards := []wire.Guard{{Key: endKey(a.job.Spec.ID)}}
	if e, ok := l.table().Get(a.share); ok {
		guards = append(guards, e.Guard())
	}
	return guards
}

// assignmentDeleted takes in that an owner has deleted the record of an assignment. It
// does so once nothing of the job is left in the share: after the job's end, or to hand
// it back. A late write can create the record of the former no more; for the latter the
// share's record has to change first.
func (l *Lead) assignmentDeleted(a *assignedJob) {
	if a.job.Over() {
		l.forgetAssignment(a)
		return
	}
	if e, ok := l.table().Get(a.share); ok && !a.returned {
		a.returned, a.fence = true, e.Version
	}
}

// tendReturned brings jobs that were handed back to the leader's own, once no late write
// can assign them again.
func (l *Lead) tendReturned() {
	for _, a := range l.sharing.assigned {
		if !a.returned || a.looking {
			continue
		}
		e, ok := l.table().Get(a.share)
		switch {
		case ok && e.Version > a.fence:
			l.lookForReturned(a)
		case ok && e.Away() && !l.sharing.sending[e.Name]:
			l.sendShare(e.Name, e.Put(e.Record.Renewed(int64(l.n.Wall())), l.term.Guard()))
		}
	}
}

// lookForReturned looks whether a late write has assigned a job again before the share's
// record changed.
func (l *Lead) lookForReturned(a *assignedJob) {
	a.looking = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shareTxnWait)
		defer cancel()
		it, err := l.n.Store.Get(ctx, store.Routine, a.entry.Key)
		l.post(func() {
			a.looking = false
			switch {
			case errors.Is(err, store.ErrNotFound):
				l.forgetAssignment(a)
			case err == nil:
				a.returned = false // assigned again: its owner has it
				a.entry.SetVersion(uint64(it.Version))
			}
		})
	}()
}

// forgetAssignment makes a job the leader's own again, or lets go of one that is over.
func (l *Lead) forgetAssignment(a *assignedJob) {
	if l.sharing.assigned[a.job.Spec.ID] != a {
		return
	}
	delete(l.sharing.assigned, a.job.Spec.ID)
	l.records.Drop(a.entry)
	a.entry.Clean()
	l.c.Unassign(a.job, l.n.Now())
	if a.stopping && !a.ended && a.job.State == model.Aborting {
		l.leaving[a.job] = true // nothing of it is anywhere: its user may be told
	}
}

// assignmentsChanged takes in what owners did to assignments.
func (l *Lead) assignmentsChanged(events wire.Events) {
	for _, e := range events.Events {
		if e.Delete == "" {
			continue
		}
		_, id, ok := share.ParseAssignmentKey(e.Delete)
		if a := l.sharing.assigned[id]; ok && a != nil && a.entry.Key == e.Delete && uint64(e.Version) > a.entry.Version() && (a.stored || a.entry.Version() > 0) {
			a.entry.SetVersion(0)
			a.stored = true
			l.assignmentDeleted(a)
		}
	}
}

// leaveShare begins the withdrawal of a job that was assigned. That its tasks are to be
// stopped is stored first, for whoever owns the share by then.
func (l *Lead) leaveShare(j *model.Job) {
	a := l.sharing.assigned[j.Spec.ID]
	if a == nil || a.stopping {
		return
	}
	l.c.BeginAbort(j)
	a.stopping = true
	a.record.Stop = true
	a.entry.Touch(l.n.Now(), writer.First)
}

// stoppedInShare takes in that the owner starts no task of a withdrawn job any more, and
// tells those that run to stop. Whoever owns the share later reads the same from the
// store; so the user may be told once the tasks are gone, or surely will be in time.
func (l *Lead) stoppedInShare(name string, s share.Stopped, now micro.Time) {
	a := l.sharing.assigned[s.Job]
	if a == nil || a.share != name || !a.stopping {
		return
	}
	if s.Held == 0 {
		a.zones = nil
	}
	if a.ended || s.Held > 0 && !l.goneInTime(s.Zones, now) {
		return
	}
	if a.ended = true; s.Held > 0 {
		a.zones = s.Zones
		l.bar() // keepers there must not keep the tasks alive any longer
	}
	if a.job.State == model.Aborting {
		l.records.end(a.job, wire.JobAborted)
	}
}

// goneInTime reports whether the tasks of a withdrawn job in these zones end in time by
// themselves, whatever keepers do from now on.
func (l *Lead) goneInTime(zones []string, now micro.Time) bool {
	if l.n.Cfg.ProveFirst() {
		return false
	}
	for _, zone := range zones {
		if limit := l.ledger.Limit(zone, now); limit > 0 && limit+l.c.Lease+config.CancelSlack > now+l.n.Cfg.CancelSpan() {
			return false
		}
	}
	return true
}

// barShares adds the zones where tasks of withdrawn jobs may still run in shares.
func (l *Lead) barShares(barred map[string]bool) {
	if l.sharing == nil {
		return
	}
	for _, a := range l.sharing.assigned {
		for _, zone := range a.zones {
			barred[zone] = true
		}
	}
}

// needInShare fits what a job takes of its team's limits to what its tasks still need:
// less as they end, and more, up to all of them, where the limits leave room.
func (l *Lead) needInShare(j *model.Job, need int) {
	a := l.sharing.assigned[j.Spec.ID]
	if need < 0 || a == nil || a.stopping {
		return
	}
	l.c.Release(j, need)
	if more := l.c.ReserveMore(j, need-a.record.Tasks); more > 0 {
		a.record.Tasks += more // counted first, and used only once it is stored
		a.entry.Touch(l.n.Now(), writer.Soon)
	}
}
