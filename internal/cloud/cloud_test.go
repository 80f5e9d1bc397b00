package cloud_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/wire"
)

// plenty is a rate that no test uses up.
const plenty = 1e6

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

func rental(request string, count int) wire.Rental {
	return wire.Rental{Request: request, Type: "small", Zone: "a", Count: count}
}

func TestEachStatusHasItsError(t *testing.T) {
	names := wire.MustMarshal(wire.MachineNames{Machines: []string{"i-000001"}})
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		want   error
	}{
		{"done", 200, names, nil},
		{"malformed", 400, nil, cloud.ErrBad},
		{"over its limit", 429, nil, cloud.ErrBusy},
		{"unexpected", 500, nil, cloud.ErrUncertain},
		{"no capacity", 503, wire.MustMarshal(map[string]string{"error": "no capacity"}), cloud.ErrNoCapacity},
		{"in trouble", 503, wire.MustMarshal(map[string]string{"error": "maintenance"}), cloud.ErrTrouble},
		{"in trouble, and no body", 503, nil, cloud.ErrTrouble},
		{"in trouble, and a broken body", 503, []byte{0x81, 0xa5}, cloud.ErrTrouble},
		{"done, and no body", 200, nil, wire.ErrMalformed},
		{"done, and half a body", 200, names[:len(names)-1], wire.ErrMalformed},
		{"done, and another body", 200, wire.MustMarshal("text"), wire.ErrMalformed},
	} {
		client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(c.status)
			ctx.SetBody(c.body)
		}), plenty)
		got, err := client.Rent(t.Context(), rental("r-1", 1))
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, not %v", c.name, err, c.want)
		}
		if (len(got) == 1) != (c.want == nil) {
			t.Errorf("%s: machines %v", c.name, got)
		}
	}
}

// A rental whose answer is lost may have been carried out. It is not repeated by
// the client; the caller repeats its name, and nothing is rented twice.
func TestRentalWhoseAnswerIsLostIsRentedOnce(t *testing.T) {
	stand := fake.NewCloud(10)
	var requests atomic.Int32
	client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		stand.Handle(ctx)
		if n := requests.Add(1); n == 1 || n == 3 {
			_ = ctx.Conn().Close()
		}
	}), plenty)
	for i, lost := range []bool{true, false, true, false} {
		request := rental([]string{"new", "served before"}[i/2], 2)
		machines, err := client.Rent(t.Context(), request)
		if errors.Is(err, cloud.ErrUncertain) != lost || !lost && (err != nil || len(machines) != 2) {
			t.Errorf("%s: %v %v", request.Request, machines, err)
		}
		if got := int(requests.Load()); got != i+1 {
			t.Fatalf("%s: the cloud had %d requests, not %d", request.Request, got, i+1)
		}
	}
	if rented := len(stand.Rented()); rented != 4 {
		t.Errorf("%d machines are rented, not 4", rented)
	}
}

func TestReadWhoseAnswerIsLostIsNotRepeated(t *testing.T) {
	var requests atomic.Int32
	client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		requests.Add(1)
		_ = ctx.Conn().Close()
	}), plenty)
	if _, err := client.List(t.Context(), ""); !errors.Is(err, cloud.ErrUncertain) {
		t.Errorf("list: %v", err)
	}
	if _, err := client.Catalog(t.Context()); !errors.Is(err, cloud.ErrUncertain) {
		t.Errorf("catalog: %v", err)
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("the cloud had %d requests, not 2", got)
	}
}

func TestCallsOverTheRateAreNotSent(t *testing.T) {
	const burst = 3
	var requests atomic.Int32
	client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		requests.Add(1)
		ctx.SetBody(wire.MustMarshal(wire.Catalog{}))
	}), burst)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Catalog(ended); !errors.Is(err, cloud.ErrBusy) {
		t.Errorf("a call that nobody waits for: %v", err)
	}
	if got := requests.Load(); got != 0 {
		t.Errorf("%d requests were sent", got)
	}
}

func TestMachinesAreRentedListedAndReturned(t *testing.T) {
	stand := fake.NewCloud(3, wire.MachineType{Name: "small"})
	client := cloud.NewClient(serve(t, stand.Handle), plenty)
	catalog, err := client.Catalog(t.Context())
	if err != nil || len(catalog.Types) != 1 || catalog.Types[0].Name != "small" {
		t.Fatalf("catalog: %v %v", catalog, err)
	}
	machines, err := client.Rent(t.Context(), rental("r-1", 5))
	if err != nil || len(machines) != 3 {
		t.Fatalf("rented %v: %v", machines, err)
	}
	if _, err := client.Rent(t.Context(), rental("r-2", 1)); !errors.Is(err, cloud.ErrNoCapacity) {
		t.Errorf("beyond the capacity: %v", err)
	}
	if _, err := client.Rent(t.Context(), rental("r-3", 0)); !errors.Is(err, cloud.ErrBad) {
		t.Errorf("no machines: %v", err)
	}
	if err := client.Return(t.Context(), machines[:2]); err != nil {
		t.Fatal(err)
	}
	list, err := client.List(t.Context(), "")
	if err != nil || len(list.Machines) != 1 || list.Machines[0].Name != machines[2] {
		t.Errorf("list: %v %v", list, err)
	}
}

func TestNextPageFollowsTheLastName(t *testing.T) {
	var since string
	client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		since = string(ctx.QueryArgs().Peek("since"))
		ctx.SetBody(wire.MustMarshal(wire.MachineList{}))
	}), plenty)
	for _, after := range []string{"i-000500", "i&limit=1", ""} {
		if _, err := client.List(t.Context(), after); err != nil || since != after {
			t.Errorf("after %q: asked after %q, %v", after, since, err)
		}
	}
}
