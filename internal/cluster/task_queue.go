package cluster

import (
	"notchmux.dev/notchmux/internal/cluster/taskqueue"
	"notchmux.dev/notchmux/internal/micro"
)

type (
	// Task is one task of a job.
	Task = taskqueue.Task
	// TaskQueue holds the tasks of a job that wait for an allocation.
	TaskQueue = taskqueue.Queue
)

// PendingTasks is how many tasks wait for an allocation.
func (j *Job) PendingTasks() int {
	if j.State != Active {
		return 0
	}
	return j.QueueLength(j.Tasks)
}

// NextTasks gives up to limit tasks that may be placed now, without taking them.
func (j *Job) NextTasks(now micro.Time, limit int) []int {
	if j.State != Active || j.InBackoff(now) {
		return nil
	}
	return j.NextWaiting(j.Tasks, now, limit)
}

// requeue puts a task back in line.
func (s *State) requeue(job *Job, index int, now micro.Time) {
	if job.State != Active || !job.RequeueTask(job.Tasks, index) {
		return
	}
	if !s.PendingJobs[job] {
		s.PendingJobs[job] = true
		job.WaitingSince = now
	}
	s.ScheduleSoon()
}

// dequeue removes a task from the line.
func (s *State) dequeue(job *Job, index int) {
	job.RemoveTask(job.Tasks, index)
	if job.PendingTasks() == 0 {
		delete(s.PendingJobs, job)
	}
}
