package model

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// ChunkTasks is how many tasks share one record in the store, in its first form.
const ChunkTasks = 128

// JobState is a job's state in the leader's picture.
type JobState uint8

// The states of a job.
const (
	Active    JobState = iota
	Finishing          // all tasks are done, its end is being written
	Aborting           // its withdrawal is being written
	Done
	Aborted
	Awaiting // for other jobs to be done
	Assigned // to a share of the machines: its owner places it
)

func (s JobState) String() string {
	return [...]string{"active", "finishing", "aborting", "done", "aborted", "awaiting", "assigned"}[s]
}

var jobMoves = map[[2]JobState]bool{
	{Active, Finishing}: true, {Active, Aborting}: true, {Finishing, Done}: true,
	{Finishing, Aborted}: true, {Aborting, Aborted}: true, {Aborting, Done}: true,
	{Active, Done}: true, {Active, Aborted}: true,
	{Awaiting, Active}: true, {Awaiting, Aborting}: true, {Awaiting, Aborted}: true,
	{Active, Assigned}: true, {Assigned, Active}: true, {Assigned, Aborting}: true,
	{Assigned, Finishing}: true, {Assigned, Done}: true, {Assigned, Aborted}: true,
}

// Task is one task of a job.
type Task struct {
	Attempt   uint32 // the highest attempt number used
	Held      uint8  // places not proven free
	Done      bool
	Queued    bool
	Fails     uint8
	NotBefore micro.Time
}

// Chunk is the record of some of a job's tasks.
type Chunk struct {
	Job    *Job
	N      int
	Places []*Place
	Ver    uint64 // version of what is in memory
	Saved  uint64 // version known to be in the store
	Stamp  uint64 // the key's version in the store
	Stored bool   // the key is in the store, in the form of this chunk
	Old    *Old   // the record in the first form that this chunk comes from
}

// Job is a job with its tasks.
type Job struct {
	Spec      wire.Job
	State     JobState
	Tasks     []Task
	Chunks    []*Chunk
	Team      *Team
	Class     *Class
	Submitted micro.Time // on the steady clock
	Since     micro.Time // when the last job that it awaited was done, else its submission
	Unmet     int        // jobs that it awaits whose end is not stored
	Doomed    bool       // a job that it needs is stored as aborted: so is it, by derivation
	Heir      *Job       // the job whose deadline it inherits, perhaps itself; nil: none
	Tail      micro.Time // how long all that comes after it takes, the heir included
	DoneN     int
	RunningN  int
	HeldN     int
	ZoneHeld  map[string]int
	GangTry   uint32
	GangStop  bool // the gang's attempt is being wound up
	FailedOn  map[string]bool
	Failures  int // attempts that ended with an error
	NotBefore micro.Time
	HeldBack  bool // Openings kept its tasks from room that was free

	LongestFailure micro.Time // the longest that a task ran before it failed

	exonerated bool       // no machine is held responsible for its failures
	WaitsFrom  micro.Time // since when it waits and none of its tasks was given a place
	Explained  micro.Time // when operators were last told why it waits
	Level      int
	Started    bool
	Guar       bool // lies within its team's guarantee, see MarkGuarantees

	Share     string // the share that it is assigned to, until its assignment's record is gone
	Reserved  int    // tasks that count against its team's limit meanwhile
	Most      int    // tasks that may have places at once, as the leader reserved them; 0: any number
	SharedRun int    // tasks that run there, as its owner last said
	SharedDid int    // tasks that are done there

	fresh int     // tasks from here on were never queued
	queue []int32 // tasks to place again
	per   int     // tasks of a chunk
}

// Over reports whether the job's end is in the store.
func (j *Job) Over() bool { return j.State == Done || j.State == Aborted }

// become is the one place where a job's state changes.
func (c *Cluster) become(j *Job, to JobState) {
	if j.State == to {
		return
	}
	if !jobMoves[[2]JobState{j.State, to}] {
		c.Log("job state refused", "job", j.Spec.ID, "from", j.State.String(), "to", to.String())
		return
	}
	if j.State == Awaiting {
		c.AwaitingN--
	}
	j.State = to
	switch to {
	case Active:
		c.enter(j)
	case Assigned: // it still takes its part of its team's guarantee
		delete(c.Pending, j)
		delete(c.Live, j)
	default:
		delete(c.Pending, j)
		delete(c.Live, j)
		c.leaveTeam(j)
	}
}

func (c *Cluster) leaveTeam(j *Job) {
	if j.Team == nil {
		return
	}
	u := j.Team.unfinished
	for i, x := range u {
		if x == j {
			j.Team.unfinished = append(u[:i], u[i+1:]...)
			break
		}
	}
}

// AddJob takes in a job; a known one is returned as it is. One that awaits others
// holds nothing of its team's guarantee, and nothing is placed, until each of
// their ends is known to be in the store.
func (c *Cluster) AddJob(spec wire.Job, submitted, now micro.Time) *Job {
	if j := c.Jobs[spec.ID]; j != nil {
		return j
	}
	j := &Job{
		Spec: spec, Tasks: make([]Task, spec.Tasks), Submitted: submitted, Since: submitted,
		Team: c.Teams[spec.Team], Class: c.Class(spec.Class), Level: spec.Priority.Level(),
		ZoneHeld: map[string]int{}, per: c.PerChunk,
	}
	for n := 0; n*j.per < spec.Tasks; n++ {
		j.Chunks = append(j.Chunks, &Chunk{Job: j, N: n})
	}
	c.Jobs[spec.ID] = j
	if len(spec.Needs) > 0 {
		j.State = Awaiting
		c.AwaitingN++
		c.await(j, now)
	} else {
		c.enter(j)
	}
	c.inherit(j)
	c.passBack(j)
	return j
}

// enter lets a job compete for room.
func (c *Cluster) enter(j *Job) {
	c.Live[j] = true
	c.Pending[j] = true
	j.WaitsFrom = max(j.Since, c.Began) // no leader looks for room in its predecessor's time
	if j.Team != nil {
		// Kept in the order in which they could start, for guarantees.
		u := append(j.Team.unfinished, j)
		for i := len(u) - 1; i > 0 && u[i-1].Since > u[i].Since; i-- {
			u[i-1], u[i] = u[i], u[i-1]
		}
		j.Team.unfinished = u
	}
	j.Class.Last = &j.Spec
	j.Class.jobs++
	j.Class.ImageGB += (j.Spec.ImageGB - j.Class.ImageGB) / j.Class.jobs
	for range min(j.Spec.Tasks, 50) {
		j.Class.Arrivals = append(j.Class.Arrivals, j.Since)
	}
	if n := len(j.Class.Arrivals); n > 400 {
		j.Class.Arrivals = append([]micro.Time(nil), j.Class.Arrivals[n-200:]...)
	}
	c.Changed()
}

// MarkGuarantees marks the active jobs that fit their team's guarantee together
// with the team's earlier unfinished jobs. An amount of 0 guarantees nothing of
// that kind, and a team without any guarantee has none.
func (c *Cluster) MarkGuarantees() {
	for _, t := range c.Teams {
		if t.CPUs <= 0 && t.GPUs <= 0 {
			continue
		}
		var cpus, gpus float64
		for _, x := range t.unfinished {
			n := float64(len(x.Tasks) - x.DoneN)
			cpus += n * x.Spec.CPUs
			gpus += n * x.Spec.GPUs
			x.Guar = (t.CPUs <= 0 || cpus <= t.CPUs) && (t.GPUs <= 0 || gpus <= t.GPUs)
		}
	}
}

// Chunk is the record that holds a task.
func (j *Job) Chunk(index int) *Chunk { return j.Chunks[index/j.per] }

// touch notes that a task's record changed.
func (c *Cluster) touch(j *Job, index int) *Chunk {
	ch := j.Chunk(index)
	ch.Ver++
	c.Touch(ch)
	return ch
}

// Waiting is how many tasks wait for a place.
func (j *Job) Waiting() int {
	if j.State != Active {
		return 0
	}
	return len(j.queue) + len(j.Tasks) - j.fresh
}

// requeue puts a task back in line.
func (c *Cluster) requeue(j *Job, index int, now micro.Time) {
	t := &j.Tasks[index]
	if j.State != Active || t.Done || t.Queued || t.Held > 0 || index >= j.fresh {
		return
	}
	t.Queued = true
	j.queue = append(j.queue, int32(index))
	if !c.Pending[j] {
		c.Pending[j] = true
		j.WaitsFrom = now
	}
	c.Changed()
}

// Next gives up to n tasks that may be placed now, without taking them.
func (j *Job) Next(now micro.Time, n int) []int {
	if j.State != Active || j.Paused(now) {
		return nil
	}
	var out []int
	for _, i := range j.queue {
		if len(out) == n {
			return out
		}
		t := &j.Tasks[i]
		if t.NotBefore <= now && t.Held == 0 && !t.Done {
			out = append(out, int(i))
		}
	}
	for i := j.fresh; i < len(j.Tasks) && len(out) < n; i++ {
		if t := &j.Tasks[i]; t.Held == 0 && !t.Done {
			out = append(out, i)
		}
	}
	return out
}

// take removes a task from the line.
func (c *Cluster) take(j *Job, index int) {
	if index >= j.fresh {
		for i := j.fresh; i < index; i++ { // skipped ones go to the queue
			if t := &j.Tasks[i]; !t.Done && t.Held == 0 && !t.Queued {
				t.Queued = true
				j.queue = append(j.queue, int32(i))
			}
		}
		j.fresh = index + 1
	} else {
		for k, i := range j.queue {
			if int(i) == index {
				j.queue = append(j.queue[:k], j.queue[k+1:]...)
				break
			}
		}
		j.Tasks[index].Queued = false
	}
	for j.fresh < len(j.Tasks) && (j.Tasks[j.fresh].Done || j.Tasks[j.fresh].Held > 0) {
		j.fresh++
	}
	if j.Waiting() == 0 {
		delete(c.Pending, j)
	}
}

// finishTask notes that a task is done.
func (c *Cluster) finishTask(j *Job, index int, now micro.Time) {
	t := &j.Tasks[index]
	if t.Done || j.State == Done || j.State == Aborted {
		return
	}
	t.Done = true
	if j.DoneN++; j.DoneN == 1 {
		c.vouch(j, now)
	}
	if t.Queued || index >= j.fresh {
		c.take(j, index)
	}
	c.touch(j, index)
	if j.DoneN == len(j.Tasks) && j.State == Active {
		c.become(j, Finishing)
		c.Finished(j)
	}
}

// BeginAbort notes that a withdrawal is about to be written.
func (c *Cluster) BeginAbort(j *Job) { c.become(j, Aborting) }

// End settles a job for good and winds its tasks up.
func (c *Cluster) End(j *Job, aborted bool, now micro.Time) {
	if aborted {
		c.become(j, Aborted)
	} else {
		c.become(j, Done)
	}
	for _, p := range j.AllPlaces() {
		c.Stop(p, "job over", 0, now)
	}
	c.Settle(j.Spec.ID, End{Aborted: aborted, At: now}, now)
	c.Changed()
}

// AllPlaces lists the places that the job's tasks hold.
func (j *Job) AllPlaces() []*Place {
	var out []*Place
	for _, ch := range j.Chunks {
		out = append(out, ch.Places...)
	}
	return out
}

// Status is what a user is told.
func (j *Job) Status() wire.JobStatus {
	s := wire.JobStatus{ID: j.Spec.ID, State: wire.JobPending, Done: j.DoneN + j.SharedDid, Running: j.RunningN + j.SharedRun}
	switch {
	case j.State == Assigned && j.SharedRun > 0:
		s.State = wire.JobRunning
	case j.State == Done:
		s.State, s.Done, s.Running = wire.JobDone, len(j.Tasks), 0
	case j.State == Aborted, j.Doomed:
		s.State = wire.JobAborted
	case j.RunningN > 0 || j.Started && j.HeldN > 0:
		s.State = wire.JobRunning
	}
	return s
}

// maxNamed is how many of the jobs that a job waits for its user is told.
const maxNamed = 10

// Lacks names some of the jobs that a job still waits for.
func (c *Cluster) Lacks(j *Job) []string {
	var out []string
	if j.State != Awaiting {
		return nil
	}
	for _, id := range j.Spec.Needs {
		if _, over := c.Ends[id]; !over {
			if out = append(out, id); len(out) == maxNamed {
				break
			}
		}
	}
	return out
}
