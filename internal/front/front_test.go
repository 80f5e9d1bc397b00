package front

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
)

type always struct{ Service }

func (always) Beat([]byte) Reply { return Reply{Status: 200} }
func (always) Ready() bool       { return true }
func (always) Cut() bool         { return false }

// With half as many machines again as a node has sockets, several hundred
// workers found none and were never heard: their machines took no work.
func TestMoreWorkersThanSocketsAreAllHeard(t *testing.T) {
	const sockets, workers = 100, 400
	ln := fasthttputil.NewInmemoryListener()
	s := &Server{Service: always{}, Metrics: metrics.New(), Sockets: sockets, Report: micro.Second}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, ln) }()
	clients := make([]*fasthttp.HostClient, workers)
	for i := range clients {
		clients[i] = &fasthttp.HostClient{Addr: "n-0", MaxConns: 1, Dial: func(string) (net.Conn, error) { return ln.Dial() }}
	}
	kept := 0
	for round := range 3 {
		kept = 0
		for i, c := range clients {
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.Header.SetMethod("POST")
			req.SetRequestURI("http://n-0/agent/beat")
			if err := c.Do(req, resp); err != nil || resp.StatusCode() != 200 {
				t.Fatalf("worker %d, report %d: %v, status %d", i, round, err, resp.StatusCode())
			}
			if !resp.ConnectionClose() {
				kept++
			}
			fasthttp.ReleaseRequest(req)
			fasthttp.ReleaseResponse(resp)
		}
		if n := s.open(); n > sockets/2 {
			t.Fatalf("%d connections are open", n)
		}
	}
	if kept == 0 || kept == workers {
		t.Fatalf("%d of %d connections were kept: some should be, as far as there is room", kept, workers)
	}
	cancel()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
}
