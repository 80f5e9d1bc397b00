package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/cluster/records"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Tests of the handover at a shard owner: it restores a job from the leader's records, and releases it when the
// leader recalls it.

// handoverOwner is the owner of a shard to which job j-1 is handed over: an array of six tasks, two per chunk.
// Records that the owner writes itself do not reach the store.
type handoverOwner struct {
	*ShardOwner
	t           *testing.T
	store       store.Store
	agent       *fake.Agent
	recordsRead map[string]bool // keys of the assignments whose jobs' records were read
}

func newHandoverOwner(t *testing.T) *handoverOwner {
	t.Helper()
	o := &handoverOwner{ShardOwner: newGuardedOwner(t, func() error { return nil }), t: t, recordsRead: map[string]bool{}}
	o.store = o.node.Store.(interceptedStore).Store
	o.put(keys.Format, persist.FormatRecord{Version: persist.FormatVersion, TasksPerChunk: 2})
	o.agent = fake.NewAgent("i-1", "small", "a", 30*micro.Second)
	return o
}

// put stores a value and returns its version.
func (o *handoverOwner) put(key string, value any) uint64 {
	o.t.Helper()
	return o.commit(wire.Change{Put: key, Value: value})
}

func (o *handoverOwner) commit(changes ...wire.Change) uint64 {
	o.t.Helper()
	version, err := o.store.Commit(o.t.Context(), store.Routine, wire.Transaction{Then: changes})
	if err != nil {
		o.t.Fatal(err)
	}
	return version
}

// putChunk stores the leader's record of a chunk and returns its version. The record lists done tasks, and pairs
// of a task and its latest attempt.
func (o *handoverOwner) putChunk(index int, done []int, attempts ...[2]int) uint64 {
	o.t.Helper()
	return o.put(keys.CompactChunk("j-1", index), tasksRecord(done, attempts))
}

func tasksRecord(done []int, attempts [][2]int, allocations ...records.Allocation) records.CompactChunk {
	record := records.NewChunk()
	for _, task := range done {
		record.AddDone(task)
	}
	record.Attempts = append(record.Attempts, attempts...)
	record.Allocations = append(record.Allocations, allocations...)
	return record.Compact()
}

// handoverJob returns the spec of j-1.
func handoverJob() wire.Job {
	return wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 6, CPUs: 0.5, MemoryGB: 1,
	}
}

// continuedAssignment returns the assignment of j-1 as the previous release stored it: the job is handed over with
// the leader's records up to the given revision.
func continuedAssignment(revision uint64) shard.Assignment {
	return shard.Assignment{
		Continued:  &shard.ContinuedJob{Job: handoverJob(), Revision: wire.Count(revision)},
		AssignedAt: 1, MaxAllocations: 6,
	}
}

var handoverAssignmentKey = shard.AssignmentKey("gpus", "j-1")

// recover has the owner restore its state from the store.
func (o *handoverOwner) recover() {
	o.t.Helper()
	if !o.recoverShard(o.t.Context()) {
		o.t.Fatal("recovery of the shard did not complete")
	}
}

// applyAssignmentEvents applies the changes of the shard's assignments since the last read, as the owner's watch
// does.
func (o *handoverOwner) applyAssignmentEvents() {
	o.t.Helper()
	events, err := o.store.Watch(
		o.t.Context(), shard.AssignmentPrefixFor("gpus"), o.assignmentRevision, 100*micro.Millisecond,
	)
	if err != nil {
		o.t.Fatal(err)
	}
	records, ok := o.readHandedOverJobs(o.t.Context(), events.Events, o.recordsRead)
	if !ok {
		o.t.Fatal("the leader's records were not read")
	}
	shardAssignmentsChanged{o.ShardOwner, events, records}.Apply()
}

// assignmentLoaders are the ways in which an owner loads an assignment.
var assignmentLoaders = map[string]func(o *handoverOwner, assignment shard.Assignment){
	"on recovery": func(o *handoverOwner, assignment shard.Assignment) {
		o.put(handoverAssignmentKey, assignment)
		o.recover()
	},
	"from its watch": func(o *handoverOwner, assignment shard.Assignment) {
		o.recover()
		o.put(handoverAssignmentKey, assignment)
		o.applyAssignmentEvents()
	},
}

// heartbeat delivers a heartbeat of the agent, has the agent execute the commands of the reply, and returns the
// kind, task and attempt of each.
func (o *handoverOwner) heartbeat() []string {
	o.t.Helper()
	reply := o.respondToHeartbeat(o.agent.Heartbeat(), func() {})
	commands, ok := reply.Body.(wire.Commands)
	if !ok {
		o.t.Fatalf("heartbeat answered with status %d", reply.Status)
	}
	o.agent.HandleResponse(commands, o.node.Now())
	var executed []string
	for _, command := range commands.Items {
		executed = append(executed, fmt.Sprint(command.Kind, " ", command.Task, " ", uint64(command.Attempt)))
	}
	return executed
}

// schedulePendingTasks delivers the two heartbeats after which a machine is up, runs the scheduler, and returns the
// allocated attempts by task.
func (o *handoverOwner) schedulePendingTasks() map[int]uint64 {
	o.t.Helper()
	o.heartbeat()
	o.heartbeat()
	o.schedulePending, o.lastSchedule, o.scheduleInterval = true, 0, 0 // so that repeated calls run at once
	o.schedule(o.node.Now())
	return o.allocatedAttempts()
}

// allocatedAttempts returns the allocated attempts by task.
func (o *handoverOwner) allocatedAttempts() map[int]uint64 {
	attempts := map[int]uint64{}
	if job := o.cluster.Jobs["j-1"]; job != nil {
		for _, allocation := range job.Allocations() {
			attempts[allocation.Index] = allocation.Attempt
		}
	}
	return attempts
}

// expectAllocated checks the allocated attempts by task.
func (o *handoverOwner) expectAllocated(got, want map[int]uint64) {
	o.t.Helper()
	if !maps.Equal(got, want) {
		o.t.Errorf("allocated attempts %v, want %v", got, want)
	}
}

// markAllPersisted marks all changes of the job's records as stored.
func (o *handoverOwner) markAllPersisted() {
	for _, chunk := range o.cluster.Jobs["j-1"].Chunks {
		record := o.records.ChunkRecord(chunk)
		record.SetVersion(record.Version() + 1)
		record.ClearDirty()
		o.cluster.ChunkPersisted(chunk, chunk.MemoryVersion)
	}
}

// dirtyTaskRecords lists the keys of the job's task records that are not written yet.
func (o *handoverOwner) dirtyTaskRecords() (dirty []string) {
	o.records.Each(func(record *statestore.Record) {
		if strings.HasPrefix(record.Key, shard.AllocationPrefix) && record.Dirty() {
			dirty = append(dirty, record.Key)
		}
	})
	return dirty
}

// expectReleased checks under which assignment version the owner reports j-1 as released; 0: not reported.
func (o *handoverOwner) expectReleased(version uint64) {
	o.t.Helper()
	var want []shard.ReleasedJob
	if version > 0 {
		want = append(want, shard.ReleasedJob{Job: "j-1", Version: version})
	}
	if got := o.buildShardUpdate(o.node.Now()).ReleasedJobs; fmt.Sprint(got) != fmt.Sprint(want) {
		o.t.Errorf("released jobs %v, want %v", got, want)
	}
}

// Guards against a job that repeats done tasks, or reuses attempt numbers, after its handover to a shard.
func TestHandedOverJobResumesFromLeaderRecords(t *testing.T) {
	for name, load := range assignmentLoaders {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			o.putChunk(0, []int{0}, [2]int{1, 7})
			revision := o.putChunk(1, []int{3}, [2]int{2, 3})
			load(o, continuedAssignment(revision))
			if got := len(o.dirtyTaskRecords()); got != 2 {
				t.Errorf("%d of the owner's records are dirty, want 2: the leader deletes its own", got)
			}
			o.expectAllocated(o.schedulePendingTasks(), map[int]uint64{1: 8, 2: 4, 4: 1, 5: 1})
		})
	}
}

// Guards against an owner that restores, and overwrites, records that a later leader wrote when it took the job
// back. Their revisions are above that of the assignment.
func TestOwnerIgnoresLeaderRecordsNewerThanAssignmentRevision(t *testing.T) {
	for name, load := range assignmentLoaders {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			revision := o.putChunk(0, []int{0}, [2]int{1, 7})
			o.putChunk(1, []int{2, 3})
			load(o, continuedAssignment(revision))
			o.expectAllocated(o.schedulePendingTasks(), map[int]uint64{1: 8, 2: 1, 3: 1, 4: 1, 5: 1})
		})
	}
}

// Guards against a next owner that returns to the state that the leader recorded before the handover, and ignores
// the records of the earlier owner. Done tasks and the highest attempts of both apply.
func TestNextOwnerMergesLeaderAndOwnerRecords(t *testing.T) {
	o := newHandoverOwner(t)
	o.putChunk(0, []int{0}, [2]int{1, 7})
	revision := o.putChunk(1, nil, [2]int{2, 3}, [2]int{3, 6})
	o.put(shard.AllocationKey("gpus", "j-1", 0), tasksRecord([]int{0, 1}, nil))
	o.put(shard.AllocationKey("gpus", "j-1", 1), tasksRecord(nil, [][2]int{{2, 9}, {3, 5}}))
	o.put(handoverAssignmentKey, continuedAssignment(revision))
	o.recover()
	if done := o.cluster.Jobs["j-1"].DoneTasks; done != 2 {
		t.Errorf("%d tasks are done, want 2", done)
	}
	o.expectAllocated(o.schedulePendingTasks(), map[int]uint64{2: 10, 3: 7, 4: 1, 5: 1})
}

// Guards against a job that restarts, and repeats done tasks, because some of its records are missing.
func TestJobWithMissingRecordsIsSuspended(t *testing.T) {
	cases := map[string]func(o *handoverOwner) (revision uint64){
		"all":                     func(*handoverOwner) uint64 { return 50 },
		"latest":                  func(o *handoverOwner) uint64 { return o.putChunk(0, []int{0, 1}) + 1 },
		"latest, since rewritten": func(o *handoverOwner) uint64 { return o.putChunk(0, []int{0, 1}) - 1 },
		"one malformed": func(o *handoverOwner) uint64 {
			o.put(keys.CompactChunk("j-1", 0), "nonsense")
			return o.putChunk(1, []int{2})
		},
	}
	for missing, prepare := range cases {
		for name, load := range assignmentLoaders {
			t.Run(missing+", "+name, func(t *testing.T) {
				o := newHandoverOwner(t)
				load(o, continuedAssignment(prepare(o)))
				o.expectAllocated(o.schedulePendingTasks(), nil)
				if dirty := o.dirtyTaskRecords(); len(dirty) > 0 {
					t.Errorf("dirty task records %v, want none", dirty)
				}
				o.expectReleased(0)
			})
		}
	}
}

// Guards against a job that has ended in its shard and is suspended permanently once the leader has deleted its
// own records.
func TestEndedJobNeedsNoLeaderRecords(t *testing.T) {
	o := newHandoverOwner(t)
	for chunk := range 3 {
		o.put(shard.AllocationKey("gpus", "j-1", chunk), tasksRecord([]int{2 * chunk, 2*chunk + 1}, nil))
	}
	o.put(handoverAssignmentKey, continuedAssignment(50))
	o.recover()
	if finished := o.buildShardUpdate(o.node.Now()).FinishedJobs; len(finished) != 1 {
		t.Errorf("finished jobs %v, want one", finished)
	}
}

// Guards against a late heartbeat that changes the records of a job after its owner has reported it as released:
// the leader has read them by then.
func TestLateHeartbeatDoesNotChangeReleasedJob(t *testing.T) {
	for _, state := range []wire.TaskState{wire.TaskRunning, wire.TaskExited} {
		t.Run(string(state), func(t *testing.T) {
			o := newHandoverOwner(t)
			revision := o.putChunk(0, []int{0}, [2]int{1, 7})
			o.put(handoverAssignmentKey, continuedAssignment(revision))
			o.recover()
			recalled := continuedAssignment(revision)
			recalled.RecallRequested = true
			version := o.put(handoverAssignmentKey, recalled)
			o.applyAssignmentEvents()
			o.markAllPersisted()
			o.heartbeat()
			o.expectReleased(version)
			job := o.cluster.Jobs["j-1"]
			before := describePersistedState(job)
			key := fake.AttemptKey{Task: "j-1/1", Attempt: 9}
			status := &wire.TaskStatus{Task: key.Task, Attempt: 9, State: state, Cause: wire.CauseDone}
			if o.agent.Tasks[key] = status; state == wire.TaskRunning {
				status.Cause = ""
				if commands := o.heartbeat(); !slices.Equal(commands, []string{string(wire.CommandStop) + " j-1/1 9"}) {
					t.Errorf("commands %v", commands)
				}
			}
			for range 3 {
				o.heartbeat()
			}
			if o.agent.Tasks[key] != nil {
				t.Error("the agent got no command to forget the attempt")
			}
			if after := describePersistedState(job); after != before || len(o.dirtyTaskRecords()) > 0 {
				t.Errorf("records %s, before the heartbeat %s; dirty: %v", after, before, o.dirtyTaskRecords())
			}
			o.expectReleased(version)
		})
	}
}

// describePersistedState describes the state of a job as its records would store it.
func describePersistedState(job *cluster.Job) string {
	text := fmt.Sprint(job.State, ", ", job.AllocationCount, " allocations, ", job.DoneTasks, " done")
	for _, chunk := range job.Chunks {
		record := chunk.Record()
		text += fmt.Sprintf(", version %d: %v", chunk.MemoryVersion, record.Compact())
	}
	return text
}

// Guards against an owner that loads a recalled or cancelled job, and allocates its tasks or leaves them running.
func TestOwnerStopsLoadedJobThatIsRecalledOrCancelled(t *testing.T) {
	marks := map[string]func(assignment *shard.Assignment){
		"recalled":  func(assignment *shard.Assignment) { assignment.RecallRequested = true },
		"cancelled": func(assignment *shard.Assignment) { assignment.StopRequested = true },
		"cancelled after its recall": func(assignment *shard.Assignment) {
			assignment.RecallRequested, assignment.StopRequested = true, true
		},
	}
	for mark, set := range marks {
		t.Run(mark, func(t *testing.T) {
			o := newHandoverOwner(t)
			assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
			set(&assignment)
			allocation := records.Allocation{Index: 1, Attempt: 8, Machine: "i-1", Session: 1, Zone: "a"}
			o.put(shard.AllocationKey("gpus", "j-1", 0), tasksRecord([]int{0}, nil, allocation))
			version := o.put(handoverAssignmentKey, assignment)
			o.recover()
			o.agent.Tasks[fake.AttemptKey{Task: "j-1/1", Attempt: 8}] = &wire.TaskStatus{
				Task: "j-1/1", Attempt: 8, State: wire.TaskRunning,
			}
			if commands := o.heartbeat(); !slices.Equal(commands, []string{string(wire.CommandStop) + " j-1/1 8"}) {
				t.Errorf("commands %v", commands)
			}
			o.expectReleased(0)
			o.expectAllocated(o.schedulePendingTasks(), nil)
			o.expectReleased(0) // its task record is still to be written
			o.markAllPersisted()
			o.expectAllocated(o.schedulePendingTasks(), nil)
			if assignment.StopRequested {
				version = 0 // a cancelled job is not released: its end is reported
			}
			o.expectReleased(version)
		})
	}
}

// Guards against an owner that writes task records of a job that was recalled before the owner loaded it.
func TestOwnerWritesNoRecordsOfJobLoadedAsRecalled(t *testing.T) {
	for name, load := range assignmentLoaders {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
			assignment.RecallRequested = true
			load(o, assignment)
			o.expectAllocated(o.schedulePendingTasks(), nil)
			if dirty := o.dirtyTaskRecords(); len(dirty) > 0 {
				t.Errorf("dirty task records %v, want none", dirty)
			}
			o.expectReleased(o.assignments["j-1"].Version())
		})
	}
}

// Guards against a recalled job whose tasks keep running in the shard, or that is released before the ends of its
// tasks are stored.
func TestOwnerReleasesRecalledJobAfterTaskEndsAreStored(t *testing.T) {
	o := newHandoverOwner(t)
	assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
	created := o.put(handoverAssignmentKey, assignment)
	o.recover()
	o.expectAllocated(o.schedulePendingTasks(), map[int]uint64{1: 8, 2: 1, 3: 1, 4: 1, 5: 1})
	o.markAllPersisted()
	o.heartbeat()
	assignment.RecallRequested = true
	recalled := o.put(handoverAssignmentKey, assignment)
	if recalled == created {
		t.Fatal("the recall did not change the version of the assignment")
	}
	o.applyAssignmentEvents()
	o.schedulePendingTasks()
	o.expectReleased(0)
	for range 3 {
		o.heartbeat() // the tasks stop
	}
	o.expectAllocated(o.schedulePendingTasks(), nil)
	o.expectReleased(0)
	o.markAllPersisted()
	o.expectReleased(recalled)
}

// Guards against a job that is handed over to the same shard a second time, and is not loaded or continues from the
// records of the time before its first handover.
func TestRecalledJobIsRemovedAndLoadedFromNewAssignment(t *testing.T) {
	for name, together := range map[string]bool{"deletion read first": false, "deletion and assignment at once": true} {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			o.recover()
			assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
			o.put(handoverAssignmentKey, assignment)
			o.applyAssignmentEvents()
			assignment.RecallRequested = true
			o.put(handoverAssignmentKey, assignment)
			o.applyAssignmentEvents()
			o.markAllPersisted()
			o.commit(wire.Change{Delete: handoverAssignmentKey})
			if !together {
				o.applyAssignmentEvents()
				if left := retainedAtOwner(o.ShardOwner); len(left) > 0 {
					t.Errorf("retained after the assignment was deleted: %v", left)
				}
			}
			version := o.put(handoverAssignmentKey, continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 11})))
			o.applyAssignmentEvents()
			o.expectAllocated(o.schedulePendingTasks(), map[int]uint64{1: 12, 2: 1, 3: 1, 4: 1, 5: 1})
			if got := o.assignments["j-1"].Version(); got != version {
				t.Errorf("assignment version %d, want %d", got, version)
			}
		})
	}
}

// Guards against a controller of an earlier release, which does not know continued assignments, restarting their
// jobs. Such a release must find no job in the fields that it decodes.
func TestPreviousReleasesDecodeNoJobFromContinuedAssignment(t *testing.T) {
	var before struct {
		Job            wire.Job `msgpack:"job"`
		AssignedAt     int64    `msgpack:"at"`
		MaxAllocations int      `msgpack:"tasks"`
		StopRequested  bool     `msgpack:"stop"`
	}
	if err := wire.Unmarshal(wire.MustMarshal(continuedAssignment(7)), &before); err != nil {
		t.Fatal(err)
	}
	if before.Job.Tasks != 0 || before.Job.ID != "" {
		t.Errorf("earlier release decodes the job %+v, want none", before.Job)
	}
}
