package controller

import (
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/wire"
)

// dispatchHost implements dispatch.Host for a control loop.
type dispatchHost struct{ loop *controlLoop }

// HoldsLease reports whether commands may be sent. It is safe for concurrent use.
func (h dispatchHost) HoldsLease() bool { return h.loop.holdsLease() }

// RefusesHeartbeat reports whether a heartbeat must be answered by another controller.
func (h dispatchHost) RefusesHeartbeat(heartbeat *wire.Heartbeat) bool {
	return h.loop.role.refusesHeartbeat(heartbeat)
}

// HeartbeatReceived reports to the failure detector that an agent reached this node.
func (h dispatchHost) HeartbeatReceived() { h.loop.detector.CountHeartbeat() }

// Resign ends the term.
func (h dispatchHost) Resign(reason string) { h.loop.resign(reason) }

// handleHeartbeat answers an agent's heartbeat. It waits for the loop, so it must not be called on
// the loop's goroutine.
func (l *controlLoop) handleHeartbeat(heartbeat *wire.Heartbeat) httpapi.Reply {
	commands, accepted := l.dispatcher.HandleHeartbeat(heartbeat)
	if !accepted {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1)
	}
	return httpapi.Reply{Status: http.StatusOK, Body: commands}
}
