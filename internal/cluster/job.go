package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/jobclass"
	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// TaskChunk is the record of some of a job's tasks.
type TaskChunk struct {
	Job           *Job
	Index         int
	Allocations   []*Allocation
	MemoryVersion uint64        // version of what is in memory
	StoredVersion uint64        // version known to be in the store
	KeyRevision   uint64        // the key's version in the store
	Stored        bool          // the key is in the store, in the form of this chunk
	HandedOver    bool          // the key is to be deleted, or is: the owner of the job's shard has its own
	Legacy        *LegacyRecord // the record in the first form that this chunk comes from
}

// Job is a job with its tasks. Its fields are read and changed only on the goroutine that
// owns the state; times are on the steady clock of this process.
type Job struct {
	Spec            wire.Job
	State           JobState
	Tasks           []Task
	Chunks          []*TaskChunk
	Team            *Team // nil: a team without settings, which has no quota
	Class           *Class
	SubmittedAt     micro.Time
	EligibleSince   micro.Time // when its last dependency was done, else its submission
	PriorityLevel   int        // 0 is the highest; inherited from dependents too
	WithinGuarantee bool       // lies within its team's guarantee, see MarkGuarantees

	Progress
	Pipeline
	Assignment
	FailureHistory
	TaskQueue

	tasksPerChunk int
}

// Progress counts a job's tasks.
type Progress struct {
	DoneTasks         int
	RunningTasks      int
	UnallocatedSince  micro.Time // when its last allocation was released; 0: it had none in this term
	AllocationCount   int        // allocations that are not proven released
	AllocationsByZone map[string]int
	Started           bool   // a task of it has run
	GangAttempt       uint32 // the gang's highest attempt number
	GangStopping      bool   // the gang's attempt is being stopped
}

// Pipeline is where a job stands among those that it depends on and that depend on it.
type Pipeline struct {
	UnmetDependencies int        // dependencies whose final status is not stored
	DependencyAborted bool       // a dependency is stored as aborted: so is the job, by derivation
	DeadlineSource    *Job       // the job whose deadline it inherits, perhaps itself; nil: none
	CriticalPath      micro.Time // how long all that comes after it takes, the deadline's job included
}

// Assignment is a job's stay in a shard of the machines, whose owner places its tasks.
type Assignment struct {
	Shard             string // the shard, until the assignment's record is gone
	ReservedTasks     int    // tasks that count against its team's quota meanwhile
	MaxAllocations    int    // allocations at once, as the leader reserved them; 0: any number
	ShardRunningTasks int    // tasks that run there, as the owner last said
	ShardDoneTasks    int    // tasks that are done, as the owner last said

	UnassignedAt micro.Time // when it last came back from a shard in this term; 0: never
}

// FailureHistory is what is known of a job's failed attempts.
type FailureHistory = quarantine.Job

// Class is what has been learnt about a class of jobs.
type Class = jobclass.Class

// EnsureClass finds or makes a class.
func (s *State) EnsureClass(name string) *Class {
	class := s.Classes[name]
	if class == nil {
		class = jobclass.New(name)
		s.Classes[name] = class
	}
	return class
}

// AddJob takes in a job; a known one is returned as it is. One with dependencies holds nothing
// of its team's guarantee, and is not scheduled, until each of their final statuses is known to
// be in the store.
func (s *State) AddJob(spec wire.Job, submitted, _ micro.Time) *Job {
	if job := s.Jobs[spec.ID]; job != nil {
		return job
	}
	job := &Job{
		Spec: spec, Tasks: make([]Task, spec.Tasks), SubmittedAt: submitted, EligibleSince: submitted,
		Team: s.Teams[spec.Team], Class: s.EnsureClass(spec.Class), PriorityLevel: spec.Priority.Level(),
		Progress: Progress{AllocationsByZone: map[string]int{}}, tasksPerChunk: s.TasksPerChunk,
	}
	for index := 0; index*job.tasksPerChunk < spec.Tasks; index++ {
		job.Chunks = append(job.Chunks, &TaskChunk{Job: job, Index: index})
	}
	s.Jobs[spec.ID] = job
	if len(spec.Dependencies) > 0 {
		job.State = Blocked
		s.BlockedJobs++
		s.awaitDependencies(job)
	} else {
		s.activateJob(job)
	}
	s.inheritFromDependents(job)
	s.propagateToDependencies(job)
	return job
}

// Chunk is the record that holds a task.
func (j *Job) Chunk(index int) *TaskChunk { return j.Chunks[index/j.tasksPerChunk] }

// markChunkDirty notes that a task's record changed.
func (s *State) markChunkDirty(job *Job, index int) *TaskChunk {
	chunk := job.Chunk(index)
	chunk.MemoryVersion++
	s.ChunkDirty(chunk)
	return chunk
}

// finishTask notes that a task is done.
func (s *State) finishTask(job *Job, index int, now micro.Time) {
	task := &job.Tasks[index]
	if task.Done || job.State == Done || job.State == Aborted {
		return
	}
	task.Done = true
	if job.DoneTasks++; job.DoneTasks == 1 {
		s.recordFirstCompletion(job, now)
	}
	if job.HoldsTask(job.Tasks, index) {
		s.dequeue(job, index)
	}
	s.markChunkDirty(job, index)
	if job.DoneTasks == len(job.Tasks) && job.State == Active {
		s.transitionJob(job, Finishing)
		s.JobFinished(job)
	}
}

// Allocations lists the allocations of the job's tasks.
func (j *Job) Allocations() []*Allocation {
	var out []*Allocation
	for _, chunk := range j.Chunks {
		out = append(out, chunk.Allocations...)
	}
	return out
}

// Status is the job's status as users see it.
func (j *Job) Status() wire.JobStatus {
	status := wire.JobStatus{
		ID: j.Spec.ID, State: wire.JobPending, Done: max(j.DoneTasks, j.ShardDoneTasks),
		Running: j.RunningTasks + j.ShardRunningTasks,
	}
	switch {
	case j.State == Assigned && j.ShardRunningTasks > 0:
		status.State = wire.JobRunning
	case j.State == Done:
		status.State, status.Done, status.Running = wire.JobDone, len(j.Tasks), 0
	case j.State == Aborted, j.DependencyAborted:
		status.State = wire.JobAborted
	case j.RunningTasks > 0 || j.Started && j.AllocationCount > 0:
		status.State = wire.JobRunning
	}
	return status
}

// maxListedDependencies is how many of a job's unmet dependencies its user is told.
const maxListedDependencies = 10

// PendingDependencies names some of the jobs that a job still waits for.
func (s *State) PendingDependencies(job *Job) []string {
	var ids []string
	if job.State != Blocked {
		return nil
	}
	for _, id := range job.Spec.Dependencies {
		if _, final := s.FinalStatuses[id]; !final {
			if ids = append(ids, id); len(ids) == maxListedDependencies {
				break
			}
		}
	}
	return ids
}
