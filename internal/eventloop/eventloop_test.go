package eventloop

import (
	"testing"
	"testing/synctest"
	"time"

	"notchmux.dev/notchmux/internal/micro"
)

// noopEvent is an event without effect.
type noopEvent struct{}

func (noopEvent) Apply() {}

// fullLoop makes a loop whose queues are full and that nothing serves.
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

// A call whose queue was full at its timeout waited until the loop ended: its user got no answer
// for the rest of the term.
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
					t.Errorf("at its timeout: returned %v, answered %v", returned, answered)
				}
			})
		})
	}
}

// A call that the loop took in and never answers ends at its timeout; one beyond a stop, at once.
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
				from := time.Now()
				_, ok := Call(loop, Events, timeout, func(Reply[int]) Event { return noopEvent{} })
				if took := time.Since(from); ok || took != want {
					t.Errorf("answered %v after %v, want %v", ok, took, want)
				}
			})
		})
	}
}

// countingEvent counts how often it is applied.
type countingEvent struct{ applied *int }

func (c countingEvent) Apply() { *c.applied++ }

// stoppingEvent stops its loop, and has the count begin anew.
type stoppingEvent struct {
	loop    *Loop
	applied *int
}

func (s stoppingEvent) Apply() {
	s.loop.Stop()
	*s.applied = 0
}

// Answers to calls of a term that had ended were still taken in, some at random, and the batch
// that ended it to its last event.
func TestStoppedLoopAppliesNoEvents(t *testing.T) {
	for name, byEvent := range map[string]bool{"stopped by others": false, "stopped by an event": true} {
		t.Run(name, func(t *testing.T) {
			for range 50 {
				if applied := countAppliedAfterStop(byEvent); applied > 0 {
					t.Fatalf("%d events were applied after the stop", applied)
				}
			}
		})
	}
}

// countAppliedAfterStop runs a loop with full queues that was stopped already, or that its first event
// stops, and counts what is served after that.
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
