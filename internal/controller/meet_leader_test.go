package controller

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Meetings of troubles with a change of leader, or with orders and reports that
// come late. Each story makes sure that its meeting came about; the checker of
// the rules judges all that happens.

// seeds plays a story on several days.
func seeds(t *testing.T, n, nodes int, story func(w *world)) {
	t.Helper()
	for seed := range n {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			play(t, uint64(seed+1), nodes, nil, story)
		})
	}
}

// fills submits a service, a machine a task in one zone, and waits until it runs.
// Of three nodes, zone a has two, which keep its leases in a cut, and b has one,
// which does not.
func (w *world) fills(zone string, tasks int) *job {
	w.t.Helper()
	j := w.wants(order{kind: wire.Service, tasks: tasks, cpus: 4, zone: zone}).submit()
	w.runs(j, tasks)
	return j
}

func (w *world) runs(j *job, tasks int) {
	w.t.Helper()
	w.until(j.id+" runs", 90*micro.Second, func() bool { return j.running() == tasks })
}

// idle makes a machine in each of these zones that is up and empty.
func (w *world) idle(zones ...string) []*host {
	w.t.Helper()
	var out []*host
	var jobs []*job
	for _, zone := range zones {
		jobs = append(jobs, w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: zone, team: "other"}).submit())
	}
	for _, j := range jobs {
		w.runs(j, 1)
	}
	for _, j := range jobs {
		out = append(out, j.on()...)
		j.cancel()
	}
	for _, h := range out {
		w.until("empty", 30*micro.Second, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.w.Tasks) == 0 })
	}
	return out
}

// A direct start was held up, its job was cancelled, and the machine's reports,
// which showed nothing of it, were taken for proof that it would never run: its
// team's room went to another job, and the start arrived.
func TestStartHeldUpBeyondACancellationKeepsItsTeamsRoom(t *testing.T) {
	seeds(t, 4, 3, func(w *world) {
		w.fills("a", 3)
		h := w.idle("a", "b")[0]
		h.holdUp()
		h.deafen(10 * micro.Second)
		held := w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: "a"}).submit()
		w.until("start held up", 5*micro.Second, func() bool { return h.heldUp() == 1 })
		go held.cancel()
		next := w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"}).submit()
		for end := w.now() + 7*micro.Second; w.now() < end && next.running() == 0; {
			w.sleep(50 * micro.Millisecond)
		}
		if !h.release() {
			w.t.Fatal("the machine refused the start: it did not come late")
		}
		w.until("the late start runs", 3*micro.Second, func() bool { return held.running() == 1 })
		w.runs(next, 1)
		if held.running() != 0 {
			w.t.Error("cancelled, and runs on")
		}
	})
}

// A machine hung with the order to stop on its way, and went on seconds later.
func TestStopOnItsWayToAHangingMachineFreesNothing(t *testing.T) {
	for _, d := range []micro.Time{3 * micro.Second, 6 * micro.Second, 14 * micro.Second} {
		t.Run(d.Std().String(), func(t *testing.T) {
			t.Parallel()
			play(t, 1, 3, nil, func(w *world) {
				full := w.fills("a", 4)
				h := full.on()[0]
				h.hang(d)
				go full.cancel()
				next := w.wants(order{kind: wire.Service, tasks: 4, cpus: 4, zone: "b"}).submit()
				w.sleep(d - micro.Second)
				if full.running() != 1 && h.alive() {
					w.t.Fatalf("%d tasks run, want that on the hanging machine", full.running())
				}
				w.runs(next, 4)
				w.until("told", 60*micro.Second, func() bool { return full.is().aborted })
			})
		})
	}
}

// Half of a zone's workers reached no controller, while orders reached them: they
// went on with their tasks, which must not begin elsewhere before their leases ran
// out, whoever leads.
func TestWorkersThatReachNobodyKeepTheirTasks(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			seeds(t, 3, 3, func(w *world) {
				long, short := w.fills("b", 3), w.fills("b", 1)
				mute := append(long.on()[:2], short.on()...)
				for _, h := range mute {
					h.silence(20 * micro.Second)
				}
				go short.cancel()
				w.until("stopped by a direct order", 4*micro.Second, func() bool { return short.running() == 0 })
				if !mute[2].mute() {
					w.t.Fatal("it reaches the controllers again")
				}
				if changes {
					w.depose(5 * micro.Second)
				}
				w.until("heard again", 30*micro.Second, func() bool { return !mute[0].mute() })
				w.sleep(10 * micro.Second)
				if long.running() != 3 || long.starts() != 3 {
					w.t.Errorf("%d of its tasks run, %d starts", long.running(), long.starts())
				}
			})
		})
	}
}
