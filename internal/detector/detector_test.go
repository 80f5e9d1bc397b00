package detector

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// noEffects is a cluster's effects where none matters.
type noEffects struct{}

func (noEffects) ChunkDirty(*cluster.TaskChunk)                           {}
func (noEffects) ChunkUrgent(*cluster.TaskChunk)                          {}
func (noEffects) DispatchSoon(*cluster.Machine)                           {}
func (noEffects) JobFinished(*cluster.Job)                                {}
func (noEffects) DependencyAborted(*cluster.Job)                          {}
func (noEffects) DependencyUnknown(string)                                {}
func (noEffects) AttemptCompleted(*cluster.Allocation, micro.Time)        {}
func (noEffects) ChunkMigrated(*cluster.TaskChunk, *cluster.LegacyRecord) {}
func (noEffects) LegacyRecordSuperseded(*cluster.LegacyRecord)            {}
func (noEffects) ScheduleSoon()                                           {}
func (noEffects) Log(string, ...any)                                      {}

// fakeHost notes what a detector asks for.
type fakeHost struct {
	inventoryReadAt  micro.Time
	unreported       micro.Time
	terminated       map[string]string // reasons, by machine
	unreachableCalls int
}

func (h *fakeHost) InventoryReadAt() micro.Time                           { return h.inventoryReadAt }
func (h *fakeHost) UnreportedFor(*cluster.Machine, micro.Time) micro.Time { return h.unreported }
func (h *fakeHost) HandleUnreachableAgents(micro.Time)                    { h.unreachableCalls++ }
func (h *fakeHost) Terminate(machine *cluster.Machine, reason string) {
	h.terminated[machine.Name] = reason
}

type fixedToken uint64

func (t fixedToken) FencingToken() uint64 { return uint64(t) }

const (
	termStart = 10000 * micro.Second
	token     = fixedToken(100)
)

// testDetector is a detector of a term that has just started, without machines.
type testDetector struct {
	*Detector
	host *fakeHost
}

func newTestDetector() *testDetector {
	cfg := &config.Config{Properties: config.Defaults()}
	cfg.Node, cfg.Peers = "n-0", []config.Peer{{Node: "n-1"}, {Node: "n-2"}}
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.HeartbeatIntervalS, cfg.Facts.Cloud.ListLagS = 30, 6, 5
	cfg.DeriveDefaults()
	state := cluster.New(noEffects{})
	state.TermStartedAt, state.LeaseDuration = termStart, 31*micro.Second
	state.MinFencingToken = uint64(token)
	test := &testDetector{host: &fakeHost{terminated: map[string]string{}}}
	test.Detector = New(Dependencies{
		Cluster: state, Config: cfg, MaxInventoryAge: 20 * micro.Second, FencingTokens: token,
		Handovers: &LeadershipHandovers{}, Host: test.host,
	})
	test.ObserveLease(true, termStart)
	return test
}

// addMachines adds machines of one zone; prepare sets what is known of each.
func (test *testDetector) addMachines(from, to int, prepare func(*cluster.Machine)) {
	for i := from; i < to; i++ {
		machine := test.cluster.EnsureMachine(fmt.Sprintf("i-%06d", i), termStart)
		test.cluster.DescribeMachine(machine, "small", "a", false)
		prepare(machine)
	}
}

// upWithHeartbeatAt makes a machine one that is up, and was last heard at a time.
func (test *testDetector) upWithHeartbeatAt(at micro.Time) func(*cluster.Machine) {
	return func(machine *cluster.Machine) {
		test.cluster.TransitionMachine(machine, cluster.Up, "for a test")
		machine.LastHeartbeat = at
	}
}

func TestMachinesThatDieAreTerminatedAndPartitionedOnesAreNot(t *testing.T) {
	for name, row := range map[string]struct{ missing, terminated int }{
		"a few of a zone died": {missing: 3, terminated: 3},
		"half of a zone":       {missing: 5, terminated: 0},
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestDetector()
			at := termStart + micro.Minute
			test.ObserveLease(true, at-micro.Second)
			test.listening.resumedAt = termStart
			test.addMachines(0, row.missing, test.upWithHeartbeatAt(at-20*micro.Second))
			test.addMachines(row.missing, 10, test.upWithHeartbeatAt(at))
			test.Sweep(at)
			if got := len(test.host.terminated); got != row.terminated {
				t.Errorf("terminated: %v", test.host.terminated)
			}
			for i := range row.missing {
				machine := test.cluster.Machines[fmt.Sprintf("i-%06d", i)]
				if machine.State != cluster.Suspect || machine.RequiredFencingToken != uint64(token)+1 {
					t.Errorf("%s: %v, required token %d", machine.Name, machine.State, machine.RequiredFencingToken)
				}
			}
		})
	}
}

// A leader that no agent reaches has another take over, once it has found so for a while.
func TestLeaderThatNoAgentReachesHandsOver(t *testing.T) {
	test := newTestDetector()
	test.addMachines(0, 4, test.upWithHeartbeatAt(termStart))
	at := termStart + micro.Minute
	test.listening.resumedAt = termStart
	test.Sweep(at)
	if test.host.unreachableCalls != 0 {
		t.Fatal("handed over at once")
	}
	test.Sweep(at + minUnreachableTime + 1)
	if test.host.unreachableCalls != 1 {
		t.Errorf("%d handovers", test.host.unreachableCalls)
	}
}

func TestMachinesThatNeverRegisteredAreGivenUpForAReason(t *testing.T) {
	at := termStart + 10*micro.Minute
	boot := defaultBootTime
	for name, row := range map[string]struct {
		listed micro.Time // when it was last listed; 0: never
		state  wire.MachineState
		age    micro.Time
		want   string
	}{
		"requested just now": {age: micro.Second},
		"never listed":       {age: 9 * boot, want: "never listed, no heartbeat"},
		"no longer listed": {
			listed: at - micro.Minute, state: wire.MachineRunning, age: 2 * boot, want: "no longer listed, no heartbeat",
		},
		"boots":              {listed: at, state: wire.MachineBooting, age: boot},
		"boots for too long": {listed: at, state: wire.MachineBooting, age: 9 * boot, want: "did not come up"},
		"runs, not for long": {listed: at, state: wire.MachineRunning, age: 2 * boot},
		"runs for long": {
			listed: at, state: wire.MachineRunning, age: 9 * boot, want: "listed as running, no heartbeat",
		},
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestDetector()
			test.host.inventoryReadAt = at
			test.addMachines(0, 1, func(machine *cluster.Machine) {
				machine.LastListed, machine.CloudState, machine.RequestedAt = row.listed, row.state, at-row.age
			})
			test.addMachines(1, 10, test.upWithHeartbeatAt(at))
			test.Sweep(at)
			if got := test.host.terminated["i-000000"]; got != row.want {
				t.Errorf("reason %q, want %q", got, row.want)
			}
		})
	}
}

// Where all machines had died, the nodes once handed the leadership round for ever.
func TestHandoversInVainEnd(t *testing.T) {
	const window = 60 * micro.Second
	handovers := &LeadershipHandovers{}
	at := termStart
	for n := range MaxLeadershipHandovers {
		if !handovers.Begin(at, at-micro.Second, window) {
			t.Fatalf("handover %d refused", n)
		}
		at += 30 * micro.Second
	}
	if handovers.Begin(at, at-micro.Second, window) {
		t.Error("one more after as many in vain")
	}
	at += 3 * window
	if !handovers.Begin(at, at-micro.Second, window) {
		t.Error("refused long after the others")
	}
	for range MaxLeadershipHandovers {
		handovers.Begin(at, at, window)
	}
	handovers.Reset()
	if !handovers.Begin(at, at, window) {
		t.Error("refused though agents reached this node meanwhile")
	}
}

// sweepInterval is how often these tests look for reports, as the leader's scan does.
const sweepInterval = 500 * micro.Millisecond

// sweepsUntilGapExceeded counts the looks, without a heartbeat between them, after which the
// silence of so many live agents is too long; at most so many looks are made.
func sweepsUntilGapExceeded(s *heartbeatGap, up, most int, from micro.Time) int {
	const interval = 7500 * micro.Millisecond
	s.exceeded(1, up, from, interval)
	for n := 1; n <= most; n++ {
		if s.exceeded(1, up, from+micro.Time(n)*sweepInterval, interval) {
			return n
		}
	}
	return 0
}

func TestHeartbeatGapOfAllAgentsIsTooLongByTheHeartbeatsDue(t *testing.T) {
	for _, row := range []struct{ up, looks int }{
		{1500, 5}, // 2.5 s, the shortest spell
		{60, 10},  // 40 reports of 60 agents that heartbeat each 7.5 s take 5 s
		{10, 0},   // single machines are found silent sooner
		{0, 0},
	} {
		s := heartbeatGap{}
		if got := sweepsUntilGapExceeded(&s, row.up, 20, micro.Second); got != row.looks {
			t.Errorf("%d workers: too long after %d looks, want %d", row.up, got, row.looks)
		}
	}
}

func TestOneHeartbeatEndsAGap(t *testing.T) {
	s := heartbeatGap{}
	const interval = 7500 * micro.Millisecond
	for n := range micro.Time(40) { // one heartbeat in each second look
		if s.exceeded(uint64(n/2), 1500, micro.Second+n*sweepInterval, interval) {
			t.Fatalf("look %d: too long while workers report", n)
		}
	}
}

// A process that stood still has not listened in that time, however long it was.
func TestTimeWithoutTheProcessorIsNoHeartbeatGap(t *testing.T) {
	s := heartbeatGap{}
	const interval = 7500 * micro.Millisecond
	s.exceeded(1, 1500, micro.Second, interval)
	if s.exceeded(1, 1500, 31*micro.Second, interval) {
		t.Fatal("one look after 30 s counts as 30 s of listening")
	}
}

func TestPartitionsAreDistinguishedFromDeadMachines(t *testing.T) {
	for _, c := range []struct {
		missing, all int
		died         bool
	}{{1, 10, true}, {3, 10, true}, {5, 10, false}, {10, 10, false}, {1, 1, false}, {1, 2, true}} {
		if got := indicatesFailure(c.missing, c.all); got != c.died {
			t.Errorf("%d of %d silent: taken for dead: %v", c.missing, c.all, got)
		}
	}
}

// A leader whose dead machines have not expired yet returned the one machine that was up, and
// took it for a sign that no agent reaches it: it handed over, and the next leaders did the
// same, for ever. Machines that were suspect while another reached this node say nothing of
// that; see TestLeaderIsReachedByOneAgentWhileDeadMachinesHoldTheQuota.
func TestMachinesThatWereSuspectWhileAnotherReachedTheLeaderAreNoReasonToHandOver(t *testing.T) {
	for name, row := range map[string]struct {
		lastHeartbeat micro.Time // of the one machine that is up for a while, after the others' last
		returned      bool       // it is returned; else it falls silent as well
		handovers     int
	}{
		"returned, after the others were suspect": {lastHeartbeat: 20 * micro.Second, returned: true},
		"silent, after the others were suspect":   {lastHeartbeat: 20 * micro.Second},
		"silent at about the time of the others":  {lastHeartbeat: 5 * micro.Second, handovers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestDetector()
			last := termStart + row.lastHeartbeat
			test.addMachines(0, 4, test.upWithHeartbeatAt(termStart))
			test.addMachines(4, 5, test.upWithHeartbeatAt(last))
			reached := test.cluster.Machines["i-000004"]
			at := termStart
			sweepUntil := func(end micro.Time) {
				for ; at < end; at += sweepInterval {
					test.ObserveLease(true, at)
					test.Sweep(at)
				}
			}
			sweepUntil(last)
			if row.returned {
				test.cluster.TransitionMachine(reached, cluster.Terminating, "idle")
			}
			sweepUntil(last + test.config.SuspectAfter + minUnreachableTime + 2*sweepInterval)
			if test.host.unreachableCalls != row.handovers {
				t.Errorf("%d handovers, want %d", test.host.unreachableCalls, row.handovers)
			}
		})
	}
}

// One machine that comes up for a moment does not make a leader forget that it handed over in
// vain: in fleets that boot at once, each term saw one, and none of the nodes ever stayed.
func TestHandoversAreForgottenOnlyOnceAgentsReachThisNodeForAWhile(t *testing.T) {
	for name, row := range map[string]struct {
		reachedFor micro.Time
		forgotten  bool
	}{
		"a moment":                         {reachedFor: 3 * micro.Second},
		"longer than until one is suspect": {reachedFor: 20 * micro.Second, forgotten: true},
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestDetector()
			const window = 10 * micro.Minute
			for range MaxLeadershipHandovers {
				test.handovers.Begin(termStart, termStart, window)
			}
			test.addMachines(0, 1, test.upWithHeartbeatAt(termStart))
			for at := termStart; at < termStart+row.reachedFor; at += sweepInterval {
				test.cluster.Machines["i-000000"].LastHeartbeat = at
				test.ObserveLease(true, at)
				test.Sweep(at)
			}
			if got := test.handovers.Begin(termStart, termStart, window); got != row.forgotten {
				t.Errorf("may hand over: %v, want %v", got, row.forgotten)
			}
		})
	}
}

// A leader and the owner of a shard on one node are reached by the same network: an agent that
// reaches the owner shows that those that the leader misses are dead, or partitioned by
// themselves. The leader handed over nevertheless, and since the owner's machines were up, the
// node forgot each time that it had.
func TestAgentThatReachesAShardOwnerOnThisNodeIsNoReasonToHandOverTheLead(t *testing.T) {
	for name, row := range map[string]struct{ reached, handsOver bool }{
		"the owner is reached":     {reached: true},
		"the owner is not reached": {handsOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			leader, owner := newTestDetector(), newTestDetector()
			owner.handovers = leader.handovers
			leader.addMachines(0, 4, leader.upWithHeartbeatAt(termStart))
			owner.addMachines(0, 1, owner.upWithHeartbeatAt(termStart))
			end := termStart + leader.config.SuspectAfter + minUnreachableTime + 10*sweepInterval
			for at := termStart; at < end; at += sweepInterval {
				if row.reached {
					owner.cluster.Machines["i-000000"].LastHeartbeat = at
				}
				for _, test := range []*testDetector{owner, leader} {
					test.ObserveLease(true, at)
					test.Sweep(at)
				}
			}
			if handedOver := leader.host.unreachableCalls > 0; handedOver != row.handsOver {
				t.Errorf("handed over: %v, want %v", handedOver, row.handsOver)
			}
		})
	}
}
