package eventloop

import (
	"testing"
	"testing/synctest"
	"time"

	"notchmux.dev/notchmux/internal/micro"
)

// noopEvent is an event whose Apply does nothing.
type noopEvent struct{}

func (noopEvent) Apply() {}

// fullLoop returns a loop whose queues are full and that is not running.
func fullLoop() *Loop {
	loop := New()
	for range cap(loop.events) {
		loop.events <- noopEvent{}
	}
	for range cap(loop.queries) {
		loop.queries <- noopEvent{}
	}
	return loop
}

// Guards against a call that ignores its timeout while its queue is full: it waited until the
// loop was stopped, so that the user got no answer for the rest of the term.
func TestCallWithFullQueueReturnsAtTimeout(t *testing.T) {
	for name, queue := range map[string]Queue{"events": Events, "queries": Queries} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop := fullLoop()
				defer loop.Stop()
				const timeout = 2 * micro.Second
				returned, answered := false, false
				go func() {
					_, answered = Call(loop, queue, timeout, func(Reply[int]) Event { return noopEvent{} })
					returned = true
				}()
				time.Sleep(timeout.Duration() + time.Millisecond)
				synctest.Wait()
				if !returned || answered {
					t.Errorf("after the timeout: returned %v, answered %v", returned, answered)
				}
			})
		})
	}
}

// A call that is queued but never answered returns at its timeout. A call of a stopped loop returns
// immediately.
func TestUnansweredCallReturnsAtTimeoutOrStop(t *testing.T) {
	for name, stopped := range map[string]bool{"timeout": false, "stopped": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				loop := New()
				defer loop.Stop()
				if stopped {
					loop.Stop()
				}
				const timeout = 2 * micro.Second
				want := timeout.Duration()
				if stopped {
					want = 0
				}
				startedAt := time.Now()
				_, ok := Call(loop, Events, timeout, func(Reply[int]) Event { return noopEvent{} })
				if took := time.Since(startedAt); ok || took != want {
					t.Errorf("call returned %v after %v, want false after %v", ok, took, want)
				}
			})
		})
	}
}

// countingEvent increments a counter when it is applied.
type countingEvent struct{ applied *int }

func (c countingEvent) Apply() { *c.applied++ }

// stoppingEvent stops its loop and resets the counter when it is applied.
type stoppingEvent struct {
	loop    *Loop
	applied *int
}

func (s stoppingEvent) Apply() {
	s.loop.Stop()
	*s.applied = 0
}

// Guards against events that are applied after the end of a term: answers to its calls were still
// applied at random, and so were all remaining events of the batch that ended it.
func TestStoppedLoopAppliesNoEvents(t *testing.T) {
	for name, byEvent := range map[string]bool{"stopped before Run": false, "stopped by an event": true} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				if applied := countAppliedAfterStop(byEvent); applied > 0 {
					t.Fatalf("%d events or handlers ran after the stop", applied)
				}
			}
		})
	}
}

// countAppliedAfterStop runs a loop with queued events and queries that is stopped before Run or by
// its first event, and returns the number of events applied and handlers called after the stop.
func countAppliedAfterStop(byEvent bool) int {
	loop, applied := New(), 0
	stop := stoppingEvent{loop, &applied}
	if byEvent {
		loop.Post(stop)
	} else {
		stop.Apply()
	}
	for range 2 * eventBatchSize {
		loop.events <- countingEvent{&applied}
		loop.queries <- countingEvent{&applied}
	}
	loop.Run(Handlers{
		Now: micro.Now, Tick: func(micro.Time) {},
		AfterEvents: func(micro.Time) { applied++ },
	})
	return applied
}
