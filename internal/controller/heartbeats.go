package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// maxDispatchesInFlight bounds the direct orders under way: each takes a socket.
const maxDispatchesInFlight = 96

// endUncertain reports whether the end of a job, or of one that it needs, may be in the
// store without this leader knowing: its write went out, and has no answer yet.
// Another node may have read it there, and told the user.
func (l *Leader) endUncertain(job *cluster.Job) bool {
	if l.records.endUncertain(job.Spec.ID) {
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
			if l.records.endUncertain(id) {
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
				l.beginShardCancellation(job)
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

// maxCommands bounds the orders in one message.
const maxCommands = 400

// handleHeartbeat answers a worker's report.
func (l *Leader) handleHeartbeat(heartbeat *wire.Heartbeat) httpapi.Reply {
	receivedAt := l.node.Now()
	response, ok := l.callLoop(eventloop.Events, 2*micro.Second, func(reply func(httpapi.Reply)) {
		now := l.node.Now()
		if !l.holdsLease() || l.refusesHeartbeat(heartbeat) {
			reply(httpapi.RetryReply(503, 1))
			return
		}
		l.heartbeatsReceived++
		l.observeQueueDelay(now-receivedAt, now)
		machine, outcome := l.cluster.Reconcile(heartbeat, cluster.FromHeartbeat, now)
		if machine == nil || outcome == cluster.Refused ||
			outcome == cluster.Stale && uint64(heartbeat.AgentEpoch) != machine.AgentEpoch {
			reply(httpapi.RetryReply(503, 1))
			return
		}
		if machine.WouldProveAlive(l.fencingToken) {
			l.pendingDispatch[machine] = true
		}
		commands := l.cluster.Commands(machine, l.fencingToken, false, now)
		if len(commands) > maxCommands {
			commands = commands[:maxCommands]
		}
		if now-receivedAt < promptResponseLimit {
			l.cluster.ResponseSent(machine, l.fencingToken)
		} else {
			l.cluster.ResponseSent(machine, 0) // the worker may have given up waiting
		}
		reply(httpapi.Reply{Status: 200, Body: wire.Commands{FencingToken: wire.Count(l.fencingToken), Items: commands}})
	})
	if !ok {
		return httpapi.RetryReply(503, 1)
	}
	return response
}

// promptResponseLimit is how soon an answer must be ready to count as one that the worker
// takes.
const promptResponseLimit = micro.Second

// dispatch sends a machine its orders without waiting for its next report.
func (l *Leader) dispatch(machine *cluster.Machine, now micro.Time) {
	unproven := machine.WouldProveAlive(l.fencingToken)
	if machine.State != cluster.Up && !unproven || machine.Addr == "" {
		return
	}
	if machine.DispatchInFlight {
		machine.DispatchPending = true
		return
	}
	if machine.NextDispatchAt > now {
		return // the next report brings them
	}
	var commands []wire.Command
	if unproven {
		// Its next report, which would show the token, may be long in coming: a
		// worker reports at once of a newer token only now and then. An answer
		// to an empty order shows it as well.
		commands = []wire.Command{}
	} else if commands = l.cluster.Commands(machine, l.fencingToken, true, now); len(commands) == 0 {
		return
	}
	if len(commands) > maxCommands {
		commands = commands[:maxCommands]
	}
	machine.DispatchInFlight, machine.DispatchPending = true, false
	l.dispatchesInFlight++
	message := wire.Commands{
		FencingToken: wire.Count(l.fencingToken), AgentEpoch: wire.Count(machine.AgentEpoch), Items: commands,
	}
	addr := machine.Addr
	go func() {
		if !l.holdsLease() {
			l.post(func() { l.dispatchesInFlight--; machine.DispatchInFlight = false })
			return
		}
		heartbeat, executed, err := l.node.Agent.Send(addr, message)
		l.post(func() {
			machine.DispatchInFlight = false
			l.dispatchesInFlight--
			now := l.node.Now()
			if err != nil {
				l.log.Debug("direct orders", "machine", machine.Name, "err", err)
				machine.NextDispatchAt, machine.DispatchUnanswered = now+2*micro.Second, true
				return
			}
			if heartbeat.Machine == machine.Name {
				l.cluster.Reconcile(heartbeat, cluster.FromDispatchResponse, now)
			}
			if machine.DispatchPending || !executed {
				l.pendingDispatch[machine] = true
			}
			if !executed {
				machine.NextDispatchAt = now + 500*micro.Millisecond
			}
		})
	}()
}
