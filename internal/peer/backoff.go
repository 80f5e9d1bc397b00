package peer

import (
	"context"
	"fmt"
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// ErrBackingOff means that a node was not called because it did not respond to a recent call. It wraps
// ErrUnreachable.
var ErrBackingOff = fmt.Errorf("%w: backing off after a call without a response", ErrUnreachable)

// backoffTime is how long a node is not called after a call without a response.
const backoffTime = 2 * micro.Second

// CallFunc calls a node; see Caller.
type CallFunc func(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)

// Backoff suspends calls to a node for backoffTime after it did not respond to a call, so that not every request
// waits for a node that has failed. One late response does not prove that a node has failed: Retry may call the
// node meanwhile, one call at a time, and any response ends the backoff. The methods are safe for concurrent use.
type Backoff struct {
	call CallFunc
	now  func() micro.Time

	mu    sync.Mutex
	nodes map[string]*nodeBackoff
}

// nodeBackoff is the backoff state of one node.
type nodeBackoff struct {
	until    micro.Time // end of the backoff
	retrying bool       // a Retry call is in progress
}

// NewBackoff returns a Backoff that makes calls with call. now must return the time of a monotonic clock.
func NewBackoff(call CallFunc, now func() micro.Time) *Backoff {
	return &Backoff{call: call, now: now, nodes: map[string]*nodeBackoff{}}
}

// Call calls a node. During the node's backoff it returns ErrBackingOff without calling it.
func (b *Backoff) Call(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	if b.BackingOff(node) {
		return 0, nil, ErrBackingOff
	}
	return b.callAndObserve(ctx, node, call, body, timeout)
}

// Retry calls a node even during its backoff. While another Retry call to the node is in progress, it returns
// ErrBackingOff without calling it.
func (b *Backoff) Retry(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	if !b.beginRetry(node) {
		return 0, nil, ErrBackingOff
	}
	defer b.endRetry(node)
	return b.callAndObserve(ctx, node, call, body, timeout)
}

// CallRegardless calls a node regardless of its backoff. A call without a response does not start a backoff.
func (b *Backoff) CallRegardless(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	status, out, err := b.call(ctx, node, call, body, timeout)
	if err == nil {
		b.observeResponse(node)
	}
	return status, out, err
}

// BackingOff reports whether calls to the node are suspended.
func (b *Backoff) BackingOff(node string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.nodes[node]
	return state != nil && b.now() < state.until
}

func (b *Backoff) callAndObserve(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	status, out, err := b.call(ctx, node, call, body, timeout)
	if err != nil {
		b.observeFailure(node)
	} else {
		b.observeResponse(node)
	}
	return status, out, err
}

func (b *Backoff) observeFailure(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(node).until = b.now() + backoffTime
}

func (b *Backoff) observeResponse(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(node).until = 0
}

func (b *Backoff) beginRetry(node string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.state(node)
	if state.retrying {
		return false
	}
	state.retrying = true
	return true
}

func (b *Backoff) endRetry(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(node).retrying = false
}

// state returns the backoff state of the node, and creates it if necessary. The caller must hold b.mu.
func (b *Backoff) state(node string) *nodeBackoff {
	state := b.nodes[node]
	if state == nil {
		state = &nodeBackoff{}
		b.nodes[node] = state
	}
	return state
}
