package model

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A job may be assigned as a whole to a share of the machines, whose owner places its
// tasks. From then on all of them count against its team's limit, until the record of
// the assignment is gone: only then is surely none of them on a machine.

// Untouched reports whether none of a job's tasks ever had a place: only such a job may
// be assigned, or handed back.
func (j *Job) Untouched() bool {
	if j.HeldN > 0 || j.DoneN > 0 || j.fresh > 0 {
		return false
	}
	for _, ch := range j.Chunks {
		if ch.Stored || ch.Stamp != 0 || ch.Ver > 0 {
			return false
		}
	}
	return true
}

// Assign gives a job that waits to a share, and says how many of its tasks its team's
// limits leave room for: all of them, or some of an array's; 0: it was not assigned.
func (c *Cluster) Assign(j *Job, share string) int {
	if j.State != Active || !j.Untouched() {
		return 0
	}
	n := len(j.Tasks)
	if j.Team != nil && !j.Team.Allows(j.Spec.CPUs, j.Spec.GPUs, n) {
		if j.Spec.Kind != wire.Array {
			return 0
		}
		if n = j.Team.Room(j.Spec.CPUs, j.Spec.GPUs); n == 0 {
			return 0
		}
	}
	c.become(j, Assigned)
	c.reserve(j, share, n)
	return n
}

// RestoreAssigned notes that a job's assignment was read from the store, whatever the
// limits are now.
func (c *Cluster) RestoreAssigned(j *Job, share string, tasks int) {
	if j.State == Active {
		c.become(j, Assigned)
	}
	if j.Share == "" {
		c.reserve(j, share, tasks)
	}
}

func (c *Cluster) reserve(j *Job, share string, tasks int) {
	j.Share, j.Reserved = share, tasks
	c.count(j, tasks)
}

// count changes what a job takes of its team's limits.
func (c *Cluster) count(j *Job, tasks int) {
	if j.Team != nil {
		j.Team.UsedCPU += float64(tasks) * j.Spec.CPUs
		j.Team.UsedGPU += float64(tasks) * j.Spec.GPUs
	}
}

// Unassign notes that the record of a job's assignment is gone: none of its tasks is in
// the share. One that is not over waits for a place again.
func (c *Cluster) Unassign(j *Job, now micro.Time) {
	if j.Share == "" {
		return
	}
	c.count(j, -j.Reserved)
	j.Share, j.Reserved, j.SharedRun, j.SharedDid = "", 0, 0, 0
	if j.State == Assigned {
		c.leaveTeam(j)
		c.become(j, Active)
		j.WaitsFrom = now
	}
	c.Changed()
}

// Finish notes that the owner of its share says that all of a job's tasks are done, and
// has stored it.
func (c *Cluster) Finish(j *Job) {
	if j.State != Assigned {
		return
	}
	j.SharedRun, j.SharedDid = 0, len(j.Tasks)
	c.become(j, Finishing)
	c.Finished(j)
}

// Withhold keeps a job that never had a place from getting one: it is handed back.
func (c *Cluster) Withhold(j *Job) {
	if j.State == Active && j.Untouched() {
		c.become(j, Assigned)
	}
}

// TakeBack reads a record of a share's owner into a job whose places are this
// controller's from now on. The record of its own is still to be written.
func (c *Cluster) TakeBack(j *Job, chunk int, rec *CompactRecord, now micro.Time) {
	if chunk < 0 || chunk >= len(j.Chunks) {
		return
	}
	plain, ok := rec.Expand()
	if !ok {
		c.Log("record not understood", "job", j.Spec.ID, "chunk", chunk)
		return
	}
	for _, r := range plain.Places {
		c.Receive(c.Machine(r.Machine, now), now)
	}
	c.restore(j, &plain, func(i int) bool { return i >= 0 && i < len(j.Tasks) && i/j.per == chunk }, now)
	j.Chunks[chunk].Ver++
}

// Release gives back what a job in a share has reserved beyond what its tasks may still
// need at once.
func (c *Cluster) Release(j *Job, need int) {
	if j.Share == "" || need >= j.Reserved {
		return
	}
	c.count(j, need-j.Reserved)
	j.Reserved = need
	c.Changed()
}

// ReserveMore reserves up to n more places for a job in a share, as far as its team's
// limits leave room.
func (c *Cluster) ReserveMore(j *Job, n int) int {
	if j.Share == "" || n <= 0 {
		return 0
	}
	if j.Team != nil {
		n = min(n, j.Team.Room(j.Spec.CPUs, j.Spec.GPUs))
	}
	j.Reserved += n
	c.count(j, n)
	return n
}
