package coordinator

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// The shard "east" selects all of zone b. A show command lists the jobs that may use its offers, the
// longest waiting first, after those that no owner can serve; a list command lists none.
func TestShowListsTheJobsWaitingForTheShard(t *testing.T) {
	test := newTestCoordinator(t)
	test.setZones("a", "b")
	zone := "a"
	test.addJob("elsewhere", wire.Job{Tasks: 1, Zone: &zone}).WaitingSince = 0
	for i := range maxWaitingJobs {
		test.addJob(fmt.Sprint("j-", i), wire.Job{Tasks: 1, Team: "vision"}).WaitingSince = micro.Time(i) * micro.Second
	}
	test.addJob("spread", wire.Job{Tasks: 2, Spread: true}).WaitingSince = 50 * micro.Second
	show := &shard.Command{Operation: shard.OperationShow, Shard: "east"}
	waiting := test.detailReply(show, shard.CommandReply{}).WaitingJobs
	if len(waiting) != maxWaitingJobs || waiting[0].ID != "spread" || waiting[0].UnservedReason == "" ||
		waiting[0].WaitingS != 10 || waiting[0].Tasks != 2 {
		t.Fatalf("waiting jobs %+v", waiting)
	}
	for i, job := range waiting[1:] {
		if job.ID != fmt.Sprint("j-", i) || job.Team != "vision" || fmt.Sprint(job.ServedBy) != "[the leader shard east]" {
			t.Errorf("waiting job %+v", job)
		}
	}
	list := test.detailReply(&shard.Command{Operation: shard.OperationList}, shard.CommandReply{})
	if owners := (*Coordinator)(nil).DescribeEligibleOwners(nil); len(list.WaitingJobs) > 0 || owners != "" {
		t.Errorf("list returned waiting jobs %+v, a nil Coordinator described owners %q", list.WaitingJobs, owners)
	}
}
