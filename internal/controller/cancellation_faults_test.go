package controller

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Meetings of a cancellation with other troubles. The checker fails a scenario by
// itself when a task of a job is there cancel_s after its user was told.

// cancelSpan is the time that tasks have after their user was told.
const cancelSpan = cancelS * micro.Second

// forever is a run that no scenario sees the end of.
const forever = 10 * micro.Minute

// begun submits a job and waits until all its tasks run.
func (w *simCluster) begun(o order) *job {
	w.t.Helper()
	j := w.wants(o).submit()
	w.until(j.id+" runs", 2*micro.Minute, func() bool { return j.running() == max(o.tasks, 1) })
	return j
}

// span draws a span of time.
func (w *simCluster) span(least, most micro.Time) micro.Time {
	return micro.Of(w.between(least, most).Seconds())
}

// leads reports whether the node has the right to act.
func (p *controllerProc) leads() bool { n := p.current(); return n != nil && n.leading() != nil }

// follows waits until another node than the old leader leads, whatever that one
// takes itself for.
func (w *simCluster) follows(old *controllerProc) *controllerProc {
	w.t.Helper()
	var next *controllerProc
	w.until("another leads", 15*micro.Second, func() bool {
		for _, p := range w.controllers {
			if p != old && p.leads() {
				next = p
			}
		}
		return next != nil
	})
	return next
}

// outlasts takes the store from all nodes for longer than the tasks of cancelled
// jobs have, so soon after their users were told, and goes on until that time is
// over for each of them.
func (w *simCluster) outlasts(soon micro.Time, jobs ...*job) {
	w.t.Helper()
	from := w.now()
	lasts := cancelSpan + w.span(8*micro.Second, 20*micro.Second)
	w.outage(lasts)
	for _, j := range jobs {
		at, _, _, ok := j.aborted()
		if !ok || from-at > soon || from+lasts < at+cancelSpan+micro.Second {
			w.t.Fatalf("%s: told at %v (%v), the outage lasts from %v to %v: they don't meet", j.id, at, ok, from, from+lasts)
		}
		// Without keepers the bound is a narrower one: see the design, "The bound
		// for cancellations".
		most, last := cancelSpan, at
		if w.base.KeepLeases == 0 {
			most = w.base.Outlive()
		}
		for w.now() < at+cancelSpan+micro.Second {
			if j.running() > 0 {
				last = w.now()
			}
			w.sleep(100 * micro.Millisecond)
		}
		w.t.Logf("%s: its tasks went %.1f s after its user was told, at most %.1f s are allowed", j.id, (last - at).Seconds(), most.Seconds())
		if last > at+most {
			w.t.Errorf("%s: tasks were there %.1f s after its user was told, at most %.1f s are allowed", j.id, (last - at).Seconds(), most.Seconds())
		}
	}
}

// recovers sees that a job is served once all troubles are over.
func (w *simCluster) recovers() {
	w.t.Helper()
	w.until("calm", 5*micro.Minute, w.calm)
	j := w.wants(order{kind: wire.Array, tasks: 1, run: 2 * micro.Second, rank: wire.Production}).submit()
	go j.watch()
	w.until("served again", 90*micro.Second, func() bool { return j.is().done })
}

func each(t *testing.T, seeds uint64, name string, scenario func(t *testing.T, seed uint64)) {
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
			t.Parallel()
			scenario(t, seed)
		})
	}
}

// The state service refused the leader alone, another node led and told users that
// their jobs are cancelled, and then the service was down for all. The workers had
// reported to the old leader all the time: had that gone on answering after its
// right lapsed, the tasks would have run on through the whole outage. Where a zone
// has no keepers the end is written while the tasks run; else they are gone before.
func TestCancelledByTheNextLeaderBeforeAnOutage(t *testing.T) {
	service, array := order{kind: wire.Service, tasks: 3}, order{kind: wire.Array, tasks: 3, run: forever}
	gang := order{kind: wire.Gang, tasks: 3, run: forever}
	inB := func(o order) order { o.zone = "b"; return o }
	const within, after = "within", "after"
	const some, none, either = "some", "none", "either"
	for _, c := range []struct {
		name    string
		nodes   int
		keepers bool
		o       order
		when    string // the cancellation is first sent within the refusal, or once another leads
		far     bool   // no worker hears the next leader
		trouble func(w *simCluster, h *host)
		left    string // which tasks run when the user is told
	}{
		{"service", 3, false, service, after, true, nil, some},
		{"array", 3, false, array, after, true, nil, some},
		{"gang", 3, false, gang, after, true, nil, some},
		{"sent within the refusal", 3, false, service, within, true, nil, either},
		{"five nodes", 5, false, array, after, true, nil, some},
		{"zone of one node, others with keepers", 3, true, inB(service), after, true, nil, some},
		{"gang in a zone of one node", 3, true, inB(gang), within, true, nil, either},
		{"deaf", 3, false, service, after, false, func(w *simCluster, h *host) { h.deafen(w.span(10*micro.Second, 25*micro.Second)) }, some},
		{"mute", 3, false, array, after, false, func(w *simCluster, h *host) { h.silence(w.span(10*micro.Second, 60*micro.Second)) }, some},
		{"deaf and mute", 3, false, gang, after, false, func(w *simCluster, h *host) { h.deafen(micro.Minute); h.silence(micro.Minute) }, some},
		{"hung, goes on within its lease", 3, false, service, after, false, func(w *simCluster, h *host) { h.hang(w.span(8*micro.Second, 16*micro.Second)) }, some},
		{"hung, in a zone of one node", 3, true, inB(array), after, false, func(w *simCluster, h *host) { h.hang(w.span(8*micro.Second, 16*micro.Second)) }, some},
		{"keepers", 4, true, service, after, false, nil, none},
		{"keepers, five nodes", 5, true, gang, within, false, nil, none},
		{"keepers and deaf", 4, true, array, after, false, func(w *simCluster, h *host) { h.deafen(w.span(10*micro.Second, 25*micro.Second)) }, none},
		{"keepers and hung", 4, true, service, within, false, func(w *simCluster, h *host) { h.hang(w.span(8*micro.Second, 16*micro.Second)) }, none},
	} {
		each(t, 4, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, c.nodes, func(w *simCluster) {
				if !c.keepers {
					w.base.KeepLeases = 0
				}
			}, func(w *simCluster) {
				j := w.begun(c.o)
				w.sleep(w.span(0, 5*micro.Second))
				old := w.leader()
				w.refuse(old, 2*micro.Minute)
				if c.when == within {
					w.sleep(w.span(0, 2*micro.Second))
					go j.cancel()
				}
				next := w.follows(old)
				led := w.now()
				if c.far {
					w.cutOff(next, 80*micro.Second, "workers")
				}
				if c.trouble != nil {
					for _, h := range j.on() {
						c.trouble(w, h)
					}
				}
				if c.when == after {
					w.sleep(w.span(0, micro.Second))
					go j.cancel()
				}
				w.until("told", 70*micro.Second, func() bool { return j.is().aborted })
				at, by, left, _ := j.aborted()
				if at < led-50*micro.Millisecond || !next.leads() || c.left == none && left > 0 || c.left == some && left == 0 {
					t.Fatalf("another led at %v; told at %v by %s with %d tasks, which was to be with %s", led, at, by, left, c.left)
				}
				w.sleep(w.span(0, micro.Second))
				w.outlasts(1500*micro.Millisecond, j)
				w.recovers()
			})
		})
	}
}

// Jobs were cancelled at the very moment at which the state service refused the
// leader alone, and a second later it was out for all. Some users were told in
// between, before another could lead. Where the refusal is shorter than the
// leader's lease, the same term goes on after the outage; else another leads.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestCancelledAsTheStoreRefusesTheLeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		nodes   int
		keepers bool
		refused micro.Time
		same    bool // the same term goes on
		slow    micro.Time
		lost    float64
		trouble func(w *simCluster, h *host)
		met     []string // what came about in one of the simulations at least
	}{
		{"short refusal", 3, false, 2 * micro.Second, true, 0, 0, nil, []string{"told"}},
		{"short refusal, keepers", 4, true, 2 * micro.Second, true, 0, 0, nil, []string{"told"}},
		{"long refusal", 3, false, 100 * micro.Second, false, 0, 0, nil, []string{"told"}},
		{"long refusal, keepers", 5, true, 100 * micro.Second, false, 0, 0, nil, []string{"told"}},
		{"machines deaf", 3, false, 2 * micro.Second, true, 0, 0, func(w *simCluster, h *host) { h.deafen(w.span(5*micro.Second, 75*micro.Second)) }, []string{"told", "running"}},
		{"machines mute", 3, false, 100 * micro.Second, false, 0, 0, func(w *simCluster, h *host) { h.silence(w.span(5*micro.Second, 75*micro.Second)) }, []string{"told"}},
		{"machines hung", 3, false, 2 * micro.Second, true, 0, 0, func(w *simCluster, h *host) { h.hang(w.span(5*micro.Second, 25*micro.Second)) }, []string{"told", "running"}},
		{"machines hung, keepers", 4, true, 100 * micro.Second, false, 0, 0, func(w *simCluster, h *host) { h.hang(w.span(5*micro.Second, 25*micro.Second)) }, []string{"not told"}},
		{"a renewal is answered after the refusal", 3, false, 100 * micro.Second, false, 600 * micro.Millisecond, 0, func(w *simCluster, h *host) { h.deafen(w.span(5*micro.Second, 20*micro.Second)) }, []string{"told", "running", "renewed"}},
		{"answers lost", 3, false, 2 * micro.Second, true, 0, 0.7, func(w *simCluster, h *host) { h.deafen(w.span(5*micro.Second, 20*micro.Second)) }, []string{"told", "running", "told by another"}},
	} {
		met := newTally(t)
		each(t, 6, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, c.nodes, func(w *simCluster) {
				if !c.keepers {
					w.base.KeepLeases = 0
				}
			}, func(w *simCluster) {
				met.note(played)
				var jobs []*job
				for i := range 6 {
					jobs = append(jobs, w.begun([]order{{kind: wire.Service, tasks: 2}, {kind: wire.Array, tasks: 2, run: forever}, {kind: wire.Gang, tasks: 2, run: forever}}[i%3]))
				}
				old := w.leader()
				term := old.current().leading().term
				if c.slow > 0 {
					w.slow(c.slow, 5*micro.Second)
					w.sleep(2 * micro.Second)
				}
				if c.lost > 0 {
					w.unsure(0, c.lost, 5*micro.Second)
				}
				if c.trouble != nil {
					for _, j := range jobs {
						for _, h := range j.on() {
							c.trouble(w, h)
						}
					}
				}
				for _, j := range jobs {
					go func() {
						w.sleep(w.span(0, 600*micro.Millisecond))
						go j.closely()
						go j.watch()
						j.cancel()
					}()
				}
				w.sleep(300 * micro.Millisecond)
				w.refuse(old, c.refused)
				right := rightOf(term, old)
				w.sleep(w.span(900*micro.Millisecond, 1100*micro.Millisecond))
				if later := rightOf(term, old); later > right+100*micro.Millisecond {
					met.note("renewed")
				}
				w.outage(70 * micro.Second)
				from := w.now()
				w.sleep(68 * micro.Second)
				for _, j := range jobs {
					at, by, left, ok := j.aborted()
					if !ok || at > from {
						met.note("not told")
						continue
					}
					met.note("told")
					if left > 0 {
						met.note("running")
					}
					if by != old.name {
						met.note("told by another")
					}
				}
				if !old.leads() && w.leader() != nil {
					t.Error("somebody leads in an outage")
				}
				w.until("calm", 3*micro.Minute, w.calm)
				w.until("somebody leads", 20*micro.Second, func() bool { return w.leader() != nil })
				w.sleep(3 * micro.Second)
				l := w.leader()
				if same := l == old && l.current().leading().term == term; same != c.same {
					t.Errorf("the same term goes on: %v", same)
				}
				w.until("all are told", 90*micro.Second, func() bool {
					for _, j := range jobs {
						if !j.is().aborted {
							return false
						}
					}
					return true
				})
				w.sleep(cancelSpan + micro.Second)
				w.recovers()
			})
		})
		met.wants(c.name, c.met...)
	}
}

// rightOf is when a node's right to act ends, as far as it knows now.
func rightOf(term *election.Term, p *controllerProc) micro.Time {
	now := p.current().Now()
	var d micro.Time
	for d < 10*micro.Second && term.Valid(now+d) {
		d += 10 * micro.Millisecond
	}
	return now + d
}

// tally counts what came about in the simulations of a row: what only some of them can
// bring about must have been there in one at least.
type tally struct {
	t  *testing.T
	mu sync.Mutex
	n  map[string]int
}

func newTally(t *testing.T) *tally { return &tally{t: t, n: map[string]int{}} }

func (y *tally) note(what string) { y.mu.Lock(); y.n[what]++; y.mu.Unlock() }

// played is noted by every simulation: -run may name those of other rows only.
const played = "played"

// wants fails the test at its end if something never came about.
func (y *tally) wants(row string, all ...string) {
	y.t.Cleanup(func() {
		y.mu.Lock()
		defer y.mu.Unlock()
		for _, what := range all {
			if y.n[played] > 0 && y.n[what] == 0 {
				y.t.Errorf("%s: in no simulation: %s (%v)", row, what, y.n)
			}
		}
	})
}

// The write of a cancellation was carried out and its answer lost: the leader that
// sent it didn't know yet when another node read the end from the store and told
// the user, by a poll or by a repeat of the submission. Then the store was down for
// all, while the old leader, which the store had refused alone, was reported to.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestCancellationThatAnotherNodeReadBeforeAnOutage(t *testing.T) {
	for _, c := range []struct {
		name    string
		o       order
		far     bool // no worker hears the next leader
		repeats bool
		awaited bool // it awaits a job that is done, and another awaits it
	}{
		{"service, by a poll", order{kind: wire.Service, tasks: 2}, false, false, false},
		{"gang, by a repeat", order{kind: wire.Gang, tasks: 2, run: forever}, false, true, false},
		{"array, by a poll, no worker hears the next leader", order{kind: wire.Array, tasks: 2, run: forever}, true, false, false},
		{"pipeline, by a poll", order{kind: wire.Array, tasks: 2, run: forever}, true, false, true},
		{"pipeline, by a repeat", order{kind: wire.Service, tasks: 2}, false, true, true},
	} {
		each(t, 5, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, 3, func(w *simCluster) { w.base.KeepLeases = 0 }, func(w *simCluster) {
				o := c.o
				if c.awaited {
					one := w.wants(order{kind: wire.Array, tasks: 1, run: micro.Second}).submit()
					o.awaits = []string{one.id}
				}
				j := w.begun(o)
				jobs := []*job{j}
				if c.awaited {
					jobs = append(jobs, w.wants(order{kind: wire.Array, tasks: 1, run: micro.Second, awaits: []string{j.id}}).submit())
				}
				w.sleep(w.span(3*micro.Second, 6*micro.Second))
				old := w.leader()
				w.refuse(old, 2*micro.Minute)
				next := w.follows(old)
				for _, h := range j.on() {
					h.deafen(w.span(5*micro.Second, 20*micro.Second))
				}
				if c.far {
					w.cutOff(next, 80*micro.Second, "workers")
				}
				w.sleep(w.span(500*micro.Millisecond, micro.Second))
				w.unsure(0, 1, 5*micro.Second, next)
				var third *controllerProc
				for _, p := range w.controllers {
					if p != old && p != next {
						third = p
					}
				}
				go j.withdraw(next)
				w.until("told", 1100*micro.Millisecond, func() bool {
					for _, x := range jobs {
						if c.repeats {
							go x.send(third)
						} else {
							go x.poll(third)
						}
					}
					for _, x := range jobs {
						if !x.is().aborted {
							return false
						}
					}
					return true
				})
				if n := next.current().leading(); n == nil || !n.records.unsure(j.id) {
					t.Fatal("the leader knows that its write was carried out")
				}
				_, by, left, _ := j.aborted()
				if by != third.name || left == 0 {
					t.Fatalf("told by %s with %d tasks", by, left)
				}
				w.outlasts(1500*micro.Millisecond, jobs...)
				w.recovers()
				for _, x := range jobs {
					for _, p := range w.controllers {
						if s := stateOf(x.poll(p)); s != wire.JobAborted && s != "" {
							t.Errorf("%s is %s by %s", x.id, s, p.name)
						}
					}
				}
			})
		})
	}
}

// A zone was cut off with its keepers when a job there was cancelled. The user may
// be told only once they can't keep the tasks alive for longer than cancel_s. Then
// the cut was over for the keepers, not for the workers, whom no leader heard; had
// a keeper been answered then, it would have kept the tasks alive through a second
// cut and the outage.
func TestCancelledInAZoneThatKeepersKept(t *testing.T) {
	for _, c := range []struct {
		name    string
		o       order
		ends    bool // the cut ends for a while just after the user was told
		changes bool // the leader changes before that
		then    bool // the leader changes after that, before the cut ends
	}{
		{"cut throughout", order{kind: wire.Service, tasks: 3, zone: "b"}, false, false, false},
		{"cut ends for a while", order{kind: wire.Array, tasks: 3, zone: "b", run: forever}, true, false, false},
		{"cut throughout, the leader changes", order{kind: wire.Gang, tasks: 3, zone: "b", run: forever}, false, true, false},
		{"cut ends for a while, the leader changes", order{kind: wire.Service, tasks: 3, zone: "b"}, true, true, false},
		{"the leader changes, cut ends for a while", order{kind: wire.Array, tasks: 3, zone: "b", run: forever}, true, false, true},
	} {
		each(t, 5, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, 5, nil, func(w *simCluster) {
				w.until("a leader in zone a", 2*micro.Minute, func() bool {
					l := w.leader()
					if l != nil && l.zone == "b" {
						w.restart(l, 10*micro.Second)
						w.sleep(8 * micro.Second)
					}
					return l != nil && l.zone == "a"
				})
				j := w.begun(c.o)
				w.sleep(w.span(10*micro.Second, 15*micro.Second))
				leader := w.leader()
				heal := w.cutZone("b", micro.Minute)
				w.sleep(w.span(0, 2*micro.Second))
				go j.cancel()
				if c.changes {
					w.sleep(3 * micro.Second)
					w.refuse(leader, 3*micro.Minute)
					leader = w.follows(leader)
				}
				w.until("told", 50*micro.Second, func() bool { return j.is().aborted })
				_, by, left, _ := j.aborted()
				if left != 3 || leader.zone != "a" || !leader.leads() {
					t.Fatalf("told by %s with %d tasks, %s leads: %v", by, left, leader.name, leader.leads())
				}
				soon := 1500 * micro.Millisecond
				if c.then {
					soon = 9 * micro.Second
					w.refuse(leader, 3*micro.Minute)
					leader = w.follows(leader)
					w.sleep(300 * micro.Millisecond)
				}
				if c.ends {
					w.cutOff(leader, micro.Minute, "workers")
					heal()
					time.AfterFunc(3*time.Second, func() { w.cutZone("b", 80*micro.Second) })
					w.sleep(w.span(500*micro.Millisecond, micro.Second))
				}
				if c.then {
					w.sleep(micro.Second) // what keepers ask in vain with the other two
				}
				w.outlasts(soon, j)
				w.recovers()
			})
		})
	}
}

// A leader lost the state service and the other controllers, while workers and
// users still reached it. Jobs were cancelled through the next one: the old leader
// must not go on answering workers, or say that the jobs run.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestCancelledThroughTheNextLeaderWhileTheOldOneIsReached(t *testing.T) {
	for _, c := range []struct {
		name    string
		keepers bool
		far     bool // no worker hears the next leader
		trouble func(w *simCluster, h *host)
	}{
		{"keepers", true, false, nil},
		{"no keepers", false, false, nil},
		{"no keepers, no worker hears the next leader", false, true, nil},
		{"deaf", false, false, func(w *simCluster, h *host) { h.deafen(w.span(5*micro.Second, 25*micro.Second)) }},
		{"hung", true, false, func(w *simCluster, h *host) { h.hang(w.span(5*micro.Second, 25*micro.Second)) }},
	} {
		each(t, 5, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, 5, func(w *simCluster) {
				if !c.keepers {
					w.base.KeepLeases = 0
				}
			}, func(w *simCluster) {
				var jobs []*job
				for _, o := range []order{{kind: wire.Service, tasks: 3}, {kind: wire.Array, tasks: 3, run: forever}, {kind: wire.Gang, tasks: 3, run: forever}, {kind: wire.Service, tasks: 2, zone: "b"}} {
					jobs = append(jobs, w.begun(o))
				}
				old := w.leader()
				w.cutOff(old, 40*micro.Second, "state", "peers")
				early := jobs[0] // asked for at the old leader just as it is cut off
				go early.withdraw(old)
				next := w.follows(old)
				if old.leads() {
					t.Error("two lead")
				}
				if c.far {
					w.cutOff(next, 35*micro.Second, "workers")
				}
				for _, j := range jobs {
					if c.trouble != nil {
						for _, h := range j.on() {
							c.trouble(w, h)
						}
					}
					go func() {
						for j.w.ctx.Err() == nil && !stateOf(j.withdraw(next)).Final() {
							w.sleep(500 * micro.Millisecond)
						}
						j.poll(old) // at once, and again
						j.closely()
						for range 30 {
							j.poll(old)
							j.send(old)
							w.sleep(micro.Second)
						}
					}()
				}
				w.sleep(10 * micro.Second)
				told := 0
				for _, j := range jobs {
					if _, by, _, ok := j.aborted(); ok && by != old.name {
						told++
					}
				}
				// A leader whom no worker reports to hands over: so it may where all
				// machines hang.
				if c.trouble == nil && told == 0 || c.trouble == nil && !c.far && !next.leads() || old.leads() {
					t.Errorf("%d told, the next one leads: %v", told, next.leads())
				}
				for _, j := range jobs {
					w.until(j.id+" told", 80*micro.Second, func() bool { return j.is().aborted })
				}
				w.sleep(cancelSpan + micro.Second)
				w.recovers()
			})
		})
	}
}

// fillsTeam submits services that take up a team's limit, and waits until they run.
func (w *simCluster) fillsTeam(team string, cpus int, o order) []*job {
	w.t.Helper()
	var jobs []*job
	for n := 0; n < cpus; n += o.tasks {
		o.kind, o.team = wire.Service, team
		jobs = append(jobs, w.wants(o).submit())
	}
	w.until(team+" is at its limit", 2*micro.Minute, func() bool {
		for _, j := range jobs {
			if j.running() != o.tasks {
				return false
			}
		}
		return true
	})
	return jobs
}

// Every team was at its limit while jobs were cancelled whose machines were cut
// off or hung, and the leader changed, twice. What was not proven free counts for
// the team, whoever leads; room that is proven free is used within seconds.
func TestTeamsAtTheirLimitsWhileJobsOnLostMachinesAreCancelled(t *testing.T) {
	far := func(w *simCluster, h *host) {
		d := w.span(10*micro.Second, 50*micro.Second)
		h.deafen(d)
		h.silence(d)
	}
	for _, c := range []struct {
		name    string
		keepers bool
		lost    func(w *simCluster, h *host)
		change  func(w *simCluster, l *controllerProc)
	}{
		{"cut off, killed", true, far, func(w *simCluster, l *controllerProc) { w.restart(l, w.span(micro.Second, 8*micro.Second)) }},
		{"cut off, frozen", true, far, func(w *simCluster, l *controllerProc) { l.freeze(w.span(4500*micro.Millisecond, 12*micro.Second)) }},
		{"hung, killed", false, func(w *simCluster, h *host) { h.hang(w.span(10*micro.Second, 50*micro.Second)) }, func(w *simCluster, l *controllerProc) { w.restart(l, w.span(micro.Second, 8*micro.Second)) }},
		{"hung, refused", true, func(w *simCluster, h *host) { h.hang(w.span(5*micro.Second, 28*micro.Second)) }, func(w *simCluster, l *controllerProc) { w.refuse(l, w.span(6*micro.Second, 12*micro.Second)) }},
		{"deaf, cut", false, func(w *simCluster, h *host) { h.deafen(w.span(5*micro.Second, 40*micro.Second)) }, func(w *simCluster, l *controllerProc) {
			w.cutOff(l, w.span(6*micro.Second, 12*micro.Second), "state", "peers")
		}},
	} {
		each(t, 4, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, []int{3, 5}[seed%2], func(w *simCluster) {
				w.quick = true
				if !c.keepers {
					w.base.KeepLeases = 0
				}
			}, func(w *simCluster) {
				team, other := w.fillsTeam("team", teamMax, order{tasks: 2}), w.fillsTeam("other", teamMax, order{tasks: 4})
				var waits []*job
				for range 4 {
					waits = append(waits, w.wants(order{kind: wire.Service, tasks: 2}).submit(), w.wants(order{kind: wire.Array, tasks: 2, run: 3 * micro.Second, team: "other"}).submit())
				}
				w.sleep(3 * micro.Second)
				gone := []*job{team[0], team[1], team[2], other[0], other[1]}
				lost := map[*host]bool{}
				for _, j := range gone {
					if hs := j.on(); len(hs) > 0 && !lost[hs[0]] {
						lost[hs[0]] = true
						c.lost(w, hs[0])
					}
					go j.cancel()
				}
				for range 2 {
					w.sleep(w.span(0, 1500*micro.Millisecond))
					l := w.leads()
					was := l.current().leading().term
					c.change(w, l)
					w.until("a new term", 20*micro.Second, func() bool {
						n := w.leads().current().leading()
						return n != nil && n.term.Stamp > was.Stamp
					})
				}
				if len(lost) < 2 {
					t.Fatalf("%d machines lost", len(lost))
				}
				w.until("all proven free", 2*micro.Minute, func() bool { return w.proven(gone...) })
				from := w.now()
				w.until("those that waited are served", 10*micro.Second, func() bool {
					n := 0
					for _, j := range waits {
						if j.poll(w.any()); j.is().done || j.running() == 2 {
							n++
						}
					}
					return n >= 3+4 // room for three services, and for all arrays
				})
				t.Logf("served %.1f s after the last proof", (w.now() - from).Seconds())
				for _, j := range gone {
					w.until(j.id+" told", 2*micro.Minute, func() bool { return j.is().aborted })
				}
				w.until("calm", 3*micro.Minute, w.calm)
				w.sleep(cancelSpan)
			})
		})
	}
}

// leads waits for a leader.
func (w *simCluster) leads() *controllerProc {
	w.t.Helper()
	var l *controllerProc
	w.until("somebody leads", 20*micro.Second, func() bool {
		l = w.leader()
		return l != nil && l.leads()
	})
	return l
}

// proven reports whether the leader takes all places of some jobs for free.
func (w *simCluster) proven(jobs ...*job) bool {
	p := w.leader()
	if p == nil {
		return false
	}
	l := p.current().leading()
	if l == nil {
		return false
	}
	ch := make(chan bool, 1)
	go l.post(func() {
		free := l.loaded
		for _, j := range jobs {
			x := l.c.Jobs[j.id]
			free = free && (x == nil || x.State != model.Active && x.HeldN == 0)
		}
		ch <- free
	})
	select {
	case free := <-ch:
		return free
	case <-time.After(time.Second):
		return false
	}
}

// A team was at its limit when the leader changed. Some of its machines could not
// be asked, and a cancellation fell into that spell: what the new leader only knows
// from the records counts until it is proven gone, whether its job is cancelled or
// not.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestTeamAtItsLimitWhenSomeOfItsMachinesCannotBeAsked(t *testing.T) {
	const before, within, after = "before", "within", "after"
	for _, c := range []struct {
		name    string
		keepers bool
		when    string     // the cancellation, as to the change of leader
		there   bool       // of a job on those machines; else of another
		spell   micro.Time // how long they can't be asked
	}{
		{"job there, before", true, before, true, 25 * micro.Second},
		{"job there, within", false, within, true, 25 * micro.Second},
		{"job there, after", true, after, true, 25 * micro.Second},
		{"job there, after, beyond the lease", false, after, true, 50 * micro.Second},
		{"job there, before, beyond the lease", false, before, true, 50 * micro.Second},
		{"another job, before", true, before, false, 25 * micro.Second},
		{"another job, within", false, within, false, 45 * micro.Second},
		{"another job, after", false, after, false, 20 * micro.Second},
	} {
		each(t, 4, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, []int{3, 4}[seed%2], func(w *simCluster) {
				w.quick = true
				if !c.keepers {
					w.base.KeepLeases = 0
				}
			}, func(w *simCluster) {
				full := w.fillsTeam("team", teamMax, order{tasks: 2})
				wait := w.wants(order{kind: wire.Service, tasks: 2, rank: wire.Production}).submit()
				w.sleep(3 * micro.Second)
				if wait.running() > 0 {
					t.Fatal("there was room")
				}
				there := full[w.drawn(len(full))]
				spell := map[*host]bool{}
				for _, h := range there.on() {
					spell[h] = true
					h.deafen(c.spell)
					h.silence(c.spell)
				}
				gone := there
				for _, j := range full {
					apart := true
					for _, h := range j.on() {
						apart = apart && !spell[h]
					}
					if !c.there && apart {
						gone = j
					}
				}
				if c.there != (gone == there) {
					t.Fatal("all of the team's jobs are on machines that can't be asked")
				}
				began := w.now()
				w.sleep(w.span(500*micro.Millisecond, 2*micro.Second))
				if c.when == before {
					go gone.cancel()
					w.sleep(w.span(0, micro.Second))
				}
				l := w.leads()
				was := l.current().leading().term
				w.restart(l, w.span(micro.Second, 6*micro.Second))
				if c.when == within {
					w.sleep(w.span(0, 4*micro.Second))
					go gone.cancel()
				}
				w.until("a new term", 20*micro.Second, func() bool {
					n := w.leads().current().leading()
					return n != nil && n.term.Stamp > was.Stamp
				})
				if c.when == after {
					w.sleep(w.span(0, 3*micro.Second))
					go gone.cancel()
				}
				if w.now() > began+c.spell {
					t.Fatal("the spell was over")
				}
				w.until("proven free", 2*micro.Minute, func() bool { return w.proven(gone) })
				from := w.now()
				w.until("the room is used", 10*micro.Second, func() bool { return wait.running() == 2 })
				t.Logf("used %.1f s after the proof, %.1f s after the spell began", (w.now() - from).Seconds(), (from - began).Seconds())
				w.until("told", micro.Minute, func() bool { return gone.is().aborted })
				w.sleep(cancelSpan + micro.Second)
			})
		})
	}
}

// Jobs were cancelled in the seconds in which one controller's work changed hands:
// at ten moments from a second before to six after.
//
//revive:disable-next-line:cognitive-complexity a scenario in one piece, still to be split
func TestCancelledWhileTheLeaderChanges(t *testing.T) {
	for _, c := range []struct {
		name    string
		nodes   int
		keepers bool
		change  func(w *simCluster, l *controllerProc)
		trouble func(w *simCluster)
	}{
		{"killed", 3, false, func(w *simCluster, l *controllerProc) { w.restart(l, w.span(100*micro.Millisecond, 8*micro.Second)) }, nil},
		{"killed, back within a second", 4, true, func(w *simCluster, l *controllerProc) {
			w.restart(l, w.span(50*micro.Millisecond, 900*micro.Millisecond))
		}, nil},
		{"frozen", 3, false, func(w *simCluster, l *controllerProc) { l.freeze(w.span(4500*micro.Millisecond, 9*micro.Second)) }, nil},
		{"frozen, keepers", 5, true, func(w *simCluster, l *controllerProc) { l.freeze(w.span(4500*micro.Millisecond, 9*micro.Second)) }, nil},
		{"cut", 4, true, func(w *simCluster, l *controllerProc) {
			w.cutOff(l, w.span(4*micro.Second, 12*micro.Second), "state", "peers")
		}, nil},
		{"refused", 3, false, func(w *simCluster, l *controllerProc) { w.refuse(l, w.span(4*micro.Second, 12*micro.Second)) }, nil},
		{"resigns", 4, true, func(_ *simCluster, l *controllerProc) { resigns(l) }, nil},
		{"resigns, no keepers", 3, false, func(_ *simCluster, l *controllerProc) { resigns(l) }, nil},
		{"killed, writes late", 3, false, func(w *simCluster, l *controllerProc) { w.restart(l, w.span(100*micro.Millisecond, 8*micro.Second)) }, func(w *simCluster) { w.unsure(0.3, 0, 8*micro.Second) }},
		{"resigns, answers lost", 4, true, func(_ *simCluster, l *controllerProc) { resigns(l) }, func(w *simCluster) { w.unsure(0, 0.3, 8*micro.Second) }},
		{"frozen, reports late", 3, false, func(w *simCluster, l *controllerProc) { l.freeze(w.span(4500*micro.Millisecond, 9*micro.Second)) }, func(w *simCluster) { w.stale(0.5, 45*micro.Second, 15*micro.Second) }},
	} {
		met := newTally(t)
		each(t, 6, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, c.nodes, func(w *simCluster) {
				if !c.keepers {
					w.base.KeepLeases = 0
				}
			}, func(w *simCluster) {
				met.note(played)
				const n = 10
				var jobs []*job
				for i := range n {
					o := []order{{kind: wire.Service, tasks: 2}, {kind: wire.Array, tasks: 3, run: forever}, {kind: wire.Gang, tasks: 2, run: forever}, {kind: wire.Array, tasks: 2, run: forever, zone: "b"}}[i%4]
					o.team = []string{"team", "other"}[i%2]
					jobs = append(jobs, w.begun(o))
				}
				l := w.leads()
				was := l.current().leading().term
				zero := w.now() + micro.Second
				if c.trouble != nil {
					c.trouble(w)
				}
				for _, j := range jobs {
					look := w.chance(0.5)
					at := w.between(0, 7*micro.Second)
					time.AfterFunc(at, func() {
						go j.watch()
						if look {
							go j.closely()
						}
						j.cancel()
						if look {
							j.closely()
						}
					})
				}
				w.sleep(micro.Second)
				c.change(w, l)
				var led micro.Time
				w.until("a new term", 20*micro.Second, func() bool {
					for _, p := range w.controllers {
						if x := p.current(); x != nil && x.leading() != nil && x.leading().term.Stamp > was.Stamp {
							led = w.now()
						}
					}
					return led > 0
				})
				for _, j := range jobs {
					w.until(j.id+" told", 80*micro.Second, func() bool { return j.is().aborted })
					switch at, _, _, _ := j.aborted(); {
					case at < zero:
						met.note("told before")
					case at < led:
						met.note("told within")
					default:
						met.note("told after")
					}
				}
				w.sleep(cancelSpan + micro.Second)
				for _, j := range jobs {
					if j.running() > 0 {
						t.Errorf("%s runs", j.id)
					}
				}
				w.recovers()
			})
		})
		met.wants(c.name, "told before", "told after")
	}
}

// resigns has a leader hand over.
func resigns(p *controllerProc) {
	if l := p.current().leading(); l != nil {
		l.post(func() { l.resign("a scenario wants it") })
	}
}

// A user had been told that a job is cancelled, and its machines heard nothing of
// it; then the leader changed. The next one answers their reports, and so renews
// their leases: it must order the tasks to stop, though no user asks it to.
func TestNextLeaderStopsWhatWasCancelledBeforeIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(w *simCluster, l *controllerProc)
	}{
		{"killed", func(w *simCluster, l *controllerProc) { w.restart(l, w.span(micro.Second, 8*micro.Second)) }},
		{"refused", func(w *simCluster, l *controllerProc) { w.refuse(l, w.span(6*micro.Second, 12*micro.Second)) }},
		{"resigns", func(_ *simCluster, l *controllerProc) { resigns(l) }},
	} {
		each(t, 4, c.name, func(t *testing.T, seed uint64) {
			play(t, seed, 3, func(w *simCluster) { w.base.KeepLeases = 0 }, func(w *simCluster) {
				jobs := []*job{w.begun(order{kind: wire.Service, tasks: 2}), w.begun(order{kind: wire.Array, tasks: 2, run: forever}), w.begun(order{kind: wire.Gang, tasks: 2, run: forever})}
				w.sleep(3 * micro.Second)
				l := w.leads()
				was := l.current().leading().term
				for _, j := range jobs {
					for _, h := range j.on() {
						h.deafen(w.span(10*micro.Second, 15*micro.Second))
					}
				}
				for _, j := range jobs {
					j.cancel()
				}
				c.change(w, l)
				w.until("a new term", 20*micro.Second, func() bool {
					n := w.leads().current().leading()
					return n != nil && n.term.Stamp > was.Stamp
				})
				for _, j := range jobs {
					if _, _, left, ok := j.aborted(); !ok || left != 2 || j.running() != 2 {
						t.Fatalf("%s: %d tasks when told, %d when the next leader began", j.id, left, j.running())
					}
				}
				w.sleep(cancelSpan)
				w.recovers()
			})
		})
	}
}

// A cancellation's write got no answer, and the leader changed. Where the write was
// carried out after the next leader had begun, the job's end must not get into the
// store behind that one's back: any node would tell it to the user, and the tasks
// would run on.
func TestCancellationCarriedOutAfterTheNextLeaderBegan(t *testing.T) {
	met := newTally(t)
	for name, change := range map[string]func(w *simCluster, l *controllerProc){
		"killed":  func(w *simCluster, l *controllerProc) { w.restart(l, 20*micro.Second) },
		"resigns": func(_ *simCluster, l *controllerProc) { resigns(l) },
		"cut":     func(w *simCluster, l *controllerProc) { w.cutOff(l, 20*micro.Second, "state", "peers") },
	} {
		each(t, 5, name, func(t *testing.T, seed uint64) {
			play(t, seed, 3, func(w *simCluster) { w.base.KeepLeases = 0 }, func(w *simCluster) {
				met.note(played)
				j := w.begun(order{kind: wire.Service, tasks: 2})
				w.sleep(3 * micro.Second)
				old := w.leads()
				w.unsure(1, 0, 300*micro.Millisecond, old)
				go j.withdraw(old)
				w.sleep(200 * micro.Millisecond)
				if n := old.current().leading(); n == nil || !n.records.unsure(j.id) {
					t.Fatal("its write did not go out")
				}
				change(w, old)
				next := w.follows(old)
				_, err := w.store.Get(w.ctx, store.Urgent, endKey(j.id))
				in := err == nil
				w.sleep(13 * micro.Second) // the write is carried out
				if _, err := w.store.Get(w.ctx, store.Urgent, endKey(j.id)); !in && err == nil && !j.is().aborted && j.running() > 0 {
					t.Errorf("the job's end came into the store behind the back of %s", next.name)
				} else if !in && err != nil {
					met.note("refused by its guard")
				}
				for _, p := range w.controllers {
					if p != old || p.leads() {
						j.poll(p)
					}
				}
				if !in {
					w.until("runs", 90*micro.Second, func() bool { return j.running() == 2 })
				}
				w.until("calm", micro.Minute, w.calm)
				j.cancel()
				w.sleep(cancelSpan + micro.Second)
			})
		})
	}
	met.wants("late", "refused by its guard")
}
