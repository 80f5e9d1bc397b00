package controller

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Scenarios in which started jobs are handed over from the leader to a shard owner, or back. They observe jobs,
// machines and the store only.

// arrayTasks is the number of tasks of the arrays here, and arrayTasksAtOnce the number of them that their team's
// quota permits at once.
const (
	arrayTasks       = 12
	arrayTasksAtOnce = teamMaxCPUs / 4
)

// eastShard returns settings that declare a shard whose first owner is n-2.
func eastShard(selector shard.Selector) *config.Shards {
	return &config.Shards{
		MinMoveInterval: micro.Minute, MaxMachinesMoving: 10_000,
		Declared: []config.DeclaredShard{{Name: "east", Selector: selector, Owner: "n-2"}},
	}
}

// checkTaskStarts checks every start of a task against earlier ones: a done task must not start again, and attempt
// numbers must rise.
func checkTaskStarts(sim *simCluster) {
	var mu sync.Mutex
	lastAttempts := map[string]uint64{}
	sim.onTaskStart = func(machine *fakeMachine, key fake.AttemptKey) {
		mu.Lock()
		defer mu.Unlock()
		id, index, _ := wire.ParseTaskName(key.Task)
		if sim.taskDone(id, index) {
			sim.t.Errorf("%v: %s starts on %s although it is done", sim.now(), key.Task, machine.agent.Name)
		}
		if last := lastAttempts[key.Task]; key.Attempt <= last {
			sim.t.Errorf("%v: attempt %d of %s starts after attempt %d", sim.now(), key.Attempt, key.Task, last)
		}
		lastAttempts[key.Task] = key.Attempt
	}
}

// taskDone reports whether a task ran to completion.
func (w *simCluster) taskDone(job string, index int) bool {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	record := w.checker.jobs[job]
	return record != nil && record.completedTasks[index]
}

// doneTasks returns the number of the job's tasks that ran to completion.
func (j *userJob) doneTasks() int {
	j.sim.checker.mu.Lock()
	defer j.sim.checker.mu.Unlock()
	return len(j.sim.checker.jobs[j.id].completedTasks)
}

// waitDone waits until a status reply says that the job is done.
func (w *simCluster) waitDone(job *userJob, timeout micro.Time) {
	w.t.Helper()
	w.waitUntil(job.id+" is done", timeout, func() bool {
		return replyState(job.queryStatus(w.randomUserNode())) == wire.JobDone
	})
}

// waitServed waits until all replicas of a service run.
func (w *simCluster) waitServed(service *userJob, replicas int) {
	w.t.Helper()
	w.waitUntil(service.id+" has all replicas running", servedWithin, func() bool {
		return service.runningTasks() == replicas
	})
}

// restartAll restarts all processes at once with new shard settings.
func (w *simCluster) restartAll(shards *config.Shards) {
	w.setShards(shards)
	for _, controller := range w.controllers {
		w.restartController(controller, micro.Second)
	}
	w.sleep(2 * micro.Second)
}

// declareShard restarts all processes with settings that declare a shard, and waits until its record exists.
func (w *simCluster) declareShard(selector shard.Selector) {
	w.t.Helper()
	w.restartAll(eastShard(selector))
	w.waitUntil("the shard is being formed", micro.Minute, func() bool { _, ok := w.shardRecord(); return ok })
}

// formShard declares a shard and waits until n-2 owns it.
func (w *simCluster) formShard(selector shard.Selector) {
	w.t.Helper()
	w.declareShard(selector)
	w.waitShardOwned("n-2", 2*micro.Minute)
}

// dissolveShard has the leader reclaim the shard, and waits until no key of the shard is stored.
func (w *simCluster) dissolveShard() {
	w.t.Helper()
	w.mu.Lock()
	dissolve := *w.config.Shards
	w.mu.Unlock()
	dissolve.Dissolve = true
	w.restartAll(&dissolve)
	w.waitUntil("no record of the shard is left", 2*micro.Minute, func() bool { return len(w.shardKeys()) == 0 })
}

// newHandoverArray creates an array whose team's quota permits a third of its tasks at once, so that it runs in
// three waves.
func (w *simCluster) newHandoverArray(spot bool, team string) *userJob {
	return w.newJob(jobRequest{
		kind: wire.JobArray, tasks: arrayTasks, cpus: 4, runTime: 20 * micro.Second, spot: spot, team: team,
	})
}

// waitSecondWave waits until the first tasks of an array are done and others have run for long enough that its
// controller knows of the ends.
func (w *simCluster) waitSecondWave(array *userJob) {
	w.t.Helper()
	w.waitUntil("some tasks are done, others run", 3*micro.Minute, func() bool {
		running := len(w.tasksRunningFor(array, 3*micro.Second))
		return array.doneTasks() >= arrayTasksAtOnce && running == arrayTasksAtOnce
	})
}

var onDemand, spotOnly = shard.Selector{Kind: shard.OnDemandOnly}, shard.Selector{Kind: shard.SpotOnly}

// handoverWork holds the jobs that are handed over in a scenario: a service and an array, of different teams.
type handoverWork struct {
	service  *userJob
	replicas int
	array    *userJob
}

// startWorkAtLeader starts jobs that may use on-demand machines only, none of which belongs to a shard yet, and
// waits until part of the array is done.
func (w *simCluster) startWorkAtLeader() handoverWork {
	w.t.Helper()
	work := handoverWork{
		service: w.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4}).submit(), replicas: 2,
		array: w.newHandoverArray(false, "other").submit(),
	}
	w.waitRunning(work.service, work.replicas)
	w.waitSecondWave(work.array)
	return work
}

// startWorkInSpotShard starts jobs that may use spot and on-demand machines in a shard of all spot machines, and
// waits until part of the array is done.
func (w *simCluster) startWorkInSpotShard() handoverWork {
	w.t.Helper()
	w.waitShardOwned("n-2", 2*micro.Minute)
	work := handoverWork{
		service: w.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, spot: true}).submit(), replicas: 1,
		array: w.newHandoverArray(true, "other").submit(),
	}
	w.waitServed(work.service, work.replicas)
	w.waitSecondWave(work.array)
	for _, machine := range append(work.service.machines(), work.array.machines()...) {
		if !machine.agent.Spot {
			w.t.Fatalf("%s is not a spot machine", machine.agent.Name)
		}
	}
	return work
}

// terminateSpotMachines terminates all spot machines, and lets only on-demand machines boot from now on.
func (w *simCluster) terminateSpotMachines() {
	w.mu.Lock()
	w.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Spot }
	var lost []*fakeMachine
	for _, machine := range w.machines {
		if machine.agent.Spot {
			lost = append(lost, machine)
		}
	}
	w.mu.Unlock()
	for _, machine := range lost {
		machine.terminate()
	}
}

// waitWorkServed waits until all replicas of the service run and the array is done.
func (w *simCluster) waitWorkServed(work handoverWork) {
	w.t.Helper()
	end := w.now() + servedWithin
	w.waitServed(work.service, work.replicas)
	w.waitDone(work.array, max(end-w.now(), 0)+micro.Minute) // two waves are left to run
}

// A direction is a direction of handovers, with the scenario that causes them.
type direction struct {
	name string
	set  func(sim *simCluster)
	// begin starts the jobs and triggers their handover.
	begin func(sim *simCluster) handoverWork
	spot  bool // the jobs may use spot machines
	// The handover starts at the earliest from after begin. Tests sample the time after that in
	// intervals of step.
	from, step micro.Time
}

// directions returns the handovers from the leader to a shard, and back. A job returns once the leases of its
// machines have expired and its shard has had no capacity for it for a further period.
func directions() []direction {
	return []direction{
		{
			"to a shard", checkTaskStarts, func(sim *simCluster) handoverWork {
				work := sim.startWorkAtLeader()
				sim.formShard(onDemand)
				return work
			}, false, 0, 600 * micro.Millisecond,
		},
		{
			"to the leader", withSpotShard, func(sim *simCluster) handoverWork {
				work := sim.startWorkInSpotShard()
				sim.terminateSpotMachines()
				return work
			}, true, leaseS * micro.Second, 5 * micro.Second,
		},
	}
}

// runHandoverScenario runs a scenario in both directions.
func runHandoverScenario(
	t *testing.T, seed uint64, name string, scenario func(sim *simCluster, work handoverWork),
) {
	t.Helper()
	for _, way := range directions() {
		t.Run(fmt.Sprint(way.name, ", ", name), func(t *testing.T) {
			t.Parallel()
			runScenario(t, seed, 3, way.set, func(sim *simCluster) { scenario(sim, way.begin(sim)) })
		})
	}
}

// runThreeSeeds runs a scenario with each of three consecutive seeds.
func runThreeSeeds(t *testing.T, first uint64, set func(*simCluster), scenario func(*simCluster)) {
	t.Helper()
	for seed := first; seed < first+3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runScenario(t, seed, 3, set, scenario) })
	}
}

// withSpotShard declares a shard of all spot machines from the start. Spot machines are more expensive, and only
// they boot at first: once they are terminated, the leader requests on-demand machines at once.
func withSpotShard(sim *simCluster) {
	withLongerBoots(sim)
	sim.cloud.Capacity = 64
	for i := range sim.cloud.Types {
		sim.cloud.Types[i].SpotPrice = 1.5 * sim.cloud.Types[i].Price
	}
	sim.cloud.failsBoot = func(request wire.InstanceRequest) bool { return !request.Spot }
	sim.config.Shards = eastShard(spotOnly)
}

// withLongerBoots extends the time for which a machine is overdue before it is terminated. An offer is excluded once
// two of its machines are overdue: with the boot time of the small type, 5 s, a machine that is requested alone is
// terminated just before the next one is overdue, and no other offer is ever tried.
func withLongerBoots(sim *simCluster) {
	checkTaskStarts(sim)
	for i := range sim.cloud.Types {
		sim.cloud.Types[i].BootS = 8
	}
}

// assignmentVersion returns the version of a job's stored assignment, 0 if there is none.
func (w *simCluster) assignmentVersion(job *userJob) uint64 {
	item, err := w.store.Get(w.ctx, store.Routine, shard.AssignmentKey("east", job.id))
	if err != nil {
		return 0
	}
	return uint64(item.Version)
}

// waitHandoverBegins waits until the record of a job's assignment is created, changed or deleted.
func (w *simCluster) waitHandoverBegins(job *userJob) {
	w.t.Helper()
	before, end := w.assignmentVersion(job), w.now()+servedWithin
	for w.assignmentVersion(job) == before {
		if w.now() > end {
			w.t.Fatalf("%v: the handover of %s did not start", w.now(), job.id)
		}
		w.sleep(5 * micro.Millisecond)
	}
}

// Guards against a running service that neither the leader nor the shard owner serves once a shard is formed from
// all machines that it may use.
func TestRunningServiceIsServedByShardFormedFromItsMachines(t *testing.T) {
	runThreeSeeds(t, 60, checkTaskStarts, func(sim *simCluster) {
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4}).submit()
		sim.waitRunning(service, 2)
		sim.formShard(onDemand)
		sim.waitServed(service, 2)
	})
}

// Guards against a partly done array whose remaining tasks never run, or whose done tasks run again, once a shard
// is formed from its machines.
func TestPartlyDoneArrayIsFinishedByShardFormedFromItsMachines(t *testing.T) {
	runThreeSeeds(t, 63, checkTaskStarts, func(sim *simCluster) {
		array := sim.newHandoverArray(false, "team").submit()
		sim.waitSecondWave(array)
		sim.formShard(onDemand)
		if done := array.doneTasks(); done == arrayTasks {
			sim.t.Fatal("no task was left to run")
		}
		sim.waitDone(array, servedWithin)
		if starts := array.startCount(); starts != arrayTasks {
			sim.t.Errorf("%d starts of %d tasks", starts, arrayTasks)
		}
	})
}

// Guards against a service that stays in a shard after its machine there is terminated, although only the leader
// can serve it.
func TestServiceThatItsShardCannotServeIsServedByTheLeader(t *testing.T) {
	runThreeSeeds(t, 66, withSpotShard, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, spot: true}).submit()
		sim.waitServed(service, 1)
		if machine := service.machines()[0]; !machine.agent.Spot {
			sim.t.Fatalf("%s is not a spot machine", machine.agent.Name)
		}
		sim.terminateSpotMachines()
		sim.waitServed(service, 1)
	})
}

// Guards against an array partly done in a shard whose remaining tasks stay there although only the leader can run
// them, or whose done tasks run again.
func TestArrayThatItsShardCannotFinishIsFinishedByTheLeader(t *testing.T) {
	runThreeSeeds(t, 69, withSpotShard, func(sim *simCluster) {
		work := sim.startWorkInSpotShard()
		sim.terminateSpotMachines()
		sim.waitDone(work.array, servedWithin)
		if starts, limit := work.array.startCount(), arrayTasks+arrayTasksAtOnce; starts > limit {
			sim.t.Errorf("%d starts of %d tasks, at most %d", starts, arrayTasks, limit)
		}
	})
}

// Guards against a running gang that restarts when a shard is formed from its machines, or that no owner serves
// once it loses a machine meanwhile.
func TestGangIsServedThoughShardIsFormedFromItsMachines(t *testing.T) {
	for _, loses := range []bool{false, true} {
		t.Run(fmt.Sprint("loses a machine ", loses), func(t *testing.T) {
			runScenario(t, 72, 3, checkTaskStarts, func(sim *simCluster) {
				const tasks = 3
				gang := sim.newJob(
					jobRequest{kind: wire.Gang, tasks: tasks, cpus: 4, runTime: 40 * micro.Second},
				).submit()
				sim.waitRunning(gang, tasks)
				sim.declareShard(onDemand)
				if loses {
					gang.machines()[0].terminate()
				}
				sim.waitDone(gang, servedWithin)
				if starts := gang.startCount(); !loses && starts != tasks {
					sim.t.Errorf("%d starts of %d tasks", starts, tasks)
				}
				sim.waitShardOwned("n-2", 2*micro.Minute)
			})
		})
	}
}

// Guards against a service spread over two zones that no owner serves once one of the zones is a shard.
func TestSpreadServiceIsServedThoughOneOfItsZonesBecomesAShard(t *testing.T) {
	runScenario(t, 73, 3, checkTaskStarts, func(sim *simCluster) {
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4, spread: true}).submit()
		sim.waitRunning(service, 2)
		sim.formShard(shard.Selector{Zone: "b"})
		sim.waitServed(service, 2)
	})
}

// Guards against an array that loses or repeats tasks when it is handed over to a shard, back to the leader, and to
// the shard formed again.
func TestArrayIsFinishedThoughItsShardIsDissolvedAndFormedAgain(t *testing.T) {
	runThreeSeeds(t, 74, checkTaskStarts, func(sim *simCluster) {
		array := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 5 * arrayTasksAtOnce, cpus: 4, runTime: 20 * micro.Second},
		).submit()
		sim.waitSecondWave(array)
		sim.formShard(onDemand)
		inShard := array.startCount()
		sim.waitUntil("tasks start in the shard", servedWithin, func() bool { return array.startCount() > inShard })
		sim.dissolveShard()
		atLeader := array.startCount()
		sim.waitUntil("tasks start at the leader", servedWithin, func() bool { return array.startCount() > atLeader })
		sim.formShard(onDemand)
		if array.doneTasks() == 5*arrayTasksAtOnce {
			sim.t.Fatal("no task was left to run")
		}
		sim.waitDone(array, servedWithin)
		if starts := array.startCount(); starts != 5*arrayTasksAtOnce {
			sim.t.Errorf("%d starts of %d tasks", starts, 5*arrayTasksAtOnce)
		}
	})
}

// handoverDelays returns the delays after the start of a handover at which tests cancel its job.
func handoverDelays() []micro.Time {
	return []micro.Time{
		0, 20 * micro.Millisecond, 100 * micro.Millisecond, 300 * micro.Millisecond, 600 * micro.Millisecond,
		micro.Second, 2 * micro.Second, 3 * micro.Second, 4500 * micro.Millisecond, 6 * micro.Second,
	}
}

// Guards against a cancellation that neither owner applies because its job is in transfer, so that its tasks keep
// running.
func TestCancellationDuringHandoverStopsAllTasks(t *testing.T) {
	for _, delay := range handoverDelays() {
		for _, kind := range []wire.JobKind{wire.Service, wire.JobArray} {
			title := fmt.Sprint(delay.Duration(), " after ", kind)
			runHandoverScenario(t, 77, title, func(sim *simCluster, work handoverWork) {
				sim.waitHandoverBegins(work.job(kind))
				sim.sleep(delay)
				sim.cancelWork(work)
			})
		}
	}
}

// job returns the service or the array.
func (w handoverWork) job(kind wire.JobKind) *userJob {
	if kind == wire.Service {
		return w.service
	}
	return w.array
}

// Guards against a cancellation that is lost, so that its tasks keep running, because it comes shortly before its
// job is handed over. A service that is not cancelled confirms that jobs are handed over in the scenario.
func TestCancellationShortlyBeforeHandoverStopsAllTasks(t *testing.T) {
	for _, way := range directions() {
		for step := range 10 {
			delay := way.from + micro.Time(step)*way.step
			t.Run(fmt.Sprint(way.name, ", ", delay.Duration(), " later"), func(t *testing.T) {
				t.Parallel()
				runScenario(t, 78, 3, way.set, func(sim *simCluster) {
					kept := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, spot: way.spot}).submit()
					work := way.begin(sim)
					sim.sleep(delay)
					sim.cancelWork(work)
					sim.waitServed(kept, 1)
				})
			})
		}
	}
}

// cancellationReplyWithin is the time within which the user of a job is notified of its cancellation while the
// leader and the store are reachable.
const cancellationReplyWithin = 45 * micro.Second

// cancelWork cancels both jobs and waits until their users are notified. It checks that no task of them runs or
// starts once the time that tasks may take to stop (cancelS) has passed.
func (w *simCluster) cancelWork(work handoverWork) {
	w.t.Helper()
	jobs := []*userJob{work.service, work.array}
	for _, job := range jobs {
		go job.cancel()
	}
	for _, job := range jobs {
		w.waitUntil("the user of "+job.id+" is notified", cancellationReplyWithin, func() bool {
			return job.knowledge().aborted
		})
	}
	w.sleep(cancelS * micro.Second)
	starts := work.service.startCount() + work.array.startCount()
	w.sleep(micro.Minute)
	for _, job := range jobs {
		if running := job.runningTasks(); running > 0 {
			w.t.Errorf("%d tasks of %s still run after its cancellation", running, job.id)
		}
	}
	if later := work.service.startCount() + work.array.startCount(); later > starts {
		w.t.Errorf("%d tasks started after their cancellation", later-starts)
	}
}

// Guards against a job that neither owner serves, or that runs at both, because the leader or the shard owner ends,
// or the shard moves, during its handover.
func TestJobsAreServedThoughControllersFailDuringHandover(t *testing.T) {
	faults := map[string]func(sim *simCluster){
		"leader ends":             func(sim *simCluster) { sim.restartLeader(5 * micro.Second) },
		"leader restarts at once": func(sim *simCluster) { sim.restartLeader(100 * micro.Millisecond) },
		"owner ends": func(sim *simCluster) {
			sim.restartController(sim.controllerNamed("n-2"), 5*micro.Second)
		},
		"owner restarts at once": func(sim *simCluster) {
			sim.restartController(sim.controllerNamed("n-2"), 100*micro.Millisecond)
		},
		"all controllers restart": func(sim *simCluster) { sim.restartAll(sim.config.Shards) },
		"shard moves":             func(sim *simCluster) { sim.requestMove("n-0") },
	}
	delays := map[wire.JobKind][]micro.Time{
		wire.Service:  {0, 300 * micro.Millisecond, 3 * micro.Second},
		wire.JobArray: {0, 50 * micro.Millisecond, micro.Second},
	}
	for name, fault := range faults {
		for kind, all := range delays {
			for _, delay := range all {
				title := fmt.Sprint(name, " ", delay.Duration(), " after ", kind)
				runHandoverScenario(t, 79, title, func(sim *simCluster, work handoverWork) {
					sim.waitHandoverBegins(work.job(kind))
					sim.sleep(delay)
					fault(sim)
					sim.waitWorkServed(work)
				})
			}
		}
	}
}

// restartLeader ends the leader's process, if there is a leader, and restarts it after a delay.
func (w *simCluster) restartLeader(delay micro.Time) {
	if leader := w.leader(); leader != nil {
		w.restartController(leader, delay)
	}
}

// Guards against a job that neither owner serves, that runs at both, or that a late write hands over once more,
// because a write of the handover is uncertain (executed at once, late or never) or refused.
func TestJobsAreServedThoughHandoverWritesFail(t *testing.T) {
	faults := map[string]fake.CommitFault{
		"executed without a response": {Unanswered: true},
		"executed 6 s late":           {Unanswered: true, ExecuteAfter: 6 * micro.Second},
		"executed a minute late":      {Unanswered: true, ExecuteAfter: micro.Minute},
		"never executed":              {Unanswered: true, ExecuteAfter: 1000 * micro.Minute},
		"refused":                     {Refused: true},
	}
	// Handovers must write assignments. Whether they write the other records is not tested.
	mustWrite := map[string]bool{shard.AssignmentPrefix: true, shard.AllocationPrefix: false, keys.ChunkPrefix: false}
	for prefix, must := range mustWrite {
		for name, fault := range faults {
			title := fmt.Sprint("a write of ", strings.TrimSuffix(prefix, "/"), " ", name)
			runHandoverScenario(t, 80, title, func(sim *simCluster, work handoverWork) {
				affected := sim.failWrites(prefix, fault)
				sim.waitWorkServed(work)
				if must && affected.Load() == 0 {
					sim.t.Error("no write was affected by the fault")
				}
				sim.sleep(90 * micro.Second) // late writes must change nothing
				sim.waitServed(work.service, work.replicas)
			})
		}
	}
}

// failWrites applies a fault to transactions that put or delete a key with the prefix, for two minutes: at most two
// of each process within any 15 s. It returns the number of affected transactions.
func (w *simCluster) failWrites(prefix string, fault fake.CommitFault) *atomic.Int64 {
	const window = 15 * micro.Second
	end, affected := w.now()+2*micro.Minute, &atomic.Int64{}
	for _, controller := range w.controllers {
		var mu sync.Mutex
		var last [2]micro.Time // when the last two faults were applied
		controller.mu.Lock()
		controller.link.OnCommit(func(transaction wire.Transaction) fake.CommitFault {
			mu.Lock()
			defer mu.Unlock()
			now := w.now()
			if !changesKeyWithPrefix(transaction, prefix) || now > end || last[0] > 0 && now < last[0]+window {
				return fake.CommitFault{}
			}
			last[0], last[1] = last[1], now
			affected.Add(1)
			return fault
		})
		controller.mu.Unlock()
	}
	return affected
}

// changesKeyWithPrefix reports whether a transaction puts or deletes a key with the prefix.
func changesKeyWithPrefix(transaction wire.Transaction, prefix string) bool {
	return slices.ContainsFunc(transaction.Then, func(change wire.Change) bool {
		return strings.HasPrefix(change.Put, prefix) || strings.HasPrefix(change.Delete, prefix)
	})
}

// Guards against machines that die without tasks just before their shard moves, and are never terminated because
// the next owner does not know them. They would be paid for permanently, and would count as up when the leader
// decides whether machines of their offer boot.
func TestDeadEmptyMachinesAreTerminatedThoughTheirShardMoves(t *testing.T) {
	runThreeSeeds(t, 90, withShard, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 4, zone: "b"}).submit()
		sim.waitRunning(service, 3)
		machines := service.machines()
		service.cancel()
		sim.sleep(5 * micro.Second)
		for _, machine := range machines {
			machine.terminate()
		}
		sim.moveShard("n-0")
		sim.waitUntil("termination of the dead machines is requested", servedWithin, func() bool {
			return !slices.ContainsFunc(machines, func(machine *fakeMachine) bool {
				_, requested := sim.terminationRequestedAt(machine.agent.Name)
				return !requested
			})
		})
	})
}

// Guards against quota of a handed-over job that is counted twice or never released.
func TestTeamQuotaIsFullyUsableAfterHandover(t *testing.T) {
	const tasks = teamMaxCPUs / 4
	runHandoverScenario(t, 81, "whole quota in demand", func(sim *simCluster, work handoverWork) {
		next := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 2 * tasks, cpus: 4, runTime: 10 * micro.Second},
		).submit()
		sim.waitWorkServed(work)
		sim.waitDone(next, servedWithin)
		go work.service.cancel()
		sim.waitUntil("the user is notified", cancellationReplyWithin, func() bool {
			return work.service.knowledge().aborted
		})
		for _, team := range []string{"team", "other"} {
			all := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, team: team}).submit()
			sim.waitServed(all, tasks)
		}
	})
}

// Measures for how long a service lacks replicas while a shard is formed from its machines. Guards against a long
// outage, since other machines are available for it at once.
func TestServiceIsServedWhileShardIsFormedFromItsMachines(t *testing.T) {
	shards := map[string]func(zone string) shard.Selector{
		"of its zone":               func(zone string) shard.Selector { return shard.Selector{Zone: zone} },
		"of all on-demand machines": func(string) shard.Selector { return onDemand },
	}
	for name, selector := range shards {
		for _, replicas := range []int{1, 2, 4} {
			t.Run(fmt.Sprint(replicas, " replicas, a shard ", name), func(t *testing.T) {
				runThreeSeeds(t, 82, withLongerBoots, func(sim *simCluster) {
					service := sim.startServiceOnDemand(replicas)
					sim.declareShard(selector(service.machines()[0].agent.Zone))
					none, short := sim.measureOutage(service, replicas)
					sim.t.Logf(
						"%d replicas: none ran for %v, fewer than all for %v", replicas, none.Duration(), short.Duration(),
					)
				})
			})
		}
	}
}

// startServiceOnDemand starts a service that may use spot machines on on-demand machines, by failing the boot of
// spot machines meanwhile.
func (w *simCluster) startServiceOnDemand(replicas int) *userJob {
	w.t.Helper()
	setSpotFails := func(on bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.cloud.failsBoot = func(request wire.InstanceRequest) bool { return on && request.Spot }
	}
	setSpotFails(true)
	service := w.newJob(jobRequest{kind: wire.Service, tasks: replicas, cpus: 4, spot: true}).submit()
	w.waitServed(service, replicas)
	setSpotFails(false)
	return service
}

// measureOutage returns for how long no replica of a service runs, and for how long fewer than all run, until all
// have run for a minute.
func (w *simCluster) measureOutage(service *userJob, replicas int) (none, short micro.Time) {
	w.t.Helper()
	const step = 50 * micro.Millisecond
	from, fullSince := w.now(), w.now()
	for w.now()-fullSince < micro.Minute {
		w.sleep(step)
		running := service.runningTasks()
		if running == 0 {
			none += step
		}
		if running < replicas {
			short, fullSince = short+step, w.now()
		}
		if w.now()-from > servedWithin+micro.Minute {
			w.t.Fatalf("%v: %d of %d replicas run; none ran for %v in total", w.now(), running, replicas, none.Duration())
		}
	}
	return none, short
}
