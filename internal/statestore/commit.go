package statestore

import (
	"context"
	"errors"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	commitTimeout     = 1200 * time.Millisecond
	verifyTimeout     = time.Second
	refusedBackoff    = 80 * micro.Millisecond  // after a refusal, before the next try
	uncertainBackoff  = 50 * micro.Millisecond  // after an uncertain write, before the next one
	unreadableBackoff = 100 * micro.Millisecond // after an uncertain key could not be read
)

// commit sends a transaction, and posts what came of it. It runs beside the loop.
func (w *Writer) commit(txn wire.Transaction, changes []batchChange) {
	sentAt := w.host.Now()
	if !w.host.HoldsLease() {
		w.host.Post(leaseLost{w, changes})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	revision, err := w.store.Commit(ctx, store.Urgent, txn)
	w.host.Post(transactionCompleted{w, txn, changes, sentAt, revision, err})
}

// handleCommitResult takes in the outcome of a transaction.
func (w *Writer) handleCommitResult(
	txn wire.Transaction, changes []batchChange, revision uint64, err error, now micro.Time,
) {
	switch {
	case err == nil:
		w.endInFlight(recordsOf(changes)...)
		w.countChanges(changes)
		for _, change := range changes {
			w.markStored(change, revision)
		}
	case errors.Is(err, store.ErrBudgetExhausted), errors.Is(err, store.ErrRateLimited), errors.Is(err, store.ErrRefused):
		w.requeue(changes, false)
		w.notBefore = now + refusedBackoff
	case errors.Is(err, store.ErrMalformed):
		// Not executed, and never will be as it is: one of its values, or their number, is
		// over a limit that was lowered.
		w.requeue(changes, false)
		if len(changes) > 1 {
			w.singleChangeBatches = len(changes)
		} else {
			w.reject(changes[0].record, now, "refused as malformed", transactionSize(txn))
		}
	default:
		// A conflict or no response: what the store holds must be read.
		w.log.Info("write not confirmed", "keys", len(changes), "err", err)
		w.requeue(changes, true)
		w.notBefore = now + uncertainBackoff
	}
}

// markStored takes in one change that is in the store.
func (w *Writer) markStored(change batchChange, revision uint64) {
	record := change.record
	record.uncertain, record.mayExecuteLate = false, false
	record.version = revision
	if change.deleted {
		record.version, record.deleteSent = 0, false
		if !record.dirty {
			w.Drop(record)
		}
	}
	record.OnCommitted(change.memoryVersion)
}

func recordsOf(changes []batchChange) []*Record {
	records := make([]*Record, len(changes))
	for i, change := range changes {
		records[i] = change.record
	}
	return records
}

// requeue has changes written again that were not, or of which that is not known; those keys
// are verified first.
func (w *Writer) requeue(changes []batchChange, needsVerify bool) {
	w.endInFlight(recordsOf(changes)...)
	now := w.host.Now()
	for _, change := range changes {
		record := change.record
		record.needsVerify = record.needsVerify || needsVerify
		record.uncertain = record.uncertain && (record.mayExecuteLate || needsVerify)
		record.mayExecuteLate = record.mayExecuteLate || needsVerify
		record.MarkDirty(now, PriorityHigh)
	}
}

func transactionSize(txn wire.Transaction) int {
	bytes := 0
	for _, change := range txn.Then {
		bytes += wire.JSONSize(change.Value)
	}
	return bytes
}

// reject puts off a change that the store does not accept: a retry at once would only use up
// the budget of all others.
func (w *Writer) reject(record *Record, now micro.Time, reason string, size int) {
	w.log.Error(
		"value rejected by the store", "key", record.Key, "reason", reason, "bytes", size, "limit", w.host.MaxValueBytes(),
	)
	priority := record.priority
	record.dirty, record.rejectedUntil = false, now+rejectedRetryDelay
	record.MarkDirty(now, priority)
}

func (w *Writer) retryRejected(now micro.Time) {
	var stillRejected []*Record
	for _, record := range w.rejected {
		if now < record.rejectedUntil {
			stillRejected = append(stillRejected, record)
			continue
		}
		record.rejectedUntil, record.dirty = 0, false
		record.MarkDirty(now, record.priority)
	}
	w.rejected = stillRejected
}

// verification is what a read of an uncertain key found.
type verification struct {
	record *Record
	item   wire.Item
	err    error
}

// verifyUncertain reads the versions of keys whose last write is uncertain, and posts them. It
// runs beside the loop.
func (w *Writer) verifyUncertain(records []*Record) {
	var results []verification
	for _, record := range records {
		ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
		item, err := w.store.Get(ctx, store.Urgent, record.Key)
		cancel()
		results = append(results, verification{record, item, err})
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			break
		}
	}
	w.host.Post(recordsVerified{w, records, results})
}

// handleVerification takes in what the store holds of an uncertain key.
func (w *Writer) handleVerification(result verification, now micro.Time) {
	record := result.record
	switch {
	case result.err == nil:
		record.needsVerify = false
		record.version = uint64(result.item.Version)
		record.uncertain, record.mayExecuteLate = false, false
		if record.ResolveUncertain != nil && record.ResolveUncertain(result.item) {
			record.dirty = false
		}
	case errors.Is(result.err, store.ErrNotFound):
		record.needsVerify = false
		record.version = 0
	default:
		w.notBefore = now + unreadableBackoff
	}
}
