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

// ampleTimeout is longer than any answer of these tests takes.
const ampleTimeout = micro.Minute

// serve answers on loopback until the test ends.
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

// agentHandler answers with what an agent does with its commands.
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
		name           string
		token, session uint64
		executed       bool
	}{{"older token", 4, 2, false}, {"other session", 5, 1, false}, {"its own", 5, 2, true}} {
		heartbeat, executed, err := client.Send(addr, startCommand(tc.token, tc.session))
		if err != nil || executed != tc.executed {
			t.Errorf("%s: executed %v, %v", tc.name, executed, err)
		}
		if heartbeat == nil || heartbeat.Machine != "m-1" || (len(heartbeat.Tasks) == 1) != tc.executed {
			t.Errorf("%s: report %+v", tc.name, heartbeat)
		}
	}
}

func TestOnlyAHeartbeatCountsAsAResponse(t *testing.T) {
	heartbeat := wire.MustMarshal(fake.NewAgent("m-1", "small", "a", micro.Second).Heartbeat())
	for _, tc := range []struct {
		name   string
		status int
		body   []byte
		want   error // nil: any
	}{
		{"no body", 200, nil, wire.ErrMalformed},
		{"half a report", 200, heartbeat[:len(heartbeat)-1], wire.ErrMalformed},
		{"report of nobody", 200, wire.MustMarshal(wire.Heartbeat{}), wire.ErrMalformed},
		{"refusal without a report", 409, nil, wire.ErrMalformed},
		{"malformed", 400, heartbeat, nil},
		{"over its limit", 429, heartbeat, nil},
		{"unexpected", 500, heartbeat, nil},
		{"refused", 503, heartbeat, nil},
	} {
		addr := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(tc.status); ctx.SetBody(tc.body) })
		got, executed, err := NewClient(ampleTimeout).Send(addr, startCommand(1, 1))
		if err == nil || tc.want != nil && !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", tc.name, err)
		}
		if got != nil || executed && tc.status != 200 {
			t.Errorf("%s: executed %v, report %v", tc.name, executed, got)
		}
		if errors.Is(err, ErrUncertain) {
			t.Errorf("%s: an answer was taken for none", tc.name)
		}
	}
}

// Orders whose answer is lost may have run, and are not sent again.
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
			t.Errorf("lost answer: executed %v, %v", executed, err)
		}
		if !lost && (err != nil || !executed) {
			t.Errorf("answered: executed %v, %v", executed, err)
		}
		if got := int(requests.Load()); got != i+1 {
			t.Fatalf("the worker had %d requests, not %d", got, i+1)
		}
	}
}

func TestUnresponsiveAndMissingAgentsAreUncertain(t *testing.T) {
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	fakeAgent := fake.NewAgent("m-1", "small", "a", micro.Second)
	unresponsive := serve(t, func(ctx *fasthttp.RequestCtx) {
		select { // it answers in the end, long after the client gave up
		case <-testDone:
		case <-time.After(10 * time.Second):
			agentHandler(fakeAgent)(ctx)
		}
	})
	client := NewClient(20 * micro.Millisecond)
	if _, executed, err := client.Send(unresponsive, startCommand(1, 1)); !errors.Is(err, ErrUncertain) || executed {
		t.Errorf("silent: executed %v, %v", executed, err)
	}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	missing := listener.Addr().String()
	_ = listener.Close()
	if _, executed, err := NewClient(ampleTimeout).Send(missing, startCommand(1, 1)); !errors.Is(err, ErrUncertain) ||
		executed {
		t.Errorf("missing: executed %v, %v", executed, err)
	}
}

func TestHostClientsAreBounded(t *testing.T) {
	client := NewClient(ampleTimeout)
	if first := client.hostClient("m-1:9000"); client.hostClient("m-1:9000") != first {
		t.Error("a worker's connections are not kept")
	}
	for i := range 2 * maxHostClients {
		client.hostClient(fmt.Sprintf("m-%d:9000", i))
	}
	if got := len(client.hostClients); got > maxHostClients+1 {
		t.Errorf("%d clients are kept", got)
	}
}

// A probe that an agent took for commands would have moved its fencing token.
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
		t.Errorf("%+v, %v", heartbeat, err)
	}
}

// A dead agent must not be taken for one that lives, whatever answers at its address.
func TestProbeOfADeadAgentFails(t *testing.T) {
	refused := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusNotFound) })
	garbage := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("not a heartbeat") })
	released := make(chan struct{})
	silent := serve(t, func(*fasthttp.RequestCtx) { <-released })
	t.Cleanup(func() { close(released) })
	for name, addr := range map[string]string{
		"no such call": refused, "garbage": garbage, "no answer": silent, "nobody listens": "127.0.0.1:1",
	} {
		if heartbeat, err := NewClient(ampleTimeout).Probe(addr); err == nil {
			t.Errorf("%s: %+v", name, heartbeat)
		}
	}
}

// A peer that waited a second for a connection to a machine that is switched off answered the leader too
// late, and so counted as one that might reach agents: the lead went round where all machines had died.
func TestProbeBoundsTheTimeToConnect(t *testing.T) {
	client := NewClient(ampleTimeout)
	var allowed time.Duration
	client.dialProbe = func(_ string, timeout time.Duration) (net.Conn, error) {
		allowed = timeout
		return nil, fasthttp.ErrDialTimeout
	}
	if _, err := client.Probe("127.0.0.1:1"); !errors.Is(err, fasthttp.ErrDialTimeout) {
		t.Error(err)
	}
	if allowed <= 0 || allowed > ProbeTimeout.Duration() {
		t.Errorf("%v to connect, want %v at most", allowed, ProbeTimeout.Duration())
	}
}
