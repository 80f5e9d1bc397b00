package controller

import (
	"context"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Fleets of thousands of machines on the simulated cluster. What is asserted are
// amounts (requests, changes, machines, entries), not time on this machine.

var fleetSizes = flag.Bool("fleet.large", false, "play the fleet of 6,000 machines as well")

// usage counts what the nodes ask of the store.
type usage struct {
	reads, commits, changes atomic.Int64
}

// meteredStore counts requests on their way to the store.
type meteredStore struct {
	store.Store
	used *usage
}

// Get reads a key.
func (m meteredStore) Get(ctx context.Context, class store.Class, key string) (wire.Item, error) {
	m.used.reads.Add(1)
	return m.Store.Get(ctx, class, key)
}

// Range reads keys in order.
func (m meteredStore) Range(ctx context.Context, class store.Class, prefix, after string, limit int) (wire.Page, error) {
	m.used.reads.Add(1)
	return m.Store.Range(ctx, class, prefix, after, limit)
}

// Existing says which keys there are.
func (m meteredStore) Existing(ctx context.Context, class store.Class, keys []string) (map[string]bool, error) {
	m.used.reads.Add(1)
	return m.Store.Existing(ctx, class, keys)
}

// Commit counts a transaction and its changes.
func (m meteredStore) Commit(ctx context.Context, class store.Class, txn wire.Txn) (uint64, error) {
	m.used.commits.Add(1)
	m.used.changes.Add(int64(len(txn.Then)))
	return m.Store.Commit(ctx, class, txn)
}

// largeFleet is a cluster whose services fill one machine with each task.
type largeFleet struct {
	*simCluster
	used     usage
	machines int
	jobs     []*job
}

// tasksEach is how many tasks, and machines, each service of a large fleet has.
const tasksEach = 100

// playLargeFleet plays a scenario on a fleet of so many machines.
func playLargeFleet(t *testing.T, machines int, scenario func(f *largeFleet)) {
	t.Helper()
	f := &largeFleet{machines: machines}
	play(t, 5, 3, func(w *simCluster) {
		f.simCluster = w
		w.cloud.Capacity = machines + machines/10
		w.base.Facts.Teams[0].CPUsMax = 0
		delete(w.check.limits, "team")
		w.wrap = func(l *fake.Link) store.Store { return meteredStore{l, &f.used} }
	}, func(*simCluster) { scenario(f) })
}

// fill submits services for all machines and waits until they run.
func (f *largeFleet) fill() {
	f.t.Helper()
	for range f.machines / tasksEach {
		f.jobs = append(f.jobs, f.wants(order{kind: wire.Service, tasks: tasksEach, cpus: 4}).submit())
	}
	f.allRun("the whole fleet runs", 5*micro.Minute)
}

func (f *largeFleet) allRun(what string, most micro.Time) {
	f.t.Helper()
	f.until(what, most, func() bool { return f.check.running() == f.machines })
}

// spent gives what the nodes asked of the store while something happened.
func (f *largeFleet) spent(happens func()) (reads, commits, changes int64) {
	reads, commits, changes = f.used.reads.Load(), f.used.commits.Load(), f.used.changes.Load()
	happens()
	return f.used.reads.Load() - reads, f.used.commits.Load() - commits, f.used.changes.Load() - changes
}

// inModel reads the leader's model from within its loop.
func (f *largeFleet) inModel(read func(c *model.Cluster, l *Lead)) {
	f.t.Helper()
	lead := f.leads().current().leading()
	done := make(chan struct{})
	lead.post(func() { read(lead.c, lead); close(done) })
	<-done
}

// A cold start, a burst beside it, polls, a takeover, and the loss of half of the
// machines: the fleet fills, none of its work is lost or started twice, and what the
// store is asked grows with the records, not with machines times time.
func TestFleetsOfThousandsOfMachines(t *testing.T) {
	sizes := []int{4000}
	if *fleetSizes {
		sizes = append(sizes, 6000)
	}
	for _, machines := range sizes {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			playLargeFleet(t, machines, func(f *largeFleet) {
				f.coldStart()
				f.pollStorm()
				f.takeOver()
				f.loseHalf()
			})
		})
	}
}

func (f *largeFleet) coldStart() {
	f.t.Helper()
	from := f.now()
	reads, commits, changes := f.spent(f.fill)
	all, _ := f.rented()
	f.t.Logf("cold start: %d machines rented, %d reads, %d transactions, %d changes, %v", all, reads, commits, changes, f.now()-from)
	if all > f.machines+f.machines/10 {
		f.t.Errorf("%d machines rented for work that fills %d", all, f.machines)
	}
	// A description, records of 128 tasks and an answered rental of up to 50 machines,
	// each written a few times while tasks come to run.
	if most := int64(f.machines) / 2; changes > most {
		f.t.Errorf("%d changes for the cold start, %d at the most", changes, most)
	}
}

func (f *largeFleet) pollStorm() {
	f.t.Helper()
	answered := 0
	reads, _, changes := f.spent(func() {
		for range 50 {
			for _, j := range f.jobs {
				if r := j.poll(f.any()); r.Status == 200 {
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

func (f *largeFleet) takeOver() {
	f.t.Helper()
	old, starts := f.leads(), f.check.began()
	reads, commits, changes := f.spent(func() {
		f.restart(old, 8*micro.Second)
		f.follows(old)
		f.sleep(micro.Minute)
	})
	f.t.Logf("takeover: %d reads, %d transactions, %d changes in the minute after", reads, commits, changes)
	if began := f.check.began() - starts; began != 0 || f.check.running() != f.machines {
		f.t.Errorf("%d tasks began anew, %d of %d run", began, f.check.running(), f.machines)
	}
	if most := int64(f.machines) / 10; reads > most {
		f.t.Errorf("the takeover and a minute took %d reads, %d at the most", reads, most)
	}
	f.inModel(func(c *model.Cluster, l *Lead) {
		if len(c.Machines) > f.machines+f.machines/10 || len(l.events) > f.machines {
			f.t.Errorf("%d machines and %d events in the leader", len(c.Machines), len(l.events))
		}
	})
}

func (f *largeFleet) loseHalf() {
	f.t.Helper()
	from := f.now()
	reads, commits, changes := f.spent(func() {
		for i, h := range f.hosts() {
			if i%2 == 0 {
				h.die()
			}
		}
		f.sleep(micro.Second)
		f.allRun("the work of the lost machines runs again", 6*micro.Minute)
	})
	f.t.Logf("half lost: %d reads, %d transactions, %d changes, %v", reads, commits, changes, f.now()-from)
	if most := int64(3 * f.machines); changes > most {
		f.t.Errorf("%d changes after the loss, %d at the most", changes, most)
	}
}

// running is how many tasks are on machines.
func (c *checker) running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, machines := range c.on {
		n += len(machines)
	}
	return n
}
