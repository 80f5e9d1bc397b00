package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// ask calls a peer, and leaves one alone for a while that did not answer.
func (n *Node) ask(node, call string, body []byte, wait micro.Time) (int, []byte, error) {
	if until, ok := n.badPeer.Load(node); ok && n.Now() < until.(micro.Time) {
		return 0, nil, peer.ErrUnreachable
	}
	status, out, err := n.Peers.Call(context.Background(), node, call, body, wait)
	if err != nil {
		n.badPeer.Store(node, n.Now()+badPeer)
	}
	return status, out, err
}

// leaderFirst lists the other nodes.
func (n *Node) leaderFirst() []string {
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
func (n *Node) relay(call string, body []byte) (front.Reply, bool) {
	for _, node := range n.leaderFirst() {
		status, out, err := n.ask(node, call, body, askWait)
		if err != nil || status >= 500 || status == 429 || status == 421 {
			continue
		}
		if r, ok := decodeReply(status, out); ok {
			return r, true
		}
	}
	return front.Reply{}, false
}

func decodeReply(status int, out []byte) (front.Reply, bool) {
	if status != 200 && status != 201 {
		return front.Fail(status, "refused"), status == 400 || status == 404 || status == 422
	}
	var s wire.JobStatus
	if wire.Unmarshal(out, &s) != nil {
		return front.Reply{}, false
	}
	return front.Reply{Status: status, Body: s}, true
}

// peerCall answers another node.
func (n *Node) peerCall(ctx context.Context, call string, body []byte) (int, []byte) {
	switch call {
	case peer.Ping:
		return 200, nil
	case peer.Announce:
		return n.answerAnnounce(ctx, body), nil
	case peer.Keep:
		return n.answerKeeper(body)
	case peer.Submit:
		return encodeReply(n.submit(body, false))
	case peer.Exist:
		return n.answerExist(body)
	case peer.Accepted:
		return n.answerAccepted(body)
	case peer.Read:
		return n.answerRead(string(body))
	case peer.Admin:
		return n.answerAdmin(body)
	case peer.Show, peer.Shows, peer.Withdraw, peer.Notify, peer.Share:
		if l := n.leading(); l != nil {
			return n.leaderCall(l, call, body)
		}
		return 421, nil
	}
	return 404, nil
}

// leaderCall answers a call that only the leader can.
func (n *Node) leaderCall(l *Lead, call string, body []byte) (int, []byte) {
	switch call {
	case peer.Show:
		return n.answerShow(l, string(body))
	case peer.Shows:
		return n.answerShows(l, body)
	case peer.Share:
		return n.answerTouch(l, body)
	case peer.Withdraw:
		if !wire.ValidJobID(string(body)) {
			return 400, nil
		}
		return encodeReply(n.withdrawHere(l, string(body)))
	default:
		return answerNotify(l, body), nil
	}
}

func encodeReply(r front.Reply) (int, []byte) {
	out, err := wire.Marshal(r.Body)
	if err != nil {
		return 500, nil
	}
	return r.Status, out
}

// answerExist says which of some jobs were accepted.
func (n *Node) answerExist(body []byte) (int, []byte) {
	var ids []string
	if wire.Unmarshal(body, &ids) != nil {
		return 400, nil
	}
	there, err := n.exist(ids, false)
	if err != nil {
		return 503, nil
	}
	got := []string{}
	for id := range there {
		if there[id] {
			got = append(got, id)
		}
	}
	return 200, wire.MustMarshal(got)
}

// answerRead reads a job from the store for a node that cannot.
func (n *Node) answerRead(id string) (int, []byte) {
	if !wire.ValidJobID(id) {
		return 404, nil
	}
	if !n.pollBudget.admit(readRequests, 0) {
		return 503, nil
	}
	got, err := n.read(id, store.Poll)
	if err != nil {
		return 503, nil
	}
	return encodeReply(got)
}

// answerShow answers from the leader's memory.
func (n *Node) answerShow(l *Lead, id string) (int, []byte) {
	s, ok := n.finals.get(id)
	if !ok {
		s, ok = l.show(id)
	}
	if !ok {
		return 503, nil // the asker reads the store
	}
	return encodeReply(front.Reply{Status: 200, Body: s})
}

// answerNotify takes in a job that another node accepted.
func answerNotify(l *Lead, body []byte) int {
	var job wire.Job
	if wire.Unmarshal(body, &job) != nil || !wire.ValidJobID(job.ID) || job.Tasks < 1 {
		return 400
	}
	l.post(func() { l.addJob(job) })
	return 200
}
