package controller

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The faults of a simulation. Each ends after its duration, and is counted in
// simCluster.activeFaults until then.

// injectFault starts a fault with on, and ends it with off after the duration, or
// earlier when the returned function is called.
func (w *simCluster) injectFault(duration micro.Time, on, off func()) func() {
	w.mu.Lock()
	w.activeFaults++
	w.mu.Unlock()
	on()
	var once sync.Once
	end := func() {
		once.Do(func() {
			off()
			w.mu.Lock()
			w.activeFaults--
			w.mu.Unlock()
		})
	}
	time.AfterFunc(duration.Duration(), end)
	return end
}

// noActiveFaults reports whether all faults have ended.
func (w *simCluster) noActiveFaults() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.activeFaults == 0
}

// storeOutage makes the store unavailable to all controllers.
func (w *simCluster) storeOutage(d micro.Time) {
	w.injectFault(d, func() { w.store.SetOutage(true) }, func() { w.store.SetOutage(false) })
}

// refuseNode makes the store refuse the requests of one controller for the duration.
func (w *simCluster) refuseNode(controller *controllerProcess, d micro.Time) {
	w.injectFault(d, func() { controller.setRefused(true) }, func() { controller.setRefused(false) })
}

// partitionNode cuts connections of a controller ("state", "peers", "workers", "users", "cloud") for the duration.
func (w *simCluster) partitionNode(controller *controllerProcess, d micro.Time, connections ...string) {
	w.injectFault(
		d,
		func() { controller.setPartitioned(true, connections...) },
		func() { controller.setPartitioned(false, connections...) },
	)
}

// partitionZone partitions the controllers and agents of a zone from everything outside it, for the duration
// or until the returned function is called.
func (w *simCluster) partitionZone(zone string, d micro.Time) func() {
	set := func(on bool) func() {
		return func() {
			w.mu.Lock()
			w.partitionedZones[zone] = on
			w.mu.Unlock()
			for _, controller := range w.controllers {
				if controller.zone == zone {
					controller.setPartitioned(on, "state", "users", "cloud")
				}
			}
		}
	}
	return w.injectFault(d, set(true), set(false))
}

// disturbCommits executes a fraction (late) of the commits late and loses the responses to another
// fraction (lost): commits of the given controllers, or of all if none is given.
func (w *simCluster) disturbCommits(late, lost float64, duration micro.Time, only ...*controllerProcess) {
	if only == nil {
		only = w.controllers
	}
	set := func(lateRatio, lostRatio float64) func() {
		return func() {
			for _, controller := range only {
				controller.mu.Lock()
				if controller.link != nil {
					controller.link.SetCommitFaultRatios(lateRatio, lostRatio)
				}
				controller.mu.Unlock()
			}
		}
	}
	w.injectFault(duration, set(late, lost), set(0, 0))
}

// onCommit sets the faults of those commits of one process that put a key with the prefix. fault is called
// with the number of the commit, from 1, and its first such change.
func (w *simCluster) onCommit(
	controller *controllerProcess, prefix string, fault func(n int, c wire.Change) fake.CommitFault,
) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	var count atomic.Int64
	controller.link.OnCommit(func(t wire.Transaction) fake.CommitFault {
		for _, c := range t.Then {
			if strings.HasPrefix(c.Put, prefix) {
				return fault(int(count.Add(1)), c)
			}
		}
		return fake.CommitFault{}
	})
}

// slowStore is slowStoreFor all controllers.
func (w *simCluster) slowStore(delay, d micro.Time) { w.slowStoreFor(w.controllers, delay, d) }

// slowStoreFor adds latency to the store requests of the given controllers: 0.25 to 0.75 times the delay, drawn
// separately for the request and for the response.
func (w *simCluster) slowStoreFor(procs []*controllerProcess, delay, d micro.Time) {
	set := func(value micro.Time) func() {
		return func() {
			for _, controller := range procs {
				controller.mu.Lock()
				if controller.link != nil {
					controller.link.SetDelay(value)
				}
				controller.mu.Unlock()
			}
		}
	}
	w.injectFault(d, set(delay), set(0))
}

// slowAgents delays each message between agents and controllers (heartbeats, direct commands and the
// responses to them) by a random time from 0.5 to 1.5 times the delay.
func (w *simCluster) slowAgents(delay, d micro.Time) {
	set := func(value micro.Time) func() { return func() { w.mu.Lock(); w.agentLatency = value; w.mu.Unlock() } }
	w.injectFault(d, set(delay), set(0))
}

// waitAgentLatency waits for the latency of one message between an agent and a controller.
func (w *simCluster) waitAgentLatency() {
	w.mu.Lock()
	d := w.agentLatency
	w.mu.Unlock()
	if d > 0 {
		time.Sleep(w.randomDuration(d/2, d+d/2))
	}
}

// replayHeartbeats replays a fraction of the heartbeats, each up to maxDelay later.
func (w *simCluster) replayHeartbeats(ratio float64, maxDelay, d micro.Time) {
	set := func(newRatio float64, newMaxDelay micro.Time) func() {
		return func() {
			w.mu.Lock()
			w.replayRatio, w.maxReplayDelay = newRatio, newMaxDelay
			w.mu.Unlock()
		}
	}
	w.injectFault(d, set(ratio, maxDelay), set(0, maxDelay))
}

// currentReplayRatio returns the fraction of the heartbeats that are replayed.
func (w *simCluster) currentReplayRatio() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replayRatio
}

// holdDispatch makes the network hold back the next dispatched commands to a machine until they are
// released: long after their sender has timed out, and after commands that were sent later.
func (h *fakeMachine) holdDispatch() { h.mu.Lock(); h.holdNextDispatch = true; h.mu.Unlock() }

// interceptDispatch holds commands back if holdDispatch was called, and reports whether it did.
func (h *fakeMachine) interceptDispatch(commands wire.Commands) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holdNextDispatch || len(commands.Items) == 0 {
		return false
	}
	h.holdNextDispatch, h.heldDispatches = false, append(h.heldDispatches, commands)
	return true
}

// releaseDispatches delivers the commands that were held back, and reports whether the agent accepted any.
func (h *fakeMachine) releaseDispatches() bool {
	h.mu.Lock()
	held := h.heldDispatches
	h.heldDispatches, h.holdNextDispatch = nil, false
	h.mu.Unlock()
	accepted := false
	for _, commands := range held {
		_, applied, up := h.handleDispatch(commands)
		accepted = accepted || applied && up
	}
	return accepted
}

func (h *fakeMachine) heldDispatchCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.heldDispatches)
}

// startRecording keeps the heartbeats that all machines send from now on.
func (w *simCluster) startRecording() { w.mu.Lock(); w.recording = true; w.mu.Unlock() }

// replayHeartbeatWithout delivers a copy of the machine's last heartbeat before it lists a task of the job
// to every controller.
func (h *fakeMachine) replayHeartbeatWithout(job *userJob) { h.replayHeartbeat(job, false) }

// replayHeartbeatWith delivers a copy of the machine's last heartbeat that lists a task of the job to every
// controller.
func (h *fakeMachine) replayHeartbeatWith(job *userJob) { h.replayHeartbeat(job, true) }

func (h *fakeMachine) replayHeartbeat(job *userJob, with bool) {
	h.sim.t.Helper()
	var body []byte
	h.mu.Lock()
	for _, r := range h.sentHeartbeats {
		if bytes.Contains(r, []byte(job.id+"/")) == with {
			body = r
		} else if body != nil {
			break
		}
	}
	h.mu.Unlock()
	if r, err := wire.DecodeHeartbeat(body); err != nil || r.FencingToken == 0 {
		h.sim.t.Fatal("no matching recorded heartbeat with a fencing token to replay")
	}
	for _, controller := range h.sim.controllers {
		if node := controller.runningNode(); node != nil {
			node.Heartbeat(body)
		}
	}
}

// isolate loses the messages of a machine in both directions.
func (h *fakeMachine) isolate(d micro.Time) { h.loseHeartbeats(d); h.loseResponses(d) }

// currentTerm returns the fencing revision of the current leader's term, or 0 if there is no leader.
func (w *simCluster) currentTerm() uint64 {
	if controller := w.leader(); controller != nil {
		if l := controller.runningNode().activeLeader(); l != nil {
			return l.term.FencingRevision
		}
	}
	return 0
}

// replaceLeader kills the leader's process, which restarts after the delay, and waits until
// another term begins.
func (w *simCluster) replaceLeader(restartDelay micro.Time) {
	w.t.Helper()
	previous := w.currentTerm()
	if previous == 0 {
		w.t.Fatal("no controller leads")
	}
	w.restartController(w.leader(), restartDelay)
	w.waitUntil("another term", 20*micro.Second, func() bool { x := w.currentTerm(); return x != 0 && x != previous })
}

// randomMachines draws up to n live machines; a machine may be drawn more than once.
func (w *simCluster) randomMachines(n int) []*fakeMachine {
	machines := w.liveMachines()
	var out []*fakeMachine
	for range min(n, len(machines)) {
		out = append(out, machines[w.randomInt(len(machines))])
	}
	return out
}

// injectRandomFaults draws faults until 60 s before the time end.
func (w *simCluster) injectRandomFaults(end micro.Time) {
	nothing := func() {}
	for w.now() < end-60*micro.Second && w.ctx.Err() == nil {
		time.Sleep(w.randomDuration(2*micro.Second, 20*micro.Second))
		controller := w.controllers[w.randomInt(len(w.controllers))]
		if leader := w.leader(); leader != nil && w.randomChance(0.7) {
			controller = leader
		}
		duration := micro.Time(w.randomDuration(2*micro.Second, 50*micro.Second) / time.Microsecond)
		w.newLogger("simulation").Debug("fault drawn", "node", controller.name, "for_s", duration.Seconds())
		switch w.randomInt(18) {
		case 0:
			w.storeOutage(micro.Time(w.randomDuration(2*micro.Second, 70*micro.Second) / time.Microsecond))
		case 1:
			w.refuseNode(controller, duration)
			if w.randomChance(0.5) {
				time.Sleep(w.randomDuration(0, 8*micro.Second))
				w.storeOutage(micro.Time(w.randomDuration(50*micro.Second, 70*micro.Second) / time.Microsecond))
			}
		case 2, 3:
			after := micro.Time(w.randomDuration(100*micro.Millisecond, 8*micro.Second) / time.Microsecond)
			w.injectFault(after+micro.Second, func() { w.restartController(controller, after) }, nothing)
		case 4:
			after := micro.Time(w.randomDuration(100*micro.Millisecond, 40*micro.Second) / time.Microsecond)
			w.injectFault(after+10*micro.Second, func() {
				for _, controller := range w.controllers {
					w.restartController(controller, after+micro.Time(w.randomDuration(0, micro.Second)/time.Microsecond))
				}
			}, nothing)
		case 5:
			w.partitionNode(controller, duration, "state", "peers")
		case 6:
			w.partitionNode(
				controller,
				duration,
				[][]string{{"workers"}, {"peers"}, {"state"}, {"state", "peers", "workers", "users", "cloud"}}[w.randomInt(4)]...)
		case 7:
			w.partitionZone([]string{"a", "b"}[w.randomInt(2)], duration)
		case 8:
			w.disturbCommits(0.3, 0, duration)
		case 9:
			w.disturbCommits(0, 0.3, duration)
		case 10:
			w.slowStore(600*micro.Millisecond, duration)
		case 11:
			w.replayHeartbeats(0.2, 45*micro.Second, duration)
		case 12:
			machines := w.randomMachines(3)
			w.injectFault(duration, func() {
				for _, machine := range machines {
					machine.hang(duration)
				}
			}, nothing)
		case 13:
			machines := w.randomMachines(2)
			w.injectFault(duration, func() {
				for _, machine := range machines {
					if w.randomChance(0.5) {
						machine.loseResponses(duration)
					} else {
						machine.loseHeartbeats(duration)
					}
				}
			}, nothing)
		case 14:
			for _, machine := range w.randomMachines(1) {
				machine.terminate()
			}
		case 15:
			w.injectFault(duration, func() { controller.freeze(duration) }, nothing)
		case 16: // the network holds commands back and delivers them late
			machines := w.randomMachines(3)
			w.injectFault(duration, func() {
				for _, machine := range machines {
					machine.holdDispatch()
				}
			}, func() {
				for _, machine := range machines {
					machine.releaseDispatches()
				}
			})
		case 17:
			if w.randomChance(0.3) {
				for _, machine := range w.liveMachines() {
					if w.randomChance(0.8) {
						machine.terminate()
					}
				}
			}
		}
	}
}
