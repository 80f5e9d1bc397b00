package main

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against listeners that stay open when the context is cancelled: an interrupt was then ignored.
func TestRunReturnsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	returned := make(chan error, 1)
	go func() { returned <- run(ctx, cli{State: "127.0.0.1:0", Cloud: "localhost:0", Node: "127.0.0.1:1"}) }()
	const startupTime = 300 * time.Millisecond
	select {
	case err := <-returned:
		t.Fatalf("run returned before its context was cancelled: %v", err)
	case <-time.After(startupTime):
	}
	cancel()
	const timeout = 30 * time.Second
	select {
	case err := <-returned:
		if err != nil {
			t.Errorf("run returned %v after its context was cancelled, want nil", err)
		}
	case <-time.After(timeout):
		t.Error("run did not return within 30 s after its context was cancelled")
	}
}

// run returns an error if one of its addresses is in use.
func TestRunReportsAddressInUse(t *testing.T) {
	usedAddr := listen(t)
	err := run(t.Context(), cli{State: usedAddr, Cloud: "127.0.0.1:0", Node: "127.0.0.1:1"})
	if err == nil {
		t.Error("run returned no error for an address in use")
	}
}

// listen listens on a free loopback port until the test ends and returns its address.
func listen(t *testing.T) (addr string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}
