// Package health monitors whether a node reaches the store and its peers. A node that is partitioned
// from both must report itself not ready, so that users connect to nodes that can serve them. In an
// outage of the store, which refuses all nodes, every node stays ready.
//
// The methods of a Monitor may be called from any goroutine. Run probes on the goroutine of its caller.
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

// State describes whether a node can serve users.
type State uint8

// The states of a node.
const (
	Healthy   State = iota // reaches the store, or a peer that may reach it
	Degraded               // reached neither in the last probe
	Unhealthy              // has reached neither in several probes; users should use other nodes
)

func (s State) String() string { return [...]string{"healthy", "degraded", "unhealthy"}[s] }

// UnhealthyAfter is the number of consecutive failed probes, one second apart, after which a node is
// unhealthy. HealthyAfter is the number of consecutive successful probes after which it is healthy again.
// More than one each keeps the state from flapping on a lossy network.
const (
	UnhealthyAfter = 3
	HealthyAfter   = 2
)

const (
	probeInterval     = micro.Second
	maxResponseAge    = 900 * micro.Millisecond // age up to which the store's last response replaces a probe
	storeProbeTimeout = 800 * micro.Millisecond
	peerProbeTimeout  = 500 * micro.Millisecond
)

// ProbeResult is the result of one probe.
type ProbeResult struct {
	StoreReached bool // the store responded
	StoreRefused bool // the store refused the request, as it does to all nodes in an outage
	PeerReached  bool // a peer responded
}

// Store is the part of the state store that a probe uses.
type Store interface {
	Get(ctx context.Context, class store.Class, key string) (wire.Item, error)
}

// ResponseTracker is a store client that records when the store last responded.
type ResponseTracker interface{ LastResponse() micro.Time }

// Config holds the dependencies of a monitor.
type Config struct {
	Store Store        // probed less often if it is a ResponseTracker
	Peers peer.Caller  // calls the other nodes
	Log   *slog.Logger // receives state changes
	// PeerNames returns the names of the other nodes.
	PeerNames func() []string
	Now       func() micro.Time // monotonic clock
}

// Monitor tracks whether a node reaches the store and its peers.
type Monitor struct {
	cfg Config

	mu               sync.Mutex
	state            State
	consecutive      int  // consecutive probes whose result contradicts the state
	storeUnreachable bool // the store did not respond to the last probe, or refused it
}

// New returns a monitor in state Healthy.
func New(cfg Config) *Monitor { return &Monitor{cfg: cfg} }

// Run probes each second until the context ends. It returns nil.
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

// State returns the state after all probes so far.
func (m *Monitor) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Ready reports whether the node should receive requests.
func (m *Monitor) Ready() bool { return m.State() != Unhealthy }

// Isolated reports whether the last probe got no response from the store, or a refusal. Other nodes may
// then be able to serve requests that this node rejects, so its users should reconnect.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeUnreachable
}

// setState sets and logs the state. All state changes go through it; the caller holds the lock.
func (m *Monitor) setState(to State) {
	if m.state == to {
		return
	}
	m.cfg.Log.Info("health state changed", "from", m.state.String(), "to", to.String())
	m.state, m.consecutive = to, 0
}

// Observe updates the state with the result of a probe.
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

// Probe checks whether the store responds, and if it does not, whether a peer does.
func (m *Monitor) Probe(ctx context.Context) ProbeResult {
	if tracker, ok := m.cfg.Store.(ResponseTracker); ok {
		if respondedAt := tracker.LastResponse(); respondedAt > 0 && m.cfg.Now()-respondedAt < maxResponseAge {
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

// probePeers reports whether any peer responds. It pings all peers in parallel.
func (m *Monitor) probePeers(ctx context.Context) bool {
	names := m.cfg.PeerNames()
	var group errgroup.Group
	results := make(chan bool, len(names))
	for _, name := range names {
		group.Go(func() error {
			_, _, err := m.cfg.Peers.Call(ctx, name, peer.Ping, nil, peerProbeTimeout)
			results <- err == nil
			return nil
		})
	}
	_ = group.Wait() // no probe returns an error
	close(results)
	for ok := range results {
		if ok {
			return true
		}
	}
	return false
}
