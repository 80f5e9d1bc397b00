package jobapi

import (
	"context"
	"errors"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
)

// minRetryTimeout is the least time worth giving a node that lately gave no answer.
const minRetryTimeout = 50 * micro.Millisecond

// askPeers makes a call to the other nodes in turn, the leader first, until one gives an answer
// that is taken; false if none did. Nodes that lately gave no answer come last: without them a
// request that has no other way was refused for two seconds after one late answer, though they
// would have answered it. Together they get as long as one call may take.
func (s *Service) askPeers(call string, body []byte, take func(status int, out []byte) bool) bool {
	var backingOff []string
	for _, node := range s.peers.LeaderFirst() {
		status, out, err := s.peers.Call(context.Background(), node, call, body, PeerCallTimeout)
		switch {
		case errors.Is(err, peer.ErrBackingOff):
			backingOff = append(backingOff, node)
		case err != nil:
			s.log.Debug("peer gave no answer", "call", call, "node", node, "err", err)
		case take(status, out):
			return true
		}
	}
	return s.retryPeers(backingOff, call, body, take)
}

// retryPeers makes a call to nodes that lately gave no answer, within the time of one call.
func (s *Service) retryPeers(nodes []string, call string, body []byte, take func(status int, out []byte) bool) bool {
	deadline := time.Now().Add(PeerCallTimeout.Duration())
	for i, node := range nodes {
		left := micro.Time(time.Until(deadline).Microseconds())
		timeout := max(left/micro.Time(len(nodes)-i), minRetryTimeout)
		status, out, err := s.peers.Retry(context.Background(), node, call, body, timeout)
		if err != nil {
			s.log.Debug("peer gave no answer", "call", call, "node", node, "retry", true, "err", err)
			continue
		}
		if take(status, out) {
			return true
		}
	}
	return false
}
