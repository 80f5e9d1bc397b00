package controller

import (
	"strconv"
	"strings"

	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// kept is what the store holds of jobs.
type kept struct {
	specs   map[string]wire.Job
	ends    map[string]model.EndRecord
	needs   map[string]map[int][]string
	chunks  map[string][]keptChunk // in the first form
	compact map[string][]keptChunk

	assigned map[string]*keptAssignment // to shares
}

func newKept() kept {
	return kept{specs: map[string]wire.Job{}, ends: map[string]model.EndRecord{}, needs: map[string]map[int][]string{},
		chunks: map[string][]keptChunk{}, compact: map[string][]keptChunk{}}
}

type keptChunk struct {
	n  int
	it wire.Item
}

// job reads one of a job's own keys.
func (k *kept) job(it wire.Item) {
	id, rest, _ := strings.Cut(it.Key[len("job/"):], "/")
	switch {
	case rest == "spec":
		var job wire.Job
		if wire.Unmarshal(it.Value, &job) == nil && job.Tasks >= 1 {
			k.specs[id] = job
		}
	case rest == "end":
		var e model.EndRecord
		if wire.Unmarshal(it.Value, &e) == nil {
			k.ends[id] = e
		}
	case strings.HasPrefix(rest, needsRest):
		var r needsRecord
		if n, err := strconv.Atoi(rest[len(needsRest):]); err == nil && wire.Unmarshal(it.Value, &r) == nil {
			if k.needs[id] == nil {
				k.needs[id] = map[int][]string{}
			}
			k.needs[id][n] = r.Needs
		}
	}
}

// run reads a record of a job's tasks.
func (k *kept) run(it wire.Item) {
	id, rest, _ := strings.Cut(it.Key[len("run/"):], "/")
	into := k.chunks
	if n, compact := strings.CutPrefix(rest, compactMark); compact {
		rest, into = n, k.compact
	}
	if n, err := strconv.Atoi(rest); err == nil {
		into[id] = append(into[id], keptChunk{n, it})
	}
}

// whole completes a description whose list of awaited jobs is kept apart; false
// if some of it is missing: the job must not be taken for one that awaits less.
func (k *kept) whole(job *wire.Job) bool {
	for n := range job.NeedsIn {
		part, ok := k.needs[job.ID][n]
		if !ok {
			return false
		}
		job.Needs = append(job.Needs, part...)
	}
	job.NeedsIn = 0
	return true
}

// readJob reads a job's own keys from the store.
func (n *Node) readJob(class store.Class, id string, k *kept) error {
	prefix := "job/" + id + "/"
	return n.readAll(class, prefix, func(rest string, value []byte) error {
		k.job(wire.Item{Key: prefix + rest, Value: value})
		return nil
	})
}
