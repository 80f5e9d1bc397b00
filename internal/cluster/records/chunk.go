package records

import (
	"encoding/json"
	"sort"

	"notchmux.dev/notchmux/wire"
)

// LegacyTasksPerChunk is the number of tasks in a chunk record in the legacy format.
const LegacyTasksPerChunk = 128

// Allocation is an allocation in a chunk record.
type Allocation struct {
	//lint:ignore U1000 read by the codec: encodes a list without field names, since records are written often
	_msgpack struct{} `msgpack:",as_array"`

	Index   int        `msgpack:"Index"`
	Attempt wire.Count `msgpack:"Attempt"`
	Machine string     `msgpack:"Machine"`
	Session wire.Count `msgpack:"Session"`
	Zone    string     `msgpack:"Zone"`
}

// MarshalJSON encodes the allocation as a list, as the store does, because the store's limits count
// the JSON form. When field names were included, records that fit were rejected as too large.
func (r Allocation) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Index, r.Attempt, r.Machine, r.Session, r.Zone})
}

// Chunk is a chunk of tasks as stored in the legacy format.
type Chunk struct {
	Allocations []Allocation `msgpack:"p" json:"p"`
	Done        [][2]int     `msgpack:"d" json:"d"` // first and last task of each range
	Attempts    [][2]int     `msgpack:"t" json:"t"` // task and attempt number of tasks without an allocation
}

// NewChunk returns an empty record whose lists are encoded as empty rather than as absent.
func NewChunk() Chunk {
	return Chunk{Allocations: []Allocation{}, Done: [][2]int{}, Attempts: [][2]int{}}
}

// AddDone marks a task as done. Tasks must be added in ascending order.
func (r *Chunk) AddDone(task int) {
	if ranges := len(r.Done); ranges > 0 && r.Done[ranges-1][1] == task-1 {
		r.Done[ranges-1][1] = task
		return
	}
	r.Done = append(r.Done, [2]int{task, task})
}

// SortAllocations sorts the allocations by task.
func (r *Chunk) SortAllocations() {
	sort.Slice(r.Allocations, func(a, b int) bool { return r.Allocations[a].Index < r.Allocations[b].Index })
}
