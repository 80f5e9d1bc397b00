package cloud

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/wire"
)

// The cloud may have executed a request that it did not respond to in time.
func TestTimedOutCallIsUncertain(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	testDone := make(chan struct{})
	t.Cleanup(func() { close(testDone) })
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			select { // responds long after the client's timeout
			case <-testDone:
			case <-time.After(2 * responseTimeout):
				ctx.SetBody(wire.MustMarshal(wire.MachineNames{Machines: []string{"i-000001"}}))
			}
		})
	}()
	client := NewClient(listener.Addr().String(), 1e6)
	if client.timeout != responseTimeout {
		t.Errorf("timeout %v, want %v", client.timeout, responseTimeout)
	}
	client.timeout = 20 * time.Millisecond
	machines, err := client.RequestInstances(t.Context(), wire.InstanceRequest{RequestID: "r-1", Count: 1})
	if !errors.Is(err, ErrUncertain) || len(machines) != 0 {
		t.Errorf("machines %v, error %v, want none and %v", machines, err, ErrUncertain)
	}
}

// A call used to continue after its context had ended: an instance request that first waited for the rate
// limiter occupied one of the three slots for concurrent requests for up to twice its timeout.
func TestCallEndsWithItsContext(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	testDone, received := make(chan struct{}), make(chan struct{}, 2)
	t.Cleanup(func() { close(testDone) })
	go func() {
		_ = fasthttp.Serve(listener, func(*fasthttp.RequestCtx) {
			received <- struct{}{}
			<-testDone
		})
	}()
	client := NewClient(listener.Addr().String(), 1e6)
	client.timeout = time.Hour // the context ends first
	for name, newContext := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"cancelled": context.WithCancel,
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 50*time.Millisecond)
		},
	} {
		ctx, cancel := newContext(t.Context())
		ended := make(chan error, 1)
		go func() { _, err := client.List(ctx, ""); ended <- err }()
		<-received
		if name == "cancelled" {
			cancel()
		}
		const giveUpAfter = 30 * time.Second
		select {
		case err := <-ended:
			if !errors.Is(err, ErrUncertain) {
				t.Errorf("%s: error %v, want %v", name, err, ErrUncertain)
			}
		case <-time.After(giveUpAfter):
			t.Errorf("%s: the call continues after its context ended", name)
		}
		cancel()
	}
}
