package cluster_test

import (
	"math/rand/v2"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/jobstatus"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

const leaseDuration = 30 * micro.Second

// testCluster is a leader's state with fake agents. It stores the chunk records as the state store
// would.
type testCluster struct {
	t             *testing.T
	cluster       *cluster.State
	scheduler     *scheduler.Scheduler
	now           micro.Time
	token         uint64
	dirtyChunks   map[*cluster.TaskChunk]bool
	storedRecords map[string]map[int]cluster.ChunkRecord
	jobs          []wire.Job
	finishedJobs  []string

	dependencyAborted, unknownDependencies []string
	supersededRecords                      []*cluster.LegacyRecord
}

func (tc *testCluster) ChunkDirty(chunk *cluster.TaskChunk) { tc.dirtyChunks[chunk] = true }

func (tc *testCluster) ChunkUrgent(*cluster.TaskChunk) {}

func (tc *testCluster) DispatchSoon(*cluster.Machine) {}

func (tc *testCluster) JobFinished(job *cluster.Job) {
	tc.finishedJobs = append(tc.finishedJobs, job.Spec.ID)
}

func (tc *testCluster) DependencyAborted(job *cluster.Job) {
	tc.dependencyAborted = append(tc.dependencyAborted, job.Spec.ID)
}

func (tc *testCluster) DependencyUnknown(id string) {
	tc.unknownDependencies = append(tc.unknownDependencies, id)
}

func (tc *testCluster) ChunkMigrated(*cluster.TaskChunk, *cluster.LegacyRecord) {}

func (tc *testCluster) LegacyRecordSuperseded(legacy *cluster.LegacyRecord) {
	tc.supersededRecords = append(tc.supersededRecords, legacy)
}

func (tc *testCluster) AttemptCompleted(*cluster.Allocation, micro.Time) {}

func (tc *testCluster) ScheduleSoon() {}

func (tc *testCluster) Log(string, ...any) {}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, now: 100 * micro.Second, storedRecords: map[string]map[int]cluster.ChunkRecord{}}
	tc.startTerm(1)
	return tc
}

// startTerm starts a term with an empty state, like that of a new leader.
func (tc *testCluster) startTerm(revision uint64) {
	tc.dirtyChunks = map[*cluster.TaskChunk]bool{}
	tc.token = revision << 24
	tc.cluster = cluster.New(tc)
	tc.cluster.MinFencingToken, tc.cluster.TermStartedAt = tc.token, tc.now
	tc.cluster.LeaseDuration = leaseDuration + micro.Second
	tc.cluster.SetCatalog(
		&wire.Catalog{
			Types: []wire.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"a", "b"}, FetchGBPerS: 1}},
		},
	)
	tc.cluster.Teams["team"] = &cluster.Team{Name: "team", CPULimit: 8}
	props := config.Defaults()
	tc.scheduler = &scheduler.Scheduler{
		Cluster: tc.cluster, Objectives: scheduler.NewObjectives(nil), Properties: &props, Rand: rand.New(rand.NewPCG(1, 1)),
	}
}

// failOver starts the term of a new leader after a crash and restores the state from the stored
// records.
func (tc *testCluster) failOver(revision uint64) {
	tc.startTerm(revision)
	for _, spec := range tc.jobs {
		job := tc.cluster.AddJob(spec, tc.now)
		for index, record := range tc.storedRecords[spec.ID] {
			tc.cluster.RestoreChunk(job, index, &record, 1, tc.now)
		}
	}
	tc.cluster.FinishRestore(tc.now)
}

// StoredState implements jobstatus.Source. A job that the state does not know counts as not ended.
func (tc *testCluster) StoredState(id string) (jobstatus.StoredState, error) {
	stored, _ := tc.cluster.StoredState(id)
	return stored, nil
}

// status returns the status of a job as a leader reports it.
func (tc *testCluster) status(job *cluster.Job) wire.JobStatus {
	tc.t.Helper()
	derived, err := jobstatus.Derive(job.OwnStatus(), job.Spec.Dependencies, tc)
	if err != nil {
		tc.t.Fatal(err)
	}
	return derived.Status
}

// submit submits a job of the team and class that all tests share.
func (tc *testCluster) submit(id string, kind wire.JobKind, tasks int, cpus float64) *cluster.Job {
	spec := wire.Job{
		ID: id, Team: "team", Class: "c", Kind: kind, Priority: wire.Normal, Tasks: tasks, CPUs: cpus, MemoryGB: 1,
	}
	tc.jobs = append(tc.jobs, spec)
	return tc.cluster.AddJob(spec, tc.now)
}

// submitScheduled submits a job, schedules the given number of its tasks in one pass and stores the
// records, so that start commands may be sent.
func (tc *testCluster) submitScheduled(id string, kind wire.JobKind, tasks int, cpus float64) *cluster.Job {
	tc.t.Helper()
	job := tc.submit(id, kind, tasks, cpus)
	tc.expectScheduled(tasks)
	tc.persist()
	return job
}

// newClusterWithTask returns a cluster of one machine on which the only task of an array is
// scheduled. Its start command may be sent.
func newClusterWithTask(t *testing.T, cpus float64) (*testCluster, *fake.Agent, *cluster.Job) {
	t.Helper()
	tc := newTestCluster(t)
	agent := tc.addAgent("m1", "a")
	return tc, agent, tc.submitScheduled("j-1", wire.JobArray, 1, cpus)
}

// startTasks sends the heartbeat whose response delivers the start commands, and the one that
// reports the started tasks.
func (tc *testCluster) startTasks(agent *fake.Agent) {
	tc.heartbeat(agent)
	tc.heartbeat(agent)
}

// quarantinedMachines returns the names of the quarantined machines, each followed by a space.
func (tc *testCluster) quarantinedMachines() (names string) {
	for _, machine := range tc.cluster.SortedMachines() {
		if machine.QuarantinedUntil > tc.now {
			names += machine.Name + " "
		}
	}
	return names
}

// failTasksOf ends all tasks of a job on an agent with an error.
func failTasksOf(agent *fake.Agent, id string) {
	for key := range agent.Tasks {
		if job, _, _ := wire.ParseTaskName(key.Task); job == id {
			agent.ExitTask(key.Task, key.Attempt, wire.CauseError)
		}
	}
}

// persist stores the records of all dirty chunks, after which start commands may be sent.
func (tc *testCluster) persist() {
	for chunk := range tc.dirtyChunks {
		id := chunk.Job.Spec.ID
		if tc.storedRecords[id] == nil {
			tc.storedRecords[id] = map[int]cluster.ChunkRecord{}
		}
		tc.storedRecords[id][chunk.Index] = chunk.Record()
		tc.cluster.ChunkPersisted(chunk, chunk.MemoryVersion)
		delete(tc.dirtyChunks, chunk)
	}
}

// heartbeat sends an agent's heartbeat and delivers the response.
func (tc *testCluster) heartbeat(agent *fake.Agent) { tc.reconcile(agent, agent.Heartbeat()) }

// reconcile applies a heartbeat and delivers the response if the heartbeat was applied.
func (tc *testCluster) reconcile(agent *fake.Agent, heartbeat *wire.Heartbeat) {
	machine, outcome := tc.cluster.Reconcile(heartbeat, cluster.FromHeartbeat, tc.now)
	if outcome == cluster.Applied {
		agent.HandleResponse(
			wire.Commands{FencingToken: wire.Count(tc.token), Items: tc.cluster.Commands(machine, tc.token, false, tc.now)},
			tc.now,
		)
	}
}

// dispatchCommands returns the commands that would be dispatched to an agent.
func (tc *testCluster) dispatchCommands(agent *fake.Agent) wire.Commands {
	machine := tc.cluster.Machines[agent.Name]
	return wire.Commands{
		FencingToken: wire.Count(tc.token), AgentEpoch: wire.Count(machine.AgentEpoch),
		Items: tc.cluster.Commands(machine, tc.token, true, tc.now),
	}
}

// addAgent adds an agent and sends heartbeats until its machine is up.
func (tc *testCluster) addAgent(name, zone string) *fake.Agent {
	agent := fake.NewAgent(name, "small", zone, leaseDuration)
	agent.LeaseStart = tc.now
	tc.heartbeat(agent)
	tc.heartbeat(agent) // up once it has reported this term's token
	return agent
}

// expectScheduled runs a scheduling pass and checks how many tasks it placed.
func (tc *testCluster) expectScheduled(want int) {
	tc.t.Helper()
	if got := tc.scheduler.Schedule(tc.now); got != want {
		tc.t.Fatalf("scheduled %d tasks, want %d", got, want)
	}
}

// expectAllocations checks how many allocations a job has.
func (tc *testCluster) expectAllocations(job *cluster.Job, want int) {
	tc.t.Helper()
	if job.AllocationCount != want {
		tc.t.Fatalf("job has %d allocations, want %d", job.AllocationCount, want)
	}
}

// heartbeatWithResponseLost sends a heartbeat whose response does not arrive.
func (tc *testCluster) heartbeatWithResponseLost(agent *fake.Agent) {
	if machine, outcome := tc.cluster.Reconcile(
		agent.Heartbeat(), cluster.FromHeartbeat, tc.now,
	); outcome == cluster.Applied {
		tc.cluster.ResponseSent(machine, tc.token)
	}
}

func (tc *testCluster) submitSpec(spec wire.Job) *cluster.Job {
	return tc.cluster.AddJob(spec, tc.now)
}

// cancel finalizes j-1 as cancelled.
func (tc *testCluster) cancel() { tc.cluster.FinalizeJob(tc.cluster.Jobs["j-1"], true, tc.now) }

// expectQuotaUsed checks how many CPUs of the team's quota are used.
func (tc *testCluster) expectQuotaUsed(want float64) {
	tc.t.Helper()
	if got := tc.cluster.Teams["team"].UsedCPU; got != want {
		tc.t.Fatalf("%v CPUs of the quota used, want %v", got, want)
	}
}

// expireLeases advances the time beyond the lease duration and expires the given machines, as the
// leader does. It fails the test if a lease expires early or does not expire.
func (tc *testCluster) expireLeases(names ...string) {
	tc.t.Helper()
	for _, name := range names {
		if tc.cluster.LeaseExpired(tc.cluster.Machines[name], tc.now) {
			tc.t.Fatalf("the lease of %s expired too early", name)
		}
	}
	tc.now += leaseDuration + 2*micro.Second
	for _, name := range names {
		if !tc.cluster.LeaseExpired(tc.cluster.Machines[name], tc.now) {
			tc.t.Fatalf("the lease of %s did not expire", name)
		}
		tc.cluster.ExpireMachine(tc.cluster.Machines[name], tc.now)
	}
}
