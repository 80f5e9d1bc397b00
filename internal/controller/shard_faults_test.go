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

// Faults during a move of a shard. The checker of the simulated cluster verifies in each scenario that no task runs
// on two machines, no limit is exceeded and no task runs on after its cancellation.

// startShardWorkload waits until n-2 owns the shard, and starts a service of three replicas in it.
func (w *simCluster) startShardWorkload() *userJob {
	w.t.Helper()
	w.waitShardOwned("n-2", 2*micro.Minute)
	job := w.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
	w.waitRunning(job, 3)
	return job
}

// waitShardSettled waits until the loop of some owner of the shard serves and all replicas of a service run.
func (w *simCluster) waitShardSettled(job *userJob, replicas int) {
	w.t.Helper()
	w.waitUntil("the shard is owned again", 3*micro.Minute, func() bool {
		entry, ok := w.shardRecord()
		if !ok || entry.Record.State != shard.Owned {
			return false
		}
		node := w.controllerNamed(entry.Record.Owner.Node).runningNode()
		owner := (*ShardOwner)(nil)
		if node != nil {
			owner, _ = node.shards.Owner("east")
		}
		return owner != nil && owner.serving.Load()
	})
	w.waitUntil("all replicas run", 3*micro.Minute, func() bool { return job.runningTasks() == replicas })
}

// requestMove requests a move to a controller until the request is accepted, or until the shard is moving or already
// there. Another change of the shard may be in progress before.
func (w *simCluster) requestMove(to string) {
	w.t.Helper()
	w.waitUntil("the move is accepted", micro.Minute, func() bool {
		r := w.shardCommand(shard.Command{Operation: shard.OperationMove, Shard: "east", Target: to})
		return r.RefusalReason == "" || strings.Contains(r.RefusalReason, shard.ErrAlreadyMoving.Error()) ||
			strings.Contains(r.RefusalReason, shard.ErrSameOwner.Error())
	})
}

// Requests a move while a task is being allocated: the write of its allocation record is uncertain (executed at once
// or late) or refused.
func TestShardMoveDuringAnAllocation(t *testing.T) {
	for name, fault := range map[string]fake.CommitFault{
		"record executed without a response": {Unanswered: true},
		"record executed late":               {Unanswered: true, ExecuteAfter: 6 * micro.Second},
		"record refused":                     {Refused: true},
		"record executed a minute late":      {Unanswered: true, ExecuteAfter: micro.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			runShardScenario(t, 11, 3, func(sim *simCluster) {
				service := sim.startShardWorkload()
				owner, moveRequested := sim.controllerNamed("n-2"), false
				sim.onCommit(owner, shard.AllocationPrefix, func(n int, _ wire.Change) fake.CommitFault {
					if n > 2 {
						return fake.CommitFault{}
					}
					if !moveRequested {
						moveRequested = true
						go sim.requestMove("n-0")
					}
					return fault
				})
				array := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 3, runTime: 5 * micro.Second, zone: "b"}).submit()
				sim.waitUntil("the array is done", 3*micro.Minute, func() bool {
					return replyState(array.queryStatus(sim.randomUserNode())) == wire.JobDone
				})
				if !moveRequested {
					sim.t.Error("no allocation record was written: the move was not requested")
				}
				sim.waitShardSettled(service, 3)
				if service.startCount() != 3 {
					sim.t.Errorf("%d starts of 3 replicas", service.startCount())
				}
			})
		})
	}
}

// Guards against a task that starts after its cancellation: its start command is delayed, the shard moves, and the
// command arrives a minute after the job was cancelled through the next owner.
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
			sim.t.Fatalf("state after the cancellation: %s", got)
		}
		sim.sleep(micro.Minute)
		for _, machine := range sim.liveMachines() {
			machine.releaseDispatches()
		}
		sim.sleep(5 * micro.Second)
		if array.runningTasks() != 0 {
			sim.t.Error("a task of the cancelled job runs")
		}
		sim.waitShardSettled(service, 3)
	})
}

// The owner, the target and the leader end, pause, or lose their connections, alone and together, before the transfer
// of a shard and while its transaction is in flight. Some restart within a fraction of a second.
func TestControllersFailDuringAShardMove(t *testing.T) {
	soon, later := 100*micro.Millisecond, 8*micro.Second
	faults := map[string]func(sim *simCluster, owner, target, leader *controllerProcess){
		"owner ends": func(sim *simCluster, owner, _, _ *controllerProcess) {
			sim.restartController(owner, later)
		},
		"owner restarts at once": func(sim *simCluster, owner, _, _ *controllerProcess) {
			sim.restartController(owner, soon)
		},
		"target ends": func(sim *simCluster, _, target, _ *controllerProcess) {
			sim.restartController(target, later)
		},
		"target restarts at once": func(sim *simCluster, _, target, _ *controllerProcess) {
			sim.restartController(target, soon)
		},
		"leader ends": func(sim *simCluster, _, _, leader *controllerProcess) {
			sim.restartController(leader, later)
		},
		"owner and target end": func(sim *simCluster, owner, target, _ *controllerProcess) {
			sim.restartController(owner, later)
			sim.restartController(target, soon)
		},
		"all end": func(sim *simCluster, owner, target, leader *controllerProcess) {
			sim.restartController(owner, soon)
			sim.restartController(target, later)
			sim.restartController(leader, later)
		},
		"owner pauses": func(sim *simCluster, owner, _, _ *controllerProcess) {
			owner.freeze(12 * micro.Second)
		},
		"target pauses": func(sim *simCluster, _, target, _ *controllerProcess) {
			target.freeze(12 * micro.Second)
		},
		"owner loses store": func(sim *simCluster, owner, _, _ *controllerProcess) {
			sim.partitionNode(owner, 20*micro.Second, "state")
		},
		"owner loses workers": func(sim *simCluster, owner, _, _ *controllerProcess) {
			sim.partitionNode(owner, 40*micro.Second, "workers")
		},
		"target loses workers": func(sim *simCluster, _, target, _ *controllerProcess) {
			sim.partitionNode(target, 40*micro.Second, "workers")
		},
		"store refuses owner": func(sim *simCluster, owner, _, _ *controllerProcess) {
			sim.refuseNode(owner, 20*micro.Second)
		},
		"store outage": func(sim *simCluster, _, _, _ *controllerProcess) {
			sim.storeOutage(12 * micro.Second)
		},
	}
	for name, fault := range faults {
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
					fault(sim, sim.controllerNamed("n-2"), sim.controllerNamed(target), leader)
					sim.sleep(30 * micro.Second)
					sim.waitShardSettled(service, 3)
				})
			})
		}
	}
}

// The transaction that transfers a shard is uncertain (executed at once, seconds or a minute later) or refused. The
// shard must still move, and no replica may restart.
func TestShardTransferWithUncertainOutcome(t *testing.T) {
	for name, fault := range map[string]fake.CommitFault{
		"executed at once":       {Unanswered: true},
		"executed 3 s late":      {Unanswered: true, ExecuteAfter: 3 * micro.Second},
		"executed a minute late": {Unanswered: true, ExecuteAfter: micro.Minute},
		"refused":                {Refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			runShardScenario(t, 14, 3, func(sim *simCluster) {
				service := sim.startShardWorkload()
				transfers := 0
				sim.onCommit(sim.controllerNamed("n-2"), shard.RecordPrefix, func(n int, _ wire.Change) fake.CommitFault {
					transfers = n
					if n <= 2 {
						return fault
					}
					return fake.CommitFault{}
				})
				sim.requestMove("n-0")
				sim.waitShardOwned("n-0", micro.Minute)
				sim.sleep(70 * micro.Second)
				sim.waitShardSettled(service, 3)
				if transfers == 0 || service.startCount() != 3 {
					sim.t.Errorf("%d writes of the shard record by n-2, %d starts of 3 replicas", transfers, service.startCount())
				}
			})
		})
	}
}

// Late copies of heartbeats that were sent to the previous owner reach the next one, while some machines hang for the
// whole move and others receive no replies.
func TestLateHeartbeatsAndHungMachinesDuringAShardMove(t *testing.T) {
	for seed := range uint64(4) {
		runShardScenario(t, 20+seed, 3, func(sim *simCluster) {
			service := sim.startShardWorkload()
			sim.replayHeartbeats(0.5, 45*micro.Second, 2*micro.Minute)
			machines := service.machines()
			machines[0].hang(8 * micro.Second)
			machines[len(machines)-1].loseResponses(6 * micro.Second)
			for _, to := range []string{"n-0", "n-1", "n-2"} {
				sim.requestMove(to)
				sim.sleep(9 * micro.Second)
			}
			sim.sleep(micro.Minute)
			sim.waitShardSettled(service, 3)
		})
	}
}

// A job that uses its team's whole limit is cancelled, and another job of the team waits, while the shard moves.
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
				sim.t.Errorf("state after a cancellation during a move: %s", got)
			}
			sim.waitUntil(
				"the next job is done", 4*micro.Minute,
				func() bool { return replyState(next.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
		})
	}
}

// A gang that loses a member while its shard moves restarts with all of its tasks.
func TestGangRestartsWhenItLosesAMemberDuringShardMove(t *testing.T) {
	runShardScenario(t, 35, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		gang := sim.newJob(jobRequest{kind: wire.Gang, tasks: 3, cpus: 4, runTime: 30 * micro.Second, zone: "b"}).submit()
		sim.waitUntil("the gang runs", 2*micro.Minute, func() bool { return gang.runningTasks() == 3 })
		sim.requestMove("n-1")
		gang.machines()[0].terminate()
		sim.waitUntil("the gang is done", 5*micro.Minute, func() bool {
			return replyState(gang.queryStatus(sim.randomUserNode())) == wire.JobDone
		})
	})
}

// Commands that cannot be executed, among them moves to the current owner, are refused with a reason and have no
// effect on the shard.
func TestShardMovesAreRefusedWithAReason(t *testing.T) {
	runShardScenario(t, 36, 3, func(sim *simCluster) {
		service := sim.startShardWorkload()
		for _, test := range []struct {
			command shard.Command
			reason  string
		}{
			{shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-2"}, shard.ErrSameOwner.Error()},
			{shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-9"}, shard.ErrTargetWithoutSession.Error()},
			{shard.Command{Operation: shard.OperationMove, Shard: "west", Target: "n-0"}, "no share"},
			{shard.Command{Operation: shard.OperationCancel, Shard: "east"}, shard.ErrNotMoving.Error()},
			{shard.Command{Operation: "melt", Shard: "east"}, "no operation"},
		} {
			if reply := sim.shardCommand(test.command); !strings.Contains(reply.RefusalReason, test.reason) {
				sim.t.Errorf("%+v: refused with %q, want %q", test.command, reply.RefusalReason, test.reason)
			}
		}
		sim.killController(sim.controllerNamed("n-0"))
		sim.waitUntil("the session of n-0 has expired", micro.Minute, func() bool {
			return strings.Contains(
				sim.shardCommand(shard.Command{Operation: shard.OperationMove, Shard: "east", Target: "n-0"}).RefusalReason,
				shard.ErrTargetWithoutSession.Error(),
			)
		})
		sim.waitShardSettled(service, 3)
	})
}

// A machine of a shard dies while the shard moves: its tasks run on a machine that the leader provisions for the
// shard, and the instance of the dead machine is terminated.
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
		sim.waitUntil("the dead machine is terminated at the cloud", 3*micro.Minute, func() bool {
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

// The leader reclaims a shard with all of its jobs, then the controllers restart without the feature. No task may
// restart.
func TestDissolvedShardIsReclaimedWithoutRestartingItsTasks(t *testing.T) {
	for seed := range uint64(3) {
		runShardScenario(t, 40+seed, 3, func(sim *simCluster) {
			service := sim.startShardWorkload()
			array := sim.newJob(jobRequest{kind: wire.JobArray, tasks: 2, runTime: 3 * micro.Minute, zone: "b"}).submit()
			sim.waitUntil("the array runs", micro.Minute, func() bool { return array.runningTasks() == 2 })
			dissolve := *sim.config.Shards
			dissolve.Dissolve = true
			sim.reconfigure(&dissolve)
			sim.waitUntil("no record of the shard is left", 4*micro.Minute, func() bool { return len(sim.shardKeys()) == 0 })
			sim.reconfigure(nil)
			sim.sleep(40 * micro.Second)
			if service.startCount() != 3 || service.runningTasks() != 3 || array.startCount() != 2 {
				sim.t.Errorf(
					"%d starts of 3 replicas, %d run; %d starts of 2 array tasks", service.startCount(), service.runningTasks(),
					array.startCount(),
				)
			}
			sim.waitUntil("the array is done", 5*micro.Minute, func() bool {
				return replyState(array.queryStatus(sim.randomUserNode())) == wire.JobDone
			})
		})
	}
}

// reconfigure restarts all controllers, one after the other, with new shard settings.
func (w *simCluster) reconfigure(shards *config.Shards) {
	w.t.Helper()
	w.setShards(shards)
	for _, controller := range w.controllers {
		w.restartController(controller, micro.Second)
		w.sleep(12 * micro.Second)
	}
	w.waitForRestoredLeader()
}

// shardKeys lists the stored keys of shards except sessions. On an error it returns the error's text alone.
func (w *simCluster) shardKeys() []string {
	var found []string
	for _, prefix := range []string{shard.RecordPrefix, shard.AssignmentPrefix, shard.AllocationPrefix, shard.MarkerKey} {
		page, err := w.store.Range(w.ctx, store.Routine, prefix, "", 1000)
		if err != nil {
			return []string{err.Error()}
		}
		for _, item := range page.Items {
			found = append(found, item.Key)
		}
	}
	return found
}

// A controller without the shards feature must not lead while shards exist: it would treat all machines as its own.
func TestControllerWithoutShardFeatureDoesNotLeadWhileShardsExist(t *testing.T) {
	runShardScenario(t, 43, 3, func(sim *simCluster) {
		service := sim.startShardWorkload()
		withShards := sim.config.Shards
		sim.setShards(nil)
		leader, _ := sim.waitForRestoredLeader()
		sim.restartController(leader, micro.Second)
		sim.sleep(5 * micro.Second)
		sim.setShards(withShards)
		for range 20 { // for a minute, the controller without the feature must not lead
			sim.sleep(3 * micro.Second)
			if current := sim.leader(); current == leader && leader.holdsLease() {
				sim.t.Fatal("the controller without the feature leads")
			}
		}
		sim.waitShardSettled(service, 3)
	})
}

// Without the feature no key of shards or sessions is stored, and shards can be listed all the same.
func TestNoShardKeysAreStoredWithoutTheFeature(t *testing.T) {
	runScenario(t, 44, 3, nil, func(sim *simCluster) {
		sim.waitForRestoredLeader()
		job := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, zone: "b"}).submit()
		sim.waitRunning(job, 2)
		sim.sleep(micro.Minute)
		if keys := sim.shardKeys(); len(keys) > 0 {
			sim.t.Errorf("stored keys of shards: %v", keys)
		}
		page, err := sim.store.Range(sim.ctx, store.Routine, shard.SessionPrefix, "", 1000)
		if err != nil || len(page.Items) > 0 {
			sim.t.Errorf("%d sessions, error %v", len(page.Items), err)
		}
		status, _ := sim.randomUserNode().runningNode().handleAdmin(
			wire.MustMarshal(shard.Command{Operation: shard.OperationList}),
		)
		if status != 200 {
			sim.t.Errorf("listing shards: status %d", status)
		}
	})
}

// Two policies select different owners of one shard, and the condition of one of them changes each minute. The first
// policy by name applies, and the minimum interval between moves limits the number of moves.
func TestConflictingPoliciesDoNotMoveAShardRepeatedly(t *testing.T) {
	condition := func(text string) *policy.Condition {
		compiled, err := policy.Compile(text)
		if err != nil {
			t.Fatal(err)
		}
		return compiled
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
			"the shard is owned", 2*micro.Minute,
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

// Measures by the simulated clock the longest time for which a shard may go without allocations during a move: from
// the command until the next owner serves.
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
