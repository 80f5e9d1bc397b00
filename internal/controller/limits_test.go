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

// loweredLimits are limits that are announced in the settings, as the store enforces them.
var loweredLimits = fake.Limits{ValueBytes: 2 << 10, TxnOps: 4, WriteRPS: 400}

func announceLoweredLimits(n *Node) {
	s := &n.Cfg.Facts.State
	s.Next.ValueKB, s.Next.TxnOps, s.Next.WriteRPS = 2, 4, 400
	n.Cfg.Facts.Teams[0].CPUsMax = 0
}

// The store lowers its limits without notice, while a job begun under the
// earlier version, with records far over the new limit, still runs.
func TestNoRequestExceedsStoreLimitsLoweredWithoutNotice(t *testing.T) {
	env := newTestCluster(t)
	env.cloud = fake.NewCloud(
		40,
		wire.MachineType{
			Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 1, FetchGBPerS: 1, Zones: []string{"a"},
		},
	)
	var places []cluster.AllocationRecord
	for i := range 120 {
		places = append(
			places, cluster.AllocationRecord{Index: i, Attempt: 1, Machine: fmt.Sprintf("i-9%05d", i), Session: 1, Zone: "a"},
		)
	}
	env.storeVersion1Job(t, places...)
	if size := wire.JSONSize(cluster.ChunkRecord{Allocations: places}); size <= loweredLimits.ValueBytes {
		t.Fatalf("%d bytes are no large record", size)
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
			t.Fatalf("%+v", reply)
		}
	}
	stop := make(chan struct{})
	go env.runAgents(node, stop)
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		waitUntil(t, id+" done", func() bool { return jobState(node, id) == wire.JobDone })
	}
	waitUntil(t, "the old job withdrawn", func() bool { return node.Cancel("j-9").Status == 200 })
	close(stop)
	kill()
	if env.store.MalformedCount > 0 {
		t.Fatalf("%d requests were over the limits", env.store.MalformedCount)
	}
}

// logLines collects what is logged.
type logLines struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *logLines) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.String(), s)
}

// A value that the store does not take is logged with its key, holds up nothing
// else, and is not tried again and again.
func TestValueThatTheStoreRejectsIsDeferred(t *testing.T) {
	env := newTestCluster(t)
	var log logLines
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		withLongLease(node)
		node.Log = slog.New(slog.NewTextHandler(&log, nil))
	})
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	leader := node.activeLeader()
	env.store.SetLimits(fake.Limits{ValueBytes: 1 << 10}) // long before it was to be expected
	put := func(key string, bytes int) {
		leader.post(func() {
			e := leader.records.Record(key)
			e.Build = func() (any, uint64) { return strings.Repeat("x", bytes), 0 }
			e.MarkDirty(node.Now(), statestore.PriorityHigh)
		})
	}
	put("job/j-1/end", 1<<11) // the limits as known allow it
	for i := range 6 {
		put(fmt.Sprint("hire/r-", i), 10)
	}
	for i := range 6 {
		waitUntil(t, "the others written", func() bool {
			_, err := env.store.Get(context.Background(), store.Routine, fmt.Sprint("hire/r-", i))
			return err == nil
		})
	}
	waitUntil(t, "logged with its key", func() bool { return log.count("job/j-1/end") > 0 })
	for range 20 {
		put("job/j-1/end", 1<<11)
	}
	put("hire/r-9", 10)
	waitUntil(t, "written after it", func() bool {
		_, err := env.store.Get(context.Background(), store.Routine, "hire/r-9")
		return err == nil
	})
	if env.store.MalformedCount > 4 {
		t.Fatalf("refused %d times", env.store.MalformedCount)
	}
	put("job/j-2/end", 1<<20) // over what is known: never sent
	waitUntil(t, "logged too", func() bool { return log.count("job/j-2/end") > 0 })
}

func TestSubmissionPreconditionsFitLoweredTransactionLimit(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startLeaderWithFormatGateOpen("n-0", announceLoweredLimits)
	env.store.SetLimits(loweredLimits)
	var needs []string
	for i := range 50 {
		id := fmt.Sprint("j-", 100+i)
		needs = append(needs, id)
		if _, err := env.store.Commit(
			context.Background(), store.Urgent,
			wire.Transaction{Then: []wire.Change{{Put: keys.JobSpec(id), Value: wire.Job{ID: id, Tasks: 1}}}},
		); err != nil {
			t.Fatal(err)
		}
	}
	if reply := node.Submit(dependentSubmission("j-1", needs...)); reply.Status != 201 || env.store.MalformedCount > 0 {
		t.Fatalf("%+v, %d requests over the limits", reply, env.store.MalformedCount)
	}
}

// Instance requests name up to fifty machines.
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
	im := cluster.ImageRecord{Names: []string{"a", "b"}, GB: []float64{7, 8}, Machines: map[string][]int{}}
	for name := range leader.cluster.Machines {
		im.Machines[name] = []int{0, 1}
	}
	leader.cluster.RestoreImages(im, 0)
	images, _ := leader.records.Lookup(keys.Images).Build()
	returning := rec
	returning.Machines, returning.Terminating = rec.Machines[:10], rec.Machines[10:]
	for _, value := range []any{rec, returning, images, persist.FormatRecord{Version: persist.FormatVersion, TasksPerChunk: 64}} {
		if size := wire.JSONSize(value); size > loweredLimits.ValueBytes-persist.ValueMargin {
			t.Errorf("%T takes %d bytes", value, size)
		}
	}
	if got := images.(cluster.ImageRecord); len(got.Machines) < 20 {
		t.Errorf("images of %d machines are kept", len(got.Machines))
	}
}

// blockingStore is a store that answers one write only when it is let go.
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
			default: // a later one
			}
		}
	}
	return s.Store.Commit(ctx, c, t)
}

// Every third answer of the store was lost, and each start waited for the time-out
// of a write that was none of its own.
func TestDelayedCommitResponseBlocksNoOtherKey(t *testing.T) {
	env := newTestCluster(t)
	s := blockingStore{nil, "hire/r-0", make(chan struct{}), make(chan struct{}, 1)}
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		withLongLease(node)
		s.Store = node.Store
		node.Store = s
	})
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
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
	waitUntil(t, "on its way", func() bool { return len(s.blocked) == 1 })
	put("hire/r-1", "x")
	put("hire/r-0", "new")
	waitUntil(t, "another key written meanwhile", written("hire/r-1", "x"))
	if written("hire/r-0", "new")() {
		t.Fatal("two writes of one key are on their way: either could come last")
	}
	close(s.release)
	waitUntil(t, "the newer value written after it", written("hire/r-0", "new"))
}
