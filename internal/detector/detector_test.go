package detector

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// noEffects implements the effects of a cluster.State and does nothing.
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

// fakeHost is a Host that records the calls of a Detector.
type fakeHost struct {
	inventoryReadAt  micro.Time
	unreported       micro.Time
	terminated       map[string]string // reason by machine name
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

// testDetector is a Detector of a term that has just started, without machines.
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

// addMachines adds the machines with the numbers [from, to) to one zone; prepare sets the state of each.
func (test *testDetector) addMachines(from, to int, prepare func(*cluster.Machine)) {
	for i := from; i < to; i++ {
		machine := test.cluster.EnsureMachine(fmt.Sprintf("i-%06d", i), termStart)
		test.cluster.DescribeMachine(machine, "small", "a", false)
		prepare(machine)
	}
}

// upWithHeartbeatAt returns a function that marks a machine as up with its last heartbeat at the given
// time.
func (test *testDetector) upWithHeartbeatAt(at micro.Time) func(*cluster.Machine) {
	return func(machine *cluster.Machine) {
		test.cluster.TransitionMachine(machine, cluster.Up, "for a test")
		machine.LastHeartbeat = at
	}
}

func TestDeadMachinesAreTerminatedAndPartitionedOnesAreNot(t *testing.T) {
	for name, row := range map[string]struct{ missing, terminated int }{
		"three of ten missing are terminated": {missing: 3, terminated: 3},
		"half of the zone missing is kept":    {missing: 5, terminated: 0},
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
				t.Errorf("%d machines terminated, want %d: %v", got, row.terminated, test.host.terminated)
			}
			for i := range row.missing {
				machine := test.cluster.Machines[fmt.Sprintf("i-%06d", i)]
				if machine.State != cluster.Suspect || machine.RequiredFencingToken != uint64(token)+1 {
					t.Errorf("%s: state %v, required token %d; want suspect and the next token", machine.Name, machine.State,
						machine.RequiredFencingToken)
				}
			}
		})
	}
}

// A leader that no agent reaches hands over, but only after it has been unreachable for
// minUnreachableTime.
func TestUnreachableLeaderHandsOverAfterMinUnreachableTime(t *testing.T) {
	test := newTestDetector()
	test.addMachines(0, 4, test.upWithHeartbeatAt(termStart))
	at := termStart + micro.Minute
	test.listening.resumedAt = termStart
	test.Sweep(at)
	if test.host.unreachableCalls != 0 {
		t.Fatal("handed over on the first sweep")
	}
	test.Sweep(at + minUnreachableTime + 1)
	if test.host.unreachableCalls != 1 {
		t.Errorf("%d handovers, want 1", test.host.unreachableCalls)
	}
}

func TestUnregisteredMachineIsTerminatedWithReason(t *testing.T) {
	at := termStart + 10*micro.Minute
	boot := defaultBootTime
	for name, row := range map[string]struct {
		listed micro.Time // time of the last list that showed it; 0: never
		state  wire.MachineState
		age    micro.Time
		want   string
	}{
		"recently requested": {age: micro.Second},
		"never listed":       {age: 9 * boot, want: "never listed, no heartbeat"},
		"no longer listed": {
			listed: at - micro.Minute, state: wire.MachineRunning, age: 2 * boot, want: "no longer listed, no heartbeat",
		},
		"booting within its boot time": {listed: at, state: wire.MachineBooting, age: boot},
		"booting for longer than timeout": {
			listed: at, state: wire.MachineBooting, age: 9 * boot, want: "did not boot in time",
		},
		"running for less than three boots": {listed: at, state: wire.MachineRunning, age: 2 * boot},
		"running for more than three boots": {
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
				t.Errorf("termination reason %q, want %q", got, row.want)
			}
		})
	}
}

// When all machines had died, the nodes handed the leadership around without end: no term lasted long
// enough to detect the dead machines.
func TestConsecutiveHandoversAreLimited(t *testing.T) {
	const window = 60 * micro.Second
	handovers := &LeadershipHandovers{}
	at := termStart
	for n := range MaxLeadershipHandovers {
		if !handovers.Begin(at, at-micro.Second, window) {
			t.Fatalf("handover %d of %d refused", n+1, MaxLeadershipHandovers)
		}
		at += 30 * micro.Second
	}
	if handovers.Begin(at, at-micro.Second, window) {
		t.Error("a further handover was allowed after the maximum of consecutive ones")
	}
	at += 3 * window
	if !handovers.Begin(at, at-micro.Second, window) {
		t.Error("handover refused though the previous ones were outside the window")
	}
	for range MaxLeadershipHandovers {
		handovers.Begin(at, at, window)
	}
	handovers.Reset()
	if !handovers.Begin(at, at, window) {
		t.Error("handover refused after a reset")
	}
}

// sweepInterval is the time between two sweeps, the same as in the leader.
const sweepInterval = 500 * micro.Millisecond

// sweepsUntilGapExceeded returns the number of checks without heartbeats after which the gap is exceeded
// for the given number of machines that are up, or 0 if it is not exceeded after most checks.
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

func TestHeartbeatGapIsExceededByNumberOfHeartbeatsDue(t *testing.T) {
	for _, row := range []struct{ up, checks int }{
		{1500, 5}, // 2.5 s, the shortest gap that counts
		{60, 10},  // 60 agents with a heartbeat each 7.5 s send 40 heartbeats in 5 s
		{10, 0},   // the machines become suspect one by one before that
		{0, 0},
	} {
		s := heartbeatGap{}
		if got := sweepsUntilGapExceeded(&s, row.up, 20, micro.Second); got != row.checks {
			t.Errorf("%d machines up: gap exceeded after %d checks, want %d", row.up, got, row.checks)
		}
	}
}

func TestOneHeartbeatEndsHeartbeatGap(t *testing.T) {
	s := heartbeatGap{}
	const interval = 7500 * micro.Millisecond
	for n := range micro.Time(40) { // one heartbeat in every two checks
		if s.exceeded(uint64(n/2), 1500, micro.Second+n*sweepInterval, interval) {
			t.Fatalf("check %d: gap exceeded though heartbeats arrive", n)
		}
	}
}

// A paused process does not receive heartbeats, so the time of the pause must not count as a gap,
// however long it was.
func TestProcessPauseIsNoHeartbeatGap(t *testing.T) {
	s := heartbeatGap{}
	const interval = 7500 * micro.Millisecond
	s.exceeded(1, 1500, micro.Second, interval)
	if s.exceeded(1, 1500, 31*micro.Second, interval) {
		t.Fatal("gap exceeded: one check after a pause of 30 s counts as 30 s without heartbeats")
	}
}

func TestPartitionsAreDistinguishedFromDeadMachines(t *testing.T) {
	for _, c := range []struct {
		missing, all int
		died         bool
	}{{1, 10, true}, {3, 10, true}, {5, 10, false}, {10, 10, false}, {1, 1, false}, {1, 2, true}} {
		if got := indicatesFailure(c.missing, c.all); got != c.died {
			t.Errorf("%d of %d missing: indicates failure %v, want %v", c.missing, c.all, got, c.died)
		}
	}
}

// A leader whose dead machines had not expired yet terminated the only machine that was up. It concluded
// that no agent reached it and handed over, and so did the next leaders, without end. Machines that were
// suspect already when another agent reached this node must not cause a handover; see
// TestLeaderIsReachedByOneAgentWhileDeadMachinesHoldTheQuota.
func TestMachinesSuspectBeforeLastContactDoNotCauseHandover(t *testing.T) {
	for name, row := range map[string]struct {
		lastHeartbeat micro.Time // of the fifth machine, after the last heartbeats of the others
		terminated    bool       // it is terminated; otherwise it only stops sending heartbeats
		handovers     int
	}{
		"terminated after the others became suspect": {lastHeartbeat: 20 * micro.Second, terminated: true},
		"silent after the others became suspect":     {lastHeartbeat: 20 * micro.Second},
		"silent shortly after the others":            {lastHeartbeat: 5 * micro.Second, handovers: 1},
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
			if row.terminated {
				test.cluster.TransitionMachine(reached, cluster.Terminating, "idle")
			}
			sweepUntil(last + test.config.SuspectAfter + minUnreachableTime + 2*sweepInterval)
			if test.host.unreachableCalls != row.handovers {
				t.Errorf("%d handovers, want %d", test.host.unreachableCalls, row.handovers)
			}
		})
	}
}

// A machine that is up for a short time must not reset the number of consecutive handovers: when all
// machines of a cluster booted at the same time, each term had such a machine, and no node ever kept
// the leadership.
func TestHandoverCountIsResetOnlyAfterAgentsReachNodeLongEnough(t *testing.T) {
	for name, row := range map[string]struct {
		reachedFor micro.Time
		reset      bool
	}{
		"shorter than SuspectAfter": {reachedFor: 3 * micro.Second},
		"longer than SuspectAfter":  {reachedFor: 20 * micro.Second, reset: true},
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
			if got := test.handovers.Begin(termStart, termStart, window); got != row.reset {
				t.Errorf("handover allowed: %v, want %v", got, row.reset)
			}
		})
	}
}

// A leader and a shard owner on one node are reached through the same network: if an agent reaches the
// owner, the leader's missing machines are dead or partitioned themselves. The leader handed over
// nevertheless, and because the owner's machines were up, the number of consecutive handovers was reset
// each time.
func TestLeaderDoesNotHandOverWhileShardOwnerOnSameNodeIsReached(t *testing.T) {
	for name, row := range map[string]struct{ reached, handsOver bool }{
		"owner reached, no handover":    {reached: true},
		"owner not reached, hands over": {handsOver: true},
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
