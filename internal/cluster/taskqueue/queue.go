// Package taskqueue holds a job's tasks in the order in which they are placed: first the requeued
// ones, then all that never had an allocation, by index. It does no locking: a queue belongs to the
// goroutine that owns the cluster state.
package taskqueue

import (
	"slices"

	"notchmux.dev/notchmux/internal/micro"
)

// Task is one task of a job.
type Task struct {
	Attempt         uint32 // highest attempt number used
	AllocationCount uint8  // allocations that are not proven released
	Done            bool
	Requeued        bool // requeued after losing its allocation, and still waiting
	Failures        uint8
	NotBefore       micro.Time // time of the next try, on the monotonic clock
}

// Backoff of a task after failures: baseBackoff, doubled with each failure up to maxBackoffShift
// times.
const (
	baseBackoff     = 250 * micro.Millisecond
	maxBackoffShift = 6
)

// BackOff postpones the task's next try after a failure.
func (t *Task) BackOff(now micro.Time) {
	if t.Failures < maxBackoffShift {
		t.Failures++
	}
	t.NotBefore = now + baseBackoff<<t.Failures
}

// needsAllocation reports whether the task is neither done nor allocated.
func (t *Task) needsAllocation() bool { return !t.Done && t.AllocationCount == 0 }

// Queue holds the tasks of a job that wait for an allocation. The tasks themselves are kept by the
// job.
type Queue struct {
	WaitingSince       micro.Time // since when it has been waiting without any allocation being made
	WaitReasonLoggedAt micro.Time // when the reason why it waits was last logged
	Throttled          bool       // its tasks were held back although resources were free

	firstNeverDequeued int // tasks from this index on never had an allocation and were never requeued
	requeued           []int32
}

// QueueLength returns the number of the job's tasks that wait.
func (q *Queue) QueueLength(tasks []Task) int {
	return len(q.requeued) + len(tasks) - q.firstNeverDequeued
}

// NeverDequeued reports whether the queue still holds all tasks in their initial order.
func (q *Queue) NeverDequeued() bool { return q.firstNeverDequeued == 0 }

// HoldsTask reports whether a task waits in the queue.
func (q *Queue) HoldsTask(tasks []Task, index int) bool {
	return tasks[index].Requeued || index >= q.firstNeverDequeued
}

// RequeueTask queues a task that lost its allocation. It returns false if the task needs no
// allocation or is queued already.
func (q *Queue) RequeueTask(tasks []Task, index int) bool {
	task := &tasks[index]
	if !task.needsAllocation() || q.HoldsTask(tasks, index) {
		return false
	}
	task.Requeued = true
	q.requeued = append(q.requeued, int32(index))
	return true
}

// NextWaiting returns up to limit tasks that may be placed now, without removing them from the
// queue.
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

// RemoveTask removes a task from the queue.
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

// requeueSkipped requeues the tasks before the given one that were never dequeued.
func (q *Queue) requeueSkipped(tasks []Task, before int) {
	for index := q.firstNeverDequeued; index < before; index++ {
		if task := &tasks[index]; task.needsAllocation() && !task.Requeued {
			task.Requeued = true
			q.requeued = append(q.requeued, int32(index))
		}
	}
}
