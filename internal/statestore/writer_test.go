package statestore

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// hostPrecondition is a condition of the test's host: the version of the leader's key.
var hostPrecondition = wire.Precondition{Key: "leader", Version: 7}

// testHost is a host whose clock, right and loop the test holds.
type testHost struct {
	now    micro.Time
	holdsLease  bool
	posted chan eventloop.Event
}

func (h *testHost) Now() micro.Time                    { return h.now }
func (h *testHost) HoldsLease() bool                   { return h.holdsLease }
func (h *testHost) Preconditions() []wire.Precondition { return []wire.Precondition{hostPrecondition} }
func (h *testHost) Post(event eventloop.Event)         { h.posted <- event }
func (h *testHost) MaxValueBytes() int                 { return 1000 }
func (h *testHost) MaxTransactionOps() int             { return 8 }
func (h *testHost) ObserveCommit(micro.Time)           {}

// testStore answers as the test says, and notes what it was sent.
type testStore struct {
	store.Store
	sent   []wire.Transaction
	reads  []string
	commit func() (uint64, error)
	get    func(key string) (wire.Item, error)
}

func (s *testStore) AvailableWrites(store.Class) int { return 8 }

func (s *testStore) Commit(_ context.Context, _ store.Class, txn wire.Transaction) (uint64, error) {
	s.sent = append(s.sent, txn)
	return s.commit()
}

func (s *testStore) Get(_ context.Context, _ store.Class, key string) (wire.Item, error) {
	s.reads = append(s.reads, key)
	return s.get(key)
}

// harness is a writer whose transactions are carried out one after the other, as the
// test calls for.
type harness struct {
	*Writer
	host  *testHost
	store *testStore
}

func newHarness() *harness {
	h := &harness{
		host:  &testHost{now: micro.Minute, holdsLease: true, posted: make(chan eventloop.Event, 16)},
		store: &testStore{},
	}
	h.store.commit = func() (uint64, error) { return 20, nil }
	h.store.get = func(string) (wire.Item, error) { return wire.Item{}, store.ErrNotFound }
	h.Writer = New(h.host, h.store, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return h
}

// newRecord makes an newRecord with a value, at a version.
func (h *harness) newRecord(key string, version uint64) *Record {
	record := h.Record(key)
	record.SetVersion(version)
	record.Build = func() (any, uint64) { return "value of " + key, 3 }
	return record
}

// step lets a second pass, and the transaction that is due then go out and be answered;
// it reports whether there was one.
func (h *harness) step() bool {
	h.host.now += micro.Second
	flights := h.inFlight
	h.Flush(h.host.now)
	started := h.inFlight > flights
	for range h.inFlight - flights {
		(<-h.host.posted).Apply()
	}
	return started
}

// Each transaction carries the conditions of the host and the version last known of each
// key: a deposed leader, and a late copy of an earlier write, change nothing.
func TestTransactionHasPreconditionsOfHostAndOfEachKey(t *testing.T) {
	h := newHarness()
	further := wire.Precondition{Key: "share/gpus", Version: 9}
	for _, key := range []string{"run/j-1/0", "run/j-2/0"} {
		record := h.newRecord(key, 11)
		record.Preconditions = func() []wire.Precondition { return []wire.Precondition{further} }
		record.MarkDirty(h.host.now, PriorityHigh)
	}
	h.step()
	want := []wire.Precondition{hostPrecondition, further, {Key: "run/j-1/0", Version: 11}, {Key: "run/j-2/0", Version: 11}}
	if len(h.store.sent) != 1 || !slices.Equal(h.store.sent[0].If, want) {
		t.Fatalf("sent %+v, want the conditions %+v", h.store.sent, want)
	}
	h.newRecord("run/j-1/0", 20).MarkDirty(h.host.now, PriorityHigh)
	h.Record("run/j-2/0").MarkDirty(h.host.now, PriorityHigh)
	h.step()
	for _, g := range h.store.sent[1].If[2:] {
		if g.Version != 20 {
			t.Errorf("after a write at revision 20: %+v", g)
		}
	}
}

// A process that stood still between gathering a transaction and sending it may have lost
// the right to write.
func TestNothingIsSentAfterLeaseExpired(t *testing.T) {
	h := newHarness()
	saved := false
	record := h.newRecord("run/j-1/0", 11)
	record.OnCommitted = func(uint64) { saved = true }
	record.MarkDirty(h.host.now, PriorityHigh)
	h.host.holdsLease = false
	h.step()
	if len(h.store.sent) > 0 || saved {
		t.Errorf("sent %+v, saved %v", h.store.sent, saved)
	}
	h.host.holdsLease = true
	h.step()
	if len(h.store.sent) != 1 || !saved || record.Uncertain() {
		t.Errorf("with the right back: sent %+v, saved %v, in doubt %v", h.store.sent, saved, record.Uncertain())
	}
}

// After a write without an answer the key is read before the next one, which carries the
// version that was found; Saved is told only of a write that is known to be in the store.
func TestUncertainWriteIsVerifiedBeforeNextWrite(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome error
		reads   bool
	}{
		{"no answer", store.ErrUncertain, true},
		{"a condition failed", store.ErrConflict, true},
		{"refused", store.ErrRefused, false},
		{"over the budget", store.ErrBudgetExhausted, false},
		{"over the limit", store.ErrRateLimited, false},
	} {
		t.Run(c.name, func(t *testing.T) { checkWriteAfterOutcome(t, c.outcome, c.reads) })
	}
}

// checkWriteAfterOutcome checks the write that follows one of the given outcome: whether the
// key is read first, and the version that the write carries.
func checkWriteAfterOutcome(t *testing.T, outcome error, reads bool) {
	t.Helper()
	h := newHarness()
	h.store.commit = func() (uint64, error) { return 0, outcome }
	h.store.get = func(string) (wire.Item, error) { return wire.Item{Version: 15}, nil }
	saved := 0
	record := h.newRecord("run/j-1/0", 11)
	record.OnCommitted = func(uint64) { saved++ }
	record.MarkDirty(h.host.now, PriorityHigh)
	h.step()
	if saved > 0 || !record.Dirty() || record.Settled() {
		t.Fatalf("saved %d times, dirty %v, settled %v", saved, record.Dirty(), record.Settled())
	}
	h.store.commit = func() (uint64, error) { return 21, nil }
	h.step()
	if read := len(h.store.reads) > 0; read != reads || read && len(h.store.sent) != 1 {
		t.Fatalf("read %v, sent %d transactions", h.store.reads, len(h.store.sent))
	}
	version := wire.Count(11)
	if reads {
		h.step()
		version = 15
	}
	if len(h.store.sent) != 2 || h.store.sent[1].If[1].Version != version || saved != 1 || !record.Settled() {
		t.Errorf("sent %+v, saved %d times, settled %v", h.store.sent, saved, record.Settled())
	}
}

// That an uncertain write is not there when it is looked for says nothing of later: it
// stays in doubt until a write is known to be in the store, also when the next try is
// refused. A refusal alone leaves no doubt.
func TestWriteStaysUncertainIfReadFindsNoKey(t *testing.T) {
	h := newHarness()
	outcome := store.ErrUncertain
	h.store.commit = func() (uint64, error) { return 0, outcome }
	record := h.newRecord("job/j-1/end", 0)
	record.MarkDirty(h.host.now, PriorityUrgent)
	h.step()
	if !record.Uncertain() {
		t.Error("no doubt after a write without an answer")
	}
	h.step() // the look
	if !slices.Equal(h.store.reads, []string{"job/j-1/end"}) || !record.Uncertain() {
		t.Errorf("read %v, in doubt %v", h.store.reads, record.Uncertain())
	}
	outcome = store.ErrRefused
	h.step()
	if len(h.store.sent) != 2 || !record.Uncertain() {
		t.Errorf("sent %d, in doubt %v after the next try was refused", len(h.store.sent), record.Uncertain())
	}
	h.store.commit = func() (uint64, error) { return 22, nil }
	h.step()
	if record.Uncertain() || record.Version() != 22 {
		t.Errorf("in doubt %v, version %d once it is written", record.Uncertain(), record.Version())
	}
	other := h.newRecord("job/j-2/end", 0)
	other.MarkDirty(h.host.now, PriorityUrgent)
	h.store.commit = func() (uint64, error) { return 0, store.ErrRefused }
	h.step()
	if other.Uncertain() {
		t.Error("a refused write was not carried out, and is in doubt")
	}
}

// What the store holds after an uncertain write may settle it: the first end wins.
func TestStoredValueResolvesUncertainWrite(t *testing.T) {
	h := newHarness()
	h.store.commit = func() (uint64, error) { return 0, store.ErrUncertain }
	h.store.get = func(string) (wire.Item, error) { return wire.Item{Version: 15}, nil }
	record := h.newRecord("job/j-1/end", 0)
	found := 0
	record.ResolveUncertain = func(item wire.Item) bool { found++; return item.Version == 15 }
	record.MarkDirty(h.host.now, PriorityUrgent)
	h.step()
	h.step()
	if found != 1 || !record.Settled() {
		t.Fatalf("found %d times, settled %v", found, record.Settled())
	}
	if h.step() || len(h.store.sent) != 1 {
		t.Errorf("sent %d transactions", len(h.store.sent))
	}
}

// While a write of a key is under way, no other one of it goes out: carried out in the
// wrong order, the older one would stay.
func TestKeyIsInOneTransactionAtATime(t *testing.T) {
	h := newHarness()
	sent, release := make(chan bool, 2), make(chan bool)
	h.store.commit = func() (uint64, error) { sent <- true; <-release; return 20, nil }
	record := h.newRecord("run/j-1/0", 11)
	record.MarkDirty(h.host.now, PriorityHigh)
	h.Flush(h.host.now)
	<-sent
	record.MarkDirty(h.host.now, PriorityHigh)
	h.host.now += micro.Second // the answer is late: more may go out beside it
	h.Flush(h.host.now)
	if h.inFlight != 1 {
		t.Fatalf("%d transactions are under way", h.inFlight)
	}
	if h.Settled() || record.Settled() {
		t.Error("settled, though a write is under way")
	}
	close(release)
	(<-h.host.posted).Apply()
	h.step()
	if len(h.store.sent) != 2 || h.store.sent[1].If[1].Version != 20 || !h.Settled() {
		t.Errorf("sent %+v, settled %v", h.store.sent, h.Settled())
	}
}

// Of a transaction that the store calls malformed, each change is sent alone, so that the
// one at fault holds up no other; that one is put off.
func TestMalformedChangeDoesNotDelayOthers(t *testing.T) {
	h := newHarness()
	h.store.commit = func() (uint64, error) {
		for _, change := range h.store.sent[len(h.store.sent)-1].Then {
			if change.Put == "run/j-2/0" {
				return 0, store.ErrMalformed
			}
		}
		return 20, nil
	}
	bad := h.newRecord("run/j-2/0", 11)
	good := h.newRecord("run/j-3/0", 11)
	for _, record := range []*Record{h.newRecord("run/j-1/0", 11), bad, good} {
		record.MarkDirty(h.host.now, PriorityHigh)
	}
	for range 4 {
		h.step()
	}
	if len(h.store.sent) != 4 || !good.Settled() || bad.Settled() {
		t.Fatalf(
			"%d transactions, the good change settled %v, the bad one %v",
			len(h.store.sent),
			good.Settled(),
			bad.Settled(),
		)
	}
	if h.step() {
		t.Error("the change at fault is tried again at once")
	}
	for range int(rejectedRetryDelay / micro.Second) {
		h.step()
	}
	if len(h.store.sent) != 5 {
		t.Errorf(
			"%d transactions: the change at fault is tried again after %v",
			len(h.store.sent),
			rejectedRetryDelay.Duration(),
		)
	}
}

// An entry that has nothing to write yet writes nothing.
func TestRecordThatIsNotReadyWritesNothing(t *testing.T) {
	h := newHarness()
	record := h.newRecord("run/j-1/0", 11)
	record.Build = func() (any, uint64) { return NotReady, 0 }
	record.MarkDirty(h.host.now, PriorityHigh)
	h.step()
	if len(h.store.sent) > 0 || record.Dirty() {
		t.Errorf("sent %+v, dirty %v", h.store.sent, record.Dirty())
	}
	gone := h.Record("run/j-2/0")
	gone.Build = func() (any, uint64) { return nil, 0 }
	gone.SetVersion(11)
	gone.MarkDirty(h.host.now, PriorityHigh)
	h.step()
	if len(h.store.sent) != 1 || h.store.sent[0].Then[0].Delete != "run/j-2/0" || h.Lookup("run/j-2/0") != nil {
		t.Errorf("sent %+v, still known: %v", h.store.sent, h.Lookup("run/j-2/0") != nil)
	}
}

// A transaction that is under way may concern an entry that was dropped meanwhile.
func TestNothingIsSettledWhileATransactionIsInFlight(t *testing.T) {
	h := newHarness()
	record := h.newRecord("run/j-1/0", 11)
	record.MarkDirty(h.host.now, PriorityHigh)
	h.Flush(h.host.now)
	h.Drop(record)
	if h.Settled() {
		t.Error("settled, though a transaction is under way")
	}
	(<-h.host.posted).Apply()
	if !h.Settled() {
		t.Error("not settled once it is answered")
	}
}

// A delete that was carried out without an answer is never taken for done: what waits for it waits
// for good. Nor is it done twice, or where the key never existed.
func TestFoundDeleteIsReportedOnce(t *testing.T) {
	for name, row := range map[string]struct {
		version uint64
		outcome error
		want    int
	}{
		"answered":                 {11, nil, 1},
		"no answer":                {11, store.ErrUncertain, 1},
		"somebody else's":          {11, store.ErrConflict, 1},
		"the key never existed":    {0, store.ErrUncertain, 0},
		"refused, and still there": {11, store.ErrRefused, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.store.commit = func() (uint64, error) { return 20, row.outcome }
			committed := 0
			record := h.Record("assign/east/j-1")
			record.SetVersion(row.version)
			record.Build = func() (any, uint64) { return nil, 0 }
			record.OnCommitted = func(uint64) { committed++ }
			record.MarkDirty(h.host.now, PriorityHigh)
			for range 5 {
				h.step()
			}
			if committed != row.want {
				t.Fatalf("committed %d times, want %d", committed, row.want)
			}
		})
	}
}

// A delete that is marked to be written once more while it is in flight is taken for done twice.
func TestDeleteMarkedDirtyInFlightIsReportedOnce(t *testing.T) {
	for name, outcome := range map[string]error{"answered": nil, "no answer": store.ErrUncertain} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			committed := 0
			record := h.Record("assign/east/j-1")
			record.SetVersion(11)
			record.Build = func() (any, uint64) { return nil, 0 }
			record.OnCommitted = func(uint64) { committed++ }
			h.store.commit = func() (uint64, error) { return 20, outcome }
			record.MarkDirty(h.host.now, PriorityHigh)
			h.Flush(h.host.now)
			record.MarkDirty(h.host.now, PriorityHigh)
			(<-h.host.posted).Apply()
			for range 5 {
				h.step()
			}
			if committed != 1 {
				t.Errorf("committed %d times", committed)
			}
		})
	}
}
