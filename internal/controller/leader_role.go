package controller

import "notchmux.dev/notchmux/wire"

// mayRespond is true: a leader may for as long as it holds the lease.
func (l *Leader) mayRespond() bool { return true }

// refusesHeartbeat reports whether a heartbeat is for the owner of a shard to answer.
func (l *Leader) refusesHeartbeat(heartbeat *wire.Heartbeat) bool {
	return l.coordinator.RefusesHeartbeat(heartbeat)
}
