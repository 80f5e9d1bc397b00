package cluster

import (
	"slices"

	"notchmux.dev/notchmux/internal/micro"
)

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
		if task.NotBefore <= now && task.needsAllocation() {
			indices = append(indices, int(i))
		}
	}
	for i := j.firstUnqueued; i < len(j.Tasks) && len(indices) < limit; i++ {
		if j.Tasks[i].needsAllocation() {
			indices = append(indices, i)
		}
	}
	return indices
}

// dequeue removes a task from the line.
func (s *State) dequeue(job *Job, index int) {
	if index >= job.firstUnqueued {
		job.queueSkippedTasks(index)
		job.firstUnqueued = index + 1
	} else {
		if position := slices.Index(job.requeuedTasks, int32(index)); position >= 0 {
			job.requeuedTasks = append(job.requeuedTasks[:position], job.requeuedTasks[position+1:]...)
		}
		job.Tasks[index].Queued = false
	}
	for job.firstUnqueued < len(job.Tasks) && !job.Tasks[job.firstUnqueued].needsAllocation() {
		job.firstUnqueued++
	}
	if job.PendingTasks() == 0 {
		delete(s.PendingJobs, job)
	}
}

// queueSkippedTasks queues the tasks before the given one that were never queued.
func (j *Job) queueSkippedTasks(before int) {
	for index := j.firstUnqueued; index < before; index++ {
		if task := &j.Tasks[index]; task.needsAllocation() && !task.Queued {
			task.Queued = true
			j.requeuedTasks = append(j.requeuedTasks, int32(index))
		}
	}
}

// needsAllocation reports whether a task is neither done nor allocated.
func (t *Task) needsAllocation() bool { return !t.Done && t.AllocationCount == 0 }
