package controller

import (
	"context"
	"errors"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

// allocation is the record of a chunk of a job's tasks in a share, as it was read.
type allocation struct {
	chunk   int
	record  model.CompactRecord
	version uint64
}

// loadShare reads what the share's earlier owners left: the jobs that were assigned to
// it, and where their tasks have places. What an earlier owner sent and is still on its
// way fails: it carries an older version of the share's record.
func (l *Lead) loadShare(ctx context.Context) bool {
	if _, ok := l.readAll(ctx, "fleet/", l.restoreFleet); !ok {
		return false
	}
	if !l.c.Compact {
		l.log.Error("share not taken over: the forms of this version are not in use yet")
		return false
	}
	now := l.n.Now()
	var assigned []wire.Item
	revision, ok := l.readAll(ctx, share.AssignmentsOf(l.owner.name), func(it wire.Item) { assigned = append(assigned, it) })
	if !ok {
		return false
	}
	l.owner.seen = revision
	for _, it := range assigned {
		l.takeAssignment(it.Key, it.Value, uint64(it.Version))
	}
	_, ok = l.readAll(ctx, share.AllocationsOf(l.owner.name), func(it wire.Item) { l.restoreAllocation(it, now) })
	if !ok {
		return false
	}
	l.speeds.Apply(l.c)
	l.c.Restored(now)
	for j := range l.owner.stopped {
		l.stopPlaces(j, now) // read after it was known that the job is to be stopped
	}
	l.loaded = true
	return true
}

// readAllocation reads a record of places in a share.
func readAllocation(it wire.Item) (job string, a allocation, ok bool) {
	_, job, chunk, ok := share.ParseAllocationKey(it.Key)
	a = allocation{chunk: chunk, version: uint64(it.Version)}
	return job, a, ok && wire.Unmarshal(it.Value, &a.record) == nil
}

func (l *Lead) restoreAllocation(it wire.Item, now micro.Time) {
	id, a, ok := readAllocation(it)
	j := l.c.Jobs[id]
	if !ok || j == nil {
		l.dropAllocation(it)
		return
	}
	l.c.RestoreCompact(j, a.chunk, &a.record, a.version, now)
}

// dropAllocation deletes a record that an earlier owner had no time to delete after its
// assignment, or that a late write of it created again.
func (l *Lead) dropAllocation(it wire.Item) {
	l.log.Info("allocation without an assignment", "key", it.Key)
	entry := l.records.Entry(it.Key)
	entry.SetVersion(uint64(it.Version))
	entry.Build = func() (any, uint64) { return nil, 0 }
	entry.Touch(l.n.Now(), writer.Idle)
}

// takeAssignment takes in a job that the leader assigned, or what became of it.
func (l *Lead) takeAssignment(key string, value []byte, version uint64) {
	var a share.Assignment
	_, id, ok := share.ParseAssignmentKey(key)
	if !ok || wire.Unmarshal(value, &a) != nil || a.Job.Tasks < 1 {
		l.log.Error("assignment not understood", "key", key)
		return
	}
	entry := l.owner.assignments[id]
	if entry == nil {
		entry = l.records.Entry(key)
		entry.Build = func() (any, uint64) { return nil, 0 } // an owner only ever deletes it
		entry.Saved = func(uint64) { l.unassigned(id) }
		l.owner.assignments[id] = entry
	}
	entry.SetVersion(max(entry.Version(), version))
	j := l.c.Jobs[id]
	if j == nil {
		a.Job.Needs, a.Job.NeedsIn = nil, 0 // all of them are done
		j = l.take(a.Job, l.n.Now(), l.n.Wall())
		l.owner.assignedAt[id] = micro.Time(a.At)
		l.log.Info("job assigned", "job", id, "class", a.Job.Class, "tasks", a.Job.Tasks, "at_once", a.Tasks)
	}
	if a.Tasks > j.Most {
		j.Most = a.Tasks
		l.c.Changed()
	}
	if a.Stop {
		l.stopAssigned(j)
	}
}

// stopAssigned stops the tasks of a job that is being withdrawn. The leader is told at
// once: its user waits.
func (l *Lead) stopAssigned(j *model.Job) {
	if l.owner.stopped[j] || j.Over() {
		return
	}
	l.owner.stopped[j] = true
	l.owner.press = true
	l.c.BeginAbort(j)
	l.stopPlaces(j, l.n.Now())
}

// stopPlaces tells all tasks of a withdrawn job to stop.
func (l *Lead) stopPlaces(j *model.Job, now micro.Time) {
	for _, p := range j.AllPlaces() {
		l.c.Stop(p, "withdrawn", 0, now)
	}
}

// watchAssignments follows the share's assignments.
func (l *Lead) watchAssignments(ctx context.Context, revision uint64) {
	prefix := share.AssignmentsOf(l.owner.name)
	for {
		events, err := l.n.Store.Watch(ctx, prefix, revision, tableWatch)
		switch {
		case errors.Is(err, store.ErrCompacted):
			// What was missed cannot be read as changes: the share is loaded anew.
			l.log.Info("share given up", "why", "the store's history is too short to follow")
			l.stop()
			l.n.tendOwners()
			return
		case err == nil:
			revision = max(revision, uint64(events.Revision))
			l.post(func() { l.assignmentEvents(events) })
		}
		if !l.sleep(tablePause) {
			return
		}
	}
}

func (l *Lead) assignmentEvents(events wire.Events) {
	for _, e := range events.Events {
		if e.Put != "" {
			l.takeAssignment(e.Put, e.Value, uint64(e.Version))
		}
	}
	l.owner.seen = max(l.owner.seen, uint64(events.Revision))
}

// How long a job may wait in a share without ever having had a place before it is handed
// back: there may be room elsewhere by now.
const handBackAfter = 30 * micro.Second

// closeAssignments deletes the assignments of jobs that are over and of which nothing is
// left in the share, and of those that found no room in it.
func (l *Lead) closeAssignments(now micro.Time) {
	for id, entry := range l.owner.assignments {
		j := l.c.Jobs[id]
		if j == nil || entry.Dirty() {
			continue
		}
		over := j.Over() && j.HeldN == 0
		vain := j.State == model.Active && j.Untouched() && l.n.Wall()-l.owner.assignedAt[id] > handBackAfter
		if vain {
			l.log.Info("job handed back", "job", id)
			l.c.Withhold(j)
		}
		if over || vain {
			entry.Touch(now, writer.Soon)
		}
	}
}

// unassigned forgets a job whose assignment is deleted. Only then do the records of its
// tasks go: they say that they are done. Deleted first, they once left a job that was
// over to the share's next owner as one that had never begun, and it ran again.
func (l *Lead) unassigned(id string) {
	delete(l.owner.assignments, id)
	delete(l.owner.assignedAt, id)
	j := l.c.Jobs[id]
	if j == nil {
		return
	}
	delete(l.c.Jobs, id)
	delete(l.owner.finished, j)
	delete(l.owner.stopped, j)
	l.known.Delete(id)
	if j.Over() {
		for _, ch := range j.Chunks {
			l.records.chunk(ch).Touch(l.n.Now(), writer.Lazy)
		}
	}
	l.records.forget(j)
	l.speeds.Forget(id)
}
