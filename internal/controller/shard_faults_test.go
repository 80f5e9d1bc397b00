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
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// What meets a move of a shard. The checker of the rules judges each scenario: no task
// on two machines, no limit passed, nothing on after its cancellation.

// startShardWorkload waits until n-2 owns the shard and runs a service of three replicas in it.
func (w *simCluster) startShardWorkload() *userJob {
	w.t.Helper()
	w.waitShardOwned("n-2", 2*micro.Minute)
	job := w.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
	w.waitRunning(job, 3)
	return job
}

// waitShardSettled waits until some controller owns the shard and all of a service runs.
func (w *simCluster) waitShardSettled(job *userJob, replicas int) {
	w.t.Helper()
	w.waitUntil("the share is owned again", 3*micro.Minute, func() bool {
		entry, ok := w.shardRecord()
		if !ok || entry.Record.State != shard.Owned {
			return false
		}
		node := w.controllerNamed(entry.Record.Owner.Node).runningNode()
		leader := (*ShardOwner)(nil)
		if node != nil {
			leader, _ = node.shards.Owner("east")
		}
		return leader != nil && leader.serving.Load()
	})
	w.waitUntil("all replicas run", 3*micro.Minute, func() bool { return job.runningTasks() == replicas })
}

// requestMove asks for a move to a controller until it is taken: another change of the shard
// may be under way.
func (w *simCluster) requestMove(to string) {
	w.t.Helper()
	w.waitUntil("the move is taken", micro.Minute, func() bool {
		r := w.shardCommand(shard.Command{Operation: shard.OperationMove, Shard: "east", Target: to})
		return r.RefusalReason == "" || strings.Contains(r.RefusalReason, shard.ErrAlreadyMoving.Error()) ||
			strings.Contains(r.RefusalReason, shard.ErrSameOwner.Error())
	})
}

// A move begins while a task is being placed: while the write of its record has no
// answer (carried out at once, late, or never), or with its start held up on the way.
func TestShardMoveDuringAnAllocation(t *testing.T) {
	for name, fate := range map[string]fake.CommitFault{
		"record carried out, no answer":    {Unanswered: true},
		"record carried out late":          {Unanswered: true, ExecuteAfter: 6 * micro.Second},
		"record not carried out":           {Refused: true},
		"record carried out a minute late": {Unanswered: true, ExecuteAfter: micro.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			runShardScenario(t, 11, 3, func(sim *simCluster) {
				service := sim.startShardWorkload()
				owner, met := sim.controllerNamed("n-2"), false
				sim.onCommit(owner, shard.AllocationPrefix, func(n int, _ wire.Change) fake.CommitFault {
					if n > 2 {
						return fake.CommitFault{}
					}
					if !met {
						met = true
						go sim.requestMove("n-0")
					}
					return fate
				})
				array := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 3, runTime: 5 * micro.Second, zone: "b"}).submit()
				sim.waitUntil(
					"done", 3*micro.Minute, func() bool { return replyState(array.queryStatus(sim.randomUserNode())) == wire.JobDone },
				)
				if !met {
					sim.t.Error("the move met no placement")
				}
				sim.waitShardSettled(service, 3)
				if service.startCount() != 3 {
					sim.t.Errorf("%d starts of 3 replicas", service.startCount())
				}
			})
		})
	}
}

// The start of a task is held up on its way, the shard moves, and it arrives a minute
// after the job was cancelled through the next owner.
func TestStartDelayedBeyondShardMoveRunsNoCancelledTask(t *testing.T) {
	runShardScenario(t, 12, 3, func(sim *simCluster) {
		service := sim.startShardWorkload()
		for _, machine := range sim.liveMachines() {
			machine.holdDispatch()
		}
		array := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: micro.Minute, zone: "b"}).submit()
		sim.sleep(3 * micro.Second)
		sim.moveShard("n-0")
		if got := array.cancel(); got != wire.JobAborted {
			sim.t.Fatalf("cancelled: %s", got)
		}
		sim.sleep(micro.Minute)
		for _, machine := range sim.liveMachines() {
			machine.releaseDispatches()
		}
		sim.sleep(5 * micro.Second)
		if array.runningTasks() != 0 {
			sim.t.Error("a cancelled task runs")
		}
		sim.waitShardSettled(service, 3)
	})
}

// The controllers of a move end, stand still or are cut off, alone and together, before
// it and while its transaction is under way; some are back within a fraction of a second.
func TestControllersFailDuringAShardMove(t *testing.T) {
	soon, later := 100*micro.Millisecond, 8*micro.Second
	troubles := map[string]func(sim *simCluster, owner, target, leader *controllerProcess){
		"owner ends":           func(sim *simCluster, other, _, _ *controllerProcess) { sim.restartController(other, later) },
		"owner ends, is back":  func(sim *simCluster, other, _, _ *controllerProcess) { sim.restartController(other, soon) },
		"target ends":          func(sim *simCluster, _, x, _ *controllerProcess) { sim.restartController(x, later) },
		"target ends, is back": func(sim *simCluster, _, x, _ *controllerProcess) { sim.restartController(x, soon) },
		"leader ends":          func(sim *simCluster, _, _, l *controllerProcess) { sim.restartController(l, later) },
		"both ends end": func(sim *simCluster, other, x, _ *controllerProcess) {
			sim.restartController(other, later)
			sim.restartController(x, soon)
		},
		"all end": func(sim *simCluster, other, x, l *controllerProcess) {
			sim.restartController(other, soon)
			sim.restartController(x, later)
			sim.restartController(l, later)
		},
		"owner freezes":  func(sim *simCluster, other, _, _ *controllerProcess) { other.freeze(12 * micro.Second) },
		"target freezes": func(sim *simCluster, _, x, _ *controllerProcess) { x.freeze(12 * micro.Second) },
		"owner loses store": func(sim *simCluster, other, _, _ *controllerProcess) {
			sim.partitionNode(other, 20*micro.Second, "state")
		},
		"owner loses workers": func(sim *simCluster, other, _, _ *controllerProcess) {
			sim.partitionNode(other, 40*micro.Second, "workers")
		},
		"target loses workers": func(sim *simCluster, _, x, _ *controllerProcess) { sim.partitionNode(x, 40*micro.Second, "workers") },
		"owner refused":        func(sim *simCluster, other, _, _ *controllerProcess) { sim.refuseNode(other, 20*micro.Second) },
		"outage":               func(sim *simCluster, _, _, _ *controllerProcess) { sim.storeOutage(12 * micro.Second) },
	}
	for name, trouble := range troubles {
		for _, after := range []micro.Time{0, 15 * micro.Millisecond, 300 * micro.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", after.Duration()), func(t *testing.T) {
				t.Parallel()
				runShardScenario(t, 13, 3, func(sim *simCluster) {
					service := sim.startShardWorkload()
					leader, _ := sim.waitForRestoredLeader()
					target := "n-0"
					if leader.name == target {
						target = "n-1"
					}
					sim.requestMove(target)
					sim.sleep(after)
					trouble(sim, sim.controllerNamed("n-2"), sim.controllerNamed(target), leader)
					sim.sleep(30 * micro.Second)
					sim.waitShardSettled(service, 3)
				})
			})
		}
	}
}

// The transaction that transfers gets no answer: it was carried out, or will be seconds
// later, or never.
func TestShardTransferWithUncertainOutcome(t *testing.T) {
	for name, fate := range map[string]fake.CommitFault{
		"carried out":               {Unanswered: true},
		"carried out 3 s late":      {Unanswered: true, ExecuteAfter: 3 * micro.Second},
		"carried out a minute late": {Unanswered: true, ExecuteAfter: micro.Minute},
		"refused":                   {Refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			runShardScenario(t, 14, 3, func(sim *simCluster) {
				service := sim.startShardWorkload()
				tries := 0
				sim.onCommit(sim.controllerNamed("n-2"), shard.RecordPrefix, func(n int, _ wire.Change) fake.CommitFault {
					tries = n
					if n <= 2 {
						return fate
					}
					return fake.CommitFault{}
				})
				sim.requestMove("n-0")
				sim.waitShardOwned("n-0", micro.Minute)
				sim.sleep(70 * micro.Second)
				sim.waitShardSettled(service, 3)
				if tries == 0 || service.startCount() != 3 {
					sim.t.Errorf("%d transactions met, %d starts of 3 replicas", tries, service.startCount())
				}
			})
		})
	}
}

// Late copies of heartbeats of the old owner's time reach the next one, machines hang
// through the whole move, others hear nothing.
func TestLateHeartbeatsAndHungMachinesDuringAShardMove(t *testing.T) {
	for seed := range uint64(4) {
		runShardScenario(t, 20+seed, 3, func(sim *simCluster) {
			service := sim.startShardWorkload()
			sim.replayHeartbeats(0.5, 45*micro.Second, 2*micro.Minute)
			on := service.machines()
			on[0].hang(8 * micro.Second)
			on[len(on)-1].loseResponses(6 * micro.Second)
			for _, to := range []string{"n-0", "n-1", "n-2"} {
				sim.requestMove(to)
				sim.sleep(9 * micro.Second)
			}
			sim.sleep(micro.Minute)
			sim.waitShardSettled(service, 3)
		})
	}
}

// Jobs are cancelled, and a team is at its limit, while their machines move.
func TestCancellationsDuringAShardMove(t *testing.T) {
	for seed := range uint64(4) {
		runShardScenario(t, 30+seed, 3, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			full := sim.newJob(jobRequest{kind: wire.Service, tasks: 4, cpus: 4, zone: "b"}).submit()
			sim.waitRunning(full, 4)
			next := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 4, cpus: 4, runTime: 5 * micro.Second, zone: "b"}).submit()
			sim.requestMove("n-0")
			sim.sleep(micro.Time(seed) * 10 * micro.Millisecond)
			if got := full.cancel(); got != wire.JobAborted {
				sim.t.Errorf("cancelled during a move: %s", got)
			}
			sim.waitUntil(
				"the next job is done", 4*micro.Minute,
				func() bool { return replyState(next.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
		})
	}
}

// A gang loses a member while its machines move: it starts anew, whole.
func TestGangRestartsWhenItLosesAMemberDuringShardMove(t *testing.T) {
	runShardScenario(t, 35, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		gang := sim.newJob(jobRequest{kind: wire.Gang, tasks: 3, cpus: 4, runTime: 30 * micro.Second, zone: "b"}).submit()
		sim.waitUntil("the gang runs", 2*micro.Minute, func() bool { return gang.runningTasks() == 3 })
		sim.requestMove("n-1")
		gang.machines()[0].terminate()
		sim.waitUntil(
			"done", 5*micro.Minute, func() bool { return replyState(gang.queryStatus(sim.randomUserNode())) == wire.JobDone },
		)
	})
}

// A move that cannot be is refused with its reason, and a repeated one is harmless.
func TestShardMovesAreRefusedWithAReason(t *testing.T) {
	runShardScenario(t, 36, 3, func(sim *simCluster) {
		service := sim.startShardWorkload()
		for _, test := range []struct {
			command shard.Command
			says    string
		}{
			{shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-2"}, shard.ErrSameOwner.Error()},
			{shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-9"}, shard.ErrTargetWithoutSession.Error()},
			{shard.Command{Operation: shard.OperationMove, Shard: "west", Target: "n-0"}, "no share"},
			{shard.Command{Operation: shard.OperationCancel, Shard: "east"}, shard.ErrNotMoving.Error()},
			{shard.Command{Operation: "melt", Shard: "east"}, "no operation"},
		} {
			if reply := sim.shardCommand(test.command); !strings.Contains(reply.RefusalReason, test.says) {
				sim.t.Errorf("%+v: %q, not %q", test.command, reply.RefusalReason, test.says)
			}
		}
		sim.killController(sim.controllerNamed("n-0"))
		sim.waitUntil("its session is over", micro.Minute, func() bool {
			return strings.Contains(
				sim.shardCommand(shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-0"}).RefusalReason,
				shard.ErrTargetWithoutSession.Error(),
			)
		})
		sim.waitShardSettled(service, 3)
	})
}

// Machines of a shard die, are taken, and are replaced, while it moves: its work runs on
// machines that the leader rents for it, and the dead ones are returned.
func TestMachinesOfAMovingShardAreReplaced(t *testing.T) {
	runShardScenario(t, 37, 3, func(sim *simCluster) {
		service := sim.startShardWorkload()
		idle := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 1, zone: "b", team: "other"}).submit()
		sim.waitRunning(idle, 1)
		dead := service.machines()[0]
		sim.requestMove("n-1")
		dead.terminate()
		sim.sleep(20 * micro.Second)
		sim.waitShardSettled(service, 3)
		sim.waitUntil("the dead machine is returned", 3*micro.Minute, func() bool {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			return sim.cloud.terminatedAt[dead.agent.Name] > 0
		})
		leader, _ := sim.waitForRestoredLeader()
		sim.restartController(leader, 5*micro.Second)
		sim.waitForNextLeader(leader)
		sim.waitShardSettled(service, 3)
	})
}

// A shard is given back to the leader with all its work, the controllers restart without
// the feature, and nothing starts anew.
func TestDissolvedShardIsReclaimedWithoutRestartingItsTasks(t *testing.T) {
	for seed := range uint64(3) {
		runShardScenario(t, 40+seed, 3, func(sim *simCluster) {
			service := sim.startShardWorkload()
			array := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 3 * micro.Minute, zone: "b"}).submit()
			sim.waitUntil("the array runs", micro.Minute, func() bool { return array.runningTasks() == 2 })
			dissolve := *sim.config.Shards
			dissolve.Dissolve = true
			sim.reconfigure(&dissolve)
			sim.waitUntil("no record of the share is left", 4*micro.Minute, func() bool { return len(sim.shardKeys()) == 0 })
			sim.reconfigure(nil)
			sim.sleep(40 * micro.Second)
			if service.startCount() != 3 || service.runningTasks() != 3 || array.startCount() != 2 {
				sim.t.Errorf(
					"%d starts of 3 replicas, %d run, %d starts of 2 tasks", service.startCount(), service.runningTasks(),
					array.startCount(),
				)
			}
			sim.waitUntil(
				"done", 5*micro.Minute, func() bool { return replyState(array.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
		})
	}
}

// reconfigure restarts all controllers, one after the other, with other settings.
func (w *simCluster) reconfigure(s *config.Shards) {
	w.t.Helper()
	w.setShards(s)
	for _, controller := range w.controllers {
		w.restartController(controller, micro.Second)
		w.sleep(12 * micro.Second)
	}
	w.waitForRestoredLeader()
}

// shardKeys lists the keys of shards in the store, sessions excepted.
func (w *simCluster) shardKeys() []string {
	var out []string
	for _, prefix := range []string{shard.RecordPrefix, shard.AssignmentPrefix, shard.AllocationPrefix, shard.MarkerKey} {
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

// A controller that runs without shards would take all machines for its own.
func TestControllerWithoutShardFeatureDoesNotLeadWhileShardsExist(t *testing.T) {
	runShardScenario(t, 43, 3, func(sim *simCluster) {
		service := sim.startShardWorkload()
		with := sim.config.Shards
		sim.setShards(nil)
		leader, _ := sim.waitForRestoredLeader()
		sim.restartController(leader, micro.Second)
		sim.sleep(5 * micro.Second)
		sim.setShards(with)
		for range 20 { // whoever else ends, it does not lead
			sim.sleep(3 * micro.Second)
			if l := sim.leader(); l == leader && leader.holdsLease() {
				sim.t.Fatal("it leads")
			}
		}
		sim.waitShardSettled(service, 3)
	})
}

// Without the feature nothing is stored or asked that was not before.
func TestNoShardKeysAreStoredWithoutTheFeature(t *testing.T) {
	runScenario(t, 44, 3, nil, func(sim *simCluster) {
		sim.waitForRestoredLeader()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, zone: "b"}).submit()
		sim.waitRunning(job, 2)
		sim.sleep(micro.Minute)
		if keys := sim.shardKeys(); len(keys) > 0 {
			sim.t.Errorf("stored: %v", keys)
		}
		page, err := sim.store.Range(sim.ctx, store.Routine, shard.SessionPrefix, "", 1000)
		if err != nil || len(page.Items) > 0 {
			sim.t.Errorf("%d sessions, %v", len(page.Items), err)
		}
		status, _ := sim.randomUserNode().runningNode().handleAdmin(
			wire.MustMarshal(shard.Command{Operation: shard.OperationList}),
		)
		if status != 200 {
			sim.t.Errorf("status %d", status)
		}
	})
}

// Two policies want one shard, and one of them flaps each minute: the first by name
// counts, and the least time between moves holds.
func TestConflictingPoliciesDoNotMoveAShardRepeatedly(t *testing.T) {
	condition := func(text string) *policy.Condition {
		c, err := policy.Compile(text)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	runScenario(t, 45, 3, func(sim *simCluster) {
		withShard(sim)
		sim.config.Shards.MinMoveInterval = 3 * micro.Minute
		sim.config.Shards.Policies = []config.MovePolicy{
			{Name: "1-flaps", Shard: "east", Owner: "n-0", When: condition(`minute % 2 == 0`)},
			{Name: "2-always", Shard: "east", Owner: "n-1", When: condition(`machines["east"] >= 0`)},
		}
	}, func(sim *simCluster) {
		sim.waitUntil(
			"the share is owned", 2*micro.Minute,
			func() bool { entry, ok := sim.shardRecord(); return ok && entry.HasOwner() },
		)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
		sim.waitRunning(service, 3)
		from, _ := sim.shardRecord()
		sim.sleep(30 * micro.Minute)
		to, _ := sim.shardRecord()
		if moves := to.Record.OwnerChanges - from.Record.OwnerChanges; moves < 3 || moves > 10 {
			sim.t.Errorf("%d moves in half an hour", moves)
		}
		if service.startCount() != 3 {
			sim.t.Errorf("%d starts of 3 replicas", service.startCount())
		}
	})
}

// How long a shard goes without placing, by the simulated clock: from the command to the
// first order of the next owner.
func TestShardMoveTakesLessThanASecond(t *testing.T) {
	runShardScenario(t, 46, 3, func(sim *simCluster) {
		service := sim.startShardWorkload()
		longest := micro.Time(0)
		for _, to := range []string{"n-0", "n-1", "n-2"} {
			from := sim.now()
			sim.moveShard(to)
			longest = max(longest, sim.now()-from)
			sim.sleep(5 * micro.Second)
		}
		sim.t.Logf("the longest of three moves took %v", longest.Duration().Round(time.Millisecond))
		if longest > micro.Second || service.startCount() != 3 {
			sim.t.Errorf("a move took %v, %d starts of 3 replicas", longest.Duration(), service.startCount())
		}
	})
}
