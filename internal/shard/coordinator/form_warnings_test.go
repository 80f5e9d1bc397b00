package coordinator

import (
	"log/slog"
	"strings"
	"sync"
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

// lockedBuffer takes in log lines, also of goroutines that a test does not wait for.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write takes in one line.
func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String is all that was written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// The shard "east" has all of zone b.
func TestFormingAShardWarnsOfUnplaceableJobs(t *testing.T) {
	for name, c := range map[string]struct {
		zones    string
		declared []shard.Selector
		want     string // "": nothing is told
	}{
		"the rest of two zones": {"ab", []shard.Selector{{Zone: "a"}}, "hold every offer"},
		"a second zone of four": {
			"abcd", []shard.Selector{{Zone: "a"}}, "zone a lies in share s-0, zone c, d outside",
		},
		"no more than the shard before": {"abcd", []shard.Selector{{Type: "g", Zone: "a"}}, ""},
		"with another that is declared": {
			"ab", []shard.Selector{{Type: "g", Zone: "a"}, {Type: "m", Zone: "a"}}, "every offer",
		},
	} {
		test := newTestCoordinator(t)
		test.setZones(strings.Split(c.zones, "")...)
		for i, selector := range c.declared {
			declared := config.DeclaredShard{Name: []string{"s-0", "s-1"}[i], Selector: selector}
			test.Config.Shards.Declared = append(test.Config.Shards.Declared, declared)
		}
		out := &lockedBuffer{}
		test.Log = slog.New(slog.NewTextHandler(out, nil))
		test.marker.SetVersion(1)
		test.Cluster.CompactRecords = true
		test.formDeclaredShards()
		lines := strings.Count(out.String(), "shard leaves work without a place")
		told := lines == len(c.declared) && strings.Contains(out.String(), c.want)
		if c.want == "" && lines > 0 || c.want != "" && !told {
			t.Errorf("%s: %s", name, out.String())
		}
	}
}
