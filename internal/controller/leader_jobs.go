package controller

import (
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The following methods implement jobapi.Leader. They are safe for concurrent use.

// statusQueryTimeout is how long a status query waits for the loop before the caller reads the
// store instead.
const statusQueryTimeout = 400 * micro.Millisecond

// Statuses answers status queries from memory, in one event of the loop. IDs that are not in the
// cluster state are not passed to the loop, which must also answer agents; their absence does not
// prove that such a job does not exist.
func (l *Leader) Statuses(ids []string) []wire.JobStatus {
	var known []string
	for _, id := range ids {
		if l.KnowsJob(id) || !l.serving.Load() {
			known = append(known, id)
		}
	}
	if len(known) == 0 {
		return nil
	}
	event := func(reply eventloop.Reply[[]wire.JobStatus]) eventloop.Event {
		return statusesQueried{leader: l, ids: known, reply: reply}
	}
	statuses, ok := eventloop.Call(l.loop, eventloop.Queries, statusQueryTimeout, event)
	// The answer is not authoritative if the lease expired while it was being produced.
	if !ok || !l.holdsLease() {
		return nil
	}
	return statuses
}

// statusesQueried is the event of a query for the statuses of jobs.
type statusesQueried struct {
	leader *Leader
	ids    []string
	reply  eventloop.Reply[[]wire.JobStatus]
}

// Apply replies with the statuses of those jobs whose status is certain.
func (e statusesQueried) Apply() {
	found := make([]wire.JobStatus, 0, len(e.ids))
	for _, id := range e.ids {
		if status, ok := e.leader.status(id); ok {
			found = append(found, status)
		}
	}
	e.reply.Send(found)
}

// KnowsJob reports whether a job is in the cluster state.
func (l *Leader) KnowsJob(id string) bool { return l.intake.Knows(id) }

// PendingTasks returns the number of pending tasks at the last count.
func (l *Leader) PendingTasks() int { return int(l.pendingTasks.Load()) }

// AddJob queues an accepted job for addition to the cluster state.
func (l *Leader) AddJob(job wire.Job) { l.intake.PostJob(job) }

// CancelJob cancels a job and waits up to the given time until its final state is stored. It replies
// 404 if the job is not in the cluster state.
func (l *Leader) CancelJob(id string, within micro.Time) httpapi.Reply {
	return l.cancellations.Cancel(id, within)
}
