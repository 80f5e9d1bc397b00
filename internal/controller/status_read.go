package controller

import (
	"context"
	"strings"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// readByPeers asks the other nodes for what they read from the store.
func (n *Node) readByPeers(id string) (httpapi.Reply, bool) {
	reply, ok := n.relay(peer.StoredStatus, []byte(id))
	if status, isStatus := reply.Body.(wire.JobStatus); ok && isStatus {
		n.finalStatuses.put(status)
	}
	return reply, ok
}

// maxReadAge is how long the store may take over whether a job is over, for an
// answer that it is not.
const maxReadAge = 400 * micro.Millisecond

// readStatus answers from the store: the job's own keys tell whether it exists and
// how it ended, the records of its tasks how far it is. The end is read last, and
// a slow answer without one is none: while the store was slow, a user was told
// that a job was done, and then, by a read begun before, that it was pending.
// Polls have taken what it usually costs from their budget before.
func (n *Node) readStatus(id string, class store.Class) (httpapi.Reply, error) {
	status := wire.JobStatus{ID: id, State: wire.JobPending}
	var tally cluster.TaskCounter
	err := n.readPrefix(
		class,
		keys.ChunkPrefixFor(id),
		func(rest string, value []byte) error { return tally.Add(rest, keys.CompactMark, value) },
	)
	if err != nil {
		return httpapi.Reply{}, err
	}
	status.Done, status.Running = tally.Count()
	snapshot := newJobSnapshot()
	readAt := n.Now()
	if err = n.readJob(class, id, &snapshot); err != nil {
		return httpapi.Reply{}, err
	}
	spec, accepted := snapshot.specs[id]
	end, over := snapshot.ends[id]
	if !accepted && !over {
		return httpapi.ErrorReply(404, "no such job"), nil
	}
	if over {
		status.State = end.State
	} else if !snapshot.completeDependencies(&spec) {
		return httpapi.Reply{}, store.ErrUncertain
	} else if len(spec.Dependencies) > 0 && status.Done+status.Running == 0 {
		unmet, aborted, err := n.dependencyStatus(spec.Dependencies, class)
		if err != nil {
			return httpapi.Reply{}, err
		}
		status.Dependencies = unmet
		if aborted {
			status.State, status.Dependencies = wire.JobAborted, nil
		}
	}
	if status.State.Final() {
		status.Done, status.Running = 0, 0
		if status.State == wire.JobDone && accepted {
			status.Done = spec.Tasks
		}
		n.finalStatuses.put(status)
		return httpapi.Reply{Status: 200, Body: status}, nil
	}
	if n.Now()-readAt > maxReadAge {
		return httpapi.Reply{}, store.ErrUncertain
	}
	if status.Running > 0 {
		status.State = wire.JobRunning
	}
	return httpapi.Reply{Status: 200, Body: status}, nil
}

// dependencyStatus reports whether a job that is needed, directly or through others, is
// stored as aborted: then so is what needs it, though its own end may still have
// to be written by a leader. Else it names those whose end is not stored.
func (n *Node) dependencyStatus(dependencies []string, class store.Class) (unmet []string, aborted bool, err error) {
	visited := map[string]bool{}
	for queue := dependencies; len(queue) > 0; {
		id := queue[0]
		queue = queue[1:]
		if visited[id] {
			continue
		}
		if visited[id] = true; len(visited) > maxDependencyReads {
			return nil, false, store.ErrBudgetExhausted
		}
		if status, ok := n.finalStatuses.get(id); ok {
			if status.State == wire.JobAborted {
				return nil, true, nil
			}
			continue
		}
		if class == store.StatusQuery {
			n.lookupBudget.charge()
		}
		snapshot := newJobSnapshot()
		if err := n.readJob(store.Routine, id, &snapshot); err != nil {
			return nil, false, err
		}
		if end, over := snapshot.ends[id]; over {
			if end.State == wire.JobAborted {
				return nil, true, nil
			}
			continue
		}
		spec, ok := snapshot.specs[id]
		if !ok || !snapshot.completeDependencies(&spec) {
			return nil, false, store.ErrUncertain
		}
		if len(visited) <= len(dependencies) {
			unmet = append(unmet, id)
		}
		queue = append(queue[:len(queue):len(queue)], spec.Dependencies...)
	}
	return unmet, false, nil
}

// maxDependencyReads is how many jobs are looked at for one answer: a poll that would need
// more is told to come back.
const maxDependencyReads = 24

// readPrefix reads all keys with a prefix: one page, but for the largest jobs.
func (n *Node) readPrefix(class store.Class, prefix string, visit func(rest string, value []byte) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	for after, more := "", true; more; {
		page, err := n.Store.Range(ctx, class, prefix, after, 1000)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			if err := visit(strings.TrimPrefix(item.Key, prefix), item.Value); err != nil {
				return err
			}
			after = item.Key
		}
		more = page.More && len(page.Items) > 0
	}
	return nil
}
