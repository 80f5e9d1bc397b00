package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/internal/store"
)

// newJobAPI returns the service that handles the job requests of users and peers.
func newJobAPI(n *Node) *jobapi.Service {
	return jobapi.New(n.Cfg, jobapi.Dependencies{
		Store:      n.Store,
		Jobs:       jobReader{n},
		Leadership: leadership{n},
		Peers:      peerClient{n},
		Catalog:    &n.catalog,
		Health:     n.health,
		FormatGate: n.formatGate,
		Log:        n.Log,
		Now:        n.Now,
		Wall:       n.Wall,
	})
}

// Submit accepts a job. It replies 201 only after the job's spec is stored.
func (n *Node) Submit(body []byte) httpapi.Reply { return n.jobs.Submit(body) }

// Status returns the status of a job.
func (n *Node) Status(id string) httpapi.Reply { return n.jobs.Status(id) }

// Cancel cancels a job. Only the leader can do so.
func (n *Node) Cancel(id string) httpapi.Reply { return n.jobs.Cancel(id) }

// leadership implements jobapi.Leadership.
type leadership struct{ node *Node }

// ActiveLeader returns the leader on this node while its lease is valid, else nil.
func (l leadership) ActiveLeader() jobapi.Leader {
	if leader := l.node.activeLeader(); leader != nil {
		return leader
	}
	return nil // not a nil *Leader in an interface
}

// LeaderName returns the name of the leading node, or "" if it is unknown.
func (l leadership) LeaderName() string { return l.node.election.Leader() }

// peerClient implements jobapi.Peers with the node's peer connections.
type peerClient struct{ node *Node }

// Call calls a peer, unless the peer recently did not answer.
func (o peerClient) Call(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error) {
	return o.node.callPeer(ctx, node, call, body, timeout)
}

// CallRegardless calls a peer even if it recently did not answer.
func (o peerClient) CallRegardless(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return o.node.peerBackoff.CallRegardless(ctx, node, call, body, timeout)
}

// Retry calls a peer even if it recently did not answer, with at most one such call at a time.
func (o peerClient) Retry(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return o.node.peerBackoff.Retry(ctx, node, call, body, timeout)
}

// LeaderFirst returns the names of the other nodes, the leader first.
func (o peerClient) LeaderFirst() []string { return o.node.peersLeaderFirst() }

// jobReader reads jobs from the store for the job API. It implements jobapi.JobReader.
type jobReader struct{ node *Node }

// ReadJob reads a job's spec, dependencies and final state.
func (r jobReader) ReadJob(class store.Class, id string) (jobapi.StoredJob, error) {
	snapshot := recovery.NewSnapshot(r.node.Log)
	if err := snapshot.ReadJob(context.Background(), r.node.Store, class, id); err != nil {
		return jobapi.StoredJob{}, err
	}
	var job jobapi.StoredJob
	job.Spec, job.Accepted = snapshot.Specs[id]
	job.FinalStatus, job.Ended = snapshot.Ends[id]
	job.DependenciesComplete = job.Accepted && snapshot.CompleteDependencies(&job.Spec)
	return job, nil
}
