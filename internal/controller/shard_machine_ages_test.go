package controller

import (
	"context"
	"testing"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Machine ages hold for the ownership that begins with them, and only for its first loop: an
// earlier one may have answered machines, whose leases then run.
func TestOnlyTheFirstLoopOfAnOwnershipInheritsMachineAges(t *testing.T) {
	node, kill := newTestCluster(t).startNodeWith("n-1", func(n *Node) {
		n.election.SuspendCampaign(60 * micro.Minute)
	})
	t.Cleanup(kill)
	const silentFor = 20 * micro.Second
	ages := shard.MachineInactivity{SinceRenewal: map[string]int64{"i-1": int64(silentFor)}}
	version, err := node.Store.Commit(context.Background(), store.Leadership, wire.Transaction{
		Then: []wire.Change{{Put: shard.MachineInactivityKey("gpus"), Value: ages}},
	})
	if err != nil {
		t.Fatal(err)
	}
	self := shard.Controller{Node: "n-1", SessionVersion: 5}
	term := election.NewTermForKey(shard.SessionKey("n-1"), 5, node.Now()+60*micro.Minute)
	begin := func(version uint64) *ShardOwner {
		entry := shard.Entry{Name: "gpus", Version: version, Record: shard.Record{State: shard.Owned, Owner: self}}
		owner := newShardOwner(node, entry, term, self)
		owner.restoreMachineInactivity(context.Background())
		return owner
	}
	for _, c := range []struct {
		name     string
		version  uint64
		inherits bool
	}{
		{"another ownership", version + 1, false},
		{"the first loop", version, true},
		{"the second loop", version, false},
	} {
		owner := begin(c.version)
		at, inherits := owner.cluster.PreviousTerm.RenewedAt["i-1"]
		if inherits != c.inherits || inherits && at != owner.cluster.TermStartedAt-silentFor {
			t.Errorf("%s: inherits %v, renewed at %v", c.name, inherits, at)
		}
	}
}

// Machines of a shard that is moved every few seconds are cut off for a while, shorter or longer
// than their leases, and live on: nothing that they run may run elsewhere meanwhile. The checker
// of the rules sees each start.
func TestIsolatedMachinesOfAMovingShardRunNothingTwice(t *testing.T) {
	for seed := range uint64(12) {
		runShardScenario(t, seed, []int{3, 4, 5}[seed%3], func(sim *simCluster) {
			sim.fastBoot = true
			sim.cloud.terminationDelay = micro.Minute // what they run is not ended by the cloud first
			sim.waitShardOwned("n-2", 2*micro.Minute)
			const tasks = teamMaxCPUs / 4
			service := sim.newJob(jobRequest{kind: wire.Service, tasks: tasks, cpus: 4, zone: "b"}).submit()
			sim.waitRunning(service, tasks)
			go sim.moveShardRepeatedly(3*micro.Second + micro.Time(seed)*micro.Second)
			for range 4 {
				for _, machine := range sim.randomMachines(3) {
					machine.isolate(micro.Time(sim.randomDuration(5*micro.Second, 40*micro.Second).Microseconds()))
				}
				sim.sleep(15 * micro.Second)
			}
			sim.waitUntil("the tasks run", servedWithin, func() bool { return service.runningTasks() == tasks })
		})
	}
}
