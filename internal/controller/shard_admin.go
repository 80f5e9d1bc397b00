package controller

import (
	"context"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// adminTimeout is the timeout of an operator's command.
const adminTimeout = 2 * micro.Second

// handleAdmin handles an operator's command for the shards. Any node accepts it; a node that does not
// lead forwards it to the leader, which executes it.
func (n *Node) handleAdmin(body []byte) (int, []byte) {
	var command shard.Command
	if wire.Unmarshal(body, &command) != nil {
		return 400, nil
	}
	if n.shards == nil {
		return 200, wire.MustMarshal(
			shard.CommandReply{RefusalReason: "this controller runs without shares (serve --feature)"},
		)
	}
	if l := n.activeLeader(); l != nil {
		return 200, wire.MustMarshal(l.coordinator.RunCommand(&command, adminTimeout))
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return 503, nil
	}
	status, reply, err := n.callPeer(context.Background(), leader, peer.ShardAdmin, body, adminTimeout)
	if err != nil {
		return 503, nil
	}
	return status, reply
}
