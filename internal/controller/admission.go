package controller

import (
	"context"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// rejection is the answer to a submission that is not taken; false if it may be. A
// repeat of an accepted one is known whatever has changed since, so before
// anything is refused for good the store is asked for it.
func (n *Node) rejection(job *wire.Job, relay bool) (httpapi.Reply, bool) {
	catalog := n.catalog.Load()
	if catalog == nil {
		return httpapi.RetryReply(503, 1), true
	}
	reason, status := n.infeasibleReason(job, catalog), 422
	if reason == "" && wire.JSONSize(withoutDependencies(job)) > n.maxValueBytes()-specMargin {
		reason, status = "the description is too large to keep", 400
	}
	if reason == "" && len(job.Dependencies) > 0 {
		if !n.FormatOpen() {
			// A node of the earlier version may still lead, and would not wait.
			return n.existingStatusOr(job.ID, relay, httpapi.RetryReply(503, 2)), true
		}
		missing, err := n.unknownDependency(job.Dependencies, job.ID, relay)
		switch {
		case err != nil:
			return httpapi.RetryReply(503, 1), true
		case missing != "":
			reason = "awaits " + missing + ", which was never accepted"
		}
	}
	if reason != "" {
		return n.existingStatusOr(job.ID, relay, httpapi.ErrorReply(status, reason)), true
	}
	if l := n.activeLeader(); l != nil && int(l.pendingTasks.Load()) > n.Cfg.MaxPendingTasks {
		if _, ok := l.knownJobs.Load(job.ID); !ok {
			return httpapi.RetryReply(429, 5), true
		}
	}
	return httpapi.Reply{}, false
}

// specMargin is kept in the description's value for what the service adds.
const specMargin = 64

// withoutDependencies is a description without the list of what it awaits.
func withoutDependencies(job *wire.Job) *wire.Job {
	spec := *job
	spec.Dependencies = nil
	return &spec
}

// existingStatusOr answers a repeat of an accepted submission, and gives the other reply if
// it is none.
func (n *Node) existingStatusOr(id string, relay bool, otherwise httpapi.Reply) httpapi.Reply {
	var reply httpapi.Reply
	if relay {
		reply = n.repeatedSubmissionStatus(id)
	} else if stored, err := n.readStatus(id, store.Routine); err == nil {
		reply = stored
	} else {
		reply = httpapi.RetryReply(503, 1)
	}
	switch reply.Status {
	case 404:
		return otherwise
	case 200:
		return reply
	}
	return httpapi.RetryReply(503, 1)
}

// unknownDependency finds a job among those awaited that was never accepted, "" if there is
// none. What was accepted once stays so, and may be remembered.
func (n *Node) unknownDependency(dependencies []string, self string, relay bool) (string, error) {
	var unknown []string
	for _, id := range dependencies {
		if id == self {
			// Accepted before it was named, it would be known.
			return id, nil
		}
		_, ok := n.acceptedIDs.Load(id)
		if l := n.activeLeader(); !ok && l != nil {
			_, ok = l.knownJobs.Load(id) // read from the store, or stored by a node that told
		}
		if !ok {
			unknown = append(unknown, id)
		}
	}
	maxIDs := statestore.PreconditionsPerChange * n.Cfg.MaxTxnOps()
	for len(unknown) > 0 {
		batch := unknown[:min(len(unknown), maxIDs)]
		unknown = unknown[len(batch):]
		accepted, err := n.acceptedJobs(batch, relay)
		if err != nil {
			return "", err
		}
		for _, id := range batch {
			if !accepted[id] {
				return id, nil
			}
			n.rememberAccepted(id)
		}
	}
	return "", nil
}

// acceptedJobs asks the store, or a peer that reaches it, which jobs were accepted.
func (n *Node) acceptedJobs(ids []string, relay bool) (map[string]bool, error) {
	accepted, err := n.acceptedInStore(ids, store.Routine)
	if err == nil || !relay {
		return accepted, err
	}
	for _, node := range n.peersLeaderFirst() {
		status, body, peerErr := n.callPeer(node, peer.AcceptedJobs, wire.MustMarshal(ids), peerCallTimeout)
		var got []string
		if peerErr == nil && status == 200 && wire.Unmarshal(body, &got) == nil {
			found := map[string]bool{}
			for _, id := range got {
				found[id] = true
			}
			return found, nil
		}
	}
	return nil, err
}

// rememberAccepted remembers an accepted job.
func (n *Node) rememberAccepted(id string) {
	if _, again := n.acceptedIDs.LoadOrStore(id, true); again {
		return
	}
	if n.acceptedIDCount.Add(1) > maxAcceptedIDs {
		n.acceptedIDs.Clear()
		n.acceptedIDCount.Store(0)
	}
}

// maxAcceptedIDs bounds the accepted jobs that are remembered.
const maxAcceptedIDs = 20_000

// dependencyRecord is a part of a long list of awaited jobs, in a key of its own.
type dependencyRecord struct {
	Dependencies []string `msgpack:"n" json:"n"`
}

// splitSpec moves what does not fit the description's value into keys of its own.
func (n *Node) splitSpec(job *wire.Job) (*wire.Job, []wire.Change) {
	maxBytes := n.maxValueBytes() - specMargin
	if wire.JSONSize(job) <= maxBytes {
		return job, nil
	}
	spec := withoutDependencies(job)
	var parts []wire.Change
	size, part := 0, []string(nil)
	flush := func() {
		if len(part) > 0 {
			parts = append(parts, wire.Change{Put: keys.JobDependencies(job.ID, len(parts)), Value: dependencyRecord{part}})
			size, part = 0, nil
		}
	}
	for _, id := range job.Dependencies {
		if size += len(id) + 3; size > maxBytes-16 {
			flush()
			size = len(id) + 3
		}
		part = append(part, id)
	}
	flush()
	spec.DependencyChunks = len(parts)
	return spec, parts
}

// storeSpec writes a job's description, once. What it awaits comes first: without
// that, no description may be found.
func (n *Node) storeSpec(job *wire.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	class := store.Urgent
	if n.activeLeader() != nil {
		class = store.Routine // a crowd of submissions must not hold up starts and rentals
	}
	spec, parts := n.splitSpec(job)
	for len(parts) > 0 {
		batch := parts[:min(len(parts), n.Cfg.MaxTxnOps())]
		parts = parts[len(batch):]
		// A repeat carries the same list, and writes the same.
		if _, err := n.Store.Commit(
			ctx, class, wire.Transaction{If: []wire.Precondition{{Key: keys.JobSpec(job.ID)}}, Then: batch},
		); err != nil {
			return err
		}
	}
	_, err := n.Store.Commit(ctx, class, wire.Transaction{
		If:   []wire.Precondition{{Key: keys.JobSpec(job.ID)}},
		Then: []wire.Change{{Put: keys.JobSpec(job.ID), Value: spec}},
	})
	return err
}

// infeasibleReason says why a job can never run, "" if it can.
func (n *Node) infeasibleReason(job *wire.Job, catalog *wire.Catalog) string {
	team := n.Cfg.Team(job.Team)
	if team == nil {
		return "unknown team"
	}
	fits := false
	for i := range catalog.Types {
		machineType := &cluster.MachineType{MachineType: catalog.Types[i]}
		for _, zone := range machineType.Zones {
			fits = fits || scheduler.Allowed(job, machineType, zone, false)
		}
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	tasks := float64(job.Tasks)
	if job.Kind == wire.JobArray {
		tasks = 1
	}
	const eps = 1e-9
	if team.CPUsMax > 0 && tasks*job.CPUs > team.CPUsMax+eps || team.GPUsMax > 0 && tasks*job.GPUs > team.GPUsMax+eps {
		return "needs more than the team's limit"
	}
	return ""
}
