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
	leader := w.leader()
	if leader == nil {
		return ""
	}
	node := leader.runningNode()
	if node == nil {
		return ""
	}
	var page bytes.Buffer
	node.Metrics.Write(&page)
	_, value, _ := strings.Cut(page.String(), unservedJobs+" ")
	value, _, _ = strings.Cut(value, "\n")
	return value
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
	fleet := newFleet(t, 4)
	for job := range fleet.leader.cluster.PendingJobs {
		for side, want := range map[string]bool{"": false, "none: zones on both sides": true} {
			var out bytes.Buffer
			fleet.leader.log = slog.New(slog.NewTextHandler(&out, nil))
			fleet.leader.describeServingSide = func(*cluster.Job) string { return side }
			fleet.leader.logWaitReason(job, fleet.now)
			if got := strings.Contains(out.String(), `side="none: zones on both sides"`); got != want ||
				!want && strings.Contains(out.String(), "side=") {
				t.Errorf("%q: %s", side, out.String())
			}
		}
		return
	}
	t.Error("no job waits")
}
