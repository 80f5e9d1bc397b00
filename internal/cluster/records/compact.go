package records

import "notchmux.dev/notchmux/wire"

// CompactChunk is a chunk of tasks as stored in the compact format, which lists each machine and
// zone once. An allocation is a tuple of machine index, agent epoch, task and attempt.
type CompactChunk struct {
	Zones        []string        `msgpack:"z" json:"z"`
	Machines     []string        `msgpack:"m" json:"m"`
	MachineZones []int           `msgpack:"i" json:"i"` // zone index of each machine
	Allocations  [][4]wire.Count `msgpack:"p" json:"p"`
	Done         [][2]int        `msgpack:"d" json:"d"` // first and last task of each range
	Attempts     [][2]int        `msgpack:"t" json:"t"` // task and attempt number of tasks without an allocation
}

// Compact converts a record to the compact format.
func (r *Chunk) Compact() CompactChunk {
	out := CompactChunk{
		Zones: []string{}, Machines: []string{}, MachineZones: []int{}, Allocations: [][4]wire.Count{}, Done: r.Done,
		Attempts: r.Attempts,
	}
	zones, machines := map[string]int{}, map[string]int{}
	for _, allocation := range r.Allocations {
		machineIndex, ok := machines[allocation.Machine]
		if !ok {
			zoneIndex, ok := zones[allocation.Zone]
			if !ok {
				zoneIndex = len(out.Zones)
				zones[allocation.Zone] = zoneIndex
				out.Zones = append(out.Zones, allocation.Zone)
			}
			machineIndex = len(out.Machines)
			machines[allocation.Machine] = machineIndex
			out.Machines = append(out.Machines, allocation.Machine)
			out.MachineZones = append(out.MachineZones, zoneIndex)
		}
		out.Allocations = append(
			out.Allocations,
			[4]wire.Count{wire.Count(machineIndex), allocation.Session, wire.Count(allocation.Index), allocation.Attempt},
		)
	}
	return out
}

// Expand converts a record to the legacy format. It returns false if the record is inconsistent.
func (r *CompactChunk) Expand() (Chunk, bool) {
	out := Chunk{Done: r.Done, Attempts: r.Attempts}
	if len(r.MachineZones) != len(r.Machines) {
		return out, false
	}
	for _, allocation := range r.Allocations {
		if allocation[0] >= wire.Count(len(r.Machines)) || allocation[2] >= wire.MaxTasks {
			return out, false
		}
		zoneIndex := r.MachineZones[allocation[0]]
		if zoneIndex < 0 || zoneIndex >= len(r.Zones) {
			return out, false
		}
		out.Allocations = append(
			out.Allocations,
			Allocation{
				Index: int(allocation[2]), Attempt: allocation[3], Machine: r.Machines[allocation[0]], Session: allocation[1],
				Zone: r.Zones[zoneIndex],
			},
		)
	}
	return out, true
}

// allocationBytes is the size of an allocation in the compact format on a machine of its own: the
// machine's name, its zone, and four numbers.
const allocationBytes = 30

// recordOverheadBytes is the size of a record excluding its allocations.
const recordOverheadBytes = 120

// TasksPerCompactChunk returns how many tasks a chunk in the compact format may have so that its
// record fits in a value of the given size.
func TasksPerCompactChunk(bytes int) int {
	tasks := 8
	for tasks < LegacyTasksPerChunk && (2*tasks)*allocationBytes+recordOverheadBytes <= bytes {
		tasks *= 2
	}
	return tasks
}
