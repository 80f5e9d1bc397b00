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

func newMonitor(of Store) *Monitor {
	return New(Config{
		Store: of, Peers: peer.NewClient(nil), PeerNames: func() []string { return nil }, Now: micro.Now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
}

func TestNodeIsUnhealthyOnlyIfPartitionedAloneAndDoesNotFlap(t *testing.T) {
	silent, refused, stored, peered := ProbeResult{}, ProbeResult{StoreRefused: true}, ProbeResult{
		StoreReached: true,
	}, ProbeResult{PeerReached: true}
	for _, test := range []struct {
		name  string
		looks []ProbeResult
		want  State
	}{
		{"reaches the store", []ProbeResult{stored, stored}, Healthy},
		{"one look failed", []ProbeResult{stored, silent}, Degraded},
		{"a lossy network", []ProbeResult{silent, stored, silent, stored, silent, stored}, Healthy},
		{"reaches neither store nor peers", []ProbeResult{silent, silent, silent}, Unhealthy},
		{"the store refuses all, peers refuse connections", []ProbeResult{refused, refused, refused, refused}, Healthy},
		{"only peers", []ProbeResult{peered, peered, peered, peered}, Healthy},
		{"one good look is too few to come back", []ProbeResult{silent, silent, silent, stored, silent}, Unhealthy},
		{"back", []ProbeResult{silent, silent, silent, stored, stored}, Healthy},
	} {
		monitor := newMonitor(fake.NewStore())
		for _, result := range test.looks {
			monitor.Observe(result)
		}
		if got := monitor.State(); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// The same as package controller's test of a whole node, of the monitor alone.
func TestMonitorIsNotReadyWithoutStoreAndPeers(t *testing.T) {
	fakeStore := fake.NewStore()
	monitor := newMonitor(fakeStore)
	monitor.Observe(monitor.Probe(context.Background()))
	if !monitor.Ready() || monitor.Isolated() {
		t.Fatal("it reaches the store")
	}
	fakeStore.SetPartitioned(true)
	for range UnhealthyAfter {
		monitor.Observe(monitor.Probe(context.Background()))
	}
	if monitor.Ready() || !monitor.Isolated() {
		t.Fatal("still ready")
	}
	fakeStore.SetPartitioned(false)
	for range HealthyAfter {
		monitor.Observe(monitor.Probe(context.Background()))
	}
	if !monitor.Ready() {
		t.Fatal("not back")
	}
}
