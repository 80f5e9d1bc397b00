package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// callPeer calls a peer, and leaves one alone for a while that did not answer.
func (n *Node) callPeer(node, call string, body []byte, wait micro.Time) (int, []byte, error) {
	if until, ok := n.peerBackoffUntil.Load(node); ok && n.Now() < until.(micro.Time) {
		return 0, nil, peer.ErrUnreachable
	}
	status, out, err := n.Peers.Call(context.Background(), node, call, body, wait)
	if err != nil {
		n.peerBackoffUntil.Store(node, n.Now()+peerBackoff)
	}
	return status, out, err
}

// peersLeaderFirst lists the other nodes.
func (n *Node) peersLeaderFirst() []string {
	leader := n.election.Leader()
	nodes := []string{}
	if leader != "" && leader != n.Cfg.Node {
		nodes = append(nodes, leader)
	}
	for _, p := range n.Cfg.Peers {
		if p.Node != leader {
			nodes = append(nodes, p.Node)
		}
	}
	return nodes
}

// relay hands a request to another node, the leader first.
func (n *Node) relay(call string, body []byte) (httpapi.Reply, bool) {
	for _, node := range n.peersLeaderFirst() {
		status, out, err := n.callPeer(node, call, body, peerCallTimeout)
		if err != nil || status >= 500 || status == 429 || status == 421 {
			continue
		}
		if r, ok := decodeReply(status, out); ok {
			return r, true
		}
	}
	return httpapi.Reply{}, false
}

func decodeReply(status int, out []byte) (httpapi.Reply, bool) {
	if status != 200 && status != 201 {
		return httpapi.ErrorReply(status, "refused"), status == 400 || status == 404 || status == 422
	}
	var jobStatus wire.JobStatus
	if wire.Unmarshal(out, &jobStatus) != nil {
		return httpapi.Reply{}, false
	}
	return httpapi.Reply{Status: status, Body: jobStatus}, true
}

// handlePeerCall answers another node.
func (n *Node) handlePeerCall(ctx context.Context, call string, body []byte) (int, []byte) {
	switch call {
	case peer.Ping:
		return 200, nil
	case peer.AnnounceVersion:
		return n.handleAnnounce(ctx, body), nil
	case peer.LeaseProxy:
		return n.handleLeaseProxy(body)
	case peer.Submit:
		return encodeReply(n.submit(body, false))
	case peer.AcceptedJobs:
		return n.handleExist(body)
	case peer.AcceptedJobsBudgeted:
		return n.handleAccepted(body)
	case peer.StoredStatus:
		return n.handleRead(string(body))
	case peer.ShardAdmin:
		return n.handleAdmin(body)
	case peer.Status, peer.StatusBatch, peer.Cancel, peer.JobAccepted, peer.ShardOwner:
		if l := n.activeLeader(); l != nil {
			return n.handleLeaderCall(l, call, body)
		}
		return 421, nil
	}
	return 404, nil
}

// handleLeaderCall answers a call that only the leader can.
func (n *Node) handleLeaderCall(leader *Leader, call string, body []byte) (int, []byte) {
	switch call {
	case peer.Status:
		return n.handleStatus(leader, string(body))
	case peer.StatusBatch:
		return n.handleStatuses(leader, body)
	case peer.ShardOwner:
		return handleStatusUpdate(leader, body)
	case peer.Cancel:
		if !wire.ValidJobID(string(body)) {
			return 400, nil
		}
		return encodeReply(n.cancelAsLeader(leader, string(body)))
	default:
		return handleNotify(leader, body), nil
	}
}

func encodeReply(r httpapi.Reply) (int, []byte) {
	out, err := wire.Marshal(r.Body)
	if err != nil {
		return 500, nil
	}
	return r.Status, out
}

// handleExist says which of some jobs were accepted.
func (n *Node) handleExist(body []byte) (int, []byte) {
	var ids []string
	if wire.Unmarshal(body, &ids) != nil {
		return 400, nil
	}
	accepted, err := n.acceptedJobs(ids, false)
	if err != nil {
		return 503, nil
	}
	found := []string{}
	for id := range accepted {
		if accepted[id] {
			found = append(found, id)
		}
	}
	return 200, wire.MustMarshal(found)
}

// handleRead reads a job from the store for a node that cannot.
func (n *Node) handleRead(id string) (int, []byte) {
	if !wire.ValidJobID(id) {
		return 404, nil
	}
	if !n.lookupBudget.admit(requestsPerRead, 0) {
		return 503, nil
	}
	reply, err := n.readStatus(id, store.StatusQuery)
	if err != nil {
		return 503, nil
	}
	return encodeReply(reply)
}

// handleStatus answers from the leader's memory.
func (n *Node) handleStatus(l *Leader, id string) (int, []byte) {
	s, ok := n.finalStatuses.get(id)
	if !ok {
		s, ok = l.status(id)
	}
	if !ok {
		return 503, nil // the asker reads the store
	}
	return encodeReply(httpapi.Reply{Status: 200, Body: s})
}

// handleNotify takes in a job that another node accepted.
func handleNotify(l *Leader, body []byte) int {
	var job wire.Job
	if wire.Unmarshal(body, &job) != nil || !wire.ValidJobID(job.ID) || job.Tasks < 1 {
		return 400
	}
	l.post(func() { l.addJob(job) })
	return 200
}
