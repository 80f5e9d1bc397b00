package shard

import "notchmux.dev/notchmux/wire"

// zoneInTransfer replaces the zone in the stored spec of a job that is in transfer between the leader and a
// shard. No machine is in this zone: a controller of any release that uses the spec as stored allocates none
// of the job's tasks, and keeps the state that it has of them.
const zoneInTransfer = "(changes hands)"

// Assignment is the stored record of a job that the leader assigned to a shard. The job counts against its
// team's quota for as long as the record exists. The shard's owner deletes the record, except that of a
// recalled job, which the leader deletes.
type Assignment struct {
	// Job is the spec of the job. While the job is in transfer, its zone is zoneInTransfer, in which there is no
	// machine, and Transfer holds the zone that the job requests.
	Job            wire.Job `msgpack:"job" json:"job"`
	AssignedAt     int64    `msgpack:"at" json:"at"`       // wall clock of the assignment, in microseconds
	MaxAllocations int      `msgpack:"tasks" json:"tasks"` // limit of allocations at once; never decreases
	StopRequested  bool     `msgpack:"stop" json:"stop"`   // the job is being cancelled: its tasks are to be stopped

	// Continued is how the previous release stored a started job, which had allocations before it was assigned; Job
	// is empty then. It is still read, but no new assignment sets it.
	Continued *ContinuedJob `msgpack:"continued,omitempty" json:"continued,omitempty"`
	// RecallRequested is set once the leader recalls the job, and is never cleared: no owner that has read it
	// allocates any of the job's tasks.
	RecallRequested bool `msgpack:"recall,omitempty" json:"recall,omitempty"`
	// Transfer is set while both the leader and the shard's owner may have records of the job's tasks.
	Transfer *Transfer `msgpack:"transfer,omitempty" json:"transfer,omitempty"`
}

// ContinuedJob is a job that a shard's owner resumes from the leader's records of its tasks, which are kept.
type ContinuedJob struct {
	Job wire.Job `msgpack:"job" json:"job"`
	// Revision is the latest version among the leader's records of the job's tasks. They do not change while the
	// job is in the shard. The leader writes records of later versions only after it has reclaimed the job.
	Revision wire.Count `msgpack:"rev" json:"rev"`
}

// Transfer describes a job whose task records are being moved between the leader and a shard's owner.
type Transfer struct {
	// Zone is the zone that the job requests; nil: any zone.
	Zone *string `msgpack:"zone" json:"zone"`
	// Revision is the latest version among the leader's task records written before the job was assigned to the
	// shard; 0: there were none, or they are deleted.
	Revision wire.Count `msgpack:"rev" json:"rev"`
}

// NewAssignment returns the assignment of a job, made at a wall clock time in microseconds. The revision is the
// latest version among the leader's records of the job's tasks; unless it is 0, which means that there are none,
// the job is in transfer.
func NewAssignment(job wire.Job, revision uint64, wall int64) Assignment {
	assignment := Assignment{Job: job, AssignedAt: wall}
	if revision == 0 {
		return assignment
	}
	assignment = assignment.BeginTransfer()
	assignment.Transfer.Revision = wire.Count(revision)
	return assignment
}

// Spec returns the spec of the assigned job, with the zone that the job requests.
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

// Revision returns the latest version among the leader's task records written before the job was assigned to
// the shard, or 0 if there are none.
func (a *Assignment) Revision() uint64 {
	switch {
	case a.Continued != nil:
		return uint64(a.Continued.Revision)
	case a.Transfer != nil:
		return uint64(a.Transfer.Revision)
	}
	return 0
}

// InTransfer reports whether the job is in transfer between the leader and the shard. No controller allocates
// any of its tasks meanwhile.
func (a *Assignment) InTransfer() bool { return a.Job.Zone != nil && *a.Job.Zone == zoneInTransfer }

// ReadsLeaderRecords reports whether an owner must resume the job from the leader's records as well as its own,
// which may not hold the contents of all of them yet.
func (a *Assignment) ReadsLeaderRecords() bool {
	return a.Continued != nil || a.InTransfer() && a.Revision() > 0
}

// RecordsCopied reports whether the owner's records hold the contents of all of the leader's. The leader's are
// then being deleted while the job runs.
func (a *Assignment) RecordsCopied() bool { return a.Transfer != nil && !a.InTransfer() }

// BeginTransfer returns the assignment with the job in transfer, or unchanged if it is in transfer already.
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

// KeepOwnerRecords returns the assignment of a job that its owner resumes from the owner's records alone. The
// leader's records may still exist.
func (a Assignment) KeepOwnerRecords() Assignment {
	spec := a.Spec()
	a.Transfer = &Transfer{Zone: spec.Zone, Revision: wire.Count(a.Revision())}
	a.Job, a.Continued = spec, nil
	return a
}

// EndTransfer returns the assignment of a job whose transfer is complete: only the owner has records of its
// tasks.
func (a Assignment) EndTransfer() Assignment {
	a.Job, a.Continued, a.Transfer = a.Spec(), nil, nil
	return a
}
