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

// setZones sets a catalog that offers the machine types m and g in these zones.
func (test *testCoordinator) setZones(zones ...string) {
	test.Cluster.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "m", CPUs: 16, MemoryGB: 64, Zones: zones}, {Name: "g", CPUs: 16, MemoryGB: 64, GPUs: 4, Zones: zones},
	}})
}

// lockedBuffer collects log lines. It may be written by goroutines that a test does not wait for.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends one log line.
func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// String returns all log lines written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// The shard "east" selects all of zone b. Forming further shards logs one warning for each that leaves
// jobs without a place.
func TestFormingAShardWarnsOfUnplaceableJobs(t *testing.T) {
	for name, c := range map[string]struct {
		zones    string
		declared []shard.Selector
		want     string // part of the warning; "" if none is logged
	}{
		"the other of two zones": {"ab", []shard.Selector{{Zone: "a"}}, "hold every offer"},
		"a second zone of four": {
			"abcd", []shard.Selector{{Zone: "a"}}, "zone a lies in share s-0, zone c, d outside",
		},
		"no warnings beyond those of the existing shard": {"abcd", []shard.Selector{{Type: "g", Zone: "a"}}, ""},
		"together with another declared shard": {
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
		lines := strings.Count(out.String(), "forming shard leaves jobs that cannot be placed")
		warned := lines == len(c.declared) && strings.Contains(out.String(), c.want)
		if c.want == "" && lines > 0 || c.want != "" && !warned {
			t.Errorf("%s: logged %q", name, out.String())
		}
	}
}
