package coordinator

import (
	"fmt"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Each service that is placed in part in a shard has all of the leader's machines listed and sorted, three times a
// second: the leader's loop has no time for anything else.
func TestServicesInPartCostTheLeaderLittleOnALargeSite(t *testing.T) {
	const services, most = 300, 20
	one, all := roundWithServicesInPart(t, 1), roundWithServicesInPart(t, services)
	t.Logf("a round takes %v with one service, %v with %d", one, all, services)
	if all > most*one {
		t.Errorf("a round with %d services takes %d times that with one, want at most %d", services, all/one, most)
	}
}

// roundWithServicesInPart is how long the leader of 4,000 machines looks at so many services, the best of three times.
func roundWithServicesInPart(t *testing.T, services int) time.Duration {
	t.Helper()
	const machines = 4000
	test := newTestCoordinator(t)
	test.Cluster.ContinuesJobs = true
	for i := range machines {
		agent := fake.NewAgent(fmt.Sprintf("i-%04d", i), "m", "c", 1000*micro.Minute)
		test.Cluster.Reconcile(agent.Heartbeat(), cluster.FromHeartbeat, test.at)
	}
	for i := range services {
		spec := wire.Job{ID: fmt.Sprintf("j-%d", i), Class: "c", Kind: wire.Service, Tasks: 8001, CPUs: 8, MemoryGB: 1}
		job := test.Cluster.AddJob(spec, 0, 0)
		test.Cluster.Assign(job, "east")
		test.assignedJobs[spec.ID] = &assignedJob{
			job: job, shardName: "east", stored: true, storeRecord: test.Records.Record("assign/east/" + spec.ID),
			partlyPlacedAt: test.at,
		}
	}
	best := time.Minute
	for range 3 {
		start := time.Now()
		test.moveServices(test.at)
		best = min(best, time.Since(start))
	}
	if len(test.movable) != services {
		t.Fatalf("%d services are looked at", len(test.movable))
	}
	return best
}
