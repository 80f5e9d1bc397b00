package controller

import (
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/wire"
)

// dispatchHost is what the dispatcher needs of the loop that it sends commands for.
type dispatchHost struct{ loop *controlLoop }

// HoldsLease reports whether commands may be sent; any goroutine may ask.
func (h dispatchHost) HoldsLease() bool { return h.loop.holdsLease() }

// RefusesHeartbeat reports whether a heartbeat is another controller's to answer.
func (h dispatchHost) RefusesHeartbeat(heartbeat *wire.Heartbeat) bool {
	return h.loop.role.refusesHeartbeat(heartbeat)
}

// HeartbeatReceived notes that an agent reached this node.
func (h dispatchHost) HeartbeatReceived() { h.loop.detector.CountHeartbeat() }

// Resign ends the term.
func (h dispatchHost) Resign(reason string) { h.loop.resign(reason) }

// handleHeartbeat answers an agent's heartbeat; any goroutine but the loop's may call it.
func (l *controlLoop) handleHeartbeat(heartbeat *wire.Heartbeat) httpapi.Reply {
	commands, accepted := l.dispatcher.HandleHeartbeat(heartbeat)
	if !accepted {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1)
	}
	return httpapi.Reply{Status: http.StatusOK, Body: commands}
}
