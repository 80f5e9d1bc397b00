package recovery

import (
	"log/slog"

	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/persist"
	"notchmux.dev/notchmux/wire"
)

// FleetRecords restores the records of the fleet as a whole. They come before all others: the
// format says how to read the rest.
type FleetRecords struct {
	records  *persist.Records
	handlers map[string]func(wire.Item)
	log      *slog.Logger
}

// NewFleetRecords makes one that hands those that other parts keep to them, by key.
func NewFleetRecords(records *persist.Records, handlers map[string]func(wire.Item), log *slog.Logger) *FleetRecords {
	return &FleetRecords{records: records, handlers: handlers, log: log}
}

// Restore takes in one record. One that cannot be read is passed over and logged.
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
		f.log.Debug("stored record not understood", "key", item.Key, "err", err)
	}
}
