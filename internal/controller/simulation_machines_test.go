package controller

import (
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// fakeMachine is a machine of the simulated cloud with its agent.
type fakeMachine struct {
	sim *simCluster

	mu                  sync.Mutex
	agent               *fake.Agent
	booted              bool
	terminated          bool
	hungUntil           micro.Time                     // end of its hang
	responsesLostUntil  micro.Time                     // messages to it are lost until then
	heartbeatsLostUntil micro.Time                     // its heartbeats are lost until then
	holdNextDispatch    bool                           // the network holds back the next dispatched commands
	heldDispatches      []wire.Commands                // commands that the network holds back
	sentHeartbeats      [][]byte                       // recorded heartbeats, in the order of sending
	stateSince          map[fake.AttemptKey]micro.Time // when each task entered its current state
	controllerIndex     int                            // controller that it sends heartbeats to
	sending             bool                           // a heartbeat awaits its response
	nextHeartbeat       micro.Time
	lastHeartbeat       micro.Time
	changed             bool // the next heartbeat is sent early, since the state changed
}

// imageFetchTime is the time that fetching an image takes.
const imageFetchTime = micro.Second

// boot starts the agent, unless the machine is terminated.
func (h *fakeMachine) boot() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.terminated {
		return
	}
	h.booted = true
	h.agent.LeaseStart = h.sim.now()
	h.agent.RefuseStart = h.refusalCause
}

// terminate ends the machine together with its tasks.
func (h *fakeMachine) terminate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.terminated = true
	clear(h.agent.Tasks)
	h.updateChecker()
}

func (h *fakeMachine) isUp() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.booted && !h.terminated }

func (h *fakeMachine) responsesLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sim.now() < h.responsesLostUntil
}

func (h *fakeMachine) heartbeatsLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sim.now() < h.heartbeatsLostUntil
}

// hang pauses the machine for the duration: its tasks make no progress and it neither sends nor handles
// messages, but the lease of its agent expires.
func (h *fakeMachine) hang(d micro.Time) {
	h.mu.Lock()
	h.hungUntil = h.sim.now() + d
	h.mu.Unlock()
}

// loseResponses loses all messages to the machine for the duration.
func (h *fakeMachine) loseResponses(d micro.Time) {
	h.mu.Lock()
	h.responsesLostUntil = h.sim.now() + d
	h.mu.Unlock()
}

// loseHeartbeats loses all heartbeats of the machine for the duration.
func (h *fakeMachine) loseHeartbeats(d micro.Time) {
	h.mu.Lock()
	h.heartbeatsLostUntil = h.sim.now() + d
	h.mu.Unlock()
}

// waitWhileHung waits until the end of a hang.
func (h *fakeMachine) waitWhileHung() {
	for {
		h.mu.Lock()
		d := h.hungUntil - h.sim.now()
		h.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d.Duration())
	}
}

// refusalCause returns the cause for which the agent refuses to start a task, "" if it does not.
func (h *fakeMachine) refusalCause(task string) wire.ExitCause {
	id, _, _ := wire.ParseTaskName(task)
	spec, ok := h.sim.checker.spec(id)
	if !ok {
		return wire.CauseJobUnknown
	}
	freeCPUs := h.sim.checker.machineTypes[h.agent.Type].CPUs
	for key, t := range h.agent.Tasks {
		if t.State == wire.TaskExited {
			continue
		}
		if key.Task == task {
			return wire.CauseAlreadyRunning
		}
		other, _, _ := wire.ParseTaskName(key.Task)
		o, _ := h.sim.checker.spec(other)
		freeCPUs -= o.CPUs
	}
	if freeCPUs < spec.CPUs-1e-9 {
		return wire.CauseNoResources
	}
	return ""
}

// handleDispatch handles dispatched commands. It returns the agent's answer and whether the agent accepted the
// commands; the last result is false if no agent runs.
func (h *fakeMachine) handleDispatch(commands wire.Commands) (*wire.Heartbeat, bool, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.booted || h.terminated {
		return nil, false, false
	}
	h.expireLease()
	previousToken := h.agent.FencingToken
	heartbeat, ok := h.agent.HandleDispatch(commands)
	h.changed = h.changed || h.agent.FencingToken > previousToken
	h.updateChecker()
	return heartbeat, ok, true
}

// status returns the response to a probe, or false if no agent runs.
func (h *fakeMachine) status() (*wire.Heartbeat, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.booted || h.terminated {
		return nil, false
	}
	h.expireLease()
	return h.agent.Heartbeat(), true
}

// expireLease ends the agent's session if its lease has expired; the caller holds the lock.
func (h *fakeMachine) expireLease() {
	if h.agent.ExpireLease(h.sim.now()) {
		h.changed = true
		h.updateChecker()
	}
}

// updateChecker records the start and removal of tasks and passes the tasks of the machine to the checker; the
// caller holds the lock.
func (h *fakeMachine) updateChecker() {
	now := h.sim.now()
	for key, task := range h.agent.Tasks {
		if _, ok := h.stateSince[key]; !ok && task.State != wire.TaskExited {
			h.stateSince[key] = now
			h.changed = true
			if h.sim.onTaskStart != nil {
				h.sim.onTaskStart(h, key)
			}
		}
	}
	for key := range h.stateSince {
		if h.agent.Tasks[key] == nil {
			delete(h.stateSince, key)
		}
	}
	h.sim.checker.observeMachine(h)
}

// step advances the machine to the current time; it is called every 100 ms.
func (h *fakeMachine) step() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.sim.now()
	if !h.booted || h.terminated {
		return
	}
	h.expireLease()
	if now < h.hungUntil {
		return
	}
	for key, task := range h.agent.Tasks {
		id, index, _ := wire.ParseTaskName(key.Task)
		record := h.sim.checker.jobNamed(id)
		if record == nil {
			continue
		}
		switch {
		case task.State == wire.TaskFetching && now-h.stateSince[key] >= imageFetchTime:
			task.State = wire.TaskRunning
			if record.spec.Kind == wire.Gang {
				task.State = wire.TaskWaitingForGang
			}
			h.stateSince[key], h.changed = now, true
		case task.State == wire.TaskRunning && record.alwaysFails && now-h.stateSince[key] >= micro.Second:
			h.exitTask(key, task, wire.CauseError)
		case task.State == wire.TaskRunning && record.spec.Kind == wire.JobArray && now-h.stateSince[key] >= record.runTime+micro.Time(index)*record.runTimeStep:
			h.exitTask(key, task, wire.CauseDone)
			h.sim.checker.recordCompletion(id, index)
		}
	}
	h.updateChecker()
	if !h.sending && (now >= h.nextHeartbeat || h.changed && now-h.lastHeartbeat >= 500*micro.Millisecond) {
		h.sending, h.changed, h.lastHeartbeat = true, false, now
		heartbeat := h.agent.Heartbeat()
		if h.sim.isRecording() {
			h.sentHeartbeats = append(h.sentHeartbeats, wire.MustMarshal(heartbeat))
		}
		go h.sendHeartbeat(heartbeat, wire.MustMarshal(heartbeat), now)
	}
}

// exitTask ends a task with a cause; the caller holds the lock.
func (h *fakeMachine) exitTask(key fake.AttemptKey, t *wire.TaskStatus, cause wire.ExitCause) {
	t.State, t.Cause = wire.TaskExited, cause
	h.changed = true
}

// sendHeartbeat sends one heartbeat and handles the response. Without one, the machine sends the next heartbeat
// to another controller.
func (h *fakeMachine) sendHeartbeat(heartbeat *wire.Heartbeat, body []byte, sent micro.Time) {
	sim := h.sim
	h.mu.Lock()
	to := sim.controllers[h.controllerIndex]
	h.mu.Unlock()
	var reply httpapi.Reply
	ok := false
	if h.heartbeatsLost() || sim.isPartitioned(h.agent.Zone, to.zone) {
		time.Sleep(4 * time.Second)
	} else {
		reply, ok = sim.callNode(to, "workers", 4*time.Second, func(node *Node) httpapi.Reply {
			sim.waitAgentLatency()
			defer sim.waitAgentLatency()
			return node.Heartbeat(body)
		})
		if sim.randomChance(sim.currentReplayRatio()) {
			sim.replayHeartbeat(body)
		}
		if h.responsesLost() || sim.isPartitioned(h.agent.Zone, to.zone) {
			time.Sleep(max(0, 4*time.Second-(sim.now()-sent).Duration()))
			ok = false
		}
	}
	h.waitWhileHung()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := sim.now()
	h.sending = false
	wait := micro.FromSeconds(heartbeatS*0.75) + micro.Time(
		sim.randomDuration(0, micro.FromSeconds(heartbeatS/2.))/time.Microsecond,
	)
	h.nextHeartbeat = now + wait
	if h.terminated {
		return
	}
	h.expireLease()
	late := now-sent > 4*micro.Second
	switch answer := reply.Body.(type) {
	case wire.Commands:
		if ok && !late && reply.Status == 200 {
			if h.agent.Epoch == uint64(heartbeat.AgentEpoch) {
				previousToken := h.agent.FencingToken
				h.agent.HandleResponse(answer, sent)
				h.changed = h.changed || h.agent.FencingToken > previousToken
				h.updateChecker()
			}
			return
		}
	case wire.NotLeader:
		if ok && !late && reply.Status == 421 {
			for i, controller := range sim.controllers {
				if controller.name == answer.LeaderHint && i != h.controllerIndex {
					h.controllerIndex, h.nextHeartbeat = i, now+200*micro.Millisecond
					return
				}
			}
		}
	}
	sim.unansweredHeartbeats.Add(1)
	h.controllerIndex, h.nextHeartbeat = (h.controllerIndex+1)%len(sim.controllers), now+micro.Second
}

// replayHeartbeat delivers a copy of a heartbeat again: after a random delay to a random controller, or to
// all controllers once another leader is active, at the latest after a minute.
func (w *simCluster) replayHeartbeat(body []byte) {
	w.mu.Lock()
	maxDelay := w.maxReplayDelay
	w.mu.Unlock()
	if maxDelay == 0 {
		return
	}
	if w.randomChance(0.5) {
		previous := w.leader()
		go func() {
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				if leader := w.leader(); w.ctx.Err() != nil || leader != nil && leader != previous {
					break
				}
			}
			for _, controller := range w.controllers {
				if node := controller.runningNode(); node != nil && w.ctx.Err() == nil {
					node.Heartbeat(body)
				}
			}
		}()
		return
	}
	time.AfterFunc(w.randomDuration(2*micro.Second, maxDelay), func() {
		if node := w.controllers[w.randomInt(len(w.controllers))].runningNode(); node != nil && w.ctx.Err() == nil {
			node.Heartbeat(body)
		}
	})
}

// runGangs advances the tasks of gangs: a gang runs once all its tasks wait for it. Tasks exit when the
// gang stays incomplete for 40 s, or for 5 s while they run.
func (w *simCluster) runGangs() {
	type member struct {
		machine *fakeMachine
		key     fake.AttemptKey
		index   int
	}
	type attempt struct {
		id     string
		number uint64
	}
	now := w.now()
	all := map[attempt][]member{}
	for _, machine := range w.liveMachines() {
		machine.mu.Lock()
		for key, task := range machine.agent.Tasks {
			id, index, _ := wire.ParseTaskName(key.Task)
			if record := w.checker.jobNamed(
				id,
			); record != nil && record.spec.Kind == wire.Gang && (task.State == wire.TaskWaitingForGang || task.State == wire.TaskRunning) &&
				now >= machine.hungUntil {
				all[attempt{id, key.Attempt}] = append(all[attempt{id, key.Attempt}], member{machine, key, index})
			}
		}
		machine.mu.Unlock()
	}
	for a, ms := range all {
		record := w.checker.jobNamed(a.id)
		complete := len(ms) == record.spec.Tasks
		for _, m := range ms {
			m.machine.mu.Lock()
			task := m.machine.agent.Tasks[m.key]
			switch {
			case task == nil || task.State == wire.TaskExited:
			case task.State == wire.TaskWaitingForGang && complete:
				task.State, m.machine.stateSince[m.key], m.machine.changed = wire.TaskRunning, now, true
			case task.State == wire.TaskWaitingForGang && now-m.machine.stateSince[m.key] > 40*micro.Second:
				m.machine.exitTask(m.key, task, wire.CauseGangTimeout)
			case task.State == wire.TaskRunning && !complete && now-m.machine.stateSince[m.key] > 5*micro.Second:
				m.machine.exitTask(m.key, task, wire.CauseGangPeerLost)
			case task.State == wire.TaskRunning && complete && now-m.machine.stateSince[m.key] >= record.runTime:
				m.machine.exitTask(m.key, task, wire.CauseDone)
				for i := range record.spec.Tasks {
					w.checker.recordCompletion(a.id, i)
				}
			}
			m.machine.updateChecker()
			m.machine.mu.Unlock()
		}
	}
}
