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

// unlimitedRate is a rate that no test uses up.
const unlimitedRate = 1e6

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

func instanceRequest(requestID string, count int) wire.InstanceRequest {
	return wire.InstanceRequest{RequestID: requestID, Type: "small", Zone: "a", Count: count}
}

func TestEachStatusHasItsError(t *testing.T) {
	names := wire.MustMarshal(wire.MachineNames{Machines: []string{"i-000001"}})
	for _, tc := range []struct {
		name   string
		status int
		body   []byte
		want   error
	}{
		{"done", 200, names, nil},
		{"malformed", 400, nil, cloud.ErrMalformed},
		{"over its limit", 429, nil, cloud.ErrRateLimited},
		{"unexpected", 500, nil, cloud.ErrUncertain},
		{"no capacity", 503, wire.MustMarshal(map[string]string{"error": "no capacity"}), cloud.ErrNoCapacity},
		{"in trouble", 503, wire.MustMarshal(map[string]string{"error": "maintenance"}), cloud.ErrUnavailable},
		{"in trouble, and no body", 503, nil, cloud.ErrUnavailable},
		{"in trouble, and a broken body", 503, []byte{0x81, 0xa5}, cloud.ErrUnavailable},
		{"done, and no body", 200, nil, wire.ErrMalformed},
		{"done, and half a body", 200, names[:len(names)-1], wire.ErrMalformed},
		{"done, and another body", 200, wire.MustMarshal("text"), wire.ErrMalformed},
	} {
		client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(tc.status)
			ctx.SetBody(tc.body)
		}), unlimitedRate)
		got, err := client.RequestInstances(t.Context(), instanceRequest("r-1", 1))
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, not %v", tc.name, err, tc.want)
		}
		if (len(got) == 1) != (tc.want == nil) {
			t.Errorf("%s: machines %v", tc.name, got)
		}
	}
}

// An instance request whose answer is lost may have been carried out. It is not repeated by
// the client; the caller repeats its name, and nothing is rented twice.
func TestInstanceRequestWithLostResponseIsExecutedOnce(t *testing.T) {
	fakeCloud := fake.NewCloud(10)
	var requests atomic.Int32
	client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		fakeCloud.Handle(ctx)
		if count := requests.Add(1); count == 1 || count == 3 {
			_ = ctx.Conn().Close()
		}
	}), unlimitedRate)
	for i, lost := range []bool{true, false, true, false} {
		request := instanceRequest([]string{"new", "served before"}[i/2], 2)
		machines, err := client.RequestInstances(t.Context(), request)
		if errors.Is(err, cloud.ErrUncertain) != lost || !lost && (err != nil || len(machines) != 2) {
			t.Errorf("%s: %v %v", request.RequestID, machines, err)
		}
		if got := int(requests.Load()); got != i+1 {
			t.Fatalf("%s: the cloud had %d requests, not %d", request.RequestID, got, i+1)
		}
	}
	if instances := len(fakeCloud.Instances()); instances != 4 {
		t.Errorf("%d machines are rented, not 4", instances)
	}
}

func TestReadWithLostResponseIsNotRetried(t *testing.T) {
	var requests atomic.Int32
	client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		requests.Add(1)
		_ = ctx.Conn().Close()
	}), unlimitedRate)
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
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.Catalog(canceled); !errors.Is(err, cloud.ErrRateLimited) {
		t.Errorf("a call that nobody waits for: %v", err)
	}
	if got := requests.Load(); got != 0 {
		t.Errorf("%d requests were sent", got)
	}
}

func TestMachinesAreRequestedListedAndTerminated(t *testing.T) {
	fakeCloud := fake.NewCloud(3, wire.MachineType{Name: "small"})
	client := cloud.NewClient(serve(t, fakeCloud.Handle), unlimitedRate)
	catalog, err := client.Catalog(t.Context())
	if err != nil || len(catalog.Types) != 1 || catalog.Types[0].Name != "small" {
		t.Fatalf("catalog: %v %v", catalog, err)
	}
	machines, err := client.RequestInstances(t.Context(), instanceRequest("r-1", 5))
	if err != nil || len(machines) != 3 {
		t.Fatalf("rented %v: %v", machines, err)
	}
	if _, err := client.RequestInstances(t.Context(), instanceRequest("r-2", 1)); !errors.Is(err, cloud.ErrNoCapacity) {
		t.Errorf("beyond the capacity: %v", err)
	}
	if _, err := client.RequestInstances(t.Context(), instanceRequest("r-3", 0)); !errors.Is(err, cloud.ErrMalformed) {
		t.Errorf("no machines: %v", err)
	}
	if err := client.Terminate(t.Context(), machines[:2]); err != nil {
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
	}), unlimitedRate)
	for _, after := range []string{"i-000500", "i&limit=1", ""} {
		if _, err := client.List(t.Context(), after); err != nil || since != after {
			t.Errorf("after %q: asked after %q, %v", after, since, err)
		}
	}
}
