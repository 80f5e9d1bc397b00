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

// quotaCluster is a cluster whose team wants more than its limit.
type quotaCluster struct {
	tb        testing.TB
	state     *cluster.State
	team      *cluster.Team
	scheduler *Scheduler
	now       micro.Time
	sequence  wire.Count
	hung      map[string]bool // machines that are not heard
	services  []*cluster.Job
	stopped   map[string]int // replicas stopped for another service's quota, by service
}

// newQuotaCluster makes a team with its limits and as many machines in zone a and in zone b.
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

// submitService submits a submitService some of whose replicas run already, on the first machines that have capacity.
func (qc *quotaCluster) submitService(priority wire.Priority, replicas, running int, spec wire.Job) *cluster.Job {
	spec.ID, spec.Team, spec.Class = fmt.Sprint("j-", 1000+len(qc.services)), "team", "c"
	spec.Kind, spec.Priority, spec.Tasks = wire.Service, priority, replicas
	job := qc.state.AddJob(spec, qc.now-micro.Minute+micro.Time(len(qc.services)), qc.now)
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
		qc.tb.Fatalf("%s: %d replicas are placed, want %d", spec.ID, job.AllocationCount, running)
	}
	return job
}

// runFor lets time go by. Each second all machines report: what is to stop is over, all else runs.
func (qc *quotaCluster) runFor(span micro.Time) {
	qc.tb.Helper()
	for end := qc.now + span; qc.now < end; {
		qc.now += micro.Second
		qc.heartbeats()
		whole := qc.fullyPlacedServices()
		qc.scheduler.Schedule(qc.now)
		qc.countStops(whole)
		if !qc.team.WithinLimit(0, 0, 0) {
			qc.tb.Fatalf("%v CPUs and %v GPUs are used", qc.team.UsedCPU, qc.team.UsedGPU)
		}
		qc.persistRecords()
	}
}

func (qc *quotaCluster) heartbeats() {
	qc.sequence++
	for _, machine := range qc.state.SortedMachines() {
		if !qc.hung[machine.Name] {
			qc.heartbeat(machine)
		}
	}
}

// persistRecords has the store take all records, so that what is placed may start.
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

// countStops counts the replicas that were stopped in this pass, and fails if a whole service was
// among those that gave them.
func (qc *quotaCluster) countStops(whole map[*cluster.Job]bool) {
	qc.tb.Helper()
	for _, job := range qc.services {
		for _, allocation := range job.Allocations() {
			if !strings.HasPrefix(allocation.StopReason, "quota for") || allocation.StopRequestedAt != qc.now {
				continue
			}
			qc.stopped[job.Spec.ID]++
			if whole[job] {
				qc.tb.Fatalf("%v: a replica of %s was stopped, which was whole", qc.now, job.Spec.ID)
			}
		}
	}
}

func (qc *quotaCluster) fullyPlacedServices() map[*cluster.Job]bool {
	whole := map[*cluster.Job]bool{}
	for _, job := range qc.services {
		if job.State == cluster.Active && job.PendingTasks() == 0 {
			whole[job] = true
		}
	}
	return whole
}

func (qc *quotaCluster) stopCount() int {
	count := 0
	for _, stops := range qc.stopped {
		count += stops
	}
	return count
}

// expectPlaced expects so many replicas of each service, in the order of their submission.
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

// partialServiceCases are teams whose limit is held by services in part.
var partialServiceCases = []struct {
	name               string
	cpuLimit, gpuLimit float64
	submit             func(qc *quotaCluster)
	want               []int // replicas placed
	stops              int
}{
	{"of one priority, the first become whole", 4, 0, func(qc *quotaCluster) {
		for range 4 {
			qc.submitService(wire.Normal, 2, 1, oneCPU)
		}
	}, []int{2, 2, 0, 0}, 2},
	{"the most urgent comes first, though it came last", 4, 0, func(qc *quotaCluster) {
		qc.submitService(wire.Low, 2, 1, oneCPU)
		qc.submitService(wire.Normal, 2, 1, oneCPU)
		qc.submitService(wire.Normal, 2, 1, oneCPU)
		qc.submitService(wire.Production, 2, 1, oneCPU)
	}, []int{0, 2, 0, 2}, 2},
	{"an urgent one that has not begun", 4, 0, func(qc *quotaCluster) {
		for range 4 {
			qc.submitService(wire.Low, 2, 1, oneCPU)
		}
		qc.submitService(wire.High, 2, 0, oneCPU)
	}, []int{2, 0, 0, 0, 2}, 3},
	{"mixed sizes", 8, 0, func(qc *quotaCluster) {
		qc.submitService(wire.Normal, 3, 1, twoCPUs)
		qc.submitService(wire.Normal, 2, 1, threeCPUs)
		qc.submitService(wire.Normal, 4, 3, oneCPU)
	}, []int{3, 0, 2}, 2},
	{"no more than it takes, of the last", 10, 0, func(qc *quotaCluster) {
		qc.submitService(wire.High, 2, 1, fourCPUs)
		qc.submitService(wire.Normal, 2, 1, threeCPUs)
		qc.submitService(wire.Normal, 2, 1, twoCPUs)
		qc.submitService(wire.Low, 2, 1, oneCPU)
	}, []int{2, 0, 1, 0}, 2},
	{"GPUs", 0, 4, func(qc *quotaCluster) {
		qc.submitService(wire.Normal, 2, 1, twoGPUs)
		qc.submitService(wire.Normal, 2, 1, oneGPU)
		qc.submitService(wire.Normal, 2, 1, oneGPU)
	}, []int{2, 0, 0}, 2},
	{"GPUs, beside services without", 16, 2, func(qc *quotaCluster) {
		qc.submitService(wire.Normal, 2, 1, oneGPU)
		qc.submitService(wire.Normal, 2, 1, oneGPU)
		qc.submitService(wire.Low, 4, 4, oneCPU)
	}, []int{2, 0, 4}, 1},
	{"spread over zones", 4, 0, func(qc *quotaCluster) {
		for range 4 {
			qc.submitService(wire.Normal, 2, 1, spread)
		}
	}, []int{2, 2, 0, 0}, 2},
}

// Services that hold their team's limit for each other waited for good, also the most urgent.
func TestPartiallyPlacedServicesAreCompletedWithinTeamLimit(t *testing.T) {
	for _, tt := range partialServiceCases {
		t.Run(tt.name, func(t *testing.T) {
			qc := newQuotaCluster(t, tt.cpuLimit, tt.gpuLimit, 4, 4)
			tt.submit(qc)
			qc.runFor(4 * micro.Minute)
			qc.expectPlaced(tt.want...)
			if got := qc.stopCount(); got != tt.stops {
				t.Errorf("%d replicas were stopped, want %d: %v", got, tt.stops, qc.stopped)
			}
			qc.runFor(10 * micro.Minute)
			if got := qc.stopCount(); got != tt.stops {
				t.Errorf("%d replicas were stopped later", got-tt.stops)
			}
		})
	}
}

// An urgent service that came a moment ago is not too late: what idle ones hold in part does not go to
// one of them first.
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

// On a site whose machines are full of work of lower priority, a service has that preempted once it
// has the quota.
func TestServiceIsCompletedByPreemptionOnFullCluster(t *testing.T) {
	qc := newQuotaCluster(t, 2, 0, 1, 1)
	for _, zone := range []string{"a", "b"} {
		qc.submitService(wire.Normal, 2, 1, wire.Job{CPUs: 1, Zone: &zone})
	}
	idle := wire.Job{ID: "j-9", Class: "idle", Kind: wire.JobArray, Priority: wire.Low, Tasks: 9, CPUs: 1}
	qc.services = append(qc.services, qc.state.AddJob(idle, qc.now, qc.now))
	qc.runFor(4 * micro.Minute)
	qc.expectPlaced(2, 0, 6)
}

// A replica is stopped only if another service becomes whole by that.
func TestNoReplicaIsStoppedWhenRecipientCannotBeCompleted(t *testing.T) {
	for _, tt := range []struct {
		name     string
		cpuLimit float64
		submit   func(qc *quotaCluster)
	}{
		{"no machine in the zone that all lack", 2, func(qc *quotaCluster) {
			qc.submitService(wire.Normal, 2, 1, spread)
			qc.submitService(wire.Normal, 2, 1, spread)
		}},
		{"the others are whole", 4, func(qc *quotaCluster) {
			qc.submitService(wire.Low, 3, 3, oneCPU)
			qc.submitService(wire.Production, 2, 1, oneCPU)
		}},
		{"all that they hold is not enough", 4, func(qc *quotaCluster) {
			qc.submitService(wire.Low, 2, 2, oneCPU)
			qc.submitService(wire.Normal, 4, 1, oneCPU)
			qc.submitService(wire.Normal, 4, 1, oneCPU)
		}},
		{"one that has not begun, of the same priority", 2, func(qc *quotaCluster) {
			qc.submitService(wire.Normal, 2, 0, oneCPU)
			qc.submitService(wire.Normal, 2, 1, spread)
			qc.submitService(wire.Normal, 2, 1, spread)
		}},
		{"the replica of the one that comes first is on a machine that does not answer", 8, func(qc *quotaCluster) {
			machine := qc.submitService(wire.Normal, 2, 1, fourCPUs).Allocations()[0].Machine
			qc.state.TransitionMachine(machine, cluster.Suspect, "test")
			qc.hung[machine.Name] = true
			qc.submitService(wire.Normal, 2, 1, wire.Job{CPUs: 4, Spread: true})
		}},
		{"machines in two zones for one that has to be in one", 28, func(qc *quotaCluster) {
			zoneA, zoneB := "a", "b"
			qc.submitService(wire.Production, 3, 3, fourCPUs)
			qc.addMachine(zoneB)
			qc.addMachine(zoneB)
			qc.addMachine(zoneB)
			for _, zone := range []*string{&zoneA, &zoneA, &zoneB, &zoneB} { // none can become whole
				qc.submitService(wire.Low, 2, 1, wire.Job{CPUs: 4, Spread: true, Zone: zone})
			}
			qc.submitService(wire.Normal, 4, 0, wire.Job{CPUs: 4, OneZone: true})
		}},
		{"the one that comes first fails", 2, func(qc *quotaCluster) {
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
				t.Errorf("replicas were stopped: %v", qc.stopped)
			}
		})
	}
}

// Where machines of one zone do not come up, services that can do without it are not kept waiting
// for those that cannot, and these do not take the quota back.
func TestServiceWithoutZoneCapacityDoesNotBlockOthers(t *testing.T) {
	qc := newQuotaCluster(t, 2, 0, 6, 0)
	qc.submitService(wire.Normal, 2, 1, spread)
	qc.submitService(wire.Normal, 2, 1, oneCPU)
	qc.runFor(micro.Minute)
	if qc.team.Transfer.Recipient != qc.services[0] && qc.services[1].PendingTasks() > 0 {
		t.Error("no machine is requested for the service that comes first")
	}
	qc.runFor(3 * micro.Minute)
	qc.expectPlaced(0, 2)
	qc.addMachine("b")
	qc.runFor(20 * micro.Minute)
	qc.expectPlaced(0, 2)
}

// What comes free is for the service that becomes whole, not for those that it was taken from, nor
// for a shard.
func TestQuotaOfStoppedReplicasIsReservedForRecipient(t *testing.T) {
	qc := newQuotaCluster(t, 4, 0, 6, 0)
	first := qc.submitService(wire.Normal, 3, 2, oneCPU)
	last := qc.submitService(wire.Normal, 3, 2, oneCPU)
	idle := qc.submitService(wire.Low, 1, 0, oneCPU)
	urgent := qc.submitService(wire.Production, 1, 0, oneCPU)
	for qc.stopCount() == 0 && qc.now < 3*micro.Minute {
		qc.runFor(micro.Second)
	}
	if transfer := qc.team.Transfer; !transfer.StopsRequested || transfer.Recipient != urgent {
		t.Fatalf("the transfer is %+v, want one to the urgent service", transfer)
	}
	for _, job := range []*cluster.Job{first, last, idle} {
		if withinQuota(job, 1) || qc.state.Assign(job, "shard") > 0 {
			t.Errorf("%s takes the quota that is kept", job.Spec.ID)
		}
	}
	qc.runFor(2 * micro.Minute)
	qc.expectPlaced(3, 0, 0, 1)
}

// A shard takes no job of the team, and no more of one, while quota is kept.
func TestQuotaOfStoppedReplicasIsNotAvailableToShards(t *testing.T) {
	qc := newQuotaCluster(t, 4, 0, 6, 0)
	recipient := qc.submitService(wire.Normal, 3, 1, oneCPU)
	assigned, waiting := qc.submitService(wire.Normal, 2, 0, oneCPU), qc.submitService(wire.Normal, 1, 0, oneCPU)
	qc.state.Assign(assigned, "shard")
	qc.state.ReleaseQuota(assigned, 1)
	qc.team.Transfer = cluster.QuotaTransfer{Recipient: recipient, Since: qc.now, StopsRequested: true}
	if qc.state.Assign(waiting, "shard") > 0 || qc.state.ReserveQuota(assigned, 1) > 0 {
		t.Error("a shard takes the quota that is kept")
	}
	qc.team.Transfer = cluster.QuotaTransfer{}
	if qc.state.Assign(waiting, "shard") != 1 || qc.state.ReserveQuota(assigned, 1) != 1 {
		t.Error("a shard takes no quota that is free")
	}
}

// A service to which quota is given begins none of the replicas until all of them may be placed.
func TestRecipientStartsReplicasOnlyOnceAllFitQuota(t *testing.T) {
	qc := newQuotaCluster(t, 12, 0, 6, 0)
	recipient := qc.submitService(wire.Normal, 3, 1, fourCPUs)
	qc.submitService(wire.Low, 2, 1, fourCPUs)
	hung := qc.submitService(wire.Low, 2, 1, fourCPUs).Allocations()[0].Machine.Name
	qc.runFor(quotaTransferAfter - 2*micro.Second)
	qc.hung[hung] = true
	qc.runFor(10 * micro.Second)
	if recipient.AllocationCount != 1 || !qc.team.Transfer.StopsRequested || qc.team.UsedCPU != 8 {
		t.Fatalf("%d replicas, %v CPUs are used, %+v", recipient.AllocationCount, qc.team.UsedCPU, qc.team.Transfer)
	}
	qc.hung[hung] = false
	qc.runFor(3 * micro.Second)
	qc.expectPlaced(3, 0, 0)
}

// The machine that a replica was stopped for is kept until the quota is free, and a replica that
// takes long to save is not waited for.
func TestMachineOfStoppedReplicaIsReservedUntilQuotaIsFree(t *testing.T) {
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
		t.Fatalf("stopping %v, within %v s", stopped.Stopping, stopped.GraceS)
	}
	other := wire.Job{ID: "j-9", Class: "other", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 1, CPUs: 4}
	qc.state.AddJob(other, qc.now, qc.now)
	qc.runFor(5 * micro.Second)
	qc.hung[stopped.Machine.Name] = false
	qc.runFor(2 * micro.Second)
	qc.expectPlaced(2, 0)
}

// A service takes the machine of the replica that is stopped for it, if there is no other.
func TestRecipientUsesMachineOfStoppedReplica(t *testing.T) {
	qc := newQuotaCluster(t, 8, 0, 2, 0)
	for range 2 {
		qc.submitService(wire.Normal, 2, 1, fourCPUs)
	}
	qc.runFor(micro.Minute)
	qc.expectPlaced(2, 0)
}

// What is saved up for a job that waited long is not given to a service in part.
func TestTransferDoesNotUseQuotaReservedForAnotherJob(t *testing.T) {
	qc := newQuotaCluster(t, 5, 0, 6, 0)
	qc.submitService(wire.Normal, 4, 2, oneCPU)
	qc.submitService(wire.Normal, 4, 2, oneCPU)
	gang := wire.Job{ID: "j-9", Team: "team", Class: "c", Kind: wire.Gang, Priority: wire.Normal, Tasks: 3, CPUs: 1}
	qc.team.QuotaReservedFor, qc.team.QuotaReservedAt = qc.state.AddJob(gang, qc.now, qc.now), qc.now
	qc.runFor(50 * micro.Second)
	qc.expectPlaced(4, 0)
	if free := qc.team.CPULimit - qc.team.UsedCPU; free != 1 {
		t.Errorf("%v CPUs are left of the quota that was saved up, want 1", free)
	}
}

// A service that has quota coming free of a task that is being stopped takes none from others.
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
		t.Errorf("replicas were stopped: %v", qc.stopped)
	}
}

// A transfer to a service that does not become whole is tried again later and later.
func TestFailedTransferBacksOff(t *testing.T) {
	qc := newQuotaCluster(t, 2, 0, 2, 0)
	qc.submitService(wire.Normal, 2, 1, oneCPU)
	donor := qc.submitService(wire.Normal, 2, 1, oneCPU)
	for _, machine := range qc.state.Machines {
		qc.hung[machine.Name] = true // its stop is not confirmed, and no lease runs out
	}
	qc.runFor(30 * micro.Minute)
	if stops := qc.stopped[donor.Spec.ID]; stops != 1 {
		t.Errorf("%d replicas were stopped, want 1", stops)
	}
	if record := qc.scheduler.transferRecords[qc.services[0]]; record.failures != 1 {
		t.Errorf("%d transfers came to nothing, want 1", record.failures)
	}
}

// A transfer that came to nothing is not tried again before its time.
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

const randomServiceSeeds = 40

// Transfers among random services come to an end, with more services whole than before, and no
// service that could become whole is left in part.
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
				t.Errorf("%d services are whole, before %d", after, before)
			}
			qc.runFor(30 * micro.Minute)
			if qc.stopCount() != stops || len(qc.fullyPlacedServices()) != after {
				t.Errorf("%d replicas were stopped later", qc.stopCount()-stops)
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

// expectNoCompletableService expects that no service in part would become whole by what others in part hold.
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
			qc.tb.Errorf("%s has %d of %d replicas, and others hold its quota in part", job.Spec.ID, job.AllocationCount,
				len(job.Tasks))
		}
	}
}

// BenchmarkQuotaReview is a look at 300 services in part, none of which has a machine to become
// whole with, on a site of 4,000 machines.
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

// fillMachines has work of another team, of the same priority, take all machines.
func (qc *quotaCluster) fillMachines() {
	spec := wire.Job{ID: "j-9", Class: "c", Kind: wire.JobArray, Priority: wire.Normal, Tasks: 5000, CPUs: 4}
	array := qc.state.AddJob(spec, qc.now, qc.now)
	next := 0
	for _, machine := range qc.state.SortedMachines() {
		if len(machine.Allocations) == 0 {
			qc.state.Allocate(array, next, machine, 1, 4, qc.now)
			next++
		}
	}
}
