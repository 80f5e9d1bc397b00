package dispatch

import "notchmux.dev/notchmux/internal/micro"

// When the leader's processors are saturated, heartbeats wait for the event loop, and status requests,
// peer requests and lease renewals wait for processor time. Direct commands are then omitted: each
// takes a connection of its own, and the response to the machine's next heartbeat carries the same
// commands.
const (
	// queueDelayWeight is the weight of one heartbeat in the moving average of queue delays.
	queueDelayWeight = 0.02
	// overloadDelay is the mean queue delay above which the leader counts as overloaded, and
	// recoveredDelay the one below which it no longer does.
	overloadDelay  = 150 * micro.Millisecond
	recoveredDelay = 50 * micro.Millisecond
	// minOverloadDuration is the least time for which the leader counts as overloaded: as soon as
	// it no longer does, the load of the omitted direct commands returns.
	minOverloadDuration = 5 * micro.Second
)

// overloadDetector detects overload from how long heartbeats wait for the event loop.
type overloadDetector struct {
	meanDelay float64 // in microseconds
	active    bool
	holdUntil micro.Time // earliest end of the overload
}

// observe adds the queue delay of one heartbeat and reports whether the overload began or ended.
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

// observeQueueDelay adds the queue delay of one heartbeat and logs the start and end of an overload.
func (d *Dispatcher) observeQueueDelay(waited, now micro.Time) {
	if d.overload.observe(waited, now) {
		meanDelayMS := int64(d.overload.meanDelay) / int64(micro.Millisecond)
		d.log.Info("overload state changed", "on", d.overload.active, "lag_ms", meanDelayMS)
	}
}
