package shard

import (
	"fmt"
	"strings"
	"testing"

	"notchmux.dev/notchmux/wire"
)

// fullUpdate returns an update with as many items of each kind as one may list. The IDs of jobs and machines have the
// given number of digits.
func fullUpdate(digits int) StatusUpdate {
	update := ShardUpdate{Name: "spot", AssignmentRevision: 1 << 40}
	for i := range MaxStatusItems {
		job, machine := fmt.Sprintf("j-%0*d", digits, i), fmt.Sprintf("i-%0*d", digits, i)
		zones := []string{"a", "b"}
		update.FinishedJobs = append(update.FinishedJobs, job)
		update.StoppingJobs = append(
			update.StoppingJobs, StoppingJob{Job: job, UnreleasedAllocations: 10_000, Zones: zones},
		)
		update.Demand = append(update.Demand, Demand{Job: job, Tasks: 10_000, Zones: zones})
		update.Progress = append(update.Progress, Progress{Job: job, Done: 10_000, Running: 10_000})
		update.ReadyMachines = append(update.ReadyMachines, machine)
		update.MachinesToTerminate = append(update.MachinesToTerminate, machine)
	}
	for range 64 {
		update.FreeCapacity = append(
			update.FreeCapacity, FreeCapacity{Type: "general", Zone: "a", Count: 100, CPU: 15.5, GPU: 1, Mem: 31.25},
		)
	}
	return StatusUpdate{Node: "n-1", SessionVersion: 1 << 40, Term: 1 << 40, Shards: []ShardUpdate{update}}
}

// An update over the size limit of a call between nodes would be answered with status 400 every time, and no job of the
// shard would end.
func TestLargestStatusUpdateFitsInOneCall(t *testing.T) {
	const longestID = 40
	for _, digits := range []int{6, longestID} {
		update := fullUpdate(digits)
		if id := update.Shards[0].FinishedJobs[0]; !wire.ValidJobID(id) {
			t.Fatalf("%s is not a valid job ID", id)
		}
		whole := len(wire.MustMarshal(update))
		body := update.Encode()
		if len(body) > wire.MaxBody {
			t.Errorf("IDs of %d digits: update has %d bytes, want at most %d", digits, len(body), wire.MaxBody)
		}
		var decoded StatusUpdate
		if err := wire.Unmarshal(body, &decoded); err != nil {
			t.Fatal(err)
		}
		got, sent := decoded.Shards[0], update.Shards[0]
		if len(got.ReadyMachines) != len(sent.ReadyMachines) || len(got.FinishedJobs) != len(sent.FinishedJobs) {
			t.Errorf("IDs of %d digits: the items left in the update differ from those that were sent", digits)
		}
		if len(got.FinishedJobs) < MaxStatusItems/4 || len(got.FreeCapacity) == 0 {
			t.Errorf(
				"IDs of %d digits: only %d finished jobs and %d kinds of capacity were sent", digits, len(got.FinishedJobs),
				len(got.FreeCapacity),
			)
		}
		if whole <= wire.MaxBody && len(body) != whole {
			t.Errorf("IDs of %d digits: the update of %d bytes fits, but %d bytes were sent", digits, whole, len(body))
		}
	}
}

// A short list must be sent as a whole even if other lists are so long that they are shortened.
func TestShortListsAreNotShortened(t *testing.T) {
	const longestID = 40
	update := fullUpdate(longestID)
	cancelled := "j-" + strings.Repeat("9", longestID)
	update.Shards[0].StoppingJobs = []StoppingJob{{Job: cancelled}}
	update.Encode()
	if stopping := update.Shards[0].StoppingJobs; len(stopping) != 1 || stopping[0].Job != cancelled {
		t.Errorf("stopping jobs in the update: %+v, want the cancelled job only", stopping)
	}
}
