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

// Jobs whose tasks have run change hands between the leader and a shard's owner. The scenarios
// look at jobs, machines and the store alone.

// arrayTasks is how many tasks the arrays here have, and arrayTasksAtOnce how many of them their
// team's quota has capacity for.
const (
	arrayTasks       = 12
	arrayTasksAtOnce = teamMaxCPUs / 4
)

// eastShard declares a shard, owned by n-2 at first.
func eastShard(selector shard.Selector) *config.Shards {
	return &config.Shards{
		MinMoveInterval: micro.Minute, MaxMachinesMoving: 10_000,
		Declared: []config.DeclaredShard{{Name: "east", Selector: selector, Owner: "n-2"}},
	}
}

// checkTaskStarts holds every start against what its task did before: one that is done does not run
// again, and attempt numbers rise.
func checkTaskStarts(sim *simCluster) {
	var mu sync.Mutex
	lastAttempts := map[string]uint64{}
	sim.onTaskStart = func(machine *fakeMachine, key fake.AttemptKey) {
		mu.Lock()
		defer mu.Unlock()
		id, index, _ := wire.ParseTaskName(key.Task)
		if sim.taskDone(id, index) {
			sim.t.Errorf("%v: %s is done, and starts on %s", sim.now(), key.Task, machine.agent.Name)
		}
		if last := lastAttempts[key.Task]; key.Attempt <= last {
			sim.t.Errorf("%v: attempt %d of %s starts after attempt %d", sim.now(), key.Attempt, key.Task, last)
		}
		lastAttempts[key.Task] = key.Attempt
	}
}

// taskDone reports whether a task ran to its end.
func (w *simCluster) taskDone(job string, index int) bool {
	w.checker.mu.Lock()
	defer w.checker.mu.Unlock()
	record := w.checker.jobs[job]
	return record != nil && record.completedTasks[index]
}

// doneTasks is how many tasks of the job ran to their end.
func (j *userJob) doneTasks() int {
	j.sim.checker.mu.Lock()
	defer j.sim.checker.mu.Unlock()
	return len(j.sim.checker.jobs[j.id].completedTasks)
}

// waitDone waits until the user is told that the job is done.
func (w *simCluster) waitDone(job *userJob, most micro.Time) {
	w.t.Helper()
	w.waitUntil(job.id+" is done", most, func() bool {
		return replyState(job.queryStatus(w.randomUserNode())) == wire.JobDone
	})
}

// waitServed waits until all replicas of a service run.
func (w *simCluster) waitServed(service *userJob, replicas int) {
	w.t.Helper()
	w.waitUntil(service.id+" runs in full", servedWithin, func() bool { return service.runningTasks() == replicas })
}

// restartAll restarts all processes at once with other settings for shards.
func (w *simCluster) restartAll(shards *config.Shards) {
	w.setShards(shards)
	for _, controller := range w.controllers {
		w.restartController(controller, micro.Second)
	}
	w.sleep(2 * micro.Second)
}

// declareShard restarts all processes with a declared shard, and waits until it is being formed.
func (w *simCluster) declareShard(selector shard.Selector) {
	w.t.Helper()
	w.restartAll(eastShard(selector))
	w.waitUntil("the shard is being formed", micro.Minute, func() bool { _, ok := w.shardRecord(); return ok })
}

// formShard declares a shard, and waits until it is owned.
func (w *simCluster) formShard(selector shard.Selector) {
	w.t.Helper()
	w.declareShard(selector)
	w.waitShardOwned("n-2", 2*micro.Minute)
}

// dissolveShard has the leader take the shard back, and waits until nothing of it is left.
func (w *simCluster) dissolveShard() {
	w.t.Helper()
	w.mu.Lock()
	dissolve := *w.config.Shards
	w.mu.Unlock()
	dissolve.Dissolve = true
	w.restartAll(&dissolve)
	w.waitUntil("no record of the shard is left", 2*micro.Minute, func() bool { return len(w.shardKeys()) == 0 })
}

// newHandoverArray makes an array that runs in three waves, as its team's quota allows.
func (w *simCluster) newHandoverArray(spot bool, team string) *userJob {
	return w.newJob(jobRequest{
		kind: wire.JobArray, tasks: arrayTasks, cpus: 4, runTime: 20 * micro.Second, spot: spot, team: team,
	})
}

// waitSecondWave waits until the first tasks of an array are done, which its controller knows by
// then, and others run.
func (w *simCluster) waitSecondWave(array *userJob) {
	w.t.Helper()
	w.waitUntil("some tasks are done, others run", 3*micro.Minute, func() bool {
		running := len(w.tasksRunningFor(array, 3*micro.Second))
		return array.doneTasks() >= arrayTasksAtOnce && running == arrayTasksAtOnce
	})
}

var onDemand, spotOnly = shard.Selector{Kind: shard.OnDemandOnly}, shard.Selector{Kind: shard.SpotOnly}

// handoverWork are the jobs that change hands in a scenario: a service and an array, of two teams.
type handoverWork struct {
	service  *userJob
	replicas int
	array    *userJob
}

// startWorkAtLeader runs jobs that may use on-demand machines alone, which no shard holds yet. Part
// of the array is done.
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

// startWorkInSpotShard runs jobs that may use both kinds of machines in a shard of all spot
// machines. Part of the array is done.
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
			w.t.Fatalf("%s is no spot machine", machine.agent.Name)
		}
	}
	return work
}

// terminateSpotMachines takes all spot machines away, for good. The others boot from now on.
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

// waitWorkServed waits until the service runs in full and the array is done.
func (w *simCluster) waitWorkServed(work handoverWork) {
	w.t.Helper()
	end := w.now() + servedWithin
	w.waitServed(work.service, work.replicas)
	w.waitDone(work.array, max(end-w.now(), 0)+micro.Minute) // two waves are left to run
}

// A direction is a way in which jobs change hands.
type direction struct {
	name string
	set  func(sim *simCluster)
	// begin runs the work, and does what makes it change hands.
	begin func(sim *simCluster) handoverWork
	spot  bool // the jobs may use spot machines
	// from is when, after begin, the hand-over may begin at the earliest, and step a part of the
	// time in which it may.
	from, step micro.Time
}

// directions are from the leader to a shard, and back: once the leases of the machines ran out, and
// its shard had no capacity for a job for another while.
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

// runHandoverScenario plays a scenario in either direction.
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

// runThreeSeeds plays a scenario with each of three seeds.
func runThreeSeeds(t *testing.T, first uint64, set func(*simCluster), scenario func(*simCluster)) {
	t.Helper()
	for seed := first; seed < first+3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runScenario(t, seed, 3, set, scenario) })
	}
}

// withSpotShard declares a shard of all spot machines from the beginning. They are dearer, and no
// others boot at first: once the spot machines are lost, the leader asks for others at once.
func withSpotShard(sim *simCluster) {
	withLongerBoots(sim)
	sim.cloud.Capacity = 64
	for i := range sim.cloud.Types {
		sim.cloud.Types[i].SpotPrice = 1.5 * sim.cloud.Types[i].Price
	}
	sim.cloud.failsBoot = func(request wire.InstanceRequest) bool { return !request.Spot }
	sim.config.Shards = eastShard(spotOnly)
}

// withLongerBoots lets machines be overdue for longer before they are returned. An offer is left
// out once two of its machines are overdue: with the boot time of the small type, 5 s, one that is
// requested alone is returned just before the next is overdue, and no other offer is ever tried.
func withLongerBoots(sim *simCluster) {
	checkTaskStarts(sim)
	for i := range sim.cloud.Types {
		sim.cloud.Types[i].BootS = 8
	}
}

// assignmentVersion is the version of a job's assignment in the store; 0: there is none.
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
			w.t.Fatalf("%v: %s never begins to change hands", w.now(), job.id)
		}
		w.sleep(5 * micro.Millisecond)
	}
}

// A service that ran before a shard took in all machines that it may use is served by nobody.
func TestRunningServiceIsServedByShardFormedFromItsMachines(t *testing.T) {
	runThreeSeeds(t, 60, checkTaskStarts, func(sim *simCluster) {
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4}).submit()
		sim.waitRunning(service, 2)
		sim.formShard(onDemand)
		sim.waitServed(service, 2)
	})
}

// The rest of an array of which a part was done before a shard was formed over it never runs, or
// what was done runs again.
func TestPartlyDoneArrayIsFinishedByShardFormedFromItsMachines(t *testing.T) {
	runThreeSeeds(t, 63, checkTaskStarts, func(sim *simCluster) {
		array := sim.newHandoverArray(false, "team").submit()
		sim.waitSecondWave(array)
		sim.formShard(onDemand)
		if done := array.doneTasks(); done == arrayTasks {
			sim.t.Fatal("nothing was left to run")
		}
		sim.waitDone(array, servedWithin)
		if starts := array.startCount(); starts != arrayTasks {
			sim.t.Errorf("%d starts of %d tasks", starts, arrayTasks)
		}
	})
}

// A service whose machine in a shard goes is kept there though only the leader can serve it.
func TestServiceThatItsShardCannotServeIsServedByTheLeader(t *testing.T) {
	runThreeSeeds(t, 66, withSpotShard, func(sim *simCluster) {
		sim.waitShardOwned("n-2", 2*micro.Minute)
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 1, cpus: 4, spot: true}).submit()
		sim.waitServed(service, 1)
		if machine := service.machines()[0]; !machine.agent.Spot {
			sim.t.Fatalf("%s is no spot machine", machine.agent.Name)
		}
		sim.terminateSpotMachines()
		sim.waitServed(service, 1)
	})
}

// The rest of an array of which a part was done in a shard is kept there though only the leader can
// run it, or what was done runs again.
func TestArrayThatItsShardCannotFinishIsFinishedByTheLeader(t *testing.T) {
	runThreeSeeds(t, 69, withSpotShard, func(sim *simCluster) {
		work := sim.startWorkInSpotShard()
		sim.terminateSpotMachines()
		sim.waitDone(work.array, servedWithin)
		if starts, most := work.array.startCount(), arrayTasks+arrayTasksAtOnce; starts > most {
			sim.t.Errorf("%d starts of %d tasks, at most %d", starts, arrayTasks, most)
		}
	})
}

// A gang that runs when a shard is formed starts anew, or is served by nobody once it loses a machine.
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

// A service that is spread over two zones is served by nobody once one of them is a shard.
func TestSpreadServiceIsServedThoughOneOfItsZonesBecomesAShard(t *testing.T) {
	runScenario(t, 73, 3, checkTaskStarts, func(sim *simCluster) {
		service := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 4, spread: true}).submit()
		sim.waitRunning(service, 2)
		sim.formShard(shard.Selector{Zone: "b"})
		sim.waitServed(service, 2)
	})
}

// An array that goes to a shard, back, and to the shard formed again loses tasks, or repeats them.
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
			sim.t.Fatal("nothing was left to run")
		}
		sim.waitDone(array, servedWithin)
		if starts := array.startCount(); starts != 5*arrayTasksAtOnce {
			sim.t.Errorf("%d starts of %d tasks", starts, 5*arrayTasksAtOnce)
		}
	})
}

// handoverDelays are the times after a job began to change hands at which something meets it.
func handoverDelays() []micro.Time {
	return []micro.Time{
		0, 20 * micro.Millisecond, 100 * micro.Millisecond, 300 * micro.Millisecond, 600 * micro.Millisecond,
		micro.Second, 2 * micro.Second, 3 * micro.Second, 4500 * micro.Millisecond, 6 * micro.Second,
	}
}

// A cancellation that meets a job changing hands is lost between the two, and its tasks run on.
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

// job is the service or the array.
func (w handoverWork) job(kind wire.JobKind) *userJob {
	if kind == wire.Service {
		return w.service
	}
	return w.array
}

// A cancellation shortly before a job may change hands is lost, and its tasks run on. A job that is
// not cancelled shows that jobs do change hands there.
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

// cancellationReplyWithin is by when the user of a job is told that it is cancelled where the leader and the
// store can be reached.
const cancellationReplyWithin = 45 * micro.Second

// cancelWork cancels all work, and waits until the users are told. Nothing of it runs once its
// tasks had the time that they may take to stop, and its teams' quotas can be used again.
func (w *simCluster) cancelWork(work handoverWork) {
	w.t.Helper()
	jobs := []*userJob{work.service, work.array}
	for _, job := range jobs {
		go job.cancel()
	}
	for _, job := range jobs {
		w.waitUntil("the user of "+job.id+" is told", cancellationReplyWithin, func() bool { return job.knowledge().aborted })
	}
	w.sleep(cancelS * micro.Second)
	starts := work.service.startCount() + work.array.startCount()
	w.sleep(micro.Minute)
	for _, job := range jobs {
		if running := job.runningTasks(); running > 0 {
			w.t.Errorf("%d tasks of %s run after its cancellation", running, job.id)
		}
	}
	if later := work.service.startCount() + work.array.startCount(); later > starts {
		w.t.Errorf("%d tasks start after their cancellation", later-starts)
	}
}

// The leader ends, the owner ends or the shard moves while a job changes hands, and the job is lost
// between them, or runs at both.
func TestJobsAreServedThoughControllersFailDuringHandover(t *testing.T) {
	troubles := map[string]func(sim *simCluster){
		"leader ends":          func(sim *simCluster) { sim.restartLeader(5 * micro.Second) },
		"leader ends, is back": func(sim *simCluster) { sim.restartLeader(100 * micro.Millisecond) },
		"owner ends": func(sim *simCluster) {
			sim.restartController(sim.controllerNamed("n-2"), 5*micro.Second)
		},
		"owner ends, is back": func(sim *simCluster) {
			sim.restartController(sim.controllerNamed("n-2"), 100*micro.Millisecond)
		},
		"all end":         func(sim *simCluster) { sim.restartAll(sim.config.Shards) },
		"the shard moves": func(sim *simCluster) { sim.requestMove("n-0") },
	}
	delays := map[wire.JobKind][]micro.Time{
		wire.Service:  {0, 300 * micro.Millisecond, 3 * micro.Second},
		wire.JobArray: {0, 50 * micro.Millisecond, micro.Second},
	}
	for name, trouble := range troubles {
		for kind, all := range delays {
			for _, delay := range all {
				title := fmt.Sprint(name, " ", delay.Duration(), " after ", kind)
				runHandoverScenario(t, 79, title, func(sim *simCluster, work handoverWork) {
					sim.waitHandoverBegins(work.job(kind))
					sim.sleep(delay)
					trouble(sim)
					sim.waitWorkServed(work)
				})
			}
		}
	}
}

// restartLeader ends the process of whoever leads.
func (w *simCluster) restartLeader(back micro.Time) {
	if leader := w.leader(); leader != nil {
		w.restartController(leader, back)
	}
}

// A write of the hand-over gets no answer, is carried out late or never, or is refused: the job is
// lost, runs at both, or a late write gives it away once more.
func TestJobsAreServedThoughHandoverWritesFail(t *testing.T) {
	fates := map[string]fake.CommitFault{
		"carried out, no answer":    {Unanswered: true},
		"carried out 6 s late":      {Unanswered: true, ExecuteAfter: 6 * micro.Second},
		"carried out a minute late": {Unanswered: true, ExecuteAfter: micro.Minute},
		"never carried out":         {Unanswered: true, ExecuteAfter: 1000 * micro.Minute},
		"refused":                   {Refused: true},
	}
	// Which other records the hand-over writes is its own concern.
	mustMeet := map[string]bool{shard.AssignmentPrefix: true, shard.AllocationPrefix: false, keys.ChunkPrefix: false}
	for prefix, must := range mustMeet {
		for name, fate := range fates {
			title := fmt.Sprint("a write of ", strings.TrimSuffix(prefix, "/"), " ", name)
			runHandoverScenario(t, 80, title, func(sim *simCluster, work handoverWork) {
				met := sim.failWrites(prefix, fate)
				sim.waitWorkServed(work)
				if must && met.Load() == 0 {
					sim.t.Error("no write met the fault")
				}
				sim.sleep(90 * micro.Second) // what is carried out late changes nothing
				sim.waitServed(work.service, work.replicas)
			})
		}
	}
}

// failWrites has transactions that put or delete a key of a prefix meet a fault for two minutes,
// at most two of each process in any quarter of a minute, and counts them.
func (w *simCluster) failWrites(prefix string, fault fake.CommitFault) *atomic.Int64 {
	const window = 15 * micro.Second
	end, met := w.now()+2*micro.Minute, &atomic.Int64{}
	for _, controller := range w.controllers {
		var mu sync.Mutex
		var last [2]micro.Time // when the two before met it
		controller.mu.Lock()
		controller.link.OnCommit(func(transaction wire.Transaction) fake.CommitFault {
			mu.Lock()
			defer mu.Unlock()
			now := w.now()
			if !changesKeyWithPrefix(transaction, prefix) || now > end || last[0] > 0 && now < last[0]+window {
				return fake.CommitFault{}
			}
			last[0], last[1] = last[1], now
			met.Add(1)
			return fault
		})
		controller.mu.Unlock()
	}
	return met
}

// changesKeyWithPrefix reports whether a transaction puts or deletes a key of a prefix.
func changesKeyWithPrefix(transaction wire.Transaction, prefix string) bool {
	return slices.ContainsFunc(transaction.Then, func(change wire.Change) bool {
		return strings.HasPrefix(change.Put, prefix) || strings.HasPrefix(change.Delete, prefix)
	})
}

// Machines of a shard that die empty just before it moves are unknown to its next owner: they are
// paid for without an end, and count as up where the leader looks whether their offer boots.
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
		sim.waitUntil("the dead machines are returned", servedWithin, func() bool {
			return !slices.ContainsFunc(machines, func(machine *fakeMachine) bool {
				_, asked := sim.terminationRequestedAt(machine.agent.Name)
				return !asked
			})
		})
	})
}

// What a job that changes hands uses of its team's quota is counted twice, or never given back.
func TestTeamQuotaIsFullyUsableAfterHandover(t *testing.T) {
	const tasks = teamMaxCPUs / 4
	runHandoverScenario(t, 81, "the whole quota is wanted", func(sim *simCluster, work handoverWork) {
		next := sim.newJob(
			jobRequest{kind: wire.JobArray, tasks: 2 * tasks, cpus: 4, runTime: 10 * micro.Second},
		).submit()
		sim.waitWorkServed(work)
		sim.waitDone(next, servedWithin)
		go work.service.cancel()
		sim.waitUntil("the user is told", cancellationReplyWithin, func() bool { return work.service.knowledge().aborted })
		for _, team := range []string{"team", "other"} {
			all := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, team: team}).submit()
			sim.waitServed(all, tasks)
		}
	})
}

// A service goes without replicas for long while a shard is formed over its machines, though others
// can be had for it at once.
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
						"%d replicas: none for %v, fewer than all for %v", replicas, none.Duration(), short.Duration(),
					)
				})
			})
		}
	}
}

// startServiceOnDemand runs a service that may use spot machines on others, since no spot machine boots.
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

// measureOutage measures for how long a service runs without any of its replicas, and without all
// of them, until all have run for a minute.
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
			w.t.Fatalf("%v: %d of %d replicas run, none for %v", w.now(), running, replicas, none.Duration())
		}
	}
	return none, short
}
