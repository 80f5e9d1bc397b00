package peer

import (
	"context"
	"fmt"
	"sync"

	"notchmux.dev/notchmux/internal/micro"
)

// ErrBackingOff means that a node was not called, since it lately gave no answer. It is an
// ErrUnreachable.
var ErrBackingOff = fmt.Errorf("%w: left alone for a while", ErrUnreachable)

// backoffTime is for how long a node is left alone that did not answer.
const backoffTime = 2 * micro.Second

// CallFunc calls a node, as a Caller does.
type CallFunc func(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error)

// Backoff leaves nodes alone for a while that did not answer a call, so that not every request
// waits for a node that is gone. One late answer does not show that a node is gone: a single
// call at a time may try it meanwhile, and any answer ends the backoff. Any goroutine may call
// its methods.
type Backoff struct {
	call CallFunc
	now  func() micro.Time

	mu    sync.Mutex
	nodes map[string]*nodeBackoff
}

// nodeBackoff is what is known of a node that did not answer.
type nodeBackoff struct {
	until    micro.Time // it is left alone until then
	retrying bool       // a call that tries it nevertheless is under way
}

// NewBackoff makes a Backoff for calls, by a steady clock.
func NewBackoff(call CallFunc, now func() micro.Time) *Backoff {
	return &Backoff{call: call, now: now, nodes: map[string]*nodeBackoff{}}
}

// Call calls a node, unless it is left alone: ErrBackingOff.
func (b *Backoff) Call(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	if b.BackingOff(node) {
		return 0, nil, ErrBackingOff
	}
	return b.callAndObserve(ctx, node, call, body, timeout)
}

// Retry calls a node also if it is left alone; while another such call is under way, it is not
// called: ErrBackingOff.
func (b *Backoff) Retry(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	if !b.beginRetry(node) {
		return 0, nil, ErrBackingOff
	}
	defer b.endRetry(node)
	return b.callAndObserve(ctx, node, call, body, timeout)
}

// CallRegardless calls a node whether it is left alone or not. That it gives no answer has no
// consequences.
func (b *Backoff) CallRegardless(
	ctx context.Context, node, call string, body []byte, timeout micro.Time,
) (int, []byte, error) {
	status, out, err := b.call(ctx, node, call, body, timeout)
	if err == nil {
		b.observeAnswer(node)
	}
	return status, out, err
}

// BackingOff reports whether a node is left alone.
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
		b.observeAnswer(node)
	}
	return status, out, err
}

func (b *Backoff) observeFailure(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(node).until = b.now() + backoffTime
}

func (b *Backoff) observeAnswer(node string) {
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

// state is that of a node; the caller holds the lock.
func (b *Backoff) state(node string) *nodeBackoff {
	state := b.nodes[node]
	if state == nil {
		state = &nodeBackoff{}
		b.nodes[node] = state
	}
	return state
}
