// Package taskqueue holds a job's tasks in the order in which they are placed: first those
// that were put back, then all that never had an allocation, by index. It locks nothing: a
// queue belongs to the goroutine that owns the cluster's state.
package taskqueue

import (
	"slices"

	"notchmux.dev/notchmux/internal/micro"
)

// Task is one task of a job.
type Task struct {
	Attempt         uint32 // the highest attempt number used
	AllocationCount uint8  // allocations not proven released
	Done            bool
	Requeued        bool // put back, and waits for an allocation
	Failures        uint8
	NotBefore       micro.Time // the next try, on the steady clock
}

// The pauses of a task after failures: baseBackoff, doubled with each up to maxBackoffShift.
const (
	baseBackoff     = 250 * micro.Millisecond
	maxBackoffShift = 6
)

// BackOff puts off the task's next try after a failure.
func (t *Task) BackOff(now micro.Time) {
	if t.Failures < maxBackoffShift {
		t.Failures++
	}
	t.NotBefore = now + baseBackoff<<t.Failures
}

// needsAllocation reports whether a task is neither done nor allocated.
func (t *Task) needsAllocation() bool { return !t.Done && t.AllocationCount == 0 }

// Queue holds the tasks of a job that wait for an allocation. The job keeps the tasks.
type Queue struct {
	WaitingSince       micro.Time // since when it waits and none of its tasks was allocated
	WaitReasonLoggedAt micro.Time // when operators were last told why it waits
	Throttled          bool       // its tasks were kept from resources that were free

	firstNeverDequeued int // tasks from here on never had an allocation and were never put back
	requeued           []int32
}

// QueueLength is how many of the job's tasks wait.
func (q *Queue) QueueLength(tasks []Task) int {
	return len(q.requeued) + len(tasks) - q.firstNeverDequeued
}

// NeverDequeued reports whether the queue still holds all tasks in their first order.
func (q *Queue) NeverDequeued() bool { return q.firstNeverDequeued == 0 }

// HoldsTask reports whether a task waits.
func (q *Queue) HoldsTask(tasks []Task, index int) bool {
	return tasks[index].Requeued || index >= q.firstNeverDequeued
}

// RequeueTask queues a task that lost its allocation; false if it needs none, or waits already.
func (q *Queue) RequeueTask(tasks []Task, index int) bool {
	task := &tasks[index]
	if !task.needsAllocation() || q.HoldsTask(tasks, index) {
		return false
	}
	task.Requeued = true
	q.requeued = append(q.requeued, int32(index))
	return true
}

// NextWaiting gives up to limit tasks that may be placed now, without taking them.
func (q *Queue) NextWaiting(tasks []Task, now micro.Time, limit int) []int {
	var indices []int
	for _, i := range q.requeued {
		if len(indices) == limit {
			return indices
		}
		if task := &tasks[i]; task.NotBefore <= now && task.needsAllocation() {
			indices = append(indices, int(i))
		}
	}
	for i := q.firstNeverDequeued; i < len(tasks) && len(indices) < limit; i++ {
		if tasks[i].needsAllocation() {
			indices = append(indices, i)
		}
	}
	return indices
}

// RemoveTask takes a task from the queue.
func (q *Queue) RemoveTask(tasks []Task, index int) {
	if index >= q.firstNeverDequeued {
		q.requeueSkipped(tasks, index)
		q.firstNeverDequeued = index + 1
	} else {
		if position := slices.Index(q.requeued, int32(index)); position >= 0 {
			q.requeued = slices.Delete(q.requeued, position, position+1)
		}
		tasks[index].Requeued = false
	}
	for q.firstNeverDequeued < len(tasks) && !tasks[q.firstNeverDequeued].needsAllocation() {
		q.firstNeverDequeued++
	}
}

// requeueSkipped queues the tasks before the given one that were never queued.
func (q *Queue) requeueSkipped(tasks []Task, before int) {
	for index := q.firstNeverDequeued; index < before; index++ {
		if task := &tasks[index]; task.needsAllocation() && !task.Requeued {
			task.Requeued = true
			q.requeued = append(q.requeued, int32(index))
		}
	}
}
