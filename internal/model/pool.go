package model

import "sort"

// Room is an amount of a machine.
type Room struct{ CPU, GPU, Mem, Scaled float64 }

// Add adds n times another amount.
func (r *Room) Add(o Room, n float64) {
	r.CPU += n * o.CPU
	r.GPU += n * o.GPU
	r.Mem += n * o.Mem
	r.Scaled += n * o.Scaled
}

// room is what a place takes of its machine.
func (p *Place) room() Room {
	s := &p.Job.Spec
	return Room{s.CPUs, s.GPUs, s.MemoryGB, p.Scaled}
}

// ranks is the number of ranks of jobs.
const ranks = 4

// Pool holds the machines of one type, zone and kind that take new tasks, in
// rows by their whole scaled CPUs free. The design's score depends on the type
// alone, so the tightest fit is found in the first rows that have room, and no
// other machine needs to be looked at.
type Pool struct {
	Type *Type
	Zone string
	Spot bool
	N    int

	rows [][]*Machine
}

// Rows is how many rows there are; those from it on are empty.
func (p *Pool) Rows() int { return len(p.rows) }

// Row lists the machines with this many whole scaled CPUs free, in no order.
func (p *Pool) Row(n int) []*Machine { return p.rows[n] }

// RowOf is the row of a machine with so much scaled room.
func RowOf(free float64) int { return max(int(free+1e-9), 0) }

type poolKey struct {
	typ, zone string
	spot      bool
}

// shelve puts a machine into the row where placement looks for it, or takes it
// out if it takes no new tasks. Whatever changes a machine's room or whether it
// may be used calls it.
func (c *Cluster) shelve(m *Machine) {
	var pool *Pool
	row := 0
	if m.State == Up && m.Type != nil && m.NoticeAt == 0 && !m.Deaf && !m.Drained && !m.Foreign && !m.Clearing {
		pool = c.pool(m)
		row = RowOf(m.Type.CPUs - m.UsedScaled)
	}
	if pool == m.pool && row == m.row {
		return
	}
	if old := m.pool; old != nil {
		list := old.rows[m.row]
		last := list[len(list)-1]
		list[m.at], last.at = last, m.at
		list[len(list)-1] = nil
		old.rows[m.row] = list[:len(list)-1]
		old.N--
		for len(old.rows) > 0 && len(old.rows[len(old.rows)-1]) == 0 {
			old.rows = old.rows[:len(old.rows)-1]
		}
	}
	m.pool, m.row = pool, row
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
	m.at = len(pool.rows[row])
	pool.rows[row] = append(pool.rows[row], m)
	pool.N++
}

func (c *Cluster) pool(m *Machine) *Pool {
	k := poolKey{m.TypeName, m.Zone, m.Spot}
	p := c.pools[k]
	if p == nil {
		p = &Pool{Type: m.Type, Zone: m.Zone, Spot: m.Spot}
		c.pools[k] = p
		c.Pools = append(c.Pools, p)
		sort.Slice(c.Pools, func(a, b int) bool {
			x, y := c.Pools[a], c.Pools[b]
			if x.Type.Index != y.Type.Index {
				return x.Type.Index < y.Type.Index
			}
			if x.Zone != y.Zone {
				return x.Zone < y.Zone
			}
			return !x.Spot && y.Spot
		})
	}
	return p
}

// account notes that a place takes room (n 1) or gives it back (n -1), by rank
// or, once its task is told to stop, as room that comes free anyway.
func (m *Machine) account(p *Place, n float64) {
	if p.Stopping {
		m.Going.Add(p.room(), n)
	} else {
		m.Ranks[min(p.Job.Level, ranks-1)].Add(p.room(), n)
	}
}

// Yields is the room that tasks of a lower rank hold, or that comes free anyway.
func (m *Machine) Yields(level int) Room {
	r := m.Going
	for l := level + 1; l < ranks; l++ {
		r.Add(m.Ranks[l], 1)
	}
	return r
}
