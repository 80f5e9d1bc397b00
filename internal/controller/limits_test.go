package controller

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"notchmux.dev/notchmux/internal/writer"
	"strings"
	"sync"
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// next are limits that are announced in the settings, as the store enforces them.
var next = fake.Limits{ValueBytes: 2 << 10, TxnOps: 4, WriteRPS: 400}

func announced(n *Node) {
	s := &n.Cfg.Facts.State
	s.Next.ValueKB, s.Next.TxnOps, s.Next.WriteRPS = 2, 4, 400
	n.Cfg.Facts.Teams[0].CPUsMax = 0
}

// The state service lowers its limits without notice, while a job begun under the
// earlier version, with records far over the new limit, still runs.
func TestLimitsAreLoweredWithoutNoticeAndNothingIsRefused(t *testing.T) {
	b := newBed(t)
	b.cloud = fake.NewCloud(40, wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 1, FetchGBPerS: 1, Zones: []string{"a"}})
	var places []model.PlaceRecord
	for i := range 120 {
		places = append(places, model.PlaceRecord{Index: i, Attempt: 1, Machine: fmt.Sprintf("i-9%05d", i), Session: 1, Zone: "a"})
	}
	b.v1(t, places...)
	if size := wire.JSONSize(model.ChunkRecord{Places: places}); size <= next.ValueBytes {
		t.Fatalf("%d bytes are no large record", size)
	}
	n, kill := b.open("n-0", announced)
	b.store.Limit(next)
	body := func(id string, tasks int) []byte {
		var m map[string]any
		if err := wire.Unmarshal(submission(id, wire.Array), &m); err != nil {
			t.Fatal(err)
		}
		m["pieces"], m["ramGb"] = tasks, 0.1
		return wire.MustMarshal(m)
	}
	for id, tasks := range map[string]int{"j-1": 300, "j-2": 64, "j-3": 1} {
		if r := n.Submit(body(id, tasks)); r.Status != 201 {
			t.Fatalf("%+v", r)
		}
	}
	stop := make(chan struct{})
	go b.work(n, stop)
	for _, id := range []string{"j-1", "j-2", "j-3"} {
		wait(t, id+" done", func() bool { return state(n, id) == wire.JobDone })
	}
	wait(t, "the old job withdrawn", func() bool { return n.Withdraw("j-9").Status == 200 })
	close(stop)
	kill()
	if b.store.Bad > 0 {
		t.Fatalf("%d requests were over the limits", b.store.Bad)
	}
}

// lines collects what is logged.
type lines struct {
	mu sync.Mutex
	bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Buffer.Write(p)
}

func (l *lines) count(s string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.String(), s)
}

// A value that the store does not take is logged with its key, holds up nothing
// else, and is not tried again and again.
func TestValueThatTheStoreDoesNotTakeIsPutAside(t *testing.T) {
	b := newBed(t)
	var log lines
	n, _ := b.nodeWith("n-0", func(n *Node) { n.Log = slog.New(slog.NewTextHandler(&log, nil)) })
	wait(t, "leading", func() bool { return n.leading() != nil })
	l := n.leading()
	b.store.Limit(fake.Limits{ValueBytes: 1 << 10}) // long before it was to be expected
	put := func(key string, bytes int) {
		l.post(func() {
			e := l.records.Entry(key)
			e.Build = func() (any, uint64) { return strings.Repeat("x", bytes), 0 }
			e.Touch(n.Now(), writer.Soon)
		})
	}
	put("job/j-1/end", 1<<11) // the limits as known allow it
	for i := range 6 {
		put(fmt.Sprint("hire/r-", i), 10)
	}
	for i := range 6 {
		wait(t, "the others written", func() bool {
			_, err := b.store.Get(context.Background(), store.Routine, fmt.Sprint("hire/r-", i))
			return err == nil
		})
	}
	wait(t, "logged with its key", func() bool { return log.count("job/j-1/end") > 0 })
	for range 20 {
		put("job/j-1/end", 1<<11)
	}
	put("hire/r-9", 10)
	wait(t, "written after it", func() bool {
		_, err := b.store.Get(context.Background(), store.Routine, "hire/r-9")
		return err == nil
	})
	if b.store.Bad > 4 {
		t.Fatalf("refused %d times", b.store.Bad)
	}
	put("job/j-2/end", 1<<20) // over what is known: never sent
	wait(t, "logged too", func() bool { return log.count("job/j-2/end") > 0 })
}

func TestGuardsOfOneQuestionFitTheSmallerLimit(t *testing.T) {
	b := newBed(t)
	n, _ := b.open("n-0", announced)
	b.store.Limit(next)
	var needs []string
	for i := range 50 {
		id := fmt.Sprint("j-", 100+i)
		needs = append(needs, id)
		if _, err := b.store.Commit(context.Background(), store.Urgent, wire.Txn{Then: []wire.Change{{Put: specKey(id), Value: wire.Job{ID: id, Tasks: 1}}}}); err != nil {
			t.Fatal(err)
		}
	}
	if r := n.Submit(pipe("j-1", needs...)); r.Status != 201 || b.store.Bad > 0 {
		t.Fatalf("%+v, %d requests over the limits", r, b.store.Bad)
	}
}

// Rentals name up to fifty machines.
func TestRecordsOfTheFleetFitTheSmallerLimit(t *testing.T) {
	b := newBed(t)
	n, _ := b.open("n-0", announced)
	l := newLead(n, n.leading().term)
	l.c.UseCompact(64)
	rec := rentalRecord{Rental: wire.Rental{Request: "r-1234567-1234", Type: "a-machine-type", Zone: "a-long-zones-name", Spot: true, Count: 50}, Answered: true, At: int64(micro.Wall())}
	for i := range 300 {
		m := l.c.Machine(fmt.Sprintf("i-%06d", i), 0)
		m.Type = &model.Type{MachineType: wire.MachineType{CacheGB: 100}}
		if len(rec.Machines) < 50 {
			rec.Machines = append(rec.Machines, m.Name)
		}
	}
	im := model.ImageRecord{Names: []string{"a", "b"}, GB: []float64{7, 8}, Machines: map[string][]int{}}
	for name := range l.c.Machines {
		im.Machines[name] = []int{0, 1}
	}
	l.c.RestoreImages(im, 0)
	images, _ := l.records.images.first.Build()
	returning := rec
	returning.Machines, returning.Returning = rec.Machines[:10], rec.Machines[10:]
	for _, v := range []any{rec, returning, images, FormatRecord{Version, 64}} {
		if size := wire.JSONSize(v); size > next.ValueBytes-valueMargin {
			t.Errorf("%T takes %d bytes", v, size)
		}
	}
	if got := images.(model.ImageRecord); len(got.Machines) < 20 {
		t.Errorf("images of %d machines are kept", len(got.Machines))
	}
}

// stuck is a store that answers one write only when it is let go.
type stuck struct {
	store.Store
	key string
	let chan struct{}
	out chan struct{}
}

func (s stuck) Commit(ctx context.Context, c store.Class, t wire.Txn) (uint64, error) {
	for _, ch := range t.Then {
		if ch.Put == s.key {
			select {
			case s.out <- struct{}{}:
				<-s.let
			default: // a later one
			}
		}
	}
	return s.Store.Commit(ctx, c, t)
}

// Every third answer of the store was lost, and each start waited for the time-out
// of a write that was none of its own.
func TestOneLateAnswerHoldsUpNoOtherKey(t *testing.T) {
	b := newBed(t)
	s := stuck{nil, "hire/r-0", make(chan struct{}), make(chan struct{}, 1)}
	n, _ := b.nodeWith("n-0", func(n *Node) { s.Store = n.Store; n.Store = s })
	wait(t, "leading", func() bool { return n.leading() != nil })
	l := n.leading()
	put := func(key, value string) {
		l.post(func() {
			e := l.records.Entry(key)
			e.Build = func() (any, uint64) { return value, 0 }
			e.Touch(n.Now(), writer.Soon)
		})
	}
	written := func(key, value string) func() bool {
		return func() bool {
			it, err := b.store.Get(context.Background(), store.Routine, key)
			var got string
			return err == nil && wire.Unmarshal(it.Value, &got) == nil && got == value
		}
	}
	put("hire/r-0", "old")
	wait(t, "on its way", func() bool { return len(s.out) == 1 })
	put("hire/r-1", "x")
	put("hire/r-0", "new")
	wait(t, "another key written meanwhile", written("hire/r-1", "x"))
	if written("hire/r-0", "new")() {
		t.Fatal("two writes of one key are on their way: either could come last")
	}
	close(s.let)
	wait(t, "the newer value written after it", written("hire/r-0", "new"))
}
