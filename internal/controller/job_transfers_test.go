package controller

import (
	"flag"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

var (
	transferSeeds   = flag.Int("transfers.seeds", 2, "number of seeds for the test of repeated handovers")
	transferMinutes = flag.Int("transfers.minutes", 12, "minutes of handovers for each seed")
)

// Guards against tasks that run at both owners, are lost or are done twice, exceeded limits, and state of jobs that
// is retained, while jobs are handed over repeatedly between the leader and a shard that moves and is formed again.
func TestJobsSurviveRepeatedHandoversAndShardMoves(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*transferSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var stress *transferStress
			runScenario(
				t, seed, 3, func(sim *simCluster) { stress = newTransferStress(sim, seed%2 == 0) },
				func(*simCluster) { stress.run() },
			)
		})
	}
}

// multiChunkTaskCount is the number of tasks of a job with more than one chunk record.
const multiChunkTaskCount = cluster.LegacyTasksPerChunk + 72

// transferTeamCount is the number of teams whose jobs are handed over.
const transferTeamCount = 4

// A transferStress causes many handovers of jobs, and checks their effects.
type transferStress struct {
	*simCluster
	end         micro.Time   // of submissions and faults
	unreliable  bool         // writes and heartbeats are delayed as well
	maxPauseS   int          // longest time between two faults, less ten seconds
	activeUsers atomic.Int64 // users whose last job has not ended

	mu                       sync.Mutex
	jobs                     []*userJob
	lastAttempts             map[string]uint64       // latest started attempt by task
	done                     map[string]map[int]bool // tasks stored as done, by job
	assignedCount            int                     // assignments of jobs to the shard
	assignedWithRecordsCount int                     // of these, jobs with task records
	returnedCount            int                     // jobs that returned to the leader
}

// newTransferStress configures a simulation with a shard of all spot machines, which are more expensive than
// on-demand ones for some seeds and types.
func newTransferStress(sim *simCluster, unreliable bool) *transferStress {
	stress := &transferStress{
		simCluster: sim, end: micro.Time(*transferMinutes) * micro.Minute, unreliable: unreliable, maxPauseS: 180,
		lastAttempts: map[string]uint64{}, done: map[string]map[int]bool{},
	}
	if unreliable {
		stress.maxPauseS = 30
	}
	sim.onTaskStart = stress.checkTaskStart
	sim.cloud.Capacity = 64
	for i := range sim.cloud.Types {
		sim.cloud.Types[i].BootS = 8 // two machines of an offer are overdue at once, so that the offer is excluded
		sim.cloud.Types[i].SpotPrice = sim.cloud.Types[i].Price * []float64{0.7, 1.5}[sim.randomInt(2)]
	}
	sim.config.Facts.Teams = nil
	for i := range transferTeamCount {
		name := fmt.Sprint("t-", i)
		sim.config.Facts.Teams = append(sim.config.Facts.Teams, config.Team{Name: name, CPUsMax: teamMaxCPUs})
		sim.checker.cpuLimits[name] = teamMaxCPUs
	}
	sim.config.Shards = stress.shardConfig(false)
	return stress
}

// shardConfig returns the settings of the shard, marked as to be dissolved if dissolve is set.
func (r *transferStress) shardConfig(dissolve bool) *config.Shards {
	return &config.Shards{
		MinMoveInterval: micro.Minute, MaxMachinesMoving: 10_000, Dissolve: dissolve,
		Declared: []config.DeclaredShard{{Name: "east", Selector: shard.Selector{Kind: shard.SpotOnly}, Owner: "n-2"}},
	}
}

// run executes the scenario.
func (r *transferStress) run() {
	r.waitShardOwned("n-2", 2*micro.Minute)
	go r.countTransfers()
	go r.alternateBootFailures()
	go r.checkRepeatedly()
	var services []*userJob
	for i := range transferTeamCount {
		team := fmt.Sprint("t-", i)
		services = append(services, r.newJob(
			jobRequest{kind: wire.Service, tasks: 2, cpus: 1, team: team, spot: true},
		).submit())
		array := jobRequest{kind: wire.JobArray, tasks: 30, cpus: 2, runTime: 3 * micro.Second, team: team, spot: true}
		r.submitRepeatedly(array)
		array.tasks, array.runTime, array.cpus = multiChunkTaskCount, micro.Second, 1
		r.submitRepeatedly(array)
		gang := jobRequest{kind: wire.Gang, tasks: 2, cpus: 2, runTime: 20 * micro.Second, team: team, spot: true}
		r.submitRepeatedly(gang)
	}
	r.injectFaultsUntilEnd()
	r.waitAllServed(services)
	for _, service := range services {
		service.cancel()
	}
	r.waitNothingRetained()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf(
		"%d jobs, %d assigned, %d of them with records, %d returned to the leader, %d starts, %.0f s", len(r.jobs),
		r.assignedCount,
		r.assignedWithRecordsCount, r.returnedCount, r.checker.startCount, r.now().Seconds(),
	)
	if r.assignedWithRecordsCount == 0 || r.returnedCount == 0 {
		r.t.Error("no job with task records was handed over, or none returned to the leader")
	}
}

// submitRepeatedly starts a user who submits one job after the other until the faults end.
func (r *transferStress) submitRepeatedly(request jobRequest) {
	r.activeUsers.Add(1)
	go func() {
		defer r.activeUsers.Add(-1)
		for r.now() < r.end && r.ctx.Err() == nil {
			job := r.newJob(request).submit()
			r.mu.Lock()
			r.jobs = append(r.jobs, job)
			r.mu.Unlock()
			if r.randomChance(0.15) {
				go r.cancelAfterDelay(job)
			}
			job.watchUntilFinal()
		}
	}()
}

// cancelAfterDelay cancels a job after up to two minutes. The job may have ended by then.
func (r *transferStress) cancelAfterDelay(job *userJob) {
	r.sleep(micro.Time(r.randomInt(120)) * micro.Second)
	job.cancel()
}

// alternateBootFailures terminates all spot machines and fails their boots for a while, then the same for on-demand
// machines, in turn until the faults end.
func (r *transferStress) alternateBootFailures() {
	for fails := true; r.now() < r.end && r.ctx.Err() == nil; fails = !fails {
		r.simCluster.mu.Lock()
		r.cloud.failsBoot = func(request wire.InstanceRequest) bool { return request.Spot == fails }
		r.simCluster.mu.Unlock()
		for _, machine := range r.liveMachines() {
			if machine.agent.Spot == fails {
				machine.terminate()
			}
		}
		r.sleep(90*micro.Second + micro.Time(r.randomInt(60))*micro.Second)
	}
	r.simCluster.mu.Lock()
	defer r.simCluster.mu.Unlock()
	r.cloud.failsBoot = nil
}

// injectFaultsUntilEnd restarts controllers, moves the shard and terminates machines until the faults end. Halfway,
// the shard is dissolved and formed again.
func (r *transferStress) injectFaultsUntilEnd() {
	reformed := false
	for r.now() < r.end {
		r.sleep(micro.Time(10+r.randomInt(r.maxPauseS)) * micro.Second)
		restartDelay := micro.Time(100+r.randomInt(8000)) * micro.Millisecond
		switch entry, owned := r.shardRecord(); {
		case !reformed && r.now() > r.end/2:
			reformed = true
			r.dissolveAndReformShard()
		case r.randomChance(0.2):
			for _, machine := range r.randomMachines(2) {
				machine.terminate()
			}
		case r.randomChance(0.3):
			if leader := r.leader(); leader != nil {
				r.restartController(leader, restartDelay)
			}
		case owned && entry.HasOwner() && r.randomChance(0.4):
			r.restartController(r.controllerNamed(entry.Record.Owner.Node), restartDelay)
		case r.unreliable && r.randomChance(0.4):
			r.disturbMessages(micro.Time(10+r.randomInt(20)) * micro.Second)
		default:
			if controller := r.randomUserNode(); controller != nil {
				controller.runningNode().handleAdmin(wire.MustMarshal(shard.Command{
					Operation: shard.OperationMove, Shard: "east", Target: r.controllers[r.randomInt(3)].name,
				}))
			}
		}
	}
}

// disturbMessages causes late or uncertain writes, a slow store or late copies of heartbeats for a time span.
func (r *transferStress) disturbMessages(span micro.Time) {
	switch r.randomInt(4) {
	case 0:
		r.disturbCommits(0.2, 0, span)
	case 1:
		r.disturbCommits(0, 0.2, span)
	case 2:
		r.slowStore(600*micro.Millisecond, span)
	default:
		r.replayHeartbeats(0.2, 45*micro.Second, span)
	}
}

// dissolveAndReformShard has the leader reclaim the shard and then form it again.
func (r *transferStress) dissolveAndReformShard() {
	r.restartAllWith(r.shardConfig(true))
	r.waitUntil("no record of the shard is left", servedWithin, func() bool { return len(r.shardKeys()) == 0 })
	r.sleep(40 * micro.Second) // some of the jobs run at the leader meanwhile
	r.restartAllWith(r.shardConfig(false))
	r.waitUntil("the shard is owned again", servedWithin, func() bool {
		entry, ok := r.shardRecord()
		return ok && entry.HasOwner()
	})
}

func (r *transferStress) restartAllWith(shards *config.Shards) {
	r.setShards(shards)
	for _, controller := range r.controllers {
		r.restartController(controller, micro.Second)
	}
}

// waitAllServed waits until all jobs have ended and all replicas of the services run.
func (r *transferStress) waitAllServed(services []*userJob) {
	served := func() bool {
		for _, service := range services {
			if !service.satisfied() {
				return false
			}
		}
		return r.activeUsers.Load() == 0
	}
	const queued = 2 * micro.Minute // queueing time of the large arrays
	for end := r.now() + servedWithin + queued; !served(); r.sleep(micro.Second) {
		if r.now() > end {
			r.describeUnserved(r.unserved(services))
			r.saveLogs()
			r.t.Fatalf("%v: not all jobs are served", r.now().Duration())
		}
	}
}

// unserved returns the IDs of the jobs that are not served.
func (r *transferStress) unserved(services []*userJob) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var left []string
	for _, job := range append(services, r.jobs...) {
		if !job.satisfied() {
			left = append(left, job.id)
		}
	}
	return left
}

// countTransfers counts the jobs that are assigned to the shard, and those that return to the leader.
func (r *transferStress) countTransfers() {
	assigned := map[string]bool{}
	for revision := uint64(0); r.ctx.Err() == nil; {
		events, err := r.store.Watch(r.ctx, shard.AssignmentPrefix, revision, micro.Minute)
		if err != nil {
			return
		}
		revision = uint64(events.Revision)
		r.mu.Lock()
		for _, event := range events.Events {
			r.countTransfer(event, assigned)
		}
		r.mu.Unlock()
	}
}

func (r *transferStress) countTransfer(event wire.Event, assigned map[string]bool) {
	if event.Delete != "" {
		_, id, _ := shard.ParseAssignmentKey(event.Delete)
		if assigned[id] && !r.endStored(id) {
			r.returnedCount++
		}
		delete(assigned, id)
		return
	}
	_, id, _ := shard.ParseAssignmentKey(event.Put)
	var assignment shard.Assignment
	if err := wire.Unmarshal(event.Value, &assignment); err != nil {
		r.t.Error(err)
	}
	if !assigned[id] {
		r.assignedCount++
		if assignment.Revision() > 0 {
			r.assignedWithRecordsCount++
		}
	}
	assigned[id] = true
}

// endStored reports whether the end of a job is in the store.
func (r *transferStress) endStored(id string) bool {
	_, err := r.store.Get(r.ctx, store.Routine, keys.JobEnd(id))
	return err == nil
}

// storedItems reads all items whose keys have the prefix.
func (r *transferStress) storedItems(prefix string) []wire.Item {
	page, err := r.store.Range(r.ctx, store.Routine, prefix, "", 100_000)
	if err != nil {
		r.t.Error(err)
	}
	return page.Items
}

// storedDone returns the tasks of a job that are stored as done, in the shard's or the leader's records. The shard's
// are read first: those that are deleted meanwhile are in the leader's by then.
func (r *transferStress) storedDone(job string) map[int]bool {
	done := map[int]bool{}
	items := r.storedItems(shard.AllocationPrefixForJob("east", job))
	for _, item := range append(items, r.storedItems(keys.ChunkPrefixFor(job))...) {
		var record cluster.CompactRecord
		if err := wire.Unmarshal(item.Value, &record); err != nil {
			r.t.Errorf("%s: %v", item.Key, err)
		}
		expanded, _ := record.Expand()
		for _, tasks := range expanded.Done {
			for task := tasks[0]; task <= tasks[1]; task++ {
				done[task] = true
			}
		}
	}
	return done
}

// checkTaskStart checks that a task that starts is not stored as done, and that its attempt number has risen.
func (r *transferStress) checkTaskStart(machine *fakeMachine, key fake.AttemptKey) {
	id, index, _ := wire.ParseTaskName(key.Task)
	if r.storedDone(id)[index] {
		r.t.Errorf("%v: %s starts on %s although it is stored as done", r.now().Duration(), key.Task, machine.agent.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := r.lastAttempts[key.Task]; key.Attempt <= last {
		r.t.Errorf("%v: attempt %d of %s starts after attempt %d", r.now().Duration(), key.Attempt, key.Task, last)
	}
	r.lastAttempts[key.Task] = key.Attempt
}

// checkRepeatedly checks the state of the jobs in the controllers and in the store every 0.7 s.
func (r *transferStress) checkRepeatedly() {
	for ; r.ctx.Err() == nil; r.sleep(700 * micro.Millisecond) {
		r.checkStoredDoneTasks()
		for _, controller := range r.controllers {
			node := controller.runningNode()
			if node == nil {
				continue
			}
			if leader := node.activeLeader(); leader != nil {
				r.checkLoop(leader.controlLoop, func() []string { return r.misplacedAtLeader(leader) })
			}
			if owner, ok := node.shards.Owner("east"); ok {
				r.checkLoop(owner.controlLoop, func() []string { return r.misplacedAtOwner(owner) })
			}
		}
	}
}

// checkStoredDoneTasks checks that tasks once stored as done are still stored as done while their job is active.
func (r *transferStress) checkStoredDoneTasks() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, job := range r.jobs {
		known := r.done[job.id]
		if job.knowledge().done {
			continue
		}
		now := r.storedDone(job.id)
		if r.endStored(job.id) {
			continue
		}
		for task := range known {
			if !now[task] {
				r.t.Errorf("%v: task %d of %s was stored as done and no longer is", r.now().Duration(), task, job.id)
			}
		}
		r.done[job.id] = now
	}
}

// loopQuery is an event that runs a query on a loop's goroutine and sends its result.
type loopQuery struct {
	query func() []string
	reply eventloop.Reply[[]string]
}

// Apply runs the query.
func (e loopQuery) Apply() { e.reply.Send(e.query()) }

// checkLoop runs a check on a loop's goroutine and reports the errors that it finds. A loop that does not answer
// within a second is not checked.
func (r *transferStress) checkLoop(loop *controlLoop, check func() []string) {
	found, _ := eventloop.Call(loop.loop, eventloop.Events, micro.Second, func(
		reply eventloop.Reply[[]string],
	) eventloop.Event {
		return loopQuery{check, reply}
	})
	for _, text := range found {
		r.t.Errorf("%v: %s", r.now().Duration(), text)
	}
}

// assignedInStore returns the IDs of the jobs that have a stored assignment.
func (r *transferStress) assignedInStore() map[string]bool {
	assigned := map[string]bool{}
	for _, item := range r.storedItems(shard.AssignmentPrefixFor("east")) {
		_, id, _ := shard.ParseAssignmentKey(item.Key)
		assigned[id] = true
	}
	return assigned
}

// misplacedAtLeader lists allocations of a leader for jobs that are assigned to the owned shard.
func (r *transferStress) misplacedAtLeader(leader *Leader) (misplaced []string) {
	entry, ok := r.shardRecord()
	if !ok || !entry.HasOwner() || !leader.holdsLease() {
		return nil
	}
	assigned := r.assignedInStore()
	for _, name := range allocatedJobs(leader.cluster) {
		if assigned[name] {
			misplaced = append(misplaced, "the leader has allocations of "+name+", which is assigned to the shard")
		}
	}
	return misplaced
}

// misplacedAtOwner lists allocations of a shard owner for jobs that are not assigned to the shard.
func (r *transferStress) misplacedAtOwner(owner *ShardOwner) (misplaced []string) {
	if !owner.holdsLease() {
		return nil
	}
	assigned := r.assignedInStore()
	for _, name := range allocatedJobs(owner.cluster) {
		if !assigned[name] {
			misplaced = append(misplaced, "the owner has allocations of "+name+", which is not assigned to the shard")
		}
	}
	return misplaced
}

// allocatedJobs returns the ID of the job of each allocation in a controller's state.
func allocatedJobs(state *cluster.State) (names []string) {
	for _, machine := range state.SortedMachines() {
		for _, allocation := range machine.SortedAllocations() {
			if allocation.Job != nil {
				names = append(names, allocation.Job.Spec.ID)
			}
		}
	}
	return names
}

// waitNothingRetained waits until neither the controllers nor the store retain state of jobs in the shard.
func (r *transferStress) waitNothingRetained() {
	for end := r.now() + 2*micro.Minute; ; r.sleep(micro.Second) {
		retained := r.retained()
		if len(retained) == 0 {
			return
		}
		if r.now() > end {
			r.t.Errorf("%v: retained: %v", r.now().Duration(), retained)
			return
		}
	}
}

// retained lists the state of jobs in the shard that is left in the store and the controllers.
func (r *transferStress) retained() (left []string) {
	for _, prefix := range []string{shard.AssignmentPrefix, shard.AllocationPrefix} {
		for _, item := range r.storedItems(prefix) {
			left = append(left, "the store's "+item.Key)
		}
	}
	status := r.shardCommand(shard.Command{Operation: shard.OperationShow, Shard: "east"})
	if len(status.Shards) != 1 || status.Shards[0].AssignedJobs > 0 {
		left = append(left, fmt.Sprintf("the coordinator's %+v", status))
	}
	return append(left, r.retainedInLoops()...)
}

// retainedInLoops lists the state of jobs in the shard that the running loops retain. Both the leader's and the
// owner's loop must answer.
func (r *transferStress) retainedInLoops() (left []string) {
	answered := 0
	query := func(loop *controlLoop, list func() []string) {
		found, ok := eventloop.Call(loop.loop, eventloop.Events, micro.Second, func(
			reply eventloop.Reply[[]string],
		) eventloop.Event {
			return loopQuery{list, reply}
		})
		if ok {
			answered++
		}
		left = append(left, found...)
	}
	for _, controller := range r.controllers {
		node := controller.runningNode()
		if node == nil {
			continue
		}
		if leader := node.activeLeader(); leader != nil {
			query(leader.controlLoop, func() []string { return retainedRecords("leader", leader.controlLoop) })
		}
		if owner, ok := node.shards.Owner("east"); ok {
			query(owner.controlLoop, func() []string { return retainedAtOwner(owner) })
		}
	}
	if answered != 2 {
		left = append(left, fmt.Sprint(answered, " loops answered, want the leader's and the owner's"))
	}
	return left
}

// retainedRecords lists the records of jobs in a shard that a loop's writer retains.
func retainedRecords(name string, loop *controlLoop) (left []string) {
	loop.records.Each(func(record *statestore.Record) {
		if strings.HasPrefix(record.Key, shard.AssignmentPrefix) || strings.HasPrefix(record.Key, shard.AllocationPrefix) {
			left = append(left, name+"'s writer: "+record.Key)
		}
	})
	return left
}

// retainedAtOwner lists the state of jobs that a shard owner retains.
func retainedAtOwner(owner *ShardOwner) []string {
	left := retainedRecords("owner", owner.controlLoop)
	for name, count := range map[string]int{
		"assignments": len(owner.assignments), "assignedAt": len(owner.assignedAt), "recalled": len(owner.recalled),
		"copies": len(owner.copies), "suspended": len(owner.suspended),
		"cancelling": len(owner.cancelling), "finished": len(owner.finished), "jobs": len(owner.cluster.Jobs),
	} {
		if count > 0 {
			left = append(left, fmt.Sprint("owner's ", name, ": ", count))
		}
	}
	return left
}
