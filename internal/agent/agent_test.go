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

// patient is longer than any answer of these tests takes.
const patient = micro.Minute

// serve answers on loopback until the test ends.
func serve(t *testing.T, handler fasthttp.RequestHandler) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = fasthttp.Serve(listener, handler) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// direct answers with what a worker does with its orders.
func direct(worker *fake.Worker) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var orders wire.Orders
		if string(ctx.Method()) != "POST" || string(ctx.Path()) != "/orders" || wire.Unmarshal(ctx.PostBody(), &orders) != nil {
			ctx.SetStatusCode(400)
			return
		}
		report, executed := worker.Direct(orders)
		if !executed {
			ctx.SetStatusCode(409)
		}
		ctx.SetBody(wire.MustMarshal(report))
	}
}

func start(token, session uint64) wire.Orders {
	return wire.Orders{Token: wire.Count(token), Session: wire.Count(session),
		Orders: []wire.Order{{Op: wire.OpStart, Task: "j-1/0", Attempt: 1}}}
}

func TestWorkerExecutesOrRefusesOrders(t *testing.T) {
	worker := fake.NewWorker("m-1", "small", "a", micro.Second)
	worker.Token, worker.Session = 5, 2
	addr, client := serve(t, direct(worker)), NewClient(patient)
	for _, c := range []struct {
		name           string
		token, session uint64
		executed       bool
	}{{"older token", 4, 2, false}, {"other session", 5, 1, false}, {"its own", 5, 2, true}} {
		report, executed, err := client.Send(addr, start(c.token, c.session))
		if err != nil || executed != c.executed {
			t.Errorf("%s: executed %v, %v", c.name, executed, err)
		}
		if report == nil || report.Machine != "m-1" || (len(report.Tasks) == 1) != c.executed {
			t.Errorf("%s: report %+v", c.name, report)
		}
	}
}

func TestOnlyAReportCountsAsAnAnswer(t *testing.T) {
	report := wire.MustMarshal(fake.NewWorker("m-1", "small", "a", micro.Second).Report())
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		want   error // nil: any
	}{
		{"no body", 200, nil, wire.ErrMalformed},
		{"half a report", 200, report[:len(report)-1], wire.ErrMalformed},
		{"report of nobody", 200, wire.MustMarshal(wire.Report{}), wire.ErrMalformed},
		{"refusal without a report", 409, nil, wire.ErrMalformed},
		{"malformed", 400, report, nil},
		{"over its limit", 429, report, nil},
		{"unexpected", 500, report, nil},
		{"refused", 503, report, nil},
	} {
		addr := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(c.status); ctx.SetBody(c.body) })
		got, executed, err := NewClient(patient).Send(addr, start(1, 1))
		if err == nil || c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: %v", c.name, err)
		}
		if got != nil || executed && c.status != 200 {
			t.Errorf("%s: executed %v, report %v", c.name, executed, got)
		}
		if errors.Is(err, ErrUncertain) {
			t.Errorf("%s: an answer was taken for none", c.name)
		}
	}
}

// Orders whose answer is lost may have run, and are not sent again.
func TestLostAnswerIsUncertainAndOrdersAreNotSentTwice(t *testing.T) {
	worker := fake.NewWorker("m-1", "small", "a", micro.Second)
	var requests atomic.Int32
	addr := serve(t, func(ctx *fasthttp.RequestCtx) {
		direct(worker)(ctx)
		if n := requests.Add(1); n != 2 {
			_ = ctx.Conn().Close()
		}
	})
	client := NewClient(patient)
	for i, lost := range []bool{true, false, true} {
		report, executed, err := client.Send(addr, start(1, 1))
		if lost && (!errors.Is(err, ErrUncertain) || executed || report != nil) {
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

func TestSilentAndMissingWorkersAreUncertain(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	worker := fake.NewWorker("m-1", "small", "a", micro.Second)
	silent := serve(t, func(ctx *fasthttp.RequestCtx) {
		select { // it answers in the end, long after the client gave up
		case <-ended:
		case <-time.After(10 * time.Second):
			direct(worker)(ctx)
		}
	})
	client := NewClient(20 * micro.Millisecond)
	if _, executed, err := client.Send(silent, start(1, 1)); !errors.Is(err, ErrUncertain) || executed {
		t.Errorf("silent: executed %v, %v", executed, err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	missing := listener.Addr().String()
	_ = listener.Close()
	if _, executed, err := NewClient(patient).Send(missing, start(1, 1)); !errors.Is(err, ErrUncertain) || executed {
		t.Errorf("missing: executed %v, %v", executed, err)
	}
}

func TestClientsOfWorkersAreKeptWithinBounds(t *testing.T) {
	client := NewClient(patient)
	if first := client.host("m-1:9000"); client.host("m-1:9000") != first {
		t.Error("a worker's connections are not kept")
	}
	for i := range 2 * maxHosts {
		client.host(fmt.Sprintf("m-%d:9000", i))
	}
	if got := len(client.hosts); got > maxHosts+1 {
		t.Errorf("%d clients are kept", got)
	}
}
