package recovery

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// jobReadTimeout is how long the store may take over one job's own keys.
const jobReadTimeout = 900 * time.Millisecond

// Snapshot is what the store holds of jobs, as it was read. One goroutine at a time may use
// it.
type Snapshot struct {
	// Specs are the descriptions, by job.
	Specs map[string]wire.Job
	// Ends are the ends, by job.
	Ends map[string]cluster.FinalStatusRecord

	dependencies  map[string]map[int][]string // the parts of long lists, by job and number
	legacyChunks  map[string][]storedChunk    // in the first form
	compactChunks map[string][]storedChunk
	log           *slog.Logger
}

// storedChunk is the record of a chunk of a job's tasks.
type storedChunk struct {
	index int
	item  wire.Item
}

// NewSnapshot makes an empty one.
func NewSnapshot(log *slog.Logger) *Snapshot {
	return &Snapshot{
		Specs:         map[string]wire.Job{},
		Ends:          map[string]cluster.FinalStatusRecord{},
		dependencies:  map[string]map[int][]string{},
		legacyChunks:  map[string][]storedChunk{},
		compactChunks: map[string][]storedChunk{},
		log:           log,
	}
}

// AddJobKey takes in one of a job's own keys.
func (s *Snapshot) AddJobKey(item wire.Item) {
	id, kind, part := keys.ParseJobKey(item.Key)
	switch kind {
	case keys.SpecKey:
		var job wire.Job
		if decode(s.log, item, &job) && job.Tasks >= 1 {
			s.Specs[id] = job
		}
	case keys.EndKey:
		var end cluster.FinalStatusRecord
		if decode(s.log, item, &end) {
			s.Ends[id] = end
		}
	case keys.DependenciesKey:
		var stored cluster.DependencyRecord
		if decode(s.log, item, &stored) {
			s.addDependencies(id, part, stored.Dependencies)
		}
	default:
		s.log.Debug("stored key not understood", "key", item.Key)
	}
}

func (s *Snapshot) addDependencies(job string, part int, dependencies []string) {
	if s.dependencies[job] == nil {
		s.dependencies[job] = map[int][]string{}
	}
	s.dependencies[job][part] = dependencies
}

// AddChunk takes in a record of a job's tasks.
func (s *Snapshot) AddChunk(item wire.Item) {
	id, index, compact, ok := keys.ParseChunk(item.Key)
	switch {
	case !ok:
		s.log.Debug("stored key not understood", "key", item.Key)
	case compact:
		s.compactChunks[id] = append(s.compactChunks[id], storedChunk{index, item})
	default:
		s.legacyChunks[id] = append(s.legacyChunks[id], storedChunk{index, item})
	}
}

// hasChunks reports whether there are records of a job's tasks.
func (s *Snapshot) hasChunks(job string) bool {
	return len(s.legacyChunks[job]) > 0 || len(s.compactChunks[job]) > 0
}

// CompleteDependencies completes a description whose list of dependencies is kept apart;
// false if some of it is missing: the job must not be taken for one that awaits less.
func (s *Snapshot) CompleteDependencies(job *wire.Job) bool {
	for part := range job.DependencyChunks {
		dependencies, ok := s.dependencies[job.ID][part]
		if !ok {
			return false
		}
		job.Dependencies = append(job.Dependencies, dependencies...)
	}
	job.DependencyChunks = 0
	return true
}

// ReadJob reads a job's own keys from the store, within 0.9 s. Any goroutine may call it.
func (s *Snapshot) ReadJob(ctx context.Context, from store.Store, class store.Class, job string) error {
	ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
	defer cancel()
	prefix := keys.JobPrefixFor(job)
	err := store.ReadPrefix(ctx, from, class, prefix, func(rest string, value []byte) error {
		s.AddJobKey(wire.Item{Key: prefix + rest, Value: value})
		return nil
	})
	if err != nil {
		return fmt.Errorf("reading job %s: %w", job, err)
	}
	return nil
}

// decode reads a stored value; one that cannot be read is passed over and logged.
func decode(log *slog.Logger, item wire.Item, into any) bool {
	if err := wire.Unmarshal(item.Value, into); err != nil {
		log.Debug("stored record not understood", "key", item.Key, "err", err)
		return false
	}
	return true
}
