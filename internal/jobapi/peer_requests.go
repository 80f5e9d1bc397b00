package jobapi

import (
	"context"
	"errors"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
)

// minRetryTimeout is the minimum timeout of a call to a node in backoff: with less time, the call is not worthwhile.
const minRetryTimeout = 50 * micro.Millisecond

// askPeers calls the other nodes one after another, the leader first, until take accepts a response. It returns false
// if take accepted none. Nodes in backoff are called last, all of them within PeerCallTimeout: when they were not
// called, one late response made requests that only those nodes could serve fail for 2 s, although the nodes would have
// answered.
func (s *Service) askPeers(call string, body []byte, take func(status int, out []byte) bool) bool {
	var backingOff []string
	for _, node := range s.peers.LeaderFirst() {
		status, out, err := s.peers.Call(context.Background(), node, call, body, PeerCallTimeout)
		switch {
		case errors.Is(err, peer.ErrBackingOff):
			backingOff = append(backingOff, node)
		case err != nil:
			s.log.Debug("call to peer failed; trying the others", "call", call, "node", node, "err", err)
		case take(status, out):
			return true
		}
	}
	return s.retryPeers(backingOff, call, body, take)
}

// retryPeers calls nodes in backoff until take accepts a response. The calls together take about PeerCallTimeout: each
// one gets an equal share of the time that is left, at least minRetryTimeout.
func (s *Service) retryPeers(nodes []string, call string, body []byte, take func(status int, out []byte) bool) bool {
	deadline := time.Now().Add(PeerCallTimeout.Duration())
	for i, node := range nodes {
		left := micro.Time(time.Until(deadline).Microseconds())
		timeout := max(left/micro.Time(len(nodes)-i), minRetryTimeout)
		status, out, err := s.peers.Retry(context.Background(), node, call, body, timeout)
		if err != nil {
			s.log.Debug("call to peer failed; trying the others", "call", call, "node", node, "retry", true, "err", err)
			continue
		}
		if take(status, out) {
			return true
		}
	}
	return false
}
