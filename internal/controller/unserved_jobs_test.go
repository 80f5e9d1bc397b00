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

// unservedJobsMetric returns the value of the unserved jobs gauge on the leader's metrics page, "" if there is no
// leader or no such gauge.
func (w *simCluster) unservedJobsMetric() string {
	if w.leader() == nil {
		return ""
	}
	var page bytes.Buffer
	w.leader().runningNode().Metrics.Write(&page)
	_, value, _ := strings.Cut(page.String(), unservedJobsGauge+" ")
	return strings.TrimSpace(value)
}

// A shard owns all of zone b, so that no owner is eligible for a service that is to be spread over both zones: it is
// counted as unserved, and each controller lists it among the waiting jobs.
func TestUnservedJobsAreCountedAndShown(t *testing.T) {
	runShardScenario(t, 61, 3, func(sim *simCluster) {
		sim.waitShardOwned("n-2", micro.Minute)
		sim.waitUntil("no job is counted", 10*micro.Second, func() bool { return sim.unservedJobsMetric() == "0" })
		served := sim.newJob(jobRequest{kind: wire.Service, tasks: 2}).submit()
		spread := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, spread: true}).submit()
		sim.waitUntil("the spread service is counted", 10*micro.Second, func() bool {
			return sim.unservedJobsMetric() == "1"
		})
		sim.waitRunning(served, 2)
		show := wire.MustMarshal(shard.Command{Operation: shard.OperationShow, Shard: "east"})
		for _, controller := range sim.controllers { // other controllers than the leader forward the command to it
			var reply shard.DetailedReply
			status, body := controller.runningNode().handleAdmin(show)
			if err := wire.Unmarshal(body, &reply); status != 200 || err != nil || len(reply.Shards) != 1 ||
				len(reply.WaitingJobs) != 1 || reply.WaitingJobs[0].ID != spread.id || len(reply.WaitingJobs[0].ServedBy) > 0 {
				sim.t.Errorf("%s: status %d, error %v, reply %+v", controller.name, status, err, reply)
			}
		}
		go spread.cancel()
		sim.waitUntil("the cancelled service is no longer counted", 10*micro.Second, func() bool {
			return sim.unservedJobsMetric() == "0"
		})
	})
}

// The log line of a waiting job names its eligible owners only if the cluster has shards.
func TestWaitReasonLogsEligibleOwnersWhereShardsExist(t *testing.T) {
	leader := newFleet(t, 4).leader
	var out bytes.Buffer
	leader.log = slog.New(slog.NewTextHandler(&out, nil))
	leader.logWaitReason(leader.cluster.Jobs["j-000000"], 0)
	leader.describeEligibleOwners = func(*cluster.Job) string { return "none: zones" }
	leader.logWaitReason(leader.cluster.Jobs["j-000000"], 0)
	withoutShards, withShards, _ := strings.Cut(out.String(), "\n")
	if strings.Contains(withoutShards, "side=") || !strings.Contains(withShards, `side="none: zones"`) {
		t.Error(out.String())
	}
}
