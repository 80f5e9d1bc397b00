package cluster

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// LegacyTasksPerChunk is how many tasks share one record in the store, in its first form.
const LegacyTasksPerChunk = 128

// JobState is a job's state in the leader's picture.
type JobState uint8

// The states of a job.
const (
	Active    JobState = iota
	Finishing          // all tasks are done, its end is being written
	Aborting           // its withdrawal is being written
	Done
	Aborted
	Blocked  // for other jobs to be done
	Assigned // to a share of the machines: its owner places it
)

func (s JobState) String() string {
	return [...]string{"active", "finishing", "aborting", "done", "aborted", "awaiting", "assigned"}[s]
}

var jobTransitions = map[[2]JobState]bool{
	{Active, Finishing}: true, {Active, Aborting}: true, {Finishing, Done}: true,
	{Finishing, Aborted}: true, {Aborting, Aborted}: true, {Aborting, Done}: true,
	{Active, Done}: true, {Active, Aborted}: true,
	{Blocked, Active}: true, {Blocked, Aborting}: true, {Blocked, Aborted}: true,
	{Active, Assigned}: true, {Assigned, Active}: true, {Assigned, Aborting}: true,
	{Assigned, Finishing}: true, {Assigned, Done}: true, {Assigned, Aborted}: true,
}

// Task is one task of a job.
type Task struct {
	Attempt         uint32 // the highest attempt number used
	AllocationCount uint8  // places not proven free
	Done            bool
	Queued          bool
	Failures        uint8
	NotBefore       micro.Time
}

// TaskChunk is the record of some of a job's tasks.
type TaskChunk struct {
	Job           *Job
	Index         int
	Allocations   []*Allocation
	MemoryVersion uint64        // version of what is in memory
	StoredVersion uint64        // version known to be in the store
	KeyRevision   uint64        // the key's version in the store
	Stored        bool          // the key is in the store, in the form of this chunk
	Legacy        *LegacyRecord // the record in the first form that this chunk comes from
}

// Job is a job with its tasks.
type Job struct {
	Spec              wire.Job
	State             JobState
	Tasks             []Task
	Chunks            []*TaskChunk
	Team              *Team
	Class             *Class
	SubmittedAt       micro.Time // on the steady clock
	EligibleSince     micro.Time // when the last job that it awaited was done, else its submission
	UnmetDependencies int        // jobs that it awaits whose end is not stored
	DependencyAborted bool       // a job that it needs is stored as aborted: so is it, by derivation
	DeadlineSource    *Job       // the job whose deadline it inherits, perhaps itself; nil: none
	CriticalPath      micro.Time // how long all that comes after it takes, the heir included
	DoneTasks         int
	RunningTasks      int
	AllocationCount   int
	AllocationsByZone map[string]int
	GangAttempt       uint32
	GangStopping      bool // the gang's attempt is being wound up
	FailedOn          map[string]bool
	Failures          int // attempts that ended with an error
	NotBefore         micro.Time
	Throttled         bool // Openings kept its tasks from room that was free

	LongestFailure micro.Time // the longest that a task ran before it failed

	failuresDismissed  bool       // no machine is held responsible for its failures
	WaitingSince       micro.Time // since when it waits and none of its tasks was given a place
	WaitReasonLoggedAt micro.Time // when operators were last told why it waits
	PriorityLevel      int
	Started            bool
	WithinGuarantee    bool // lies within its team's guarantee, see MarkGuarantees

	Shard             string // the share that it is assigned to, until its assignment's record is gone
	ReservedTasks     int    // tasks that count against its team's limit meanwhile
	MaxAllocations    int    // tasks that may have places at once, as the leader reserved them; 0: any number
	ShardRunningTasks int    // tasks that run there, as its owner last said
	ShardDoneTasks    int    // tasks that are done there

	firstUnqueued int     // tasks from here on were never queued
	requeuedTasks []int32 // tasks to place again
	tasksPerChunk int     // tasks of a chunk
}

// IsTerminal reports whether the job's end is in the store.
func (j *Job) IsTerminal() bool { return j.State == Done || j.State == Aborted }

// transitionJob is the one place where a job's state changes.
func (s *State) transitionJob(job *Job, to JobState) {
	if job.State == to {
		return
	}
	if !jobTransitions[[2]JobState{job.State, to}] {
		s.Log("job state refused", "job", job.Spec.ID, "from", job.State.String(), "to", to.String())
		return
	}
	if job.State == Blocked {
		s.BlockedJobs--
	}
	job.State = to
	switch to {
	case Active:
		s.activateJob(job)
	case Assigned: // it still takes its part of its team's guarantee
		delete(s.PendingJobs, job)
		delete(s.ActiveJobs, job)
	default:
		delete(s.PendingJobs, job)
		delete(s.ActiveJobs, job)
		s.leaveTeam(job)
	}
}

func (s *State) leaveTeam(job *Job) {
	if job.Team == nil {
		return
	}
	unfinished := job.Team.unfinished
	for i, other := range unfinished {
		if other == job {
			job.Team.unfinished = append(unfinished[:i], unfinished[i+1:]...)
			break
		}
	}
}

// AddJob takes in a job; a known one is returned as it is. One that awaits others
// holds nothing of its team's guarantee, and nothing is placed, until each of
// their ends is known to be in the store.
func (s *State) AddJob(spec wire.Job, submitted, now micro.Time) *Job {
	if job := s.Jobs[spec.ID]; job != nil {
		return job
	}
	job := &Job{
		Spec: spec, Tasks: make([]Task, spec.Tasks), SubmittedAt: submitted, EligibleSince: submitted,
		Team: s.Teams[spec.Team], Class: s.EnsureClass(spec.Class), PriorityLevel: spec.Priority.Level(),
		AllocationsByZone: map[string]int{}, tasksPerChunk: s.TasksPerChunk,
	}
	for index := 0; index*job.tasksPerChunk < spec.Tasks; index++ {
		job.Chunks = append(job.Chunks, &TaskChunk{Job: job, Index: index})
	}
	s.Jobs[spec.ID] = job
	if len(spec.Dependencies) > 0 {
		job.State = Blocked
		s.BlockedJobs++
		s.awaitDependencies(job, now)
	} else {
		s.activateJob(job)
	}
	s.inheritFromDependents(job)
	s.propagateToDependencies(job)
	return job
}

// activateJob lets a job compete for room.
func (s *State) activateJob(job *Job) {
	s.ActiveJobs[job] = true
	s.PendingJobs[job] = true
	job.WaitingSince = max(job.EligibleSince, s.TermStartedAt) // no leader looks for room in its predecessor's time
	if job.Team != nil {
		// Kept in the order in which they could start, for guarantees.
		unfinished := append(job.Team.unfinished, job)
		for i := len(unfinished) - 1; i > 0 && unfinished[i-1].EligibleSince > unfinished[i].EligibleSince; i-- {
			unfinished[i-1], unfinished[i] = unfinished[i], unfinished[i-1]
		}
		job.Team.unfinished = unfinished
	}
	job.Class.LastJob = &job.Spec
	job.Class.jobCount++
	job.Class.MeanImageGB += (job.Spec.ImageGB - job.Class.MeanImageGB) / job.Class.jobCount
	for range min(job.Spec.Tasks, 50) {
		job.Class.Arrivals = append(job.Class.Arrivals, job.EligibleSince)
	}
	if arrivals := len(job.Class.Arrivals); arrivals > 400 {
		job.Class.Arrivals = append([]micro.Time(nil), job.Class.Arrivals[arrivals-200:]...)
	}
	s.ScheduleSoon()
}

// MarkGuarantees marks the active jobs that fit their team's guarantee together
// with the team's earlier unfinished jobs. An amount of 0 guarantees nothing of
// that kind, and a team without any guarantee has none.
func (s *State) MarkGuarantees() {
	for _, team := range s.Teams {
		if team.GuaranteedCPUs <= 0 && team.GuaranteedGPUs <= 0 {
			continue
		}
		var cpus, gpus float64
		for _, job := range team.unfinished {
			remaining := float64(len(job.Tasks) - job.DoneTasks)
			cpus += remaining * job.Spec.CPUs
			gpus += remaining * job.Spec.GPUs
			job.WithinGuarantee = (team.GuaranteedCPUs <= 0 || cpus <= team.GuaranteedCPUs) &&
				(team.GuaranteedGPUs <= 0 || gpus <= team.GuaranteedGPUs)
		}
	}
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

// PendingTasks is how many tasks wait for a place.
func (j *Job) PendingTasks() int {
	if j.State != Active {
		return 0
	}
	return len(j.requeuedTasks) + len(j.Tasks) - j.firstUnqueued
}

// requeue puts a task back in line.
func (s *State) requeue(job *Job, index int, now micro.Time) {
	task := &job.Tasks[index]
	if job.State != Active || task.Done || task.Queued || task.AllocationCount > 0 || index >= job.firstUnqueued {
		return
	}
	task.Queued = true
	job.requeuedTasks = append(job.requeuedTasks, int32(index))
	if !s.PendingJobs[job] {
		s.PendingJobs[job] = true
		job.WaitingSince = now
	}
	s.ScheduleSoon()
}

// NextTasks gives up to n tasks that may be placed now, without taking them.
func (j *Job) NextTasks(now micro.Time, limit int) []int {
	if j.State != Active || j.InBackoff(now) {
		return nil
	}
	var indices []int
	for _, i := range j.requeuedTasks {
		if len(indices) == limit {
			return indices
		}
		task := &j.Tasks[i]
		if task.NotBefore <= now && task.AllocationCount == 0 && !task.Done {
			indices = append(indices, int(i))
		}
	}
	for i := j.firstUnqueued; i < len(j.Tasks) && len(indices) < limit; i++ {
		if task := &j.Tasks[i]; task.AllocationCount == 0 && !task.Done {
			indices = append(indices, i)
		}
	}
	return indices
}

// dequeue removes a task from the line.
func (s *State) dequeue(job *Job, index int) {
	if index >= job.firstUnqueued {
		for other := job.firstUnqueued; other < index; other++ { // skipped ones go to the queue
			if task := &job.Tasks[other]; !task.Done && task.AllocationCount == 0 && !task.Queued {
				task.Queued = true
				job.requeuedTasks = append(job.requeuedTasks, int32(other))
			}
		}
		job.firstUnqueued = index + 1
	} else {
		for position, other := range job.requeuedTasks {
			if int(other) == index {
				job.requeuedTasks = append(job.requeuedTasks[:position], job.requeuedTasks[position+1:]...)
				break
			}
		}
		job.Tasks[index].Queued = false
	}
	for job.firstUnqueued < len(job.Tasks) && (job.Tasks[job.firstUnqueued].Done || job.Tasks[job.firstUnqueued].AllocationCount > 0) {
		job.firstUnqueued++
	}
	if job.PendingTasks() == 0 {
		delete(s.PendingJobs, job)
	}
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
	if task.Queued || index >= job.firstUnqueued {
		s.dequeue(job, index)
	}
	s.markChunkDirty(job, index)
	if job.DoneTasks == len(job.Tasks) && job.State == Active {
		s.transitionJob(job, Finishing)
		s.JobFinished(job)
	}
}

// BeginAbort notes that a withdrawal is about to be written.
func (s *State) BeginAbort(job *Job) { s.transitionJob(job, Aborting) }

// FinalizeJob settles a job for good and winds its tasks up.
func (s *State) FinalizeJob(job *Job, aborted bool, now micro.Time) {
	if aborted {
		s.transitionJob(job, Aborted)
	} else {
		s.transitionJob(job, Done)
	}
	for _, allocation := range job.Allocations() {
		s.StopAllocation(allocation, "job over", 0, now)
	}
	s.ApplyFinalStatus(job.Spec.ID, FinalStatus{Aborted: aborted, EndedAt: now}, now)
	s.ScheduleSoon()
}

// Allocations lists the places that the job's tasks hold.
func (j *Job) Allocations() []*Allocation {
	var out []*Allocation
	for _, chunk := range j.Chunks {
		out = append(out, chunk.Allocations...)
	}
	return out
}

// Status is what a user is told.
func (j *Job) Status() wire.JobStatus {
	status := wire.JobStatus{
		ID: j.Spec.ID, State: wire.JobPending, Done: j.DoneTasks + j.ShardDoneTasks,
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

// maxListedDependencies is how many of the jobs that a job waits for its user is told.
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
