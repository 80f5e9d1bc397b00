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
	transferSeeds   = flag.Int("transfers.seeds", 2, "how many seeds the test of jobs that change hands plays")
	transferMinutes = flag.Int("transfers.minutes", 12, "for how long each of them has jobs change hands")
)

// A task runs at both sides, is lost or done twice, a limit is passed, or something is kept of jobs
// that went to and fro between the leader and a shard that moves and is formed again.
func TestJobsGoToAndFroBesideMovesOfTheirShard(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*transferSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			var trial *transferTrial
			runScenario(
				t, seed, 3, func(sim *simCluster) { trial = newTransferTrial(sim, seed%2 == 0) },
				func(*simCluster) { trial.run() },
			)
		})
	}
}

// tasksOfSeveralRecords is how many tasks a job has whose records are more than one.
const tasksOfSeveralRecords = cluster.LegacyTasksPerChunk + 72

// transferTeams are the teams whose jobs change hands.
const transferTeams = 4

// A transferTrial has many jobs change hands, and judges what becomes of them.
type transferTrial struct {
	*simCluster
	end        micro.Time   // of the troubles
	unreliable bool         // writes and heartbeats meet troubles as well
	maxPauseS  int          // how long nothing else happens at the most, beyond ten seconds
	slots      atomic.Int64 // users whose last job is not over

	mu           sync.Mutex
	jobs         []*userJob
	lastAttempts map[string]uint64       // the latest attempt of each task that started
	done         map[string]map[int]bool // tasks that were stored as done, by job
	toShard      int                     // how many jobs were assigned
	continued    int                     // how many of them had records of their tasks
	toLeader     int                     // how many came back
}

// newTransferTrial sets a simulation up: a shard of all spot machines, which are dearer at times.
func newTransferTrial(sim *simCluster, unreliable bool) *transferTrial {
	trial := &transferTrial{
		simCluster: sim, end: micro.Time(*transferMinutes) * micro.Minute, unreliable: unreliable, maxPauseS: 180,
		lastAttempts: map[string]uint64{}, done: map[string]map[int]bool{},
	}
	if unreliable {
		trial.maxPauseS = 30
	}
	sim.onTaskStart = trial.judgeStart
	sim.cloud.Capacity = 64
	for i := range sim.cloud.Types {
		sim.cloud.Types[i].BootS = 8 // so that two of an offer are overdue at once, and it is left out
		sim.cloud.Types[i].SpotPrice = sim.cloud.Types[i].Price * []float64{0.7, 1.5}[sim.randomInt(2)]
	}
	sim.config.Facts.Teams = nil
	for i := range transferTeams {
		name := fmt.Sprint("t-", i)
		sim.config.Facts.Teams = append(sim.config.Facts.Teams, config.Team{Name: name, CPUsMax: teamMaxCPUs})
		sim.checker.cpuLimits[name] = teamMaxCPUs
	}
	sim.config.Shards = trial.declared(false)
	return trial
}

// declared are the settings for the shard, or for one that is to be dissolved.
func (r *transferTrial) declared(dissolve bool) *config.Shards {
	return &config.Shards{
		MinMoveInterval: micro.Minute, MaxMachinesMoving: 10_000, Dissolve: dissolve,
		Declared: []config.DeclaredShard{{Name: "east", Selector: shard.Selector{Kind: shard.SpotOnly}, Owner: "n-2"}},
	}
}

// run plays the trial.
func (r *transferTrial) run() {
	r.waitShardOwned("n-2", 2*micro.Minute)
	go r.countTransfers()
	go r.alternateBoots()
	go r.judgeRepeatedly()
	var services []*userJob
	for i := range transferTeams {
		team := fmt.Sprint("t-", i)
		services = append(services, r.newJob(
			jobRequest{kind: wire.Service, tasks: 2, cpus: 1, team: team, spot: true},
		).submit())
		array := jobRequest{kind: wire.JobArray, tasks: 30, cpus: 2, runTime: 3 * micro.Second, team: team, spot: true}
		r.keepSubmitting(array)
		array.tasks, array.runTime, array.cpus = tasksOfSeveralRecords, micro.Second, 1
		r.keepSubmitting(array)
		gang := jobRequest{kind: wire.Gang, tasks: 2, cpus: 2, runTime: 20 * micro.Second, team: team, spot: true}
		r.keepSubmitting(gang)
	}
	r.meetTroubles()
	r.waitAllServed(services)
	for _, service := range services {
		service.cancel()
	}
	r.waitNothingRetained()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.t.Logf(
		"%d jobs, %d assigned, %d of them with records, %d came back, %d starts, %.0f s", len(r.jobs), r.toShard,
		r.continued, r.toLeader, r.checker.startCount, r.now().Seconds(),
	)
	if r.continued == 0 || r.toLeader == 0 {
		r.t.Error("no job went to and fro")
	}
}

// keepSubmitting has a user submit one job after the other until the troubles end.
func (r *transferTrial) keepSubmitting(request jobRequest) {
	r.slots.Add(1)
	go func() {
		defer r.slots.Add(-1)
		for r.now() < r.end && r.ctx.Err() == nil {
			job := r.newJob(request).submit()
			r.mu.Lock()
			r.jobs = append(r.jobs, job)
			r.mu.Unlock()
			if r.randomChance(0.15) {
				go r.cancelLater(job)
			}
			job.watchUntilFinal()
		}
	}()
}

// cancelLater has a user call a job off, which may be over by then.
func (r *transferTrial) cancelLater(job *userJob) {
	r.sleep(micro.Time(r.randomInt(120)) * micro.Second)
	job.cancel()
}

// alternateBoots has the machines of one side die, and its boots fail, and then those of the other.
func (r *transferTrial) alternateBoots() {
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

// meetTroubles has controllers end, the shard move and machines die until the troubles end. Halfway, the shard is
// released and formed again.
func (r *transferTrial) meetTroubles() {
	reformed := false
	for r.now() < r.end {
		r.sleep(micro.Time(10+r.randomInt(r.maxPauseS)) * micro.Second)
		back := micro.Time(100+r.randomInt(8000)) * micro.Millisecond
		switch entry, owned := r.shardRecord(); {
		case !reformed && r.now() > r.end/2:
			reformed = true
			r.formAgain()
		case r.randomChance(0.2):
			for _, machine := range r.randomMachines(2) {
				machine.terminate()
			}
		case r.randomChance(0.3):
			if leader := r.leader(); leader != nil {
				r.restartController(leader, back)
			}
		case owned && entry.HasOwner() && r.randomChance(0.4):
			r.restartController(r.controllerNamed(entry.Record.Owner.Node), back)
		case r.unreliable && r.randomChance(0.4):
			r.disturb(micro.Time(10+r.randomInt(20)) * micro.Second)
		default:
			if controller := r.randomUserNode(); controller != nil {
				controller.runningNode().handleAdmin(wire.MustMarshal(shard.Command{
					Operation: shard.OperationMove, Shard: "east", Target: r.controllers[r.randomInt(3)].name,
				}))
			}
		}
	}
}

// disturb has writes be carried out late or not be answered, or heartbeats come late, for a while.
func (r *transferTrial) disturb(span micro.Time) {
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

// formAgain has the leader take the shard back, and then form it again.
func (r *transferTrial) formAgain() {
	r.restartAllWith(r.declared(true))
	r.waitUntil("no record of the shard is left", servedWithin, func() bool { return len(r.shardKeys()) == 0 })
	r.sleep(40 * micro.Second) // some of the jobs go on at the leader
	r.restartAllWith(r.declared(false))
	r.waitUntil("the shard is owned again", servedWithin, func() bool {
		entry, ok := r.shardRecord()
		return ok && entry.HasOwner()
	})
}

func (r *transferTrial) restartAllWith(shards *config.Shards) {
	r.setShards(shards)
	for _, controller := range r.controllers {
		r.restartController(controller, micro.Second)
	}
}

// waitAllServed waits until all jobs are done and all services run in full.
func (r *transferTrial) waitAllServed(services []*userJob) {
	served := func() bool {
		for _, service := range services {
			if !service.satisfied() {
				return false
			}
		}
		return r.slots.Load() == 0
	}
	const queued = 2 * micro.Minute // what the large arrays take
	for end := r.now() + servedWithin + queued; !served(); r.sleep(micro.Second) {
		if r.now() > end {
			r.describeUnserved(r.unserved(services))
			r.saveLogs()
			r.t.Fatalf("%v: not all jobs are served", r.now().Duration())
		}
	}
}

// unserved names the jobs that are not served.
func (r *transferTrial) unserved(services []*userJob) []string {
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

// countTransfers counts the jobs that go to the shard, and those that come back.
func (r *transferTrial) countTransfers() {
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

func (r *transferTrial) countTransfer(event wire.Event, assigned map[string]bool) {
	if event.Delete != "" {
		_, id, _ := shard.ParseAssignmentKey(event.Delete)
		if assigned[id] && !r.endStored(id) {
			r.toLeader++
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
		r.toShard++
		if assignment.Revision() > 0 {
			r.continued++
		}
	}
	assigned[id] = true
}

// endStored reports whether the end of a job is in the store.
func (r *transferTrial) endStored(id string) bool {
	_, err := r.store.Get(r.ctx, store.Routine, keys.JobEnd(id))
	return err == nil
}

// storedItems reads all keys with a prefix.
func (r *transferTrial) storedItems(prefix string) []wire.Item {
	page, err := r.store.Range(r.ctx, store.Routine, prefix, "", 100_000)
	if err != nil {
		r.t.Error(err)
	}
	return page.Items
}

// storedDone are the tasks of a job that the store holds as done, at either side. The shard's are
// read first: the leader's hold what it has deleted.
func (r *transferTrial) storedDone(job string) map[int]bool {
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

// judgeStart holds a start against what the store holds of the task, and against its last attempt.
func (r *transferTrial) judgeStart(machine *fakeMachine, key fake.AttemptKey) {
	id, index, _ := wire.ParseTaskName(key.Task)
	if r.storedDone(id)[index] {
		r.t.Errorf("%v: %s is stored as done, and starts on %s", r.now().Duration(), key.Task, machine.agent.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if last := r.lastAttempts[key.Task]; key.Attempt <= last {
		r.t.Errorf("%v: attempt %d of %s starts after attempt %d", r.now().Duration(), key.Attempt, key.Task, last)
	}
	r.lastAttempts[key.Task] = key.Attempt
}

// judgeRepeatedly judges what controllers and store hold of the jobs, again and again.
func (r *transferTrial) judgeRepeatedly() {
	for ; r.ctx.Err() == nil; r.sleep(700 * micro.Millisecond) {
		r.judgeDone()
		for _, controller := range r.controllers {
			node := controller.runningNode()
			if node == nil {
				continue
			}
			if leader := node.activeLeader(); leader != nil {
				r.askLoop(leader.controlLoop, func() []string { return r.misplacedAtLeader(leader) })
			}
			if owner, ok := node.shards.Owner("east"); ok {
				r.askLoop(owner.controlLoop, func() []string { return r.misplacedAtOwner(owner) })
			}
		}
	}
}

// judgeDone finds tasks that the store held as done, and holds no more though their job goes on.
func (r *transferTrial) judgeDone() {
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
				r.t.Errorf("%v: task %d of %s was stored as done", r.now().Duration(), task, job.id)
			}
		}
		r.done[job.id] = now
	}
}

// loopAsked has a loop's own goroutine say what is wrong with it.
type loopAsked struct {
	ask   func() []string
	reply eventloop.Reply[[]string]
}

// Apply asks.
func (e loopAsked) Apply() { e.reply.Send(e.ask()) }

// askLoop reports what a loop finds wrong with itself, if it answers within a second.
func (r *transferTrial) askLoop(loop *controlLoop, ask func() []string) {
	wrong, _ := eventloop.Call(loop.loop, eventloop.Events, micro.Second, func(
		reply eventloop.Reply[[]string],
	) eventloop.Event {
		return loopAsked{ask, reply}
	})
	for _, what := range wrong {
		r.t.Errorf("%v: %s", r.now().Duration(), what)
	}
}

// assignedInStore are the jobs that the store holds an assignment of.
func (r *transferTrial) assignedInStore() map[string]bool {
	assigned := map[string]bool{}
	for _, item := range r.storedItems(shard.AssignmentPrefixFor("east")) {
		_, id, _ := shard.ParseAssignmentKey(item.Key)
		assigned[id] = true
	}
	return assigned
}

// misplacedAtLeader finds allocations that a leader has of jobs that the shard's owner has.
func (r *transferTrial) misplacedAtLeader(leader *Leader) (wrong []string) {
	entry, ok := r.shardRecord()
	if !ok || !entry.HasOwner() || !leader.holdsLease() {
		return nil
	}
	assigned := r.assignedInStore()
	for _, name := range allocatedJobs(leader.cluster) {
		if assigned[name] {
			wrong = append(wrong, "the leader has allocations of "+name+", which is in the shard")
		}
	}
	return wrong
}

// misplacedAtOwner finds allocations that a shard's owner has of jobs that are not in the shard.
func (r *transferTrial) misplacedAtOwner(owner *ShardOwner) (wrong []string) {
	if !owner.holdsLease() {
		return nil
	}
	assigned := r.assignedInStore()
	for _, name := range allocatedJobs(owner.cluster) {
		if !assigned[name] {
			wrong = append(wrong, "the owner has allocations of "+name+", which is not in the shard")
		}
	}
	return wrong
}

// allocatedJobs names the jobs of a controller's allocations.
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

// waitNothingRetained waits until neither controllers nor the store hold anything of jobs in a shard.
func (r *transferTrial) waitNothingRetained() {
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

// retained lists what is left of jobs in the shard.
func (r *transferTrial) retained() (left []string) {
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

// retainedInLoops lists what the loops that run hold.
func (r *transferTrial) retainedInLoops() (left []string) {
	answered := 0
	ask := func(loop *controlLoop, list func() []string) {
		found, ok := eventloop.Call(loop.loop, eventloop.Events, micro.Second, func(
			reply eventloop.Reply[[]string],
		) eventloop.Event {
			return loopAsked{list, reply}
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
			ask(leader.controlLoop, func() []string { return retainedRecords("leader", leader.controlLoop) })
		}
		if owner, ok := node.shards.Owner("east"); ok {
			ask(owner.controlLoop, func() []string { return retainedAtOwner(owner) })
		}
	}
	if answered != 2 {
		left = append(left, fmt.Sprint(answered, " loops answered, want a leader's and an owner's"))
	}
	return left
}

// retainedRecords lists the records of jobs in a shard that a loop's writer keeps.
func retainedRecords(name string, loop *controlLoop) (left []string) {
	loop.records.Each(func(record *statestore.Record) {
		if strings.HasPrefix(record.Key, shard.AssignmentPrefix) || strings.HasPrefix(record.Key, shard.AllocationPrefix) {
			left = append(left, name+"'s writer: "+record.Key)
		}
	})
	return left
}

// retainedAtOwner lists what a shard's owner holds of jobs.
func retainedAtOwner(owner *ShardOwner) []string {
	left := retainedRecords("owner", owner.controlLoop)
	for name, count := range map[string]int{
		"assignments": len(owner.assignments), "assignedAt": len(owner.assignedAt), "recalled": len(owner.recalled),
		"copies": len(owner.copies), "held": len(owner.suspended),
		"cancelling": len(owner.cancelling), "finished": len(owner.finished), "jobs": len(owner.cluster.Jobs),
	} {
		if count > 0 {
			left = append(left, fmt.Sprint("owner's ", name, ": ", count))
		}
	}
	return left
}
