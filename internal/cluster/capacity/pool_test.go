package capacity_test

import (
	"testing"

	"pgregory.net/rapid"

	"notchmux.dev/notchmux/internal/cluster/capacity"
	"notchmux.dev/notchmux/wire"
)

type machine struct {
	capacity.Position[machine]
	free float64
	in   bool
}

// However machines come, go and fill up, each that is in stands once, in the row of what it
// has free.
func TestEachMachineStandsOnceInTheRowOfItsFreeCPUs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var index capacity.Index[machine, *machine]
		machineType := &capacity.MachineType{MachineType: wire.MachineType{Name: "small"}}
		machines := make([]machine, 6)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(machines)-1).Draw(t, "machine")
			changed := &machines[i]
			if changed.in = rapid.Bool().Draw(t, "in"); changed.in {
				changed.free = float64(rapid.IntRange(0, 4).Draw(t, "free"))
				index.PutInPool(changed, machineType, []string{"a", "b"}[i%2], false, changed.free)
			} else {
				index.RemoveFromPool(changed)
			}
			expectRows(t, &index, machines)
		}
	})
}

func expectRows(t *rapid.T, index *capacity.Index[machine, *machine], machines []machine) {
	found := map[*machine]int{}
	count := 0
	for _, pool := range index.Pools {
		count += pool.MachineCount
		countMembers(t, pool, found)
	}
	in := 0
	for i := range machines {
		want := 0
		if machines[i].in {
			want = 1
		}
		in += want
		if found[&machines[i]] != want {
			t.Fatalf("machine %d stands %d times, want %d", i, found[&machines[i]], want)
		}
	}
	if count != in {
		t.Fatalf("%d machines counted, %d are in", count, in)
	}
}

func countMembers(t *rapid.T, pool *capacity.Pool[machine], found map[*machine]int) {
	for row := range pool.BucketCount() {
		for _, member := range pool.Bucket(row) {
			found[member]++
			if capacity.BucketFor(member.free) != row {
				t.Fatalf("a machine with %v CPUs free stands in row %d", member.free, row)
			}
		}
	}
}
