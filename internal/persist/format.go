package persist

import (
	"fmt"
	"log/slog"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// FormatVersion is the version of the stored forms that this program reads and writes.
const FormatVersion = 2

// FormatRecord is the value of fleet/format.
type FormatRecord struct {
	Version       int `msgpack:"version" json:"version"`
	TasksPerChunk int `msgpack:"tasks" json:"tasks"` // tasks of a chunk in the compact form
}

// Format is the record of the version of the stored forms. It is raised once, for good; the
// compact form is in use from then on, and not before.
type Format struct {
	records *Records
	record  *statestore.Record
	stored  FormatRecord // zero: it is not raised
	log     *slog.Logger
}

func newFormat(records *Records, log *slog.Logger) *Format {
	format := &Format{records: records, record: records.Record(keys.Format), log: log}
	format.record.Build = func() (any, uint64) { return format.next(), 0 }
	format.record.OnCommitted = func(uint64) {
		format.onRaised()
		log.Info("format raised", "version", format.stored.Version, "tasks", format.stored.TasksPerChunk)
	}
	format.record.ResolveUncertain = func(item wire.Item) bool {
		if err := format.Restore(item); err != nil {
			log.Debug("stored record not understood", "key", item.Key, "err", err)
			return false
		}
		return true
	}
	return format
}

// next is the value that raises the format.
func (f *Format) next() FormatRecord {
	_, valueBytes := f.records.limits.MaxValueBytes()
	return FormatRecord{
		Version:       FormatVersion,
		TasksPerChunk: cluster.TasksPerCompactChunk(valueBytes - ValueMargin),
	}
}

// Raise writes fleet/format, unless that was done or is under way.
func (f *Format) Raise(now micro.Time) {
	if f.records.cluster.CompactRecords || f.record.Dirty() || f.record.Uncertain() {
		return
	}
	f.record.MarkDirty(now, statestore.PriorityHigh)
}

// Restore takes in the value of fleet/format and turns to the compact form; an error if it is
// not one that raises the format.
func (f *Format) Restore(item wire.Item) error {
	var stored FormatRecord
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		return err
	}
	if stored.Version < FormatVersion || !validTasksPerChunk(stored.TasksPerChunk) {
		return fmt.Errorf("version %d with %d tasks in a chunk", stored.Version, stored.TasksPerChunk)
	}
	f.record.SetVersion(uint64(item.Version))
	f.stored = stored
	f.onRaised()
	return nil
}

func validTasksPerChunk(tasks int) bool {
	return tasks >= 1 && tasks <= cluster.LegacyTasksPerChunk && cluster.LegacyTasksPerChunk%tasks == 0
}

// onRaised turns to the compact form: fleet/format is in the store.
func (f *Format) onRaised() {
	if f.records.cluster.CompactRecords {
		return
	}
	if f.stored.TasksPerChunk == 0 {
		f.stored = f.next()
	}
	f.records.cluster.EnableCompactRecords(f.stored.TasksPerChunk)
	f.records.host.FormatRaised()
}
