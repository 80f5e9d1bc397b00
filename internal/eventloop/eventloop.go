// Package eventloop runs the goroutine that owns the state of a controller for one term of
// leadership or for the ownership of one shard. Everything else (responses of the store, the
// cloud and agents, requests of users) reaches that state as typed events.
package eventloop

import (
	"context"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/micro"
)

const (
	// eventQueueSize is the number of events that can be queued before Post blocks. After a
	// partition, all agents send a heartbeat within a second or two; the queue holds the
	// heartbeats of more than 10,000 machines.
	eventQueueSize = 16384
	// queryQueueSize is the number of queries that can be queued. Callers whose query is not
	// answered in time read from the store instead.
	queryQueueSize = 1024
	// eventBatchSize is the maximum number of queued events that are applied before the loop
	// checks queries and ticks again.
	eventBatchSize = 64
	// tickInterval is the interval between calls of Handlers.Tick.
	tickInterval = 100 * time.Millisecond
)

// Event is a unit of work for the loop. Its type identifies what happened.
type Event interface {
	// Apply changes the state that the loop's goroutine owns. Only that goroutine calls it.
	Apply()
}

// Queue identifies one of the loop's queues.
type Queue uint8

// The queues of a loop. Events are preferred to queries: after each event, up to eventBatchSize
// queued events are applied before the next query.
const (
	Events Queue = iota
	Queries
)

// Handlers are the callbacks that a loop calls on its own goroutine.
type Handlers struct {
	// Now returns the time of the monotonic clock.
	Now func() micro.Time
	// Tick is called every 100 ms. Ticks are dropped while the loop is busy.
	Tick func(now micro.Time)
	// AfterEvents is called after each batch of events, each query and each tick.
	AfterEvents func(now micro.Time)
}

// Loop queues events and applies them on the goroutine that calls Run. All methods except Run
// may be called from any goroutine.
type Loop struct {
	events   chan Event
	queries  chan Event
	done     chan struct{}
	stopOnce sync.Once
}

// New returns a loop that queues events from now on and applies them once Run is called.
func New() *Loop {
	return &Loop{
		events:  make(chan Event, eventQueueSize),
		queries: make(chan Event, queryQueueSize),
		done:    make(chan struct{}),
	}
}

// Post queues an event. It blocks while the queue is full, and drops the event if the loop is
// stopped meanwhile.
func (l *Loop) Post(event Event) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Len returns the number of events in a queue.
func (l *Loop) Len(queue Queue) int {
	if queue == Queries {
		return len(l.queries)
	}
	return len(l.events)
}

// Stop ends the loop permanently. It may be called more than once.
func (l *Loop) Stop() { l.stopOnce.Do(func() { close(l.done) }) }

// StopWith stops the loop when the context is cancelled.
func (l *Loop) StopWith(ctx context.Context) {
	go func() {
		select {
		case <-ctx.Done():
			l.Stop()
		case <-l.done:
		}
	}()
}

// Stopped reports whether the loop was stopped.
func (l *Loop) Stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the loop is stopped.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Sleep waits for a duration. It returns false early if the loop is stopped meanwhile.
func (l *Loop) Sleep(d micro.Time) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-l.done:
		return false
	case <-timer.C:
		return true
	}
}

// Run applies events and calls the handlers until the loop is stopped. No event is applied after
// the stop.
func (l *Loop) Run(handlers Handlers) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !l.Stopped() {
		select {
		case <-l.done:
			return
		case event := <-l.events:
			l.apply(event)
			l.drainEvents()
		case query := <-l.queries:
			l.apply(query)
		case <-ticker.C:
			handlers.Tick(handlers.Now())
		}
		if !l.Stopped() {
			handlers.AfterEvents(handlers.Now())
		}
	}
}

// apply applies an event unless the loop was stopped. The check is required because select picks
// a random channel if several are ready, so an event may be received after the stop.
func (l *Loop) apply(event Event) {
	if !l.Stopped() {
		event.Apply()
	}
}

// drainEvents applies at most eventBatchSize events that are already queued.
func (l *Loop) drainEvents() {
	for range eventBatchSize {
		select {
		case event := <-l.events:
			l.apply(event)
		default:
			return
		}
	}
}

// Reply delivers the answer to an event to the caller that waits for it.
type Reply[R any] struct{ answers chan R }

// Send sends the answer. Only the first answer is used, and sending it never blocks.
func (r Reply[R]) Send(answer R) { r.answers <- answer }

// Call queues an event and waits for its answer. It returns false if the event was not queued and
// answered within the timeout, or if the loop was stopped.
func Call[R any](l *Loop, queue Queue, timeout micro.Time, event func(Reply[R]) Event) (answer R, ok bool) {
	reply := Reply[R]{make(chan R, 1)}
	target := l.events
	if queue == Queries {
		target = l.queries
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case target <- event(reply):
	case <-l.done:
		return answer, false
	case <-timer.C:
		return answer, false
	}
	select {
	case answer = <-reply.answers:
		return answer, true
	case <-l.done:
	case <-timer.C:
	}
	return answer, false
}
