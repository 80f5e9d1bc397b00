// Package httpapi is the public address: users, health checks and agents.
package httpapi

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Reply is what a request gets. Every reply goes out at once: what cannot be
// taken now says when to come back.
type Reply struct {
	Status     int
	Body       any
	RetryAfter int // seconds; 0: none
}

// RetryReply tells the sender to come back.
func RetryReply(status, seconds int) Reply {
	return Reply{Status: status, Body: map[string]string{"error": "try again"}, RetryAfter: seconds}
}

// ErrorReply is a final refusal.
func ErrorReply(status int, reason string) Reply {
	return Reply{Status: status, Body: map[string]string{"error": reason}}
}

// Service is what stands behind the public address.
type Service interface {
	Submit(body []byte) Reply
	Status(id string) Reply
	Cancel(id string) Reply
	Heartbeat(body []byte) Reply
	Ready() bool
	// Cut reports whether this node refuses because of what it cannot reach.
	Isolated() bool
}

// Server answers on the public address.
type Server struct {
	Service           Service
	Metrics           *metrics.Set
	MaxSockets        int
	HeartbeatInterval micro.Time // how often an agent reports

	openConnections func() int // connections that are open now
	keepAliveLimit  int        // agents' connections are kept below so many
}

// reservedSockets are kept for what the node opens itself: orders to agents, the
// store, the cloud and the peers. All else is for agents and users.
const reservedSockets = 300

// keepAliveFraction is the part of those sockets up to which an agent's connection stays
// open between its heartbeats. Beyond it the answer closes the connection: with
// more agents than sockets, those that found none open were never heard. What
// is left serves them as they come, and the users.
const keepAliveFraction = 0.75

// idleTimeoutHeartbeats is after how many report intervals a silent connection is closed: a
// cut leaves many half open.
const idleTimeoutHeartbeats = 3

// Serve runs until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	maxConnections := max(s.MaxSockets-reservedSockets, s.MaxSockets/2, 16)
	s.keepAliveLimit = int(keepAliveFraction * float64(maxConnections))
	server := &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           maxConnections,
		IdleTimeout:           max(idleTimeoutHeartbeats*s.HeartbeatInterval, 10*micro.Second).Duration(),
		ReadTimeout:           35 * time.Second,
		WriteTimeout:          10 * time.Second,
		MaxRequestBodySize:    4 * wire.MaxBody,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ReduceMemoryUsage: true,
		CloseOnShutdown:   true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, _ error) {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			ctx.SetConnectionClose()
		},
	}
	s.openConnections = func() int { return int(server.GetOpenConnectionsCount()) }
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	start := micro.Now()
	path, method := string(ctx.Path()), string(ctx.Method())
	operation, reply := s.route(method, path, ctx.PostBody())
	if operation != "" {
		s.Metrics.Observe(operation, micro.Now()-start)
	}
	if reply.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(reply.RetryAfter))
	}
	if reply.Status == fasthttp.StatusServiceUnavailable && operation != "beat" && s.Service.Isolated() {
		// The load balancer leaves open connections where they are: a user
		// would ask a node that is cut off again and again.
		ctx.SetConnectionClose()
	}
	if operation == "beat" && s.openConnections() > s.keepAliveLimit {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType("application/msgpack")
	if reply.Body != nil {
		if encoded, err := wire.Marshal(reply.Body); err == nil {
			ctx.SetBody(encoded)
		}
	}
}

func (s *Server) route(method, path string, body []byte) (string, Reply) {
	post, get := method == fasthttp.MethodPost, method == fasthttp.MethodGet
	switch {
	case path == "/agent/beat" && post:
		return "beat", s.Service.Heartbeat(body)
	case path == "/ready" && get:
		if s.Service.Ready() {
			return "", Reply{Status: fasthttp.StatusOK}
		}
		return "", RetryReply(fasthttp.StatusServiceUnavailable, 1)
	case path == "/work" && post:
		return "submit", s.Service.Submit(body)
	case strings.HasPrefix(path, "/work/"):
		return s.routeJob(method, path[len("/work/"):])
	case path == "/work" || path == "/ready" || path == "/agent/beat":
		return "", methodNotAllowed()
	}
	return "", ErrorReply(fasthttp.StatusNotFound, "no such path")
}

// routeJob serves the paths of one job; rest is what follows /work/.
func (s *Server) routeJob(method, rest string) (string, Reply) {
	if jobID, ok := strings.CutSuffix(rest, "/withdraw"); ok && method == fasthttp.MethodPost {
		if !wire.ValidJobID(jobID) {
			return "", jobNotFound()
		}
		return "withdraw", s.Service.Cancel(jobID)
	}
	if method != fasthttp.MethodGet {
		return "", methodNotAllowed()
	}
	if !wire.ValidJobID(rest) {
		return "", jobNotFound()
	}
	return "show", s.Service.Status(rest)
}

func jobNotFound() Reply { return ErrorReply(fasthttp.StatusNotFound, "no such job") }

func methodNotAllowed() Reply {
	return ErrorReply(fasthttp.StatusMethodNotAllowed, "method not allowed")
}
