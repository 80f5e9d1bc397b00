package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// ampleTimeout is longer than any response in these tests takes.
const ampleTimeout = micro.Minute

// serve runs the node "n-1" with the handler until the test ends, and returns a client for it.
func serve(t *testing.T, handler Handler) (client *Client, addr string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- Serve(ctx, listener, handler, func(w io.Writer) { _, _ = io.WriteString(w, "latency") })
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("server ended with error %v", err)
		}
	})
	addr = listener.Addr().String()
	return NewClient(map[string]string{"n-1": addr}), addr
}

// echo is a Handler that responds with the call and its body.
func echo(_ context.Context, call string, body []byte) (int, []byte) {
	return http.StatusAccepted, append([]byte(call+" "), body...)
}

func TestEveryCallReachesTheHandler(t *testing.T) {
	client, _ := serve(t, echo)
	for _, call := range []string{
		Status, Cancel, Submit, StoredStatus, JobAccepted, Ping, AcceptedJobs, AnnounceVersion,
		LeaseProxy,
	} {
		status, out, err := client.Call(t.Context(), "n-1", call, []byte("body"), ampleTimeout)
		if err != nil || status != http.StatusAccepted || string(out) != call+" body" {
			t.Errorf("%s: status %d, body %q, error %v", call, status, out, err)
		}
	}
	if status, _, err := client.Call(t.Context(), "n-1", "/peer/other", nil, ampleTimeout); err != nil ||
		status != http.StatusNotFound {
		t.Errorf("unknown call: status %d, error %v", status, err)
	}
}

// A refusal is a response: the caller must be able to distinguish it from an unreachable node.
func TestStatusesArePassedThrough(t *testing.T) {
	for _, want := range []int{400, 404, 409, 429, 503} {
		client, _ := serve(t, func(context.Context, string, []byte) (int, []byte) { return want, nil })
		status, out, err := client.Call(t.Context(), "n-1", Ping, nil, ampleTimeout)
		if err != nil || status != want || len(out) != 0 {
			t.Errorf("status %d, body %q, error %v, want status %d and no body", status, out, err, want)
		}
	}
}

func TestUnknownAndUnresponsiveNodesAreUnreachable(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	missing := listener.Addr().String()
	_ = listener.Close()
	client := NewClient(map[string]string{"n-2": missing})
	for _, node := range []string{"n-1", "n-2"} {
		if status, out, err := client.Call(
			t.Context(), node, Ping, nil, ampleTimeout,
		); !errors.Is(err, ErrUnreachable) || status != 0 ||
			out != nil {
			t.Errorf("%s: status %d, body %q, error %v", node, status, out, err)
		}
	}
	if got := client.Names(); !slices.Equal(got, []string{"n-2"}) {
		t.Errorf("nodes %v", got)
	}
}

// blockingHandler returns a handler that blocks until the call is cancelled, or for 10 s at most. It calls
// started at the start, and ended with the error of the call's context at the end.
func blockingHandler(started func(), ended func(error)) Handler {
	return func(ctx context.Context, _ string, _ []byte) (int, []byte) {
		started()
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Second):
		}
		ended(ctx.Err())
		return http.StatusOK, nil
	}
}

func TestCallEndsAtItsTimeout(t *testing.T) {
	client, _ := serve(t, blockingHandler(func() {}, func(error) {}))
	if status, _, err := client.Call(t.Context(), "n-1", Status, nil, 20*micro.Millisecond); !errors.Is(
		err, ErrUnreachable,
	) {
		t.Errorf("status %d, error %v, want %v", status, err, ErrUnreachable)
	}
}

func TestCanceledCallEndsAtTheServer(t *testing.T) {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	client, _ := serve(t, blockingHandler(cancel, func(err error) { ended <- err }))
	if status, _, err := client.Call(ctx, "n-1", Status, nil, ampleTimeout); !errors.Is(err, ErrUnreachable) {
		t.Errorf("status %d, error %v, want %v", status, err, ErrUnreachable)
	}
	if err := <-ended; err == nil {
		t.Error("the handler's context was not cancelled with the call")
	}
}

// A call whose response is lost may have been executed. Retrying it could execute it twice.
func TestCallWithLostResponseIsNotRetried(t *testing.T) {
	var calls atomic.Int32
	client, _ := serve(t, func(context.Context, string, []byte) (int, []byte) {
		if calls.Add(1) == 2 {
			return http.StatusOK, nil
		}
		panic(http.ErrAbortHandler)
	})
	for i, lost := range []bool{true, false, true} {
		_, _, err := client.Call(t.Context(), "n-1", Submit, []byte("job"), ampleTimeout)
		if errors.Is(err, ErrUnreachable) != lost || !lost && err != nil {
			t.Errorf("response lost %v: error %v", lost, err)
		}
		if got := int(calls.Load()); got != i+1 {
			t.Fatalf("the node received %d calls, want %d", got, i+1)
		}
	}
}

func TestBodiesAreBounded(t *testing.T) {
	var calls atomic.Int32
	client, _ := serve(t, func(context.Context, string, []byte) (int, []byte) {
		calls.Add(1)
		return http.StatusOK, make([]byte, 2*wire.MaxBody)
	})
	status, out, err := client.Call(t.Context(), "n-1", Submit, make([]byte, wire.MaxBody), ampleTimeout)
	if err != nil || status != http.StatusOK || len(out) != wire.MaxBody+1 {
		t.Errorf("largest allowed body: status %d, response of %d bytes, error %v", status, len(out), err)
	}
	status, _, err = client.Call(t.Context(), "n-1", Submit, make([]byte, wire.MaxBody+1), ampleTimeout)
	if err != nil || status != http.StatusBadRequest || calls.Load() != 1 {
		t.Errorf("body over the limit: status %d, error %v, %d calls", status, err, calls.Load())
	}
}

func TestMetricsServeGetAndCallsOnlyPost(t *testing.T) {
	_, addr := serve(t, echo)
	for path, want := range map[string]int{Metrics: http.StatusOK, Submit: http.StatusMethodNotAllowed} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != want || (want == http.StatusOK) != bytes.Equal(body, []byte("latency")) {
			t.Errorf("%s: status %d, want %d; body %q, error %v", path, response.StatusCode, want, body, err)
		}
	}
}
