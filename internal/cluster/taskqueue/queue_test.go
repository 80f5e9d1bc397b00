package taskqueue_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"notchmux.dev/notchmux/internal/cluster/taskqueue"
)

// Whatever is allocated, lost and completed, and in which order: each task that needs an
// allocation waits, once, and no other does.
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
					t.Fatalf("task %d is allocated and waits", index)
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
		t.Fatalf("waiting: %v, want %v", got, want)
	}
}
