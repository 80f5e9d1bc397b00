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

// Each machine that was put into the index and not removed since is in exactly one bucket, the one
// of its free CPUs, in whatever order machines are put in, updated and removed.
func TestEachMachineIsInExactlyTheBucketOfItsFreeCPUs(t *testing.T) {
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
			expectBuckets(t, &index, machines)
		}
	})
}

func expectBuckets(t *rapid.T, index *capacity.Index[machine, *machine], machines []machine) {
	found := map[*machine]int{}
	count := 0
	for _, pool := range index.Pools {
		count += pool.MachineCount
		countMachines(t, pool, found)
	}
	in := 0
	for i := range machines {
		want := 0
		if machines[i].in {
			want = 1
		}
		in += want
		if found[&machines[i]] != want {
			t.Fatalf("machine %d is in the index %d times, want %d", i, found[&machines[i]], want)
		}
	}
	if count != in {
		t.Fatalf("MachineCount adds up to %d, but %d machines are in the index", count, in)
	}
}

func countMachines(t *rapid.T, pool *capacity.Pool[machine], found map[*machine]int) {
	for bucket := range pool.BucketCount() {
		for _, machine := range pool.Bucket(bucket) {
			found[machine]++
			if capacity.BucketFor(machine.free) != bucket {
				t.Fatalf("a machine with %v CPUs free is in bucket %d", machine.free, bucket)
			}
		}
	}
}
