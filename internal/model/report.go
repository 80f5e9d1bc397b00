package model

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Via says how a worker's message came.
type Via uint8

// The ways.
const (
	Beat   Via = iota // the worker's own report
	Answer            // the body of an answer to a direct order
)

// Verdict says what became of a report.
type Verdict uint8

// The verdicts.
const (
	Taken   Verdict = iota
	Stale           // older than what is known: nothing was read from it
	Refused         // from a session or machine that is over
)

// Apply reads a worker's message into the model.
func (c *Cluster) Apply(r *wire.Report, via Via, now micro.Time) (*Machine, Verdict) {
	if c.Departed(r.Machine) {
		return nil, Refused
	}
	m := c.Machine(r.Machine, now)
	if m.State == Returning {
		// It goes; only proofs of freedom could still be read, and the cloud's
		// answer is a better one.
		return m, Refused
	}
	if verdict := c.order(m, r, via, now); verdict != Taken {
		return m, verdict
	}
	if m.Type == nil || m.TypeName != r.Type {
		c.Describe(m, r.Type, r.Zone, r.Spot)
	}
	m.Addr = r.Addr
	if session := uint64(r.Session); session > m.Session {
		c.beginSession(m, session, now)
	}
	m.Session, m.Seq = uint64(r.Session), uint64(r.Seq)
	c.heard(m, uint64(r.Token), via, now)
	if r.NoticeS != nil && m.NoticeAt == 0 {
		m.NoticeAt = now + micro.Of(max(*r.NoticeS, 0))
		c.shelve(m)
		c.noticed(m, now)
	}
	c.freeAbsent(m, c.readTasks(m, r, now), via, now)
	return m, Taken
}

// order decides by a message's session and number whether it is newer than what is
// known of the machine.
func (c *Cluster) order(m *Machine, r *wire.Report, via Via, now micro.Time) Verdict {
	session, seq := uint64(r.Session), uint64(r.Seq)
	if session <= m.LostSess {
		// Held up on the way: this session's lease surely ran out already.
		return Refused
	}
	if session > m.Session || session == m.Session && seq > m.Seq {
		return Taken
	}
	if via == Beat && session == m.Session {
		// Overtaken by the answer to a direct order, or a late copy. The
		// worker may still take our answer, and that would renew its lease;
		// but it is no sign of life: copies may come long after the worker
		// died.
		m.Answered = now
	}
	return Stale
}

// beginSession frees what a machine held in earlier sessions.
func (c *Cluster) beginSession(m *Machine, session uint64, now micro.Time) {
	if m.Session > 0 && m.State == Up && now-m.Answered < c.Lease/2 {
		m.Misses = deafAfter // its lease ran out though it was answered
	}
	for _, p := range m.sorted() {
		if p.Session < session {
			c.free(p, now)
		}
	}
	clear(m.exits)
	// The lease of a session counts from its beginning, before any answer to a
	// report: heard of in the answer to a direct order after an outage, a new
	// session was taken for over by the last answer to the one before.
	m.Answered = now
}

// heard notes a sign of life and the token that the worker has seen.
func (c *Cluster) heard(m *Machine, token uint64, via Via, now micro.Time) {
	m.Token = max(m.Token, token)
	m.Heard, m.Mute = now, false
	if via == Beat {
		m.Answered = now
		c.listens(m, token)
		if m.FirstHeard == 0 {
			m.FirstHeard = now
			m.IdleSince = now
		}
	}
	if token >= m.Prove {
		// Only an echo of a token given out since then proves that the report
		// is no late copy of a machine that is gone, silent or returned.
		c.Become(m, Up, "reports")
	}
}

// readTasks reads the tasks of a report, and tells which attempts it names.
func (c *Cluster) readTasks(m *Machine, r *wire.Report, now micro.Time) (present map[PlaceKey]bool) {
	present = make(map[PlaceKey]bool, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		key := PlaceKey{t.Task, uint64(t.Attempt)}
		present[key] = true
		if t.State == wire.TaskExited {
			c.exited(m, key, t, now)
		} else {
			c.seen(m, key, t, now)
		}
	}
	return present
}

// freeAbsent frees the places of attempts that a report does not name, where that
// proves that they are not on the machine and cannot come to it.
func (c *Cluster) freeAbsent(m *Machine, present map[PlaceKey]bool, via Via, now micro.Time) {
	for key := range m.exits {
		if !present[key] {
			delete(m.exits, key)
		}
	}
	for _, p := range m.sorted() {
		if present[PlaceKey{p.Name, p.Attempt}] {
			continue
		}
		switch {
		case p.Seen:
			c.free(p, now)
		case via == Beat && p.Stopping && m.Token > p.Direct:
			// Never seen, and no start can still run: a start in an answer to a
			// beat runs before the next beat or not at all, and direct ones
			// carry tokens below what the worker has seen by now.
			c.free(p, now)
		case p.Restored && m.Token > p.Direct:
			// Never seen, and the worker has seen a token of this term: whatever an
			// earlier one sent, in an answer or directly, it drops.
			c.free(p, now)
		}
	}
}

// seen reads a task that is on the machine.
func (c *Cluster) seen(m *Machine, key PlaceKey, t *wire.TaskReport, now micro.Time) {
	p := m.Places[key]
	if p == nil {
		p = c.adopt(m, key)
		p.Planned = now
		c.Stop(p, "not in the records", 0, now)
	}
	p.Seen = true
	state := map[wire.TaskState]PlaceState{
		wire.TaskFetching: Fetching, wire.TaskWaiting: Waiting, wire.TaskRunning: Running, wire.TaskSaving: Saving,
	}[t.State]
	if c.move(p, state) && state >= Waiting && p.known {
		m.fetched(p.Job.Spec.Image, p.Job.Spec.ImageGB, now)
	}
	if state == Running && p.RunFrom == 0 {
		p.RunFrom = now
	}
}

// adopt makes a place for a task that a worker has and the records lack. It
// holds its room until it is gone.
func (c *Cluster) adopt(m *Machine, key PlaceKey) *Place {
	p := &Place{Name: key.Task, Attempt: key.Attempt, Machine: m, Session: m.Session, State: Starting, Direct: c.BaseTok - 1}
	if id, index, ok := wire.SplitTask(key.Task); ok {
		if j := c.Jobs[id]; j != nil && index < len(j.Tasks) {
			p.Job, p.Index, p.known = j, index, true
			p.Scaled = j.Spec.CPUs
			if j.Tasks[index].Queued {
				c.take(j, index)
			}
			j.Tasks[index].Attempt = max(j.Tasks[index].Attempt, uint32(key.Attempt))
		}
	}
	c.hold(p)
	if p.known {
		c.touch(p.Job, p.Index)
	}
	return p
}

// exited reads an ended attempt.
func (c *Cluster) exited(m *Machine, key PlaceKey, t *wire.TaskReport, now micro.Time) {
	if m.exits[key] != nil {
		return
	}
	x := &exit{direct: c.BaseTok - 1}
	m.exits[key] = x
	p := m.Places[key]
	if p != nil {
		x.direct = max(x.direct, p.Direct)
	}
	id, index, _ := wire.SplitTask(key.Task)
	j := c.Jobs[id]
	if j == nil || index >= len(j.Tasks) {
		if p != nil {
			c.free(p, now)
		}
		return
	}
	if t.Cause == wire.CauseDone {
		c.completed(j, index, p, now)
	} else if p != nil {
		c.failed(m, p, t, now)
	}
	if p != nil {
		c.free(p, now)
	}
	x.chunk = j.Chunk(index)
	x.ver = x.chunk.Ver
}

// completed reads a task's completion. A gang completes as one.
func (c *Cluster) completed(j *Job, index int, p *Place, now micro.Time) {
	if p != nil && p.RunFrom > 0 {
		c.Ran(p, now-p.RunFrom)
	}
	if j.Spec.Kind == wire.Gang {
		for i := range j.Tasks {
			c.finishTask(j, i, now)
		}
		return
	}
	c.finishTask(j, index, now)
}

// failed reads any other exit.
func (c *Cluster) failed(m *Machine, p *Place, t *wire.TaskReport, now micro.Time) {
	j := p.Job
	task := &j.Tasks[p.Index]
	if c.Verbose && (!p.Stopping || t.Cause != wire.CauseStopped) || t.Cause == wire.CauseError {
		c.Log("exit", "task", p.Name, "try", p.Attempt, "machine", m.Name, "cause", string(t.Cause))
	}
	switch t.Cause {
	case wire.CauseError:
		c.errored(m, p, now)
		c.backoff(task, now)
	case wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown, wire.CauseAlone:
		c.backoff(task, now)
		if t.Cause == wire.CauseNoRoom {
			m.Avoid, m.FaultAt = max(m.Avoid, now+2*micro.Second), now
		}
	}
}

func (c *Cluster) backoff(t *Task, now micro.Time) {
	if t.Fails < 6 {
		t.Fails++
	}
	t.NotBefore = now + 250*micro.Millisecond<<t.Fails
}

// noticed reacts to the cloud's notice that it takes the machine back: what can
// save does so at once; the rest may still complete in time.
func (c *Cluster) noticed(m *Machine, now micro.Time) {
	c.Log("notice", "machine", m.Name, "left_s", (m.NoticeAt - now).Seconds())
	for _, p := range m.sorted() {
		if p.known && p.State == Running && p.Job.Spec.CheckpointS > 0 {
			c.Stop(p, "spot notice", p.Job.Spec.SaveS, now)
		} else if p.known && p.State < Running {
			c.Stop(p, "spot notice", 0, now)
		}
	}
	c.Changed()
}

// Orders are what the machine's worker is to do now. Token is the one that the
// orders go out under; direct says that they go to the worker by themselves.
func (c *Cluster) Orders(m *Machine, token uint64, direct bool, now micro.Time) []wire.Order {
	var out []wire.Order
	for _, p := range m.sorted() {
		switch {
		case p.Stopping && (p.Seen || p.State != Planned):
			grace := p.GraceS
			out = append(out, wire.Order{Op: wire.OpStop, Task: p.Name, Attempt: wire.Count(p.Attempt), GraceS: &grace})
		case p.State == Starting && !p.Seen && !p.Restored && p.Session == m.Session:
			if direct {
				p.Direct = max(p.Direct, token)
			}
			out = append(out, wire.Order{Op: wire.OpStart, Task: p.Name, Attempt: wire.Count(p.Attempt)})
		}
	}
	if !direct {
		for key, x := range m.exits {
			// A late copy of a direct start would run the attempt again after
			// it was forgotten: the worker must have seen a newer token first.
			if m.Token > x.direct && (x.chunk == nil || x.chunk.Saved >= x.ver || x.chunk.Job.Over()) {
				out = append(out, wire.Order{Op: wire.OpForget, Task: key.Task, Attempt: wire.Count(key.Attempt)})
			}
		}
	}
	return out
}

// NeedsToken reports whether something on the machine waits for the worker to
// see a token above the given one.
func (m *Machine) NeedsToken(token uint64) bool {
	if m.Prove > token {
		return true
	}
	for _, x := range m.exits {
		if x.direct >= token {
			return true
		}
	}
	for _, p := range m.Places {
		if p.Stopping && !p.Seen && p.Direct >= token {
			return true
		}
	}
	return false
}
