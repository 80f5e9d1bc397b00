package controller

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

var measureMoves = flag.Int("share.measure", 0, "number of shard moves to measure for each shard size; 0: one")

// Measures shard moves on the simulated cluster, with a store that answers in 4 to 12 ms:
//
//	go test ./internal/controller -run TestMeasureShardMoves -v -share.measure 40
func TestMeasureShardMoves(t *testing.T) {
	for _, machines := range []int{1, 16, 256} {
		t.Run(fmt.Sprint(machines, " machines"), func(t *testing.T) {
			var used usage
			runScenario(t, 50, 3, func(sim *simCluster) {
				withShard(sim)
				sim.config.Shards.Declared[0] = config.DeclaredShard{
					Name: "east", Selector: shard.Selector{Zone: "b"}, Owner: "n-2",
				}
				sim.cloud.Capacity = machines + 20
				sim.config.Facts.Teams[0].CPUsMax = 0
				delete(sim.checker.cpuLimits, "team")
				sim.wrapStore = func(link *fake.Link) store.Store {
					link.SetDelay(storeLatency)
					return usageCountingStore{link, &used}
				}
			}, func(sim *simCluster) { sim.measureMoves(machines, &used) })
		})
	}
}

// measureMoves fills the shard with one replica per machine, measures moves of the shard between the controllers, and
// logs percentiles of their durations.
func (w *simCluster) measureMoves(machines int, used *usage) {
	w.waitShardOwned("n-2", 2*micro.Minute)
	service := w.newJob(jobRequest{kind: wire.Service, tasks: machines, cpus: 4, zone: "b"}).submit()
	w.waitUntil("the shard is full", 5*micro.Minute, func() bool { return service.runningTasks() == machines })
	w.sleep(20 * micro.Second)
	moves := max(*measureMoves, 1)
	var ownerless, total, untilFirstAnswer []micro.Time
	requests := int64(0)
	for i := range moves {
		w.sleep(10 * micro.Second)
		move := w.measureMove(fmt.Sprint("n-", i%3), used)
		ownerless, total, untilFirstAnswer = append(ownerless, move.ownerless), append(total, move.total),
			append(untilFirstAnswer, move.untilFirstAnswer)
		requests += move.requests
	}
	w.t.Logf(
		"%d machines, %d moves: without an owner for %s; from the command to the next owner %s, to its first answer %s; "+
			"%.1f store requests per move, %d starts of %d replicas",
		machines,
		moves,
		percentiles(ownerless),
		percentiles(total),
		percentiles(untilFirstAnswer),
		float64(requests)/float64(moves),
		service.startCount(),
		machines,
	)
	if service.startCount() != machines {
		w.t.Errorf("%d starts of %d replicas", service.startCount(), machines)
	}
}

// measuredMove holds the durations of one move, and its number of store requests: how long no owner answered, and the
// times from the command until the next owner serves and until it has answered a heartbeat.
type measuredMove struct {
	ownerless, total, untilFirstAnswer micro.Time
	requests                           int64
}

// measureMove moves the shard to a controller and measures the move.
func (w *simCluster) measureMove(to string, used *usage) (move measuredMove) {
	entry, _ := w.shardRecord()
	old, _ := w.controllerNamed(entry.Record.Owner.Node).runningNode().shards.Owner("east")
	requests := used.reads.Load() + used.commits.Load()
	from := w.now()
	w.requestMove(to)
	ownerlessSince := micro.Time(0)
	var next *ShardOwner
	for next == nil || !next.serving.Load() {
		if ownerlessSince == 0 && old.responsesBlocked.Load() {
			ownerlessSince = w.now()
		}
		next, _ = w.controllerNamed(to).runningNode().shards.Owner("east")
		time.Sleep(time.Millisecond)
	}
	move.total, move.ownerless = w.now()-from, w.now()-ownerlessSince
	move.requests = used.reads.Load() + used.commits.Load() - requests
	for heartbeats := 0; heartbeats == 0; time.Sleep(time.Millisecond) {
		read := make(chan struct{})
		next.post(func() { heartbeats = int(next.detector.Heartbeats()); close(read) })
		<-read
	}
	move.untilFirstAnswer = w.now() - from
	return move
}

// percentiles formats the median, the 95th percentile and the maximum of some durations, which it sorts.
func percentiles(all []micro.Time) string {
	slices.Sort(all)
	ms := func(t micro.Time) int64 { return int64(t / micro.Millisecond) }
	return fmt.Sprintf(
		"%d ms (median), %d (95%%), %d (maximum)", ms(all[len(all)/2]), ms(all[len(all)*95/100]), ms(all[len(all)-1]),
	)
}
