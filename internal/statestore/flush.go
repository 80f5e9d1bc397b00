package statestore

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// backgroundThreshold is the number of queued low-priority changes from which on no
	// background changes are written.
	backgroundThreshold = 50
	// maxTransactionBytes is the maximum size of a transaction, below the store's limit.
	maxTransactionBytes = 60 << 10
	// transactionOverhead is the size of a transaction without its changes, in bytes.
	transactionOverhead = 1024
	// maxVerifyBatch is the maximum number of uncertain keys that are read in one batch.
	maxVerifyBatch = 8
	// lowPriorityInterval is the minimum time from a transaction to the next one if only changes
	// of PriorityLow and PriorityBackground are queued.
	lowPriorityInterval = 200 * micro.Millisecond
	// budgetBackoff is the delay before the next attempt if no transaction could be assembled
	// although urgent changes were queued, as when the request budget is exhausted.
	budgetBackoff = 50 * micro.Millisecond
)

// Another transaction is sent concurrently, up to maxInFlight, if there has been no response within
// slowResponse. With one transaction at a time and every third response lost, task starts waited for
// one timeout after another.
const (
	maxInFlight  = 6
	slowResponse = 80 * micro.Millisecond
)

// batchChange is one change in a transaction.
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
	foundDeleted     []batchChange // deletes found to be executed whose response was lost
	size             int
	preconditions    map[wire.Precondition]bool // preconditions of records that are already in txn
	maxPreconditions int
}

// Flush starts a transaction, and a read of uncertain keys, if they are due.
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
		change.record.OnCommitted(change.memoryVersion) // may mark records: not allowed while iterating queues
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

// assembleBatch assembles a transaction of the changes that are due, highest priority first.
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
	// Low-priority changes leave much of the budget to more important changes that may follow.
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

// endInFlight marks the records of a transaction or read as no longer in flight. Records that became
// dirty meanwhile were skipped in their queue, and are queued again.
func (w *Writer) endInFlight(records ...*Record) {
	w.inFlight--
	for _, record := range records {
		record.inFlight = false
		if record.dirty && record.rejectedUntil == 0 {
			w.queues[record.priority] = append(w.queues[record.priority], record)
		}
	}
}

// fillFromQueue moves due changes from a queue into the transaction, as far as it has capacity. Only
// changes that became dirty at or before dueBefore are due. Uncertain records are added to the
// records to verify instead.
func (w *Writer) fillFromQueue(b *batch, priority Priority, maxChanges int, dueBefore micro.Time) {
	queue := w.queues[priority]
	taken := 0
	for ; taken < len(queue); taken++ {
		record := queue[taken]
		if !record.dirty || record.priority != priority || record.rejectedUntil > 0 || record.inFlight {
			// Written meanwhile, queued at another priority, rejected by the store, or in
			// flight; in the latter case endInFlight queues it again.
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
	// Uncertain records are queued again after verifyUncertain.
	if taken == len(queue) {
		w.queues[priority] = queue[:0]
	} else {
		w.queues[priority] = queue[taken:]
	}
}

// addChange adds the change of a record, if there is any to write, to the transaction. It returns
// false if the transaction has no capacity for it.
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

// missingPreconditions returns the preconditions of a record that are not in the transaction yet.
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
