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

// jobReadTimeout is the timeout for reading one job's keys from the store.
const jobReadTimeout = 900 * time.Millisecond

// Snapshot holds the stored records of jobs as they were read from the store. It is not safe for
// concurrent use.
type Snapshot struct {
	// Specs are the job specs, by job ID.
	Specs map[string]wire.Job
	// Ends are the final states, by job ID.
	Ends map[string]cluster.FinalStatusRecord

	dependencies  map[string]map[int][]string // parts of long dependency lists, by job ID and part number
	legacyChunks  map[string][]storedChunk    // chunk records in the legacy format, by job ID
	compactChunks map[string][]storedChunk    // chunk records in the compact format, by job ID
	log           *slog.Logger
}

// storedChunk is the record of a chunk of a job's tasks.
type storedChunk struct {
	index int
	item  wire.Item
}

// NewSnapshot returns an empty Snapshot.
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

// AddJobKey adds one of a job's keys: its spec, its final state or a part of its dependency
// list. A key or value that cannot be decoded is logged and skipped; a spec without tasks is
// skipped.
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
		s.log.Debug("unknown job key skipped", "key", item.Key)
	}
}

// addDependencies adds one part of a job's dependency list.
func (s *Snapshot) addDependencies(job string, part int, dependencies []string) {
	if s.dependencies[job] == nil {
		s.dependencies[job] = map[int][]string{}
	}
	s.dependencies[job][part] = dependencies
}

// AddChunk adds a chunk record of a job's tasks.
func (s *Snapshot) AddChunk(item wire.Item) {
	id, index, compact, ok := keys.ParseChunk(item.Key)
	switch {
	case !ok:
		s.log.Debug("unknown chunk key skipped", "key", item.Key)
	case compact:
		s.compactChunks[id] = append(s.compactChunks[id], storedChunk{index, item})
	default:
		s.legacyChunks[id] = append(s.legacyChunks[id], storedChunk{index, item})
	}
}

// hasChunks reports whether there are chunk records of a job's tasks.
func (s *Snapshot) hasChunks(job string) bool {
	return len(s.legacyChunks[job]) > 0 || len(s.compactChunks[job]) > 0
}

// CompleteDependencies appends to a job's spec the dependencies that are stored in separate
// keys. It returns false if a part is missing: with a partial list the job could start before its other
// dependencies are done.
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

// ReadJob reads a job's keys from the store into the snapshot, with a timeout of 0.9 s. It may be
// called on any goroutine that has exclusive use of the snapshot.
func (s *Snapshot) ReadJob(ctx context.Context, from store.Store, class store.Class, job string) error {
	ctx, cancel := context.WithTimeout(ctx, jobReadTimeout)
	defer cancel()
	prefix := keys.JobPrefixFor(job)
	err := store.ReadPrefix(ctx, from, class, prefix, func(rest string, value []byte) error {
		s.AddJobKey(wire.Item{Key: prefix + rest, Value: value})
		return nil
	})
	if err != nil {
		return fmt.Errorf("read job %s: %w", job, err)
	}
	return nil
}

// decode decodes a stored value and reports whether that succeeded. A value that cannot be decoded is
// logged.
func decode(log *slog.Logger, item wire.Item, into any) bool {
	if err := wire.Unmarshal(item.Value, into); err != nil {
		log.Debug("decode stored record failed", "key", item.Key, "err", err)
		return false
	}
	return true
}
