package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// WriteJobEnd schedules the write of a job's final state. The first final state in the store takes
// precedence: if another one is found there, it is reported to the host instead.
func (r *Records) WriteJobEnd(job *cluster.Job, state wire.JobState) {
	record := r.Record(keys.JobEnd(job.Spec.ID))
	endedAt := int64(r.host.Wall())
	record.Build = func() (any, uint64) { return cluster.FinalStatusRecord{State: state, EndedAt: endedAt}, 0 }
	record.OnCommitted = func(uint64) {
		r.Drop(record)
		r.host.JobEnded(job, state)
	}
	record.ResolveUncertain = func(item wire.Item) bool {
		var stored cluster.FinalStatusRecord
		if err := wire.Unmarshal(item.Value, &stored); err != nil {
			r.log.Debug("decode stored final state failed; write remains pending", "key", item.Key, "err", err)
			return false
		}
		r.Drop(record)
		r.host.JobEnded(job, stored.State)
		return true
	}
	priority := statestore.PriorityHigh
	if state == wire.JobAborted {
		priority = statestore.PriorityUrgent
	}
	record.MarkDirty(r.host.Now(), priority)
}

// EndUncertain reports whether the job's final state may be in the store without this owner knowing.
// An uncertain write that a read does not find may still be executed late: in one case it was
// executed seconds later, after the read, so that a user was told that the job was done and
// afterwards, by the leader, that it was pending.
func (r *Records) EndUncertain(job string) bool {
	record := r.Lookup(keys.JobEnd(job))
	return record != nil && record.Uncertain()
}
