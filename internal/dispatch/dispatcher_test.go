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

// fakeHost is a Host that holds its lease unless leaseLapsed is set.
type fakeHost struct {
	leaseLapsed bool
	heartbeats  int
	resigned    string
}

func (h *fakeHost) HoldsLease() bool                      { return !h.leaseLapsed }
func (h *fakeHost) RefusesHeartbeat(*wire.Heartbeat) bool { return false }
func (h *fakeHost) HeartbeatReceived()                    { h.heartbeats++ }
func (h *fakeHost) Resign(reason string)                  { h.resigned = reason }

// fakeSender returns the configured outcome and records the addresses of sent messages.
type fakeSender struct {
	sent     chan string
	executed bool
	err      error
}

func (s *fakeSender) Send(addr string, _ wire.Commands) (*wire.Heartbeat, bool, error) {
	s.sent <- addr
	return &wire.Heartbeat{}, s.executed, s.err
}

// testDispatcher is a Dispatcher with machines that are up. Each has one task of a job with normal
// priority, whose start has not been confirmed by its agent.
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

// start allocates the only task of a job on a machine, so that the machine has a start command.
func (test *testDispatcher) start(machine *cluster.Machine, spec wire.Job) {
	spec.Class, spec.Team, spec.Tasks, spec.CPUs, spec.MemoryGB, spec.Image = "c", "team", 1, 1, 1, "i"
	job := test.addJob(spec)
	allocation := test.cluster.Allocate(job, job.NextTasks(test.at, 1)[0], machine, 1, 1, test.at)
	test.cluster.ChunkPersisted(job.Chunk(allocation.Index), 1<<40)
}

func (test *testDispatcher) addJob(spec wire.Job) *cluster.Job {
	return test.cluster.AddJob(spec, test.at)
}

// An overloaded leader sends directly only commands that cannot wait for the machine's next heartbeat.
// The overload lasts for at least minOverloadDuration, since the omitted commands return as load.
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
	allocate := func(machine *cluster.Machine, job *cluster.Job) {
		allocation := test.cluster.Allocate(job, job.NextTasks(test.at, 1)[0], machine, 1, 1, test.at)
		test.cluster.ChunkPersisted(job.Chunk(allocation.Index), 1<<40)
	}
	allocate(service, test.cluster.Jobs["j-7777"])
	if !test.shouldDispatch(normal) || !test.shouldDispatch(service) {
		t.Fatal("commands are not sent directly though there is no overload")
	}
	for range 1000 {
		test.observeQueueDelay(300*micro.Millisecond, test.at)
	}
	if test.shouldDispatch(normal) || !test.shouldDispatch(service) {
		t.Errorf(
			"sent directly in overload: normal priority %v, want false; highest priority %v, want true",
			test.shouldDispatch(normal), test.shouldDispatch(service),
		)
	}
	for range 1000 {
		test.observeQueueDelay(0, test.at+micro.Second)
	}
	if test.shouldDispatch(normal) {
		t.Error("overload ended before minOverloadDuration")
	}
	test.observeQueueDelay(0, test.at+micro.Second+minOverloadDuration+1)
	if !test.shouldDispatch(normal) {
		t.Error("still overloaded though no heartbeat waits")
	}
}

// runLoopUntil runs the event loop until a condition holds.
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

// Each message that is sent directly takes a socket, so their number must be bounded.
func TestMessagesInFlightAreBounded(t *testing.T) {
	test := newTestDispatcher(t, maxInFlight+4)
	for _, machine := range test.machines {
		test.MarkPending(machine)
	}
	test.SendPending(test.at)
	if test.InFlight() != maxInFlight || test.Pending() != 4 {
		t.Fatalf("%d in flight, %d pending; want %d and 4", test.InFlight(), test.Pending(), maxInFlight)
	}
	test.runLoopUntil(func() bool { return test.InFlight() == 0 })
	test.SendPending(test.at)
	if test.InFlight() != 4 || test.Pending() != 0 {
		t.Fatalf("%d in flight, %d pending after the first were answered; want 4 and 0", test.InFlight(), test.Pending())
	}
}

// dispatchOutcome is the state of a dispatcher with one machine after a dispatch to it.
type dispatchOutcome struct {
	sent                int
	backoff             micro.Time // time until the next dispatch is allowed; 0: no backoff
	pending, unanswered bool
}

func TestDispatchOutcomes(t *testing.T) {
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
				t.Fatal("no message in flight")
			}
			test.runLoopUntil(func() bool { return test.InFlight() == 0 })
			got := dispatchOutcome{
				sent: len(test.sender.sent), backoff: max(0, machine.NextDispatchAt-test.at),
				pending: test.Pending() > 0, unanswered: machine.DispatchUnanswered,
			}
			if got != row.want || machine.DispatchInFlight {
				t.Errorf("outcome %+v, want %+v; still in flight: %v", got, row.want, machine.DispatchInFlight)
			}
		})
	}
}

// The bits above the token's counter hold the revision that fences the term. If a term counted into these
// bits, the next term's tokens would not be higher.
func TestTermEndsBeforeItsFencingTokensAreExhausted(t *testing.T) {
	test := newTestDispatcher(t, 1)
	test.RaiseFencingToken(FirstFencingToken(8) - 2)
	test.at += tokenRaiseInterval
	for checks := 0; test.host.resigned == ""; checks++ {
		if checks > 2 {
			t.Fatalf("term not ended with token %x", test.FencingToken())
		}
		test.CheckToken(test.at)
		test.at += tokenRaiseInterval + 1
	}
	if test.FencingToken() >= FirstFencingToken(8) {
		t.Errorf("token %x belongs to the next term", test.FencingToken())
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
		t.Errorf("accepted: %v, response %+v", accepted, commands)
	}
	if test.host.heartbeats != 1 {
		t.Errorf("%d heartbeats counted, want 1", test.host.heartbeats)
	}
}
