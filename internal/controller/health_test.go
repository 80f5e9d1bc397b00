package controller

import (
	"context"
	"testing"

	"notchmux.dev/notchmux/internal/health"
)

// A controller that is partitioned from the store and its peers, but not from agents and users, must report itself
// not ready: it kept answering 503 to users whom other controllers could have served.
func TestControllerPartitionedFromAllButItsUsersIsNotReady(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "node leads", func() bool { return node.activeLeader() != nil })
	node.health.Observe(node.health.Probe(context.Background()))
	if !node.Ready() || node.Isolated() {
		t.Fatal("node that reaches the store is not ready or isolated")
	}
	env.store.SetPartitioned(true)
	for range health.UnhealthyAfter {
		node.health.Observe(node.health.Probe(context.Background()))
	}
	if node.Ready() || !node.Isolated() {
		t.Fatal("node without the store is ready or not isolated")
	}
	env.store.SetPartitioned(false)
	for range health.HealthyAfter {
		node.health.Observe(node.health.Probe(context.Background()))
	}
	if !node.Ready() {
		t.Fatal("node that reaches the store again is not ready")
	}
}
