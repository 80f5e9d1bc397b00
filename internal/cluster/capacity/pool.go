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

	rows [][]*M
}

// Rows is how many rows there are; those from it on are empty.
func (p *Pool[M]) Rows() int { return len(p.rows) }

// Row lists the machines with this many whole scaled CPUs free, in no order.
func (p *Pool[M]) Row(n int) []*M { return p.rows[n] }

// CountIf is how many machines of the pool match.
func (p *Pool[M]) CountIf(matches func(*M) bool) int {
	count := 0
	for _, row := range p.rows {
		for _, machine := range row {
			if matches(machine) {
				count++
			}
		}
	}
	return count
}

// RowFor is the row of a machine with so many scaled CPUs free.
func RowFor(freeCPU float64) int { return max(int(freeCPU+1e-9), 0) }

// Position is where an index holds a machine, which embeds it.
type Position[M any] struct {
	pool  *Pool[M] // nil: nowhere
	row   int
	index int
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
	pool, row := x.ensurePool(machineType, zone, spot), RowFor(freeCPU)
	at := machine.PoolPosition()
	if pool == at.pool && row == at.row {
		return
	}
	x.TakeFromPool(machine)
	at.pool, at.row = pool, row
	for len(pool.rows) <= row {
		if len(pool.rows) < cap(pool.rows) { // keeps the rows' own capacity
			pool.rows = pool.rows[:len(pool.rows)+1]
		} else {
			pool.rows = append(pool.rows, nil)
		}
	}
	at.index = len(pool.rows[row])
	pool.rows[row] = append(pool.rows[row], (*M)(machine))
	pool.MachineCount++
}

// TakeFromPool takes a machine out, if it is in: it takes no new tasks.
func (x *Index[M, P]) TakeFromPool(machine P) {
	at := machine.PoolPosition()
	pool := at.pool
	if pool == nil {
		return
	}
	machines := pool.rows[at.row]
	last := machines[len(machines)-1]
	machines[at.index], P(last).PoolPosition().index = last, at.index
	machines[len(machines)-1] = nil
	pool.rows[at.row] = machines[:len(machines)-1]
	pool.MachineCount--
	for len(pool.rows) > 0 && len(pool.rows[len(pool.rows)-1]) == 0 {
		pool.rows = pool.rows[:len(pool.rows)-1]
	}
	at.pool, at.row = nil, 0
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
