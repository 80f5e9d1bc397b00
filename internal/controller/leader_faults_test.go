package controller

import (
	"context"
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Meetings of troubles with a change of leader, or with orders and reports that
// come late. Each scenario makes sure that its meeting came about; the checker of
// the rules judges all that happens.

// seeds plays a scenario on several days.
func seeds(t *testing.T, n, nodes int, scenario func(w *simCluster)) {
	t.Helper()
	for seed := range n {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			play(t, uint64(seed+1), nodes, nil, scenario)
		})
	}
}

// fills submits a service, a machine a task in one zone, and waits until it runs.
// Of three nodes, zone a has two, which keep its leases in a cut, and b has one,
// which does not.
func (w *simCluster) fills(zone string, tasks int) *job {
	w.t.Helper()
	j := w.wants(order{kind: wire.Service, tasks: tasks, cpus: 4, zone: zone}).submit()
	w.runs(j, tasks)
	return j
}

func (w *simCluster) runs(j *job, tasks int) {
	w.t.Helper()
	w.until(j.id+" runs", 90*micro.Second, func() bool { return j.running() == tasks })
}

// idle makes a machine in each of these zones that is up and empty.
func (w *simCluster) idle(zones ...string) []*host {
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
	seeds(t, 4, 3, func(w *simCluster) {
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
			play(t, 1, 3, nil, func(w *simCluster) {
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
			seeds(t, 3, 3, func(w *simCluster) {
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

// Workers that reach no controller for long end their tasks with their leases,
// though direct orders still arrive, which renew nothing: the tasks begin elsewhere
// as soon as that is sure, and not only once their machines are given up.
func TestTasksOfWorkersThatReachNobodyForLongBeginElsewhere(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			seeds(t, 3, 3, func(w *simCluster) {
				j := w.fills("b", 4)
				mute := j.on()[:2]
				for _, h := range mute {
					h.silence(2 * micro.Minute)
				}
				from := w.now()
				if changes {
					w.depose(5 * micro.Second)
				}
				w.until("killed", 32*micro.Second, func() bool { return j.running() == 2 })
				w.until("begun elsewhere", 50*micro.Second-(w.now()-from), func() bool { return j.running() == 4 })
				if !mute[0].mute() || !mute[1].mute() {
					w.t.Fatal("they reach the controllers again")
				}
				w.sleep(80 * micro.Second) // they are back meanwhile
				if j.running() != 4 || j.starts() != 6 {
					w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
				}
			})
		})
	}
}

// All controllers ended, and one was back within a second: whoever had led, its
// tasks are known, and those of the leader before are taken over at once.
func TestOneControllerIsBackWithinASecondOfTheEndOfAll(t *testing.T) {
	for _, after := range []micro.Time{100, 300, 500, 700, 900} {
		for _, led := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d ms, led %v", after, led), func(t *testing.T) {
				t.Parallel()
				play(t, 1, 3, nil, func(w *simCluster) {
					j := w.fills("b", 4)
					l, was := w.leader(), w.term()
					back := l
					for _, p := range w.controllers {
						w.kill(p)
						if !led && p != l {
							back = p
						}
					}
					w.restart(back, after*micro.Millisecond)
					most := 10 * micro.Second
					if led {
						most = after*micro.Millisecond + 500*micro.Millisecond // no need to wait for its own old lease
					}
					w.until("leads", most, func() bool { x := w.term(); return x > was })
					w.sleep(20 * micro.Second)
					for _, p := range w.controllers {
						if p != back {
							w.begin(p)
						}
					}
					w.depose(micro.Second)
					w.sleep(20 * micro.Second)
					if j.running() != 4 || j.starts() != 4 {
						w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
					}
				})
			})
		}
	}
}

// All ended, one came back and ended again in mid-election: it had won, and never
// knew. Back once more, it does not wait for the lease that it then took.
func TestNodeThatEndedInMidElectionLeadsAtOnceWhenItIsBack(t *testing.T) {
	for _, after := range []micro.Time{100, 500, 900} {
		t.Run(fmt.Sprintf("%d ms", after), func(t *testing.T) {
			t.Parallel()
			play(t, 1, 3, nil, func(w *simCluster) {
				j := w.fills("b", 4)
				p, was := w.leader(), w.term()
				for _, p := range w.controllers {
					w.kill(p)
				}
				w.sleep(300 * micro.Millisecond)
				w.begin(p)
				w.slow(600*micro.Millisecond, 5*micro.Second)
				won := func() bool {
					it, err := w.store.Get(context.Background(), store.Leadership, election.Key)
					return err == nil && uint64(it.Version) > was
				}
				for end := w.now() + 20*micro.Second; !won() && w.now() < end; {
					w.sleep(5 * micro.Millisecond)
				}
				if !won() || w.leader() != nil {
					w.t.Fatal("it was to have won without knowing")
				}
				w.restart(p, after*micro.Millisecond)
				w.until("leads", (after+500)*micro.Millisecond, func() bool { return w.leader() == p })
				w.sleep(20 * micro.Second)
				if j.running() != 4 || j.starts() != 4 {
					w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
				}
			})
		})
	}
}

// The store refused the leader alone just as tasks ended and others got their
// places: a start whose record cannot be written must not go out, since the next
// leader could not know of it.
func TestStartWhoseRecordIsNotWrittenDoesNotGoOut(t *testing.T) {
	for _, before := range []micro.Time{100, 500, 1500} {
		t.Run(fmt.Sprintf("%d ms", before), func(t *testing.T) {
			t.Parallel()
			play(t, 1, 3, nil, func(w *simCluster) {
				j := w.wants(order{kind: wire.Array, tasks: 6, run: 20 * micro.Second, cpus: 4}).submit()
				w.runs(j, 4)
				w.until("soon over", 30*micro.Second, func() bool { return len(w.ripe(j, 20*micro.Second-before*micro.Millisecond)) > 0 })
				l, was := w.leader(), w.term()
				w.refuse(l, 8*micro.Second)
				w.until("one ended", 5*micro.Second, func() bool { return j.running() < 4 })
				if w.term() != was {
					w.t.Fatal("it leads no more: it would have started nothing anyway")
				}
				w.until("another leader", 20*micro.Second, func() bool { x := w.leader(); return x != nil && x != l })
				w.until("done", 90*micro.Second, func() bool { j.poll(w.any()); return j.is().done })
				if j.starts() != 6 {
					w.t.Errorf("%d starts of 6 tasks", j.starts())
				}
			})
		})
	}
}

// Leaders changed ten times in two minutes, each as a start went out, and one of
// them inside an outage: a start goes out only once the next leader can read of it.
func TestTenLeadersInTwoMinutesStartNothingTwice(t *testing.T) {
	seeds(t, 3, 3, func(w *simCluster) {
		long := w.fills("b", 2)
		w.sleep(90 * micro.Second) // the first leader has counted its token up
		from := w.now()
		var jobs []*job
		terms := map[uint64]bool{}
		w.slow(300*micro.Millisecond, 2*micro.Minute)
		for i := range 10 {
			j := w.wants(order{kind: wire.Array, tasks: 2, run: 15 * micro.Second, cpus: 1}).submit()
			jobs = append(jobs, j)
			w.until("a start", 20*micro.Second, func() bool { return j.starts() > 0 })
			if i == 5 {
				w.outage(4 * micro.Second)
			}
			w.depose(500 * micro.Millisecond)
			terms[w.term()] = true
		}
		if len(terms) < 10 || w.now()-from > 2*micro.Minute {
			w.t.Fatalf("%d terms in %v s", len(terms), (w.now() - from).Seconds())
		}
		for _, j := range jobs {
			w.until(j.id+" is done", 90*micro.Second, func() bool { j.poll(w.any()); return j.is().done })
			if j.starts() != 2 {
				w.t.Errorf("%s: %d starts of 2 tasks", j.id, j.starts())
			}
		}
		if long.running() != 2 || long.starts() != 2 {
			w.t.Errorf("%d of the long tasks run, %d starts", long.running(), long.starts())
		}
	})
}

// A zone with two or three of five controllers was cut off for longer than the
// workers' leases, which its controllers kept: what runs there runs on, once.
func TestZoneCutOffForLongerThanALeaseKeepsItsTasks(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		t.Run(zone, func(t *testing.T) {
			seeds(t, 2, 5, func(w *simCluster) {
				j := w.wants(order{kind: wire.Service, tasks: 4, cpus: 2, zone: zone}).submit()
				w.runs(j, 4)
				was := w.leader()
				w.cutZone(zone, 55*micro.Second)
				w.sleep(50 * micro.Second)
				l := w.leader()
				if l == nil || l.zone == zone || was.zone == zone && l == was {
					w.t.Fatal("the other zone should lead")
				}
				if j.running() != 4 {
					w.t.Errorf("%d tasks run: leases were not kept", j.running())
				}
				w.until("over", 30*micro.Second, w.calm)
				w.sleep(20 * micro.Second)
				if j.running() != 4 || j.starts() != 4 {
					w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
				}
			})
		})
	}
}

// The tasks of a job end far apart, and the leader ends soon after the first: its
// completion is not forgotten by the worker before the next leader can read of it.
func TestTasksThatEndFarApartAcrossAChangeOfLeaderRunOnce(t *testing.T) {
	for _, tasks := range []int{2, 3} {
		for _, after := range []micro.Time{700, 900, 1100, 1300, 8000} {
			t.Run(fmt.Sprintf("%d tasks, %d ms", tasks, after), func(t *testing.T) {
				t.Parallel()
				play(t, 1, 3, nil, func(w *simCluster) {
					j := w.wants(order{kind: wire.Array, tasks: tasks, run: 5 * micro.Second, apart: 25 * micro.Second, cpus: 1}).submit()
					w.until("one ended", 60*micro.Second, func() bool { return j.starts() == tasks && j.running() == tasks-1 })
					w.sleep(after * micro.Millisecond)
					w.depose(micro.Second)
					if j.running() != tasks-1 {
						w.t.Fatal("the others were to run on")
					}
					w.until("done", 90*micro.Second, func() bool { j.poll(w.any()); return j.is().done })
					if j.starts() != tasks {
						w.t.Errorf("%d starts of %d tasks", j.starts(), tasks)
					}
				})
			})
		}
	}
}

// A report from before a task began arrives after newer ones, also under another
// leader that has acted: that the task is missing in it proves nothing.
func TestReportFromBeforeATaskBeganFreesNothing(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			seeds(t, 2, 3, func(w *simCluster) {
				w.tape()
				w.idle("a") // it reports a while before it has a task
				j := w.fills("a", 1)
				h := j.on()[0]
				if changes {
					w.depose(5 * micro.Second)
				}
				w.sleep(8 * micro.Second) // the machine was heard since
				h.late(j)
				w.sleep(30 * micro.Second)
				if j.running() != 1 || j.starts() != 1 {
					w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
				}
			})
		})
	}
}

// An old report reaches every controller just as a new leader begins, which has
// heard nothing newer: a cancelled job's task is missing in it, and yet runs.
func TestOldReportToANewLeaderFreesNoCancelledTask(t *testing.T) {
	seeds(t, 4, 3, func(w *simCluster) {
		w.tape()
		w.idle("b") // it reports a while before it has a task
		j := w.fills("b", 1)
		h := j.on()[0]
		w.fills("a", 3)
		w.idle("a") // ready for what is next
		h.isolate(20 * micro.Second)
		j.cancel()
		next := w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: "a"}).submit()
		w.depose(5 * micro.Second)
		h.late(j)
		w.sleep(4 * micro.Second)
		if j.running() != 1 {
			w.t.Fatal("its task was to run on, out of reach")
		}
		w.runs(next, 1)
	})
}

// A machine died with a report on its way, which arrives once a new leader has
// begun: it is no sign of life, and work that waits is not sent there.
func TestReportHeldBackUntilAnotherLeaderActsIsNoSignOfLife(t *testing.T) {
	seeds(t, 3, 3, func(w *simCluster) {
		w.tape()
		h := w.idle("b")[0]
		j := w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: "b"})
		h.die()
		w.depose(5 * micro.Second)
		w.sleep(micro.Second)
		h.late(j)
		from := w.now()
		j.submit()
		w.runs(j, 1)
		if took := w.now() - from; took > 12*micro.Second {
			w.t.Errorf("it ran after %v s: another machine is up within 8", took.Seconds())
		}
	})
}

// A report of an earlier attempt arrives while the next one runs elsewhere. To
// the leader that knows its lease ran out it means nothing, not even room that is
// taken; the next leader counts what it shows until it is proven gone. Neither
// starts anything for it.
func TestReportOfAnEarlierAttemptStartsNothing(t *testing.T) {
	for _, changes := range []bool{false, true} {
		t.Run(fmt.Sprint("another leader ", changes), func(t *testing.T) {
			seeds(t, 3, 3, func(w *simCluster) {
				w.tape()
				j := w.fills("b", 1)
				h := j.on()[0]
				w.sleep(5 * micro.Second)
				h.isolate(60 * micro.Second)
				w.until("another attempt", 60*micro.Second, func() bool { return j.starts() == 2 && j.running() == 1 && j.on()[0] != h })
				if changes {
					w.depose(5 * micro.Second)
				}
				h.lateWith(j)
				from := w.now()
				w.fills("a", 3)
				if took := w.now() - from; !changes && took > 12*micro.Second {
					w.t.Errorf("the team's room was held for %v s by a task that is gone", took.Seconds())
				}
				w.sleep(50 * micro.Second)
				if j.running() != 1 || j.starts() != 2 {
					w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
				}
			})
		})
	}
}

// A report of a session that is over arrives under a new leader, which has heard
// of the next session, and of a task that runs in it.
func TestReportOfAnEarlierSessionChangesNothing(t *testing.T) {
	seeds(t, 2, 3, func(w *simCluster) {
		w.tape()
		w.idle("b", "b")
		j := w.fills("b", 2)
		old := j.on()
		for _, h := range old {
			h.isolate(36 * micro.Second)
		}
		sessions := func() bool {
			for _, h := range old {
				h.mu.Lock()
				over := h.w.Session > 1
				h.mu.Unlock()
				if !over {
					return false
				}
			}
			return true
		}
		w.until("another session", 50*micro.Second, sessions)
		w.sleep(10 * micro.Second)
		var again []*job
		for range 4 { // so many that the machines of before are used again
			again = append(again, w.wants(order{kind: wire.Service, tasks: 1, cpus: 4, zone: "b", team: "other"}).submit())
		}
		for _, x := range again {
			w.runs(x, 1)
		}
		w.runs(j, 2)
		used := 0
		for _, x := range again {
			if h := x.on()[0]; h == old[0] || h == old[1] {
				used++
			}
		}
		if used == 0 && j.on()[0] != old[0] {
			w.t.Fatal("none of the machines is used again")
		}
		n := j.starts()
		for range 2 {
			w.depose(micro.Second)
			w.sleep(8 * micro.Second)
			for _, h := range old {
				h.late(j)
			}
			w.sleep(8 * micro.Second)
		}
		for _, x := range again {
			if x.running() != 1 || x.starts() != 1 {
				w.t.Errorf("%s: %d of its tasks run, %d starts", x.id, x.running(), x.starts())
			}
		}
		if j.running() != 2 || j.starts() != n {
			w.t.Errorf("%d of its tasks run, %d starts, %d before", j.running(), j.starts(), n)
		}
	})
}

// All controllers were away for longer than the workers' leases, which killed
// their tasks: each begins again, once.
func TestAllControllersAwayForLongerThanALease(t *testing.T) {
	for _, away := range []micro.Time{32, 45, 70} {
		t.Run(fmt.Sprintf("%d s", away), func(t *testing.T) {
			t.Parallel()
			play(t, 1, 3, nil, func(w *simCluster) {
				j := w.fills("a", 4)
				for _, p := range w.controllers {
					w.restart(p, away*micro.Second+micro.Time(w.drawn(900))*micro.Millisecond)
				}
				w.until("killed", 40*micro.Second, func() bool { return j.running() == 0 })
				w.until("back", 90*micro.Second, func() bool { return w.leader() != nil })
				w.runs(j, 4)
				w.sleep(20 * micro.Second)
				if j.running() != 4 || j.starts() != 8 {
					w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
				}
			})
		})
	}
}

// The leader ended while machines with long tasks could not be reached, or heard
// no answer. The next one has heard nothing of them, and counts their leases from
// its takeover, since the last leader may have renewed them until then.
func TestLeaderEndsWhileMachinesWithLongTasksAreOutOfReach(t *testing.T) {
	for what, cut := range map[string]func(*host, micro.Time){"unreachable": (*host).isolate, "deaf": (*host).deafen} {
		for _, zone := range []string{"a", "b"} {
			t.Run(what+" in "+zone, func(t *testing.T) {
				seeds(t, 3, 3, func(w *simCluster) {
					j := w.fills(zone, 4)
					for _, h := range j.on()[:2] {
						cut(h, 20*micro.Second)
					}
					w.depose(5 * micro.Second)
					if !j.on()[0].deaf() {
						w.t.Fatal("it hears again")
					}
					w.sleep(40 * micro.Second)
					if j.running() != 4 || j.starts() != 4 {
						w.t.Errorf("%d of its tasks run, %d starts", j.running(), j.starts())
					}
				})
			})
		}
	}
}
