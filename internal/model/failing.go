package model

import (
	"math"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A task's failure says that its machine is faulty or that its job was submitted
// with a mistake; which of them shows only with time. A job that fails everywhere
// is tried seldom and a few tasks at a time, and no machine is avoided for it.

// A job none of whose tasks completed, or ran for long, counts as failing
// everywhere once it failed on failedMachines machines. Where there are fewer,
// failedAttempts count, many more than one faulty machine is likely to take.
const (
	failedMachines = 3
	failedAttempts = 64
)

// A job holds at most firstWave places until one of its tasks has completed, or
// has run for provenAfter: so many starts at the most are spent on an array that
// fails everywhere, however large it is. One that is known to fail everywhere
// holds at most probes.
const (
	firstWave   = 512
	probes      = 4
	provenAfter = 5 * micro.Second
)

// proven reports whether a task of the job completed, or runs for longer than a
// failure took to show so far.
func (j *Job) proven(now micro.Time) bool {
	if j.DoneN > 0 {
		return true
	}
	least := max(provenAfter, 2*j.LongestFailure)
	for _, ch := range j.Chunks {
		for _, p := range ch.Places {
			if p.State == Running && p.RunFrom > 0 && now-p.RunFrom >= least {
				return true
			}
		}
	}
	return false
}

// mistaken reports whether a job seems to fail wherever it goes, for a mistake in
// its submission: it is tried seldom, and no machine is blamed for it.
func (j *Job) mistaken(now micro.Time) bool {
	return (len(j.FailedOn) >= failedMachines || j.Failures >= failedAttempts) && !j.proven(now)
}

// Paused reports whether the job waits for its next try, as one that fails
// everywhere does.
func (j *Job) Paused(now micro.Time) bool { return j.NotBefore > now && !j.proven(now) }

// Openings is how many more tasks of the job may be placed now, whatever room
// there is. A gang starts whole or not at all.
func (j *Job) Openings(now micro.Time) int {
	open := j.openings(now)
	if j.Most > 0 {
		open = min(open, max(j.Most-j.HeldN, 0))
	}
	return open
}

// openings leaves out the part of the limit that the job has in a share.
func (j *Job) openings(now micro.Time) int {
	if j.Spec.Kind == wire.Gang || j.DoneN > 0 || len(j.Tasks) <= probes {
		return math.MaxInt
	}
	most := firstWave
	if j.mistaken(now) {
		most = probes
	}
	if j.HeldN < most {
		return most - j.HeldN
	}
	if j.proven(now) {
		return math.MaxInt
	}
	return 0
}

// Demand is for how many of the job's waiting tasks room may be rented. A job
// that fails everywhere is worth no more than what it is tried with, and one that
// is held back beside free room needs none yet.
func (j *Job) Demand(now micro.Time) int {
	n := j.Waiting()
	if n == 0 {
		return 0
	}
	open := j.Openings(now)
	if j.mistaken(now) || open == 0 && j.HeldBack {
		return min(n, open)
	}
	return n
}

// errored reads a failure that the job's own task or its machine caused.
func (c *Cluster) errored(m *Machine, p *Place, now micro.Time) {
	j := p.Job
	if j.FailedOn == nil {
		j.FailedOn = map[string]bool{}
	}
	j.FailedOn[m.Name] = true
	j.Failures++
	if p.RunFrom > 0 {
		j.LongestFailure = max(j.LongestFailure, now-p.RunFrom)
	}
	if j.mistaken(now) {
		shift := maxPauseShift
		if n := len(j.FailedOn); n >= failedMachines {
			shift = min(n, maxPauseShift)
		}
		j.NotBefore = max(j.NotBefore, now+micro.Second<<shift)
		c.exonerate(j, now)
		return
	}
	m.Errors[j.Spec.ID] = now
	c.accused[m] = true
	j.exonerated = false
	c.judge(now)
}

// maxPauseShift bounds the pause of a job that fails everywhere: 32 s, so that it
// is tried each minute.
const maxPauseShift = 5

// blameFor is how long a machine is avoided after several jobs failed on it, and
// for how long a failure counts against it.
const blameFor = 10 * micro.Minute

// One machine in accusedShare may be avoided at a time on the word of jobs of
// which nothing is known. Where more look faulty the jobs are the likelier cause,
// and for doubtFor machines are blamed only by jobs that do well elsewhere:
// of hundreds of mistaken jobs that came at once, two had failed on each machine
// before any of them had failed on three.
const (
	accusedShare = 16
	doubtFor     = micro.Minute
)

// judge decides which machines are avoided for the failures on them.
func (c *Cluster) judge(now micro.Time) {
	var convicted, doubtful []*Machine
	for m := range c.accused {
		for id, at := range m.Errors {
			if now-at > blameFor {
				delete(m.Errors, id)
			}
		}
		switch {
		case len(m.Errors) == 0:
			delete(c.accused, m)
		case c.witnesses(m, now) >= c.ErrJobs:
			convicted = append(convicted, m)
		case len(m.Errors) >= c.ErrJobs:
			doubtful = append(doubtful, m)
		}
	}
	for _, m := range convicted {
		c.blame(m)
	}
	if len(doubtful) > max(1, len(c.Machines)/accusedShare) {
		c.doubtUntil = now + doubtFor
	}
	for _, m := range doubtful {
		if now < c.doubtUntil {
			c.trust(m, now)
		} else {
			c.blame(m)
		}
	}
}

// witnesses counts the jobs that failed on a machine and do well elsewhere.
func (c *Cluster) witnesses(m *Machine, now micro.Time) int {
	n := 0
	for id := range m.Errors {
		if j := c.Jobs[id]; j != nil && j.proven(now) {
			n++
		}
	}
	return n
}

func (c *Cluster) blame(m *Machine) {
	var last micro.Time
	for _, at := range m.Errors {
		last = max(last, at)
	}
	if m.Blamed && m.Avoid >= last+blameFor {
		return
	}
	m.Avoid, m.FaultAt, m.Blamed = max(m.Avoid, last+blameFor), max(m.FaultAt, last), true
	c.Log("machine avoided", "machine", m.Name, "why", "several jobs failed on it")
}

func (c *Cluster) trust(m *Machine, now micro.Time) {
	if !m.Blamed {
		return
	}
	m.Blamed, m.Avoid = false, min(m.Avoid, now)
	c.Log("machine trusted", "machine", m.Name, "why", "what failed on it fails elsewhere too")
	c.Changed()
}

// exonerate takes back what a job that fails everywhere was held against machines.
// On a recorded night with such jobs, machines were avoided 59 times since several
// jobs had failed there.
func (c *Cluster) exonerate(j *Job, now micro.Time) {
	if j.exonerated {
		return
	}
	j.exonerated = true
	for name := range j.FailedOn {
		m := c.Machines[name]
		if m == nil {
			continue
		}
		delete(m.Errors, j.Spec.ID)
		if len(m.Errors) < c.ErrJobs {
			c.trust(m, now)
		}
	}
	c.judge(now)
}

// vouch notes that a job's first task completed: where it failed before, the
// machine was the cause.
func (c *Cluster) vouch(j *Job, now micro.Time) {
	if len(j.FailedOn) > 0 {
		c.judge(now)
	}
}
