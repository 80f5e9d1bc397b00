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

var measureMoves = flag.Int("share.measure", 0, "moves to measure for each size of a share; 0: none")

// Measures moves on the simulated cluster, with a store that answers in 4 to 12 ms:
//
//	go test ./internal/controller -run TestMeasureShardMoves -v -shard.measure 40
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
				sim.wrapStore = func(l *fake.Link) store.Store {
					l.SetDelay(storeLatency)
					return usageCountingStore{l, &used}
				}
			}, func(sim *simCluster) { sim.measureMoves(machines, &used) })
		})
	}
}

func (w *simCluster) measureMoves(machines int, used *usage) {
	w.waitShardOwned("n-2", 2*micro.Minute)
	service := w.newJob(jobRequest{kind: wire.Service, tasks: machines, cpus: 4, zone: "b"}).submit()
	w.waitUntil("the share is full", 5*micro.Minute, func() bool { return service.runningTasks() == machines })
	w.sleep(20 * micro.Second)
	moves := max(*measureMoves, 1)
	var silent, whole, answered []micro.Time
	requests := int64(0)
	for i := range moves {
		w.sleep(10 * micro.Second)
		m := w.measureMove(fmt.Sprint("n-", i%3), used)
		silent, whole, answered = append(silent, m.ownerless), append(whole, m.total), append(answered, m.untilFirstAnswer)
		requests += m.requests
	}
	w.t.Logf(
		"%d machines, %d moves: no owner speaks for %s; from the command to the next owner %s; to its first answer %s; %.1f requests to the store a move, %d starts of %d replicas",
		machines,
		moves,
		percentiles(silent),
		percentiles(whole),
		percentiles(answered),
		float64(requests)/float64(moves),
		service.startCount(),
		machines,
	)
	if service.startCount() != machines {
		w.t.Errorf("%d starts of %d replicas", service.startCount(), machines)
	}
}

// measuredMove is what one move took.
type measuredMove struct {
	ownerless, total, untilFirstAnswer micro.Time
	requests                           int64
}

func (w *simCluster) measureMove(to string, used *usage) (m measuredMove) {
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
	m.total, m.ownerless = w.now()-from, w.now()-ownerlessSince
	m.requests = used.reads.Load() + used.commits.Load() - requests
	for reports := 0; reports == 0; time.Sleep(time.Millisecond) {
		read := make(chan struct{})
		next.post(func() { reports = int(next.detector.Heartbeats()); close(read) })
		<-read
	}
	m.untilFirstAnswer = w.now() - from
	return m
}

func percentiles(all []micro.Time) string {
	slices.Sort(all)
	ms := func(t micro.Time) int64 { return int64(t / micro.Millisecond) }
	return fmt.Sprintf(
		"%d ms (median), %d (95%%), %d (longest)", ms(all[len(all)/2]), ms(all[len(all)*95/100]), ms(all[len(all)-1]),
	)
}
