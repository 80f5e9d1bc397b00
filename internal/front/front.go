// Package front is the public address: users, health checks and workers.
package front

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

// Later tells the sender to come back.
func Later(status, seconds int) Reply {
	return Reply{Status: status, Body: map[string]string{"error": "try again"}, RetryAfter: seconds}
}

// Fail is a final refusal.
func Fail(status int, why string) Reply {
	return Reply{Status: status, Body: map[string]string{"error": why}}
}

// Service is what stands behind the public address.
type Service interface {
	Submit(body []byte) Reply
	Show(id string) Reply
	Withdraw(id string) Reply
	Beat(body []byte) Reply
	Ready() bool
	// Cut reports whether this node refuses because of what it cannot reach.
	Cut() bool
}

// Server answers on the public address.
type Server struct {
	Service Service
	Metrics *metrics.Set
	Sockets int
	Report  micro.Time // how often a worker reports

	open func() int // connections that are open now
	keep int        // workers' connections are kept below so many
}

// ownSockets are kept for what the node opens itself: orders to workers, the
// state service, the cloud and the peers. All else is for workers and users.
const ownSockets = 300

// keepShare is the part of those sockets up to which a worker's connection stays
// open between its reports. Beyond it the answer closes the connection: with
// more workers than sockets, those that found none open were never heard. What
// is left serves them as they come, and the users.
const keepShare = 0.75

// idleReports is after how many report intervals a silent connection is closed: a
// cut leaves many half open.
const idleReports = 3

// Serve runs until the context ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	all := max(s.Sockets-ownSockets, s.Sockets/2, 16)
	s.keep = int(keepShare * float64(all))
	srv := &fasthttp.Server{
		Handler:               s.handle,
		Concurrency:           all,
		IdleTimeout:           max(idleReports*s.Report, 10*micro.Second).Std(),
		ReadTimeout:           35 * time.Second,
		WriteTimeout:          10 * time.Second,
		MaxRequestBodySize:    4 * wire.MaxBody,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		ReduceMemoryUsage: true,
		CloseOnShutdown:   true,
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			status := fasthttp.StatusBadRequest
			ctx.SetStatusCode(status)
			ctx.SetConnectionClose()
		},
	}
	s.open = func() int { return int(srv.GetOpenConnectionsCount()) }
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := srv.Serve(ln)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	from := micro.Now()
	path, method := string(ctx.Path()), string(ctx.Method())
	name, reply := s.route(method, path, ctx.PostBody())
	if name != "" {
		s.Metrics.Observe(name, micro.Now()-from)
	}
	if reply.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(reply.RetryAfter))
	}
	if reply.Status == 503 && name != "beat" && s.Service.Cut() {
		// The load balancer leaves open connections where they are: a user
		// would ask a node that is cut off again and again.
		ctx.SetConnectionClose()
	}
	if name == "beat" && s.open() > s.keep {
		ctx.SetConnectionClose()
	}
	ctx.SetStatusCode(reply.Status)
	ctx.SetContentType("application/msgpack")
	if reply.Body != nil {
		if b, err := wire.Marshal(reply.Body); err == nil {
			ctx.SetBody(b)
		}
	}
}

func (s *Server) route(method, path string, body []byte) (string, Reply) {
	post, get := method == "POST", method == "GET"
	switch {
	case path == "/agent/beat" && post:
		return "beat", s.Service.Beat(body)
	case path == "/ready" && get:
		if s.Service.Ready() {
			return "", Reply{Status: 200}
		}
		return "", Later(503, 1)
	case path == "/work" && post:
		return "submit", s.Service.Submit(body)
	case strings.HasPrefix(path, "/work/"):
		id := path[len("/work/"):]
		if rest, ok := strings.CutSuffix(id, "/withdraw"); ok && post {
			if !wire.ValidJobID(rest) {
				return "", Fail(404, "no such job")
			}
			return "withdraw", s.Service.Withdraw(rest)
		}
		if get {
			if !wire.ValidJobID(id) {
				return "", Fail(404, "no such job")
			}
			return "show", s.Service.Show(id)
		}
		return "", Fail(405, "method not allowed")
	case path == "/work" || path == "/ready" || path == "/agent/beat":
		return "", Fail(405, "method not allowed")
	}
	return "", Fail(404, "no such path")
}
