package scheduler

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
)

// Stored speed records must stay readable: their encoding must not change.
func TestSpeedRecordEncodingMatchesGolden(t *testing.T) {
	record := SpeedRecord{Speeds: map[string][2]float64{"large": {0.75, 12}}}
	if err := golden.Binary(record, "81a16b81a56c6172676592cb3fe8000000000000cb4028000000000000"); err != nil {
		t.Error(err)
	}
	if err := golden.JSON(record, `{"k":{"large":[0.75,12]}}`); err != nil {
		t.Error(err)
	}
}
