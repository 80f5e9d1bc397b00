package records

import "notchmux.dev/notchmux/wire"

// FinalStatus is how a job ended. It is written once: the first write wins.
type FinalStatus struct {
	State wire.JobState `msgpack:"state" json:"state"`

	// EndedAt is in microseconds of wall-clock time. The waiting times of the job's dependents
	// start then.
	EndedAt int64 `msgpack:"at,omitempty" json:"at,omitempty"`
}
