package statestore

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// backgroundThreshold is how few changes of low priority may wait for those of the
	// background to be written.
	backgroundThreshold = 50
	// maxTransactionBytes keeps a transaction under the store's limit for one.
	maxTransactionBytes = 60 << 10
	// transactionOverhead is what a transaction takes beside its changes, in bytes.
	transactionOverhead = 1024
	// maxVerifyBatch is how many uncertain keys are read together.
	maxVerifyBatch = 8
	// lowPriorityInterval is how often transactions of low priorities alone begin.
	lowPriorityInterval = 200 * micro.Millisecond
	// budgetBackoff is how long the writer waits for its budget.
	budgetBackoff = 50 * micro.Millisecond
)

// While a response is late by slowResponse, another transaction goes out beside it: with
// every third response lost, starts once waited for one timeout after the other.
const (
	maxInFlight  = 6
	slowResponse = 80 * micro.Millisecond
)

// batchChange is a change in a transaction.
type batchChange struct {
	record        *Record
	memoryVersion uint64
	deleted       bool
}

// batch is a transaction that is being assembled.
type batch struct {
	txn              wire.Transaction
	changes          []batchChange
	toVerify         []*Record
	foundDeleted     []batchChange // deletes that were carried out without an answer
	size             int
	preconditions    map[wire.Precondition]bool // records' own preconditions that are in it already
	maxPreconditions int
}

// Flush starts a transaction if one is due.
func (w *Writer) Flush(now micro.Time) {
	if now < w.notBefore || w.inFlight >= maxInFlight || w.inFlight > 0 && now-w.lastSent < slowResponse {
		return
	}
	urgentWaiting := len(w.queues[PriorityUrgent])+len(w.queues[PriorityHigh])+len(w.rejected) > 0
	if !urgentWaiting &&
		(len(w.queues[PriorityLow])+len(w.queues[PriorityBackground]) == 0 || now < w.lowPriorityNotBefore) {
		return
	}
	if len(w.rejected) > 0 {
		w.retryRejected(now)
	}
	b := w.assembleBatch(now)
	for _, change := range b.foundDeleted {
		change.record.OnCommitted(change.memoryVersion) // may mark records: not while queues are gone through
	}
	w.lowPriorityNotBefore = now + lowPriorityInterval
	if len(b.toVerify) > 0 {
		w.beginInFlight(b.toVerify, now)
		go w.verifyUncertain(b.toVerify)
	}
	if len(b.changes) > 0 {
		for _, change := range b.changes {
			change.record.uncertain = true
		}
		w.beginInFlight(recordsOf(b.changes), now)
		go w.commit(b.txn, b.changes)
	} else if len(b.toVerify) == 0 && urgentWaiting {
		w.notBefore = now + budgetBackoff
	}
}

// assembleBatch makes a transaction of what is due, the highest priority first.
func (w *Writer) assembleBatch(now micro.Time) *batch {
	maxChanges := w.host.MaxTransactionOps()
	b := &batch{
		txn: wire.Transaction{If: w.host.Preconditions()}, size: transactionOverhead,
		preconditions: map[wire.Precondition]bool{}, maxPreconditions: PreconditionsPerChange * maxChanges,
	}
	if w.singleChangeBatches > 0 {
		w.singleChangeBatches--
		maxChanges = 1
	}
	w.fillFromQueue(b, PriorityUrgent, min(maxChanges, w.store.AvailableWrites(store.Urgent)), now)
	w.fillFromQueue(b, PriorityHigh, min(maxChanges, w.store.AvailableWrites(store.Routine)), now)
	// Low priorities leave most of the budget to what comes next.
	w.fillFromQueue(b, PriorityLow, min(maxChanges, w.store.AvailableWrites(store.Deferrable)), now-coalesceWindow)
	if len(w.queues[PriorityLow]) < backgroundThreshold {
		w.fillFromQueue(b, PriorityBackground, min(maxChanges, w.store.AvailableWrites(store.Deferrable)), now)
	}
	return b
}

func (w *Writer) beginInFlight(records []*Record, now micro.Time) {
	w.inFlight++
	w.lastSent = now
	for _, record := range records {
		record.inFlight = true
	}
}

// endInFlight takes in that records are no longer in flight. Those that changed meanwhile lost
// their place in their queue, and are queued again.
func (w *Writer) endInFlight(records ...*Record) {
	w.inFlight--
	for _, record := range records {
		record.inFlight = false
		if record.dirty && record.rejectedUntil == 0 {
			w.queues[record.priority] = append(w.queues[record.priority], record)
		}
	}
}

// fillFromQueue takes what is due from a queue, as far as the transaction has room for it.
func (w *Writer) fillFromQueue(b *batch, priority Priority, maxChanges int, dueBefore micro.Time) {
	queue := w.queues[priority]
	taken := 0
	for ; taken < len(queue); taken++ {
		record := queue[taken]
		if !record.dirty || record.priority != priority || record.rejectedUntil > 0 || record.inFlight {
			// Written meanwhile, due in another queue, rejected by the store, or queued again
			// once it is no longer in flight.
			continue
		}
		if record.needsVerify {
			if len(b.toVerify) == maxVerifyBatch {
				break
			}
			b.toVerify = append(b.toVerify, record)
			continue
		}
		if len(b.changes) >= maxChanges || record.dirtySince > dueBefore || !w.addChange(b, record) {
			break
		}
	}
	// What was skipped as uncertain is queued again after verifyUncertain.
	if taken == len(queue) {
		w.queues[priority] = queue[:0]
	} else {
		w.queues[priority] = queue[taken:]
	}
}

// addChange takes a record's change into the transaction, if it has one to make; false if
// there is no room for it.
func (w *Writer) addChange(b *batch, record *Record) bool {
	value, memoryVersion := record.Build()
	if value == any(NotReady) {
		record.dirty = false
		return true
	}
	if value == nil && record.version == 0 {
		record.dirty = false
		w.Drop(record)
		if record.deleteSent {
			record.deleteSent = false
			b.foundDeleted = append(b.foundDeleted, batchChange{record, memoryVersion, true})
		}
		return true
	}
	size := changeOverhead
	if value != nil {
		valueBytes := wire.JSONSize(value)
		if valueBytes > w.host.MaxValueBytes() {
			w.reject(record, w.host.Now(), "too large", valueBytes)
			return true
		}
		size += valueBytes
	}
	preconditions := b.missingPreconditions(record)
	if b.size+size > maxTransactionBytes || len(b.txn.If)+len(preconditions)+1 > b.maxPreconditions {
		return false
	}
	b.size += size
	change := wire.Change{Put: record.Key, Value: value}
	if value == nil {
		change = wire.Change{Delete: record.Key}
	}
	for _, precondition := range preconditions {
		b.preconditions[precondition] = true
	}
	b.txn.If = append(
		append(b.txn.If, preconditions...), wire.Precondition{Key: record.Key, Version: wire.Count(record.version)},
	)
	b.txn.Then = append(b.txn.Then, change)
	b.changes = append(b.changes, batchChange{record, memoryVersion, value == nil})
	record.dirty, record.deleteSent = false, value == nil
	return true
}

// missingPreconditions lists the record's own preconditions that the transaction lacks.
func (b *batch) missingPreconditions(record *Record) []wire.Precondition {
	if record.Preconditions == nil {
		return nil
	}
	var missing []wire.Precondition
	for _, precondition := range record.Preconditions() {
		if !b.preconditions[precondition] {
			missing = append(missing, precondition)
		}
	}
	return missing
}
