package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// valueMargin is kept of the limit on a value.
const valueMargin = 32

// recordStore are the keys that the leader keeps in the store, by what they are for.
type recordStore struct {
	*statestore.Writer
	leader           *Leader
	chunks           map[*cluster.TaskChunk]*statestore.Record
	legacyRecords    map[*cluster.LegacyRecord]*statestore.Record
	speeds           *statestore.Record
	firstProvisioned *statestore.Record
	format           *statestore.Record
	images           *imageWriter
}

type firstProvisionedRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

func newRecordStore(l *Leader) *recordStore {
	records := &recordStore{
		Writer: statestore.New(l, l.node.Store, l.log), leader: l, chunks: map[*cluster.TaskChunk]*statestore.Record{},
		legacyRecords: map[*cluster.LegacyRecord]*statestore.Record{},
	}
	records.speeds = records.Record(keys.Speeds)
	records.speeds.Build = func() (any, uint64) { return l.speeds.Record(), 0 }
	records.firstProvisioned = records.Record(keys.FirstProvisioned)
	records.firstProvisioned.Build = func() (any, uint64) { return firstProvisionedRecord{l.firstProvisioned}, 0 }
	records.images = newImageWriter(records)
	records.format = records.Record(keys.Format)
	records.format.Build = func() (any, uint64) {
		_, safe := l.node.Cfg.MaxValueBytes()
		return FormatRecord{Version: FormatVersion, TasksPerChunk: cluster.TasksPerCompactChunk(safe - valueMargin)}, 0
	}
	records.format.OnCommitted = func(uint64) {
		l.formatRaised()
		l.log.Info("format raised", "version", l.format.Version, "tasks", l.format.TasksPerChunk)
	}
	records.format.ResolveUncertain = func(item wire.Item) bool {
		if l.restoreFormat(item) {
			l.formatRaised()
			return true
		}
		return false
	}
	return records
}

// Now is this node's steady clock.
func (l *Leader) Now() micro.Time { return l.node.Now() }

// HoldsLease reports whether the right to act holds.
func (l *Leader) HoldsLease() bool { return l.holdsLease() }

// Preconditions are the conditions of every transaction of the term.
func (l *Leader) Preconditions() []wire.Precondition {
	if l.owner != nil {
		return l.owner.Preconditions()
	}
	return []wire.Precondition{l.term.Precondition()}
}

// Post hands the loop an event.
func (l *Leader) Post(event eventloop.Event) { l.loop.Post(event) }

// MaxValueBytes is what a value may take. Once the later forms are in use, the next
// limits may come at any time.
func (l *Leader) MaxValueBytes() int {
	now, safe := l.node.Cfg.MaxValueBytes()
	if l.cluster.CompactRecords {
		return safe - valueMargin
	}
	return now - valueMargin
}

// MaxTransactionOps is how many changes a transaction may have.
func (l *Leader) MaxTransactionOps() int { return l.node.Cfg.MaxTxnOps() }

// ObserveCommit notes how long a transaction took.
func (l *Leader) ObserveCommit(took micro.Time) { l.node.Metrics.Observe("commit", took) }

// chunkKey is the key of a chunk's record.
func (l *Leader) chunkKey(ch *cluster.TaskChunk) string {
	id := ch.Job.Spec.ID
	switch {
	case l.owner != nil:
		return shard.AllocationKey(l.owner.name, id, ch.Index)
	case l.cluster.CompactRecords:
		return keys.CompactChunk(id, ch.Index)
	}
	return keys.LegacyChunk(id, ch.Index)
}

// chunkRecord finds or makes the entry of a chunk's record.
func (w *recordStore) chunkRecord(chunk *cluster.TaskChunk) *statestore.Record {
	record := w.chunks[chunk]
	if record == nil {
		key := w.leader.chunkKey(chunk)
		compact := w.leader.cluster.CompactRecords
		record = w.Record(key)
		record.SetVersion(chunk.KeyRevision)
		record.Build = func() (any, uint64) {
			if chunk.Job.IsTerminal() && len(chunk.Allocations) == 0 {
				return nil, chunk.MemoryVersion // its end says all there is to know
			}
			value := chunk.Record()
			if compact {
				return value.Compact(), chunk.MemoryVersion
			}
			return value, chunk.MemoryVersion
		}
		record.OnCommitted = func(version uint64) { w.leader.cluster.ChunkPersisted(chunk, version) }
		w.chunks[chunk] = record
	}
	return record
}

// retireLegacy turns the entry of a chunk's record in the first form into one that only
// deletes it, in its time. A write of it may be under way: whatever comes of
// that, the record stays until its time has come.
func (w *recordStore) retireLegacy(chunk *cluster.TaskChunk, legacy *cluster.LegacyRecord) {
	record := w.chunks[chunk]
	delete(w.chunks, chunk)
	if record == nil {
		if legacy.KeyRevision == 0 {
			legacy.PendingChunks = 0 // never written
			return
		}
		record = w.Record(keys.LegacyChunk(legacy.Job.Spec.ID, legacy.Index))
		record.SetVersion(legacy.KeyRevision)
	}
	record.ClearDirty()
	record.OnCommitted = func(uint64) {}
	record.Build = func() (any, uint64) {
		if !legacy.Obsolete() {
			return statestore.NotReady, 0
		}
		return nil, 0
	}
	w.legacyRecords[legacy] = record
}

// deleteLegacy deletes a record in the first form when there is time, if nothing
// depends on it any more.
func (w *recordStore) deleteLegacy(legacy *cluster.LegacyRecord) {
	if legacy == nil {
		return
	}
	record := w.legacyRecords[legacy]
	if record == nil {
		record = w.Record(keys.LegacyChunk(legacy.Job.Spec.ID, legacy.Index))
		record.SetVersion(legacy.KeyRevision)
		w.legacyRecords[legacy] = record
		record.Build = func() (any, uint64) {
			if !legacy.Obsolete() {
				return statestore.NotReady, 0
			}
			return nil, 0
		}
	}
	if legacy.Obsolete() {
		record.MarkDirty(w.leader.node.Now(), statestore.PriorityBackground)
	}
}

// writeJobEnd writes the end of a job. The first end wins: if another is found, that
// one is the truth.
func (w *recordStore) writeJobEnd(job *cluster.Job, state wire.JobState) {
	record := w.Record(keys.JobEnd(job.Spec.ID))
	at := int64(w.leader.node.Wall())
	record.Build = func() (any, uint64) { return cluster.FinalStatusRecord{State: state, EndedAt: at}, 0 }
	record.OnCommitted = func(uint64) { w.Drop(record); w.leader.jobEnded(job, state) }
	record.ResolveUncertain = func(item wire.Item) bool {
		var stored cluster.FinalStatusRecord
		if wire.Unmarshal(item.Value, &stored) != nil {
			return false
		}
		w.Drop(record)
		w.leader.jobEnded(job, stored.State)
		return true
	}
	priority := statestore.PriorityHigh
	if state == wire.JobAborted {
		priority = statestore.PriorityUrgent
	}
	record.MarkDirty(w.leader.node.Now(), priority)
}

// endUncertain reports whether the job's end may be in the store unknown to this leader.
// That an uncertain write is not there when it is looked for says nothing of later:
// held up for seconds, it was carried out after the look, a user was told that the
// job was done, and then by the leader that it was pending.
func (w *recordStore) endUncertain(id string) bool {
	record := w.Lookup(keys.JobEnd(id))
	return record != nil && record.Uncertain()
}
