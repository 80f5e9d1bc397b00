package controller

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/internal/provision"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// loweredLimits are the limits that announceLoweredLimits configures, in the form in which the fake store enforces
// them.
var loweredLimits = fake.Limits{ValueBytes: 2 << 10, TxnOps: 4, WriteRPS: 400}

// announceLoweredLimits configures a node with upcoming limits of 2 KB a value, 4 operations a transaction and 400
// writes a second.
func announceLoweredLimits(n *Node) {
	s := &n.Cfg.Facts.State
	s.Next.ValueKB, s.Next.TxnOps, s.Next.WriteRPS = 2, 4, 400
	n.Cfg.Facts.Teams[0].CPUsMax = 0
}

// The store lowers its limits without notice while a job still runs whose version 1 records are far over the new value
// limit. No request exceeds the new limits, and all jobs finish.
func TestNoRequestExceedsStoreLimitsLoweredWithoutNotice(t *testing.T) {
	env := newTestCluster(t)
	env.cloud = fake.NewCloud(
		40,
		wire.MachineType{
			Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 1, FetchGBPerS: 1, Zones: []string{"a"},
		},
	)
	var allocations []cluster.AllocationRecord
	for i := range 120 {
		allocations = append(
			allocations,
			cluster.AllocationRecord{Index: i, Attempt: 1, Machine: fmt.Sprintf("i-9%05d", i), Session: 1, Zone: "a"},
		)
	}
	env.storeVersion1Job(t, allocations...)
	if size := wire.JSONSize(cluster.ChunkRecord{Allocations: allocations}); size <= loweredLimits.ValueBytes {
		t.Fatalf("the version 1 record takes %d bytes, within the lowered value limit", size)
	}
	node, kill := env.startLeaderWithFormatGateOpen("n-0", announceLoweredLimits)
	env.store.SetLimits(loweredLimits)
	body := func(id string, tasks int) []byte {
		var fields map[string]any
		if err := wire.Unmarshal(submission(id, wire.JobArray), &fields); err != nil {
			t.Fatal(err)
		}
		fields["pieces"], fields["ramGb"] = tasks, 0.1
		return wire.MustMarshal(fields)
	}
	for id, tasks := range map[string]int{"j-1": 300, "j-2": 64, "j-3": 1} {
		if reply := node.Submit(body(id, tasks)); reply.Status != 201 {
			t.Fatalf("submission: got %+v, want status 201", reply)
		}
	}
	stop := make(chan struct{})
	go env.runAgents(node, stop)
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		waitUntil(t, id+" done", func() bool { return jobState(node, id) == wire.JobDone })
	}
	waitUntil(t, "the version 1 job is cancelled", func() bool { return node.Cancel("j-9").Status == 200 })
	close(stop)
	kill()
	if env.store.MalformedCount > 0 {
		t.Fatalf("%d requests exceeded the limits of the store", env.store.MalformedCount)
	}
}

// logLines collects log output.
type logLines struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

// count returns how often the log output contains s.
func (l *logLines) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.String(), s)
}

// A value that the store rejects is logged with its key, does not delay other records, and is not retried continuously.
func TestValueThatTheStoreRejectsIsDeferred(t *testing.T) {
	env := newTestCluster(t)
	var log logLines
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		withLongLease(node)
		node.Log = slog.New(slog.NewTextHandler(&log, nil))
	})
	waitUntil(t, "the node leads", func() bool { return node.activeLeader() != nil })
	leader := node.activeLeader()
	env.store.SetLimits(fake.Limits{ValueBytes: 1 << 10}) // long before the announced change
	put := func(key string, bytes int) {
		leader.post(func() {
			e := leader.records.Record(key)
			e.Build = func() (any, uint64) { return strings.Repeat("x", bytes), 0 }
			e.MarkDirty(node.Now(), statestore.PriorityHigh)
		})
	}
	put("job/j-1/end", 1<<11) // within the limits that the node knows
	for i := range 6 {
		put(fmt.Sprint("hire/r-", i), 10)
	}
	for i := range 6 {
		waitUntil(t, "the other records are written", func() bool {
			_, err := env.store.Get(context.Background(), store.Routine, fmt.Sprint("hire/r-", i))
			return err == nil
		})
	}
	waitUntil(t, "the rejected key is logged", func() bool { return log.count("job/j-1/end") > 0 })
	for range 20 {
		put("job/j-1/end", 1<<11)
	}
	put("hire/r-9", 10)
	waitUntil(t, "a record after the rejected one is written", func() bool {
		_, err := env.store.Get(context.Background(), store.Routine, "hire/r-9")
		return err == nil
	})
	if env.store.MalformedCount > 4 {
		t.Fatalf("the store rejected %d requests, want at most 4", env.store.MalformedCount)
	}
	put("job/j-2/end", 1<<20) // over the limits that the node knows: never sent
	waitUntil(t, "the oversized key is logged", func() bool { return log.count("job/j-2/end") > 0 })
}

// A submission with 50 dependencies checks them in requests within the lowered limit of operations a transaction.
func TestSubmissionPreconditionsFitLoweredTransactionLimit(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen("n-0", announceLoweredLimits)
	env.store.SetLimits(loweredLimits)
	var dependencies []string
	for i := range 50 {
		id := fmt.Sprint("j-", 100+i)
		dependencies = append(dependencies, id)
		if _, err := env.store.Commit(
			context.Background(), store.Urgent,
			wire.Transaction{Then: []wire.Change{{Put: keys.JobSpec(id), Value: wire.Job{ID: id, Tasks: 1}}}},
		); err != nil {
			t.Fatal(err)
		}
	}
	if reply := node.Submit(
		dependentSubmission("j-1", dependencies...),
	); reply.Status != 201 || env.store.MalformedCount > 0 {
		t.Fatalf("got %+v, want status 201; %d requests exceeded the limits of the store", reply, env.store.MalformedCount)
	}
}

// Records of instance requests with up to 50 machines, and the image record of 300 machines, fit the lowered value
// limit.
func TestInstanceAndImageRecordsFitLoweredValueLimit(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen("n-0", announceLoweredLimits)
	leader := newLeader(node, node.activeLeader().term)
	leader.cluster.EnableCompactRecords(64)
	rec := provision.InstanceRequestRecord{
		Request: wire.InstanceRequest{
			RequestID: "r-1234567-1234", Type: "a-machine-type", Zone: "a-long-zones-name", Spot: true, Count: 50,
		},
		Answered:  true,
		CreatedAt: int64(micro.WallNow()),
	}
	for i := range 300 {
		machine := leader.cluster.EnsureMachine(fmt.Sprintf("i-%06d", i), 0)
		machine.Type = &cluster.MachineType{MachineType: wire.MachineType{CacheGB: 100}}
		if len(rec.Machines) < 50 {
			rec.Machines = append(rec.Machines, machine.Name)
		}
	}
	imageRecord := cluster.ImageRecord{Names: []string{"a", "b"}, GB: []float64{7, 8}, Machines: map[string][]int{}}
	for name := range leader.cluster.Machines {
		imageRecord.Machines[name] = []int{0, 1}
	}
	leader.cluster.RestoreImages(imageRecord, 0)
	images, _ := leader.records.Lookup(keys.Images).Build()
	terminating := rec
	terminating.Machines, terminating.Terminating = rec.Machines[:10], rec.Machines[10:]
	for _, value := range []any{
		rec, terminating, images, persist.FormatRecord{Version: persist.FormatVersion, TasksPerChunk: 64},
	} {
		if size := wire.JSONSize(value); size > loweredLimits.ValueBytes-persist.ValueMargin {
			t.Errorf("%T takes %d bytes, over the value limit less its margin", value, size)
		}
	}
	if got := images.(cluster.ImageRecord); len(got.Machines) < 20 {
		t.Errorf("the record lists the images of %d machines, want at least 20", len(got.Machines))
	}
}

// blockingStore is a store that blocks the first write of key until release is closed, and reports it on blocked.
type blockingStore struct {
	store.Store
	key     string
	release chan struct{}
	blocked chan struct{}
}

func (s blockingStore) Commit(ctx context.Context, c store.Class, t wire.Transaction) (uint64, error) {
	for _, ch := range t.Then {
		if ch.Put == s.key {
			select {
			case s.blocked <- struct{}{}:
				<-s.release
			default: // another write is blocked already
			}
		}
	}
	return s.Store.Commit(ctx, c, t)
}

// A write without a response blocks only later writes of its own key. When every third response of the store was lost,
// each task start used to wait for the time-out of an unrelated write.
func TestDelayedCommitResponseBlocksNoOtherKey(t *testing.T) {
	env := newTestCluster(t)
	s := blockingStore{nil, "hire/r-0", make(chan struct{}), make(chan struct{}, 1)}
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		withLongLease(node)
		s.Store = node.Store
		node.Store = s
	})
	waitUntil(t, "the node leads", func() bool { return node.activeLeader() != nil })
	leader := node.activeLeader()
	put := func(key, value string) {
		leader.post(func() {
			e := leader.records.Record(key)
			e.Build = func() (any, uint64) { return value, 0 }
			e.MarkDirty(node.Now(), statestore.PriorityHigh)
		})
	}
	written := func(key, value string) func() bool {
		return func() bool {
			item, err := env.store.Get(context.Background(), store.Routine, key)
			var got string
			return err == nil && wire.Unmarshal(item.Value, &got) == nil && got == value
		}
	}
	put("hire/r-0", "old")
	waitUntil(t, "the first write is in flight", func() bool { return len(s.blocked) == 1 })
	put("hire/r-1", "x")
	put("hire/r-0", "new")
	waitUntil(t, "another key is written meanwhile", written("hire/r-1", "x"))
	if written("hire/r-0", "new")() {
		t.Fatal("two writes of one key are in flight at once: the older could be executed last")
	}
	close(s.release)
	waitUntil(t, "the newer value is written after the older one", written("hire/r-0", "new"))
}
