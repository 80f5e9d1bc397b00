package controller

import "notchmux.dev/notchmux/wire"

// mayRespond returns true: a leader may send responses for as long as it holds its lease.
func (l *Leader) mayRespond() bool { return true }

// refusesHeartbeat reports whether a heartbeat must be answered by a shard owner.
func (l *Leader) refusesHeartbeat(heartbeat *wire.Heartbeat) bool {
	return l.coordinator.RefusesHeartbeat(heartbeat)
}
