package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/policy"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// What meets a move of a share. The checker of the rules judges each scenario: no task
// on two machines, no limit passed, nothing on after its cancellation.

// shareAtWork waits until n-2 owns the share and runs a service of three replicas in it.
func (w *simCluster) shareAtWork() *job {
	w.t.Helper()
	w.owned("n-2", 2*micro.Minute)
	j := w.wants(order{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
	w.runs(j, 3)
	return j
}

// settlesAgain waits until some controller owns the share and all of a service runs.
func (w *simCluster) settlesAgain(j *job, replicas int) {
	w.t.Helper()
	w.until("the share is owned again", 3*micro.Minute, func() bool {
		e, ok := w.shareRecord()
		if !ok || e.Record.State != share.Owned {
			return false
		}
		n := w.controllerOf(e.Record.Owner.Node).current()
		l := (*Lead)(nil)
		if n != nil {
			l = n.shares.owner("east")
		}
		return l != nil && l.serving.Load()
	})
	w.until("all replicas run", 3*micro.Minute, func() bool { return j.running() == replicas })
}

// begins asks for a move to a controller until it is taken: another change of the share
// may be under way.
func (w *simCluster) begins(to string) {
	w.t.Helper()
	w.until("the move is taken", micro.Minute, func() bool {
		r := w.command(share.Command{Operation: share.Move, Share: "east", Target: to})
		return r.Refused == "" || strings.Contains(r.Refused, share.ErrMoving.Error()) || strings.Contains(r.Refused, share.ErrSameOwner.Error())
	})
}

// A move begins while a task is being placed: while the write of its record has no
// answer (carried out at once, late, or never), or with its start held up on the way.
func TestMoveMeetsAPlacement(t *testing.T) {
	for name, fate := range map[string]fake.Fate{
		"record carried out, no answer":    {Mute: true},
		"record carried out late":          {Mute: true, After: 6 * micro.Second},
		"record not carried out":           {Refused: true},
		"record carried out a minute late": {Mute: true, After: micro.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			playShare(t, 11, 3, func(w *simCluster) {
				service := w.shareAtWork()
				owner, met := w.controllerOf("n-2"), false
				w.meets(owner, share.AllocationPrefix, func(n int, _ wire.Change) fake.Fate {
					if n > 2 {
						return fake.Fate{}
					}
					if !met {
						met = true
						go w.begins("n-0")
					}
					return fate
				})
				array := w.wants(order{kind: wire.Array, tasks: 3, run: 5 * micro.Second, zone: "b"}).submit()
				w.until("done", 3*micro.Minute, func() bool { return stateOf(array.poll(w.any())) == wire.JobDone })
				if !met {
					w.t.Error("the move met no placement")
				}
				w.settlesAgain(service, 3)
				if service.starts() != 3 {
					w.t.Errorf("%d starts of 3 replicas", service.starts())
				}
			})
		})
	}
}

// The start of a task is held up on its way, the share moves, and it arrives a minute
// after the job was cancelled through the next owner.
func TestStartHeldUpBeyondAMoveChangesNothing(t *testing.T) {
	playShare(t, 12, 3, func(w *simCluster) {
		service := w.shareAtWork()
		for _, h := range w.hosts() {
			h.holdUp()
		}
		array := w.wants(order{kind: wire.Array, tasks: 2, run: micro.Minute, zone: "b"}).submit()
		w.sleep(3 * micro.Second)
		w.moves("n-0")
		if got := array.cancel(); got != wire.JobAborted {
			w.t.Fatalf("cancelled: %s", got)
		}
		w.sleep(micro.Minute)
		for _, h := range w.hosts() {
			h.release()
		}
		w.sleep(5 * micro.Second)
		if array.running() != 0 {
			w.t.Error("a cancelled task runs")
		}
		w.settlesAgain(service, 3)
	})
}

// The controllers of a move end, stand still or are cut off, alone and together, before
// it and while its transaction is under way; some are back within a fraction of a second.
func TestControllersFailDuringAMove(t *testing.T) {
	soon, later := 100*micro.Millisecond, 8*micro.Second
	troubles := map[string]func(w *simCluster, owner, target, leader *controllerProc){
		"owner ends":           func(w *simCluster, o, _, _ *controllerProc) { w.restart(o, later) },
		"owner ends, is back":  func(w *simCluster, o, _, _ *controllerProc) { w.restart(o, soon) },
		"target ends":          func(w *simCluster, _, x, _ *controllerProc) { w.restart(x, later) },
		"target ends, is back": func(w *simCluster, _, x, _ *controllerProc) { w.restart(x, soon) },
		"leader ends":          func(w *simCluster, _, _, l *controllerProc) { w.restart(l, later) },
		"both ends end":        func(w *simCluster, o, x, _ *controllerProc) { w.restart(o, later); w.restart(x, soon) },
		"all end": func(w *simCluster, o, x, l *controllerProc) {
			w.restart(o, soon)
			w.restart(x, later)
			w.restart(l, later)
		},
		"owner freezes":        func(w *simCluster, o, _, _ *controllerProc) { o.freeze(12 * micro.Second) },
		"target freezes":       func(w *simCluster, _, x, _ *controllerProc) { x.freeze(12 * micro.Second) },
		"owner loses store":    func(w *simCluster, o, _, _ *controllerProc) { w.cutOff(o, 20*micro.Second, "state") },
		"owner loses workers":  func(w *simCluster, o, _, _ *controllerProc) { w.cutOff(o, 40*micro.Second, "workers") },
		"target loses workers": func(w *simCluster, _, x, _ *controllerProc) { w.cutOff(x, 40*micro.Second, "workers") },
		"owner refused":        func(w *simCluster, o, _, _ *controllerProc) { w.refuse(o, 20*micro.Second) },
		"outage":               func(w *simCluster, _, _, _ *controllerProc) { w.outage(12 * micro.Second) },
	}
	for name, trouble := range troubles {
		for _, after := range []micro.Time{0, 15 * micro.Millisecond, 300 * micro.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", after.Std()), func(t *testing.T) {
				t.Parallel()
				playShare(t, 13, 3, func(w *simCluster) {
					service := w.shareAtWork()
					leader, _ := w.led()
					target := "n-0"
					if leader.name == target {
						target = "n-1"
					}
					w.begins(target)
					w.sleep(after)
					trouble(w, w.controllerOf("n-2"), w.controllerOf(target), leader)
					w.sleep(30 * micro.Second)
					w.settlesAgain(service, 3)
				})
			})
		}
	}
}

// The transaction that hands over gets no answer: it was carried out, or will be seconds
// later, or never.
func TestHandOverWithoutAnAnswer(t *testing.T) {
	for name, fate := range map[string]fake.Fate{
		"carried out":               {Mute: true},
		"carried out 3 s late":      {Mute: true, After: 3 * micro.Second},
		"carried out a minute late": {Mute: true, After: micro.Minute},
		"refused":                   {Refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			playShare(t, 14, 3, func(w *simCluster) {
				service := w.shareAtWork()
				tries := 0
				w.meets(w.controllerOf("n-2"), share.RecordPrefix, func(n int, _ wire.Change) fake.Fate {
					tries = n
					if n <= 2 {
						return fate
					}
					return fake.Fate{}
				})
				w.begins("n-0")
				w.owned("n-0", micro.Minute)
				w.sleep(70 * micro.Second)
				w.settlesAgain(service, 3)
				if tries == 0 || service.starts() != 3 {
					w.t.Errorf("%d transactions met, %d starts of 3 replicas", tries, service.starts())
				}
			})
		})
	}
}

// Late copies of reports of the old owner's time reach the next one, machines hang
// through the whole move, others hear nothing.
func TestLateReportsAndHangingMachinesMeetAMove(t *testing.T) {
	for seed := range uint64(4) {
		playShare(t, 20+seed, 3, func(w *simCluster) {
			service := w.shareAtWork()
			w.stale(0.5, 45*micro.Second, 2*micro.Minute)
			on := service.on()
			on[0].hang(8 * micro.Second)
			on[len(on)-1].deafen(6 * micro.Second)
			for _, to := range []string{"n-0", "n-1", "n-2"} {
				w.begins(to)
				w.sleep(9 * micro.Second)
			}
			w.sleep(micro.Minute)
			w.settlesAgain(service, 3)
		})
	}
}

// Jobs are cancelled, and a team is at its limit, while their machines move.
func TestCancellationsMeetAMove(t *testing.T) {
	for seed := range uint64(4) {
		playShare(t, 30+seed, 3, func(w *simCluster) {
			w.owned("n-2", 2*micro.Minute)
			full := w.wants(order{kind: wire.Service, tasks: 4, cpus: 4, zone: "b"}).submit()
			w.runs(full, 4)
			next := w.wants(order{kind: wire.Array, tasks: 4, cpus: 4, run: 5 * micro.Second, zone: "b"}).submit()
			w.begins("n-0")
			w.sleep(micro.Time(seed) * 10 * micro.Millisecond)
			if got := full.cancel(); got != wire.JobAborted {
				w.t.Errorf("cancelled during a move: %s", got)
			}
			w.until("the next job is done", 4*micro.Minute, func() bool { return stateOf(next.poll(w.any())) == wire.JobDone })
		})
	}
}

// A gang loses a member while its machines move: it starts anew, whole.
func TestGangLosesAMemberWhileItsMachinesMove(t *testing.T) {
	playShare(t, 35, 3, func(w *simCluster) {
		w.owned("n-2", 2*micro.Minute)
		gang := w.wants(order{kind: wire.Gang, tasks: 3, cpus: 4, run: 30 * micro.Second, zone: "b"}).submit()
		w.until("the gang runs", 2*micro.Minute, func() bool { return gang.running() == 3 })
		w.begins("n-1")
		gang.on()[0].die()
		w.until("done", 5*micro.Minute, func() bool { return stateOf(gang.poll(w.any())) == wire.JobDone })
	})
}

// A move that cannot be is refused with its reason, and a repeated one is harmless.
func TestMovesAreRefusedWithAReason(t *testing.T) {
	playShare(t, 36, 3, func(w *simCluster) {
		service := w.shareAtWork()
		for _, c := range []struct {
			command share.Command
			says    string
		}{
			{share.Command{Operation: share.Move, Share: "east", Target: "n-2"}, share.ErrSameOwner.Error()},
			{share.Command{Operation: share.Move, Share: "east", Target: "n-9"}, share.ErrNoTarget.Error()},
			{share.Command{Operation: share.Move, Share: "west", Target: "n-0"}, "no share"},
			{share.Command{Operation: share.Cancel, Share: "east"}, share.ErrNotMoving.Error()},
			{share.Command{Operation: "melt", Share: "east"}, "no operation"},
		} {
			if r := w.command(c.command); !strings.Contains(r.Refused, c.says) {
				w.t.Errorf("%+v: %q, not %q", c.command, r.Refused, c.says)
			}
		}
		w.kill(w.controllerOf("n-0"))
		w.until("its session is over", micro.Minute, func() bool {
			return strings.Contains(w.command(share.Command{Operation: share.Move, Share: "east", Target: "n-0"}).Refused, share.ErrNoTarget.Error())
		})
		w.settlesAgain(service, 3)
	})
}

// Machines of a share die, are taken, and are replaced, while it moves: its work runs on
// machines that the leader rents for it, and the dead ones are returned.
func TestMachinesOfAMovingShareAreReplaced(t *testing.T) {
	playShare(t, 37, 3, func(w *simCluster) {
		service := w.shareAtWork()
		idle := w.wants(order{kind: wire.Service, tasks: 1, cpus: 1, zone: "b", team: "other"}).submit()
		w.runs(idle, 1)
		dead := service.on()[0]
		w.begins("n-1")
		dead.die()
		w.sleep(20 * micro.Second)
		w.settlesAgain(service, 3)
		w.until("the dead machine is returned", 3*micro.Minute, func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.cloud.until[dead.w.Name] > 0
		})
		leader, _ := w.led()
		w.restart(leader, 5*micro.Second)
		w.follows(leader)
		w.settlesAgain(service, 3)
	})
}

// A share is given back to the leader with all its work, the controllers restart without
// the feature, and nothing starts anew.
func TestDissolvedShareIsTakenBackWithItsWork(t *testing.T) {
	for seed := range uint64(3) {
		playShare(t, 40+seed, 3, func(w *simCluster) {
			service := w.shareAtWork()
			array := w.wants(order{kind: wire.Array, tasks: 2, run: 3 * micro.Minute, zone: "b"}).submit()
			w.until("the array runs", micro.Minute, func() bool { return array.running() == 2 })
			dissolve := *w.base.Shares
			dissolve.Dissolve = true
			w.reconfigure(&dissolve)
			w.until("no record of the share is left", 4*micro.Minute, func() bool { return len(w.shareKeys()) == 0 })
			w.reconfigure(nil)
			w.sleep(40 * micro.Second)
			if service.starts() != 3 || service.running() != 3 || array.starts() != 2 {
				w.t.Errorf("%d starts of 3 replicas, %d run, %d starts of 2 tasks", service.starts(), service.running(), array.starts())
			}
			w.until("done", 5*micro.Minute, func() bool { return stateOf(array.poll(w.any())) == wire.JobDone })
		})
	}
}

// reconfigure restarts all controllers, one after the other, with other settings.
func (w *simCluster) reconfigure(s *config.Shares) {
	w.t.Helper()
	w.base.Shares = s
	for _, p := range w.controllers {
		w.restart(p, micro.Second)
		w.sleep(12 * micro.Second)
	}
	w.led()
}

// shareKeys lists the keys of shares in the store, sessions excepted.
func (w *simCluster) shareKeys() []string {
	var out []string
	for _, prefix := range []string{share.RecordPrefix, share.AssignmentPrefix, share.AllocationPrefix, share.MarkerKey} {
		page, err := w.store.Range(w.ctx, store.Routine, prefix, "", 1000)
		if err != nil {
			return []string{err.Error()}
		}
		for _, it := range page.Items {
			out = append(out, it.Key)
		}
	}
	return out
}

// A controller that runs without shares would take all machines for its own.
func TestControllerWithoutSharesDoesNotLeadWhereThereAreShares(t *testing.T) {
	playShare(t, 43, 3, func(w *simCluster) {
		service := w.shareAtWork()
		with := w.base.Shares
		w.base.Shares = nil
		leader, _ := w.led()
		w.restart(leader, micro.Second)
		w.sleep(5 * micro.Second)
		w.base.Shares = with
		for range 20 { // whoever else ends, it does not lead
			w.sleep(3 * micro.Second)
			if l := w.leader(); l == leader && leader.leads() {
				w.t.Fatal("it leads")
			}
		}
		w.settlesAgain(service, 3)
	})
}

// Without the feature nothing is stored or asked that was not before.
func TestWithoutTheFeatureNothingOfSharesIsStored(t *testing.T) {
	play(t, 44, 3, nil, func(w *simCluster) {
		w.led()
		j := w.wants(order{kind: wire.Service, tasks: 2, zone: "b"}).submit()
		w.runs(j, 2)
		w.sleep(micro.Minute)
		if keys := w.shareKeys(); len(keys) > 0 {
			w.t.Errorf("stored: %v", keys)
		}
		page, err := w.store.Range(w.ctx, store.Routine, share.SessionPrefix, "", 1000)
		if err != nil || len(page.Items) > 0 {
			w.t.Errorf("%d sessions, %v", len(page.Items), err)
		}
		status, _ := w.any().current().answerAdmin(wire.MustMarshal(share.Command{Operation: share.List}))
		if status != 200 {
			w.t.Errorf("status %d", status)
		}
	})
}

// Two policies want one share, and one of them flaps each minute: the first by name
// counts, and the least time between moves holds.
func TestPoliciesDoNotSendAShareToAndFro(t *testing.T) {
	condition := func(text string) *policy.Condition {
		c, err := policy.Compile(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	play(t, 45, 3, func(w *simCluster) {
		withShare(w)
		w.base.Shares.LeastTime = 3 * micro.Minute
		w.base.Shares.Policies = []config.MovePolicy{
			{Name: "1-flaps", Share: "east", Owner: "n-0", When: condition(`minute % 2 == 0`)},
			{Name: "2-always", Share: "east", Owner: "n-1", When: condition(`machines["east"] >= 0`)},
		}
	}, func(w *simCluster) {
		w.until("the share is owned", 2*micro.Minute, func() bool { e, ok := w.shareRecord(); return ok && e.Away() })
		service := w.wants(order{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
		w.runs(service, 3)
		from, _ := w.shareRecord()
		w.sleep(30 * micro.Minute)
		to, _ := w.shareRecord()
		if moves := to.Record.Moves - from.Record.Moves; moves < 3 || moves > 10 {
			w.t.Errorf("%d moves in half an hour", moves)
		}
		if service.starts() != 3 {
			w.t.Errorf("%d starts of 3 replicas", service.starts())
		}
	})
}

// How long a share goes without placing, by the simulated clock: from the command to the
// first order of the next owner.
func TestMoveTakesLessThanASecond(t *testing.T) {
	playShare(t, 46, 3, func(w *simCluster) {
		service := w.shareAtWork()
		longest := micro.Time(0)
		for _, to := range []string{"n-0", "n-1", "n-2"} {
			from := w.now()
			w.moves(to)
			longest = max(longest, w.now()-from)
			w.sleep(5 * micro.Second)
		}
		w.t.Logf("the longest of three moves took %v", longest.Std().Round(time.Millisecond))
		if longest > micro.Second || service.starts() != 3 {
			w.t.Errorf("a move took %v, %d starts of 3 replicas", longest.Std(), service.starts())
		}
	})
}
