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

// PendingTasks returns the number of tasks that wait for an allocation.
func (j *Job) PendingTasks() int {
	if j.State != Active {
		return 0
	}
	return j.QueueLength(j.Tasks)
}

// NextTasks returns up to limit tasks that may be placed now, without removing them from the queue.
func (j *Job) NextTasks(now micro.Time, limit int) []int {
	if j.State != Active || j.InBackoff(now) {
		return nil
	}
	return j.NextWaiting(j.Tasks, now, limit)
}

// requeue puts a task back into the queue.
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

// dequeue removes a task from the queue.
func (s *State) dequeue(job *Job, index int) {
	job.RemoveTask(job.Tasks, index)
	if job.PendingTasks() == 0 {
		delete(s.PendingJobs, job)
	}
}
