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

// What the cloud does not answer in time may still have been carried out.
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
			select { // it answers in the end, long after the caller gave up
			case <-testDone:
			case <-time.After(2 * responseTimeout):
				ctx.SetBody(wire.MustMarshal(wire.MachineNames{Machines: []string{"i-000001"}}))
			}
		})
	}()
	client := NewClient(listener.Addr().String(), 1e6)
	if client.timeout != responseTimeout {
		t.Errorf("a call takes %v, not %v", client.timeout, responseTimeout)
	}
	client.timeout = 20 * time.Millisecond
	machines, err := client.RequestInstances(t.Context(), wire.InstanceRequest{RequestID: "r-1", Count: 1})
	if !errors.Is(err, ErrUncertain) || len(machines) != 0 {
		t.Errorf("%v %v", machines, err)
	}
}

// A call went on after its context had ended: an instance request that waited for the rate first
// held one of three places for up to twice its time.
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
	for name, end := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"cancelled": context.WithCancel,
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 50*time.Millisecond)
		},
	} {
		ctx, cancel := end(t.Context())
		ended := make(chan error, 1)
		go func() { _, err := client.List(ctx, ""); ended <- err }()
		<-received
		if name == "cancelled" {
			cancel()
		}
		const hung = 30 * time.Second
		select {
		case err := <-ended:
			if !errors.Is(err, ErrUncertain) {
				t.Errorf("%s: %v", name, err)
			}
		case <-time.After(hung):
			t.Errorf("%s: goes on after its context ended", name)
		}
		cancel()
	}
}
