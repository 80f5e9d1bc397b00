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

// unlimitedRate is a request rate that no test reaches.
const unlimitedRate = 1e6

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
		{"granted", 200, names, nil},
		{"bad request", 400, nil, cloud.ErrMalformed},
		{"rate limited", 429, nil, cloud.ErrRateLimited},
		{"internal error", 500, nil, cloud.ErrUncertain},
		{"no capacity", 503, wire.MustMarshal(map[string]string{"error": "no capacity"}), cloud.ErrNoCapacity},
		{"unavailable", 503, wire.MustMarshal(map[string]string{"error": "maintenance"}), cloud.ErrUnavailable},
		{"unavailable without a body", 503, nil, cloud.ErrUnavailable},
		{"unavailable with a truncated body", 503, []byte{0x81, 0xa5}, cloud.ErrUnavailable},
		{"granted without a body", 200, nil, wire.ErrMalformed},
		{"granted with a truncated body", 200, names[:len(names)-1], wire.ErrMalformed},
		{"granted with a body of another type", 200, wire.MustMarshal("text"), wire.ErrMalformed},
	} {
		client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(tc.status)
			ctx.SetBody(tc.body)
		}), unlimitedRate)
		got, err := client.RequestInstances(t.Context(), instanceRequest("r-1", 1))
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: error %v, want %v", tc.name, err, tc.want)
		}
		if (len(got) == 1) != (tc.want == nil) {
			t.Errorf("%s: machines %v", tc.name, got)
		}
	}
}

// An instance request whose response is lost may have been executed. The client does not repeat it; the caller
// sends it again with the same ID, and no machine is provisioned twice.
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
			t.Errorf("%s, response lost %v: machines %v, error %v", request.RequestID, lost, machines, err)
		}
		if got := int(requests.Load()); got != i+1 {
			t.Fatalf("%s: the cloud received %d requests, want %d", request.RequestID, got, i+1)
		}
	}
	if instances := len(fakeCloud.Instances()); instances != 4 {
		t.Errorf("%d machines are provisioned, want 4", instances)
	}
}

func TestReadWithLostResponseIsNotRetried(t *testing.T) {
	var requests atomic.Int32
	client := cloud.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		requests.Add(1)
		_ = ctx.Conn().Close()
	}), unlimitedRate)
	if _, err := client.List(t.Context(), ""); !errors.Is(err, cloud.ErrUncertain) {
		t.Errorf("list: error %v, want %v", err, cloud.ErrUncertain)
	}
	if _, err := client.Catalog(t.Context()); !errors.Is(err, cloud.ErrUncertain) {
		t.Errorf("catalog: error %v, want %v", err, cloud.ErrUncertain)
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("the cloud received %d requests, want 2", got)
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
		t.Errorf("call with a cancelled context: error %v, want %v", err, cloud.ErrRateLimited)
	}
	if got := requests.Load(); got != 0 {
		t.Errorf("%d requests were sent, want none", got)
	}
}

func TestMachinesAreRequestedListedAndTerminated(t *testing.T) {
	fakeCloud := fake.NewCloud(3, wire.MachineType{Name: "small"})
	client := cloud.NewClient(serve(t, fakeCloud.Handle), unlimitedRate)
	catalog, err := client.Catalog(t.Context())
	if err != nil || len(catalog.Types) != 1 || catalog.Types[0].Name != "small" {
		t.Fatalf("catalog %v, error %v", catalog, err)
	}
	machines, err := client.RequestInstances(t.Context(), instanceRequest("r-1", 5))
	if err != nil || len(machines) != 3 {
		t.Fatalf("request for 5 machines from a capacity of 3: granted %v, error %v", machines, err)
	}
	if _, err := client.RequestInstances(t.Context(), instanceRequest("r-2", 1)); !errors.Is(err, cloud.ErrNoCapacity) {
		t.Errorf("request beyond the capacity: error %v, want %v", err, cloud.ErrNoCapacity)
	}
	if _, err := client.RequestInstances(t.Context(), instanceRequest("r-3", 0)); !errors.Is(err, cloud.ErrMalformed) {
		t.Errorf("request for no machines: error %v, want %v", err, cloud.ErrMalformed)
	}
	if err := client.Terminate(t.Context(), machines[:2]); err != nil {
		t.Fatal(err)
	}
	list, err := client.List(t.Context(), "")
	if err != nil || len(list.Machines) != 1 || list.Machines[0].Name != machines[2] {
		t.Errorf("list after the termination: %v, error %v", list, err)
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
			t.Errorf("page after %q: requested since %q, error %v", after, since, err)
		}
	}
}
