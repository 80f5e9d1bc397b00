package controller

import (
	"context"
	"testing"
)

func TestNodeIsUnhealthyOnlyIfItAloneIsPartitionedAndDoesNotFlap(t *testing.T) {
	silent, refused, stored, peered := probeResult{}, probeResult{storeRefused: true}, probeResult{
		storeReached: true,
	}, probeResult{peerReached: true}
	for _, test := range []struct {
		name  string
		looks []probeResult
		want  HealthState
	}{
		{"reaches the store", []probeResult{stored, stored}, Healthy},
		{"one look failed", []probeResult{stored, silent}, Degraded},
		{"a lossy network", []probeResult{silent, stored, silent, stored, silent, stored}, Healthy},
		{"reaches neither store nor peers", []probeResult{silent, silent, silent}, Unhealthy},
		{"the store refuses all, peers refuse connections", []probeResult{refused, refused, refused, refused}, Healthy},
		{"only peers", []probeResult{peered, peered, peered, peered}, Healthy},
		{"one good look is too few to come back", []probeResult{silent, silent, silent, stored, silent}, Unhealthy},
		{"back", []probeResult{silent, silent, silent, stored, stored}, Healthy},
	} {
		h := healthMonitor{log: func(string, ...any) {}}
		for _, r := range test.looks {
			h.observe(r)
		}
		if got := h.healthState(); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// A controller lost the store and its peers, but kept its workers and users: it
// went on answering 503 to users whom others could have served.
func TestControllerPartitionedFromAllButItsUsersIsNotReady(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	node.health.observe(node.probe(context.Background()))
	if !node.Ready() || node.Isolated() {
		t.Fatal("it reaches the store")
	}
	env.store.SetPartitioned(true)
	for range unhealthyAfter {
		node.health.observe(node.probe(context.Background()))
	}
	if node.Ready() || !node.Isolated() {
		t.Fatal("still ready")
	}
	env.store.SetPartitioned(false)
	for range healthyAfter {
		node.health.observe(node.probe(context.Background()))
	}
	if !node.Ready() {
		t.Fatal("not back")
	}
}
