package controller

import (
	"fmt"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Scenarios in which nodes are isolated for longer than leases last. Each ends in the
// checker's rules and in what should work meanwhile. Zones and machines that are
// isolated have files of their own.

// handoverTerm is at most how long a leader that no worker reaches keeps the lead:
// its machines become silent, and it waits a second and a scan more. The election
// of the next leader is included.
func (w *simCluster) handoverTerm() micro.Time {
	cfg := w.controllers[0].current().Cfg
	return cfg.SilentAfter + 3*micro.Second
}

// others lists the nodes but these.
func (w *simCluster) others(but ...*controllerProc) []*controllerProc {
	var out []*controllerProc
	for _, p := range w.controllers {
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
func (w *simCluster) submitThrough(nodes []*controllerProc, most micro.Time, o order) *job {
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
func (w *simCluster) answeredBy(j *job, p *controllerProc, most micro.Time) {
	w.t.Helper()
	w.until(fmt.Sprintf("%s answers for %s", p.name, j.id), most, func() bool { return stateOf(j.poll(p)) != "" })
}

// goesOn checks that submissions, polls and starts work through these nodes, each
// within a bound.
func (w *simCluster) goesOn(nodes []*controllerProc) {
	w.t.Helper()
	const (
		acceptedWithin = 10 * micro.Second
		answeredWithin = 10 * micro.Second
		doneWithin     = 45 * micro.Second // a machine may have to be rented
	)
	for _, p := range nodes {
		j := w.submitThrough([]*controllerProc{p}, acceptedWithin, order{kind: wire.Array, tasks: 1, cpus: 1, run: 2 * micro.Second, team: "other"})
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
	seeds(t, 16, 3, func(w *simCluster) {
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
		w.goesOn(w.controllers)
		w.runs(j, 4)
		if w.leader() != reached {
			w.t.Errorf("%s leads no more, though workers reach it", reached.name)
		}
	})
}

// Fault: the leader, and in a site of five another node too, is silent for over a
// minute, frozen, cut off from everything, or gone. Users and work go on through
// the others; when it is back it tells nothing of its old term.
func TestWorkGoesOnWhileTheLeaderIsSilent(t *testing.T) {
	const silentFor = 100 * micro.Second
	for name, silence := range map[string]func(w *simCluster, p *controllerProc){
		"frozen": func(w *simCluster, p *controllerProc) {
			w.trouble(silentFor, func() { p.freeze(silentFor) }, func() {})
		},
		"cut off": func(w *simCluster, p *controllerProc) {
			w.cutOff(p, silentFor, "state", "peers", "workers", "users", "cloud")
		},
		"gone": func(w *simCluster, p *controllerProc) {
			w.trouble(silentFor, func() { w.restart(p, silentFor) }, func() {})
		},
	} {
		for _, c := range []struct{ nodes, silent int }{{3, 1}, {5, 2}} {
			t.Run(fmt.Sprintf("%s, %d of %d", name, c.silent, c.nodes), func(t *testing.T) {
				seeds(t, 3, c.nodes, func(w *simCluster) {
					// Fewer machines than it takes for the old leader to hand over for
					// hearing none: only its right is to keep it from answering.
					j := w.fills("a", 1)
					leader, followers := w.led()
					silent := append([]*controllerProc{leader}, followers[:c.silent-1]...)
					rest := w.others(silent...)
					ends := w.wants(order{kind: wire.Array, tasks: 1, cpus: 1, run: 25 * micro.Second, team: "other"}).submit()
					called := w.wants(order{kind: wire.Service, tasks: 1, cpus: 1}).submit()
					w.until("the leader knows both", 30*micro.Second, func() bool { return leader.remembers(called.id) != "" && ends.running() == 1 })
					from := w.now()
					for _, p := range silent {
						silence(w, p)
					}
					w.until("another leads", 10*micro.Second, func() bool { l := w.leader(); return l != nil && l != leader })
					w.until("cancelled", 60*micro.Second, func() bool { return stateOf(called.withdraw(rest[0])) == wire.JobAborted })
					w.until("done", 60*micro.Second, func() bool { return stateOf(ends.poll(rest[0])) == wire.JobDone })
					w.goesOn(rest)
					if w.now() > from+silentFor {
						w.t.Fatalf("what goes on took %v s, longer than the silence", (w.now() - from).Seconds())
					}
					// Whatever it still has in mind, it tells nothing from before.
					w.slowFor(silent, 300*micro.Millisecond, from+silentFor+5*micro.Second-w.now())
					w.sleep(from + silentFor - 500*micro.Millisecond - w.now())
					for w.now() < from+silentFor+3*micro.Second {
						for _, p := range silent {
							go ends.poll(p)
							go called.poll(p)
						}
						w.sleep(20 * micro.Millisecond)
					}
					w.until("calm", 10*micro.Second, w.calm)
					w.goesOn(w.controllers)
					if j.running() != 1 || j.starts() != 1 {
						w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
					}
				})
			})
		}
	}
}

// Fault: the store refuses the leader alone, for longer than a worker's lease, while
// peers, workers and users reach it. Another node leads, tasks run on, and users are
// served through every node, the refused one included.
func TestStoreRefusesTheLeaderAloneBeyondALease(t *testing.T) {
	const refusedFor = 70 * micro.Second
	for _, nodes := range []int{3, 5} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			seeds(t, 4, nodes, func(w *simCluster) {
				j := w.fills("a", 3)
				refused, followers := w.led()
				from := w.now()
				w.refuse(refused, refusedFor)
				w.until("another leads", 8*micro.Second, func() bool { l := w.leader(); return l != nil && l != refused })
				called := w.submitThrough([]*controllerProc{refused}, 10*micro.Second, order{kind: wire.Service, tasks: 1, cpus: 1})
				w.until("cancelled", 60*micro.Second, func() bool { return stateOf(called.withdraw(followers[0])) == wire.JobAborted })
				w.goesOn(append([]*controllerProc{refused}, followers[:1]...))
				w.sleep(from + refusedFor - 5*micro.Second - w.now())
				w.answeredBy(called, refused, 2*micro.Second)
				if l := w.leader(); l == nil || l == refused {
					w.t.Error("another node should lead all the while")
				}
				if j.running() != 3 || j.starts() != 3 {
					w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
				}
				w.until("calm", 10*micro.Second, w.calm)
				w.goesOn(w.controllers)
				time.Sleep(time.Second)
				if j.running() != 3 || j.starts() != 3 {
					w.t.Errorf("afterwards %d of its tasks run, %d starts", j.running(), j.starts())
				}
			})
		})
	}
}
