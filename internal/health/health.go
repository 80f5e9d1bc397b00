// Package health watches over what a node reaches. A node that is cut off from the store and
// its peers alone must not keep users whose questions others could answer; but in an outage of
// the store, which refuses all nodes, none steps out.
//
// The Monitor owns the state, under a lock: any goroutine may call its methods. Run probes on
// the goroutine of its caller.
package health

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// State is whether a node can serve users.
type State uint8

// The states.
const (
	Healthy   State = iota // reaches the store, or a peer that may
	Degraded               // reached neither when it last looked
	Unhealthy              // has reached neither for a while: users are better served elsewhere
)

func (s State) String() string { return [...]string{"healthy", "degraded", "unhealthy"}[s] }

// A node steps out after so many probes without success, a second apart, and
// comes back after so many with: enough not to flap with a lossy network.
const (
	UnhealthyAfter = 3
	HealthyAfter   = 2
)

const (
	probeInterval     = micro.Second
	maxStoreAnswerAge = 900 * micro.Millisecond // how old the store's last answer may be
	storeProbeTimeout = 800 * micro.Millisecond
	peerProbeTimeout  = 500 * micro.Millisecond
)

// ProbeResult is what one probe found.
type ProbeResult struct {
	StoreReached bool // the store answered
	StoreRefused bool // it answered with a refusal, as all nodes get in an outage
	PeerReached  bool // a peer answered
}

// Store is what a probe asks the state store.
type Store interface {
	Get(ctx context.Context, class store.Class, key string) (wire.Item, error)
}

// ResponseTracker is a store client that knows when the store last answered.
type ResponseTracker interface{ LastResponse() micro.Time }

// Config is what a monitor is built on.
type Config struct {
	Store Store        // one that is a ResponseTracker is asked less often
	Peers peer.Caller  // calls the other nodes
	Log   *slog.Logger // takes the changes of state
	// PeerNames lists the other nodes.
	PeerNames func() []string
	Now       func() micro.Time // the steady clock
}

// Monitor watches over what a node reaches.
type Monitor struct {
	cfg Config

	mu               sync.Mutex
	state            State
	consecutive      int  // probes in a row that speak for a change
	storeUnreachable bool // the last probe found no answer from the store
}

// New makes the monitor of a node that is healthy until probes say otherwise.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg} }

// Run probes until the context ends.
func (m *Monitor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		m.Observe(m.Probe(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval.Duration()):
		}
	}
	return nil
}

// State is what the probes so far say.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Ready reports whether the node can take requests.
func (m *Monitor) Ready() bool { return m.State() != Unhealthy }

// Isolated reports whether the store was out of reach at the last probe. What this node
// then refuses, others may serve: its users do better with a new connection.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeUnreachable
}

// setState is the one place where the state changes.
func (m *Monitor) setState(to State) {
	if m.state == to {
		return
	}
	m.cfg.Log.Info("health changed", "from", m.state.String(), "to", to.String())
	m.state, m.consecutive = to, 0
}

// Observe takes in what a probe found.
func (m *Monitor) Observe(result ProbeResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	good := result.StoreReached || result.StoreRefused || result.PeerReached
	m.storeUnreachable = !result.StoreReached
	switch {
	case m.state == Healthy && good:
		m.consecutive = 0
	case m.state == Unhealthy && !good:
		m.consecutive = 0
	case m.state == Healthy:
		m.setState(Degraded)
		m.consecutive = 1
	case m.state == Degraded && good:
		m.setState(Healthy)
	case m.state == Degraded:
		if m.consecutive++; m.consecutive >= UnhealthyAfter {
			m.setState(Unhealthy)
		}
	case m.state == Unhealthy:
		if m.consecutive++; m.consecutive >= HealthyAfter {
			m.setState(Healthy)
		}
	}
}

// Probe looks whether the store answers, and if it does not, whether a peer does.
func (m *Monitor) Probe(ctx context.Context) ProbeResult {
	if tracker, ok := m.cfg.Store.(ResponseTracker); ok {
		if answeredAt := tracker.LastResponse(); answeredAt > 0 && m.cfg.Now()-answeredAt < maxStoreAnswerAge {
			return ProbeResult{StoreReached: true}
		}
	}
	getCtx, cancel := context.WithTimeout(ctx, storeProbeTimeout.Duration())
	defer cancel()
	_, err := m.cfg.Store.Get(getCtx, store.Leadership, election.LeaderKey)
	switch {
	case err == nil, errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrRateLimited):
		return ProbeResult{StoreReached: true}
	case errors.Is(err, store.ErrRefused):
		return ProbeResult{StoreRefused: true}
	}
	return ProbeResult{PeerReached: m.probePeers(ctx)}
}

// probePeers reports whether a peer answers; all are asked at the same time.
func (m *Monitor) probePeers(ctx context.Context) bool {
	names := m.cfg.PeerNames()
	var group errgroup.Group
	answers := make(chan bool, len(names))
	for _, name := range names {
		group.Go(func() error {
			_, _, err := m.cfg.Peers.Call(ctx, name, peer.Ping, nil, peerProbeTimeout)
			answers <- err == nil
			return nil
		})
	}
	_ = group.Wait() // no probe returns an error
	close(answers)
	for ok := range answers {
		if ok {
			return true
		}
	}
	return false
}
