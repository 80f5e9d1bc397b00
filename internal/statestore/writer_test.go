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

// hostPrecondition is the precondition of testHost: the version of the leader's key.
var hostPrecondition = wire.Precondition{Key: "leader", Version: 7}

// testHost is a Host whose clock, lease and event loop are controlled by the test.
type testHost struct {
	now        micro.Time
	holdsLease bool
	posted     chan eventloop.Event
}

func (h *testHost) Now() micro.Time                    { return h.now }
func (h *testHost) HoldsLease() bool                   { return h.holdsLease }
func (h *testHost) Preconditions() []wire.Precondition { return []wire.Precondition{hostPrecondition} }
func (h *testHost) Post(event eventloop.Event)         { h.posted <- event }
func (h *testHost) MaxValueBytes() int                 { return 1000 }
func (h *testHost) MaxTransactionOps() int             { return 8 }
func (h *testHost) ObserveCommit(micro.Time)           {}

// testStore responds with the functions that the test sets, and records the requests.
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

// harness is a writer whose transactions are executed one at a time by calls of step.
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

// newRecord returns the record of a key with a value and a last known version.
func (h *harness) newRecord(key string, version uint64) *Record {
	record := h.Record(key)
	record.SetVersion(version)
	record.Build = func() (any, uint64) { return "value of " + key, 3 }
	return record
}

// step advances the clock by a second, flushes and applies the results. It reports whether a
// transaction or read was sent.
func (h *harness) step() bool {
	h.host.now += micro.Second
	inFlightBefore := h.inFlight
	h.Flush(h.host.now)
	started := h.inFlight > inFlightBefore
	for range h.inFlight - inFlightBefore {
		(<-h.host.posted).Apply()
	}
	return started
}

// Each transaction has the preconditions of the host and the last known version of each key, so that
// writes of a deposed leader and late copies of earlier writes have no effect.
func TestTransactionHasPreconditionsOfHostAndOfEachKey(t *testing.T) {
	h := newHarness()
	extra := wire.Precondition{Key: "share/gpus", Version: 9}
	for _, key := range []string{"run/j-1/0", "run/j-2/0"} {
		record := h.newRecord(key, 11)
		record.Preconditions = func() []wire.Precondition { return []wire.Precondition{extra} }
		record.MarkDirty(h.host.now, PriorityHigh)
	}
	h.step()
	want := []wire.Precondition{
		hostPrecondition, extra, {Key: "run/j-1/0", Version: 11}, {Key: "run/j-2/0", Version: 11},
	}
	if len(h.store.sent) != 1 || !slices.Equal(h.store.sent[0].If, want) {
		t.Fatalf("sent %+v, want one transaction with the preconditions %+v", h.store.sent, want)
	}
	h.newRecord("run/j-1/0", 20).MarkDirty(h.host.now, PriorityHigh)
	h.Record("run/j-2/0").MarkDirty(h.host.now, PriorityHigh)
	h.step()
	for _, precondition := range h.store.sent[1].If[2:] {
		if precondition.Version != 20 {
			t.Errorf("precondition after a write at revision 20: %+v", precondition)
		}
	}
}

// A process pause between assembling a transaction and sending it may last until the lease has
// expired. The host must not write then.
func TestNothingIsSentAfterLeaseExpired(t *testing.T) {
	h := newHarness()
	committed := false
	record := h.newRecord("run/j-1/0", 11)
	record.OnCommitted = func(uint64) { committed = true }
	record.MarkDirty(h.host.now, PriorityHigh)
	h.host.holdsLease = false
	h.step()
	if len(h.store.sent) > 0 || committed {
		t.Errorf("without a lease: sent %+v, committed %v", h.store.sent, committed)
	}
	h.host.holdsLease = true
	h.step()
	if len(h.store.sent) != 1 || !committed || record.Uncertain() {
		t.Errorf("lease regained: sent %+v, committed %v, uncertain %v", h.store.sent, committed, record.Uncertain())
	}
}

// After a write without a response, the key is read before the next write, whose precondition is the
// version that was read. OnCommitted is called only for a write that is known to be in the store.
func TestUncertainWriteIsVerifiedBeforeNextWrite(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome error
		reads   bool
	}{
		{"no response", store.ErrUncertain, true},
		{"precondition failed", store.ErrConflict, true},
		{"refused", store.ErrRefused, false},
		{"budget exhausted", store.ErrBudgetExhausted, false},
		{"rate limited", store.ErrRateLimited, false},
	} {
		t.Run(c.name, func(t *testing.T) { checkWriteAfterOutcome(t, c.outcome, c.reads) })
	}
}

// checkWriteAfterOutcome checks the write that follows a transaction with the given outcome: whether
// the key is read first, and which version the precondition of the write has.
func checkWriteAfterOutcome(t *testing.T, outcome error, reads bool) {
	t.Helper()
	h := newHarness()
	h.store.commit = func() (uint64, error) { return 0, outcome }
	h.store.get = func(string) (wire.Item, error) { return wire.Item{Version: 15}, nil }
	committed := 0
	record := h.newRecord("run/j-1/0", 11)
	record.OnCommitted = func(uint64) { committed++ }
	record.MarkDirty(h.host.now, PriorityHigh)
	h.step()
	if committed > 0 || !record.Dirty() || record.Settled() {
		t.Fatalf("first write: committed %d times, dirty %v, settled %v", committed, record.Dirty(), record.Settled())
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
	if len(h.store.sent) != 2 || h.store.sent[1].If[1].Version != version || committed != 1 || !record.Settled() {
		t.Errorf("sent %+v, committed %d times, settled %v", h.store.sent, committed, record.Settled())
	}
}

// An uncertain write that a read does not find may still be executed later. It stays uncertain until
// a write is known to be in the store, even if the next write is refused. A refusal alone does not
// make a write uncertain.
func TestWriteStaysUncertainIfReadFindsNoKey(t *testing.T) {
	h := newHarness()
	outcome := store.ErrUncertain
	h.store.commit = func() (uint64, error) { return 0, outcome }
	record := h.newRecord("job/j-1/end", 0)
	record.MarkDirty(h.host.now, PriorityUrgent)
	h.step()
	if !record.Uncertain() {
		t.Error("record is not uncertain after a write without a response")
	}
	h.step() // reads the key
	if !slices.Equal(h.store.reads, []string{"job/j-1/end"}) || !record.Uncertain() {
		t.Errorf("read %v, uncertain %v", h.store.reads, record.Uncertain())
	}
	outcome = store.ErrRefused
	h.step()
	if len(h.store.sent) != 2 || !record.Uncertain() {
		t.Errorf("sent %d transactions, uncertain %v after a refusal", len(h.store.sent), record.Uncertain())
	}
	h.store.commit = func() (uint64, error) { return 22, nil }
	h.step()
	if record.Uncertain() || record.Version() != 22 {
		t.Errorf("uncertain %v, version %d after a successful write", record.Uncertain(), record.Version())
	}
	other := h.newRecord("job/j-2/end", 0)
	other.MarkDirty(h.host.now, PriorityUrgent)
	h.store.commit = func() (uint64, error) { return 0, store.ErrRefused }
	h.step()
	if other.Uncertain() {
		t.Error("record is uncertain although the store refused its only write")
	}
}

// The value that is read after an uncertain write may resolve it, as for the final state of a job,
// where the first one stored takes precedence.
func TestStoredValueResolvesUncertainWrite(t *testing.T) {
	h := newHarness()
	h.store.commit = func() (uint64, error) { return 0, store.ErrUncertain }
	h.store.get = func(string) (wire.Item, error) { return wire.Item{Version: 15}, nil }
	record := h.newRecord("job/j-1/end", 0)
	resolved := 0
	record.ResolveUncertain = func(item wire.Item) bool { resolved++; return item.Version == 15 }
	record.MarkDirty(h.host.now, PriorityUrgent)
	h.step()
	h.step()
	if resolved != 1 || !record.Settled() {
		t.Fatalf("ResolveUncertain called %d times, settled %v", resolved, record.Settled())
	}
	if h.step() || len(h.store.sent) != 1 {
		t.Errorf("sent %d transactions, want only the first one", len(h.store.sent))
	}
}

// While a write of a key is in flight, no other write of it is sent. If they were executed in the
// wrong order, the older value would remain in the store.
func TestKeyIsInOneTransactionAtATime(t *testing.T) {
	h := newHarness()
	sent, release := make(chan bool, 2), make(chan bool)
	h.store.commit = func() (uint64, error) { sent <- true; <-release; return 20, nil }
	record := h.newRecord("run/j-1/0", 11)
	record.MarkDirty(h.host.now, PriorityHigh)
	h.Flush(h.host.now)
	<-sent
	record.MarkDirty(h.host.now, PriorityHigh)
	h.host.now += micro.Second // the response is late: another transaction may be sent concurrently
	h.Flush(h.host.now)
	if h.inFlight != 1 {
		t.Fatalf("%d transactions are in flight, want 1", h.inFlight)
	}
	if h.Settled() || record.Settled() {
		t.Error("settled although a write is in flight")
	}
	close(release)
	(<-h.host.posted).Apply()
	h.step()
	if len(h.store.sent) != 2 || h.store.sent[1].If[1].Version != 20 || !h.Settled() {
		t.Errorf("sent %+v, settled %v", h.store.sent, h.Settled())
	}
}

// If the store rejects a transaction as malformed, each of its changes is sent in a transaction of its
// own, so that the malformed change does not delay the others. The malformed one is retried later.
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
	malformed := h.newRecord("run/j-2/0", 11)
	valid := h.newRecord("run/j-3/0", 11)
	for _, record := range []*Record{h.newRecord("run/j-1/0", 11), malformed, valid} {
		record.MarkDirty(h.host.now, PriorityHigh)
	}
	for range 4 {
		h.step()
	}
	if len(h.store.sent) != 4 || !valid.Settled() || malformed.Settled() {
		t.Fatalf(
			"%d transactions sent, valid change settled %v, malformed change settled %v",
			len(h.store.sent),
			valid.Settled(),
			malformed.Settled(),
		)
	}
	if h.step() {
		t.Error("malformed change is retried without delay")
	}
	for range int(rejectedRetryDelay / micro.Second) {
		h.step()
	}
	if len(h.store.sent) != 5 {
		t.Errorf(
			"%d transactions sent: malformed change is not retried after %v",
			len(h.store.sent),
			rejectedRetryDelay.Duration(),
		)
	}
}

// A record whose Build returns NotReady is not written. One whose Build returns nil is deleted and
// dropped.
func TestRecordThatIsNotReadyWritesNothing(t *testing.T) {
	h := newHarness()
	record := h.newRecord("run/j-1/0", 11)
	record.Build = func() (any, uint64) { return NotReady, 0 }
	record.MarkDirty(h.host.now, PriorityHigh)
	h.step()
	if len(h.store.sent) > 0 || record.Dirty() {
		t.Errorf("sent %+v, dirty %v", h.store.sent, record.Dirty())
	}
	deleted := h.Record("run/j-2/0")
	deleted.Build = func() (any, uint64) { return nil, 0 }
	deleted.SetVersion(11)
	deleted.MarkDirty(h.host.now, PriorityHigh)
	h.step()
	if len(h.store.sent) != 1 || h.store.sent[0].Then[0].Delete != "run/j-2/0" || h.Lookup("run/j-2/0") != nil {
		t.Errorf("sent %+v, record not dropped: %v", h.store.sent, h.Lookup("run/j-2/0") != nil)
	}
}

// A transaction in flight may contain a record that was dropped meanwhile, so the writer is not
// settled before the response.
func TestNothingIsSettledWhileATransactionIsInFlight(t *testing.T) {
	h := newHarness()
	record := h.newRecord("run/j-1/0", 11)
	record.MarkDirty(h.host.now, PriorityHigh)
	h.Flush(h.host.now)
	h.Drop(record)
	if h.Settled() {
		t.Error("settled although a transaction is in flight")
	}
	(<-h.host.posted).Apply()
	if !h.Settled() {
		t.Error("not settled after the response")
	}
}

// Guards against a delete that was executed without a response and is never reported as committed, so
// that whatever depends on it waits forever. The delete must not be reported twice, nor for a key that
// never existed.
func TestFoundDeleteIsReportedOnce(t *testing.T) {
	for name, row := range map[string]struct {
		version uint64
		outcome error
		want    int
	}{
		"response received":        {11, nil, 1},
		"no response":              {11, store.ErrUncertain, 1},
		"deleted by another":       {11, store.ErrConflict, 1},
		"key never existed":        {0, store.ErrUncertain, 0},
		"refused, key still there": {11, store.ErrRefused, 0},
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

// Guards against reporting a delete as committed twice if the record is marked dirty again while the
// delete is in flight.
func TestDeleteMarkedDirtyInFlightIsReportedOnce(t *testing.T) {
	for name, outcome := range map[string]error{"response received": nil, "no response": store.ErrUncertain} {
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
				t.Errorf("committed %d times, want 1", committed)
			}
		})
	}
}
