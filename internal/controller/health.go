package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
)

// HealthState is whether this node can serve users.
type HealthState uint8

// The states.
const (
	Healthy   HealthState = iota // reaches the store, or a peer that may
	Degraded                     // reached neither when it last looked
	Unhealthy                    // has reached neither for a while: users are better served elsewhere
)

func (f HealthState) String() string { return [...]string{"fit", "shaky", "out"}[f] }

// A node steps out after so many looks without success, a second apart, and
// comes back after so many with: enough not to flap with a lossy network.
const (
	unhealthyAfter    = 3
	healthyAfter      = 2
	probeInterval     = micro.Second
	maxStoreAnswerAge = 900 * micro.Millisecond // how old the store's last answer may be
)

// probeResult is what one look found.
type probeResult struct {
	storeReached bool // the store answered
	storeRefused bool // it answered with a refusal, as all nodes get in an outage
	peerReached  bool // a peer answered
}

// healthMonitor watches over what this node reaches. A node that is cut off from the
// store and its peers alone must not keep users whose questions others could
// answer; but in an outage of the store, which refuses all nodes, none steps out.
type healthMonitor struct {
	mu               sync.Mutex
	state            HealthState
	consecutive      int  // looks in a row that speak for a change
	storeUnreachable bool // the last look found no answer from the store
	log              func(msg string, args ...any)
}

// setState is the one place where the state changes.
func (h *healthMonitor) setState(to HealthState) {
	if h.state == to {
		return
	}
	h.log("health", "was", h.state.String(), "is", to.String())
	h.state, h.consecutive = to, 0
}

// observe takes in what a look found.
func (h *healthMonitor) observe(result probeResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	good := result.storeReached || result.storeRefused || result.peerReached
	h.storeUnreachable = !result.storeReached
	switch {
	case h.state == Healthy && good:
		h.consecutive = 0
	case h.state == Unhealthy && !good:
		h.consecutive = 0
	case h.state == Healthy:
		h.setState(Degraded)
		h.consecutive = 1
	case h.state == Degraded && good:
		h.setState(Healthy)
	case h.state == Degraded:
		if h.consecutive++; h.consecutive >= unhealthyAfter {
			h.setState(Unhealthy)
		}
	case h.state == Unhealthy:
		if h.consecutive++; h.consecutive >= healthyAfter {
			h.setState(Healthy)
		}
	}
}

func (h *healthMonitor) healthState() HealthState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// ResponseTracker is a store client that knows when the store last answered.
type ResponseTracker interface{ LastResponse() micro.Time }

// watchHealth looks around until the context ends.
func (n *Node) watchHealth(ctx context.Context) error {
	for ctx.Err() == nil {
		n.health.observe(n.probe(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval.Duration()):
		}
	}
	return nil
}

func (n *Node) probe(ctx context.Context) probeResult {
	if tracker, ok := n.Store.(ResponseTracker); ok {
		if answeredAt := tracker.LastResponse(); answeredAt > 0 && n.Now()-answeredAt < maxStoreAnswerAge {
			return probeResult{storeReached: true}
		}
	}
	getCtx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
	defer cancel()
	_, err := n.Store.Get(getCtx, store.Leadership, election.LeaderKey)
	switch {
	case err == nil, errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrRateLimited):
		return probeResult{storeReached: true}
	case errors.Is(err, store.ErrRefused):
		return probeResult{storeRefused: true}
	}
	var group errgroup.Group
	answers := make(chan bool, len(n.Cfg.Peers))
	for _, other := range n.Cfg.Peers {
		group.Go(func() error {
			_, _, err := n.Peers.Call(ctx, other.Node, peer.Ping, nil, peerCallTimeout)
			answers <- err == nil
			return nil
		})
	}
	_ = group.Wait()
	close(answers)
	for ok := range answers {
		if ok {
			return probeResult{peerReached: true}
		}
	}
	return probeResult{}
}

// Ready reports whether the node can take requests.
func (n *Node) Ready() bool { return n.health.healthState() != Unhealthy }

// Isolated reports whether the store was out of reach at the last look. What this node
// then refuses, others may serve: its users do better with a new connection.
func (n *Node) Isolated() bool {
	n.health.mu.Lock()
	defer n.health.mu.Unlock()
	return n.health.storeUnreachable
}
