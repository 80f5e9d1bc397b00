package cluster_test

import (
	"fmt"
	"sort"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// describeAllocations returns a line for each allocation and each done task of a state, in a fixed
// order.
func describeAllocations(state *cluster.State) []string {
	var lines []string
	for _, job := range state.Jobs {
		for _, allocation := range job.Allocations() {
			lines = append(
				lines,
				fmt.Sprint(
					allocation.TaskName, " attempt ", allocation.Attempt, " on ", allocation.Machine.Name, " epoch ",
					allocation.AgentEpoch, " in ", allocation.Machine.Zone,
				),
			)
		}
		for i := range job.Tasks {
			if job.Tasks[i].Done {
				lines = append(lines, fmt.Sprint(wire.TaskName(job.Spec.ID, i), " done"))
			}
		}
	}
	sort.Strings(lines)
	return lines
}

// jobStore holds the stored chunk records of one job.
type jobStore struct {
	legacy  map[int]cluster.ChunkRecord
	compact map[int]cluster.CompactRecord
}

// failOver returns the state of a new leader that has read the stored records.
func (s *jobStore) failOver(spec wire.Job, tasks int, now micro.Time, effects cluster.Effects) *cluster.State {
	state := cluster.New(effects)
	state.MinFencingToken = 2 << 24
	state.EnableCompactRecords(tasks)
	job := state.AddJob(spec, now)
	for index, record := range s.compact {
		state.RestoreCompactChunk(job, index, &record, 5, now)
	}
	for index, record := range s.legacy {
		state.RestoreChunk(job, index, &record, 5, now)
	}
	return state
}

// lineSet returns the lines as a set.
func lineSet(lines []string) map[string]bool {
	set := map[string]bool{}
	for _, line := range lines {
		set[line] = true
	}
	return set
}

// firstMissing returns the first of the lines that is not in the set, except for the given one; ""
// if there is none.
func firstMissing(lines []string, set map[string]bool, except string) string {
	for _, line := range lines {
		if !set[line] && line != except {
			return line
		}
	}
	return ""
}

// A job that started under the previous version has records of 128 tasks. Its tasks are migrated to
// smaller records one write at a time, and a failover after any of these writes must restore the
// same state.
func TestStateIsRestoredAfterEachStepOfTheCompactMigration(t *testing.T) {
	tc := newTestCluster(t)
	tc.cluster.Teams["team"].CPULimit = 0
	stored := jobStore{legacy: map[int]cluster.ChunkRecord{}, compact: map[int]cluster.CompactRecord{}}
	spec := wire.Job{
		ID: "j-1", Class: "c", Team: "team", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 200, CPUs: 0.01,
		MemoryGB: 0.01, EstimateS: 10,
	}
	agent := tc.addAgent("i-1", "a")
	tc.addAgent("i-2", "b")
	job := tc.submitSpec(spec)
	tc.expectScheduled(200)
	for _, chunk := range job.Chunks {
		stored.legacy[chunk.Index] = chunk.Record()
	}
	tc.persist()
	tc.heartbeat(agent)
	agent.ExitTask("j-1/3", 1, wire.CauseDone)
	tc.heartbeat(agent) // its completion is not stored yet
	before := describeAllocations(tc.cluster)
	tc.cluster.EnableCompactRecords(32)
	if got := describeAllocations(tc.cluster); fmt.Sprint(got) != fmt.Sprint(before) {
		t.Fatal("the migration itself changed the state")
	}
	other := newTestCluster(t)
	check := func(step string) {
		t.Helper()
		restored := lineSet(describeAllocations(stored.failOver(spec, 32, tc.now, other)))
		// The agent keeps the completion of j-1/3 until it is stored.
		if line := firstMissing(before, restored, "j-1/3 done"); line != "" {
			t.Fatalf("%s: a failover does not restore %q", step, line)
		}
		if restored["j-1/3 done"] && restored["j-1/3 attempt 1 on i-1 epoch 1 in a"] {
			t.Fatalf("%s: a failover still applies the superseded record", step)
		}
	}
	deleteSuperseded := func() {
		t.Helper()
		for _, legacy := range tc.supersededRecords {
			if !legacy.Obsolete() {
				t.Fatal("a legacy record that still covers tasks is deleted")
			}
			delete(stored.legacy, legacy.Index)
		}
	}
	for _, chunk := range job.Chunks {
		record := chunk.Record()
		stored.compact[chunk.Index] = record.Compact()
		check(fmt.Sprint("record ", chunk.Index, " written"))
		tc.cluster.ChunkPersisted(chunk, chunk.MemoryVersion)
		deleteSuperseded()
		check(fmt.Sprint("record ", chunk.Index, " persisted"))
	}
	if len(stored.legacy) != 0 {
		t.Fatalf("%d records in the legacy format remain", len(stored.legacy))
	}
	if got := describeAllocations(stored.failOver(spec, 32, tc.now, other)); fmt.Sprint(got) != fmt.Sprint(before) {
		t.Fatalf("%d lines restored after the migration, want the same %d as before", len(got), len(before))
	}
}
