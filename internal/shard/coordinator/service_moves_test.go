package coordinator

import (
	"math"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// Services some of whose replicas run are moved as a whole, and capacity and quota are kept for them.

// partialSite is a site where j-1 is a service of two replicas of one CPU each.
type partialSite struct {
	*handoverSite
	agents map[int]*fake.Agent // by the replica that runs there
}

// runPartial plays a story in which a service of so many CPUs a replica was submitted.
func runPartial(t *testing.T, spec wire.Job, story func(site *partialSite)) {
	t.Helper()
	runHandover(t, func(site *handoverSite) {
		partial := &partialSite{handoverSite: site, agents: map[int]*fake.Agent{}}
		partial.addService("j-1", spec)
		story(partial)
	})
}

// addService adds a service of two replicas.
func (s *partialSite) addService(id string, spec wire.Job) *cluster.Job {
	spec.ID, spec.Team, spec.Class, spec.Kind, spec.Tasks = id, "team", "c", wire.Service, 2
	if spec.CPUs == 0 {
		spec.CPUs, spec.MemoryGB = 1, 1
	}
	s.specs = append(s.specs, spec)
	s.do(func() { s.leader.Cluster.AddJob(spec, s.now(), s.now()) })
	return s.leader.Cluster.Jobs[id]
}

// runReplica has a replica of j-1 run on a machine of the leader's.
func (s *partialSite) runReplica(index int) {
	s.t.Helper()
	agent := s.agents[index]
	if agent == nil {
		agent = fake.NewAgent("i-"+string(rune('0'+index)), "m", "a", 1000*micro.Minute)
		agent.FencingToken, s.agents[index] = 1, agent
	}
	clear(agent.Tasks)
	s.do(func() {
		c := s.leader.Cluster
		c.MinFencingToken = 1
		machine, _ := c.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now())
		allocation := c.Allocate(s.job(), index, machine, s.job().Tasks[index].Attempt+1, 1, s.now())
		agent.Tasks[fake.AttemptKey{Task: allocation.TaskName, Attempt: allocation.Attempt}] = &wire.TaskStatus{
			Task: allocation.TaskName, Attempt: wire.Count(allocation.Attempt), State: wire.TaskRunning,
		}
		c.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now())
	})
}

// exitStopped has the replicas of j-1 exit that were told to stop.
func (s *partialSite) exitStopped() {
	s.t.Helper()
	s.do(func() {
		for _, agent := range s.agents {
			for _, task := range agent.Tasks {
				task.State, task.Cause = wire.TaskExited, wire.CauseStopped
			}
			s.leader.Cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now())
		}
	})
}

// stopping reports whether any replica of j-1 was told to stop.
func (s *partialSite) stopping() bool {
	for _, allocation := range s.job().Allocations() {
		if allocation.Stopping {
			return true
		}
	}
	return false
}

// tellCapacity has the owner tell of machines with so many CPUs free each.
func (s *partialSite) tellCapacity(machines int, cpus float64) {
	s.t.Helper()
	capacity := []shard.FreeCapacity{{Type: "m", Zone: "b", Count: machines, CPU: cpus, Mem: 64}}
	s.tell(shard.ShardUpdate{FreeCapacity: capacity[:min(machines, 1)]})
}

// offerCapacity has the owner tell of such machines for so long.
func (s *partialSite) offerCapacity(span micro.Time, machines int, cpus float64) {
	s.t.Helper()
	for end := s.now() + span; s.now() < end; s.sleep(500 * micro.Millisecond) {
		s.tellCapacity(machines, cpus)
	}
}

// offerUntilStopped offers capacity for j-1 until its replicas are stopped, and says when.
func (s *partialSite) offerUntilStopped(most micro.Time) micro.Time {
	s.t.Helper()
	for end := s.now() + most; s.now() < end && !s.stopping(); s.sleep(500 * micro.Millisecond) {
		s.tellCapacity(1, 2)
	}
	if !s.stopping() {
		s.t.Fatalf("not stopped within %v", most)
	}
	return s.now()
}

// submitOther adds the array j-2 of so many tasks of one CPU.
func (s *partialSite) submitOther(tasks int) *cluster.Job {
	spec := wire.Job{ID: "j-2", Team: "team", Class: "c", Kind: wire.JobArray, Tasks: tasks, CPUs: 1, MemoryGB: 1}
	s.specs = append(s.specs, spec)
	s.do(func() { s.leader.Cluster.AddJob(spec, s.now(), s.now()) })
	return s.leader.Cluster.Jobs[spec.ID]
}

// longEnough is longer than the rest of a service waits on its side.
const longEnough = shard.PartialServiceDelay + 10*micro.Second

// The capacity for which a service's replicas are stopped goes to another job, again and again: the
// service has neither.
func TestCapacityIsKeptForTheServiceThatIsStoppedForIt(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.offerUntilStopped(longEnough)
		if site.leader.tasksThatFit(site.leader.viewOf("east").freeCapacity, &site.job().Spec) > 0 {
			t.Error("the capacity is counted as free from the decision to the owner's next word")
		}
		other := site.submitOther(2)
		site.offerCapacity(20*micro.Second, 1, 2) // while the replica writes a checkpoint
		if other.Shard != "" {
			t.Error("another job got the capacity while the service was being stopped")
		}
		site.exitStopped()
		site.waitUntil("the service is assigned", func() bool { site.tellCapacity(1, 2); return site.job().Shard != "" })
		if other.Shard != "" {
			t.Error("another job got the capacity before the service was assigned")
		}
		site.waitUntil("that is known", func() bool { site.tellCapacity(1, 2); return len(site.leader.moves) == 0 })
		site.waitUntil("what is left goes to the other", func() bool { site.tellCapacity(1, 2); return other.Shard != "" })
	})
}

// The owner's word from before it read the assignment counts the same capacity for another job.
func TestCapacityIsKeptUntilTheOwnerKnowsOfTheServiceThatWasStopped(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.offerUntilStopped(longEnough)
		other := site.submitOther(2)
		site.failWrites(shard.AssignmentPrefix, fake.CommitFault{Refused: true})
		site.exitStopped()
		site.offerCapacity(10*micro.Second, 1, 2)
		if site.job().Shard == "" || other.Shard != "" {
			t.Errorf("the service is in shard %q, another job in %q", site.job().Shard, other.Shard)
		}
	})
}

// A service is assigned to another shard than the one where its capacity is kept: that lies idle.
func TestServiceGoesWhereItsCapacityIsKept(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.putWest()
		site.runReplica(0)
		site.offerUntilStopped(longEnough)
		site.refuseRecords()
		site.exitStopped()
		site.offerCapacity(3*micro.Second, 1, 2)
		site.setFault(nil)
		site.waitUntil("it is assigned", func() bool {
			site.tellCapacity(1, 2)
			site.tellWestFree()
			return site.job().Shard != ""
		})
		if site.job().Shard != "east" {
			t.Errorf("assigned to %s", site.job().Shard)
		}
	})
}

// A service's replicas are stopped for capacity for which a job waits that has no allocation at all.
func TestServiceIsNotStoppedForCapacityThatAnotherJobWaitsFor(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.sleep(longEnough)
		other := site.submitOther(2)
		site.sleep(2 * assignDelay)
		site.waitUntil("the other is assigned", func() bool { site.tellCapacity(1, 2); return other.Shard != "" })
		if site.stopping() {
			t.Error("stopped")
		}
	})
}

// The quota of the replicas that are stopped goes to another job of the team, and the service is not
// assigned; or it is counted twice.
func TestQuotaIsKeptForTheServiceThatIsStopped(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.expectQuota(1)
		site.offerUntilStopped(longEnough)
		site.expectQuota(2)
		site.failWrites(keys.ChunkPrefix, fake.CommitFault{Refused: true})
		site.exitStopped()
		site.offerCapacity(5*micro.Second, 1, 2)
		site.expectQuota(2)
		site.setFault(nil)
		site.waitUntil("the service is assigned", func() bool { site.tellCapacity(1, 2); return site.job().Shard != "" })
		site.expectQuota(2)
	})
}

// Capacity and quota are kept for good for a service that is cancelled on its way.
func TestNothingIsKeptForAServiceThatIsOver(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.offerUntilStopped(longEnough)
		site.do(func() { site.leader.Cluster.FinalizeJob(site.job(), true, site.now()) })
		site.exitStopped()
		site.sleep(micro.Second)
		site.expectQuota(0)
		if len(site.leader.moves) > 0 {
			t.Error("capacity is kept")
		}
	})
}

// A service is stopped for capacity that goes away, runs in part again, and is stopped at once anew.
func TestServiceStoppedInVainIsNotStoppedAgainAtOnce(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		last := site.offerUntilStopped(longEnough)
		for interval := minServiceMoveInterval; interval <= 2*minServiceMoveInterval; interval *= 2 {
			site.exitStopped()
			site.offerCapacity(servicePlacementMargin+5*micro.Second, 0, 0) // it went to others
			if job := site.job(); job.InBackoff(site.now()) || job.QuotaHoldTasks > 0 || len(site.leader.moves) > 0 {
				t.Fatal("the service may not be placed where it was")
			}
			site.runReplica(0)
			next := site.offerUntilStopped(3 * minServiceMoveInterval)
			if next-last < interval || next-last > interval+longEnough {
				t.Errorf("stopped again after %v, want %v", next-last, interval)
			}
			last = next
		}
	})
}

// Replicas are stopped though the service cannot be assigned afterwards: in vain.
func TestServiceThatCannotBeAssignedIsNotStopped(t *testing.T) {
	for name, c := range map[string]struct {
		spec     wire.Job
		prepare  func(site *partialSite)
		machines int
		stopped  bool
	}{
		"it can be":            {machines: 2, stopped: true},
		"too large a value":    {machines: 2, spec: wire.Job{Image: strings.Repeat("x", 1<<16)}},
		"its records unstored": {machines: 2, prepare: (*partialSite).refuseRecords},
		"a controller cannot":  {machines: 2, prepare: (*partialSite).setBackPeer},
		"no quota for all":     {machines: 2, spec: wire.Job{CPUs: 4, MemoryGB: 1}},
		"capacity for a part":  {machines: 1},
		"one zone for both":    {machines: 2, spec: wire.Job{Spread: true}},
		"other machines":       {machines: 2, spec: wire.Job{Types: []string{"large"}}},
	} {
		t.Run(name, func(t *testing.T) {
			runPartial(t, c.spec, func(site *partialSite) {
				if c.prepare != nil {
					c.prepare(site)
				}
				site.runReplica(0)
				site.offerCapacity(longEnough, c.machines, max(c.spec.CPUs, 1))
				if site.stopping() != c.stopped {
					t.Errorf("stopped: %v", !c.stopped)
				}
			})
		})
	}
}

func (s *partialSite) refuseRecords() {
	s.failWrites(keys.ChunkPrefix, fake.CommitFault{Refused: true})
}

func (s *partialSite) setBackPeer() { s.setFeatures("n-1") }

// A leader that takes over while a service is stopped leaves it without replicas on either side.
func TestNextLeaderGoesOnWithAServiceThatWasStopped(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.offerUntilStopped(longEnough)
		site.exitStopped()
		site.waitUntil("that is stored", func() bool {
			_, persisted := site.leader.Host.JobRevision(site.job())
			return persisted
		})
		site.takeOver()
		site.expectQuota(0)
		if site.job().InBackoff(site.now()) {
			t.Error("the next leader may not place it")
		}
		site.waitUntil("it is assigned", func() bool { site.tellCapacity(1, 2); return site.job().Shard != "" })
		site.expectQuota(2)
	})
}

// assignPartly has a service in a shard, as one that its owner has placed in part.
func (s *partialSite) assignPartly(id, shardName string) *assignedJob {
	s.t.Helper()
	var assigned *assignedJob
	s.do(func() {
		job := s.leader.Cluster.Jobs[id]
		s.leader.Cluster.Assign(job, shardName)
		assignment := shard.NewAssignment(job.Spec, 0, int64(s.now()))
		assignment.MaxAllocations = 2
		assigned = s.leader.storeAssignment(shardName, job, assignment)
		assigned.storeRecord.MarkDirty(s.now(), 0)
	})
	s.waitUntil("it is stored", func() bool { return assigned.stored })
	return assigned
}

// addLeaderMachine adds an empty machine of 16 CPUs of the leader's.
func (s *partialSite) addLeaderMachine(name string) {
	agent := fake.NewAgent(name, "m", "c", 1000*micro.Minute)
	s.do(func() { s.leader.Cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, s.now()) })
}

// tellPartlyPlaced has the owner of a shard tell of services that it has placed in part.
func (s *partialSite) tellPartlyPlaced(shardName string, services ...string) {
	s.do(func() {
		owner := s.owner()
		s.leader.applyStatusUpdate(&shard.StatusUpdate{
			Node: owner.Node, SessionVersion: uint64(owner.SessionVersion),
			Shards: []shard.ShardUpdate{{Name: shardName, AssignmentRevision: 1 << 40, PartlyPlaced: services}},
		}, s.now())
	})
	s.sleep(micro.Second)
}

// runTwoServices plays a story in which j-1 and j-2, which take one machine each, are placed in part in
// shards.
func runTwoServices(t *testing.T, secondShard string, story func(site *partialSite, first, second *assignedJob)) {
	t.Helper()
	spec := wire.Job{CPUs: 8, MemoryGB: 1}
	runPartial(t, spec, func(site *partialSite) {
		site.putWest()
		site.sleep(2 * micro.Second)
		site.leader.Cluster.Teams["team"].CPULimit = 1000
		site.addService("j-2", spec)
		story(site, site.assignPartly("j-1", "east"), site.assignPartly("j-2", secondShard))
	})
}

// Two services are recalled for the same machine of the leader's, and one of them is stopped in vain.
func TestCapacityOfTheLeaderIsCountedForOneServiceOnly(t *testing.T) {
	for machines, want := range map[int]int{0: 0, 1: 1, 2: 2} {
		runTwoServices(t, "west", func(site *partialSite, first, second *assignedJob) {
			for i := range machines {
				site.addLeaderMachine("i-" + string(rune('5'+i)))
			}
			for range 5 {
				site.tellPartlyPlaced("east", "j-1")
				site.tellPartlyPlaced("west", "j-2")
			}
			recalled := 0
			for _, assigned := range []*assignedJob{first, second} {
				if assigned.assignment.RecallRequested {
					recalled++
				}
			}
			if recalled != want {
				t.Errorf("%d machines: %d services are recalled, want %d", machines, recalled, want)
			}
		})
	}
}

// Many services of one shard are down at the same time for their way.
func TestOneServiceMovesAtATimeForEachShard(t *testing.T) {
	runTwoServices(t, "east", func(site *partialSite, first, second *assignedJob) {
		site.addLeaderMachine("i-5")
		site.addLeaderMachine("i-6")
		for range 5 {
			site.tellPartlyPlaced("east", "j-1", "j-2")
		}
		if !first.assignment.RecallRequested || second.assignment.RecallRequested {
			t.Errorf("recalled: %v, %v", first.assignment.RecallRequested, second.assignment.RecallRequested)
		}
	})
}

// A service is recalled though the mark cannot be stored, or its owner could not follow.
func TestServiceThatCannotBeRecalledStays(t *testing.T) {
	for name, prepare := range map[string]func(site *partialSite, assigned *assignedJob){
		"a controller cannot": func(site *partialSite, _ *assignedJob) { site.setBackPeer() },
		"too large a value": func(_ *partialSite, assigned *assignedJob) {
			assigned.assignment.Job.Image = strings.Repeat("x", 1<<16)
		},
		"a part of its quota is gone": func(site *partialSite, assigned *assignedJob) {
			site.do(func() { site.leader.Cluster.ReleaseQuota(assigned.job, 1) })
		},
		"its owner says so no more": func(site *partialSite, _ *assignedJob) { site.sleep(2 * maxPartialReportAge) },
	} {
		t.Run(name, func(t *testing.T) {
			runTwoServices(t, "west", func(site *partialSite, assigned, _ *assignedJob) {
				site.tellPartlyPlaced("east", "j-1")
				prepare(site, assigned)
				site.addLeaderMachine("i-5")
				if name != "its owner says so no more" {
					site.tellPartlyPlaced("east", "j-1")
				}
				site.sleep(2 * micro.Second)
				if assigned.assignment.RecallRequested {
					t.Error("recalled")
				}
			})
		})
	}
}

// The machine for which a service was recalled is given up, or its quota, before it is placed; or they
// are kept for good.
func TestMachinesAndQuotaAreKeptUntilTheServiceIsBack(t *testing.T) {
	for name, placed := range map[string]bool{"placed": true, "not placed": false} {
		t.Run(name, func(t *testing.T) {
			runTwoServices(t, "west", func(site *partialSite, _, second *assignedJob) {
				site.addLeaderMachine("i-5")
				machine := site.leader.Cluster.Machines["i-5"]
				site.tellPartlyPlaced("east", "j-1")
				site.recallUntilBack()
				if machine.ReservedFor != site.job() || !machine.KeptForMove {
					t.Error("the machine is not kept")
				}
				site.expectQuota(32)
				site.tellPartlyPlaced("west", "j-2")
				if second.assignment.RecallRequested {
					t.Error("the other service is recalled for the same machine")
				}
				if placed {
					site.placeAll(machine)
				} else {
					site.sleep(servicePlacementMargin)
				}
				site.sleep(micro.Second)
				if machine.ReservedFor != nil || machine.KeptForMove || site.job().MachinesKept {
					t.Error("the machine is kept for good")
				}
				site.expectQuota(map[bool]float64{true: 32, false: 16}[placed])
			})
		})
	}
}

// recallUntilBack has the owner release j-1 until it is the leader's.
func (s *partialSite) recallUntilBack() {
	s.t.Helper()
	s.waitUntil("the recall is stored", func() bool { assignment, _ := s.assignment(); return assignment.RecallRequested })
	s.release()
	s.waitUntil("it is back", func() bool { return s.job().State == cluster.Active })
}

// placeAll places both replicas of j-1 on a machine, as the scheduler does.
func (s *partialSite) placeAll(machine *cluster.Machine) {
	s.t.Helper()
	s.do(func() {
		for index := range s.job().Tasks {
			s.leader.Cluster.Allocate(s.job(), index, machine, 9, 8, s.now())
			if machine.ReservedFor != s.job() {
				s.t.Error("the machine is given up before all replicas are placed")
			}
		}
	})
}

// What is kept for a spread service is taken from one zone only, and that in the other is counted twice.
func TestCapacityIsDeductedInTheZonesWhereTasksGo(t *testing.T) {
	test := newTestCoordinator(t)
	for name, c := range map[string]struct {
		spec wire.Job
		want []int // machines left in zones x, y and y
	}{
		"any zone": {wire.Job{Tasks: 4, CPUs: 16}, []int{0, 1, 2}},
		"spread":   {wire.Job{Tasks: 4, CPUs: 16, Spread: true}, []int{1, 0, 2}},
		"one zone": {wire.Job{Tasks: 4, CPUs: 16, OneZone: true}, []int{3, 0, 0}},
	} {
		view := &shardView{freeCapacity: []shard.FreeCapacity{
			{Type: "m", Zone: "x", Count: 3, CPU: 16, Mem: 64},
			{Type: "m", Zone: "y", Count: 2, CPU: 16, Mem: 64},
			{Type: "m", Zone: "y", Count: 2, CPU: 16, Mem: 60},
		}}
		test.deductCapacity(view, &c.spec, c.spec.Tasks)
		for i, want := range c.want {
			if got := view.freeCapacity[i].Count; got != want {
				t.Errorf("%s: %d machines left of kind %d, want %d", name, got, i, want)
			}
		}
	}
}

// The size of an assignment is looked at before the stop, with the largest numbers that it may hold.
func TestLargestAssignmentIsNoSmallerThanAny(t *testing.T) {
	spec := wire.Job{ID: "j-1", Kind: wire.Service, Tasks: 2}
	usual, largest := shard.NewAssignment(spec, 1<<53, 1<<52), shard.NewAssignment(spec, math.MaxInt64, math.MaxInt64)
	if wire.JSONSize(usual) > wire.JSONSize(largest) {
		t.Error("an assignment may be larger")
	}
}

// A service goes to and fro between two sides, each of which places a part of it.
func TestServiceThatCameToASideStaysForAWhile(t *testing.T) {
	t.Run("a shard", func(t *testing.T) {
		runTwoServices(t, "west", func(site *partialSite, assigned, _ *assignedJob) {
			site.addLeaderMachine("i-5")
			assigned.assignment = shard.NewAssignment(site.job().Spec, 1, int64(site.now()))
			site.sleep(minServiceMoveInterval - 10*micro.Second)
			site.tellPartlyPlaced("east", "j-1")
			if assigned.assignment.RecallRequested {
				t.Error("recalled at once")
			}
			site.sleep(10 * micro.Second)
			site.tellPartlyPlaced("east", "j-1")
			if !assigned.assignment.RecallRequested {
				t.Error("never recalled")
			}
		})
	})
	t.Run("the leader", func(t *testing.T) {
		runPartial(t, wire.Job{}, func(site *partialSite) {
			site.job().UnassignedAt = site.now()
			site.runReplica(0)
			site.offerCapacity(minServiceMoveInterval-5*micro.Second, 1, 2)
			if site.stopping() {
				t.Error("stopped at once")
			}
			site.offerUntilStopped(10 * micro.Second)
		})
	})
}

// Machines are requested for a service for good, some of which are never granted: the others are idle.
func TestMachinesForAServiceInPartAreRequestedForAWhile(t *testing.T) {
	runPartial(t, wire.Job{}, func(site *partialSite) {
		site.runReplica(0)
		site.sleep(shard.PartialServiceDelay)
		requested := micro.Time(0)
		for end := site.now() + minServiceMoveInterval; site.now() < end; site.sleep(micro.Second) {
			for _, demand := range site.leader.ShardDemands() {
				if requested += micro.Second; demand.Job != site.job() || demand.Tasks != 2 {
					t.Fatalf("%d tasks of %s are requested for", demand.Tasks, demand.Job.Spec.ID)
				}
			}
		}
		if requested < serviceMoveWindow-2*micro.Second || requested > serviceMoveWindow+2*micro.Second {
			t.Errorf("requested for %v", requested)
		}
	})
}
