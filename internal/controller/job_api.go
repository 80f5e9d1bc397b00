package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/jobapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/recovery"
	"notchmux.dev/notchmux/internal/store"
)

// newJobAPI makes what the node does for users, from the node's parts.
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

// Submit accepts a job: 201 only after its description is in the store.
func (n *Node) Submit(body []byte) httpapi.Reply { return n.jobs.Submit(body) }

// Status answers a status query.
func (n *Node) Status(id string) httpapi.Reply { return n.jobs.Status(id) }

// Cancel cancels a job; only the leader can.
func (n *Node) Cancel(id string) httpapi.Reply { return n.jobs.Cancel(id) }

// leadership tells the job API who leads.
type leadership struct{ node *Node }

// ActiveLeader is the node's own leader while its lease holds, else nil.
func (l leadership) ActiveLeader() jobapi.Leader {
	if leader := l.node.activeLeader(); leader != nil {
		return leader
	}
	return nil // not a nil *Leader in an interface
}

// LeaderName is the node that leads, as far as it is known.
func (l leadership) LeaderName() string { return l.node.election.Leader() }

// peerClient are the other nodes as the job API reaches them.
type peerClient struct{ node *Node }

// Call calls a node, unless it lately gave no answer.
func (o peerClient) Call(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error) {
	return o.node.callPeer(ctx, node, call, body, timeout)
}

// CallRegardless calls a node also if it lately gave no answer.
func (o peerClient) CallRegardless(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return o.node.peerBackoff.CallRegardless(ctx, node, call, body, timeout)
}

// Retry calls a node also if it lately gave no answer, one call at a time.
func (o peerClient) Retry(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	return o.node.peerBackoff.Retry(ctx, node, call, body, timeout)
}

// LeaderFirst lists the other nodes.
func (o peerClient) LeaderFirst() []string { return o.node.peersLeaderFirst() }

// jobReader reads jobs from the store for the job API.
type jobReader struct{ node *Node }

// ReadJob reads a job's own keys.
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
