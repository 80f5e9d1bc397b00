package main

import (
	"context"
	"net"
	"testing"
	"time"
)

// An interrupt was ignored: nobody closed the listeners.
func TestRunReturnsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- run(ctx, cli{State: "127.0.0.1:0", Cloud: "localhost:0", Node: "127.0.0.1:1"}) }()
	const starting = 300 * time.Millisecond
	select {
	case err := <-ended:
		t.Fatalf("ended at once: %v", err)
	case <-time.After(starting):
	}
	cancel()
	const hung = 30 * time.Second
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(hung):
		t.Error("goes on after its context ended")
	}
}

// An address that is taken ends it with an error that names the address.
func TestRunReportsAddressInUse(t *testing.T) {
	listener := listen(t)
	err := run(t.Context(), cli{State: listener, Cloud: "127.0.0.1:0", Node: "127.0.0.1:1"})
	if err == nil {
		t.Error("no error")
	}
}

// listen takes an address until the test ends.
func listen(t *testing.T) (addr string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}
