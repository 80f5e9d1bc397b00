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

// The troubles of a simulation. Each begins and ends by itself, and counts as long as
// it lasts.

// injectFault runs one, and notes when it is over: after a while, or when what it
// returns is called.
func (w *simCluster) injectFault(duration micro.Time, on, off func()) func() {
	w.mu.Lock()
	w.activeFaults++
	w.mu.Unlock()
	on()
	var once sync.Once
	over := func() {
		once.Do(func() {
			off()
			w.mu.Lock()
			w.activeFaults--
			w.mu.Unlock()
		})
	}
	time.AfterFunc(duration.Duration(), over)
	return over
}

// noActiveFaults reports whether no trouble is left.
func (w *simCluster) noActiveFaults() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.activeFaults == 0
}

// storeOutage takes the store from all nodes.
func (w *simCluster) storeOutage(d micro.Time) {
	w.injectFault(d, func() { w.store.SetOutage(true) }, func() { w.store.SetOutage(false) })
}

// refuseNode has the store refuse one node for a while.
func (w *simCluster) refuseNode(controller *controllerProcess, d micro.Time) {
	w.injectFault(d, func() { controller.setRefused(true) }, func() { controller.setRefused(false) })
}

// partitionNode keeps some of its surroundings from a node for a while.
func (w *simCluster) partitionNode(controller *controllerProcess, d micro.Time, what ...string) {
	w.injectFault(
		d, func() { controller.setPartitioned(true, what...) }, func() { controller.setPartitioned(false, what...) },
	)
}

// partitionZone keeps a zone's nodes and agents from everything outside.
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

// disturbCommits has a share of the commits carried out late, or their answers lost: of
// some nodes, or of all if none is named.
func (w *simCluster) disturbCommits(late, lost float64, duration micro.Time, only ...*controllerProcess) {
	if only == nil {
		only = w.controllers
	}
	set := func(a, b float64) func() {
		return func() {
			for _, controller := range only {
				controller.mu.Lock()
				if controller.link != nil {
					controller.link.SetCommitFaultRatios(a, b)
				}
				controller.mu.Unlock()
			}
		}
	}
	w.injectFault(duration, set(late, lost), set(0, 0))
}

// onCommit says what befalls the commits of one process that put a key of a prefix:
// the first of them, the second, and so on.
func (w *simCluster) onCommit(
	controller *controllerProcess, prefix string, fate func(n int, c wire.Change) fake.CommitFault,
) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	var count atomic.Int64
	controller.link.OnCommit(func(t wire.Transaction) fake.CommitFault {
		for _, c := range t.Then {
			if strings.HasPrefix(c.Put, prefix) {
				return fate(int(count.Add(1)), c)
			}
		}
		return fake.CommitFault{}
	})
}

// slowStore makes the store slow for all.
func (w *simCluster) slowStore(delay, d micro.Time) { w.slowStoreFor(w.controllers, delay, d) }

// slowStoreFor makes it slow for some nodes.
func (w *simCluster) slowStoreFor(procs []*controllerProcess, delay, d micro.Time) {
	set := func(x micro.Time) func() {
		return func() {
			for _, controller := range procs {
				controller.mu.Lock()
				if controller.link != nil {
					controller.link.SetDelay(x)
				}
				controller.mu.Unlock()
			}
		}
	}
	w.injectFault(d, set(delay), set(0))
}

// slowAgents makes every heartbeat, direct command and answer of agents take half
// to one and a half times so long.
func (w *simCluster) slowAgents(delay, d micro.Time) {
	set := func(x micro.Time) func() { return func() { w.mu.Lock(); w.agentLatency = x; w.mu.Unlock() } }
	w.injectFault(d, set(delay), set(0))
}

// waitAgentLatency is one way between an agent and a node.
func (w *simCluster) waitAgentLatency() {
	w.mu.Lock()
	d := w.agentLatency
	w.mu.Unlock()
	if d > 0 {
		time.Sleep(w.randomDuration(d/2, d+d/2))
	}
}

// replayHeartbeats has copies of heartbeats come late.
func (w *simCluster) replayHeartbeats(share float64, most, d micro.Time) {
	set := func(s float64, m micro.Time) func() {
		return func() {
			w.mu.Lock()
			w.replayRatio, w.maxReplayDelay = s, m
			w.mu.Unlock()
		}
	}
	w.injectFault(d, set(share, most), set(0, most))
}

// currentReplayRatio is the share of the heartbeats that are copied now.
func (w *simCluster) currentReplayRatio() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replayRatio
}

// holdDispatch has the network hold up the next dispatched command to a machine, until it is
// released: long after its sender gave up, and after what was sent later.
func (h *fakeMachine) holdDispatch() { h.mu.Lock(); h.holdNextDispatch = true; h.mu.Unlock() }

func (h *fakeMachine) interceptDispatch(o wire.Commands) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holdNextDispatch || len(o.Items) == 0 {
		return false
	}
	h.holdNextDispatch, h.heldDispatches = false, append(h.heldDispatches, o)
	return true
}

// releaseDispatches delivers what was held up, and reports whether the machine took it.
func (h *fakeMachine) releaseDispatches() bool {
	h.mu.Lock()
	held := h.heldDispatches
	h.heldDispatches, h.holdNextDispatch = nil, false
	h.mu.Unlock()
	took := false
	for _, o := range held {
		_, ok, there := h.handleDispatch(o)
		took = took || ok && there
	}
	return took
}

func (h *fakeMachine) heldDispatchCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.heldDispatches)
}

// startRecording keeps what all machines report from now on.
func (w *simCluster) startRecording() { w.mu.Lock(); w.recording = true; w.mu.Unlock() }

// replayHeartbeatWithout delivers a copy of the machine's last heartbeat from before a job's task was
// on it to every node, and replayHeartbeatWith one of the last that shows the task.
func (h *fakeMachine) replayHeartbeatWithout(job *userJob) { h.replayHeartbeat(job, false) }

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
		h.sim.t.Fatal("no such report that shows a token")
	}
	for _, controller := range h.sim.controllers {
		if node := controller.runningNode(); node != nil {
			node.Heartbeat(body)
		}
	}
}

// isolate cuts a machine off both ways.
func (h *fakeMachine) isolate(d micro.Time) { h.loseHeartbeats(d); h.loseResponses(d) }

// currentTerm names the term of whoever leads, 0 if nobody does.
func (w *simCluster) currentTerm() uint64 {
	if controller := w.leader(); controller != nil {
		if l := controller.runningNode().activeLeader(); l != nil {
			return l.term.FencingRevision
		}
	}
	return 0
}

// replaceLeader ends the leader's process, which is back after a while, and waits until
// another term has begun.
func (w *simCluster) replaceLeader(back micro.Time) {
	w.t.Helper()
	was := w.currentTerm()
	if was == 0 {
		w.t.Fatal("nobody leads")
	}
	w.restartController(w.leader(), back)
	w.waitUntil("another term", 20*micro.Second, func() bool { x := w.currentTerm(); return x != 0 && x != was })
}

// randomMachines draws machines.
func (w *simCluster) randomMachines(n int) []*fakeMachine {
	machines := w.liveMachines()
	var out []*fakeMachine
	for range min(n, len(machines)) {
		out = append(out, machines[w.randomInt(len(machines))])
	}
	return out
}

// injectRandomFaults draws them until a day is over.
func (w *simCluster) injectRandomFaults(day micro.Time) {
	nothing := func() {}
	for w.now() < day-60*micro.Second && w.ctx.Err() == nil {
		time.Sleep(w.randomDuration(2*micro.Second, 20*micro.Second))
		controller := w.controllers[w.randomInt(len(w.controllers))]
		if leader := w.leader(); leader != nil && w.randomChance(0.7) {
			controller = leader
		}
		duration := micro.Time(w.randomDuration(2*micro.Second, 50*micro.Second) / time.Microsecond)
		w.newLogger("simulation").Debug("trouble drawn", "node", controller.name, "for_s", duration.Seconds())
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
		case 16: // orders held up on their way, and delivered long after
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
