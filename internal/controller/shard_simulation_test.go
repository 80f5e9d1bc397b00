package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Shards on the simulated cluster: what moves while jobs run, and what meets it.

// withShard declares a shard of zone b, owned by n-2 at first.
func withShard(sim *simCluster) {
	sim.config.Shards = &config.Shards{
		MinMoveInterval: micro.Minute, MaxMachinesMoving: 10_000,
		Declared: []config.DeclaredShard{{Name: "east", Selector: shard.Selector{Zone: "b"}, Owner: "n-2"}},
	}
}

// runShardScenario plays a scenario on a cluster with a shard.
func runShardScenario(t *testing.T, seed uint64, nodes int, scenario func(sim *simCluster)) {
	t.Helper()
	runScenario(t, seed, nodes, withShard, scenario)
}

// shardRecord reads the record of the shard from the store.
func (w *simCluster) shardRecord() (shard.Entry, bool) {
	it, err := w.store.Get(w.ctx, store.Routine, shard.RecordKey("east"))
	if err != nil {
		return shard.Entry{}, false
	}
	entry, err := shard.ParseRecord(it.Key, it.Value, uint64(it.Version))
	return entry, err == nil
}

// waitShardOwned waits until a controller owns the shard, and its loop serves.
func (w *simCluster) waitShardOwned(by string, most micro.Time) {
	w.t.Helper()
	w.waitUntil("the share is "+by+"'s", most, func() bool {
		e, ok := w.shardRecord()
		if !ok || e.Record.State != shard.Owned || e.Record.Owner.Node != by {
			return false
		}
		n := w.controllerNamed(by).runningNode()
		if n == nil {
			return false
		}
		l, ok := n.shards.Owner("east")
		return ok && l.serving.Load()
	})
}

func (w *simCluster) controllerNamed(name string) *controllerProcess {
	for _, controller := range w.controllers {
		if controller.name == name {
			return controller
		}
	}
	w.t.Fatalf("no controller %s", name)
	return nil
}

// shardCommand gives an operator's command to some node until it is carried out or refused.
func (w *simCluster) shardCommand(c shard.Command) (reply shard.CommandReply) {
	w.t.Helper()
	w.waitUntil("the command is answered", micro.Minute, func() bool {
		controller := w.randomUserNode()
		if controller == nil {
			return false
		}
		status, out := controller.runningNode().handleAdmin(wire.MustMarshal(c))
		return status == 200 && wire.Unmarshal(out, &reply) == nil
	})
	return reply
}

// moveShard has the shard moved.
func (w *simCluster) moveShard(to string) {
	w.t.Helper()
	w.requestMove(to)
	w.waitShardOwned(to, micro.Minute)
}

// A shard is formed, its jobs run on its machines, and it moves to and fro while they do.
func TestShardMovesWhileItsJobsRun(t *testing.T) {
	for seed := range uint64(3) {
		runShardScenario(t, seed, 3, func(sim *simCluster) {
			sim.waitShardOwned("n-2", 2*micro.Minute)
			service := sim.newJob(jobRequest{kind: wire.Service, tasks: 3, cpus: 2, zone: "b"}).submit()
			other := sim.newJob(jobRequest{kind: wire.Service, tasks: 2, cpus: 2, zone: "a"}).submit()
			sim.waitRunning(service, 3)
			sim.waitRunning(other, 2)
			sim.waitUntil("the owner tells of its machines and its job", micro.Minute, func() bool {
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
			sim.waitUntil(
				"done", 3*micro.Minute, func() bool { return replyState(array.queryStatus(sim.randomUserNode())) == wire.JobDone },
			)
			if service.startCount() != 3 || service.runningTasks() != 3 || array.startCount() != 4 {
				sim.t.Errorf(
					"%d starts of 3 replicas, %d run; %d starts of 4 tasks", service.startCount(), service.runningTasks(),
					array.startCount(),
				)
			}
			service.cancel()
			sim.waitUntil("the replicas are gone", micro.Minute, func() bool { return service.runningTasks() == 0 })
		})
	}
}
