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

// FormatVersion is the latest version of the stored format that this program reads and writes.
const FormatVersion = 2

// FormatRecord is the value of fleet/format.
type FormatRecord struct {
	Version       int `msgpack:"version" json:"version"`
	TasksPerChunk int `msgpack:"tasks" json:"tasks"` // tasks per chunk in the compact format
}

// Format is the record of the version of the stored format. It is raised once and never lowered.
// The compact format is in use from then on, and not before.
type Format struct {
	records *Records
	record  *statestore.Record
	stored  FormatRecord // zero if the format has not been raised
	log     *slog.Logger
}

func newFormat(records *Records, log *slog.Logger) *Format {
	format := &Format{records: records, record: records.Record(keys.Format), log: log}
	format.record.Build = func() (any, uint64) { return format.next(), 0 }
	format.record.OnCommitted = func(uint64) {
		format.onRaised()
		log.Info("stored format version raised", "version", format.stored.Version, "tasks", format.stored.TasksPerChunk)
	}
	format.record.ResolveUncertain = func(item wire.Item) bool {
		if err := format.Restore(item); err != nil {
			log.Debug("restore stored format record failed; write remains pending", "key", item.Key, "err", err)
			return false
		}
		return true
	}
	return format
}

// next returns the value that raises the format.
func (f *Format) next() FormatRecord {
	_, valueBytes := f.records.limits.MaxValueBytes()
	return FormatRecord{
		Version:       FormatVersion,
		TasksPerChunk: cluster.TasksPerCompactChunk(valueBytes - ValueMargin),
	}
}

// Raise schedules the write of fleet/format, unless the format has been raised or a write of it is
// pending or uncertain.
func (f *Format) Raise(now micro.Time) {
	if f.records.cluster.CompactRecords || f.record.Dirty() || f.record.Uncertain() {
		return
	}
	f.record.MarkDirty(now, statestore.PriorityHigh)
}

// Restore applies the stored value of fleet/format and enables the compact format. It returns an
// error if the value cannot be decoded, has a version below FormatVersion or an invalid number of
// tasks per chunk.
func (f *Format) Restore(item wire.Item) error {
	var stored FormatRecord
	if err := wire.Unmarshal(item.Value, &stored); err != nil {
		return err
	}
	if stored.Version < FormatVersion || !validTasksPerChunk(stored.TasksPerChunk) {
		return fmt.Errorf("invalid format: version %d, %d tasks per chunk", stored.Version, stored.TasksPerChunk)
	}
	f.record.SetVersion(uint64(item.Version))
	f.stored = stored
	f.onRaised()
	return nil
}

func validTasksPerChunk(tasks int) bool {
	return tasks >= 1 && tasks <= cluster.LegacyTasksPerChunk && cluster.LegacyTasksPerChunk%tasks == 0
}

// onRaised enables the compact format. It is called once fleet/format is in the store.
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
