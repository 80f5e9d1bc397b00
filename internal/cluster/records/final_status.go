package records

import "notchmux.dev/notchmux/wire"

// FinalStatus is how a job ended: created once, the first one wins.
type FinalStatus struct {
	State wire.JobState `msgpack:"state" json:"state"`

	// EndedAt is on the wall clock, in microseconds: the clocks of the job's dependents start then.
	EndedAt int64 `msgpack:"at,omitempty" json:"at,omitempty"`
}
