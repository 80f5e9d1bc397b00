package health

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
)

func newMonitor(store Store) *Monitor {
	return New(Config{
		Store: store, Peers: peer.NewClient(nil), PeerNames: func() []string { return nil }, Now: micro.Now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func TestNodeIsUnhealthyOnlyIfPartitionedAloneAndDoesNotFlap(t *testing.T) {
	failed, refused, reached, peerOnly := ProbeResult{}, ProbeResult{StoreRefused: true}, ProbeResult{
		StoreReached: true,
	}, ProbeResult{PeerReached: true}
	for _, test := range []struct {
		name   string
		probes []ProbeResult
		want   State
	}{
		{"reaches the store", []ProbeResult{reached, reached}, Healthy},
		{"one probe failed", []ProbeResult{reached, failed}, Degraded},
		{"lossy network", []ProbeResult{failed, reached, failed, reached, failed, reached}, Healthy},
		{"reaches neither the store nor peers", []ProbeResult{failed, failed, failed}, Unhealthy},
		{"the store refuses all, peers refuse connections", []ProbeResult{refused, refused, refused, refused}, Healthy},
		{"reaches only peers", []ProbeResult{peerOnly, peerOnly, peerOnly, peerOnly}, Healthy},
		{"one successful probe is too few to recover", []ProbeResult{failed, failed, failed, reached, failed}, Unhealthy},
		{"two successful probes restore health", []ProbeResult{failed, failed, failed, reached, reached}, Healthy},
	} {
		monitor := newMonitor(fake.NewStore())
		for _, result := range test.probes {
			monitor.Observe(result)
		}
		if got := monitor.State(); got != test.want {
			t.Errorf("%s: state %v, want %v", test.name, got, test.want)
		}
	}
}

// Covers the monitor alone; package controller tests the same condition on a complete node.
func TestMonitorIsNotReadyWithoutStoreAndPeers(t *testing.T) {
	fakeStore := fake.NewStore()
	monitor := newMonitor(fakeStore)
	monitor.Observe(monitor.Probe(context.Background()))
	if !monitor.Ready() || monitor.Isolated() {
		t.Fatal("not ready or isolated although the store is reachable")
	}
	fakeStore.SetPartitioned(true)
	for range UnhealthyAfter {
		monitor.Observe(monitor.Probe(context.Background()))
	}
	if monitor.Ready() || !monitor.Isolated() {
		t.Fatal("ready or not isolated although neither the store nor a peer is reachable")
	}
	fakeStore.SetPartitioned(false)
	for range HealthyAfter {
		monitor.Observe(monitor.Probe(context.Background()))
	}
	if !monitor.Ready() {
		t.Fatal("not ready after the partition ended")
	}
}
