package statestore

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// leaseLost says that a transaction was not sent: the host's lease had ended.
type leaseLost struct {
	writer  *Writer
	changes []batchChange
}

// Apply puts the changes back in line.
func (e leaseLost) Apply() { e.writer.requeue(e.changes, false) }

// transactionCompleted is what came of a transaction.
type transactionCompleted struct {
	writer   *Writer
	txn      wire.Transaction
	changes  []batchChange
	sentAt   micro.Time
	revision uint64
	err      error
}

// Apply takes in the outcome.
func (e transactionCompleted) Apply() {
	now := e.writer.host.Now()
	e.writer.host.ObserveCommit(now - e.sentAt)
	e.writer.handleCommitResult(e.txn, e.changes, e.revision, e.err, now)
}

// recordsVerified is what the store holds of keys whose last write was uncertain. The
// results end at the first key that could not be read.
type recordsVerified struct {
	writer  *Writer
	records []*Record
	results []verification
}

// Apply takes in the results, and gives all records their place in line back.
func (e recordsVerified) Apply() {
	for _, result := range e.results {
		e.writer.handleVerification(result, e.writer.host.Now())
	}
	e.writer.endInFlight(e.records...)
}
