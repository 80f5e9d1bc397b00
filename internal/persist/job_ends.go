package persist

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// WriteJobEnd writes the end of a job. The first end wins: if another is found, that
// one is the truth.
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
			r.log.Debug("stored record not understood", "key", item.Key, "err", err)
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

// EndUncertain reports whether the job's end may be in the store unknown to this leader.
// That an uncertain write is not there when it is looked for says nothing of later:
// held up for seconds, it was carried out after the look, a user was told that the
// job was done, and then by the leader that it was pending.
func (r *Records) EndUncertain(job string) bool {
	record := r.Lookup(keys.JobEnd(job))
	return record != nil && record.Uncertain()
}
