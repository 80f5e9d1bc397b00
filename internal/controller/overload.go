package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// Where the leader's processor is used up, reports wait for the loop, and polls, peers
// and renewals for the processor. What can be left out then are direct orders: each
// takes a connection of its own, and the machine's next report brings the same.
const (
	// lagWeight is the weight of one report in the mean of how long they wait.
	lagWeight = 0.02
	// overloadLag is the mean wait from which the leader counts as overloaded, and
	// easedLag that below which it no longer does.
	overloadLag = 150 * micro.Millisecond
	easedLag    = 50 * micro.Millisecond
	// minOverloadDuration is for how long it then counts as overloaded at the least: what was
	// left out comes back at once.
	minOverloadDuration = 5 * micro.Second
)

// overloadDetector watches how long reports wait for the loop.
type overloadDetector struct {
	lag       float64 // the mean wait, in microseconds
	active    bool
	holdUntil micro.Time // it does not count as eased before
}

// observe takes in how long a report has waited, and tells whether the state changed.
func (o *overloadDetector) observe(waited, now micro.Time) bool {
	o.lag += lagWeight * (float64(waited) - o.lag)
	was := o.active
	switch {
	case o.lag > float64(overloadLag):
		o.active, o.holdUntil = true, now+minOverloadDuration
	case o.lag < float64(easedLag) && now > o.holdUntil:
		o.active = false
	}
	return o.active != was
}

// observeQueueDelay takes in how long a report has waited for the loop.
func (l *Leader) observeQueueDelay(waited, now micro.Time) {
	if l.overload.observe(waited, now) {
		l.log.Info("overload", "on", l.overload.active, "lag_ms", int64(l.overload.lag)/int64(micro.Millisecond))
	}
}

// shouldDispatch reports whether a machine's orders go out at once: always while there is
// processor time, else those that start work of the first priority or prove that the
// machine lives.
func (l *Leader) shouldDispatch(m *cluster.Machine) bool {
	if !l.overload.active || m.WouldProveAlive(l.fencingToken) {
		return true
	}
	for _, p := range m.Allocations {
		if p.State == cluster.Starting && !p.Observed && p.Job != nil && p.Job.PriorityLevel == 0 {
			return true
		}
	}
	return false
}
