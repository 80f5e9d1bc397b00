package controller

import (
	"context"
	"testing"

	"notchmux.dev/notchmux/internal/health"
)

// A controller lost the store and its peers, but kept its agents and users: it
// went on answering 503 to users whom others could have served.
func TestControllerPartitionedFromAllButItsUsersIsNotReady(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	node.health.Observe(node.health.Probe(context.Background()))
	if !node.Ready() || node.Isolated() {
		t.Fatal("it reaches the store")
	}
	env.store.SetPartitioned(true)
	for range health.UnhealthyAfter {
		node.health.Observe(node.health.Probe(context.Background()))
	}
	if node.Ready() || !node.Isolated() {
		t.Fatal("still ready")
	}
	env.store.SetPartitioned(false)
	for range health.HealthyAfter {
		node.health.Observe(node.health.Probe(context.Background()))
	}
	if !node.Ready() {
		t.Fatal("not back")
	}
}
