package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

const (
	speedKey            = "fleet/speed"
	firstProvisionedKey = "fleet/first"
	imageKey            = "fleet/images"
)

// valueMargin is kept of the limit on a value.
const valueMargin = 32

// recordStore are the keys that the leader keeps in the store, by what they are for.
type recordStore struct {
	*writer.Writer
	leader           *Leader
	chunks           map[*model.Chunk]*writer.Entry
	legacyRecords    map[*model.Old]*writer.Entry
	speeds           *writer.Entry
	firstProvisioned *writer.Entry
	format           *writer.Entry
	images           *imageWriter
}

type firstProvisionedRecord struct {
	Machine string `msgpack:"m" json:"m"`
}

func newRecordStore(l *Leader) *recordStore {
	records := &recordStore{Writer: writer.New(l, l.node.Store, l.log), leader: l, chunks: map[*model.Chunk]*writer.Entry{}, legacyRecords: map[*model.Old]*writer.Entry{}}
	records.speeds = records.Entry(speedKey)
	records.speeds.Build = func() (any, uint64) { return l.speeds.Record(), 0 }
	records.firstProvisioned = records.Entry(firstProvisionedKey)
	records.firstProvisioned.Build = func() (any, uint64) { return firstProvisionedRecord{l.firstProvisioned}, 0 }
	records.images = newImageWriter(records)
	records.format = records.Entry(formatKey)
	records.format.Build = func() (any, uint64) {
		_, safe := l.node.Cfg.ValueBytes()
		return FormatRecord{Version: FormatVersion, TasksPerChunk: model.CompactTasks(safe - valueMargin)}, 0
	}
	records.format.Saved = func(uint64) {
		l.formatRaised()
		l.log.Info("format raised", "version", l.format.Version, "tasks", l.format.TasksPerChunk)
	}
	records.format.Found = func(item wire.Item) bool {
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

// Valid reports whether the right to act holds.
func (l *Leader) Valid() bool { return l.holdsLease() }

// Guards are the conditions of every transaction of the term.
func (l *Leader) Guards() []wire.Guard {
	if l.owner != nil {
		return l.owner.Guards()
	}
	return []wire.Guard{l.term.Guard()}
}

// Post has the loop run something.
func (l *Leader) Post(f func()) { l.post(f) }

// ValueBytes is what a value may take. Once the later forms are in use, the next
// limits may come at any time.
func (l *Leader) ValueBytes() int {
	now, safe := l.node.Cfg.ValueBytes()
	if l.cluster.Compact {
		return safe - valueMargin
	}
	return now - valueMargin
}

// TxnOps is how many changes a transaction may have.
func (l *Leader) TxnOps() int { return l.node.Cfg.TxnOps() }

// Committed notes how long a transaction took.
func (l *Leader) Committed(took micro.Time) { l.node.Metrics.Observe("commit", took) }

// chunkKey is the key of a chunk's record.
func (l *Leader) chunkKey(ch *model.Chunk) string {
	id := ch.Job.Spec.ID
	switch {
	case l.owner != nil:
		return share.AllocationKey(l.owner.name, id, ch.N)
	case l.cluster.Compact:
		return compactKey(id, ch.N)
	}
	return runKey(id, ch.N)
}

// chunkRecord finds or makes the entry of a chunk's record.
func (w *recordStore) chunkRecord(chunk *model.Chunk) *writer.Entry {
	record := w.chunks[chunk]
	if record == nil {
		key := w.leader.chunkKey(chunk)
		compact := w.leader.cluster.Compact
		record = w.Entry(key)
		record.SetVersion(chunk.Stamp)
		record.Build = func() (any, uint64) {
			if chunk.Job.Over() && len(chunk.Places) == 0 {
				return nil, chunk.Ver // its end says all there is to know
			}
			value := chunk.Record()
			if compact {
				return value.Compact(), chunk.Ver
			}
			return value, chunk.Ver
		}
		record.Saved = func(version uint64) { w.leader.cluster.Persisted(chunk, version) }
		w.chunks[chunk] = record
	}
	return record
}

// retireLegacy turns the entry of a chunk's record in the first form into one that only
// deletes it, in its time. A write of it may be under way: whatever comes of
// that, the record stays until its time has come.
func (w *recordStore) retireLegacy(chunk *model.Chunk, legacy *model.Old) {
	record := w.chunks[chunk]
	delete(w.chunks, chunk)
	if record == nil {
		if legacy.Stamp == 0 {
			legacy.Left = 0 // never written
			return
		}
		record = w.Entry(runKey(legacy.Job.Spec.ID, legacy.N))
		record.SetVersion(legacy.Stamp)
	}
	record.Clean()
	record.Saved = func(uint64) {}
	record.Build = func() (any, uint64) {
		if !legacy.Free() {
			return writer.NotYet, 0
		}
		return nil, 0
	}
	w.legacyRecords[legacy] = record
}

// deleteLegacy deletes a record in the first form when there is time, if nothing
// depends on it any more.
func (w *recordStore) deleteLegacy(legacy *model.Old) {
	if legacy == nil {
		return
	}
	record := w.legacyRecords[legacy]
	if record == nil {
		record = w.Entry(runKey(legacy.Job.Spec.ID, legacy.N))
		record.SetVersion(legacy.Stamp)
		w.legacyRecords[legacy] = record
		record.Build = func() (any, uint64) {
			if !legacy.Free() {
				return writer.NotYet, 0
			}
			return nil, 0
		}
	}
	if legacy.Free() {
		record.Touch(w.leader.node.Now(), writer.Idle)
	}
}

// writeJobEnd writes the end of a job. The first end wins: if another is found, that
// one is the truth.
func (w *recordStore) writeJobEnd(job *model.Job, state wire.JobState) {
	record := w.Entry(endKey(job.Spec.ID))
	at := int64(w.leader.node.Wall())
	record.Build = func() (any, uint64) { return model.EndRecord{State: state, At: at}, 0 }
	record.Saved = func(uint64) { w.Drop(record); w.leader.jobEnded(job, state) }
	record.Found = func(item wire.Item) bool {
		var stored model.EndRecord
		if wire.Unmarshal(item.Value, &stored) != nil {
			return false
		}
		w.Drop(record)
		w.leader.jobEnded(job, stored.State)
		return true
	}
	priority := writer.Soon
	if state == wire.JobAborted {
		priority = writer.First
	}
	record.Touch(w.leader.node.Now(), priority)
}

// endUncertain reports whether the job's end may be in the store unknown to this leader.
// That an uncertain write is not there when it is looked for says nothing of later:
// held up for seconds, it was carried out after the look, a user was told that the
// job was done, and then by the leader that it was pending.
func (w *recordStore) endUncertain(id string) bool {
	record := w.Lookup(endKey(id))
	return record != nil && record.Doubtful()
}
