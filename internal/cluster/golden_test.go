package cluster

import (
	"testing"

	"notchmux.dev/notchmux/internal/golden"
	"notchmux.dev/notchmux/wire"
)

// The next leader, of this build or another, must be able to read the records that this one wrote.
func TestEncodedRecordsAreUnchanged(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		bytes string
		text  string // as JSON, which the store's limits count
	}{
		{"allocation", AllocationRecord{Index: 130, Attempt: 2, Machine: "i-000231", Session: 3, Zone: "east"}, "95cc8202a8692d30303032333103a465617374", `[130,2,"i-000231",3,"east"]`},
		{"chunk", ChunkRecord{
			Allocations: []AllocationRecord{{Index: 130, Attempt: 2, Machine: "i-000231", Session: 3, Zone: "east"}}, Done: [][2]int{{128, 129}},
			Attempts: [][2]int{{135, 4}},
		}, "83a1709195cc8202a8692d30303032333103a465617374a1649192cc80cc81a1749192cc8704", `{"p":[[130,2,"i-000231",3,"east"]],"d":[[128,129]],"t":[[135,4]]}`},
		{"compact chunk", CompactRecord{
			Zones: []string{"east", "west"}, Machines: []string{"i-000231", "i-000232"}, MachineZones: []int{1, 0},
			Allocations: [][4]wire.Count{{1, 3, 130, 2}}, Done: [][2]int{{128, 129}}, Attempts: [][2]int{{135, 4}},
		}, "86a17a92a465617374a477657374a16d92a8692d303030323331a8692d303030323332a169920100a17091940103cc8202a1649192cc80cc81a1749192cc8704", `{"z":["east","west"],"m":["i-000231","i-000232"],"i":[1,0],"p":[[1,3,130,2]],"d":[[128,129]],"t":[[135,4]]}`},
		{"final status", FinalStatusRecord{State: wire.JobDone, EndedAt: 1700000000000000}, "82a57374617465a4646f6e65a26174cf00060a24181e4000", `{"state":"done","at":1700000000000000}`},
		{"images", ImageRecord{Names: []string{"img-07", "img-08"}, GB: []float64{1.5, 2.5}, Machines: map[string][]int{"i-000231": {1, 0}}}, "83a16e92a6696d672d3037a6696d672d3038a16792cb3ff8000000000000cb4004000000000000a16d81a8692d303030323331920100", `{"n":["img-07","img-08"],"g":[1.5,2.5],"m":{"i-000231":[1,0]}}`},
	} {
		if err := golden.Binary(c.value, c.bytes); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
		if err := golden.JSON(c.value, c.text); err != nil {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

func TestEncodedCompactRecordIsUnchanged(t *testing.T) {
	record := ChunkRecord{Allocations: []AllocationRecord{
		{Index: 130, Attempt: 2, Machine: "i-000231", Session: 3, Zone: "east"},
		{Index: 131, Attempt: 5, Machine: "i-000232", Session: 1, Zone: "west"},
		{Index: 132, Attempt: 4, Machine: "i-000231", Session: 3, Zone: "east"},
	}, Done: [][2]int{{128, 129}}, Attempts: [][2]int{{135, 4}}}
	if err := golden.Binary(
		record.Compact(),
		"86a17a92a465617374a477657374a16d92a8692d303030323331a8692d303030323332a169920001a17093940003cc8202940101cc8305940003cc8404a1649192cc80cc81a1749192cc8704",
	); err != nil {
		t.Error(err)
	}
}
