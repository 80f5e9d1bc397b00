// Package httpapi implements the HTTP server on the public address of a node. It serves requests of users, health
// checks and agent heartbeats.
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

// Reply is the response to a request. Every request is answered without delay: one that cannot be accepted now gets a
// reply with RetryAfter set.
type Reply struct {
	Status     int
	Body       any
	RetryAfter int // value of the Retry-After header, in seconds; 0 sends no header
}

// RetryReply returns an error reply that asks the client to retry after the given number of seconds.
func RetryReply(status, seconds int) Reply {
	return Reply{Status: status, Body: map[string]string{"error": "try again"}, RetryAfter: seconds}
}

// ErrorReply returns an error reply without Retry-After: the request will not succeed if it is repeated.
func ErrorReply(status int, reason string) Reply {
	return Reply{Status: status, Body: map[string]string{"error": reason}}
}

// Service handles the requests that arrive at the public address.
type Service interface {
	// Submit accepts or refuses the job that is encoded in body.
	Submit(body []byte) Reply
	// Status returns the status of a job.
	Status(id string) Reply
	// Cancel cancels a job.
	Cancel(id string) Reply
	// Heartbeat processes an agent's heartbeat.
	Heartbeat(body []byte) Reply
	// Ready reports whether this node passes the load balancer's health check.
	Ready() bool
	// Isolated reports whether this node refuses requests because it cannot reach its dependencies.
	Isolated() bool
}

// Server serves HTTP requests on the public address. Its exported fields must be set before Serve is called.
type Server struct {
	Service           Service
	Metrics           *metrics.Set
	MaxSockets        int        // maximum number of sockets that the node may have open
	HeartbeatInterval micro.Time // interval between two heartbeats of an agent

	openConnections func() int // returns the number of connections that are open now
	keepAliveLimit  int        // with more open connections, agents' connections are closed after the response
}

// reservedSockets is the number of sockets reserved for connections that the node opens itself: to agents (direct
// commands), the store, the cloud and its peers. The remaining sockets serve agents and users.
const reservedSockets = 300

// keepAliveFraction is the fraction of the remaining sockets up to which agents' connections stay open between
// heartbeats. Above it, the response to a heartbeat closes the connection: otherwise, with more agents than sockets,
// agents without a connection could never send a heartbeat. The rest of the sockets serves those agents and the users.
const keepAliveFraction = 0.75

// idleTimeoutHeartbeats is the idle timeout of a connection, in heartbeat intervals. A network partition leaves many
// half-open connections behind, which this timeout closes.
const idleTimeoutHeartbeats = 3

// Serve accepts and serves connections until ctx is cancelled, for which it returns nil.
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

// handle serves one request and records its latency.
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
		// The load balancer does not move open connections: on a kept-alive connection, a user's retries would
		// all reach this isolated node.
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

// route dispatches a request by method and path. It returns the name of the operation in the metrics, or "" if the
// request is not counted there, and the reply.
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

// routeJob is route for the paths of a single job; rest is the path after "/work/".
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
