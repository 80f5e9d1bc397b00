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
	refusedBackoff    = 80 * micro.Millisecond  // after a refusal, before the next transaction
	uncertainBackoff  = 50 * micro.Millisecond  // after an uncertain write, before the next transaction
	unreadableBackoff = 100 * micro.Millisecond // after a failed read of an uncertain key
)

// commit sends a transaction and posts its outcome to the loop. It runs on its own goroutine.
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

// handleCommitResult applies the outcome of a transaction to the records in it.
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
		// Not executed, and a retry of the same transaction would fail too: one of its values,
		// or the number of its changes, exceeds a limit that was lowered. Each change is sent
		// in a transaction of its own to find the one that the store rejects.
		w.requeue(changes, false)
		if len(changes) > 1 {
			w.singleChangeBatches = len(changes)
		} else {
			w.reject(changes[0].record, now, "request malformed", transactionSize(txn))
		}
	default:
		// A conflict or no response: the keys must be read before they are written again.
		w.log.Info("transaction not confirmed; its keys will be read", "keys", len(changes), "err", err)
		w.requeue(changes, true)
		w.notBefore = now + uncertainBackoff
	}
}

// markStored records that a change is in the store.
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

// requeue marks the changes of a transaction to be written again. If needsVerify is set, the
// transaction may have been executed, and the keys are read before they are written.
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

// reject delays the retry of a change that the store does not accept. An immediate retry would only
// use up the budget of all other changes.
func (w *Writer) reject(record *Record, now micro.Time, reason string, size int) {
	w.log.Error(
		"value rejected by store", "key", record.Key, "reason", reason, "bytes", size, "limit", w.host.MaxValueBytes(),
	)
	priority := record.priority
	record.dirty, record.rejectedUntil = false, now+rejectedRetryDelay
	record.MarkDirty(now, priority)
}

// retryRejected queues the rejected changes again whose retry delay has passed.
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

// verification is the result of reading an uncertain key.
type verification struct {
	record *Record
	item   wire.Item
	err    error
}

// verifyUncertain reads keys whose last write is uncertain and posts the results to the loop. It
// stops at the first key that cannot be read. It runs on its own goroutine.
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

// handleVerification applies the result of reading an uncertain key to its record. A key that is not
// found stays uncertain because the write may still be executed late.
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
