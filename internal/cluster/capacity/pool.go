package capacity

import "sort"

// Pool holds the schedulable machines of one type, zone and kind (spot or not), in buckets by their
// whole scaled CPUs free. The design's score depends on the type alone, so the tightest fit is in
// the first buckets with enough capacity, and no other machine has to be examined.
type Pool[M any] struct {
	Type         *MachineType
	Zone         string
	Spot         bool
	MachineCount int

	buckets [][]*M
}

// BucketCount returns the number of buckets. All buckets from this index on are empty.
func (p *Pool[M]) BucketCount() int { return len(p.buckets) }

// Bucket returns the machines with n whole scaled CPUs free, in no particular order.
func (p *Pool[M]) Bucket(n int) []*M { return p.buckets[n] }

// CountIf returns the number of machines in the pool that match.
func (p *Pool[M]) CountIf(matches func(*M) bool) int {
	count := 0
	for _, bucket := range p.buckets {
		for _, machine := range bucket {
			if matches(machine) {
				count++
			}
		}
	}
	return count
}

// BucketFor returns the bucket of a machine with the given number of scaled CPUs free.
func BucketFor(freeCPU float64) int { return max(int(freeCPU+1e-9), 0) }

// Position is the place of a machine in an Index. It is embedded in the machine.
type Position[M any] struct {
	pool   *Pool[M] // nil if the machine is in no pool
	bucket int
	index  int
}

// PoolPosition returns the position itself. It makes it accessible for machines that embed it.
func (p *Position[M]) PoolPosition() *Position[M] { return p }

// Positioned is a pointer to a machine that embeds its position.
type Positioned[M any] interface {
	*M
	PoolPosition() *Position[M]
}

type poolKey struct {
	typeName, zone string
	spot           bool
}

// Index holds the schedulable machines.
type Index[M any, P Positioned[M]] struct {
	Pools []*Pool[M] // by type, zone and kind

	byKey map[poolKey]*Pool[M]
}

// PutInPool puts a machine into the bucket in which the scheduler looks for it.
func (x *Index[M, P]) PutInPool(machine P, machineType *MachineType, zone string, spot bool, freeCPU float64) {
	pool, bucket := x.ensurePool(machineType, zone, spot), BucketFor(freeCPU)
	position := machine.PoolPosition()
	if pool == position.pool && bucket == position.bucket {
		return
	}
	x.RemoveFromPool(machine)
	position.pool, position.bucket = pool, bucket
	for len(pool.buckets) <= bucket {
		if len(pool.buckets) < cap(pool.buckets) { // reuses the capacity of the buckets' slices
			pool.buckets = pool.buckets[:len(pool.buckets)+1]
		} else {
			pool.buckets = append(pool.buckets, nil)
		}
	}
	position.index = len(pool.buckets[bucket])
	pool.buckets[bucket] = append(pool.buckets[bucket], (*M)(machine))
	pool.MachineCount++
}

// RemoveFromPool removes a machine if it is in a pool, so that no new tasks are placed on it.
func (x *Index[M, P]) RemoveFromPool(machine P) {
	position := machine.PoolPosition()
	pool := position.pool
	if pool == nil {
		return
	}
	machines := pool.buckets[position.bucket]
	last := machines[len(machines)-1]
	machines[position.index], P(last).PoolPosition().index = last, position.index
	machines[len(machines)-1] = nil
	pool.buckets[position.bucket] = machines[:len(machines)-1]
	pool.MachineCount--
	for len(pool.buckets) > 0 && len(pool.buckets[len(pool.buckets)-1]) == 0 {
		pool.buckets = pool.buckets[:len(pool.buckets)-1]
	}
	position.pool, position.bucket = nil, 0
}

func (x *Index[M, P]) ensurePool(machineType *MachineType, zone string, spot bool) *Pool[M] {
	key := poolKey{machineType.Name, zone, spot}
	pool := x.byKey[key]
	if pool != nil {
		return pool
	}
	pool = &Pool[M]{Type: machineType, Zone: zone, Spot: spot}
	if x.byKey == nil {
		x.byKey = map[poolKey]*Pool[M]{}
	}
	x.byKey[key] = pool
	x.Pools = append(x.Pools, pool)
	sort.Slice(x.Pools, func(a, b int) bool {
		x, y := x.Pools[a], x.Pools[b]
		if x.Type.Index != y.Type.Index {
			return x.Type.Index < y.Type.Index
		}
		if x.Zone != y.Zone {
			return x.Zone < y.Zone
		}
		return !x.Spot && y.Spot
	})
	return pool
}
