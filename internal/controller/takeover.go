package controller

import (
	"context"
	"errors"
	"strings"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// load reads everything from the store into the fresh model. It returns the revision
// from which changes are to be watched.
func (l *Lead) load(ctx context.Context) (revision uint64, ok bool) {
	if !l.awaitCatalog() {
		return 0, false
	}
	now, wall := l.n.Now(), l.n.Wall()
	// The forms in use come first: they say how to read the rest.
	var images []wire.Item
	_, ok = l.readAll(ctx, "fleet/", func(it wire.Item) {
		if isImageKey(it.Key) {
			images = append(images, it)
			return
		}
		l.restoreFleet(it)
	})
	if !ok {
		return 0, false
	}
	k := newKept()
	if !l.loadAssignments(ctx, &k) {
		return 0, false
	}
	if revision, ok = l.readAll(ctx, "job/", k.job); !ok {
		return 0, false
	}
	if _, ok = l.readAll(ctx, "run/", k.run); !ok {
		return 0, false
	}
	l.adopt(&k, now, wall)
	if _, ok = l.readAll(ctx, rentalPrefix, func(it wire.Item) { l.restoreRental(it, now, wall) }); !ok {
		return 0, false
	}
	l.restoreImages(images, now)
	l.restored(now)
	return revision, true
}

// awaitCatalog waits for the machine types; false if the term ended.
func (l *Lead) awaitCatalog() bool {
	for l.n.catalog.Load() == nil {
		if !l.sleep(50 * micro.Millisecond) {
			return false
		}
	}
	l.c.SetCatalog(l.n.catalog.Load())
	return true
}

// readAll reads all keys with a prefix, page by page, until it has them all or the
// term ended. The revision is the lowest of the pages'.
func (l *Lead) readAll(ctx context.Context, prefix string, each func(wire.Item)) (revision uint64, ok bool) {
	after := ""
	for {
		page, err := l.n.Store.Range(ctx, store.Leadership, prefix, after, 1000)
		if err != nil {
			l.log.Info("takeover read failed", "prefix", prefix, "err", err)
			if !l.sleep(100 * micro.Millisecond) {
				return 0, false
			}
			continue
		}
		if revision == 0 || uint64(page.Revision) < revision {
			revision = uint64(page.Revision)
		}
		for _, it := range page.Items {
			each(it)
			after = it.Key
		}
		if !page.More || len(page.Items) == 0 {
			return revision, true
		}
	}
}

// restoreFleet reads one of the records of the fleet as a whole.
func (l *Lead) restoreFleet(it wire.Item) {
	switch it.Key {
	case speedKey:
		var r sched.Record
		if wire.Unmarshal(it.Value, &r) == nil {
			l.speeds.Restore(r)
			l.records.speed.SetVersion(uint64(it.Version))
		}
	case firstKey:
		var r firstRecord
		if wire.Unmarshal(it.Value, &r) == nil {
			l.first = r.Machine
			l.records.first.SetVersion(uint64(it.Version))
		}
	case formatKey:
		if l.readFormat(it) {
			l.raised()
		}
	case share.MarkerKey:
		l.markedShares(it)
	}
}

// restoreImages reads which machines had which images; it comes after the machines.
func (l *Lead) restoreImages(items []wire.Item, now micro.Time) {
	for _, it := range items {
		var record model.ImageRecord
		if wire.Unmarshal(it.Value, &record) == nil {
			l.c.RestoreImages(record, now)
		}
		l.records.images.restored(it)
	}
}

// restored completes the model once everything was read.
func (l *Lead) restored(now micro.Time) {
	l.speeds.Apply(l.c)
	for _, m := range l.c.Machines {
		if m.Type == nil && m.TypeName != "" {
			m.Type = l.c.Types[m.TypeName]
		}
	}
	l.c.Restored(now)
	for _, j := range l.c.Jobs {
		if j.State == model.Aborted && j.HeldN > 0 {
			l.unproven[j] = true
		}
	}
	l.loaded = true
	l.resumeStops()
}

// adopt puts what was read into the model.
func (l *Lead) adopt(k *kept, now, wall micro.Time) {
	for id, e := range k.ends {
		at := now
		if e.At > 0 {
			at -= max(wall-micro.Time(e.At), 0)
		}
		l.c.Ends[id] = model.End{Aborted: e.State == wire.JobAborted, At: at}
	}
	for id, job := range k.specs {
		end, over := k.ends[id]
		if over && len(k.chunks[id]) == 0 && len(k.compact[id]) == 0 && k.assigned[id] == nil {
			// Over, and none of its tasks holds a place. Polls need not read the store.
			l.n.finals.put(finalStatus(id, end, job.Tasks))
			continue
		}
		if over {
			job.Needs, job.NeedsIn = nil, 0
		} else if !k.whole(&job) {
			l.lookups[id] = true
			continue
		}
		j := l.take(job, now, wall)
		if over {
			l.c.End(j, end.State == wire.JobAborted, now)
		}
		for _, ch := range k.compact[id] {
			var rec model.CompactRecord
			if wire.Unmarshal(ch.it.Value, &rec) == nil {
				l.c.RestoreCompact(j, ch.n, &rec, uint64(ch.it.Version), now)
			}
		}
		for _, ch := range k.chunks[id] {
			var rec model.ChunkRecord
			if wire.Unmarshal(ch.it.Value, &rec) == nil {
				l.c.Restore(j, ch.n, &rec, uint64(ch.it.Version), now)
			}
		}
		l.restoreAssigned(j, k.assigned[id])
	}
}

// finalStatus is what polls are told of a job whose end is in the store.
func finalStatus(id string, end model.EndRecord, tasks int) wire.JobStatus {
	s := wire.JobStatus{ID: id, State: end.State}
	if s.State == wire.JobDone {
		s.Done = tasks
	}
	return s
}

// take adds a job to the model.
func (l *Lead) take(job wire.Job, now, wall micro.Time) *model.Job {
	l.known.Store(job.ID, true)
	age := max(wall-micro.Time(job.SubmittedAt), 0)
	j := l.c.AddJob(job, now-age, now)
	j.Class.Quick = l.goals.Quick(job.Class)
	return j
}

func (l *Lead) addJob(job wire.Job) {
	if l.c.Jobs[job.ID] != nil {
		return
	}
	if _, over := l.c.Ends[job.ID]; over {
		return
	}
	if job.NeedsIn > 0 {
		l.lookups[job.ID] = true // the rest of what it awaits is in keys of its own
		return
	}
	j := l.take(job, l.n.Now(), l.n.Wall())
	l.log.Info("job", "job", job.ID, "class", job.Class, "kind", string(job.Kind), "tasks", job.Tasks, "state", j.State.String(), "awaits", job.Needs, "unmet", j.Unmet)
}

// watch finds jobs that other nodes accepted.
func (l *Lead) watch(ctx context.Context, rev uint64) {
	for {
		ev, err := l.n.Store.Watch(ctx, "job/", rev, 10*micro.Second)
		switch {
		case errors.Is(err, store.ErrCompacted):
			l.resign("the store's history is too short to follow")
			return
		case err == nil:
			rev = max(rev, uint64(ev.Revision))
			for _, e := range ev.Events {
				if !strings.HasSuffix(e.Put, "/spec") {
					continue
				}
				var job wire.Job
				if wire.Unmarshal(e.Value, &job) == nil && job.Tasks > 0 {
					l.post(func() { l.addJob(job) })
				}
			}
		}
		if !l.sleep(700 * micro.Millisecond) {
			return
		}
	}
}
