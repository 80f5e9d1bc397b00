package controller

import (
	"context"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/shard/coordinator"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// jobSnapshot is what the store holds of jobs.
type jobSnapshot struct {
	specs         map[string]wire.Job
	ends          map[string]cluster.FinalStatusRecord
	dependencies  map[string]map[int][]string
	legacyChunks  map[string][]storedChunk // in the first form
	compactChunks map[string][]storedChunk

	assignments map[string]*coordinator.StoredAssignment // to shards
}

func newJobSnapshot() jobSnapshot {
	return jobSnapshot{
		specs: map[string]wire.Job{}, ends: map[string]cluster.FinalStatusRecord{},
		dependencies: map[string]map[int][]string{}, legacyChunks: map[string][]storedChunk{},
		compactChunks: map[string][]storedChunk{},
	}
}

type storedChunk struct {
	index int
	item  wire.Item
}

// addJobKey reads one of a job's own keys.
func (k *jobSnapshot) addJobKey(item wire.Item) {
	id, kind, index := keys.ParseJobKey(item.Key)
	switch kind {
	case keys.SpecKey:
		var job wire.Job
		if wire.Unmarshal(item.Value, &job) == nil && job.Tasks >= 1 {
			k.specs[id] = job
		}
	case keys.EndKey:
		var end cluster.FinalStatusRecord
		if wire.Unmarshal(item.Value, &end) == nil {
			k.ends[id] = end
		}
	case keys.DependenciesKey:
		var part cluster.DependencyRecord
		if wire.Unmarshal(item.Value, &part) == nil {
			if k.dependencies[id] == nil {
				k.dependencies[id] = map[int][]string{}
			}
			k.dependencies[id][index] = part.Dependencies
		}
	}
}

// addChunkRecord reads a record of a job's tasks.
func (k *jobSnapshot) addChunkRecord(item wire.Item) {
	id, index, compact, ok := keys.ParseChunk(item.Key)
	switch {
	case !ok:
	case compact:
		k.compactChunks[id] = append(k.compactChunks[id], storedChunk{index, item})
	default:
		k.legacyChunks[id] = append(k.legacyChunks[id], storedChunk{index, item})
	}
}

// completeDependencies completes a description whose list of awaited jobs is kept apart; false
// if some of it is missing: the job must not be taken for one that awaits less.
func (k *jobSnapshot) completeDependencies(job *wire.Job) bool {
	for n := range job.DependencyChunks {
		part, ok := k.dependencies[job.ID][n]
		if !ok {
			return false
		}
		job.Dependencies = append(job.Dependencies, part...)
	}
	job.DependencyChunks = 0
	return true
}

// jobReadTimeout is how long the store may take over a job's own keys.
const jobReadTimeout = 900 * time.Millisecond

// readJob reads a job's own keys from the store.
func (n *Node) readJob(class store.Class, id string, snapshot *jobSnapshot) error {
	ctx, cancel := context.WithTimeout(context.Background(), jobReadTimeout)
	defer cancel()
	prefix := keys.JobPrefixFor(id)
	return store.ReadPrefix(ctx, n.Store, class, prefix, func(rest string, value []byte) error {
		snapshot.addJobKey(wire.Item{Key: prefix + rest, Value: value})
		return nil
	})
}
