package taskqueue_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"notchmux.dev/notchmux/internal/cluster/taskqueue"
)

// In whatever order tasks are allocated, lose their allocation and complete, exactly the tasks that
// need an allocation wait, and each of them once.
func TestQueueHoldsExactlyTheTasksThatNeedAnAllocation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue taskqueue.Queue
		tasks := make([]taskqueue.Task, rapid.IntRange(1, 12).Draw(t, "tasks"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			index := rapid.IntRange(0, len(tasks)-1).Draw(t, "task")
			task := &tasks[index]
			switch {
			case task.Done:
			case task.AllocationCount > 0 && rapid.Bool().Draw(t, "lost"):
				task.AllocationCount = 0
				queue.RequeueTask(tasks, index)
			case task.AllocationCount > 0:
				task.AllocationCount, task.Done = 0, true
				if queue.HoldsTask(tasks, index) {
					t.Fatalf("task %d is allocated but still in the queue", index)
				}
			default:
				queue.RemoveTask(tasks, index)
				task.AllocationCount = 1
			}
			expectWaiting(t, &queue, tasks)
		}
	})
}

func expectWaiting(t *rapid.T, queue *taskqueue.Queue, tasks []taskqueue.Task) {
	var want []int
	for i := range tasks {
		if !tasks[i].Done && tasks[i].AllocationCount == 0 {
			want = append(want, i)
		}
	}
	got := queue.NextWaiting(tasks, 0, len(tasks))
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Fatalf("waiting tasks %v, want %v", got, want)
	}
}
