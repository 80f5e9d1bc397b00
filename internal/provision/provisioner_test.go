package provision

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

type discardEffects struct{ cluster.Effects }

func (discardEffects) ScheduleSoon()      {}
func (discardEffects) Log(string, ...any) {}

// scriptedCloud creates machines as the fake cloud does, but for the errors that a test gives
// it, and keeps the calls.
type scriptedCloud struct {
	*fake.Cloud

	mu                    sync.Mutex
	requestErrors         []error // of the next instance requests; the request is carried out all the same
	terminateErrors       []error
	holdRequests          chan struct{} // nil: requests are answered at once
	requested             []string
	terminated            []string
	inFlight, maxInFlight int
}

func (c *scriptedCloud) RequestInstances(ctx context.Context, request wire.InstanceRequest) ([]string, error) {
	c.mu.Lock()
	c.requested = append(c.requested, request.RequestID)
	c.inFlight++
	c.maxInFlight = max(c.maxInFlight, c.inFlight)
	var scripted error
	if len(c.requestErrors) > 0 {
		scripted, c.requestErrors = c.requestErrors[0], c.requestErrors[1:]
	}
	unanswered := c.holdRequests
	c.mu.Unlock()
	if unanswered != nil {
		<-unanswered
	}
	machines, err := c.Cloud.RequestInstances(ctx, request)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	if scripted != nil {
		return nil, scripted
	}
	return machines, err
}

func (c *scriptedCloud) Terminate(ctx context.Context, machines []string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terminated = append(c.terminated, machines...)
	if len(c.terminateErrors) > 0 {
		err := c.terminateErrors[0]
		c.terminateErrors = c.terminateErrors[1:]
		return err
	}
	return c.Cloud.Terminate(ctx, machines)
}

func (c *scriptedCloud) calls() (requested, terminated []string, atMost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.requested), slices.Clone(c.terminated), c.maxInFlight
}

// harness runs a Provisioner on a loop of its own, in fake time, over an in-memory store.
type harness struct {
	*Provisioner
	t         *testing.T
	state     *cluster.State
	store     *fake.Store
	cloud     *scriptedCloud
	writer    *statestore.Writer
	leaseHeld atomic.Bool
	started   time.Time
}

func (h *harness) Now() micro.Time {
	return 1000*micro.Second + micro.Time(time.Since(h.started).Microseconds())
}
func (h *harness) Wall() micro.Time                   { return micro.WallNow() }
func (h *harness) HoldsLease() bool                   { return h.leaseHeld.Load() }
func (h *harness) Preconditions() []wire.Precondition { return nil }
func (h *harness) Post(event eventloop.Event)         { h.loop.Post(event) }
func (h *harness) MaxValueBytes() int                 { return 16 << 10 }
func (h *harness) MaxTransactionOps() int             { return 24 }
func (h *harness) ObserveCommit(micro.Time)           {}

// loopFunc is an event that a test has the loop run.
type loopFunc struct {
	run  func()
	done chan struct{}
}

func (s loopFunc) Apply() { s.run(); close(s.done) }

// onLoop runs f on the goroutine that owns the state.
func (h *harness) onLoop(f func()) {
	s := loopFunc{f, make(chan struct{})}
	h.loop.Post(s)
	<-s.done
}

// firstRequestID is the name of the first instance request of the harness's term.
const firstRequestID = "r-7-1"

// storedRequest reads the record of the first instance request; false: there is none.
func (h *harness) storedRequest() (record InstanceRequestRecord, ok bool) {
	item, err := h.store.Get(context.Background(), store.Routine, keys.InstanceRequest(firstRequestID))
	if err != nil {
		return record, false
	}
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		h.t.Errorf("record of %s: %v", firstRequestID, err)
	}
	return record, true
}

// submit adds a job whose tasks need a machine each.
func (h *harness) submit(tasks int) {
	h.state.AddJob(wire.Job{
		ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: 4, MemoryGB: 1, EstimateS: 100,
	}, h.Now()-micro.Minute, h.Now())
}

func runInFakeTime(t *testing.T, scenario func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, started: time.Now(), store: fake.NewStore()}
		h.store.Now = h.Now
		h.leaseHeld.Store(true)
		h.cloud = &scriptedCloud{Cloud: fake.NewCloud(1000)}
		h.state = cluster.New(discardEffects{})
		h.state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{
			Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 30, FetchGBPerS: 1,
			Zones: []string{"a", "b"},
		}}})
		h.state.CompactRecords = true
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		properties := config.Defaults()
		h.writer = statestore.New(h, h.store, log)
		h.Provisioner = New(Config{FencingRevision: 7, CloudRPS: 4}, Dependencies{
			Term: h, Loop: eventloop.New(), Cluster: h.state, Records: h.writer, Cloud: h.cloud, Log: log,
			Planner: autoscaler.New(autoscaler.Config{
				Cluster: h.state, Objectives: scheduler.NewObjectives(nil), Properties: &properties,
			}),
		})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			h.loop.Run(eventloop.Handlers{Now: h.Now, Tick: func(micro.Time) {}, AfterEvents: h.writer.Flush})
		}()
		defer func() { h.loop.Stop(); <-ended }()
		scenario(h)
	})
}

// requestState is the first request's state; closed ones are forgotten.
func (h *harness) requestState() RequestState {
	state := RequestClosed
	h.onLoop(func() {
		if request := h.requests[firstRequestID]; request != nil {
			state = request.state
		}
	})
	return state
}

// expectOnlyRequests fails the test if more than so many requests went to the cloud, or a termination.
func (h *harness) expectOnlyRequests(requests int) {
	h.t.Helper()
	if requested, terminated, _ := h.cloud.calls(); len(requested) != requests || len(terminated) != 0 {
		h.t.Fatalf("requested %v, terminated %v before the record was stored", requested, terminated)
	}
}

// expectMachines fails the test unless the first request brought the machines.
func (h *harness) expectMachines(names []string) {
	h.t.Helper()
	for _, name := range names {
		if machine := h.state.Machines[name]; machine == nil || machine.InstanceRequestID != firstRequestID {
			h.t.Errorf("machine %s: %+v", name, machine)
		}
	}
}

func TestInstanceRequestsMakeOnlyTheListedTransitions(t *testing.T) {
	all := []RequestState{RequestPersisting, RequestPending, RequestFulfilled, RequestClosed}
	allowed := map[[2]RequestState]bool{
		{RequestPersisting, RequestPending}: true,
		{RequestPending, RequestFulfilled}:  true,
		{RequestPending, RequestClosed}:     true,
		{RequestFulfilled, RequestClosed}:   true,
	}
	for _, from := range all {
		for _, to := range all {
			runInFakeTime(t, func(h *harness) {
				h.onLoop(func() {
					request := &instanceRequest{state: from, maybeSent: true}
					request.record.Request = wire.InstanceRequest{RequestID: "r-1", Type: "small", Zone: "a", Count: 1}
					h.requests["r-1"] = request
					h.bindRecord(request)
					h.transition(request, to)
					want := from
					if allowed[[2]RequestState{from, to}] {
						want = to
					}
					if request.state != want {
						h.t.Errorf("%v to %v: is %v", from, to, request.state)
					}
				})
			})
		}
	}
}

func TestRequestIsSentOnceItsRecordIsStored(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.store.SetOutage(true)
		h.onLoop(func() {
			h.submit(2)
			if !h.PlanIfDue(h.Now()) || h.PlanIfDue(h.Now()) {
				h.t.Error("a plan is due once")
			}
		})
		time.Sleep(5 * time.Second)
		h.expectOnlyRequests(0)
		if got := h.requestState(); got != RequestPersisting {
			h.t.Fatalf("the request is %v", got)
		}
		h.store.SetOutage(false)
		time.Sleep(10 * time.Second)
		record, ok := h.storedRequest()
		if !ok || !record.Answered || len(record.Machines) != 2 || h.requestState() != RequestFulfilled {
			h.t.Errorf("%+v, %v", record, h.requestState())
		}
		h.onLoop(func() {
			h.expectMachines(record.Machines)
			if len(h.planner.PendingRequests) != 0 || h.firstProvisioned != record.Machines[0] {
				h.t.Errorf("pending %v, first %s", h.planner.PendingRequests, h.firstProvisioned)
			}
		})
	})
}

// A lost answer is asked for again under the same name, and a refusal closes the request.
func TestFailedRequestIsRetriedUnderTheSameID(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.cloud.requestErrors = []error{
			fmt.Errorf("lost: %w", cloud.ErrUncertain), cloud.ErrUnavailable, cloud.ErrRateLimited,
		}
		h.onLoop(func() { h.submit(1); h.PlanIfDue(h.Now()) })
		time.Sleep(20 * time.Second)
		requested, _, _ := h.cloud.calls()
		if !slices.Equal(requested, []string{firstRequestID, firstRequestID, firstRequestID, firstRequestID}) ||
			len(h.cloud.Instances()) != 1 {
			h.t.Errorf("requested %v, created %d machines", requested, len(h.cloud.Instances()))
		}
	})
}

func TestRefusedRequestIsClosedAndItsRecordDeleted(t *testing.T) {
	for _, refusal := range []error{cloud.ErrNoCapacity, cloud.ErrMalformed} {
		runInFakeTime(t, func(h *harness) {
			h.cloud.requestErrors = []error{refusal}
			h.onLoop(func() { h.submit(1); h.PlanIfDue(h.Now()) })
			time.Sleep(20 * time.Second)
			if _, ok := h.storedRequest(); ok || h.requestState() != RequestClosed {
				h.t.Errorf("%v: stored %v, %v", refusal, ok, h.requestState())
			}
			h.onLoop(func() {
				if len(h.planner.PendingRequests) != 0 || len(h.planner.RefusedUntil) != 1 {
					h.t.Errorf("%v: %v %v", refusal, h.planner.PendingRequests, h.planner.RefusedUntil)
				}
			})
		})
	}
}

// Without the lease nothing goes to the cloud; with it back, the request goes on.
func TestCallsToTheCloudWaitUntilTheLeaseIsHeld(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		record := InstanceRequestRecord{
			Request: wire.InstanceRequest{RequestID: "r-3-1", Type: "small", Zone: "a", Count: 2},
		}
		h.leaseHeld.Store(false)
		h.onLoop(func() {
			h.Restore(wire.Item{Value: wire.MustMarshal(record), Version: 5}, h.Now(), h.Wall())
			h.Terminate(h.state.EnsureMachine("i-other", h.Now()), "test")
			h.SendTerminations()
		})
		time.Sleep(10 * time.Second)
		if requested, terminated, _ := h.cloud.calls(); len(requested)+len(terminated) != 0 {
			h.t.Fatalf("sent %v, %v", requested, terminated)
		}
		h.leaseHeld.Store(true)
		h.onLoop(h.SendTerminations)
		time.Sleep(10 * time.Second)
		requested, terminated, _ := h.cloud.calls()
		if !slices.Equal(requested, []string{"r-3-1"}) || !slices.Equal(terminated, []string{"i-other"}) {
			h.t.Errorf("sent %v, %v", requested, terminated)
		}
	})
}

// Requests share the cloud's rate with terminations and the inventory; those for the most
// urgent work go first, whatever waits.
func TestRequestsInFlightAreBoundedAndUrgentOnesGoFirst(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.cloud.holdRequests = make(chan struct{})
		h.onLoop(func() {
			for i, level := range []int{2, 2, 2, 2, 1, 0} {
				request := &instanceRequest{priorityLevel: level}
				request.record.Request = wire.InstanceRequest{
					RequestID: fmt.Sprintf("level-%d-%d", level, i), Type: "small", Zone: "a", Count: 1,
				}
				h.requests[request.record.Request.RequestID] = request
				h.bindRecord(request)
				h.transition(request, RequestPending)
			}
		})
		synctest.Wait()
		h.onLoop(func() {
			if h.requestsInFlight != maxRequestsInFlight || h.QueuedRequests() != 3 {
				h.t.Errorf("%d in flight, %d queued", h.requestsInFlight, h.QueuedRequests())
			}
		})
		close(h.cloud.holdRequests)
		time.Sleep(time.Second)
		requested, _, atMost := h.cloud.calls()
		if len(requested) != 6 || atMost != maxRequestsInFlight {
			h.t.Fatalf("requested %v, %d at a time", requested, atMost)
		}
		if slices.Index(requested, "level-0-5") > 5 || slices.Index(requested, "level-0-5") < 3 {
			h.t.Errorf("order %v", requested)
		}
	})
}

func TestQueuedRequestIsClosedUnsentWhenItsOfferWasRefused(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.onLoop(func() {
			h.submit(1)
			h.PlanIfDue(h.Now())
			h.planner.RefusedUntil[h.requests[firstRequestID].offer()] = h.Now() + micro.Minute
		})
		time.Sleep(10 * time.Second)
		if requested, _, _ := h.cloud.calls(); len(requested) != 0 || h.requestState() != RequestClosed {
			h.t.Errorf("requested %v, %v", requested, h.requestState())
		}
	})
}

// A request that is carried out late once took a machine away with the work that the next
// leader had started on it: the record says first that the machine is to go.
func TestTerminationWaitsForItsRecordAndIsRetried(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.onLoop(func() { h.submit(2); h.PlanIfDue(h.Now()) })
		time.Sleep(10 * time.Second)
		record, _ := h.storedRequest()
		if len(record.Machines) != 2 {
			h.t.Fatalf("%+v", record)
		}
		name := record.Machines[0]
		h.cloud.mu.Lock()
		h.cloud.terminateErrors = []error{cloud.ErrUncertain}
		h.cloud.mu.Unlock()
		h.store.SetOutage(true)
		h.onLoop(func() {
			machine := h.state.Machines[name]
			h.Terminate(machine, "test")
			h.SendTerminations()
			if h.TerminationRecorded(machine) {
				h.t.Error("recorded before it is stored")
			}
		})
		time.Sleep(5 * time.Second)
		h.expectOnlyRequests(1) // but the request of the machines
		h.store.SetOutage(false)
		time.Sleep(10 * time.Second)
		record, _ = h.storedRequest()
		if !slices.Equal(record.Terminating, []string{name}) || len(record.Machines) != 1 {
			h.t.Errorf("the record says %+v", record)
		}
		h.onLoop(h.SendTerminations)
		time.Sleep(10 * time.Second)
		if _, terminated, _ := h.cloud.calls(); !slices.Equal(terminated, []string{name, name}) {
			h.t.Errorf("terminated %v", terminated)
		}
		h.onLoop(func() {
			if h.state.Machines[name] != nil || !h.state.WasTerminated(name) {
				h.t.Error("the machine is still there")
			}
		})
	})
}

// What an earlier leader asked to be terminated may go at any later time: it takes no work.
func TestFailoverRestoresRequestsAndTerminations(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.onLoop(func() {
			now, wall := h.Now(), h.Wall()
			h.Restore(wire.Item{Version: 3, Value: wire.MustMarshal(InstanceRequestRecord{
				Request:  wire.InstanceRequest{RequestID: "r-3-1", Type: "small", Zone: "b", Count: 2},
				Machines: []string{"i-000001"}, Terminating: []string{"i-000002"}, Answered: true,
				CreatedAt: int64(wall - micro.Minute),
			})}, now, wall)
			h.Restore(wire.Item{Key: keys.InstanceRequest("broken"), Value: []byte{0xc1}}, now, wall)
			h.RestoreFirstProvisioned(wire.Item{Value: wire.MustMarshal(FirstProvisionedRecord{"i-000001"}), Version: 4})
			kept, going := h.state.Machines["i-000001"], h.state.Machines["i-000002"]
			if kept.State != cluster.Registering || kept.RequestedAt != now-micro.Minute || kept.Zone != "b" ||
				going.State != cluster.Terminating || len(h.requests) != 1 {
				h.t.Errorf("%+v %+v", kept, going)
			}
			if h.isOperatorOwned(kept) || !h.isOperatorOwned(&cluster.Machine{Name: "i-000000"}) {
				h.t.Error("the first machine that was created is forgotten")
			}
			h.SendTerminations()
		})
		time.Sleep(time.Second)
		if _, terminated, _ := h.cloud.calls(); !slices.Equal(terminated, []string{"i-000002"}) {
			h.t.Errorf("terminated %v", terminated)
		}
	})
}

func TestInventoryIsReadPageByPageAndFailedMachinesAreTerminated(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.Provisioner.cloud = &pagedCloud{Provider: h.cloud, failures: 1}
		ctx, cancel := context.WithCancel(h.t.Context())
		ended := make(chan struct{})
		go func() { h.PollInventory(ctx); close(ended) }()
		time.Sleep(time.Second)
		h.onLoop(func() {
			if h.InventoryRequestedAt() != 0 || len(h.state.Machines) != 0 {
				h.t.Error("half an inventory was taken in")
			}
		})
		time.Sleep(inventoryInterval.Duration())
		h.onLoop(func() {
			up, failed := h.state.Machines["i-000001"], h.state.Machines["i-000002"]
			if up == nil || up.Addr != "addr:1" || !up.Permanent || up.LastListed != h.InventoryRequestedAt() {
				h.t.Errorf("%+v", up)
			}
			if failed == nil || failed.State != cluster.Terminating {
				h.t.Errorf("%+v", failed)
			}
		})
		cancel()
		h.loop.Stop()
		<-ended
	})
}

// pagedCloud lists one machine a page, and fails the second page of the first inventories.
type pagedCloud struct {
	cloud.Provider
	failures int
}

func (c *pagedCloud) List(_ context.Context, after string) (*wire.MachineList, error) {
	if after == "" {
		return &wire.MachineList{More: true, Machines: []wire.ListedMachine{
			{Name: "i-000001", Addr: "addr:1", Type: "small", Zone: "a", State: wire.MachineRunning, AgeS: 10},
		}}, nil
	}
	if c.failures > 0 {
		c.failures--
		return nil, errors.New("no answer")
	}
	return &wire.MachineList{Machines: []wire.ListedMachine{
		{Name: "i-000002", Addr: "addr:2", Type: "small", Zone: "b", State: wire.MachineFailed, AgeS: 10},
	}}, nil
}
