package controller

import (
	"sync/atomic"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Where machines come up late or never, and where their return is carried out late.

// A machine whose return was asked for never gets another task, though the request
// is carried out a minute later and the next leader hears the machine report:
// whatever is on it then goes with it.
func TestMachineOnItsWayBackGetsNoTaskFromTheNextLeader(t *testing.T) {
	for _, end := range []string{"handed over", "ended", "ended before its record was written"} {
		t.Run(end, func(t *testing.T) {
			play(t, 3, 3, func(w *simCluster) {
				w.quick = true
				w.base.IdleReturn = 5 * micro.Second
			}, func(w *simCluster) {
				l, _ := w.led()
				w.until("the forms of this version in use", micro.Minute, func() bool {
					_, err := w.store.Get(w.ctx, store.Routine, formatKey)
					return err == nil
				})
				w.sleep(micro.Second) // and its leader told
				w.starts = func(h *host, k fake.Key) {
					if at, ok := w.askedBack(h.w.Name); ok {
						t.Errorf("%v: %s starts on %s, whose return was asked for at %v", w.now(), k.Task, h.w.Name, at)
					}
				}
				j := w.wants(order{kind: wire.Array, tasks: 2, cpus: 2, run: 3 * micro.Second}).submit()
				w.until("done", micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
				w.mu.Lock()
				w.cloud.late = micro.Minute
				w.mu.Unlock()
				var held atomic.Bool
				if end == "ended before its record was written" {
					w.meets(l, "hire/", func(int, wire.Change) fake.Fate {
						held.Store(true)
						return fake.Fate{Mute: true, After: micro.Minute}
					})
				}
				w.until("a return asked for, or about to be", micro.Minute, func() bool {
					if held.Load() {
						w.sleep(micro.Second)
						return true
					}
					return w.anyAskedBack()
				})
				if end == "handed over" {
					l.handOver()
				} else {
					w.kill(l)
				}
				w.until("another leads", micro.Minute, func() bool { x := w.leader(); return x != nil && x != l })
				w.sleep(3 * micro.Second) // its workers report to it
				next := w.wants(order{kind: wire.Array, tasks: 4, cpus: 2, run: 3 * micro.Second}).submit()
				w.until("done on another machine", micro.Minute, func() bool { return stateOf(next.poll(w.any())) == wire.JobDone })
				w.sleep(2 * micro.Minute)
				for _, h := range w.hosts() {
					if at, ok := w.askedBack(h.w.Name); ok && w.now()-at > 90*micro.Second {
						t.Errorf("%s is still there", h.w.Name)
					}
				}
			})
		})
	}
}

// The tasks of a dead machine begin elsewhere without waiting until the store knows
// that the machine is to be returned: behind the writes of a busy hour that took 14 s.
// A machine that holds nothing is in no hurry.
func TestOnlyTheReturnOfAMachineWithoutTasksWaitsForItsRecord(t *testing.T) {
	play(t, 5, 3, func(w *simCluster) { w.quick = true }, func(w *simCluster) {
		l, _ := w.led()
		w.until("the forms of this version in use", micro.Minute, func() bool { return l.current().leading().c.Compact })
		long := w.wants(order{kind: wire.Array, tasks: 1, cpus: 4, run: 3 * micro.Minute}).submit()
		short := w.wants(order{kind: wire.Array, tasks: 1, cpus: 4, run: 20 * micro.Second}).submit()
		w.until("both run", micro.Minute, func() bool { return long.running() == 1 && short.running() == 1 })
		busy, idle := long.on()[0].w.Name, short.on()[0].w.Name
		w.until("one is done", micro.Minute, func() bool { return stateOf(short.poll(w.any())) == wire.JobDone })
		w.sleep(micro.Second)
		lead := w.leader().current().leading()
		waits := make(chan map[string]bool, 1)
		lead.post(func() {
			found := map[string]bool{}
			for _, name := range []string{busy, idle} {
				m := lead.c.Machines[name]
				lead.giveBack(m, "for a test")
				found[name] = !lead.recorded(m)
			}
			waits <- found
		})
		found := <-waits
		if found[busy] {
			t.Error("the return of a machine with a task waits for the record")
		}
		if !found[idle] {
			t.Error("the return of an idle machine does not wait for the record")
		}
	})
}

// anyAskedBack reports whether the return of any machine was asked for.
func (w *simCluster) anyAskedBack() bool {
	for _, h := range w.hosts() {
		if _, ok := w.askedBack(h.w.Name); ok {
			return true
		}
	}
	return false
}

// askedBack is when the return of a machine was first asked for.
func (w *simCluster) askedBack(name string) (micro.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.cloud.asked[name]
	return at, ok
}

// Machines that never come up, listed as booting or not listed at all, are charged
// for a bounded time, and a few at a time.
func TestMachinesThatNeverComeAreChargedForABoundedTime(t *testing.T) {
	for _, unlisted := range []bool{false, true} {
		name := "listed as booting"
		if unlisted {
			name = "not listed"
		}
		t.Run(name, func(t *testing.T) {
			play(t, 4, 3, func(w *simCluster) {
				w.cloud.never = 1
				if unlisted {
					w.cloud.hides = func(string) bool { return true }
				}
			}, func(w *simCluster) {
				w.led()
				const trouble = 3 * micro.Minute
				j := w.wants(order{kind: wire.Array, tasks: 4, run: 3 * micro.Second}).submit() // fits one machine
				w.sleep(trouble)
				w.mu.Lock()
				w.cloud.never = 0
				all := len(w.workers)
				w.mu.Unlock()
				w.until("done", micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
				w.sleep(3 * micro.Minute)
				left := len(w.cloud.Rented())
				charged := w.cloud.charged()
				t.Logf("%d machines never came up, charged for %.0f s in all, %d are left", all, charged.Seconds(), left)
				// Another is asked for after 1.6 boot times and 2 s of the last, and each
				// goes back after four boot times and two lists.
				boot := 5 * micro.Second
				if most := 1 + int(trouble/(boot*8/5+2*micro.Second)); all > most {
					t.Errorf("%d machines were rented, at most %d", all, most)
				}
				if most := micro.Time(all+1) * (4*boot + 25*micro.Second); charged > most+2*micro.Minute {
					t.Errorf("%.0f s of machines are charged, at most %.0f", charged.Seconds(), most.Seconds())
				}
				if left > 0 {
					t.Errorf("%d machines are left", left)
				}
			})
		})
	}
}

// All machines of the cheapest type fail to boot, in both zones and kinds: work
// that another type fits goes there.
func TestWavesOfFailedBootsStarveNoClass(t *testing.T) {
	play(t, 6, 3, func(w *simCluster) {
		w.cloud.fails = func(r wire.Rental) bool { return r.Type == "small" }
	}, func(w *simCluster) {
		w.led()
		for i := range 6 {
			at := w.now()
			j := w.wants(order{kind: wire.Array, tasks: 12, run: 10 * micro.Second, team: []string{"team", "other"}[i%2], spot: i%3 == 0}).submit()
			w.until("done", 2*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
			t.Logf("done after %.0f s", (w.now() - at).Seconds())
		}
	})
}
