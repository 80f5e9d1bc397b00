package coordinator

import (
	"math/rand/v2"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// newScheduler is the leader's scheduler.
func (s *partialSite) newScheduler() *scheduler.Scheduler {
	properties := config.Defaults()
	return &scheduler.Scheduler{
		Cluster: s.leader.Cluster, Objectives: scheduler.NewObjectives(nil), Properties: &properties,
		Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

// A machine that was reserved for starved work just before it was kept for a service goes on to the next
// job of the service's class once a replica is placed, and is closed to all others for good.
func TestMachineKeptForAServiceIsNotHandedOnToTheNextOfItsClass(t *testing.T) {
	runTwoServices(t, "west", func(site *partialSite, _, _ *assignedJob) {
		site.addLeaderMachine("i-5")
		machine, placing := site.leader.Cluster.Machines["i-5"], site.newScheduler()
		site.do(func() { // its reservation is used: Allocate clears the holder, and the mark goes with the next pass only
			holder := site.leader.Cluster.AddJob(
				wire.Job{ID: "j-4", Team: "team", Class: "d", Kind: wire.JobArray, Tasks: 1, MemoryGB: 1}, site.now(), site.now(),
			)
			machine.ReservedFor, machine.ReservedAt, machine.StarvationReservation = holder, site.now(), true
			site.leader.Cluster.Allocate(holder, 0, machine, 1, 0, site.now())
		})
		site.tellPartlyPlaced("east", "j-1")
		if !machine.KeptForMove {
			t.Fatal("not kept")
		}
		site.recallUntilBack()
		var next *cluster.Job
		site.do(func() {
			next = site.leader.Cluster.AddJob(
				wire.Job{ID: "j-3", Team: "team", Class: "c", Kind: wire.Service, Tasks: 1, CPUs: 8, MemoryGB: 1},
				site.now(), site.now(),
			)
			placing.Schedule(site.now())
		})
		if site.job().AllocationCount != 2 {
			t.Errorf("%d replicas placed", site.job().AllocationCount)
		}
		site.do(func() { site.leader.Cluster.FinalizeJob(next, true, site.now()) })
		for range 5 * 60 {
			site.sleep(micro.Second)
			site.do(func() { placing.Schedule(site.now()) })
		}
		if machine.KeptForMove || machine.ReservedFor != nil {
			t.Errorf("kept: %v, reserved for %s, five minutes later", machine.KeptForMove, machine.ReservedFor.Spec.ID)
		}
	})
}

// A service is stopped, and takes the quota that is saved up for a starved job of its team: it waits for
// that quota, not for machines.
func TestServiceDoesNotTakeQuotaThatIsSavedUpForAnotherJob(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		team := site.leader.Cluster.Teams["team"]
		site.runReplica(0)
		site.do(func() {
			gang := site.leader.Cluster.AddJob(
				wire.Job{ID: "j-7", Team: "team", Class: "d", Kind: wire.Gang, Tasks: 6, CPUs: 1, MemoryGB: 1},
				site.now(), site.now(),
			)
			team.QuotaReservedFor, team.QuotaReservedAt = gang, site.now()
		})
		site.offerCapacity(longEnough, 1, 2)
		if site.stopping() {
			t.Errorf("stopped; %v of %v CPUs are used, %d held", team.UsedCPU, team.CPULimit, site.job().QuotaHoldTasks)
		}
	})
}

// A service without GPUs is stopped for GPU machines of a shard, which its owner's scheduler keeps from it: the leader's
// own are left out for that.
func TestServiceWithoutGPUsIsNotStoppedForGPUMachines(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.do(func() {
			c := site.leader.Cluster
			c.Types["g"] = &cluster.MachineType{
				MachineType: wire.MachineType{Name: "g", CPUs: 16, GPUs: 4, MemoryGB: 64}, SpeedFactor: 1,
			}
			c.EnsureClass("gpu").LastJob = &wire.Job{ID: "j-9", Kind: wire.Gang, Tasks: 1, CPUs: 4, GPUs: 1, MemoryGB: 1}
		})
		site.runReplica(0)
		for end := site.now() + longEnough; site.now() < end; site.sleep(500 * micro.Millisecond) {
			site.tell(shard.ShardUpdate{
				FreeCapacity: []shard.FreeCapacity{{Type: "g", Zone: "b", Count: 1, CPU: 16, GPU: 4, Mem: 64}},
			})
		}
		if site.stopping() {
			t.Error("stopped")
		}
	})
}

// A service is never moved to the leader's free machines while any job waits there for its team's quota.
func TestJobBeyondItsQuotaDoesNotKeepAServiceInPart(t *testing.T) {
	runTwoServices(t, "west", func(site *partialSite, assigned, _ *assignedJob) {
		site.addLeaderMachine("i-5")
		site.leader.Cluster.Teams["poor"] = &cluster.Team{Name: "poor", CPULimit: 1}
		site.do(func() {
			site.leader.Cluster.AddJob(
				wire.Job{ID: "j-7", Team: "poor", Class: "d", Kind: wire.JobArray, Tasks: 1, CPUs: 2, MemoryGB: 1},
				site.now(), site.now(),
			)
		})
		for range 30 {
			site.tellPartlyPlaced("east", "j-1")
		}
		if !assigned.assignment.RecallRequested {
			t.Error("not recalled")
		}
	})
}

// A shard whose machines take longer to boot than a try lasts has capacity when nobody looks: the machines are
// idle, are returned, and are requested again with the next try, for good.
func TestTryToMoveAServiceLastsUntilTheMachinesThatItRequestsAreUp(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		const boot = 3 * micro.Minute
		site.do(func() {
			machineType := site.leader.Cluster.Types["m"]
			machineType.BootS, machineType.Zones = float64(boot/micro.Second), []string{"a", "b"}
		})
		site.runReplica(0)
		requested := func() bool { return len(site.leader.ShardDemands()) > 0 }
		for end := site.now() + 10*micro.Minute; site.now() < end && !requested(); {
			site.sleep(micro.Second)
		}
		if !requested() {
			t.Fatal("nothing is requested")
		}
		site.sleep(boot)
		site.offerCapacity(30*micro.Second, 1, 2)
		if !site.stopping() {
			t.Error("not moved once the machines that were requested are up")
		}
	})
}

// Capacity is kept, and all other services of the shard stay, for as long as a replica says that its
// checkpoint takes: a day.
func TestCapacityIsNotKeptForADayForASlowCheckpoint(t *testing.T) {
	runPartial(t, wire.Job{CheckpointDurationS: 86400}, func(site *partialSite) {
		site.runReplica(0)
		site.offerCapacity(longEnough, 1, 2)
		for end := site.now() + 60*micro.Minute; site.now() < end; site.sleep(micro.Minute) {
			site.tellCapacity(1, 2)
		}
		if len(site.leader.moves) > 0 {
			t.Error("kept an hour later")
		}
	})
}

// A service stays without any replica for the rest of its time after the shard where it was to go is gone.
func TestServiceIsPlacedAgainAtOnceAfterItsShardIsGone(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.offerUntilStopped(longEnough)
		site.commit(wire.Change{Delete: shard.RecordKey("east")})
		site.sleep(2 * micro.Second)
		site.exitStopped()
		site.sleep(2 * micro.Second)
		if site.job().ChangingHands {
			t.Error("it may not be placed, though nothing can come of its move")
		}
	})
}

// A shard is formed anew for other teams while a service is stopped for it: the service is assigned to a shard
// that takes no jobs of its team.
func TestServiceIsNotAssignedToAShardThatTakesItsTeamNoMore(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.offerUntilStopped(longEnough)
		record := shard.NewRecord(shard.Selector{Zone: "b"}, []string{"other"}, 0)
		record.State, record.Owner = shard.Owned, site.owner()
		site.put(shard.RecordKey("east"), record)
		site.sleep(2 * micro.Second)
		site.exitStopped()
		site.offerCapacity(10*micro.Second, 1, 2)
		if site.job().Shard != "" {
			t.Errorf("assigned to %s", site.job().Shard)
		}
	})
}

// A shard is released while one of its services is on its way to the leader, or the other way: machines or quota
// are kept for good, or the service may not be placed.
func TestNothingIsKeptAfterTheShardIsReleasedDuringAMove(t *testing.T) {
	release := func(site *partialSite) {
		record := shard.NewRecord(shard.Selector{Zone: "b"}, nil, 0)
		record.State = shard.Released
		site.put(shard.RecordKey("east"), record)
		site.sleep(3 * micro.Minute)
	}
	expectFree := func(t *testing.T, site *partialSite) {
		job := site.job()
		if len(site.leader.moves) > 0 || job.ChangingHands || job.MachinesKept || job.QuotaHoldTasks > 0 {
			t.Errorf("moves %v, %+v", site.leader.moves, job.Move)
		}
		if job.State != cluster.Active || job.Shard != "" {
			t.Errorf("%v in %q", job.State, job.Shard)
		}
	}
	t.Run("to the leader", func(t *testing.T) {
		runTwoServices(t, "west", func(site *partialSite, _, _ *assignedJob) {
			site.addLeaderMachine("i-5")
			site.tellPartlyPlaced("east", "j-1")
			release(site)
			expectFree(t, site)
			if machine := site.leader.Cluster.Machines["i-5"]; machine.KeptForMove || machine.ReservedFor != nil {
				t.Error("a machine is kept")
			}
			site.expectQuota(16)
		})
	})
	t.Run("to the shard", func(t *testing.T) {
		runPartial(t, wire.Job{}, func(site *partialSite) {
			site.runReplica(0)
			site.offerUntilStopped(longEnough)
			site.exitStopped()
			release(site)
			expectFree(t, site)
			site.expectQuota(0)
		})
	})
	t.Run("assigned, not stored", func(t *testing.T) {
		runPartial(t, wire.Job{}, func(site *partialSite) {
			site.runReplica(0)
			site.offerUntilStopped(longEnough)
			site.failWrites(shard.AssignmentPrefix, fake.CommitFault{Refused: true})
			site.exitStopped()
			site.offerCapacity(5*micro.Second, 1, 2)
			if site.job().Shard == "" {
				t.Fatal("not assigned")
			}
			site.setFault(nil)
			release(site)
			expectFree(t, site)
			site.expectQuota(0)
		})
	})
}
