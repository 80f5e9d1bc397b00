package capacity

import "sort"

// Pool holds the machines of one type, zone and kind that take new tasks, in rows by their
// whole scaled CPUs free. The design's score depends on the type alone, so the tightest fit
// is found in the first rows that have capacity, and no other machine needs to be looked at.
type Pool[M any] struct {
	Type         *MachineType
	Zone         string
	Spot         bool
	MachineCount int

	buckets [][]*M
}

// BucketCount is how many rows there are; those from it on are empty.
func (p *Pool[M]) BucketCount() int { return len(p.buckets) }

// Bucket lists the machines with this many whole scaled CPUs free, in no order.
func (p *Pool[M]) Bucket(n int) []*M { return p.buckets[n] }

// CountIf is how many machines of the pool match.
func (p *Pool[M]) CountIf(matches func(*M) bool) int {
	count := 0
	for _, row := range p.buckets {
		for _, machine := range row {
			if matches(machine) {
				count++
			}
		}
	}
	return count
}

// BucketFor is the row of a machine with so many scaled CPUs free.
func BucketFor(freeCPU float64) int { return max(int(freeCPU+1e-9), 0) }

// Position is where an index holds a machine, which embeds it.
type Position[M any] struct {
	pool   *Pool[M] // nil: nowhere
	bucket int
	index  int
}

// PoolPosition gives itself, for machines that embed it.
func (p *Position[M]) PoolPosition() *Position[M] { return p }

// Positioned is a machine that embeds its position.
type Positioned[M any] interface {
	*M
	PoolPosition() *Position[M]
}

type poolKey struct {
	typeName, zone string
	spot           bool
}

// Index holds the machines that take new tasks.
type Index[M any, P Positioned[M]] struct {
	Pools []*Pool[M] // by type, zone and kind

	byKey map[poolKey]*Pool[M]
}

// PutInPool puts a machine into the row where the scheduler looks for it.
func (x *Index[M, P]) PutInPool(machine P, machineType *MachineType, zone string, spot bool, freeCPU float64) {
	pool, row := x.ensurePool(machineType, zone, spot), BucketFor(freeCPU)
	at := machine.PoolPosition()
	if pool == at.pool && row == at.bucket {
		return
	}
	x.RemoveFromPool(machine)
	at.pool, at.bucket = pool, row
	for len(pool.buckets) <= row {
		if len(pool.buckets) < cap(pool.buckets) { // keeps the rows' own capacity
			pool.buckets = pool.buckets[:len(pool.buckets)+1]
		} else {
			pool.buckets = append(pool.buckets, nil)
		}
	}
	at.index = len(pool.buckets[row])
	pool.buckets[row] = append(pool.buckets[row], (*M)(machine))
	pool.MachineCount++
}

// RemoveFromPool takes a machine out, if it is in: it takes no new tasks.
func (x *Index[M, P]) RemoveFromPool(machine P) {
	at := machine.PoolPosition()
	pool := at.pool
	if pool == nil {
		return
	}
	machines := pool.buckets[at.bucket]
	last := machines[len(machines)-1]
	machines[at.index], P(last).PoolPosition().index = last, at.index
	machines[len(machines)-1] = nil
	pool.buckets[at.bucket] = machines[:len(machines)-1]
	pool.MachineCount--
	for len(pool.buckets) > 0 && len(pool.buckets[len(pool.buckets)-1]) == 0 {
		pool.buckets = pool.buckets[:len(pool.buckets)-1]
	}
	at.pool, at.bucket = nil, 0
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
