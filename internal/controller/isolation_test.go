package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Scenarios in which nodes are isolated for longer than leases last. Each ends in the
// checker's rules and in what should work meanwhile. Zones and machines that are
// isolated have files of their own.

// handoverTerm is at most how long a leader that no worker reaches keeps the lead:
// its machines become silent, and it waits a second and a scan more. The election
// of the next leader is included.
func (w *world) handoverTerm() micro.Time {
	cfg := w.procs[0].current().Cfg
	return cfg.SilentAfter + 3*micro.Second
}

// others lists the nodes but these.
func (w *world) others(but ...*proc) []*proc {
	var out []*proc
	for _, p := range w.procs {
		excluded := false
		for _, b := range but {
			excluded = excluded || p == b
		}
		if !excluded {
			out = append(out, p)
		}
	}
	return out
}

// submitThrough submits a job through the first of these nodes that accepts it,
// each user's attempt being made in turn, and fails after a bound.
func (w *world) submitThrough(nodes []*proc, most micro.Time, o order) *job {
	w.t.Helper()
	j := w.wants(o)
	next := 0
	w.until(j.id+" is accepted", most, func() bool {
		r := j.send(nodes[next%len(nodes)])
		next++
		return r.Status == 200 || r.Status == 201
	})
	return j
}

// answeredBy waits until a poll of the job gets an answer from this node.
func (w *world) answeredBy(j *job, p *proc, most micro.Time) {
	w.t.Helper()
	w.until(fmt.Sprintf("%s answers for %s", p.name, j.id), most, func() bool { return stateOf(j.poll(p)) != "" })
}

// goesOn checks that submissions, polls and starts work through these nodes, each
// within a bound.
func (w *world) goesOn(nodes []*proc) {
	w.t.Helper()
	const (
		acceptedWithin = 10 * micro.Second
		answeredWithin = 10 * micro.Second
		doneWithin     = 45 * micro.Second // a machine may have to be rented
	)
	for _, p := range nodes {
		j := w.submitThrough([]*proc{p}, acceptedWithin, order{kind: wire.Array, tasks: 1, cpus: 1, run: 2 * micro.Second, team: "other"})
		for _, o := range nodes {
			w.answeredBy(j, o, answeredWithin)
		}
		w.until(j.id+" is done", doneWithin, func() bool { return stateOf(j.poll(p)) == wire.JobDone })
	}
}

// Fault: two of three nodes, one of them the leader, are cut off from all workers,
// and reach the store and each other. The third one, which the workers reach, comes
// to lead once each of the two has tried at most once.
func TestNodeThatWorkersReachComesToLead(t *testing.T) {
	seeds(t, 16, 3, func(w *world) {
		j := w.fills("a", 4)
		leader, followers := w.led()
		reached := followers[w.drawn(2)]
		cut := w.others(reached)
		from := w.now()
		for _, p := range cut {
			w.cutOff(p, 3*micro.Minute, "workers")
		}
		w.until("the node that workers reach leads", 2*w.handoverTerm()+micro.Second, func() bool { return w.leader() == reached })
		w.t.Logf("%s was cut, %s leads after %.1f s", leader.name, reached.name, (w.now() - from).Seconds())
		w.goesOn(w.procs)
		w.runs(j, 4)
		if w.leader() != reached {
			w.t.Errorf("%s leads no more, though workers reach it", reached.name)
		}
	})
}
