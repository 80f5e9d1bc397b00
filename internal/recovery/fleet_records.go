package recovery

import (
	"log/slog"

	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/wire"
)

// FleetRecords restores the fleet-wide records. They must be restored before all other records,
// because the format record determines how to read the others.
type FleetRecords struct {
	records  *persist.Records
	handlers map[string]func(wire.Item)
	log      *slog.Logger
}

// NewFleetRecords returns a FleetRecords that restores the speeds and format records, and passes other
// records to the handler for their key.
func NewFleetRecords(records *persist.Records, handlers map[string]func(wire.Item), log *slog.Logger) *FleetRecords {
	return &FleetRecords{records: records, handlers: handlers, log: log}
}

// Restore restores one record. A record that cannot be decoded is logged and skipped, and so is, without
// a log line, a record that has no handler.
func (f *FleetRecords) Restore(item wire.Item) {
	var err error
	switch item.Key {
	case keys.Speeds:
		err = f.records.RestoreSpeeds(item)
	case keys.Format:
		err = f.records.Format.Restore(item)
	default:
		if restore := f.handlers[item.Key]; restore != nil {
			restore(item)
		}
	}
	if err != nil {
		f.log.Debug("decode stored record failed", "key", item.Key, "err", err)
	}
}
