package controller

import (
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// What the leader does for the job API of its node; any goroutine may call it.

// statusQueryTimeout is how long queries wait for their turn of the loop before the asker
// reads the store.
const statusQueryTimeout = 400 * micro.Millisecond

// Statuses answers status queries from memory, in one turn of the loop. Of IDs that are not in
// the state the loop, which has agents to answer, is not asked; that alone is no
// reason to deny a job.
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
	// The lease may have lapsed meanwhile: then nothing may be said.
	if !ok || !l.holdsLease() {
		return nil
	}
	return statuses
}

// statusesQueried asks for the statuses of jobs.
type statusesQueried struct {
	leader *Leader
	ids    []string
	reply  eventloop.Reply[[]wire.JobStatus]
}

// Apply answers for the jobs whose status is certain.
func (e statusesQueried) Apply() {
	found := make([]wire.JobStatus, 0, len(e.ids))
	for _, id := range e.ids {
		if job := e.leader.cluster.Jobs[id]; job != nil && !e.leader.endUncertain(job) {
			status := job.Status()
			status.Dependencies = e.leader.cluster.PendingDependencies(job)
			found = append(found, status)
		}
	}
	e.reply.Send(found)
}

// KnowsJob reports whether a job is in the state.
func (l *Leader) KnowsJob(id string) bool { return l.intake.Knows(id) }

// PendingTasks is how many tasks waited when they were last counted.
func (l *Leader) PendingTasks() int { return int(l.pendingTasks.Load()) }

// AddJob takes in a job that was accepted.
func (l *Leader) AddJob(job wire.Job) { l.intake.PostJob(job) }

// CancelJob cancels a job, and waits for so long until that is certain; 404 if it is not in
// memory.
func (l *Leader) CancelJob(id string, within micro.Time) httpapi.Reply {
	return l.cancellations.Cancel(id, within)
}
