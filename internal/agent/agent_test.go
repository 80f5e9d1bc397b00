package agent

import (
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// ampleTimeout is longer than any response in these tests takes.
const ampleTimeout = micro.Minute

// serve runs an HTTP server with the handler on loopback until the test ends.
func serve(t *testing.T, handler fasthttp.RequestHandler) (addr string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = fasthttp.Serve(listener, handler) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// agentHandler passes posted commands to the fake agent, and responds with its heartbeat:
// status 200 if they were executed, 409 if the agent refused them.
func agentHandler(fakeAgent *fake.Agent) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var commands wire.Commands
		if string(ctx.Method()) != "POST" || string(ctx.Path()) != "/orders" ||
			wire.Unmarshal(ctx.PostBody(), &commands) != nil {
			ctx.SetStatusCode(400)
			return
		}
		heartbeat, executed := fakeAgent.HandleDispatch(commands)
		if !executed {
			ctx.SetStatusCode(409)
		}
		ctx.SetBody(wire.MustMarshal(heartbeat))
	}
}

func startCommand(token, epoch uint64) wire.Commands {
	return wire.Commands{
		FencingToken: wire.Count(token), AgentEpoch: wire.Count(epoch),
		Items: []wire.Command{{Kind: wire.CommandStart, Task: "j-1/0", Attempt: 1}},
	}
}

func TestAgentExecutesOrRefusesCommands(t *testing.T) {
	fakeAgent := fake.NewAgent("m-1", "small", "a", micro.Second)
	fakeAgent.FencingToken, fakeAgent.Epoch = 5, 2
	addr, client := serve(t, agentHandler(fakeAgent)), NewClient(ampleTimeout)
	for _, tc := range []struct {
		name         string
		token, epoch uint64
		executed     bool
	}{{"older token", 4, 2, false}, {"other epoch", 5, 1, false}, {"current token and epoch", 5, 2, true}} {
		heartbeat, executed, err := client.Send(addr, startCommand(tc.token, tc.epoch))
		if err != nil || executed != tc.executed {
			t.Errorf("%s: executed %v, error %v", tc.name, executed, err)
		}
		if heartbeat == nil || heartbeat.Machine != "m-1" || (len(heartbeat.Tasks) == 1) != tc.executed {
			t.Errorf("%s: heartbeat %+v", tc.name, heartbeat)
		}
	}
}

// A response without a valid heartbeat, or with an unexpected status, is an error, but not ErrUncertain.
func TestOnlyAHeartbeatCountsAsAResponse(t *testing.T) {
	heartbeat := wire.MustMarshal(fake.NewAgent("m-1", "small", "a", micro.Second).Heartbeat())
	for _, tc := range []struct {
		name   string
		status int
		body   []byte
		want   error // nil: any
	}{
		{"no body", 200, nil, wire.ErrMalformed},
		{"truncated heartbeat", 200, heartbeat[:len(heartbeat)-1], wire.ErrMalformed},
		{"heartbeat without a machine", 200, wire.MustMarshal(wire.Heartbeat{}), wire.ErrMalformed},
		{"refusal without a heartbeat", 409, nil, wire.ErrMalformed},
		{"bad request", 400, heartbeat, nil},
		{"rate limited", 429, heartbeat, nil},
		{"internal error", 500, heartbeat, nil},
		{"unavailable", 503, heartbeat, nil},
	} {
		addr := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(tc.status); ctx.SetBody(tc.body) })
		got, executed, err := NewClient(ampleTimeout).Send(addr, startCommand(1, 1))
		if err == nil || tc.want != nil && !errors.Is(err, tc.want) {
			t.Errorf("%s: error %v, want %v", tc.name, err, tc.want)
		}
		if got != nil || executed && tc.status != 200 {
			t.Errorf("%s: executed %v, heartbeat %v", tc.name, executed, got)
		}
		if errors.Is(err, ErrUncertain) {
			t.Errorf("%s: a response was reported as no response", tc.name)
		}
	}
}

// Commands whose response is lost may have been executed. Sending them again could execute them twice.
func TestLostResponseIsUncertainAndCommandsAreNotResent(t *testing.T) {
	fakeAgent := fake.NewAgent("m-1", "small", "a", micro.Second)
	var requests atomic.Int32
	addr := serve(t, func(ctx *fasthttp.RequestCtx) {
		agentHandler(fakeAgent)(ctx)
		if count := requests.Add(1); count != 2 {
			_ = ctx.Conn().Close()
		}
	})
	client := NewClient(ampleTimeout)
	for i, lost := range []bool{true, false, true} {
		heartbeat, executed, err := client.Send(addr, startCommand(1, 1))
		if lost && (!errors.Is(err, ErrUncertain) || executed || heartbeat != nil) {
			t.Errorf("response lost: executed %v, error %v", executed, err)
		}
		if !lost && (err != nil || !executed) {
			t.Errorf("response received: executed %v, error %v", executed, err)
		}
		if got := int(requests.Load()); got != i+1 {
			t.Fatalf("the agent received %d requests, want %d", got, i+1)
		}
	}
}

func TestUnresponsiveAndMissingAgentsAreUncertain(t *testing.T) {
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	fakeAgent := fake.NewAgent("m-1", "small", "a", micro.Second)
	unresponsive := serve(t, func(ctx *fasthttp.RequestCtx) {
		select { // responds long after the client's timeout
		case <-testDone:
		case <-time.After(10 * time.Second):
			agentHandler(fakeAgent)(ctx)
		}
	})
	client := NewClient(20 * micro.Millisecond)
	if _, executed, err := client.Send(unresponsive, startCommand(1, 1)); !errors.Is(err, ErrUncertain) || executed {
		t.Errorf("unresponsive agent: executed %v, error %v", executed, err)
	}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	missing := listener.Addr().String()
	_ = listener.Close()
	if _, executed, err := NewClient(ampleTimeout).Send(missing, startCommand(1, 1)); !errors.Is(err, ErrUncertain) ||
		executed {
		t.Errorf("no listener at the address: executed %v, error %v", executed, err)
	}
}

func TestHostClientsAreBounded(t *testing.T) {
	client := NewClient(ampleTimeout)
	if first := client.hostClient("m-1:9000"); client.hostClient("m-1:9000") != first {
		t.Error("the host client of an agent is not reused")
	}
	for i := range 2 * maxHostClients {
		client.hostClient(fmt.Sprintf("m-%d:9000", i))
	}
	if got := len(client.hostClients); got > maxHostClients+1 {
		t.Errorf("%d host clients are cached, want at most %d", got, maxHostClients+1)
	}
}

// A probe must be a GET of /status without a body. If the agent treated it as commands, the probe would
// change its fencing token.
func TestProbeChangesNothingAtAnAgent(t *testing.T) {
	fakeAgent := fake.NewAgent("m-1", "small", "a", micro.Second)
	fakeAgent.FencingToken, fakeAgent.Epoch = 5, 2
	addr := serve(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Method()) != "GET" || string(ctx.Path()) != "/status" || len(ctx.PostBody()) > 0 {
			ctx.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		ctx.SetBody(wire.MustMarshal(fakeAgent.Heartbeat()))
	})
	heartbeat, err := NewClient(ampleTimeout).Probe(addr)
	if err != nil || heartbeat.Machine != "m-1" || heartbeat.FencingToken != 5 || heartbeat.AgentEpoch != 2 {
		t.Errorf("heartbeat %+v, error %v", heartbeat, err)
	}
}

// A dead agent must not be reported alive, whatever responds at its address.
func TestProbeOfADeadAgentFails(t *testing.T) {
	refused := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	garbage := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("not a heartbeat") })
	released := make(chan struct{})
	unresponsive := serve(t, func(*fasthttp.RequestCtx) { <-released })
	t.Cleanup(func() { close(released) })
	for name, addr := range map[string]string{
		"not found": refused, "not a heartbeat": garbage, "no response": unresponsive, "no listener": "127.0.0.1:1",
	} {
		if heartbeat, err := NewClient(ampleTimeout).Probe(addr); err == nil {
			t.Errorf("%s: got the heartbeat %+v, want an error", name, heartbeat)
		}
	}
}

// A peer that waited a second to connect to a machine that was switched off answered the leader's referral query
// too late, and so counted as a peer that might reach agents: when all machines had failed, leadership was handed
// from node to node.
func TestProbeBoundsTheTimeToConnect(t *testing.T) {
	client := NewClient(ampleTimeout)
	var allowed time.Duration
	client.dialProbe = func(_ string, timeout time.Duration) (net.Conn, error) {
		allowed = timeout
		return nil, fasthttp.ErrDialTimeout
	}
	if _, err := client.Probe("127.0.0.1:1"); !errors.Is(err, fasthttp.ErrDialTimeout) {
		t.Errorf("probe without a connection: error %v, want %v", err, fasthttp.ErrDialTimeout)
	}
	if allowed <= 0 || allowed > ProbeTimeout.Duration() {
		t.Errorf("time allowed to connect: %v, want more than 0 and at most %v", allowed, ProbeTimeout.Duration())
	}
}
