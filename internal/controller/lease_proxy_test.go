package controller

import (
	"context"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/health"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/wire"
)

// A zone is partitioned for a minute together with two controllers. Its agents' leases expired after 30 s, although
// the controllers in the zone could have renewed them.
func TestControllersInAPartitionedZoneRenewItsLeases(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNodeWith("n-0", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "a", []config.Peer{{Node: "n-1", Zone: "b"}, {Node: "n-2", Zone: "b"}}
	})
	waitUntil(t, "node leads", func() bool { return leader.activeLeader() != nil })
	neighbor, _ := env.startNode("n-2")
	now := micro.Minute
	inside, _ := env.startNodeWith("n-1", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "b", []config.Peer{{Node: "n-0", Zone: "a"}, {Node: "n-2", Zone: "b"}}
		node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader), "n-2": env.servePeer(neighbor)})
	})
	waitUntil(t, "node knows the leader", func() bool { return inside.election.Leader() == "n-0" })
	inside.Now = func() micro.Time { return now }
	responseStatus := func(zone string) int {
		fakeAgent := fake.NewAgent("i-9", "small", zone, 30*micro.Second)
		fakeAgent.FencingToken = 77
		reply := inside.Heartbeat(wire.MustMarshal(fakeAgent.Heartbeat()))
		if commands, ok := reply.Body.(wire.Commands); ok &&
			(commands.FencingToken != 77 || commands.Items == nil || len(commands.Items) != 0) {
			t.Fatalf("a lease proxy may only renew the lease, but sent %+v", commands)
		}
		return reply.Status
	}
	waitUntil(t, "node connected to the leader", func() bool { // no answer until the leader first updates its fenced zones
		now += micro.Second
		inside.contactLeader(context.Background())
		return !inside.leaseProxy.Disconnected(now)
	})
	if got := responseStatus("b"); got != 421 {
		t.Fatalf("status %d while the leader is reachable, want 421", got)
	}
	inside.Peers = peer.NewClient(map[string]string{"n-2": env.servePeer(neighbor)})
	now += 6 * micro.Second
	inside.contactLeader(context.Background())
	if got := responseStatus("a"); got == 200 {
		t.Fatal("lease of an agent of another zone renewed")
	}
	if got := responseStatus("b"); got != 200 {
		t.Fatalf("status %d during the partition, want 200", got)
	}
	now += inside.Cfg.LeaseProxyDuration()
	inside.contactLeader(context.Background())
	if got := responseStatus("b"); got != 503 {
		t.Fatalf("status %d after the renewal span, want 503: naming an unreachable leader costs an agent 4 s", got)
	}
}

// A cancellation must not be reported while lease proxies could keep the job's tasks alive beyond cancel_s. It was
// reported at once: if the zone had been partitioned then, its lease proxies would have renewed the leases for longer
// than that.
func TestCancellationIsConfirmedOnceNoProxyCanKeepItsTasksAlive(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "b", []config.Peer{{Node: "n-1", Zone: "a"}, {Node: "n-2", Zone: "a"}}
		node.Cfg.Facts.Zones, node.Cfg.Facts.Workers.CancelS = []string{"a", "b"}, 50
		node.Cfg.SuspectAfter = micro.Minute
	})
	waitUntil(t, "node leads", func() bool { return node.activeLeader() != nil })
	node.Submit(submission("j-9", wire.Service))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		env.runAgents(node, stop)
		close(stopped)
	}()
	waitUntil(t, "job running", func() bool { return jobState(node, "j-9") == wire.JobRunning })
	close(stop)
	<-stopped
	// From here on the agents are unreachable.
	env.agents.mu.Lock()
	unreachable := env.agents.byMachine
	env.agents.byMachine = map[string]*fake.Agent{}
	env.agents.mu.Unlock()
	if reply := node.Cancel("j-9"); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("cancellation confirmed while tasks may still run: %+v", reply)
	}
	if got := jobState(node, "j-9"); got == wire.JobAborted {
		t.Fatal("status query reports the job aborted although the cancellation is not confirmed")
	}
	env.agents.mu.Lock()
	env.agents.byMachine = unreachable
	env.agents.mu.Unlock()
	stop = make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	waitUntil(t, "cancellation confirmed", func() bool { return node.Cancel("j-9").Status == 200 })
}

// If leases are too long for cancel_s, a cancellation must be reported only once the tasks are proven gone: agents may
// be unreachable, and reported at once it would promise what cannot be kept.
func TestCancellationWaitsForConfirmationWhereLeasesAreTooLong(t *testing.T) {
	for _, test := range []struct {
		cancelS float64
		atOnce  bool
	}{{50, true}, {34, false}} {
		fleet := newFleet(t, 2)
		fleet.leader.node.Cfg.Facts.Workers.CancelS = test.cancelS
		job := fleet.leader.cluster.Jobs["j-000000"]
		fleet.leader.cancellations.Begin(job)
		if written := !fleet.leader.cancellations.Pending(job); written != test.atOnce {
			t.Fatalf("cancel_s %v, tasks may still run: final status written: %v", test.cancelS, written)
		}
		for _, fakeAgent := range fleet.agents {
			fleet.heartbeat(fakeAgent) // receives the command to stop
			fleet.heartbeat(fakeAgent)
		}
		fleet.leader.runPending(fleet.now)
		if job.AllocationCount > 0 || fleet.leader.cancellations.Pending(job) {
			t.Fatalf("cancel_s %v, all tasks gone: final status not written", test.cancelS)
		}
	}
}

// A directly dispatched start is delayed by the network, or by a hanging machine, until its job is cancelled. The agent
// may run it as long as it has seen no newer fencing token: when its heartbeat shows the task, it is told to stop it.
// Once it has seen the next token, it refuses the start.
func TestStartDelayedBeyondACancellationEndsWithTheNextResponse(t *testing.T) {
	for _, beforeNextToken := range []bool{true, false} {
		fleet := newFleet(t, 2)
		leader := fleet.leader
		leader.node.Cfg.Facts.Workers.CancelS = 50
		leader.cancellations.Begin(leader.cluster.Jobs["j-000000"])
		for _, fakeAgent := range fleet.agents {
			fleet.heartbeat(fakeAgent)
			fleet.heartbeat(fakeAgent)
		}
		leader.intake.AddJob(
			wire.Job{
				ID: "j-9", Class: "c", Team: "team", Kind: wire.Service, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1,
				Image: "i",
			},
		)
		fleet.now += micro.Second
		leader.scheduler.Schedule(fleet.now)
		job := leader.cluster.Jobs["j-9"]
		leader.cluster.ChunkPersisted(job.Chunk(0), 1<<40)
		allocation := job.Allocations()[0]
		delayed := wire.Commands{
			FencingToken: wire.Count(leader.dispatcher.FencingToken()), AgentEpoch: wire.Count(allocation.Machine.AgentEpoch),
			Items: leader.cluster.Commands(allocation.Machine, leader.dispatcher.FencingToken(), true, fleet.now),
		}
		var fakeAgent *fake.Agent
		for _, candidate := range fleet.agents {
			if candidate.Name == allocation.Machine.Name {
				fakeAgent = candidate
			}
		}
		leader.cancellations.Begin(job)
		if leader.cancellations.Pending(job) || job.AllocationCount != 1 {
			t.Fatal("without lease proxies the final status must be written while the start is in flight")
		}
		fleet.now += micro.Second
		leader.tick(fleet.now)
		if !beforeNextToken {
			fleet.heartbeat(fakeAgent)
		}
		if _, executed := fakeAgent.HandleDispatch(delayed); executed != beforeNextToken {
			t.Fatalf("delayed start executed: %v", executed)
		}
		fleet.heartbeat(fakeAgent)
		for key, task := range fakeAgent.Tasks {
			if key.Task == "j-9/0" && task.State != wire.TaskExited {
				t.Fatalf(
					"before the next token %v: task is %s after a heartbeat response, want it exited", beforeNextToken, task.State,
				)
			}
		}
		fleet.heartbeat(fakeAgent)
		if job.AllocationCount != 0 {
			t.Fatalf("before the next token %v: allocation not released", beforeNextToken)
		}
	}
}

// The final status is written on the assumption that lease proxies get no answer from then on. They were still
// answered until the leader next updated its fenced zones, however late that was.
func TestLeaseProxiesAreFencedOnceTheFinalStatusMayBeWritten(t *testing.T) {
	fleet := newFleet(t, 2)
	cfg := fleet.leader.node.Cfg
	cfg.Facts.Workers.CancelS, cfg.Facts.Zones = 50, []string{"a", "b"}
	fleet.leader.renewalBound = leasekeeper.NewRenewalBound(
		7, fleet.now, cfg.LeaseProxyDuration(), map[string]string{"n-1": "a", "n-2": "a"}, "c",
	)
	fleet.leader.cancellations = newCancellationManager(fleet.leader)
	fleet.now += 40 * micro.Second // no lease proxy sends a request meanwhile
	fleet.leader.updateRenewalBound(fleet.now)
	if fleet.leader.cancellations.ZoneFenced("a") {
		t.Fatal("zone fenced although no final status was written")
	}
	job := fleet.leader.cluster.Jobs["j-000000"]
	fleet.leader.cancellations.Begin(job)
	if fleet.leader.cancellations.Pending(job) || job.AllocationCount == 0 {
		t.Fatal("final status not written although no lease proxy can keep the tasks alive for too long")
	}
	if !fleet.leader.cancellations.ZoneFenced("a") {
		t.Fatal("zone not fenced: a lease proxy that is answered now may keep the tasks alive for too long")
	}
}

// Two nodes lost the store, one of which had led until then. It redirected its agents to the other node, which
// redirected them back.
func TestNodeWithoutTheStoreNamesNoLeaderItCannotReach(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNode("n-0")
	waitUntil(t, "node leads", func() bool { return leader.activeLeader() != nil })
	node, _ := env.startNodeWith("n-1", func(node *Node) { node.Cfg.Peers = []config.Peer{{Node: "n-0"}} })
	waitUntil(t, "node knows the leader", func() bool { return node.election.Leader() == "n-0" })
	responseStatus := func() int {
		return node.Heartbeat(wire.MustMarshal(fake.NewAgent("i-9", "small", "a", 30*micro.Second).Heartbeat())).Status
	}
	node.Now = func() micro.Time { return micro.Minute }
	node.health.Observe(health.ProbeResult{StoreReached: true})
	if got := responseStatus(); got != 421 {
		t.Fatalf("status %d while the store names the leader, though peers are unreachable, want 421", got)
	}
	node.health.Observe(health.ProbeResult{StoreRefused: true})
	if got := responseStatus(); got != 503 {
		t.Fatalf("status %d while the leader is unknown, want 503", got)
	}
}

// A zone is partitioned when a store outage ends. While the leader's lease was expired, it answered no heartbeats at
// all, so the partitioned zone looked no worse than the others and its machines were terminated.
func TestZoneWithoutHeartbeatsBeforeAnOutageIsNotTerminatedAfterIt(t *testing.T) {
	fleet := newFleet(t, 40)
	leader := fleet.leader
	sendHeartbeats := func(zone string) {
		for _, fakeAgent := range fleet.agents {
			if fakeAgent.Zone == zone {
				fleet.heartbeat(fakeAgent)
			}
		}
	}
	advanceSecond := func(zones ...string) {
		fleet.now += micro.Second
		leader.tick(fleet.now)
		leader.sweep(fleet.now)
		for _, z := range zones {
			sendHeartbeats(z)
		}
	}
	for range 20 {
		advanceSecond("a")
	}
	if fleet.machinesInState(cluster.Suspect) != 20 {
		t.Fatalf("%d machines are suspect, want the 20 of the partitioned zone", fleet.machinesInState(cluster.Suspect))
	}
	fleet.now += 15 * micro.Second // store outage: no heartbeat was answered
	for range 3 {
		advanceSecond("a")
	}
	if n := fleet.machinesInState(cluster.Terminating); n > 0 {
		t.Fatalf("%d machines of a partitioned zone are terminating, want none", n)
	}
}

// A partition ends, and the machines of the zone reconnect one heartbeat at a time. When most of them had reconnected,
// the rest looked like a few dead machines and were terminated.
func TestRestOfARecoveringZoneIsNotTerminated(t *testing.T) {
	fleet := newFleet(t, 40)
	advanceSecond := func(sends func(i int, zone string) bool) {
		fleet.now += micro.Second
		fleet.leader.tick(fleet.now)
		fleet.leader.sweep(fleet.now)
		for i, fakeAgent := range fleet.agents {
			if sends(i, fakeAgent.Zone) {
				fleet.heartbeat(fakeAgent)
			}
		}
	}
	for range 20 {
		advanceSecond(func(_ int, zone string) bool { return zone == "a" })
	}
	for range 3 {
		advanceSecond(func(i int, zone string) bool { return zone == "a" || i >= 10 })
	}
	if n := fleet.machinesInState(cluster.Terminating); n > 0 {
		t.Fatalf("%d machines of a recovering zone are terminating, want none", n)
	}
}

// machinesInState returns how many machines of the fleet are in a state.
func (h *fleet) machinesInState(s cluster.MachineState) int {
	count := 0
	for _, m := range h.leader.cluster.Machines {
		if m.State == s {
			count++
		}
	}
	return count
}

// The leader stops while the other zone is partitioned. The nodes of the leader's own zone took their zone for the
// partitioned one and renewed its leases, so the next leader received no heartbeats from half of the machines.
func TestNodesDoNotRenewLeasesWhenTheLeaderOfTheirOwnZoneStopped(t *testing.T) {
	env := newTestCluster(t)
	leader, kill := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "node leads", func() bool { return leader.activeLeader() != nil })
	neighbor, _ := env.startNodeWith("n-2", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	now := micro.Minute
	node, _ := env.startNodeWith("n-1", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "b", []config.Peer{
			{Node: "n-0", Zone: "b"}, {Node: "n-2", Zone: "b"}, {Node: "n-3", Zone: "a"},
		}
		node.election.SuspendCampaign(10 * micro.Minute)
		node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader), "n-2": env.servePeer(neighbor)})
	})
	waitUntil(t, "node knows the leader", func() bool { return node.election.Leader() == "n-0" })
	node.Now = func() micro.Time { return now }
	waitUntil(t, "node connected to the leader", func() bool {
		now += micro.Second
		node.contactLeader(context.Background())
		return !node.leaseProxy.Disconnected(now)
	})
	kill()
	node.Peers = peer.NewClient(map[string]string{"n-2": env.servePeer(neighbor)})
	renews := func() bool {
		now += 5 * micro.Second
		node.contactLeader(context.Background())
		return node.leaseProxy.TryRenew(now)
	}
	if renews() {
		t.Fatal("leases renewed although the store is reachable and another node will lead soon")
	}
	node.health.Observe(health.ProbeResult{})
	if !renews() {
		t.Fatal("no leases renewed although neither the leader nor the store is reachable")
	}
	node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader), "n-2": env.servePeer(neighbor)})
	leader.leader.Store(nil) // its lease expired
	if !renews() {
		t.Fatal("no leases renewed although the old leader answers that it does not lead and the zone is still partitioned")
	}
}
