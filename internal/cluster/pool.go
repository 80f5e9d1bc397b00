package cluster

import (
	"sort"
)

// Resources is an amount of a machine.
type Resources struct{ CPU, GPU, MemoryGB, ScaledCPU float64 }

// Add adds n times another amount.
func (r *Resources) Add(other Resources, factor float64) {
	r.CPU += factor * other.CPU
	r.GPU += factor * other.GPU
	r.MemoryGB += factor * other.MemoryGB
	r.ScaledCPU += factor * other.ScaledCPU
}

// resources is what a place takes of its machine.
func (a *Allocation) resources() Resources {
	spec := &a.Job.Spec
	return Resources{spec.CPUs, spec.GPUs, spec.MemoryGB, a.ScaledCPU}
}

// priorityLevels is the number of ranks of jobs.
const priorityLevels = 4

// MachinePool holds the machines of one type, zone and kind that take new tasks, in
// rows by their whole scaled CPUs free. The design's score depends on the type
// alone, so the tightest fit is found in the first rows that have room, and no
// other machine needs to be looked at.
type MachinePool struct {
	Type         *MachineType
	Zone         string
	Spot         bool
	MachineCount int

	rows [][]*Machine
}

// Rows is how many rows there are; those from it on are empty.
func (p *MachinePool) Rows() int { return len(p.rows) }

// Row lists the machines with this many whole scaled CPUs free, in no order.
func (p *MachinePool) Row(n int) []*Machine { return p.rows[n] }

// RowFor is the row of a machine with so much scaled room.
func RowFor(freeCPU float64) int { return max(int(freeCPU+1e-9), 0) }

type poolKey struct {
	typeName, zone string
	spot           bool
}

// updatePool puts a machine into the row where placement looks for it, or takes it
// out if it takes no new tasks. Whatever changes a machine's room or whether it
// may be used calls it.
func (s *State) updatePool(machine *Machine) {
	var pool *MachinePool
	row := 0
	if machine.acceptsTasks() {
		pool = s.ensurePool(machine)
		row = RowFor(machine.Type.CPUs - machine.UsedScaledCPU)
	}
	if pool == machine.pool && row == machine.poolRow {
		return
	}
	if previous := machine.pool; previous != nil {
		machines := previous.rows[machine.poolRow]
		last := machines[len(machines)-1]
		machines[machine.poolRowIndex], last.poolRowIndex = last, machine.poolRowIndex
		machines[len(machines)-1] = nil
		previous.rows[machine.poolRow] = machines[:len(machines)-1]
		previous.MachineCount--
		for len(previous.rows) > 0 && len(previous.rows[len(previous.rows)-1]) == 0 {
			previous.rows = previous.rows[:len(previous.rows)-1]
		}
	}
	machine.pool, machine.poolRow = pool, row
	if pool == nil {
		return
	}
	for len(pool.rows) <= row {
		if len(pool.rows) < cap(pool.rows) { // keeps the rows' own room
			pool.rows = pool.rows[:len(pool.rows)+1]
		} else {
			pool.rows = append(pool.rows, nil)
		}
	}
	machine.poolRowIndex = len(pool.rows[row])
	pool.rows[row] = append(pool.rows[row], machine)
	pool.MachineCount++
}

func (s *State) ensurePool(machine *Machine) *MachinePool {
	key := poolKey{machine.TypeName, machine.Zone, machine.Spot}
	pool := s.poolIndex[key]
	if pool == nil {
		pool = &MachinePool{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
		s.poolIndex[key] = pool
		s.Pools = append(s.Pools, pool)
		sort.Slice(s.Pools, func(a, b int) bool {
			x, y := s.Pools[a], s.Pools[b]
			if x.Type.Index != y.Type.Index {
				return x.Type.Index < y.Type.Index
			}
			if x.Zone != y.Zone {
				return x.Zone < y.Zone
			}
			return !x.Spot && y.Spot
		})
	}
	return pool
}

// account notes that a place takes room (n 1) or gives it back (n -1), by rank
// or, once its task is told to stop, as room that comes free anyway.
func (m *Machine) account(allocation *Allocation, factor float64) {
	if allocation.Stopping {
		m.UsedByStopping.Add(allocation.resources(), factor)
	} else {
		m.UsedByPriority[min(allocation.Job.PriorityLevel, priorityLevels-1)].Add(allocation.resources(), factor)
	}
}

// Preemptible is the room that tasks of a lower rank hold, or that comes free anyway.
func (m *Machine) Preemptible(level int) Resources {
	resources := m.UsedByStopping
	for lower := level + 1; lower < priorityLevels; lower++ {
		resources.Add(m.UsedByPriority[lower], 1)
	}
	return resources
}
