package controller

import (
	"context"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Fleets of thousands of machines on the simulated cluster. What is asserted are
// amounts (requests, changes, machines, entries), not time on this machine.

var runLargestFleet = flag.Bool("fleet.large", false, "play the fleet of 6,000 machines as well")

// usage counts what the nodes ask of the store.
type usage struct {
	reads, commits, changes atomic.Int64
}

// usageCountingStore counts requests on their way to the store.
type usageCountingStore struct {
	store.Store
	usage *usage
}

// Get reads a key.
func (m usageCountingStore) Get(ctx context.Context, class store.Class, key string) (wire.Item, error) {
	m.usage.reads.Add(1)
	return m.Store.Get(ctx, class, key)
}

// Range reads keys in order.
func (m usageCountingStore) Range(
	ctx context.Context, class store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	m.usage.reads.Add(1)
	return m.Store.Range(ctx, class, prefix, after, limit)
}

// ExistingKeys says which keys there are.
func (m usageCountingStore) ExistingKeys(
	ctx context.Context, class store.Class, keys []string,
) (map[string]bool, error) {
	m.usage.reads.Add(1)
	return m.Store.ExistingKeys(ctx, class, keys)
}

// Commit counts a transaction and its changes.
func (m usageCountingStore) Commit(ctx context.Context, class store.Class, txn wire.Transaction) (uint64, error) {
	m.usage.commits.Add(1)
	m.usage.changes.Add(int64(len(txn.Then)))
	return m.Store.Commit(ctx, class, txn)
}

// largeFleet is a cluster whose services fill one machine with each task.
type largeFleet struct {
	*simCluster
	storeUsage usage
	machines   int
	jobs       []*userJob
}

// tasksPerService is how many tasks, and machines, each service of a large fleet has.
const tasksPerService = 100

// runLargeFleet plays a scenario on a fleet of so many machines.
func runLargeFleet(t *testing.T, machines int, scenario func(fleet *largeFleet)) {
	t.Helper()
	fleet := &largeFleet{machines: machines}
	runScenario(t, 5, 3, func(sim *simCluster) {
		fleet.simCluster = sim
		sim.cloud.Capacity = machines + machines/10
		sim.config.Facts.Teams[0].CPUsMax = 0
		delete(sim.checker.cpuLimits, "team")
		sim.wrapStore = func(l *fake.Link) store.Store { return usageCountingStore{l, &fleet.storeUsage} }
	}, func(*simCluster) { scenario(fleet) })
}

// fill submits services for all machines and waits until they run.
func (f *largeFleet) fill() {
	f.t.Helper()
	for range f.machines / tasksPerService {
		f.jobs = append(f.jobs, f.newJob(jobRequest{kind: wire.Service, tasks: tasksPerService, cpus: 4}).submit())
	}
	f.waitAllRunning("the whole fleet runs", 5*micro.Minute)
}

func (f *largeFleet) waitAllRunning(what string, most micro.Time) {
	f.t.Helper()
	f.waitUntil(what, most, func() bool { return f.checker.runningTasks() == f.machines })
}

// measureStoreUsage gives what the nodes asked of the store while something happened.
func (f *largeFleet) measureStoreUsage(happens func()) (reads, commits, changes int64) {
	reads, commits, changes = f.storeUsage.reads.Load(), f.storeUsage.commits.Load(), f.storeUsage.changes.Load()
	happens()
	return f.storeUsage.reads.Load() - reads, f.storeUsage.commits.Load() - commits, f.storeUsage.changes.Load() - changes
}

// withLeaderState reads the leader's model from within its loop.
func (f *largeFleet) withLeaderState(read func(c *cluster.State, l *Leader)) {
	f.t.Helper()
	currentLeader := f.waitForLeader().runningNode().activeLeader()
	done := make(chan struct{})
	currentLeader.post(func() { read(currentLeader.cluster, currentLeader); close(done) })
	<-done
}

// A cold start, a burst beside it, status queries, a failover, and the loss of half of the
// machines: the fleet fills, none of its work is lost or started twice, and what the
// store is asked grows with the records, not with machines times time.
func TestFleetsOfThousandsOfMachines(t *testing.T) {
	sizes := []int{4000}
	if *runLargestFleet {
		sizes = append(sizes, 6000)
	}
	for _, machines := range sizes {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			runLargeFleet(t, machines, func(fleet *largeFleet) {
				fleet.coldStart()
				fleet.queryAllJobs()
				fleet.failOver()
				fleet.terminateHalf()
			})
		})
	}
}

func (f *largeFleet) coldStart() {
	f.t.Helper()
	from := f.now()
	reads, commits, changes := f.measureStoreUsage(f.fill)
	all, _ := f.instanceCounts()
	f.t.Logf(
		"cold start: %d machines rented, %d reads, %d transactions, %d changes, %v", all, reads, commits, changes,
		f.now()-from,
	)
	if all > f.machines+f.machines/10 {
		f.t.Errorf("%d machines rented for work that fills %d", all, f.machines)
	}
	// A description, records of 128 tasks and an answered instance request of up to 50 machines,
	// each written a few times while tasks come to run.
	if most := int64(f.machines) / 2; changes > most {
		f.t.Errorf("%d changes for the cold start, %d at the most", changes, most)
	}
}

func (f *largeFleet) queryAllJobs() {
	f.t.Helper()
	answered := 0
	reads, _, changes := f.measureStoreUsage(func() {
		for range 50 {
			for _, job := range f.jobs {
				if reply := job.queryStatus(f.randomUserNode()); reply.Status == 200 {
					answered++
				}
			}
		}
	})
	f.t.Logf("polls: %d of %d answered, %d reads", answered, 50*len(f.jobs), reads)
	if answered != 50*len(f.jobs) {
		f.t.Errorf("%d of %d polls were answered", answered, 50*len(f.jobs))
	}
	if reads > 20 || changes > 20 {
		f.t.Errorf("polls for jobs that the leader knows took %d reads and %d changes", reads, changes)
	}
}

func (f *largeFleet) failOver() {
	f.t.Helper()
	old, starts := f.waitForLeader(), f.checker.startsSoFar()
	reads, commits, changes := f.measureStoreUsage(func() {
		f.restartController(old, 8*micro.Second)
		f.waitForNextLeader(old)
		f.sleep(micro.Minute)
	})
	f.t.Logf("takeover: %d reads, %d transactions, %d changes in the minute after", reads, commits, changes)
	if began := f.checker.startsSoFar() - starts; began != 0 || f.checker.runningTasks() != f.machines {
		f.t.Errorf("%d tasks began anew, %d of %d run", began, f.checker.runningTasks(), f.machines)
	}
	if most := int64(f.machines) / 10; reads > most {
		f.t.Errorf("the takeover and a minute took %d reads, %d at the most", reads, most)
	}
	f.withLeaderState(func(c *cluster.State, leader *Leader) {
		if len(c.Machines) > f.machines+f.machines/10 || leader.loop.Len(eventloop.Events) > f.machines {
			f.t.Errorf("%d machines and %d events in the leader", len(c.Machines), leader.loop.Len(eventloop.Events))
		}
	})
}

func (f *largeFleet) terminateHalf() {
	f.t.Helper()
	from := f.now()
	reads, commits, changes := f.measureStoreUsage(func() {
		for i, machine := range f.liveMachines() {
			if i%2 == 0 {
				machine.terminate()
			}
		}
		f.sleep(micro.Second)
		f.waitAllRunning("the work of the lost machines runs again", 6*micro.Minute)
	})
	f.t.Logf("half lost: %d reads, %d transactions, %d changes, %v", reads, commits, changes, f.now()-from)
	if most := int64(3 * f.machines); changes > most {
		f.t.Errorf("%d changes after the loss, %d at the most", changes, most)
	}
}

// runningTasks is how many tasks are on machines.
func (c *checker) runningTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, machines := range c.machinesByTask {
		n += len(machines)
	}
	return n
}
