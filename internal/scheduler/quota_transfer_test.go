package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// quotaCluster is a cluster with a team whose services need more quota than its limit allows.
type quotaCluster struct {
	tb        testing.TB
	state     *cluster.State
	team      *cluster.Team
	scheduler *Scheduler
	now       micro.Time
	sequence  wire.Count
	hung      map[string]bool // machines that send no heartbeats
	services  []*cluster.Job
	stopped   map[string]int // replicas stopped for another service's quota, by service
}

// newQuotaCluster returns a cluster with inA machines in zone a and inB in zone b. Its team has the given limits; 0
// is no limit.
func newQuotaCluster(tb testing.TB, cpuLimit, gpuLimit float64, inA, inB int) *quotaCluster {
	tb.Helper()
	qc := &quotaCluster{tb: tb, now: micro.Minute, hung: map[string]bool{}, stopped: map[string]int{}}
	qc.state = cluster.New(discardEffects{})
	qc.state.LeaseDuration = 30 * micro.Second
	qc.state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "small", CPUs: 4, GPUs: 4, MemoryGB: 16, BootS: 20, Zones: []string{"a", "b"}},
	}})
	qc.team = &cluster.Team{Name: "team", CPULimit: cpuLimit, GPULimit: gpuLimit}
	qc.state.Teams["team"] = qc.team
	for i := range inA + inB {
		zone := "a"
		if i >= inA {
			zone = "b"
		}
		qc.addMachine(zone)
	}
	properties := config.Defaults()
	qc.scheduler = &Scheduler{
		Cluster: qc.state, Objectives: NewObjectives(nil), Properties: &properties, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	return qc
}

func (qc *quotaCluster) addMachine(zone string) {
	machine := qc.state.EnsureMachine(fmt.Sprint("i-", 1000+len(qc.state.Machines)), 1)
	machine.AgentEpoch = 1
	qc.state.DescribeMachine(machine, "small", zone, false)
	qc.state.TransitionMachine(machine, cluster.Up, "heartbeat")
}

// submitService submits a service and places the given number of its replicas on the first machines that have
// capacity. Services count as submitted in the last minute, in the order of the calls.
func (qc *quotaCluster) submitService(priority wire.Priority, replicas, running int, spec wire.Job) *cluster.Job {
	spec.ID, spec.Team, spec.Class = fmt.Sprint("j-", 1000+len(qc.services)), "team", "c"
	spec.Kind, spec.Priority, spec.Tasks = wire.Service, priority, replicas
	job := qc.state.AddJob(spec, qc.now-micro.Minute+micro.Time(len(qc.services)))
	qc.services = append(qc.services, job)
	for i := range running {
		for _, machine := range qc.state.SortedMachines() {
			if Allowed(&job.Spec, machine.Type, machine.Zone, false) && ZoneAllowed(job, machine.Zone, nil) &&
				fits(requestOn(&job.Spec, machine.Type), machine, nil, resources{}) {
				qc.state.Allocate(job, i, machine, 1, spec.CPUs, qc.now)
				break
			}
		}
	}
	if job.AllocationCount != running {
		qc.tb.Fatalf("service %s: %d replicas are placed, want %d", spec.ID, job.AllocationCount, running)
	}
	return job
}

// runFor advances the time by span. Each second all machines that are not hung send a heartbeat, which reports
// stopping tasks as exited and the others as running, and a scheduling pass runs.
func (qc *quotaCluster) runFor(span micro.Time) {
	qc.tb.Helper()
	for end := qc.now + span; qc.now < end; {
		qc.now += micro.Second
		qc.heartbeats()
		fullyPlaced := qc.fullyPlacedServices()
		qc.scheduler.Schedule(qc.now)
		qc.countStops(fullyPlaced)
		if !qc.team.WithinLimit(0, 0, 0) {
			qc.tb.Fatalf("the team uses %v CPUs and %v GPUs, over its limits", qc.team.UsedCPU, qc.team.UsedGPU)
		}
		qc.persistRecords()
	}
}

// heartbeats sends a heartbeat of each machine that is not hung.
func (qc *quotaCluster) heartbeats() {
	qc.sequence++
	for _, machine := range qc.state.SortedMachines() {
		if !qc.hung[machine.Name] {
			qc.heartbeat(machine)
		}
	}
}

// persistRecords marks all chunk records as stored, so that placed tasks may start.
func (qc *quotaCluster) persistRecords() {
	for _, job := range qc.services {
		for _, chunk := range job.Chunks {
			qc.state.ChunkPersisted(chunk, chunk.MemoryVersion)
		}
	}
}

func (qc *quotaCluster) heartbeat(machine *cluster.Machine) {
	heartbeat := &wire.Heartbeat{
		Machine: machine.Name, Addr: "address", Type: machine.TypeName, Zone: machine.Zone, AgentEpoch: 1,
		Sequence: qc.sequence, FencingToken: 1,
	}
	for _, allocation := range machine.SortedAllocations() {
		status := wire.TaskStatus{
			Task: allocation.TaskName, Attempt: wire.Count(allocation.Attempt), State: wire.TaskRunning,
		}
		if allocation.Stopping {
			status.State, status.Cause = wire.TaskExited, wire.CauseStopped
		}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	qc.state.Reconcile(heartbeat, cluster.FromHeartbeat, qc.now)
}

// countStops counts the replicas that were stopped for quota in this pass. It fails the test if one of them belongs
// to a service that was fully placed before the pass.
func (qc *quotaCluster) countStops(fullyPlaced map[*cluster.Job]bool) {
	qc.tb.Helper()
	for _, job := range qc.services {
		for _, allocation := range job.Allocations() {
			if !strings.HasPrefix(allocation.StopReason, "quota for") || allocation.StopRequestedAt != qc.now {
				continue
			}
			qc.stopped[job.Spec.ID]++
			if fullyPlaced[job] {
				qc.tb.Fatalf("%v: a replica of %s was stopped although the service was fully placed", qc.now, job.Spec.ID)
			}
		}
	}
}

// fullyPlacedServices returns the active services without pending replicas.
func (qc *quotaCluster) fullyPlacedServices() map[*cluster.Job]bool {
	fullyPlaced := map[*cluster.Job]bool{}
	for _, job := range qc.services {
		if job.State == cluster.Active && job.PendingTasks() == 0 {
			fullyPlaced[job] = true
		}
	}
	return fullyPlaced
}

// stopCount returns the total number of replicas stopped for quota so far.
func (qc *quotaCluster) stopCount() int {
	count := 0
	for _, stops := range qc.stopped {
		count += stops
	}
	return count
}

// expectPlaced checks the number of placed replicas of each service, in order of submission.
func (qc *quotaCluster) expectPlaced(want ...int) {
	qc.tb.Helper()
	got := make([]int, 0, len(qc.services))
	for _, job := range qc.services {
		got = append(got, job.AllocationCount)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		qc.tb.Errorf("replicas placed: %v, want %v", got, want)
	}
}

var (
	oneCPU    = wire.Job{CPUs: 1}
	twoCPUs   = wire.Job{CPUs: 2}
	threeCPUs = wire.Job{CPUs: 3}
	fourCPUs  = wire.Job{CPUs: 4} // a whole machine
	oneGPU    = wire.Job{CPUs: 1, GPUs: 1}
	twoGPUs   = wire.Job{CPUs: 1, GPUs: 2}
	spread    = wire.Job{CPUs: 1, Spread: true}
)

// partialServiceCases are sets of partially placed services that hold the limit of their team.
var partialServiceCases = []struct {
	name               string
	cpuLimit, gpuLimit float64
	submit             func(qc *quotaCluster)
	want               []int // replicas placed in the end, by service
	stops              int   // replicas stopped for quota
}{
	{"same priority: the oldest are completed", 4, 0, func(qc *quotaCluster) {
		for range 4 {
			qc.submitService(wire.Normal, 2, 1, oneCPU)
		}
	}, []int{2, 2, 0, 0}, 2},
	{"highest priority is completed first although submitted last", 4, 0, func(qc *quotaCluster) {
		qc.submitService(wire.Low, 2, 1, oneCPU)
		qc.submitService(wire.Normal, 2, 1, oneCPU)
		qc.submitService(wire.Normal, 2, 1, oneCPU)
		qc.submitService(wire.Production, 2, 1, oneCPU)
	}, []int{0, 2, 0, 2}, 2},
	{"high priority without replicas is completed", 4, 0, func(qc *quotaCluster) {
		for range 4 {
			qc.submitService(wire.Low, 2, 1, oneCPU)
		}
		qc.submitService(wire.High, 2, 0, oneCPU)
	}, []int{2, 0, 0, 0, 2}, 3},
	{"replicas of different sizes", 8, 0, func(qc *quotaCluster) {
		qc.submitService(wire.Normal, 3, 1, twoCPUs)
		qc.submitService(wire.Normal, 2, 1, threeCPUs)
		qc.submitService(wire.Normal, 4, 3, oneCPU)
	}, []int{3, 0, 2}, 2},
	{"no more replicas than needed are stopped, of the lowest rank", 10, 0, func(qc *quotaCluster) {
		qc.submitService(wire.High, 2, 1, fourCPUs)
		qc.submitService(wire.Normal, 2, 1, threeCPUs)
		qc.submitService(wire.Normal, 2, 1, twoCPUs)
		qc.submitService(wire.Low, 2, 1, oneCPU)
	}, []int{2, 0, 1, 0}, 2},
	{"GPU limit", 0, 4, func(qc *quotaCluster) {
		qc.submitService(wire.Normal, 2, 1, twoGPUs)
		qc.submitService(wire.Normal, 2, 1, oneGPU)
		qc.submitService(wire.Normal, 2, 1, oneGPU)
	}, []int{2, 0, 0}, 2},
	{"GPU limit: services without GPUs keep their replicas", 16, 2, func(qc *quotaCluster) {
		qc.submitService(wire.Normal, 2, 1, oneGPU)
		qc.submitService(wire.Normal, 2, 1, oneGPU)
		qc.submitService(wire.Low, 4, 4, oneCPU)
	}, []int{2, 0, 4}, 1},
	{"spread services", 4, 0, func(qc *quotaCluster) {
		for range 4 {
			qc.submitService(wire.Normal, 2, 1, spread)
		}
	}, []int{2, 2, 0, 0}, 2},
}

// Partially placed services that together held their team's limit waited for each other forever, those of the
// highest priority included. Quota must be transferred until as many as possible are fully placed, and no replica
// may be stopped after that.
func TestPartiallyPlacedServicesAreCompletedWithinTeamLimit(t *testing.T) {
	for _, tt := range partialServiceCases {
		t.Run(tt.name, func(t *testing.T) {
			qc := newQuotaCluster(t, tt.cpuLimit, tt.gpuLimit, 4, 4)
			tt.submit(qc)
			qc.runFor(4 * micro.Minute)
			qc.expectPlaced(tt.want...)
			if got := qc.stopCount(); got != tt.stops {
				t.Errorf("%d replicas were stopped, want %d; by service: %v", got, tt.stops, qc.stopped)
			}
			qc.runFor(10 * micro.Minute)
			if got := qc.stopCount(); got != tt.stops {
				t.Errorf("%d more replicas were stopped in the ten minutes after that, want 0", got-tt.stops)
			}
		})
	}
}

// A high-priority service submitted just before a transfer is due must get the quota that partially placed
// low-priority services hold, before one of these does.
func TestNewHighPriorityServiceIsCompletedBeforeLowPriorityOnes(t *testing.T) {
	qc := newQuotaCluster(t, 4, 0, 4, 4)
	for range 4 {
		qc.submitService(wire.Low, 2, 1, oneCPU)
	}
	qc.runFor(quotaTransferAfter - 2*micro.Second)
	urgent := qc.submitService(wire.High, 2, 0, oneCPU)
	urgent.EligibleSince, urgent.WaitingSince = qc.now, qc.now
	qc.runFor(4 * micro.Minute)
	qc.expectPlaced(2, 0, 0, 0, 2)
}

// On a cluster full of lower-priority tasks, a service must have some of them preempted once it has the quota.
func TestServiceIsCompletedByPreemptionOnFullCluster(t *testing.T) {
	qc := newQuotaCluster(t, 2, 0, 1, 1)
	for _, zone := range []string{"a", "b"} {
		qc.submitService(wire.Normal, 2, 1, wire.Job{CPUs: 1, Zone: &zone})
	}
	array := wire.Job{ID: "j-9", Class: "idle", Kind: wire.JobArray, Priority: wire.Low, Tasks: 9, CPUs: 1}
	qc.services = append(qc.services, qc.state.AddJob(array, qc.now))
	qc.runFor(4 * micro.Minute)
	qc.expectPlaced(2, 0, 6)
}

// A replica may be stopped only if another service becomes fully placed by that.
func TestNoReplicaIsStoppedWhenRecipientCannotBeCompleted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		cpuLimit float64
		submit   func(qc *quotaCluster)
	}{
		{"no machine in the zone that all services need", 2, func(qc *quotaCluster) {
			qc.submitService(wire.Normal, 2, 1, spread)
			qc.submitService(wire.Normal, 2, 1, spread)
		}},
		{"the other services are fully placed", 4, func(qc *quotaCluster) {
			qc.submitService(wire.Low, 3, 3, oneCPU)
			qc.submitService(wire.Production, 2, 1, oneCPU)
		}},
		{"the quota of all donors is not enough", 4, func(qc *quotaCluster) {
			qc.submitService(wire.Low, 2, 2, oneCPU)
			qc.submitService(wire.Normal, 4, 1, oneCPU)
			qc.submitService(wire.Normal, 4, 1, oneCPU)
		}},
		{"recipient of the same priority has no replica", 2, func(qc *quotaCluster) {
			qc.submitService(wire.Normal, 2, 0, oneCPU)
			qc.submitService(wire.Normal, 2, 1, spread)
			qc.submitService(wire.Normal, 2, 1, spread)
		}},
		{"replica of the first service is on an unreachable machine", 8, func(qc *quotaCluster) {
			machine := qc.submitService(wire.Normal, 2, 1, fourCPUs).Allocations()[0].Machine
			qc.state.TransitionMachine(machine, cluster.Suspect, "test")
			qc.hung[machine.Name] = true
			qc.submitService(wire.Normal, 2, 1, wire.Job{CPUs: 4, Spread: true})
		}},
		{"one-zone recipient, but free machines in two zones", 28, func(qc *quotaCluster) {
			zoneA, zoneB := "a", "b"
			qc.submitService(wire.Production, 3, 3, fourCPUs)
			qc.addMachine(zoneB)
			qc.addMachine(zoneB)
			qc.addMachine(zoneB)
			for _, zone := range []*string{&zoneA, &zoneA, &zoneB, &zoneB} { // none can be fully placed
				qc.submitService(wire.Low, 2, 1, wire.Job{CPUs: 4, Spread: true, Zone: zone})
			}
			qc.submitService(wire.Normal, 4, 0, wire.Job{CPUs: 4, OneZone: true})
		}},
		{"first service fails", 2, func(qc *quotaCluster) {
			qc.submitService(wire.Normal, 2, 0, oneCPU).RecordFailure("i-1", 0)
			qc.submitService(wire.Low, 2, 1, spread)
			qc.submitService(wire.Low, 2, 1, spread)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			qc := newQuotaCluster(t, tt.cpuLimit, 0, 6, 0)
			tt.submit(qc)
			qc.runFor(20 * micro.Minute)
			if len(qc.stopped) > 0 {
				t.Errorf("replicas stopped by service: %v, want none", qc.stopped)
			}
		})
	}
}

// If no machines come up in a zone, services that do not need the zone must not wait for those that do. The latter
// must not take the quota back once a machine comes up.
func TestServiceWithoutZoneCapacityDoesNotBlockOthers(t *testing.T) {
	qc := newQuotaCluster(t, 2, 0, 6, 0)
	qc.submitService(wire.Normal, 2, 1, spread)
	qc.submitService(wire.Normal, 2, 1, oneCPU)
	qc.runFor(micro.Minute)
	if qc.team.Transfer.Recipient != qc.services[0] && qc.services[1].PendingTasks() > 0 {
		t.Error("no machines are requested for the service of the highest rank")
	}
	qc.runFor(3 * micro.Minute)
	qc.expectPlaced(0, 2)
	qc.addMachine("b")
	qc.runFor(20 * micro.Minute)
	qc.expectPlaced(0, 2)
}

// The quota of stopped replicas must go to the recipient, not back to the donors, to other services, or to a
// shard.
func TestQuotaOfStoppedReplicasIsReservedForRecipient(t *testing.T) {
	qc := newQuotaCluster(t, 4, 0, 6, 0)
	first := qc.submitService(wire.Normal, 3, 2, oneCPU)
	last := qc.submitService(wire.Normal, 3, 2, oneCPU)
	lowPriority := qc.submitService(wire.Low, 1, 0, oneCPU)
	urgent := qc.submitService(wire.Production, 1, 0, oneCPU)
	for qc.stopCount() == 0 && qc.now < 3*micro.Minute {
		qc.runFor(micro.Second)
	}
	if transfer := qc.team.Transfer; !transfer.StopsRequested || transfer.Recipient != urgent {
		t.Fatalf("transfer is %+v, want one to the production service with stops requested", transfer)
	}
	for _, job := range []*cluster.Job{first, last, lowPriority} {
		if withinQuota(job, 1) || qc.state.Assign(job, "shard") > 0 {
			t.Errorf("service %s may use the quota reserved for the recipient", job.Spec.ID)
		}
	}
	qc.runFor(2 * micro.Minute)
	qc.expectPlaced(3, 0, 0, 1)
}

// While quota is reserved for the recipient of a transfer, a shard must get no further job of the team, and no more
// quota for a job that it has.
func TestQuotaOfStoppedReplicasIsNotAvailableToShards(t *testing.T) {
	qc := newQuotaCluster(t, 4, 0, 6, 0)
	recipient := qc.submitService(wire.Normal, 3, 1, oneCPU)
	assigned, waiting := qc.submitService(wire.Normal, 2, 0, oneCPU), qc.submitService(wire.Normal, 1, 0, oneCPU)
	qc.state.Assign(assigned, "shard")
	qc.state.ReleaseQuota(assigned, 1)
	qc.team.Transfer = cluster.QuotaTransfer{Recipient: recipient, Since: qc.now, StopsRequested: true}
	if qc.state.Assign(waiting, "shard") > 0 || qc.state.ReserveQuota(assigned, 1) > 0 {
		t.Error("a shard got quota reserved for the recipient")
	}
	qc.team.Transfer = cluster.QuotaTransfer{}
	if qc.state.Assign(waiting, "shard") != 1 || qc.state.ReserveQuota(assigned, 1) != 1 {
		t.Error("a shard got no quota after the transfer ended")
	}
}

// The recipient of a transfer must not start any replica until all its pending replicas fit the quota: here one
// donor's machine is hung, so only part of the quota is free at first.
func TestRecipientStartsReplicasOnlyOnceAllFitQuota(t *testing.T) {
	qc := newQuotaCluster(t, 12, 0, 6, 0)
	recipient := qc.submitService(wire.Normal, 3, 1, fourCPUs)
	qc.submitService(wire.Low, 2, 1, fourCPUs)
	hung := qc.submitService(wire.Low, 2, 1, fourCPUs).Allocations()[0].Machine.Name
	qc.runFor(quotaTransferAfter - 2*micro.Second)
	qc.hung[hung] = true
	qc.runFor(10 * micro.Second)
	if recipient.AllocationCount != 1 || !qc.team.Transfer.StopsRequested || qc.team.UsedCPU != 8 {
		t.Fatalf("recipient has %d replicas, %v CPUs are used, transfer is %+v; want 1 replica, 8 CPUs and stops requested",
			recipient.AllocationCount, qc.team.UsedCPU, qc.team.Transfer)
	}
	qc.hung[hung] = false
	qc.runFor(3 * micro.Second)
	qc.expectPlaced(3, 0, 0)
}

// A machine planned for the recipient must stay reserved until the quota is free. A stopped replica must not get
// more than maxTransferGraceS for its checkpoint.
func TestMachineForRecipientIsReservedUntilQuotaIsFree(t *testing.T) {
	qc := newQuotaCluster(t, 8, 0, 2, 1)
	zoneA, zoneB := "a", "b"
	qc.submitService(wire.Normal, 2, 1, wire.Job{CPUs: 4, Zone: &zoneA})
	donor := qc.submitService(wire.Normal, 2, 1, wire.Job{
		CPUs: 4, Zone: &zoneB, Spread: true, CheckpointIntervalS: 10, CheckpointDurationS: 3600,
	})
	stopped := donor.Allocations()[0]
	qc.runFor(quotaTransferAfter - 2*micro.Second)
	qc.hung[stopped.Machine.Name] = true
	qc.runFor(4 * micro.Second)
	if !stopped.Stopping || stopped.GraceS != maxTransferGraceS {
		t.Fatalf(
			"replica: stopping %v, grace period %v s; want true, maxTransferGraceS (20 s)", stopped.Stopping, stopped.GraceS,
		)
	}
	other := wire.Job{ID: "j-9", Class: "other", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 4}
	qc.state.AddJob(other, qc.now)
	qc.runFor(5 * micro.Second)
	qc.hung[stopped.Machine.Name] = false
	qc.runFor(2 * micro.Second)
	qc.expectPlaced(2, 0)
}

// If no other machine is free, the recipient must use the machine of the replica that is stopped for it.
func TestRecipientUsesMachineOfStoppedReplica(t *testing.T) {
	qc := newQuotaCluster(t, 8, 0, 2, 0)
	for range 2 {
		qc.submitService(wire.Normal, 2, 1, fourCPUs)
	}
	qc.runFor(micro.Minute)
	qc.expectPlaced(2, 0)
}

// Quota reserved for a starved job must not be used to complete a partially placed service.
func TestTransferDoesNotUseQuotaReservedForAnotherJob(t *testing.T) {
	qc := newQuotaCluster(t, 5, 0, 6, 0)
	qc.submitService(wire.Normal, 4, 2, oneCPU)
	qc.submitService(wire.Normal, 4, 2, oneCPU)
	gang := wire.Job{ID: "j-9", Team: "team", Class: "c", Kind: wire.Gang, Priority: wire.Normal, Tasks: 3, CPUs: 1}
	qc.team.QuotaReservedFor, qc.team.QuotaReservedAt = qc.state.AddJob(gang, qc.now), qc.now
	qc.runFor(50 * micro.Second)
	qc.expectPlaced(4, 0)
	if free := qc.team.CPULimit - qc.team.UsedCPU; free != 1 {
		t.Errorf("%v CPUs of the quota reserved for the gang are free, want 1", free)
	}
}

// If the quota of a task that is already stopping suffices for a service, no replica may be stopped for it.
func TestTransferCountsQuotaOfStoppingTasks(t *testing.T) {
	qc := newQuotaCluster(t, 3, 0, 6, 0)
	qc.submitService(wire.Normal, 2, 1, oneCPU)
	qc.submitService(wire.Normal, 2, 1, oneCPU)
	cancelled := qc.submitService(wire.Low, 1, 1, oneCPU)
	qc.runFor(20 * micro.Second)
	for _, machine := range qc.state.Machines {
		qc.hung[machine.Name] = len(machine.Allocations) > 0 && cancelled.Allocations()[0].Machine == machine
	}
	qc.state.StopAllocation(cancelled.Allocations()[0], "test", 0, qc.now)
	qc.runFor(40 * micro.Second)
	if qc.stopCount() > 0 {
		t.Errorf("replicas stopped by service: %v, want none", qc.stopped)
	}
}

// After a transfer by which the recipient did not become fully placed, the next one is delayed, so that replicas
// are not stopped again and again.
func TestFailedTransferBacksOff(t *testing.T) {
	qc := newQuotaCluster(t, 2, 0, 2, 0)
	qc.submitService(wire.Normal, 2, 1, oneCPU)
	donor := qc.submitService(wire.Normal, 2, 1, oneCPU)
	for _, machine := range qc.state.Machines {
		qc.hung[machine.Name] = true // stops are never confirmed, and the leases never expire
	}
	qc.runFor(30 * micro.Minute)
	if stops := qc.stopped[donor.Spec.ID]; stops != 1 {
		t.Errorf("%d replicas were stopped, want 1", stops)
	}
	if record := qc.scheduler.transferRecords[qc.services[0]]; record.failures != 1 {
		t.Errorf("%d transfers failed, want 1", record.failures)
	}
}

// After a failed transfer, no replica may be stopped for the recipient until the backoff ends. Then one is.
func TestTransferIsNotRetriedBeforeBackoffEnds(t *testing.T) {
	qc := newQuotaCluster(t, 2, 0, 2, 0)
	recipient := qc.submitService(wire.Production, 2, 1, oneCPU)
	qc.submitService(wire.Low, 2, 1, spread)
	qc.scheduler.transferRecords = map[*cluster.Job]transferRecord{recipient: {nextTransferAt: qc.now + 2*micro.Minute}}
	qc.runFor(2*micro.Minute - micro.Second)
	qc.expectPlaced(1, 1)
	qc.runFor(micro.Minute)
	qc.expectPlaced(2, 0)
}

const randomServiceSeeds = 40 // number of random sets of services

// Transfers between random services must end. After that at least as many services are fully placed as before,
// and no partially placed service is left that others' quota could complete.
func TestTransfersAmongRandomServicesTerminate(t *testing.T) {
	for seed := range uint64(randomServiceSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			qc := newQuotaCluster(t, float64(6+rng.IntN(10)), pick(rng, 0.0, 6), 12, 12)
			qc.placeRandomServices(rng)
			before := len(qc.fullyPlacedServices())
			qc.runFor(15 * micro.Minute)
			after, stops := len(qc.fullyPlacedServices()), qc.stopCount()
			if after < before {
				t.Errorf("%d services are fully placed after the transfers, %d before", after, before)
			}
			qc.runFor(30 * micro.Minute)
			if qc.stopCount() != stops || len(qc.fullyPlacedServices()) != after {
				t.Errorf(
					"%d replicas were stopped after the transfers, want 0 and the same number of fully placed services",
					qc.stopCount()-stops,
				)
			}
			qc.expectNoCompletableService()
		})
	}
}

// placeRandomServices submits services of random sizes, and places their replicas in random order
// until the limit is reached.
func (qc *quotaCluster) placeRandomServices(rng *rand.Rand) {
	for range 3 + rng.IntN(8) {
		spec := wire.Job{CPUs: float64(1 + rng.IntN(2)), Spread: rng.IntN(3) == 0}
		if rng.IntN(3) == 0 {
			spec.GPUs = float64(1 + rng.IntN(2))
		}
		priority := pick(rng, wire.Production, wire.High, wire.Normal, wire.Low)
		qc.submitService(priority, 1+rng.IntN(3), 0, spec)
	}
	machines := qc.state.SortedMachines()
	for range 200 {
		job, machine := pick(rng, qc.services...), pick(rng, machines...)
		waiting := job.NextTasks(qc.now, 1)
		if len(waiting) > 0 && withinQuota(job, 1) && ZoneAllowed(job, machine.Zone, nil) &&
			fits(requestOn(&job.Spec, machine.Type), machine, nil, resources{}) {
			qc.state.Allocate(job, waiting[0], machine, 1, job.Spec.CPUs, qc.now)
		}
	}
}

// expectNoCompletableService checks that no partially placed service could be completed with the free quota and that
// of other partially placed services of the same or lower priorities.
func (qc *quotaCluster) expectNoCompletableService() {
	qc.tb.Helper()
	for _, job := range qc.services {
		if job.PendingTasks() == 0 || job.AllocationCount == 0 {
			continue
		}
		free := quotaShortage{qc.team.CPULimit - qc.team.UsedCPU, qc.team.GPULimit - qc.team.UsedGPU}
		for _, other := range qc.services {
			if other != job && other.PendingTasks() > 0 && other.PriorityLevel >= job.PriorityLevel {
				free.cpus += float64(other.AllocationCount) * other.Spec.CPUs
				free.gpus += float64(other.AllocationCount) * other.Spec.GPUs
			}
		}
		pending := float64(job.PendingTasks())
		if free.cpus >= pending*job.Spec.CPUs && (qc.team.GPULimit == 0 || free.gpus >= pending*job.Spec.GPUs) {
			qc.tb.Errorf("service %s has %d of %d replicas, while partially placed services hold enough quota for the rest",
				job.Spec.ID, job.AllocationCount, len(job.Tasks))
		}
	}
}

// BenchmarkQuotaReview measures the review of 300 partially placed services on a cluster of 4,000 machines, none of
// which can run the missing replicas.
func BenchmarkQuotaReview(b *testing.B) {
	for _, tt := range []struct {
		name     string
		inA, inB int
	}{{"no machine in the other zone", 4000, 0}, {"all machines are full", 150, 3850}} {
		b.Run(tt.name, func(b *testing.B) {
			qc := newQuotaCluster(b, 1200, 0, tt.inA, tt.inB)
			for range 300 {
				qc.submitService(wire.Normal, 2, 1, wire.Job{CPUs: 2, Spread: true})
			}
			if tt.inB > 0 {
				qc.fillMachines()
			}
			qc.team.CPULimit = qc.team.UsedCPU
			qc.now += 2 * micro.Minute
			b.ResetTimer()
			for range b.N {
				qc.now += quotaReviewInterval
				qc.scheduler.transferQuota(qc.now)
			}
		})
	}
}

// fillMachines fills all empty machines with tasks without a team, of the same priority as the services.
func (qc *quotaCluster) fillMachines() {
	spec := wire.Job{ID: "j-9", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 5000, CPUs: 4}
	array := qc.state.AddJob(spec, qc.now)
	next := 0
	for _, machine := range qc.state.SortedMachines() {
		if len(machine.Allocations) == 0 {
			qc.state.Allocate(array, next, machine, 1, 4, qc.now)
			next++
		}
	}
}
