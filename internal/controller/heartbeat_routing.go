package controller

import (
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/wire"
)

// Heartbeat answers an agent's heartbeat. The leader answers it, or the shard owner for a machine of a
// shard; other nodes reply with the node to contact.
func (n *Node) Heartbeat(body []byte) httpapi.Reply {
	if n.shards != nil {
		return n.heartbeatWithShards(body)
	}
	l := n.activeLeader()
	if l == nil {
		return n.heartbeatAsFollower(body)
	}
	if len(body) > wire.MaxBody {
		return httpapi.ErrorReply(http.StatusBadRequest, "too large")
	}
	heartbeat, err := wire.DecodeHeartbeat(body)
	if err != nil {
		return httpapi.ErrorReply(http.StatusBadRequest, err.Error())
	}
	return l.handleHeartbeat(heartbeat)
}

// heartbeatAsFollower answers, on a node that does not lead, a heartbeat for the leader: on behalf of
// the leader if this node may renew the agent's lease, else with 421 and the leader's name, or with
// 503 if the leader is unknown or unreachable.
func (n *Node) heartbeatAsFollower(body []byte) httpapi.Reply {
	leader := n.election.Leader()
	n.referrals.Record(leader, n.Now())
	if r, ok := n.proxyHeartbeat(body); ok {
		return r
	}
	if leader == "" || leader == n.Cfg.Node || n.leaderUnreachable(leader) {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1)
	}
	return httpapi.Reply{Status: http.StatusMisdirectedRequest, Body: wire.NotLeader{LeaderHint: leader}}
}
