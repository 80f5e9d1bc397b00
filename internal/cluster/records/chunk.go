package records

import (
	"encoding/json"
	"sort"

	"notchmux.dev/notchmux/wire"
)

// LegacyTasksPerChunk is how many tasks a record in the first form holds.
const LegacyTasksPerChunk = 128

// Allocation is an allocation in a chunk's record.
type Allocation struct {
	//lint:ignore U1000 the codec reads its tag: a list without field names, since records are written often
	_msgpack struct{} `msgpack:",as_array"`

	Index   int        `msgpack:"Index"`
	Attempt wire.Count `msgpack:"Attempt"`
	Machine string     `msgpack:"Machine"`
	Session wire.Count `msgpack:"Session"`
	Zone    string     `msgpack:"Zone"`
}

// MarshalJSON gives the form that the store's limits count: a list, as in the
// store. With its fields' names, records that fit were once put aside as too large.
func (r Allocation) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Index, r.Attempt, r.Machine, r.Session, r.Zone})
}

// Chunk is a chunk of tasks as the store keeps it in the first form.
type Chunk struct {
	Allocations []Allocation `msgpack:"p" json:"p"`
	Done        [][2]int     `msgpack:"d" json:"d"` // first and last of each range
	Attempts    [][2]int     `msgpack:"t" json:"t"` // task and attempt, where there is no allocation
}

// NewChunk makes a record of nothing, whose lists are empty in the store's bytes, not absent.
func NewChunk() Chunk {
	return Chunk{Allocations: []Allocation{}, Done: [][2]int{}, Attempts: [][2]int{}}
}

// AddDone notes that a task is done. Tasks are added in their order.
func (r *Chunk) AddDone(task int) {
	if ranges := len(r.Done); ranges > 0 && r.Done[ranges-1][1] == task-1 {
		r.Done[ranges-1][1] = task
		return
	}
	r.Done = append(r.Done, [2]int{task, task})
}

// SortAllocations puts the allocations in the order of their tasks.
func (r *Chunk) SortAllocations() {
	sort.Slice(r.Allocations, func(a, b int) bool { return r.Allocations[a].Index < r.Allocations[b].Index })
}
