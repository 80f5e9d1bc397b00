package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/jobclass"
	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// TaskChunk is a group of a job's tasks that are stored in one record.
type TaskChunk struct {
	Job           *Job
	Index         int
	Allocations   []*Allocation
	MemoryVersion uint64        // version of the state in memory
	StoredVersion uint64        // latest version known to be in the store
	KeyRevision   uint64        // revision of the chunk's key in the store
	Stored        bool          // the key is in the store, in this chunk's format
	HandedOver    bool          // the key is deleted or to be deleted, because the owner of the job's shard has its own
	Legacy        *LegacyRecord // the legacy format record that this chunk was migrated from
}

// Job is a job with its tasks. Its fields may be accessed only on the goroutine that owns the
// state. Times are on this process's monotonic clock.
type Job struct {
	Spec            wire.Job
	State           JobState
	Tasks           []Task
	Chunks          []*TaskChunk
	Team            *Team // nil if the team has no settings and therefore no quota
	Class           *Class
	SubmittedAt     micro.Time
	EligibleSince   micro.Time // when its last dependency was done, or its submission if it has none
	PriorityLevel   int        // 0 is the highest; includes the level inherited from dependents
	WithinGuarantee bool       // the job is covered by its team's guarantee, see MarkGuarantees

	Progress
	Pipeline
	Assignment
	FailureHistory
	TaskQueue

	tasksPerChunk int
}

// Progress counts a job's tasks and allocations.
type Progress struct {
	DoneTasks         int
	RunningTasks      int
	UnallocatedSince  micro.Time // when its last allocation was released; 0 if it had none in this term
	AllocationCount   int        // allocations that are not proven released
	AllocationsByZone map[string]int
	Started           bool   // one of its tasks has run
	GangAttempt       uint32 // highest attempt number of the gang
	GangStopping      bool   // the gang's current attempt is being stopped
}

// Pipeline is a job's position among its dependencies and dependents.
type Pipeline struct {
	UnmetDependencies int        // dependencies whose final status is not stored
	DependencyAborted bool       // a dependency is stored as aborted, from which this job's abort follows
	DeadlineSource    *Job       // the job whose deadline it inherits, possibly itself; nil if none
	CriticalPath      micro.Time // expected duration of the jobs that follow it, up to and including DeadlineSource
}

// Assignment describes a job that is assigned to a shard, whose owner schedules its tasks.
type Assignment struct {
	Shard             string // the shard, until the assignment record is deleted
	ReservedTasks     int    // tasks that count against the quota of its team while it is assigned
	MaxAllocations    int    // concurrent allocations that the leader reserved quota for; 0 if unlimited
	ShardRunningTasks int    // running tasks, as last reported by the shard owner
	ShardDoneTasks    int    // done tasks, as last reported by the shard owner

	UnassignedAt micro.Time // when its last assignment ended in this term; 0 if never
}

// FailureHistory records a job's failed attempts.
type FailureHistory = quarantine.Job

// Class holds the statistics learnt about a class of jobs.
type Class = jobclass.Class

// EnsureClass returns the class with the given name, creating it if necessary.
func (s *State) EnsureClass(name string) *Class {
	class := s.Classes[name]
	if class == nil {
		class = jobclass.New(name)
		s.Classes[name] = class
	}
	return class
}

// AddJob adds a job, or returns the existing one if it is known already. A job with dependencies
// uses none of its team's guarantee and is not scheduled until the final statuses of all of them
// are known to be in the store.
func (s *State) AddJob(spec wire.Job, submitted micro.Time) *Job {
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

// Chunk returns the chunk that contains the task with the given index.
func (j *Job) Chunk(index int) *TaskChunk { return j.Chunks[index/j.tasksPerChunk] }

// markChunkDirty records that the stored state of a task changed, and returns its chunk.
func (s *State) markChunkDirty(job *Job, index int) *TaskChunk {
	chunk := job.Chunk(index)
	chunk.MemoryVersion++
	s.ChunkDirty(chunk)
	return chunk
}

// finishTask marks a task as done.
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

// Allocations returns the allocations of the job's tasks.
func (j *Job) Allocations() []*Allocation {
	var out []*Allocation
	for _, chunk := range j.Chunks {
		out = append(out, chunk.Allocations...)
	}
	return out
}

// OwnStatus returns the status that follows from the state of the job itself. Unless it is final,
// the status that is reported to users also depends on the job's dependencies, see jobstatus.Derive.
func (j *Job) OwnStatus() wire.JobStatus {
	status := wire.JobStatus{
		ID: j.Spec.ID, State: wire.JobPending, Done: max(j.DoneTasks, j.ShardDoneTasks),
		Running: j.RunningTasks + j.ShardRunningTasks,
	}
	switch {
	case j.State == Assigned && j.ShardRunningTasks > 0:
		status.State = wire.JobRunning
	case j.State == Done:
		status.State, status.Done, status.Running = wire.JobDone, len(j.Tasks), 0
	case j.State == Aborted:
		status.State = wire.JobAborted
	case j.RunningTasks > 0 || j.Started && j.AllocationCount > 0:
		status.State = wire.JobRunning
	}
	return status
}
