package dispatch

import "notchmux.dev/notchmux/internal/micro"

// Where the leader's processor is used up, heartbeats wait for the loop, and status requests,
// peers and renewals for the processor. What can be left out then are commands sent at once:
// each message takes a connection of its own, and the response to the machine's next
// heartbeat brings the same.
const (
	// queueDelayWeight is the weight of one heartbeat in the mean of how long they wait.
	queueDelayWeight = 0.02
	// overloadDelay is the mean wait from which the leader counts as overloaded, and
	// easedDelay that below which it no longer does.
	overloadDelay  = 150 * micro.Millisecond
	recoveredDelay = 50 * micro.Millisecond
	// minOverloadDuration is for how long it then counts as overloaded at the least: what was
	// left out comes back at once.
	minOverloadDuration = 5 * micro.Second
)

// overloadDetector watches how long heartbeats wait for the loop.
type overloadDetector struct {
	meanDelay float64 // in microseconds
	active    bool
	holdUntil micro.Time // it does not count as eased before
}

// observe takes in how long a heartbeat has waited, and tells whether the state changed.
func (o *overloadDetector) observe(waited, now micro.Time) bool {
	o.meanDelay += queueDelayWeight * (float64(waited) - o.meanDelay)
	was := o.active
	switch {
	case o.meanDelay > float64(overloadDelay):
		o.active, o.holdUntil = true, now+minOverloadDuration
	case o.meanDelay < float64(recoveredDelay) && now > o.holdUntil:
		o.active = false
	}
	return o.active != was
}

// observeQueueDelay takes in how long a heartbeat has waited for the loop.
func (d *Dispatcher) observeQueueDelay(waited, now micro.Time) {
	if d.overload.observe(waited, now) {
		meanDelayMS := int64(d.overload.meanDelay) / int64(micro.Millisecond)
		d.log.Info("overload", "on", d.overload.active, "lag_ms", meanDelayMS)
	}
}
