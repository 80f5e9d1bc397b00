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

// A machine inactivity record applies to the ownership that starts in the transaction that stores it (with the same
// version), and only to the first loop of that ownership: an earlier loop may have answered heartbeats, and the
// machines' leases then run from those on.
func TestOnlyFirstLoopOfAnOwnershipUsesMachineInactivityRecord(t *testing.T) {
	node, kill := newTestCluster(t).startNodeWith("n-1", func(n *Node) {
		n.election.SuspendCampaign(60 * micro.Minute)
	})
	t.Cleanup(kill)
	const silentFor = 20 * micro.Second
	inactivity := shard.MachineInactivity{SinceRenewal: map[string]int64{"i-1": int64(silentFor)}}
	version, err := node.Store.Commit(context.Background(), store.Leadership, wire.Transaction{
		Then: []wire.Change{{Put: shard.MachineInactivityKey("gpus"), Value: inactivity}},
	})
	if err != nil {
		t.Fatal(err)
	}
	self := shard.Controller{Node: "n-1", SessionVersion: 5}
	term := election.NewTermForKey(shard.SessionKey("n-1"), 5, node.Now()+60*micro.Minute)
	startOwner := func(version uint64) *ShardOwner {
		entry := shard.Entry{Name: "gpus", Version: version, Record: shard.Record{State: shard.Owned, Owner: self}}
		owner := newShardOwner(node, entry, term, self)
		owner.restoreMachineInactivity(context.Background())
		return owner
	}
	for _, c := range []struct {
		name    string
		version uint64
		applies bool
	}{
		{"another ownership", version + 1, false},
		{"the first loop", version, true},
		{"the second loop", version, false},
	} {
		owner := startOwner(c.version)
		renewedAt, applies := owner.cluster.PreviousTerm.RenewedAt["i-1"]
		if applies != c.applies || applies && renewedAt != owner.cluster.TermStartedAt-silentFor {
			t.Errorf("%s: record applied: %v, renewed at %v", c.name, applies, renewedAt)
		}
	}
}

// Machines of a shard that moves every few seconds are isolated for a time shorter or longer than their leases, and
// survive. The tasks that they run must not run elsewhere meanwhile; the checker of the simulated cluster verifies
// each start.
func TestTasksOfIsolatedMachinesOfAMovingShardDoNotRunTwice(t *testing.T) {
	for seed := range uint64(12) {
		runShardScenario(t, seed, []int{3, 4, 5}[seed%3], func(sim *simCluster) {
			sim.fastBoot = true
			sim.cloud.terminationDelay = micro.Minute // so that the cloud does not end their tasks first
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
