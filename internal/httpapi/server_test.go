package httpapi

import (
	"context"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
)

// healthyService is a Service that is ready, not isolated, and accepts every heartbeat.
type healthyService struct{ Service }

func (healthyService) Heartbeat([]byte) Reply { return Reply{Status: 200} }
func (healthyService) Ready() bool            { return true }
func (healthyService) Isolated() bool         { return false }

// With 1.5 times as many machines as a node has sockets, several hundred agents never got a connection, so none of
// their heartbeats arrived and their machines received no tasks. The test guards against agents' keep-alive
// connections occupying all sockets.
func TestAllAgentsGetResponsesWithMoreAgentsThanSockets(t *testing.T) {
	const sockets, agents = 100, 400
	listener := fasthttputil.NewInmemoryListener()
	server := &Server{
		Service: healthyService{}, Metrics: metrics.New(), MaxSockets: sockets, HeartbeatInterval: micro.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	clients := make([]*fasthttp.HostClient, agents)
	for i := range clients {
		clients[i] = &fasthttp.HostClient{
			Addr: "n-0", MaxConns: 1, Dial: func(string) (net.Conn, error) { return listener.Dial() },
		}
	}
	keptAlive := 0
	for round := range 3 {
		keptAlive = 0
		for i, client := range clients {
			if sendHeartbeat(t, client, i, round) {
				keptAlive++
			}
		}
		if open := server.openConnections(); open > sockets/2 {
			t.Fatalf("%d connections are open after a round of heartbeats, want at most %d", open, sockets/2)
		}
	}
	if keptAlive == 0 || keptAlive == agents {
		t.Fatalf("%d of %d connections were kept alive, want some but not all", keptAlive, agents)
	}
	cancel()
	if err := <-served; err != nil {
		t.Fatalf("Serve failed: %v", err)
	}
}

// sendHeartbeat sends one heartbeat and reports whether the server kept the connection alive.
func sendHeartbeat(t *testing.T, client *fasthttp.HostClient, agent, round int) (keptAlive bool) {
	t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://n-0/agent/beat")
	if err := client.Do(req, resp); err != nil || resp.StatusCode() != 200 {
		t.Fatalf("agent %d, heartbeat %d failed: %v, status %d", agent, round, err, resp.StatusCode())
	}
	return !resp.ConnectionClose()
}
