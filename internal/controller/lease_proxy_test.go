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

// A zone was cut off for a minute. Its agents' leases ran out after half of it,
// though two controllers were there with them.
func TestControllersInAPartitionedZoneRenewItsLeases(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNodeWith("n-0", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "a", []config.Peer{{Node: "n-1", Zone: "b"}, {Node: "n-2", Zone: "b"}}
	})
	waitUntil(t, "leading", func() bool { return leader.activeLeader() != nil })
	neighbor, _ := env.startNode("n-2")
	now := micro.Minute
	inside, _ := env.startNodeWith("n-1", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "b", []config.Peer{{Node: "n-0", Zone: "a"}, {Node: "n-2", Zone: "b"}}
		node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader), "n-2": env.servePeer(neighbor)})
	})
	waitUntil(t, "leader known", func() bool { return inside.election.Leader() == "n-0" })
	inside.Now = func() micro.Time { return now }
	report := func(zone string) int {
		fakeAgent := fake.NewAgent("i-9", "small", zone, 30*micro.Second)
		fakeAgent.FencingToken = 77
		reply := inside.Heartbeat(wire.MustMarshal(fakeAgent.Heartbeat()))
		if commands, ok := reply.Body.(wire.Commands); ok &&
			(commands.FencingToken != 77 || commands.Items == nil || len(commands.Items) != 0) {
			t.Fatalf("a keeper may only renew: %+v", commands)
		}
		return reply.Status
	}
	waitUntil(t, "in touch", func() bool { // barred until the leader's first look around
		now += micro.Second
		inside.contactLeader(context.Background())
		return !inside.leaseProxy.Disconnected(now)
	})
	if got := report("b"); got != 421 {
		t.Fatalf("the leader is there: status %d", got)
	}
	inside.Peers = peer.NewClient(map[string]string{"n-2": env.servePeer(neighbor)})
	now += 6 * micro.Second
	inside.contactLeader(context.Background())
	if got := report("a"); got == 200 {
		t.Fatal("a worker of another zone is not this one's to keep")
	}
	if got := report("b"); got != 200 {
		t.Fatalf("status %d in the cut", got)
	}
	now += inside.Cfg.LeaseProxyDuration()
	inside.contactLeader(context.Background())
	if got := report("b"); got != 503 {
		t.Fatalf("status %d once the span is over: naming a leader out of reach costs a worker 4 s", got)
	}
}

// A user was told that a job was cancelled; had the zone been cut off then, its
// lease proxies would have kept the job's tasks alive for longer than a cancellation
// may take.
func TestCancellationIsConfirmedOnceNoProxyCanKeepItsTasksAlive(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith("n-0", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "b", []config.Peer{{Node: "n-1", Zone: "a"}, {Node: "n-2", Zone: "a"}}
		node.Cfg.Facts.Zones, node.Cfg.Facts.Workers.CancelS = []string{"a", "b"}, 50
		node.Cfg.SuspectAfter = micro.Minute
	})
	waitUntil(t, "leading", func() bool { return node.activeLeader() != nil })
	node.Submit(submission("j-9", wire.Service))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		env.runAgents(node, stop)
		close(stopped)
	}()
	waitUntil(t, "running", func() bool { return jobState(node, "j-9") == wire.JobRunning })
	close(stop)
	<-stopped
	// The agents are out of reach from here on.
	env.agents.mu.Lock()
	unreachable := env.agents.byMachine
	env.agents.byMachine = map[string]*fake.Agent{}
	env.agents.mu.Unlock()
	if reply := node.Cancel("j-9"); reply.Status != 503 || reply.RetryAfter == 0 {
		t.Fatalf("its tasks may run on: %+v", reply)
	}
	if got := jobState(node, "j-9"); got == wire.JobAborted {
		t.Fatal("a poll tells the user what the withdrawal does not")
	}
	env.agents.mu.Lock()
	env.agents.byMachine = unreachable
	env.agents.mu.Unlock()
	stop = make(chan struct{})
	defer close(stop)
	go env.runAgents(node, stop)
	waitUntil(t, "confirmed", func() bool { return node.Cancel("j-9").Status == 200 })
}

// Where leases are too long for the time that a cancellation may take, a user who
// was told at once was told what could not be kept: the agents were out of reach.
func TestCancellationWaitsForConfirmationWhereLeasesAreTooLong(t *testing.T) {
	for _, test := range []struct {
		cancelS float64
		told    bool
	}{{50, true}, {34, false}} {
		fleet := newFleet(t, 2)
		fleet.leader.node.Cfg.Facts.Workers.CancelS = test.cancelS
		job := fleet.leader.cluster.Jobs["j-000000"]
		fleet.leader.cancellations.Begin(job)
		if written := !fleet.leader.cancellations.Pending(job); written != test.told {
			t.Fatalf("within %v s, with tasks that may run on: written: %v", test.cancelS, written)
		}
		for _, fakeAgent := range fleet.agents {
			fleet.heartbeat(fakeAgent) // takes the order to stop
			fleet.heartbeat(fakeAgent)
		}
		fleet.leader.runPending(fleet.now)
		if job.AllocationCount > 0 || fleet.leader.cancellations.Pending(job) {
			t.Fatalf("within %v s, all gone: not written", test.cancelS)
		}
	}
}

// A start sent directly was held back by the network, or by a machine that hung,
// until its job was cancelled. It may run as long as the agent has seen no newer
// token: what reports it is told to stop it, and with the next token it is refused.
func TestStartDelayedBeyondACancellationEndsWithTheNextResponse(t *testing.T) {
	for _, sooner := range []bool{true, false} {
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
		late := wire.Commands{
			FencingToken: wire.Count(leader.dispatcher.FencingToken()), AgentEpoch: wire.Count(allocation.Machine.AgentEpoch),
			Items: leader.cluster.Commands(allocation.Machine, leader.dispatcher.FencingToken(), true, fleet.now),
		}
		var fakeAgent *fake.Agent
		for _, x := range fleet.agents {
			if x.Name == allocation.Machine.Name {
				fakeAgent = x
			}
		}
		leader.cancellations.Begin(job)
		if leader.cancellations.Pending(job) || job.AllocationCount != 1 {
			t.Fatal("no keepers: the end is written, with the start under way")
		}
		fleet.now += micro.Second
		leader.tick(fleet.now)
		if !sooner {
			fleet.heartbeat(fakeAgent)
		}
		if _, executed := fakeAgent.HandleDispatch(late); executed != sooner {
			t.Fatalf("the late start ran: %v", executed)
		}
		fleet.heartbeat(fakeAgent)
		for key, task := range fakeAgent.Tasks {
			if key.Task == "j-9/0" && task.State != wire.TaskExited {
				t.Fatalf("sooner %v: its task is %s after an answer", sooner, task.State)
			}
		}
		fleet.heartbeat(fakeAgent)
		if job.AllocationCount != 0 {
			t.Fatalf("sooner %v: its place is not free", sooner)
		}
	}
}

// The end was written by what lease proxies might do if none was answered from then on;
// yet they were answered until the leader's next look around, however late.
func TestLeaseProxiesAreFencedFromWhenTheEndIsWritten(t *testing.T) {
	fleet := newFleet(t, 2)
	cfg := fleet.leader.node.Cfg
	cfg.Facts.Workers.CancelS, cfg.Facts.Zones = 50, []string{"a", "b"}
	fleet.leader.renewalBound = leasekeeper.NewRenewalBound(
		7, fleet.now, cfg.LeaseProxyDuration(), map[string]string{"n-1": "a", "n-2": "a"}, "c",
	)
	fleet.leader.cancellations = newCancellationManager(fleet.leader)
	fleet.now += 40 * micro.Second // nobody asked meanwhile
	fleet.leader.updateRenewalBound(fleet.now)
	if fleet.leader.cancellations.ZoneFenced("a") {
		t.Fatal("barred though nobody was told of an end")
	}
	job := fleet.leader.cluster.Jobs["j-000000"]
	fleet.leader.cancellations.Begin(job)
	if fleet.leader.cancellations.Pending(job) || job.AllocationCount == 0 {
		t.Fatal("no keeper can keep its tasks alive for too long: its end may be written")
	}
	if !fleet.leader.cancellations.ZoneFenced("a") {
		t.Fatal("a keeper that asks now may keep the tasks alive for too long")
	}
}

// Two nodes had lost the store, one of them the leader until then. It sent its
// agents on, and the other sent them back.
func TestNodeWithoutTheStoreNamesNoLeaderItCannotReach(t *testing.T) {
	env := newTestCluster(t)
	leader, _ := env.startNode("n-0")
	waitUntil(t, "leading", func() bool { return leader.activeLeader() != nil })
	node, _ := env.startNodeWith("n-1", func(node *Node) { node.Cfg.Peers = []config.Peer{{Node: "n-0"}} })
	waitUntil(t, "leader known", func() bool { return node.election.Leader() == "n-0" })
	status := func() int {
		return node.Heartbeat(wire.MustMarshal(fake.NewAgent("i-9", "small", "a", 30*micro.Second).Heartbeat())).Status
	}
	node.Now = func() micro.Time { return micro.Minute }
	node.health.Observe(health.ProbeResult{StoreReached: true})
	if got := status(); got != 421 {
		t.Fatalf("peers are refused, but the store says who leads: status %d", got)
	}
	node.health.Observe(health.ProbeResult{StoreRefused: true})
	if got := status(); got != 503 {
		t.Fatalf("who leads is not known any more: status %d", got)
	}
}

// A zone was cut off when an outage of the store ended. While its right had
// lapsed, the leader had heard nobody: so the zone looked no worse than the rest.
func TestZoneWithoutHeartbeatsBeforeAnOutageIsNotTerminatedAfterIt(t *testing.T) {
	fleet := newFleet(t, 40)
	leader := fleet.leader
	beat := func(zone string) {
		for _, fakeAgent := range fleet.agents {
			if fakeAgent.Zone == zone {
				fleet.heartbeat(fakeAgent)
			}
		}
	}
	second := func(zones ...string) {
		fleet.now += micro.Second
		leader.tick(fleet.now)
		leader.sweep(fleet.now)
		for _, z := range zones {
			beat(z)
		}
	}
	for range 20 {
		second("a")
	}
	if fleet.machinesInState(cluster.Suspect) != 20 {
		t.Fatalf("%d machines are silent, want those of the zone that was cut off", fleet.machinesInState(cluster.Suspect))
	}
	fleet.now += 15 * micro.Second // the outage: no heartbeat was answered
	for range 3 {
		second("a")
	}
	if n := fleet.machinesInState(cluster.Terminating); n > 0 {
		t.Fatalf("%d machines of a zone that was cut off are returned", n)
	}
}

// A cut ended, and its zone came back one heartbeat at a time. When most of it was
// heard, the rest looked like a few dead machines, and were returned.
func TestRestOfARecoveringZoneIsNotTerminated(t *testing.T) {
	fleet := newFleet(t, 40)
	second := func(zone func(i int, z string) bool) {
		fleet.now += micro.Second
		fleet.leader.tick(fleet.now)
		fleet.leader.sweep(fleet.now)
		for i, fakeAgent := range fleet.agents {
			if zone(i, fakeAgent.Zone) {
				fleet.heartbeat(fakeAgent)
			}
		}
	}
	for range 20 {
		second(func(_ int, z string) bool { return z == "a" })
	}
	for range 3 {
		second(func(i int, z string) bool { return z == "a" || i >= 10 })
	}
	if n := fleet.machinesInState(cluster.Terminating); n > 0 {
		t.Fatalf("%d machines whose next report is on its way are returned", n)
	}
}

func (h *fleet) machinesInState(s cluster.MachineState) int {
	n := 0
	for _, m := range h.leader.cluster.Machines {
		if m.State == s {
			n++
		}
	}
	return n
}

// The leader ended while the other zone was cut off. Its zone's nodes took
// themselves for cut off too, and hid half of the fleet from the next leader.
func TestNodesWhoseOwnZonesLeaderEndedDoNotRenewLeases(t *testing.T) {
	env := newTestCluster(t)
	leader, kill := env.startNodeWith("n-0", withLongLease)
	waitUntil(t, "leading", func() bool { return leader.activeLeader() != nil })
	neighbor, _ := env.startNodeWith("n-2", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	now := micro.Minute
	node, _ := env.startNodeWith("n-1", func(node *Node) {
		node.Cfg.Zone, node.Cfg.Peers = "b", []config.Peer{
			{Node: "n-0", Zone: "b"}, {Node: "n-2", Zone: "b"}, {Node: "n-3", Zone: "a"},
		}
		node.election.SuspendCampaign(10 * micro.Minute)
		node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader), "n-2": env.servePeer(neighbor)})
	})
	waitUntil(t, "leader known", func() bool { return node.election.Leader() == "n-0" })
	node.Now = func() micro.Time { return now }
	waitUntil(t, "in touch", func() bool {
		now += micro.Second
		node.contactLeader(context.Background())
		return !node.leaseProxy.Disconnected(now)
	})
	kill()
	node.Peers = peer.NewClient(map[string]string{"n-2": env.servePeer(neighbor)})
	keeps := func() bool {
		now += 5 * micro.Second
		node.contactLeader(context.Background())
		return node.leaseProxy.TryRenew(now)
	}
	if keeps() {
		t.Fatal("it reaches the store: another node leads soon")
	}
	node.health.Observe(health.ProbeResult{})
	if !keeps() {
		t.Fatal("without the store as well, the zone is cut off")
	}
	node.Peers = peer.NewClient(map[string]string{"n-0": env.servePeer(leader), "n-2": env.servePeer(neighbor)})
	leader.leader.Store(nil) // its right lapsed
	if !keeps() {
		t.Fatal("the old leader answers that it leads no more: the zone is still cut off")
	}
}
