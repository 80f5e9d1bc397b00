package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
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
	// leastOverload is for how long it then counts as overloaded at the least: what was
	// left out comes back at once.
	leastOverload = 5 * micro.Second
)

// overload watches how long reports wait for the loop.
type overload struct {
	lag   float64 // the mean wait, in microseconds
	on    bool
	until micro.Time // it does not count as eased before
}

// note takes in how long a report has waited, and tells whether the state changed.
func (o *overload) note(waited, now micro.Time) bool {
	o.lag += lagWeight * (float64(waited) - o.lag)
	was := o.on
	switch {
	case o.lag > float64(overloadLag):
		o.on, o.until = true, now+leastOverload
	case o.lag < float64(easedLag) && now > o.until:
		o.on = false
	}
	return o.on != was
}

// noteWait takes in how long a report has waited for the loop.
func (l *Lead) noteWait(waited, now micro.Time) {
	if l.overload.note(waited, now) {
		l.log.Info("overload", "on", l.overload.on, "lag_ms", int64(l.overload.lag)/int64(micro.Millisecond))
	}
}

// worthDirect reports whether a machine's orders go out at once: always while there is
// processor time, else those that start work of the first priority or prove that the
// machine lives.
func (l *Lead) worthDirect(m *model.Machine) bool {
	if !l.overload.on || m.Unproven(l.token) {
		return true
	}
	for _, p := range m.Places {
		if p.State == model.Starting && !p.Seen && p.Job != nil && p.Job.Level == 0 {
			return true
		}
	}
	return false
}
