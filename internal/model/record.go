package model

import (
	"encoding/json"
	"sort"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// PlaceRecord is a taken place in a chunk's record.
type PlaceRecord struct {
	//lint:ignore U1000 the codec reads its tag: a list without field names, since records are written often
	_msgpack struct{} `msgpack:",as_array"`

	Index   int
	Attempt wire.Count
	Machine string
	Session wire.Count
	Zone    string
}

// MarshalJSON gives the form that the store's limits count: a list, as in the
// store. With its fields' names, records that fit were once put aside as too large.
func (r PlaceRecord) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Index, r.Attempt, r.Machine, r.Session, r.Zone})
}

// ChunkRecord is a chunk of tasks as the store keeps it.
type ChunkRecord struct {
	Places []PlaceRecord `msgpack:"p" json:"p"`
	Done   [][2]int      `msgpack:"d" json:"d"` // first and last of each range
	Tries  [][2]int      `msgpack:"t" json:"t"` // task and attempt, where no place is taken
}

// EndRecord is the end of a job: created once, the first one wins.
type EndRecord struct {
	State wire.JobState `msgpack:"state" json:"state"`
	At    int64         `msgpack:"at,omitempty" json:"at,omitempty"` // wall clock, microseconds: the clocks of what awaits the job start then
}

// Record builds the chunk's record from the model.
func (ch *Chunk) Record() ChunkRecord {
	rec := ChunkRecord{Places: []PlaceRecord{}, Done: [][2]int{}, Tries: [][2]int{}}
	held := map[int]bool{}
	for _, p := range ch.Places {
		held[p.Index] = true
		rec.Places = append(rec.Places, PlaceRecord{Index: p.Index, Attempt: wire.Count(p.Attempt), Machine: p.Machine.Name, Session: wire.Count(p.Session), Zone: p.Machine.Zone})
	}
	sort.Slice(rec.Places, func(a, b int) bool { return rec.Places[a].Index < rec.Places[b].Index })
	first := ch.N * ch.Job.per
	for i := first; i < min(first+ch.Job.per, len(ch.Job.Tasks)); i++ {
		t := &ch.Job.Tasks[i]
		switch {
		case t.Done:
			if n := len(rec.Done); n > 0 && rec.Done[n-1][1] == i-1 {
				rec.Done[n-1][1] = i
			} else {
				rec.Done = append(rec.Done, [2]int{i, i})
			}
		case t.Attempt > 0 && !held[i]:
			rec.Tries = append(rec.Tries, [2]int{i, int(t.Attempt)})
		}
	}
	return rec
}

// Restore reads a chunk's record, in its first form, into a job that was just
// added. Every place in it counts as taken, with a start that may still be under
// way; but no start of this term goes out for it. The records lag behind what the
// earlier leader knew: a place that it had given up, or had taken for a late copy
// of a report, was started anew under the next one, beside what had taken its
// part of the limit, or beside the task itself elsewhere. What a record in the
// later form covers is left to that.
func (c *Cluster) Restore(j *Job, n int, rec *ChunkRecord, stamp uint64, now micro.Time) {
	if n < 0 || n*ChunkTasks >= len(j.Tasks) {
		return
	}
	if j.per == ChunkTasks && !c.Compact {
		j.Chunks[n].Stamp = stamp
	} else {
		old := &Old{Job: j, N: n, Stamp: stamp}
		for i := n * ChunkTasks; i < min((n+1)*ChunkTasks, len(j.Tasks)); i += j.per {
			ch := j.Chunk(i)
			ch.Old = old
			if !ch.Stored {
				old.Left++
			}
		}
		c.Outdated(old)
	}
	ok := func(i int) bool {
		return i >= 0 && i < len(j.Tasks) && i/ChunkTasks == n && !j.Chunk(i).Stored
	}
	c.restore(j, rec, ok, now)
}

func (c *Cluster) restore(j *Job, rec *ChunkRecord, ok func(i int) bool, now micro.Time) {
	for _, t := range rec.Tries {
		if ok(t[0]) {
			j.Tasks[t[0]].Attempt = uint32(t[1])
			j.GangTry = max(j.GangTry, uint32(t[1]))
		}
	}
	for _, r := range rec.Done {
		for i := r[0]; i <= r[1] && ok(i); i++ {
			if !j.Tasks[i].Done {
				j.Tasks[i].Done = true
				j.DoneN++
				c.take(j, i)
			}
		}
	}
	for _, r := range rec.Places {
		if !ok(r.Index) {
			continue
		}
		if j.State == Active && !j.Tasks[r.Index].Done {
			c.take(j, r.Index)
		}
		j.Tasks[r.Index].Attempt = max(j.Tasks[r.Index].Attempt, uint32(r.Attempt))
		j.GangTry = max(j.GangTry, uint32(r.Attempt))
		m := c.Machine(r.Machine, now)
		if m.Zone == "" && r.Zone != "" {
			c.Describe(m, m.TypeName, r.Zone, m.Spot)
		}
		p := &Place{
			Job: j, Index: r.Index, Name: wire.TaskName(j.Spec.ID, r.Index), Attempt: uint64(r.Attempt),
			Machine: m, Session: uint64(r.Session), State: Starting, Direct: c.BaseTok - 1,
			Scaled: j.Spec.CPUs, Planned: now, known: true, Restored: true,
		}
		c.hold(p)
	}
}

// Restored completes a takeover: all records have been read.
func (c *Cluster) Restored(now micro.Time) {
	for _, j := range c.Jobs {
		c.RestoredJob(j, now)
	}
}

// RestoredJob goes on with a job all of whose records have been read.
func (c *Cluster) RestoredJob(j *Job, now micro.Time) {
	switch {
	case j.Over():
		for _, p := range j.AllPlaces() {
			c.Stop(p, "job over", 0, now)
		}
	case j.State == Active && j.DoneN == len(j.Tasks):
		c.become(j, Finishing)
		c.Finished(j)
	case j.State == Active && j.Spec.Kind == wire.Gang && j.HeldN > 0 && j.HeldN < len(j.Tasks):
		// Only part of the attempt was written: it never started whole.
		c.gangLost(j, now)
	}
}
