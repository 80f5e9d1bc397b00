package cloud

import (
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
