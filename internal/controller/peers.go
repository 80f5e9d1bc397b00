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
	var r front.Reply
	switch call {
	case peer.Ping:
		return 200, nil
	case peer.Announce:
		return n.answerAnnounce(ctx, body), nil
	case peer.Keep:
		return n.answerKeeper(body)
	case peer.Submit:
		r = n.submit(body, false)
	case peer.Exist:
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
	case peer.Accepted:
		return n.answerAccepted(body)
	case peer.Read:
		if !wire.ValidJobID(string(body)) {
			return 404, nil
		}
		if !n.pollBudget.admit(readRequests, 0) {
			return 503, nil
		}
		got, err := n.read(string(body), store.Poll)
		if err != nil {
			return 503, nil
		}
		r = got
	case peer.Show, peer.Withdraw, peer.Notify:
		l := n.leading()
		if l == nil {
			return 421, nil
		}
		switch call {
		case peer.Show:
			s, ok := n.finals.get(string(body))
			if !ok {
				s, ok = l.show(string(body))
			}
			if !ok {
				return 503, nil // the asker reads the store
			}
			r = front.Reply{Status: 200, Body: s}
		case peer.Withdraw:
			if !wire.ValidJobID(string(body)) {
				return 400, nil
			}
			r = n.withdrawHere(l, string(body))
		case peer.Notify:
			var job wire.Job
			if wire.Unmarshal(body, &job) != nil || !wire.ValidJobID(job.ID) || job.Tasks < 1 {
				return 400, nil
			}
			l.post(func() { l.addJob(job) })
			return 200, nil
		}
	}
	out, err := wire.Marshal(r.Body)
	if err != nil {
		return 500, nil
	}
	return r.Status, out
}
