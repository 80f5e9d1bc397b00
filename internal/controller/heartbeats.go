package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// endUncertain reports whether the end of a job, or of one that it needs, may be in the
// store without this leader knowing: its write went out, and has no answer yet.
// Another node may have read it there, and told the user.
func (l *Leader) endUncertain(job *cluster.Job) bool {
	if l.records.EndUncertain(job.Spec.ID) {
		return true
	}
	if job.State != cluster.Blocked {
		return false
	}
	visited := map[*cluster.Job]bool{job: true}
	for queue := []*cluster.Job{job}; len(queue) > 0; {
		current := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, id := range current.Spec.Dependencies {
			dependency := l.cluster.Jobs[id]
			if dependency == nil || dependency.IsTerminal() || visited[dependency] {
				continue
			}
			if l.records.EndUncertain(id) {
				return true
			}
			visited[dependency] = true
			queue = append(queue, dependency)
		}
	}
	return false
}

// cancelJob cancels a job: its end is created before anyone is told.
func (l *Leader) cancelJob(id string) httpapi.Reply {
	response, ok := l.callLoop(eventloop.Events, 1500*micro.Millisecond, func(reply func(httpapi.Reply)) {
		job := l.cluster.Jobs[id]
		switch {
		case job == nil:
			reply(httpapi.Reply{Status: 404})
		case job.State == cluster.Done || job.State == cluster.Aborted:
			reply(httpapi.Reply{Status: 200, Body: job.Status()})
		default:
			replies := make(chan httpapi.Reply, 1)
			l.cancellationWaiters[id] = append(l.cancellationWaiters[id], replies)
			go func() {
				select {
				case response := <-replies:
					reply(response)
				case <-l.loop.Done():
				}
			}()
			switch job.State {
			case cluster.Active, cluster.Blocked:
				l.beginCancellation(job)
			case cluster.Assigned:
				l.coordinator.BeginCancellation(job)
			}
		}
	})
	if !ok {
		return httpapi.RetryReply(503, 1)
	}
	return response
}

// jobEnded settles a job whose end is in the store.
func (l *Leader) jobEnded(job *cluster.Job, state wire.JobState) {
	now := l.node.Now()
	l.cluster.FinalizeJob(job, state == wire.JobAborted, now)
	if state == wire.JobDone && len(l.cluster.CatalogOrder) > 0 {
		l.speeds.FinishArray(job.Spec.ID, l.cluster.CatalogOrder[0].Name)
	} else {
		l.speeds.DropSamples(job.Spec.ID)
	}
	if job.AllocationCount > 0 && state == wire.JobAborted {
		l.unconfirmedCancellations[job] = true
	}
	l.log.Info(
		"job over", "job", job.Spec.ID, "state", string(state), "after_s", (now - job.SubmittedAt).Seconds(), "since_s",
		(now - job.EligibleSince).Seconds(),
	)
	for _, ch := range job.Chunks {
		l.ChunkDirty(ch)
	}
	for _, ch := range l.cancellationWaiters[job.Spec.ID] {
		ch <- httpapi.Reply{Status: 200, Body: job.Status()}
	}
	delete(l.cancellationWaiters, job.Spec.ID)
}
