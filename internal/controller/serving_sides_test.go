package controller

import (
	"bytes"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// unservedJobs is the gauge as the leader's metrics page shows it; "": it does not.
func (w *simCluster) unservedJobs() string {
	if w.leader() == nil {
		return ""
	}
	var page bytes.Buffer
	w.leader().runningNode().Metrics.Write(&page)
	_, value, _ := strings.Cut(page.String(), unservedJobs+" ")
	return strings.TrimSpace(value)
}

// A shard has all of zone b, and a service that is to be spread over both zones waits.
func TestJobsThatNoSideMayServeAreCountedInTheMetrics(t *testing.T) {
	runShardScenario(t, 61, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", micro.Minute)
		sim.waitUntil("none is counted", 10*micro.Second, func() bool { return sim.unservedJobs() == "0" })
		served := sim.newJob(jobRequest{kind: wire.Service, tasks: 2}).submit()
		spread := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, spread: true}).submit()
		sim.waitUntil("the spread service is counted", 10*micro.Second, func() bool { return sim.unservedJobs() == "1" })
		sim.waitRunning(served, 2)
		go spread.cancel()
		sim.waitUntil("it is over", 10*micro.Second, func() bool { return sim.unservedJobs() == "0" })
	})
}
