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

// scriptedCloud is a fake cloud that returns the errors that a test sets, and records all calls.
type scriptedCloud struct {
	*fake.Cloud

	mu                    sync.Mutex
	requestErrors         []error // returned for the next instance requests, which are executed nevertheless
	terminateErrors       []error
	holdRequests          chan struct{} // instance requests are held until it is closed; nil: they are not held
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
	holdRequests := c.holdRequests
	c.mu.Unlock()
	if holdRequests != nil {
		<-holdRequests
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

// calls returns the IDs of the instance requests, the names of the machines in termination calls, and the
// highest number of instance requests in flight.
func (c *scriptedCloud) calls() (requested, terminated []string, maxInFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.requested), slices.Clone(c.terminated), c.maxInFlight
}

// harness runs a Provisioner on its own event loop, in fake time, with an in-memory store.
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

// loopFunc is an event that runs a function of a test on the loop and closes done afterwards.
type loopFunc struct {
	run  func()
	done chan struct{}
}

func (f loopFunc) Apply() { f.run(); close(f.done) }

// onLoop runs f on the goroutine that owns the state, and waits for it.
func (h *harness) onLoop(f func()) {
	event := loopFunc{f, make(chan struct{})}
	h.loop.Post(event)
	<-event.done
}

// firstRequestID is the ID of the first instance request of the harness's term.
const firstRequestID = "r-7-1"

// storedRequest returns the stored record of the first instance request, and whether there is one.
func (h *harness) storedRequest() (record InstanceRequestRecord, ok bool) {
	item, err := h.store.Get(context.Background(), store.Routine, keys.InstanceRequest(firstRequestID))
	if err != nil {
		return record, false
	}
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		h.t.Errorf("decode record of request %s: %v", firstRequestID, err)
	}
	return record, true
}

// submit adds a job each of whose tasks needs a whole machine.
func (h *harness) submit(tasks int) {
	h.state.AddJob(wire.Job{
		ID: "j-1", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: tasks, CPUs: 4, MemoryGB: 1, EstimateS: 100,
	}, h.Now()-micro.Minute)
}

// runInFakeTime runs a scenario in fake time with a new harness whose leader holds its lease.
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

// requestState returns the state of the first request, which is not kept once it is closed.
func (h *harness) requestState() RequestState {
	state := RequestClosed
	h.onLoop(func() {
		if request := h.requests[firstRequestID]; request != nil {
			state = request.state
		}
	})
	return state
}

// expectOnlyRequests fails the test unless exactly the given number of instance requests and no termination
// were sent to the cloud.
func (h *harness) expectOnlyRequests(requests int) {
	h.t.Helper()
	if requested, terminated, _ := h.cloud.calls(); len(requested) != requests || len(terminated) != 0 {
		h.t.Fatalf("requested %v, terminated %v before the record was stored", requested, terminated)
	}
}

// expectMachines fails the test unless the machines were added for the first request.
func (h *harness) expectMachines(names []string) {
	h.t.Helper()
	for _, name := range names {
		if machine := h.state.Machines[name]; machine == nil || machine.InstanceRequestID != firstRequestID {
			h.t.Errorf("machine %s is %+v, want one of the first request", name, machine)
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
						h.t.Errorf("transition from %v to %v: state is %v", from, to, request.state)
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
				h.t.Error("want a plan due on the first call only")
			}
		})
		time.Sleep(5 * time.Second)
		h.expectOnlyRequests(0)
		if got := h.requestState(); got != RequestPersisting {
			h.t.Fatalf("request is %v before its record is stored, want persisting", got)
		}
		h.store.SetOutage(false)
		time.Sleep(10 * time.Second)
		record, ok := h.storedRequest()
		if !ok || !record.Answered || len(record.Machines) != 2 || h.requestState() != RequestFulfilled {
			h.t.Errorf("record %+v, state %v, want two machines and fulfilled", record, h.requestState())
		}
		h.onLoop(func() {
			h.expectMachines(record.Machines)
			if len(h.planner.PendingRequests) != 0 || h.firstProvisioned != record.Machines[0] {
				h.t.Errorf("pending requests %v, first provisioned machine %s", h.planner.PendingRequests, h.firstProvisioned)
			}
		})
	})
}

// A request without a response is sent again under the same ID, so that its machines are created only once.
func TestFailedRequestIsRetriedUnderTheSameID(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.cloud.requestErrors = []error{
			fmt.Errorf("response lost: %w", cloud.ErrUncertain), cloud.ErrUnavailable, cloud.ErrRateLimited,
		}
		h.onLoop(func() { h.submit(1); h.PlanIfDue(h.Now()) })
		time.Sleep(20 * time.Second)
		requested, _, _ := h.cloud.calls()
		if !slices.Equal(requested, []string{firstRequestID, firstRequestID, firstRequestID, firstRequestID}) ||
			len(h.cloud.Instances()) != 1 {
			h.t.Errorf("requested %v, created %d machines, want four calls and one machine", requested, len(h.cloud.Instances()))
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
				h.t.Errorf("%v: record stored: %v, state %v", refusal, ok, h.requestState())
			}
			h.onLoop(func() {
				if len(h.planner.PendingRequests) != 0 || len(h.planner.RefusedUntil) != 1 {
					h.t.Errorf("%v: pending %v, refused offers %v", refusal, h.planner.PendingRequests, h.planner.RefusedUntil)
				}
			})
		})
	}
}

// Nothing is sent to the cloud while the leader does not hold its lease; once it does again, the requests and
// terminations are sent.
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
			h.t.Fatalf("requested %v, terminated %v without the lease", requested, terminated)
		}
		h.leaseHeld.Store(true)
		h.onLoop(h.SendTerminations)
		time.Sleep(10 * time.Second)
		requested, terminated, _ := h.cloud.calls()
		if !slices.Equal(requested, []string{"r-3-1"}) || !slices.Equal(terminated, []string{"i-other"}) {
			h.t.Errorf("requested %v, terminated %v after the lease was renewed", requested, terminated)
		}
	})
}

// The requests in flight are limited, since they share the cloud's rate limit with terminations and the
// inventory. A queued request for urgent work is sent before those of lower priority.
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
				h.t.Errorf("%d requests in flight, %d queued, want 3 each", h.requestsInFlight, h.QueuedRequests())
			}
		})
		close(h.cloud.holdRequests)
		time.Sleep(time.Second)
		requested, _, maxInFlight := h.cloud.calls()
		if len(requested) != 6 || maxInFlight != maxRequestsInFlight {
			h.t.Fatalf("requested %v, at most %d in flight", requested, maxInFlight)
		}
		if slices.Index(requested, "level-0-5") > 5 || slices.Index(requested, "level-0-5") < 3 {
			h.t.Errorf("requests sent in the order %v", requested)
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
			h.t.Errorf("requested %v, state %v, want nothing requested and closed", requested, h.requestState())
		}
	})
}

// A termination that the cloud executed late once removed a machine together with the work that the next
// leader had started on it. It is therefore sent only once the record marks the machine as terminating.
func TestTerminationWaitsForItsRecordAndIsRetried(t *testing.T) {
	runInFakeTime(t, func(h *harness) {
		h.onLoop(func() { h.submit(2); h.PlanIfDue(h.Now()) })
		time.Sleep(10 * time.Second)
		record, _ := h.storedRequest()
		if len(record.Machines) != 2 {
			h.t.Fatalf("record %+v, want two machines", record)
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
				h.t.Error("termination recorded before the record is stored")
			}
		})
		time.Sleep(5 * time.Second)
		h.expectOnlyRequests(1) // the request that created the machines
		h.store.SetOutage(false)
		time.Sleep(10 * time.Second)
		record, _ = h.storedRequest()
		if !slices.Equal(record.Terminating, []string{name}) || len(record.Machines) != 1 {
			h.t.Errorf("record %+v, want one machine and one terminating", record)
		}
		h.onLoop(h.SendTerminations)
		time.Sleep(10 * time.Second)
		if _, terminated, _ := h.cloud.calls(); !slices.Equal(terminated, []string{name, name}) {
			h.t.Errorf("terminated %v", terminated)
		}
		h.onLoop(func() {
			if h.state.Machines[name] != nil || !h.state.WasTerminated(name) {
				h.t.Error("machine not removed after its termination")
			}
		})
	})
}

// The cloud may execute a termination that an earlier leader requested at any later time, so the machine must
// stay terminating after a failover.
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
			kept, terminating := h.state.Machines["i-000001"], h.state.Machines["i-000002"]
			if kept.State != cluster.Registering || kept.RequestedAt != now-micro.Minute || kept.Zone != "b" ||
				terminating.State != cluster.Terminating || len(h.requests) != 1 {
				h.t.Errorf("machine to keep %+v, machine to terminate %+v", kept, terminating)
			}
			if h.isOperatorOwned(kept) || !h.isOperatorOwned(&cluster.Machine{Name: "i-000000"}) {
				h.t.Error("first provisioned machine not restored")
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
				h.t.Error("incomplete inventory applied")
			}
		})
		time.Sleep(inventoryInterval.Duration())
		h.onLoop(func() {
			up, failed := h.state.Machines["i-000001"], h.state.Machines["i-000002"]
			if up == nil || up.Addr != "addr:1" || !up.Permanent || up.LastListed != h.InventoryRequestedAt() {
				h.t.Errorf("running machine is %+v", up)
			}
			if failed == nil || failed.State != cluster.Terminating {
				h.t.Errorf("failed machine is %+v, want it terminating", failed)
			}
		})
		cancel()
		h.loop.Stop()
		<-ended
	})
}

// pagedCloud lists one machine per page, and fails the given number of reads of the second page.
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
		return nil, errors.New("no response")
	}
	return &wire.MachineList{Machines: []wire.ListedMachine{
		{Name: "i-000002", Addr: "addr:2", Type: "small", Zone: "b", State: wire.MachineFailed, AgeS: 10},
	}}, nil
}
