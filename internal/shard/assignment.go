package shard

import "notchmux.dev/notchmux/wire"

// zoneInTransfer is the zone in the description of a job that changes hands. No machine is in such a
// zone: a controller of any version that takes the description as it stands places none of the
// job's tasks, and keeps what it knows of them.
const zoneInTransfer = "(changes hands)"

// Assignment is a job that the leader gave to a shard. It counts against its team's
// limit for as long as its record exists. The shard's owner deletes it, but for that of a job
// that was recalled: the leader deletes that one.
type Assignment struct {
	// Job is the description of the job. While the job changes hands its zone is one that no
	// machine is in, and Transfer has its own.
	Job            wire.Job `msgpack:"job" json:"job"`
	AssignedAt     int64    `msgpack:"at" json:"at"`       // when it was assigned, wall clock, microseconds
	MaxAllocations int      `msgpack:"tasks" json:"tasks"` // how many of its tasks may have places at once; it only grows
	StopRequested  bool     `msgpack:"stop" json:"stop"`   // its tasks are to be stopped: it is being cancelled

	// Continued is how the version before stored a job that had allocations before: Job is empty
	// then. It is read, and never written anew.
	Continued *ContinuedJob `msgpack:"continued,omitempty" json:"continued,omitempty"`
	// RecallRequested is set once the job is to come back to the leader, and stays: no owner
	// that has read it places any of its tasks.
	RecallRequested bool `msgpack:"recall,omitempty" json:"recall,omitempty"`
	// Transfer is set for as long as both the leader and the owner may have records of the job's tasks.
	Transfer *Transfer `msgpack:"transfer,omitempty" json:"transfer,omitempty"`
}

// ContinuedJob is a job that goes on in a shard from the leader's records of its tasks, which stay.
type ContinuedJob struct {
	Job wire.Job `msgpack:"job" json:"job"`
	// Revision is the latest version of the leader's records of its tasks, which do not change
	// while the job is in the shard. A later version of one is what the leader has taken back.
	Revision wire.Count `msgpack:"rev" json:"rev"`
}

// Transfer is what is to be known of a job whose records go from one side to the other.
type Transfer struct {
	// Zone is the zone that the job asks for; nil: any.
	Zone *string `msgpack:"zone" json:"zone"`
	// Revision is the latest version of the leader's records from before the job went to the shard; 0:
	// it had none, or they are deleted.
	Revision wire.Count `msgpack:"rev" json:"rev"`
}

// NewAssignment is the assignment of a job that goes on from the records of its tasks up to a
// revision; 0: there are none.
func NewAssignment(job wire.Job, revision uint64, wall int64) Assignment {
	assignment := Assignment{Job: job, AssignedAt: wall}
	if revision == 0 {
		return assignment
	}
	assignment = assignment.BeginTransfer()
	assignment.Transfer.Revision = wire.Count(revision)
	return assignment
}

// Spec is the description of the job that was assigned.
func (a *Assignment) Spec() wire.Job {
	if a.Continued != nil {
		return a.Continued.Job
	}
	spec := a.Job
	if a.Transfer != nil {
		spec.Zone = a.Transfer.Zone
	}
	return spec
}

// Revision is the latest version of the leader's records from before the job went to the shard; 0:
// there are none.
func (a *Assignment) Revision() uint64 {
	switch {
	case a.Continued != nil:
		return uint64(a.Continued.Revision)
	case a.Transfer != nil:
		return uint64(a.Transfer.Revision)
	}
	return 0
}

// InTransfer reports whether the job changes hands: nobody places any of its tasks.
func (a *Assignment) InTransfer() bool { return a.Job.Zone != nil && *a.Job.Zone == zoneInTransfer }

// ReadsLeaderRecords reports whether an owner goes on from the leader's records, too: those of its
// own may not hold all of them yet.
func (a *Assignment) ReadsLeaderRecords() bool {
	return a.Continued != nil || a.InTransfer() && a.Revision() > 0
}

// RecordsCopied reports whether the owner's records hold all that the leader's do, which are being
// deleted, while the job goes on.
func (a *Assignment) RecordsCopied() bool { return a.Transfer != nil && !a.InTransfer() }

// BeginTransfer is the assignment of a job that changes hands from now on.
func (a Assignment) BeginTransfer() Assignment {
	if a.InTransfer() {
		return a
	}
	spec := a.Spec()
	a.Transfer = &Transfer{Zone: spec.Zone, Revision: wire.Count(a.Revision())}
	zone := zoneInTransfer
	a.Job, a.Continued = spec, nil
	a.Job.Zone = &zone
	return a
}

// KeepOwnerRecords is the assignment of a job that goes on from the owner's records alone. The leader's
// may still be there.
func (a Assignment) KeepOwnerRecords() Assignment {
	spec := a.Spec()
	a.Transfer = &Transfer{Zone: spec.Zone, Revision: wire.Count(a.Revision())}
	a.Job, a.Continued = spec, nil
	return a
}

// EndTransfer is the assignment of a job that has changed hands: only the owner has records of its
// tasks.
func (a Assignment) EndTransfer() Assignment {
	a.Job, a.Continued, a.Transfer = a.Spec(), nil, nil
	return a
}
