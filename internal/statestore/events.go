package statestore

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// leaseLost reports that a transaction was not sent because the host's lease had expired.
type leaseLost struct {
	writer  *Writer
	changes []batchChange
}

// Apply queues the changes again.
func (e leaseLost) Apply() { e.writer.requeue(e.changes, false) }

// transactionCompleted reports the outcome of a transaction that was sent.
type transactionCompleted struct {
	writer   *Writer
	txn      wire.Transaction
	changes  []batchChange
	sentAt   micro.Time
	revision uint64
	err      error
}

// Apply applies the outcome to the records.
func (e transactionCompleted) Apply() {
	now := e.writer.host.Now()
	e.writer.host.ObserveCommit(now - e.sentAt)
	e.writer.handleCommitResult(e.txn, e.changes, e.revision, e.err, now)
}

// recordsVerified reports the results of reading keys whose last write was uncertain. The results
// end at the first key that could not be read.
type recordsVerified struct {
	writer  *Writer
	records []*Record
	results []verification
}

// Apply applies the results, and queues all records again that are still dirty.
func (e recordsVerified) Apply() {
	for _, result := range e.results {
		e.writer.handleVerification(result, e.writer.host.Now())
	}
	e.writer.endInFlight(e.records...)
}
