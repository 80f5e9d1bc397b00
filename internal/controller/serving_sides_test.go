package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// unservedJobs is the gauge as the leader's metrics page shows it; "": it does not.
func (w *simCluster) unservedJobs() string {
	if w.leader() == nil {
		return ""
	}
	var page bytes.Buffer
	w.leader().runningNode().Metrics.Write(&page)
	_, value, _ := strings.Cut(page.String(), unservedJobsGauge+" ")
	return strings.TrimSpace(value)
}

// A shard has all of zone b, and a service that is to be spread over both zones waits.
func TestJobsThatNoSideMayServeAreCountedAndShown(t *testing.T) {
	runShardScenario(t, 61, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", micro.Minute)
		sim.waitUntil("none is counted", 10*micro.Second, func() bool { return sim.unservedJobs() == "0" })
		served := sim.newJob(jobRequest{kind: wire.Service, tasks: 2}).submit()
		spread := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, spread: true}).submit()
		sim.waitUntil("the spread service is counted", 10*micro.Second, func() bool { return sim.unservedJobs() == "1" })
		sim.waitRunning(served, 2)
		show := wire.MustMarshal(shard.Command{Operation: shard.OperationShow, Shard: "east"})
		for _, controller := range sim.controllers { // each but the leader asks that
			var reply shard.DetailedReply
			status, body := controller.runningNode().handleAdmin(show)
			if err := wire.Unmarshal(body, &reply); status != 200 || err != nil || len(reply.Shards) != 1 ||
				len(reply.WaitingJobs) != 1 || reply.WaitingJobs[0].ID != spread.id || len(reply.WaitingJobs[0].ServedBy) > 0 {
				sim.t.Errorf("%s: status %d, %v, %+v", controller.name, status, err, reply)
			}
		}
		go spread.cancel()
		sim.waitUntil("it is over", 10*micro.Second, func() bool { return sim.unservedJobs() == "0" })
	})
}

func TestWaitReasonGoesWithTheServingSideWhereTheFleetIsDivided(t *testing.T) {
	leader := newFleet(t, 4).leader
	var out bytes.Buffer
	leader.log = slog.New(slog.NewTextHandler(&out, nil))
	leader.logWaitReason(leader.cluster.Jobs["j-000000"], 0)
	leader.describeEligibleOwners = func(*cluster.Job) string { return "none: zones" }
	leader.logWaitReason(leader.cluster.Jobs["j-000000"], 0)
	undivided, divided, _ := strings.Cut(out.String(), "\n")
	if strings.Contains(undivided, "side=") || !strings.Contains(divided, `side="none: zones"`) {
		t.Error(out.String())
	}
}
