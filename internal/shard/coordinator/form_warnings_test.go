package coordinator

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/shard"
	"notchmux.dev/notchmux/wire"
)

// setZones has all types of the catalog offered in zones.
func (test *testCoordinator) setZones(zones ...string) {
	test.Cluster.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "m", CPUs: 16, MemoryGB: 64, Zones: zones}, {Name: "g", CPUs: 16, MemoryGB: 64, GPUs: 4, Zones: zones},
	}})
}

// The shard "east" has all of zone b.
func TestFormingAShardTellsOfTheWorkThatItLeavesWithoutAPlace(t *testing.T) {
	for name, c := range map[string]struct {
		zones    []string
		declared []config.DeclaredShard
		want     string // "": nothing is told
	}{
		"the rest of two zones": {
			[]string{"a", "b"},
			[]config.DeclaredShard{{Name: "west", Selector: shard.Selector{Zone: "a"}}},
			"the shares together hold every offer",
		},
		"a second zone of four": {
			[]string{"a", "b", "c", "d"},
			[]config.DeclaredShard{{Name: "west", Selector: shard.Selector{Zone: "a"}}},
			"zone a lies in share west, zone c, d outside",
		},
		"no more than the shard before": {
			[]string{"a", "b", "c", "d"},
			[]config.DeclaredShard{{Name: "gpu", Selector: shard.Selector{Type: "g", Zone: "a"}}},
			"",
		},
		"with another that is declared": {
			[]string{"a", "b"},
			[]config.DeclaredShard{
				{Name: "gpu", Selector: shard.Selector{Type: "g", Zone: "a"}},
				{Name: "plain", Selector: shard.Selector{Type: "m", Zone: "a"}},
			},
			"the shares together hold every offer",
		},
	} {
		test := newTestCoordinator(t)
		test.setZones(c.zones...)
		test.Config.Shards.Declared = c.declared
		var out bytes.Buffer
		test.Log = slog.New(slog.NewTextHandler(&out, nil))
		test.marker.SetVersion(1)
		test.Cluster.CompactRecords = true
		test.formDeclaredShards()
		lines := strings.Count(out.String(), "shard leaves work without a place")
		if c.want == "" && lines > 0 || c.want != "" && (lines != len(c.declared) || !strings.Contains(out.String(), c.want)) {
			t.Errorf("%s: %s", name, out.String())
		}
	}
}
