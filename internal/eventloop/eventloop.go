// Package eventloop runs the goroutine that owns a controller's state: that of a term of
// leadership, or of the ownership of a shard. All else that goes on (answers of the store,
// of the cloud and of agents, requests of users) reaches that state as typed events.
package eventloop

import (
	"context"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/micro"
)

const (
	// eventQueueSize is how many events wait for the loop before those that bring more are
	// held up. After a partition all agents send a heartbeat within a second or two: there
	// is room for those of more than 10,000 machines.
	eventQueueSize = 16384
	// queryQueueSize is the same for queries, whose callers go to the store instead.
	queryQueueSize = 1024
	// eventBatchSize is how many events are served before the loop looks at anything else.
	eventBatchSize = 64
	// tickInterval is how often Handlers.Tick runs.
	tickInterval = 100 * time.Millisecond
)

// Event is something that the loop takes in. Its type says what happened.
type Event interface {
	// Apply changes the state that the loop's goroutine owns; only that goroutine calls it.
	Apply()
}

// Queue says which events are served first.
type Queue uint8

// The queues: queries wait until no event does.
const (
	Events Queue = iota
	Queries
)

// Handlers are what a loop runs beside events, on its own goroutine.
type Handlers struct {
	// Now is the steady clock.
	Now func() micro.Time
	// Tick runs every 100 ms while the loop has time for it.
	Tick func(now micro.Time)
	// AfterEvents runs after each batch of events and each tick.
	AfterEvents func(now micro.Time)
}

// Loop holds the events that wait for one goroutine. All methods but Run may be called
// from any goroutine.
type Loop struct {
	events   chan Event
	queries  chan Event
	done     chan struct{}
	stopOnce sync.Once
}

// New makes a loop that takes events at once, and serves them once Run is called.
func New() *Loop {
	return &Loop{
		events:  make(chan Event, eventQueueSize),
		queries: make(chan Event, queryQueueSize),
		done:    make(chan struct{}),
	}
}

// Post hands the loop an event; it is dropped once the loop is stopped.
func (l *Loop) Post(event Event) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Len is how many events wait in a queue.
func (l *Loop) Len(queue Queue) int {
	if queue == Queries {
		return len(l.queries)
	}
	return len(l.events)
}

// Stop ends the loop for good.
func (l *Loop) Stop() { l.stopOnce.Do(func() { close(l.done) }) }

// StopWith stops the loop when the context ends.
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

// Done is closed when the loop is stopped.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Sleep waits for a time; false if the loop was stopped meanwhile.
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

// Run serves events and ticks until the loop is stopped; nothing is served after that.
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

// apply serves an event, unless the loop was stopped meanwhile: where several channels are
// ready, select takes any.
func (l *Loop) apply(event Event) {
	if !l.Stopped() {
		event.Apply()
	}
}

// drainEvents serves some of the events that wait already.
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

// Reply takes the answer to an event that a caller waits for.
type Reply[R any] struct{ answers chan R }

// Send gives the answer. Only the first one counts; it never blocks for that one.
func (r Reply[R]) Send(answer R) { r.answers <- answer }

// Call hands the loop an event and waits for its answer, at most for the timeout; false if
// there was none in time or the loop was stopped.
func Call[R any](l *Loop, queue Queue, timeout micro.Time, event func(Reply[R]) Event) (answer R, ok bool) {
	reply := Reply[R]{make(chan R, 1)}
	to := l.events
	if queue == Queries {
		to = l.queries
	}
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case to <- event(reply):
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
