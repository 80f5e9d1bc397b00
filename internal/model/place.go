package model

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// PlaceState is the state of one attempt's place on a machine.
type PlaceState uint8

// The states of a place.
const (
	Planned  PlaceState = iota // decided; its record is being written
	Starting                   // written; the start may have been sent
	Fetching
	Waiting
	Running
	Saving
	Ended // proven free
)

func (s PlaceState) String() string {
	return [...]string{"planned", "starting", "fetching", "waiting", "running", "saving", "ended"}[s]
}

// Place is a task's place on a machine, for one attempt.
type Place struct {
	Job      *Job // nil for a task of a job that nobody knows
	Index    int
	Name     string // the task's name on the wire
	Attempt  uint64
	Machine  *Machine
	Session  uint64
	State    PlaceState
	Stopping bool
	GraceS   float64
	StopAt   micro.Time
	Why      string
	Direct   uint64 // highest token of a direct start that may be under way
	Ver      uint64 // chunk version that must be saved before the start goes out
	Scaled   float64
	Planned  micro.Time
	RunFrom  micro.Time // first running report; 0: none
	Seen     bool       // a report showed it
	Restored bool       // read from the records of an earlier term: it is never started again
	Last     bool       // on a machine that is avoided, for want of any other
	over     bool       // counted as an overrun
	known    bool       // Job has a task of that index
}

// Level is the rank of the place's job.
func (p *Place) Level() int {
	if p.Job == nil {
		return 99
	}
	return p.Job.Level
}

var placeMoves = map[PlaceState][]PlaceState{
	Planned:  {Starting, Ended, Fetching, Waiting, Running, Saving},
	Starting: {Fetching, Waiting, Running, Saving, Ended},
	Fetching: {Waiting, Running, Saving, Ended},
	Waiting:  {Running, Saving, Ended, Fetching},
	Running:  {Saving, Ended},
	Saving:   {Ended},
}

// move is the one place where a place's state changes.
func (c *Cluster) move(p *Place, to PlaceState) bool {
	if p.State == to {
		return false
	}
	ok := false
	for _, s := range placeMoves[p.State] {
		ok = ok || s == to
	}
	if !ok {
		return false
	}
	was := p.State
	p.State = to
	if p.known {
		if was == Running {
			p.Job.RunningN--
		}
		if to == Running {
			p.Job.RunningN++
			if !p.Job.Started {
				p.Job.Started = true
				c.Log("job runs", "job", p.Job.Spec.ID)
			}
		}
	}
	return true
}

// NewPlace takes a place for a task. The caller has checked that it may.
func (c *Cluster) NewPlace(j *Job, index int, m *Machine, attempt uint32, scaled float64, now micro.Time) *Place {
	c.take(j, index)
	t := &j.Tasks[index]
	t.Attempt = attempt
	p := &Place{
		Job: j, Index: index, Name: wire.TaskName(j.Spec.ID, index), Attempt: uint64(attempt),
		Machine: m, Session: m.Session, Scaled: scaled, Planned: now, known: true,
	}
	c.hold(p)
	p.Ver = c.touch(j, index).Ver
	c.Press(j.Chunk(index))
	j.WaitsFrom = now
	if m.Reserve == j {
		m.Reserve, m.HeldFrom = nil, 0
	}
	return p
}

// hold takes a place's room, quota and zone.
func (c *Cluster) hold(p *Place) {
	m := p.Machine
	m.Places[PlaceKey{p.Name, p.Attempt}] = p
	if !p.known {
		return
	}
	j := p.Job
	m.UsedCPU += j.Spec.CPUs
	m.UsedGPU += j.Spec.GPUs
	m.UsedMem += j.Spec.MemoryGB
	m.UsedScaled += p.Scaled
	m.account(p, 1)
	c.shelve(m)
	if j.Team != nil {
		j.Team.UsedCPU += j.Spec.CPUs
		j.Team.UsedGPU += j.Spec.GPUs
	}
	j.Tasks[p.Index].Held++
	j.HeldN++
	j.Class.Held++
	j.ZoneHeld[m.Zone]++
	ch := j.Chunk(p.Index)
	ch.Places = append(ch.Places, p)
}

// free gives a place up. It is called only with one of the proofs: a newer
// message of the worker shows the attempt ended, or absent after it had been
// seen or its start had settled; a later session; the worker's lease surely ran
// out; the cloud said that the machine is gone.
func (c *Cluster) free(p *Place, now micro.Time) {
	if !c.move(p, Ended) {
		return
	}
	m := p.Machine
	delete(m.Places, PlaceKey{p.Name, p.Attempt})
	m.IdleSince = now
	if !p.known {
		return
	}
	j := p.Job
	m.UsedCPU -= j.Spec.CPUs
	m.UsedGPU -= j.Spec.GPUs
	m.UsedMem -= j.Spec.MemoryGB
	m.UsedScaled -= p.Scaled
	m.account(p, -1)
	if len(m.Places) == 0 {
		m.UsedCPU, m.UsedGPU, m.UsedMem, m.UsedScaled = 0, 0, 0, 0
		m.Ranks, m.Going = [ranks]Room{}, Room{}
	}
	c.shelve(m)
	if j.Team != nil {
		j.Team.UsedCPU -= j.Spec.CPUs
		j.Team.UsedGPU -= j.Spec.GPUs
	}
	j.Tasks[p.Index].Held--
	j.HeldN--
	j.Class.Held--
	j.ZoneHeld[m.Zone]--
	ch := j.Chunk(p.Index)
	for i, x := range ch.Places {
		if x == p {
			ch.Places = append(ch.Places[:i], ch.Places[i+1:]...)
			break
		}
	}
	c.touch(j, p.Index)
	c.Changed()
	if j.Spec.Kind == wire.Gang {
		c.gangLost(j, now)
		return
	}
	c.requeue(j, p.Index, now)
}

// gangLost winds up a gang's attempt after a member went; when all its places
// are free, every task is placed anew under the next attempt number. Starting a
// replacement under the same number is allowed only before the gang has started,
// which a new leader cannot know: the attempt is always given up whole.
func (c *Cluster) gangLost(j *Job, now micro.Time) {
	if j.State != Active {
		return
	}
	if j.HeldN > 0 {
		j.GangStop = true
		for _, p := range j.AllPlaces() {
			c.Stop(p, "gang lost a member", 0, now)
		}
		return
	}
	if j.State != Active || !j.GangStop && j.Waiting() == len(j.Tasks) {
		return
	}
	j.GangStop = false
	for i := range j.Tasks {
		c.requeue(j, i, now)
	}
}

// Stop asks for a place's task to be stopped; graceS at least the job's save
// time lets it save. A second call can only shorten the grace.
func (c *Cluster) Stop(p *Place, why string, graceS float64, now micro.Time) {
	if p.State == Ended {
		return
	}
	if p.State == Planned {
		// No start has gone out, and none will: the place is free at once.
		c.free(p, now)
		return
	}
	if p.Stopping && graceS >= p.GraceS {
		return
	}
	if !p.Stopping {
		p.StopAt = now
		if p.known {
			p.Machine.account(p, -1)
		}
	}
	was := p.Stopping
	p.Stopping, p.GraceS, p.Why = true, graceS, why
	if !was && p.known {
		p.Machine.account(p, 1)
	}
	if c.Verbose {
		c.Log("stop", "task", p.Name, "try", p.Attempt, "machine", p.Machine.Name, "why", why, "grace_s", graceS)
	}
	c.Kick(p.Machine)
}

// Persisted notes that a chunk's version is in the store: starts may go out.
func (c *Cluster) Persisted(ch *Chunk, ver uint64) {
	ch.Saved = max(ch.Saved, ver)
	if !ch.Stored {
		ch.Stored = true
		if o := ch.Old; o != nil {
			if o.Left--; o.Left == 0 {
				c.Outdated(o)
			}
		}
	}
	for _, p := range ch.Places {
		if p.State == Planned && p.Ver <= ch.Saved {
			c.move(p, Starting)
			c.Kick(p.Machine)
		}
	}
}
