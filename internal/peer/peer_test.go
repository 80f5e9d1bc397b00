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

// ampleTimeout is longer than any answer of these tests takes.
const ampleTimeout = micro.Minute

// serve answers as the node "n-1" until the test ends, and gives a client of it.
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
			t.Errorf("ended with %v", err)
		}
	})
	addr = listener.Addr().String()
	return NewClient(map[string]string{"n-1": addr}), addr
}

// echo answers with the call and its body.
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
			t.Errorf("%s: %d %q %v", call, status, out, err)
		}
	}
	if status, _, err := client.Call(t.Context(), "n-1", "/peer/other", nil, ampleTimeout); err != nil ||
		status != http.StatusNotFound {
		t.Errorf("unknown call: %d %v", status, err)
	}
}

// A refusal is an answer: the caller tells it from silence.
func TestStatusesArePassedThrough(t *testing.T) {
	for _, want := range []int{400, 404, 409, 429, 503} {
		client, _ := serve(t, func(context.Context, string, []byte) (int, []byte) { return want, nil })
		status, out, err := client.Call(t.Context(), "n-1", Ping, nil, ampleTimeout)
		if err != nil || status != want || len(out) != 0 {
			t.Errorf("%d: %d %q %v", want, status, out, err)
		}
	}
}

func TestNodesThatDoNotAnswerAreUnreachable(t *testing.T) {
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
			t.Errorf("%s: %d %q %v", node, status, out, err)
		}
	}
	if got := client.Names(); !slices.Equal(got, []string{"n-2"}) {
		t.Errorf("nodes %v", got)
	}
}

// blockingHandler is a handler that answers once its caller gave up, or in the end.
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
		t.Errorf("%d %v", status, err)
	}
}

func TestCanceledCallEndsAtTheServer(t *testing.T) {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	client, _ := serve(t, blockingHandler(cancel, func(err error) { ended <- err }))
	if status, _, err := client.Call(ctx, "n-1", Status, nil, ampleTimeout); !errors.Is(err, ErrUnreachable) {
		t.Errorf("%d %v", status, err)
	}
	if err := <-ended; err == nil {
		t.Error("the node that was asked went on")
	}
}

// A call whose answer is lost may have run, and is not made again.
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
			t.Errorf("lost %v: %v", lost, err)
		}
		if got := int(calls.Load()); got != i+1 {
			t.Fatalf("%d calls, not %d", got, i+1)
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
		t.Errorf("largest body: %d, %d bytes, %v", status, len(out), err)
	}
	status, _, err = client.Call(t.Context(), "n-1", Submit, make([]byte, wire.MaxBody+1), ampleTimeout)
	if err != nil || status != http.StatusBadRequest || calls.Load() != 1 {
		t.Errorf("larger body: %d %v, %d calls", status, err, calls.Load())
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
			t.Errorf("%s: %d %q %v", path, response.StatusCode, body, err)
		}
	}
}
