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

// Fitness is whether this node can serve users.
type Fitness uint8

// The states.
const (
	Fit   Fitness = iota // reaches the store, or a peer that may
	Shaky                // reached neither when it last looked
	Out                  // has reached neither for a while: users are better served elsewhere
)

func (f Fitness) String() string { return [...]string{"fit", "shaky", "out"}[f] }

// A node steps out after so many looks without success, a second apart, and
// comes back after so many with: enough not to flap with a lossy network.
const (
	outAfter  = 3
	backAfter = 2
	lookEvery = micro.Second
	stale     = 900 * micro.Millisecond // how old the store's last answer may be
)

// reach is what one look found.
type reach struct {
	store   bool // the store answered
	refused bool // it answered with a refusal, as all nodes get in an outage
	peer    bool // a peer answered
}

// health watches over what this node reaches. A node that is cut off from the
// store and its peers alone must not keep users whose questions others could
// answer; but in an outage of the store, which refuses all nodes, none steps out.
type health struct {
	mu    sync.Mutex
	state Fitness
	run   int  // looks in a row that speak for a change
	away  bool // the last look found no answer from the store
	log   func(msg string, args ...any)
}

// become is the one place where the state changes.
func (h *health) become(to Fitness) {
	if h.state == to {
		return
	}
	h.log("health", "was", h.state.String(), "is", to.String())
	h.state, h.run = to, 0
}

// look takes in what a look found.
func (h *health) look(r reach) {
	h.mu.Lock()
	defer h.mu.Unlock()
	good := r.store || r.refused || r.peer
	h.away = !r.store
	switch {
	case h.state == Fit && good:
		h.run = 0
	case h.state == Out && !good:
		h.run = 0
	case h.state == Fit:
		h.become(Shaky)
		h.run = 1
	case h.state == Shaky && good:
		h.become(Fit)
	case h.state == Shaky:
		if h.run++; h.run >= outAfter {
			h.become(Out)
		}
	case h.state == Out:
		if h.run++; h.run >= backAfter {
			h.become(Fit)
		}
	}
}

func (h *health) fitness() Fitness {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

// Answerer is a store client that knows when the store last answered.
type Answerer interface{ Answered() micro.Time }

// watchHealth looks around until the context ends.
func (n *Node) watchHealth(ctx context.Context) error {
	for ctx.Err() == nil {
		n.health.look(n.lookAround(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(lookEvery.Std()):
		}
	}
	return nil
}

func (n *Node) lookAround(ctx context.Context) reach {
	if s, ok := n.Store.(Answerer); ok {
		if at := s.Answered(); at > 0 && n.Now()-at < stale {
			return reach{store: true}
		}
	}
	cctx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
	defer cancel()
	_, err := n.Store.Get(cctx, store.Leadership, election.Key)
	switch {
	case err == nil, errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrBusy):
		return reach{store: true}
	case errors.Is(err, store.ErrRefused):
		return reach{refused: true}
	}
	var g errgroup.Group
	answers := make(chan bool, len(n.Cfg.Peers))
	for _, p := range n.Cfg.Peers {
		g.Go(func() error {
			_, _, err := n.Peers.Call(ctx, p.Node, peer.Ping, nil, askWait)
			answers <- err == nil
			return nil
		})
	}
	_ = g.Wait()
	close(answers)
	for ok := range answers {
		if ok {
			return reach{peer: true}
		}
	}
	return reach{}
}

// Ready reports whether the node can take requests.
func (n *Node) Ready() bool { return n.health.fitness() != Out }

// Cut reports whether the store was out of reach at the last look. What this node
// then refuses, others may serve: its users do better with a new connection.
func (n *Node) Cut() bool {
	n.health.mu.Lock()
	defer n.health.mu.Unlock()
	return n.health.away
}
