package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Helpers for shards on the simulated cluster, and the scenario of a shard that moves while its jobs run.

// withShard declares a shard of zone b whose first owner is n-2.
func withShard(sim *simCluster) {
	sim.config.Shards = &config.Shards{
		MinMoveInterval: micro.Minute, MaxMachinesMoving: 10_000,
		Declared: []config.DeclaredShard{{Name: "east", Selector: shard.Selector{Zone: "b"}, Owner: "n-2"}},
	}
}

// runShardScenario runs a scenario on a cluster with a shard of zone b.
func runShardScenario(t *testing.T, seed uint64, nodes int, scenario func(sim *simCluster)) {
	t.Helper()
	runScenario(t, seed, nodes, withShard, scenario)
}

// shardRecord reads the shard's record from the store, and reports whether there is one that can be parsed.
func (w *simCluster) shardRecord() (shard.Entry, bool) {
	item, err := w.store.Get(w.ctx, store.Routine, shard.RecordKey("east"))
	if err != nil {
		return shard.Entry{}, false
	}
	entry, err := shard.ParseRecord(item.Key, item.Value, uint64(item.Version))
	return entry, err == nil
}

// waitShardOwned waits until a controller owns the shard and its loop serves.
func (w *simCluster) waitShardOwned(by string, timeout micro.Time) {
	w.t.Helper()
	w.waitUntil("the shard is owned by "+by+", which serves it", timeout, func() bool {
		entry, ok := w.shardRecord()
		if !ok || entry.Record.State != shard.Owned || entry.Record.Owner.Node != by {
			return false
		}
		node := w.controllerNamed(by).runningNode()
		if node == nil {
			return false
		}
		owner, ok := node.shards.Owner("east")
		return ok && owner.serving.Load()
	})
}

// controllerNamed returns the controller with a name, and fails the test if there is none.
func (w *simCluster) controllerNamed(name string) *controllerProcess {
	for _, controller := range w.controllers {
		if controller.name == name {
			return controller
		}
	}
	w.t.Fatalf("no controller is named %s", name)
	return nil
}

// shardCommand sends an operator's command to random nodes until it is executed or refused, and returns the reply.
func (w *simCluster) shardCommand(command shard.Command) (reply shard.CommandReply) {
	w.t.Helper()
	w.waitUntil("the command is answered", micro.Minute, func() bool {
		controller := w.randomUserNode()
		if controller == nil {
			return false
		}
		status, body := controller.runningNode().handleAdmin(wire.MustMarshal(command))
		return status == 200 && wire.Unmarshal(body, &reply) == nil
	})
	return reply
}

// moveShard moves the shard to a controller, and waits until that owns it.
func (w *simCluster) moveShard(to string) {
	w.t.Helper()
	w.requestMove(to)
	w.waitShardOwned(to, micro.Minute)
}

// A shard is formed and moved repeatedly while its jobs run on its machines. No task may restart.
func TestShardMovesWhileItsJobsRun(t *testing.T) {
	for seed := range uint64(3) {
		runShardScenario(t, seed, 3, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			service := sim.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
			other := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 2, zone: "a"}).submit()
			sim.waitRunning(service, 3)
			sim.waitRunning(other, 2)
			sim.waitUntil("the owner reports its machines and its job", micro.Minute, func() bool {
				reply := sim.shardCommand(shard.Command{Operation: shard.OperationShow, Shard: "east"})
				return len(reply.Shards) == 1 && reply.Shards[0].AssignedJobs == 1 && reply.Shards[0].MachineCount > 0
			})
			array := sim.newJob(
				jobRequest{kind: wire.JobArray, tasks: 4, runTime: 20 * micro.Second, runTimeStep: 5 * micro.Second, zone: "b"},
			).submit()
			for _, to := range []string{"n-0", "n-1", "n-2", "n-0"} {
				sim.moveShard(to)
				sim.sleep(4 * micro.Second)
			}
			sim.waitUntil("the array is done", 3*micro.Minute, func() bool {
				return replyState(array.queryStatus(sim.randomUserNode())) == wire.JobDone
			})
			if service.startCount() != 3 || service.runningTasks() != 3 || array.startCount() != 4 {
				sim.t.Errorf(
					"%d starts of 3 replicas, %d run; %d starts of 4 array tasks", service.startCount(), service.runningTasks(),
					array.startCount(),
				)
			}
			service.cancel()
			sim.waitUntil("all replicas have stopped", micro.Minute, func() bool { return service.runningTasks() == 0 })
		})
	}
}
