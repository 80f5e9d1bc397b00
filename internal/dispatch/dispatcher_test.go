package dispatch

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
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

// fakeHost is a host that leads for as long as it is not told otherwise.
type fakeHost struct {
	leaseLapsed bool
	heartbeats  int
	resigned    string
}

func (h *fakeHost) HoldsLease() bool                      { return !h.leaseLapsed }
func (h *fakeHost) RefusesHeartbeat(*wire.Heartbeat) bool { return false }
func (h *fakeHost) HeartbeatReceived()                    { h.heartbeats++ }
func (h *fakeHost) Resign(reason string)                  { h.resigned = reason }

// fakeSender answers as it is told to, and notes to whom something was sent.
type fakeSender struct {
	sent     chan string
	executed bool
	err      error
}

func (s *fakeSender) Send(addr string, _ wire.Commands) (*wire.Heartbeat, bool, error) {
	s.sent <- addr
	return &wire.Heartbeat{}, s.executed, s.err
}

// testDispatcher is a Dispatcher of some machines that are up, each with one task of an
// ordinary job that its agent has been told to start.
type testDispatcher struct {
	*Dispatcher
	host     *fakeHost
	sender   *fakeSender
	at       micro.Time
	machines []*cluster.Machine
}

func newTestDispatcher(t *testing.T, machines int) *testDispatcher {
	t.Helper()
	test := &testDispatcher{
		host:   &fakeHost{},
		sender: &fakeSender{sent: make(chan string, 1000), executed: true},
		at:     1000 * micro.Second,
	}
	state := cluster.New(noEffects{})
	first := FirstFencingToken(7)
	state.MinFencingToken, state.TermStartedAt, state.LeaseDuration = first, test.at, 31*micro.Second
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 64, Zones: []string{"a"}, FetchGBPerS: 1},
	}})
	state.Teams["team"] = &cluster.Team{Name: "team"}
	test.Dispatcher = New(first, Dependencies{
		Cluster: state, Loop: eventloop.New(), Sender: test.sender,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Now: func() micro.Time { return test.at }, Host: test.host,
	})
	for i := range machines {
		agent := fake.NewAgent(fmt.Sprintf("i-%06d", i), "small", "a", 30*micro.Second)
		agent.FencingToken = first
		heartbeat := agent.Heartbeat()
		machine, outcome := state.Reconcile(heartbeat, cluster.FromHeartbeat, test.at)
		if outcome != cluster.Applied {
			t.Fatalf("heartbeat of %s: %v", agent.Name, outcome)
		}
		test.machines = append(test.machines, machine)
	}
	for i, machine := range test.machines {
		test.start(machine, wire.Job{ID: fmt.Sprint("j-", i), Kind: wire.JobArray, Priority: wire.Normal})
	}
	return test
}

// start has a machine's agent be told to start the only task of a job.
func (test *testDispatcher) start(machine *cluster.Machine, spec wire.Job) {
	spec.Class, spec.Team, spec.Tasks, spec.CPUs, spec.MemoryGB, spec.Image = "c", "team", 1, 1, 1, "i"
	job := test.addJob(spec)
	allocation := test.cluster.Allocate(job, job.NextTasks(test.at, 1)[0], machine, 1, 1, test.at)
	test.cluster.ChunkPersisted(job.Chunk(allocation.Index), 1<<40)
}

func (test *testDispatcher) addJob(spec wire.Job) *cluster.Job {
	return test.cluster.AddJob(spec, test.at, test.at)
}

// An overloaded leader sends directly what cannot wait for the machine's next heartbeat.
func TestOverloadedLeaderDispatchesOnlyUrgentCommands(t *testing.T) {
	test := newTestDispatcher(t, 8)
	machines := test.cluster.SortedMachines()
	normal, service := machines[0], machines[1]
	test.addJob(
		wire.Job{
			ID: "j-7777", Class: "c", Team: "team", Kind: wire.Service, Priority: wire.Production, Tasks: 1, CPUs: 1,
			MemoryGB: 1, Image: "i",
		},
	)
	starts := func(machine *cluster.Machine, job *cluster.Job) {
		allocation := test.cluster.Allocate(job, job.NextTasks(test.at, 1)[0], machine, 1, 1, test.at)
		test.cluster.ChunkPersisted(job.Chunk(allocation.Index), 1<<40)
	}
	starts(service, test.cluster.Jobs["j-7777"])
	if !test.shouldDispatch(normal) || !test.shouldDispatch(service) {
		t.Fatal("orders are left out without overload")
	}
	for range 1000 {
		test.observeQueueDelay(300*micro.Millisecond, test.at)
	}
	if test.shouldDispatch(normal) || !test.shouldDispatch(service) {
		t.Errorf(
			"direct in overload: other work %v, first priority %v", test.shouldDispatch(normal),
			test.shouldDispatch(service),
		)
	}
	for range 1000 {
		test.observeQueueDelay(0, test.at+micro.Second)
	}
	if test.shouldDispatch(normal) {
		t.Error("eased at once: what was left out comes back in a second")
	}
	test.observeQueueDelay(0, test.at+micro.Second+minOverloadDuration+1)
	if !test.shouldDispatch(normal) {
		t.Error("still overloaded though no report waits")
	}
}

// runLoopUntil serves events until a condition holds.
func (test *testDispatcher) runLoopUntil(condition func() bool) {
	test.loop.Run(eventloop.Handlers{
		Now:  func() micro.Time { return test.at },
		Tick: func(micro.Time) {},
		AfterEvents: func(micro.Time) {
			if condition() {
				test.loop.Stop()
			}
		},
	})
}

// Each message sent at once takes a socket.
func TestMessagesInFlightAreBounded(t *testing.T) {
	test := newTestDispatcher(t, maxInFlight+4)
	for _, machine := range test.machines {
		test.MarkPending(machine)
	}
	test.SendPending(test.at)
	if test.InFlight() != maxInFlight || test.Pending() != 4 {
		t.Fatalf("%d in flight, %d pending", test.InFlight(), test.Pending())
	}
	test.runLoopUntil(func() bool { return test.InFlight() == 0 })
	test.SendPending(test.at)
	if test.InFlight() != 4 || test.Pending() != 0 {
		t.Fatalf("%d in flight, %d pending once the first were answered", test.InFlight(), test.Pending())
	}
}

// dispatchOutcome is what is known of a machine once a dispatch to it is over.
type dispatchOutcome struct {
	sent                int
	backoff             micro.Time // nothing more is sent for so long; 0: no backoff
	pending, unanswered bool
}

func TestOutcomesOfADispatch(t *testing.T) {
	for name, row := range map[string]struct {
		leaseLapsed, executed bool
		err                   error
		want                  dispatchOutcome
	}{
		"executed":     {executed: true, want: dispatchOutcome{sent: 1}},
		"rejected":     {want: dispatchOutcome{sent: 1, backoff: rejectedBackoff, pending: true}},
		"unanswered":   {err: errors.New("x"), want: dispatchOutcome{sent: 1, backoff: unansweredBackoff, unanswered: true}},
		"lease lapsed": {leaseLapsed: true, want: dispatchOutcome{}},
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestDispatcher(t, 1)
			test.host.leaseLapsed, test.sender.executed, test.sender.err = row.leaseLapsed, row.executed, row.err
			machine := test.machines[0]
			test.MarkPending(machine)
			test.SendPending(test.at)
			if !machine.DispatchInFlight {
				t.Fatal("nothing in flight")
			}
			test.runLoopUntil(func() bool { return test.InFlight() == 0 })
			got := dispatchOutcome{
				sent: len(test.sender.sent), backoff: max(0, machine.NextDispatchAt-test.at),
				pending: test.Pending() > 0, unanswered: machine.DispatchUnanswered,
			}
			if got != row.want || machine.DispatchInFlight {
				t.Errorf("%+v, want %+v; still in flight: %v", got, row.want, machine.DispatchInFlight)
			}
		})
	}
}

// The bits above the counter are the revision that fences the term: the next term's tokens
// would not be above those of one that counted into them.
func TestTermEndsWhenItsFencingTokensAreUsedUp(t *testing.T) {
	test := newTestDispatcher(t, 1)
	test.RaiseFencingToken(FirstFencingToken(8) - 2)
	test.at += tokenRaiseInterval
	for checks := 0; test.host.resigned == ""; checks++ {
		if checks > 2 {
			t.Fatalf("still leads with token %x", test.FencingToken())
		}
		test.CheckToken(test.at)
		test.at += tokenRaiseInterval + 1
	}
	if test.FencingToken() >= FirstFencingToken(8) {
		t.Errorf("token %x is of the next term", test.FencingToken())
	}
}

func TestHeartbeatIsAnsweredWithCommandsAndToken(t *testing.T) {
	test := newTestDispatcher(t, 1)
	go test.loop.Run(eventloop.Handlers{
		Now: func() micro.Time { return test.at }, Tick: func(micro.Time) {}, AfterEvents: func(micro.Time) {},
	})
	defer test.loop.Stop()
	heartbeat := &wire.Heartbeat{
		Machine: "i-000000", Addr: "x:1", Type: "small", Zone: "a", AgentEpoch: 1, Sequence: 2,
		FencingToken: wire.Count(FirstFencingToken(7)),
	}
	commands, accepted := test.HandleHeartbeat(heartbeat)
	if !accepted || uint64(commands.FencingToken) != FirstFencingToken(7) || len(commands.Items) != 1 {
		t.Errorf("accepted: %v, %+v", accepted, commands)
	}
	if test.host.heartbeats != 1 {
		t.Errorf("%d heartbeats counted", test.host.heartbeats)
	}
}
