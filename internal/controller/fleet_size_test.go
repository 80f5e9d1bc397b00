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

// Tests of fleets with thousands of machines on the simulated cluster. They assert
// amounts (requests, changes, machines, events), not run times, which depend on the
// machine that runs the test.

var runLargestFleet = flag.Bool("fleet.large", false, "also test a fleet of 6,000 machines")

// usage counts the requests of all controllers to the store.
type usage struct {
	reads, commits, changes atomic.Int64
}

// usageCountingStore counts requests and passes them to the store.
type usageCountingStore struct {
	store.Store
	usage *usage
}

// Get counts a read and reads a key.
func (m usageCountingStore) Get(ctx context.Context, class store.Class, key string) (wire.Item, error) {
	m.usage.reads.Add(1)
	return m.Store.Get(ctx, class, key)
}

// Range counts a read and reads a page of keys in order.
func (m usageCountingStore) Range(
	ctx context.Context, class store.Class, prefix, after string, limit int,
) (wire.Page, error) {
	m.usage.reads.Add(1)
	return m.Store.Range(ctx, class, prefix, after, limit)
}

// ExistingKeys counts a read and returns which of the keys exist.
func (m usageCountingStore) ExistingKeys(
	ctx context.Context, class store.Class, keys []string,
) (map[string]bool, error) {
	m.usage.reads.Add(1)
	return m.Store.ExistingKeys(ctx, class, keys)
}

// Commit counts a transaction and its changes, and commits it.
func (m usageCountingStore) Commit(ctx context.Context, class store.Class, txn wire.Transaction) (uint64, error) {
	m.usage.commits.Add(1)
	m.usage.changes.Add(int64(len(txn.Then)))
	return m.Store.Commit(ctx, class, txn)
}

// largeFleet is a simulated cluster whose services have tasks that each fill a machine.
type largeFleet struct {
	*simCluster
	storeUsage usage
	machines   int
	jobs       []*userJob
}

// tasksPerService is the number of tasks, and so of machines, of each service of a large fleet.
const tasksPerService = 100

// runLargeFleet runs a scenario on a fleet of the given number of machines, without a CPU limit of the team.
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

// fill submits services for all machines and waits until all their tasks run.
func (f *largeFleet) fill() {
	f.t.Helper()
	for range f.machines / tasksPerService {
		f.jobs = append(f.jobs, f.newJob(jobRequest{kind: wire.Service, tasks: tasksPerService, cpus: 4}).submit())
	}
	f.waitAllRunning("all tasks of the fleet run", 5*micro.Minute)
}

func (f *largeFleet) waitAllRunning(condition string, timeout micro.Time) {
	f.t.Helper()
	f.waitUntil(condition, timeout, func() bool { return f.checker.runningTasks() == f.machines })
}

// measureStoreUsage returns the number of requests and changes that the controllers sent to the store during action.
func (f *largeFleet) measureStoreUsage(action func()) (reads, commits, changes int64) {
	reads, commits, changes = f.storeUsage.reads.Load(), f.storeUsage.commits.Load(), f.storeUsage.changes.Load()
	action()
	return f.storeUsage.reads.Load() - reads, f.storeUsage.commits.Load() - commits, f.storeUsage.changes.Load() - changes
}

// withLeaderState calls read in the event loop of the leader, which owns the state, and waits for it.
func (f *largeFleet) withLeaderState(read func(c *cluster.State, l *Leader)) {
	f.t.Helper()
	currentLeader := f.waitForLeader().runningNode().activeLeader()
	done := make(chan struct{})
	currentLeader.post(func() { read(currentLeader.cluster, currentLeader); close(done) })
	<-done
}

// A cold start with a burst of submissions, status queries, a failover, and the loss of half of the machines:
// the services fill the fleet, no task is lost or started twice, and the number of store requests and changes
// grows with the number of records, not with the number of machines times the duration.
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
		"cold start: %d machines provisioned, %d reads, %d transactions, %d changes, %v", all, reads, commits, changes,
		f.now()-from,
	)
	if all > f.machines+f.machines/10 {
		f.t.Errorf("%d machines provisioned for services that fill %d", all, f.machines)
	}
	// The changes are job descriptions, chunk records of 128 tasks each, and records of answered instance requests
	// of up to 50 machines each. Each record is written a few times until the tasks run.
	if limit := int64(f.machines) / 2; changes > limit {
		f.t.Errorf("cold start took %d changes, limit %d", changes, limit)
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
	f.t.Logf("status queries: %d of %d answered, %d reads", answered, 50*len(f.jobs), reads)
	if answered != 50*len(f.jobs) {
		f.t.Errorf("%d of %d status queries were answered", answered, 50*len(f.jobs))
	}
	if reads > 20 || changes > 20 {
		f.t.Errorf("status queries of jobs known to the leader: %d reads, %d changes, limit 20 each", reads, changes)
	}
}

func (f *largeFleet) failOver() {
	f.t.Helper()
	old, starts := f.waitForLeader(), f.checker.totalStartCount()
	reads, commits, changes := f.measureStoreUsage(func() {
		f.restartController(old, 8*micro.Second)
		f.waitForNextLeader(old)
		f.sleep(micro.Minute)
	})
	f.t.Logf("failover: %d reads, %d transactions, %d changes up to a minute after it", reads, commits, changes)
	if restarted := f.checker.totalStartCount() - starts; restarted != 0 || f.checker.runningTasks() != f.machines {
		f.t.Errorf("%d tasks restarted in the failover, %d of %d run", restarted, f.checker.runningTasks(), f.machines)
	}
	if limit := int64(f.machines) / 10; reads > limit {
		f.t.Errorf("failover and the minute after it took %d reads, limit %d", reads, limit)
	}
	f.withLeaderState(func(c *cluster.State, leader *Leader) {
		if len(c.Machines) > f.machines+f.machines/10 || leader.loop.Len(eventloop.Events) > f.machines {
			f.t.Errorf(
				"the leader holds %d machines and %d queued events, too many", len(c.Machines),
				leader.loop.Len(eventloop.Events),
			)
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
		f.waitAllRunning("the tasks of the terminated machines run again", 6*micro.Minute)
	})
	f.t.Logf(
		"half of the machines lost: %d reads, %d transactions, %d changes, %v", reads, commits, changes, f.now()-from,
	)
	if limit := int64(3 * f.machines); changes > limit {
		f.t.Errorf("loss of half of the machines took %d changes, limit %d", changes, limit)
	}
}

// runningTasks returns the number of tasks on machines.
func (c *checker) runningTasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, machines := range c.machinesByTask {
		n += len(machines)
	}
	return n
}
