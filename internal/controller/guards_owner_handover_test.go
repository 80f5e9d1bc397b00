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

// Guards of a shard's owner: how it takes a job over from the leader's records, and gives it back.

// handoverOwner is the owner of a shard that job j-1 goes to: an array of six tasks, two to a chunk.
// What it writes itself reaches no store.
type handoverOwner struct {
	*ShardOwner
	t     *testing.T
	store store.Store
	agent *fake.Agent
	read  map[string]bool // assignments whose jobs' records were read
}

func newHandoverOwner(t *testing.T) *handoverOwner {
	t.Helper()
	o := &handoverOwner{ShardOwner: guardedOwner(t, func() error { return nil }), t: t, read: map[string]bool{}}
	o.store = o.node.Store.(interceptedStore).Store
	o.put(keys.Format, persist.FormatRecord{Version: persist.FormatVersion, TasksPerChunk: 2})
	o.agent = fake.NewAgent("i-1", "small", "a", 30*micro.Second)
	return o
}

// put stores a value, and says under which version.
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

// putChunk stores the leader's record of a chunk: tasks that are done, and attempts of others.
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

// handoverJob is the description of j-1.
func handoverJob() wire.Job {
	return wire.Job{
		ID: "j-1", Team: "team", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 6, CPUs: 0.5, MemoryGB: 1,
	}
}

// continuedAssignment is the assignment of j-1, which goes on from the leader's records, as the version
// before stored it.
func continuedAssignment(revision uint64) shard.Assignment {
	return shard.Assignment{
		Continued:  &shard.ContinuedJob{Job: handoverJob(), Revision: wire.Count(revision)},
		AssignedAt: 1, MaxAllocations: 6,
	}
}

var assignmentKeyOfJob = shard.AssignmentKey("gpus", "j-1")

// recover has the owner begin: it reads what is in the store.
func (o *handoverOwner) recover() {
	o.t.Helper()
	if !o.recoverShard(o.t.Context()) {
		o.t.Fatal("not recovered")
	}
}

// follow has the owner take in what became of its assignments, as its watch does.
func (o *handoverOwner) follow() {
	o.t.Helper()
	events, err := o.store.Watch(
		o.t.Context(), shard.AssignmentPrefixFor("gpus"), o.assignmentRevision, 100*micro.Millisecond,
	)
	if err != nil {
		o.t.Fatal(err)
	}
	records, ok := o.readHandedOverJobs(o.t.Context(), events.Events, o.read)
	if !ok {
		o.t.Fatal("the leader's records are not read")
	}
	shardAssignmentsChanged{o.ShardOwner, events, records}.Apply()
}

// waysToLoad are how an owner comes to read an assignment.
var waysToLoad = map[string]func(o *handoverOwner, assignment shard.Assignment){
	"as it begins": func(o *handoverOwner, assignment shard.Assignment) {
		o.put(assignmentKeyOfJob, assignment)
		o.recover()
	},
	"in its watch": func(o *handoverOwner, assignment shard.Assignment) {
		o.recover()
		o.put(assignmentKeyOfJob, assignment)
		o.follow()
	},
}

// heartbeat has the agent report, and do what it is told. It says what that was.
func (o *handoverOwner) heartbeat() []string {
	o.t.Helper()
	reply := o.answerTo(o.agent.Heartbeat(), func() {})
	commands, ok := reply.Body.(wire.Commands)
	if !ok {
		o.t.Fatalf("status %d", reply.Status)
	}
	o.agent.HandleResponse(commands, o.node.Now())
	var told []string
	for _, command := range commands.Items {
		told = append(told, fmt.Sprint(command.Kind, " ", command.Task, " ", uint64(command.Attempt)))
	}
	return told
}

// place has a machine come up and tasks be placed on it, and says which attempts of them hold places.
func (o *handoverOwner) place() map[int]uint64 {
	o.t.Helper()
	o.heartbeat()
	o.heartbeat()
	o.schedulePending, o.lastSchedule, o.scheduleInterval = true, 0, 0 // also a second time at once
	o.schedule(o.node.Now())
	return o.allocated()
}

// allocated are the attempts that hold places, by task.
func (o *handoverOwner) allocated() map[int]uint64 {
	attempts := map[int]uint64{}
	if job := o.cluster.Jobs["j-1"]; job != nil {
		for _, allocation := range job.Allocations() {
			attempts[allocation.Index] = allocation.Attempt
		}
	}
	return attempts
}

// expectAllocated checks which attempts hold places.
func (o *handoverOwner) expectAllocated(got, want map[int]uint64) {
	o.t.Helper()
	if !maps.Equal(got, want) {
		o.t.Errorf("attempts %v hold places, want %v", got, want)
	}
}

// persist has all that is to be written of the job be in the store.
func (o *handoverOwner) persist() {
	for _, chunk := range o.cluster.Jobs["j-1"].Chunks {
		record := o.records.ChunkRecord(chunk)
		record.SetVersion(record.Version() + 1)
		record.ClearDirty()
		o.cluster.ChunkPersisted(chunk, chunk.MemoryVersion)
	}
}

// unwritten lists the records of the job's tasks that are to be written.
func (o *handoverOwner) unwritten() (dirty []string) {
	o.records.Each(func(record *statestore.Record) {
		if strings.HasPrefix(record.Key, shard.AllocationPrefix) && record.Dirty() {
			dirty = append(dirty, record.Key)
		}
	})
	return dirty
}

// expectReleased checks under which version the owner says that it has released the job; 0: it does not.
func (o *handoverOwner) expectReleased(version uint64) {
	o.t.Helper()
	var want []shard.ReleasedJob
	if version > 0 {
		want = append(want, shard.ReleasedJob{Job: "j-1", Version: version})
	}
	if got := o.buildShardUpdate(o.node.Now()).ReleasedJobs; fmt.Sprint(got) != fmt.Sprint(want) {
		o.t.Errorf("released %v, want %v", got, want)
	}
}

// A job that goes to a shard runs anew what was done, or under attempt numbers that were used.
func TestJobGoesOnInAShardFromTheLeadersRecords(t *testing.T) {
	for name, load := range waysToLoad {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			o.putChunk(0, []int{0}, [2]int{1, 7})
			revision := o.putChunk(1, []int{3}, [2]int{2, 3})
			load(o, continuedAssignment(revision))
			if got := len(o.unwritten()); got != 2 {
				t.Errorf("%d of the owner's own records are to be written, want 2: the leader's go", got)
			}
			o.expectAllocated(o.place(), map[int]uint64{1: 8, 2: 4, 4: 1, 5: 1})
		})
	}
}

// An owner takes records in that a next leader wrote as it took the job back, and writes over them.
func TestOwnerReadsNoRecordsBeyondTheRevisionOfTheAssignment(t *testing.T) {
	for name, load := range waysToLoad {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			revision := o.putChunk(0, []int{0}, [2]int{1, 7})
			o.putChunk(1, []int{2, 3})
			load(o, continuedAssignment(revision))
			o.expectAllocated(o.place(), map[int]uint64{1: 8, 2: 1, 3: 1, 4: 1, 5: 1})
		})
	}
}

// A next owner goes back to what the leader recorded before the job came to the shard.
func TestNextOwnerGoesOnFromBothSidesRecords(t *testing.T) {
	o := newHandoverOwner(t)
	o.putChunk(0, []int{0}, [2]int{1, 7})
	revision := o.putChunk(1, nil, [2]int{2, 3}, [2]int{3, 6})
	o.put(shard.AllocationKey("gpus", "j-1", 0), tasksRecord([]int{0, 1}, nil))
	o.put(shard.AllocationKey("gpus", "j-1", 1), tasksRecord(nil, [][2]int{{2, 9}, {3, 5}}))
	o.put(assignmentKeyOfJob, continuedAssignment(revision))
	o.recover()
	if done := o.cluster.Jobs["j-1"].DoneTasks; done != 2 {
		t.Errorf("%d tasks are done, want 2", done)
	}
	o.expectAllocated(o.place(), map[int]uint64{2: 10, 3: 7, 4: 1, 5: 1})
}

// A job some of whose records are missing is begun anew, and what was done is done again.
func TestJobIsHeldWhereRecordsOfItAreMissing(t *testing.T) {
	cases := map[string]func(o *handoverOwner) (revision uint64){
		"all of them":       func(*handoverOwner) uint64 { return 50 },
		"the latest":        func(o *handoverOwner) uint64 { return o.putChunk(0, []int{0, 1}) + 1 },
		"rewritten, latest": func(o *handoverOwner) uint64 { return o.putChunk(0, []int{0, 1}) - 1 },
		"one not understood": func(o *handoverOwner) uint64 {
			o.put(keys.CompactChunk("j-1", 0), "nonsense")
			return o.putChunk(1, []int{2})
		},
	}
	for missing, prepare := range cases {
		for name, load := range waysToLoad {
			t.Run(missing+", "+name, func(t *testing.T) {
				o := newHandoverOwner(t)
				load(o, continuedAssignment(prepare(o)))
				o.expectAllocated(o.place(), nil)
				if dirty := o.unwritten(); len(dirty) > 0 {
					t.Errorf("to be written: %v", dirty)
				}
				o.expectReleased(0)
			})
		}
	}
}

// A job that is over in its shard is held for ever once the leader has deleted its own records.
func TestJobThatIsOverNeedsNoRecordsOfTheLeader(t *testing.T) {
	o := newHandoverOwner(t)
	for chunk := range 3 {
		o.put(shard.AllocationKey("gpus", "j-1", chunk), tasksRecord([]int{2 * chunk, 2*chunk + 1}, nil))
	}
	o.put(assignmentKeyOfJob, continuedAssignment(50))
	o.recover()
	if finished := o.buildShardUpdate(o.node.Now()).FinishedJobs; len(finished) != 1 {
		t.Errorf("finished: %v", finished)
	}
}

// A late heartbeat changes what an owner has said that it released, after the leader has read it.
func TestLateHeartbeatChangesNothingOfAReleasedJob(t *testing.T) {
	for _, state := range []wire.TaskState{wire.TaskRunning, wire.TaskExited} {
		t.Run(string(state), func(t *testing.T) {
			o := newHandoverOwner(t)
			revision := o.putChunk(0, []int{0}, [2]int{1, 7})
			o.put(assignmentKeyOfJob, continuedAssignment(revision))
			o.recover()
			recalled := continuedAssignment(revision)
			recalled.RecallRequested = true
			version := o.put(assignmentKeyOfJob, recalled)
			o.follow()
			o.persist()
			o.heartbeat()
			o.expectReleased(version)
			job := o.cluster.Jobs["j-1"]
			before := describeRecords(job)
			key := fake.AttemptKey{Task: "j-1/1", Attempt: 9}
			status := &wire.TaskStatus{Task: key.Task, Attempt: 9, State: state, Cause: wire.CauseDone}
			if o.agent.Tasks[key] = status; state == wire.TaskRunning {
				status.Cause = ""
				if told := o.heartbeat(); !slices.Equal(told, []string{string(wire.CommandStop) + " j-1/1 9"}) {
					t.Errorf("told %v", told)
				}
			}
			for range 3 {
				o.heartbeat()
			}
			if o.agent.Tasks[key] != nil {
				t.Error("the agent is not told to forget the attempt")
			}
			if after := describeRecords(job); after != before || len(o.unwritten()) > 0 {
				t.Errorf("%s, before %s; to be written: %v", after, before, o.unwritten())
			}
			o.expectReleased(version)
		})
	}
}

// describeRecords says what would be written of a job.
func describeRecords(job *cluster.Job) string {
	text := fmt.Sprint(job.State, ", ", job.AllocationCount, " allocations, ", job.DoneTasks, " done")
	for _, chunk := range job.Chunks {
		record := chunk.Record()
		text += fmt.Sprintf(", version %d: %v", chunk.MemoryVersion, record.Compact())
	}
	return text
}

// An owner that reads that a job is recalled, or cancelled, places it or lets its tasks run on.
func TestOwnerStopsRecalledAndCancelledJobsThatItLoads(t *testing.T) {
	marks := map[string]func(assignment *shard.Assignment){
		"recalled":  func(assignment *shard.Assignment) { assignment.RecallRequested = true },
		"cancelled": func(assignment *shard.Assignment) { assignment.StopRequested = true },
		"cancelled once recalled": func(assignment *shard.Assignment) {
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
			version := o.put(assignmentKeyOfJob, assignment)
			o.recover()
			o.agent.Tasks[fake.AttemptKey{Task: "j-1/1", Attempt: 8}] = &wire.TaskStatus{
				Task: "j-1/1", Attempt: 8, State: wire.TaskRunning,
			}
			if told := o.heartbeat(); !slices.Equal(told, []string{string(wire.CommandStop) + " j-1/1 8"}) {
				t.Errorf("told %v", told)
			}
			o.expectReleased(0)
			o.expectAllocated(o.place(), nil)
			o.expectReleased(0) // its record is still to be written
			o.persist()
			o.expectAllocated(o.place(), nil)
			if assignment.StopRequested {
				version = 0 // its end goes another way
			}
			o.expectReleased(version)
		})
	}
}

// An owner goes on writing records of a job that was recalled before it read of it.
func TestOwnerWritesNothingOfAJobThatItLoadsRecalled(t *testing.T) {
	for name, load := range waysToLoad {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
			assignment.RecallRequested = true
			load(o, assignment)
			o.expectAllocated(o.place(), nil)
			if dirty := o.unwritten(); len(dirty) > 0 {
				t.Errorf("to be written: %v", dirty)
			}
			o.expectReleased(o.assignments["j-1"].Version())
		})
	}
}

// A recalled job's tasks run on in the shard, or it is released before their ends are stored.
func TestOwnerReleasesARecalledJobOnceNothingOfItIsLeft(t *testing.T) {
	o := newHandoverOwner(t)
	assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
	created := o.put(assignmentKeyOfJob, assignment)
	o.recover()
	o.expectAllocated(o.place(), map[int]uint64{1: 8, 2: 1, 3: 1, 4: 1, 5: 1})
	o.persist()
	o.heartbeat()
	assignment.RecallRequested = true
	recalled := o.put(assignmentKeyOfJob, assignment)
	if recalled == created {
		t.Fatal("one version")
	}
	o.follow()
	o.place()
	o.expectReleased(0)
	for range 3 {
		o.heartbeat() // the tasks stop
	}
	o.expectAllocated(o.place(), nil)
	o.expectReleased(0)
	o.persist()
	o.expectReleased(recalled)
}

// A job that comes to a shard for the second time is not known there any more, or goes on from what
// was recorded before it came for the first time.
func TestRecalledJobIsForgottenAndTakenUpAnew(t *testing.T) {
	for name, together := range map[string]bool{"one by one": false, "deleted and assigned at once": true} {
		t.Run(name, func(t *testing.T) {
			o := newHandoverOwner(t)
			o.recover()
			assignment := continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 7}))
			o.put(assignmentKeyOfJob, assignment)
			o.follow()
			assignment.RecallRequested = true
			o.put(assignmentKeyOfJob, assignment)
			o.follow()
			o.persist()
			o.commit(wire.Change{Delete: assignmentKeyOfJob})
			if !together {
				o.follow()
				if left := retainedAtOwner(o.ShardOwner); len(left) > 0 {
					t.Errorf("retained: %v", left)
				}
			}
			version := o.put(assignmentKeyOfJob, continuedAssignment(o.putChunk(0, []int{0}, [2]int{1, 11})))
			o.follow()
			o.expectAllocated(o.place(), map[int]uint64{1: 12, 2: 1, 3: 1, 4: 1, 5: 1})
			if got := o.assignments["j-1"].Version(); got != version {
				t.Errorf("version %d of the assignment, want %d", got, version)
			}
		})
	}
}

// A controller of a version that does not know of such assignments begins their jobs anew.
func TestVersionsBeforeFindNoJobInAContinuedAssignment(t *testing.T) {
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
		t.Errorf("it finds %+v", before.Job)
	}
}
