package coordinator

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// The shard "east" has all of zone b.
func TestShowTellsOfTheJobsThatWaitForTheShard(t *testing.T) {
	test := newTestCoordinator(t)
	test.setZones("a", "b")
	zone := "a"
	test.addJob("elsewhere", wire.Job{Tasks: 1, Zone: &zone}).WaitingSince = 0
	for i := range maxWaitingJobs {
		test.addJob(fmt.Sprint("j-", i), wire.Job{Tasks: 1, Team: "vision"}).WaitingSince = micro.Time(i) * micro.Second
	}
	test.addJob("spread", wire.Job{Tasks: 2, Spread: true}).WaitingSince = 50 * micro.Second
	waiting := test.waitingJobs("east")
	if len(waiting) != maxWaitingJobs || waiting[0].ID != "spread" || waiting[0].UnservedReason == "" ||
		waiting[0].WaitingS != 10 || waiting[0].Tasks != 2 {
		t.Fatalf("%+v", waiting)
	}
	for i, job := range waiting[1:] {
		if job.ID != fmt.Sprint("j-", i) || job.Team != "vision" || fmt.Sprint(job.ServedBy) != "[the leader shard east]" {
			t.Errorf("%+v", job)
		}
	}
	for operation, want := range map[shard.Operation]int{shard.OperationShow: maxWaitingJobs, shard.OperationList: 0} {
		reply := test.detailReply(&shard.Command{Operation: operation, Shard: "east"}, shard.CommandReply{})
		if len(reply.WaitingJobs) != want {
			t.Errorf("%s tells of %d jobs, want %d", operation, len(reply.WaitingJobs), want)
		}
	}
}

func TestServingSideIsDescribedOnlyWhereThereAreShards(t *testing.T) {
	test := newTestCoordinator(t)
	job := test.addJob("j-1", wire.Job{Tasks: 2, Spread: true})
	if got := test.DescribeServingSide(job); got != "none: the cloud has no offer for it" {
		t.Errorf("%q", got)
	}
	var none *Coordinator
	if got := none.DescribeServingSide(job); got != "" {
		t.Errorf("without shards: %q", got)
	}
}
