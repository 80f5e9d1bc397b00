package controller

import (
	"errors"

	"notchmux.dev/notchmux/internal/jobstatus"
	"notchmux.dev/notchmux/wire"
)

// Reasons why a leader does not answer a status query from memory.
var (
	errEndUncertain = errors.New("controller: write of the job's final state has no known outcome")
	errJobUnknown   = errors.New("controller: job is not in the cluster state")
)

// storedStates provides the stored states of jobs as far as the leader can be sure of them from
// memory. It implements jobstatus.Source and must be used on the loop's goroutine.
type storedStates struct{ leader *Leader }

// StoredState returns the stored state of a job. It returns an error if the write of the job's final
// state was sent and has no known outcome, because another node may have read that state already, or
// if the job is not in the cluster state.
func (s storedStates) StoredState(id string) (jobstatus.StoredState, error) {
	if stored, ok := s.leader.cluster.StoredState(id); ok {
		if stored.Final == "" && s.leader.records.EndUncertain(id) {
			return jobstatus.StoredState{}, errEndUncertain
		}
		return stored, nil
	}
	return jobstatus.StoredState{}, errJobUnknown
}

// status returns the status of a job, or false if it is not certain. The caller then reads it from the
// store.
func (l *Leader) status(id string) (wire.JobStatus, bool) {
	states := storedStates{l}
	_, err := states.StoredState(id)
	job := l.cluster.Jobs[id]
	if job == nil {
		return wire.JobStatus{}, false // also a job of which only the final state is kept
	}
	var derived jobstatus.Derived
	if err == nil {
		derived, err = jobstatus.Derive(job.OwnStatus(), job.Spec.Dependencies, states)
	}
	if err != nil {
		l.log.Debug(
			"job status is not certain; it is read from the store", "job", id, "state", job.State.String(), "err", err,
		)
		return wire.JobStatus{}, false
	}
	if derived.AbortedDependency != "" {
		l.log.Debug(
			"job status follows from an aborted dependency", "job", id, "state", job.State.String(),
			"dependency", derived.AbortedDependency,
		)
	}
	return derived.Status, true
}
