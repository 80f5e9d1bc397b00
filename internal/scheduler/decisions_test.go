package scheduler

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// recordedDecisions is the digest of all decisions on the random clusters. It may be updated only by a commit
// that changes decisions on purpose and says so.
const recordedDecisions = "7877c09c9f85dead"

const (
	decisionClusters = 300
	decisionPasses   = 24
	decisionStep     = 6 * micro.Second
)

// decisionEffects finalizes finished jobs at once and discards all other effects.
type decisionEffects struct {
	discardEffects
	scenario *decisionScenario
}

func (decisionEffects) AttemptCompleted(*cluster.Allocation, micro.Time) {}

func (e decisionEffects) JobFinished(job *cluster.Job) {
	e.scenario.state.FinalizeJob(job, false, e.scenario.now)
}

// decisionScenario is a random cluster whose scheduler's decisions are added to a digest.
type decisionScenario struct {
	rng       *rand.Rand
	state     *cluster.State
	scheduler *Scheduler
	now       micro.Time
	digest    hash.Hash
	jobs      []*cluster.Job // in order of submission
	sequence  wire.Count
	coverage  *decisionCoverage
}

// decisionCoverage counts the kinds of decisions that the digest covers, to make sure that each of them is
// taken often enough.
type decisionCoverage struct {
	allocations, gangs, services, spread, onSpot, onDemand, onGPU     int
	sampledPasses, overloadedPasses                                   int
	preemptions, preemptedGangs, reservations, starvationReservations int
	quotaReservations, lastResort                                     int
	reasons                                                           [ReasonGangStopping + 1]int
}

func newDecisionScenario(seed uint64, digest hash.Hash, coverage *decisionCoverage) *decisionScenario {
	scenario := &decisionScenario{
		rng: rand.New(rand.NewPCG(seed, 11)), now: 1000 * micro.Second, digest: digest, coverage: coverage,
	}
	scenario.state = cluster.New(decisionEffects{scenario: scenario})
	scenario.state.LeaseDuration = 30 * micro.Second
	scenario.addMachines()
	scenario.addTeams()
	scenario.scheduler = scenario.newScheduler(seed)
	for range 6 + scenario.rng.IntN(12) {
		scenario.submit()
	}
	return scenario
}

// addMachines adds a random fleet of several types, speeds and zones, with spot and on-demand machines.
func (d *decisionScenario) addMachines() {
	d.state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, FetchGBPerS: 0.5},
		{Name: "large", CPUs: 16, MemoryGB: 64, FetchGBPerS: 1},
		{Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 192, FetchGBPerS: 1},
	}})
	d.state.Types["large"].SpeedFactor = pick(d.rng, 0.5, 0.8, 1, 1.25)
	d.state.Types["gpu"].SpeedFactor = pick(d.rng, 0.5, 0.9, 1, 2)
	images := cluster.ImageRecord{
		Names: []string{"image-0", "image-1"}, GB: []float64{4, 12}, Machines: map[string][]int{},
	}
	count := 6 + d.rng.IntN(30)
	if d.rng.IntN(6) == 0 {
		count += 60
	}
	for i := range count {
		machine := d.state.EnsureMachine(fmt.Sprint("i-", 100+i), 1)
		machine.AgentEpoch = 1
		typeName, zone := pick(d.rng, "small", "small", "large", "gpu"), pick(d.rng, "a", "a", "b", "c")
		d.state.DescribeMachine(machine, typeName, zone, d.rng.IntN(3) == 0)
		d.state.TransitionMachine(machine, cluster.Up, "heartbeat")
		if d.rng.IntN(3) == 0 {
			images.Machines[machine.Name] = []int{d.rng.IntN(2)}
		}
	}
	d.state.RestoreImages(images, 1)
}

// addTeams adds a team with a guarantee and a team with a low limit.
func (d *decisionScenario) addTeams() {
	d.state.Teams["guaranteed"] = &cluster.Team{
		Name: "guaranteed", GuaranteedCPUs: 20, GuaranteedGPUs: pick(d.rng, 0.0, 4), CPULimit: 200,
	}
	d.state.Teams["limited"] = &cluster.Team{
		Name: "limited", CPULimit: pick(d.rng, 10.0, 30, 60), GPULimit: pick(d.rng, 2.0, 4, 8),
	}
}

// newScheduler returns a scheduler with random properties and objectives, and in half of the clusters with a
// price limit.
func (d *decisionScenario) newScheduler(seed uint64) *Scheduler {
	properties := config.Defaults()
	properties.StarvationAfter = pick[micro.Time](d.rng, 20, 40, 180) * micro.Second
	properties.SampleAbovePending, properties.SampleSize = 20, 3
	objectives := []config.Objective{
		{Kind: "wait", Class: "interactive", WithinS: 30},
		{Kind: "wait", Class: "serving", WithinS: pick(d.rng, 15.0, 120)},
		{Kind: "finished", Class: "report", WithinS: 200},
		{Kind: "deadline", Class: "training", Times: 1.5},
	}
	if d.rng.IntN(2) == 0 {
		objectives = append(objectives, config.Objective{Kind: "guarantee", WithinS: 60})
	}
	if d.rng.IntN(2) == 0 { // a short start objective, so that the class of gangs becomes overloaded
		objectives = append(objectives, config.Objective{Kind: "wait", Class: "training", WithinS: 90})
	}
	scheduler := &Scheduler{
		Cluster: d.state, Objectives: NewObjectives(objectives), Properties: &properties,
		Rand: rand.New(rand.NewPCG(seed, 13)),
	}
	if d.rng.IntN(2) == 0 {
		scheduler.WithinPrice = func(job *cluster.Job, typ *cluster.MachineType, spot bool, _ micro.Time) bool {
			return job.PriorityLevel == 0 && !spot || typ.Name != "large" || len(job.Tasks) > 2
		}
	}
	return scheduler
}

// submit adds a random job that has waited for up to two minutes, or, one in five, for three to five minutes.
func (d *decisionScenario) submit() {
	spec := wire.Job{
		ID: fmt.Sprint("j-", 1000+len(d.jobs)), Team: pick(d.rng, "", "guaranteed", "limited"),
		Kind:     pick(d.rng, wire.JobArray, wire.JobArray, wire.Gang, wire.Service),
		Priority: pick(d.rng, wire.Production, wire.High, wire.Normal, wire.Low, wire.Low),
		CPUs:     float64(1+d.rng.IntN(16)) / 4, MemoryGB: float64(d.rng.IntN(8)),
		Image: pick(d.rng, "image-0", "image-1", "image-2"), ImageGB: float64(d.rng.IntN(12)),
		Spot: d.rng.IntN(2) == 0, EstimateS: float64(5 + d.rng.IntN(150)),
	}
	d.setClassAndRequest(&spec)
	if d.rng.IntN(2) == 0 {
		spec.CheckpointIntervalS, spec.CheckpointDurationS = float64(5+d.rng.IntN(30)), float64(1+d.rng.IntN(6))
	}
	waited := micro.Time(d.rng.IntN(120)) * micro.Second
	if d.rng.IntN(5) == 0 {
		waited += 3 * micro.Minute
	}
	d.jobs = append(d.jobs, d.state.AddJob(spec, d.now-waited))
}

// setClassAndRequest sets the class, the number of tasks and the request of a job according to its kind.
func (d *decisionScenario) setClassAndRequest(spec *wire.Job) {
	switch spec.Kind {
	case wire.Gang:
		spec.Class, spec.Tasks = "training", 1+d.rng.IntN(6)
		spec.OneZone = d.rng.IntN(2) == 0
		if d.rng.IntN(2) == 0 {
			due := float64(60 + d.rng.IntN(400))
			spec.DeadlineS = &due
		}
	case wire.Service:
		spec.Class, spec.Tasks = "serving", 1+d.rng.IntN(4)
		spec.Spread = spec.Tasks > 1 && d.rng.IntN(2) == 0
	default:
		spec.Class, spec.Tasks = pick(d.rng, "interactive", "report", "crawl"), 1+d.rng.IntN(10)
		if d.rng.IntN(8) == 0 {
			spec.Tasks = 60
		}
	}
	if d.rng.IntN(3) == 0 {
		spec.GPUs = float64(1 + d.rng.IntN(4))
	}
	if d.rng.IntN(10) == 0 {
		spec.Types = []string{pick(d.rng, "small", "large", "gpu"), "gpu"}
	}
	if zone := "b"; d.rng.IntN(12) == 0 {
		spec.Zone = &zone
	}
}

// runPass changes the cluster at random, runs one scheduling pass, and records the decisions.
func (d *decisionScenario) runPass() {
	d.now += decisionStep
	d.heartbeats()
	for range d.rng.IntN(3) {
		d.submit()
	}
	d.injectRandomFault()
	d.scheduler.Overloaded = d.rng.IntN(3) == 0
	placed := d.scheduler.Schedule(d.now)
	if d.scheduler.sampling {
		d.coverage.sampledPasses++
	}
	d.coverage.overloadedPasses += boolToInt(len(d.scheduler.overloadedClasses()) > 0)
	d.record("pass", d.now, placed, d.scheduler.MachinesExamined)
	d.recordMachines()
	d.recordTeams()
	d.recordJobs()
	for _, job := range d.jobs { // placed tasks may start once their records are stored
		for _, chunk := range job.Chunks {
			d.state.ChunkPersisted(chunk, chunk.MemoryVersion)
		}
	}
}

// heartbeats sends a heartbeat for two in three machines in state Up. Stopping tasks are reported as exited
// and the others as running, some of which complete or fail.
func (d *decisionScenario) heartbeats() {
	d.sequence++
	for _, machine := range d.state.SortedMachines() {
		if machine.State != cluster.Up || d.rng.IntN(3) == 0 {
			continue
		}
		heartbeat := &wire.Heartbeat{
			Machine: machine.Name, Addr: "address", Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot,
			AgentEpoch: 1, Sequence: d.sequence, FencingToken: 1,
		}
		for _, allocation := range machine.SortedAllocations() {
			heartbeat.Tasks = append(heartbeat.Tasks, d.taskStatus(allocation))
		}
		d.state.Reconcile(heartbeat, cluster.FromHeartbeat, d.now)
	}
}

// taskStatus returns the reported status of an allocation. One in 40 running tasks fails; tasks that are not of
// a service complete after half of their estimated run time.
func (d *decisionScenario) taskStatus(allocation *cluster.Allocation) wire.TaskStatus {
	status := wire.TaskStatus{
		Task: allocation.TaskName, Attempt: wire.Count(allocation.Attempt), State: wire.TaskRunning,
	}
	ranFor := d.now - allocation.RunningSince
	switch {
	case allocation.Stopping:
		status.State, status.Cause = wire.TaskExited, wire.CauseStopped
	case allocation.RunningSince == 0:
	case d.rng.IntN(40) == 0:
		status.State, status.Cause = wire.TaskExited, wire.CauseError
	case allocation.Job.Spec.Kind != wire.Service && ranFor > micro.FromSeconds(allocation.Job.Spec.EstimateS/2):
		status.State, status.Cause = wire.TaskExited, wire.CauseDone
	}
	return status
}

// injectRandomFault quarantines, cordons or uncordons a random machine, changes its state, or toggles whether
// it leaves dispatches unanswered. Three times in eight it does nothing.
func (d *decisionScenario) injectRandomFault() {
	machines := d.state.SortedMachines()
	machine := machines[d.rng.IntN(len(machines))]
	switch d.rng.IntN(8) {
	case 0:
		machine.QuarantinedUntil, machine.LastFaultAt = d.now+micro.Minute, d.now
	case 1:
		d.state.SetCordoned(machine, !machine.Cordoned)
	case 2:
		d.state.TransitionMachine(machine, cluster.Suspect, "test")
	case 3:
		d.state.TransitionMachine(machine, cluster.Up, "test")
	case 4:
		machine.DispatchUnanswered = !machine.DispatchUnanswered
	}
}

// record adds a line with the values to the digest.
func (d *decisionScenario) record(values ...any) { d.digest.Write(fmt.Appendln(nil, values...)) }

func (d *decisionScenario) recordMachines() {
	for _, machine := range d.state.SortedMachines() {
		holder := ""
		if machine.ReservedFor != nil {
			holder = machine.ReservedFor.Spec.ID
			d.coverage.reservations++
			if machine.StarvationReservation {
				d.coverage.starvationReservations++
			}
		}
		d.record(
			"machine", machine.Name, holder, machine.ReservedAt, machine.StarvationReservation,
			machine.UnusedReservationSince, machine.UnusedReservationEndedAt,
		)
		for _, allocation := range machine.SortedAllocations() {
			d.recordAllocation(allocation)
		}
	}
}

func (d *decisionScenario) recordAllocation(allocation *cluster.Allocation) {
	// Which task of a preempted gang was the victim is not determined, since all of them are stopped. The
	// digest must not depend on it.
	gangPreempted := strings.HasPrefix(allocation.StopReason, "preempted") && allocation.Job.Spec.Kind == wire.Gang
	reason := allocation.StopReason
	if gangPreempted {
		reason = "preempted"
	}
	d.record(
		"allocation", allocation.TaskName, allocation.Attempt, allocation.Machine.Name, allocation.PlannedAt,
		allocation.Stopping, allocation.StopRequestedAt, reason, allocation.GraceS, allocation.LastResort,
	)
	d.coverage.add(allocation, d.now, gangPreempted)
}

// add counts an allocation that was placed or preempted in this pass.
func (c *decisionCoverage) add(allocation *cluster.Allocation, now micro.Time, gangPreempted bool) {
	if allocation.Stopping && allocation.StopRequestedAt == now {
		c.preemptions += boolToInt(strings.HasPrefix(allocation.StopReason, "preempted"))
		c.preemptedGangs += boolToInt(gangPreempted)
	}
	if allocation.PlannedAt != now {
		return
	}
	spec, machine := &allocation.Job.Spec, allocation.Machine
	c.allocations++
	c.gangs += boolToInt(spec.Kind == wire.Gang)
	c.services += boolToInt(spec.Kind == wire.Service)
	c.spread += boolToInt(spec.Spread)
	c.onSpot += boolToInt(machine.Spot)
	c.onDemand += boolToInt(!machine.Spot)
	c.onGPU += boolToInt(spec.GPUs > 0)
	c.lastResort += boolToInt(allocation.LastResort)
}

func (d *decisionScenario) recordTeams() {
	for _, name := range []string{"guaranteed", "limited"} {
		team := d.state.Teams[name]
		holder := ""
		if team.QuotaReservedFor != nil {
			holder = team.QuotaReservedFor.Spec.ID
			d.coverage.quotaReservations++
		}
		d.record("team", name, holder, team.QuotaReservedAt, team.QuotaReservableAfter, team.LastPlacedAt)
	}
}

// recordJobs records the jobs with a zone reservation, and the reasons why jobs are pending.
func (d *decisionScenario) recordJobs() {
	for _, job := range d.jobs {
		if reservation, ok := d.scheduler.reservations[job]; ok {
			d.record("reservation", job.Spec.ID, reservation.zone, reservation.since)
		}
		if d.state.ActiveJobs[job] && (job.PendingTasks() > 0 || job.GangStopping) {
			reason := d.scheduler.ExplainPending(job, d.now)
			d.record("pending", job.Spec.ID, uint8(reason), job.Throttled, job.WithinGuarantee, job.WaitingSince)
			d.coverage.reasons[reason]++
		}
	}
}

// pick returns a random one of the values.
func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// Refactoring must not change decisions. The digest covers each allocation, preemption, reservation and
// pending reason on 300 random clusters, and the state of the random number generator, so that a change in
// the number of draws shows as well.
func TestDecisionsOnRandomClustersMatchRecordedDigest(t *testing.T) {
	digest := fnv.New64a()
	coverage := &decisionCoverage{}
	for seed := range uint64(decisionClusters) {
		scenario := newDecisionScenario(seed, digest, coverage)
		for range decisionPasses {
			scenario.runPass()
		}
		scenario.record("cluster", seed, scenario.scheduler.Rand.Uint64())
	}
	t.Logf("%+v", *coverage)
	coverage.check(t)
	if got := fmt.Sprintf("%016x", digest.Sum64()); got != recordedDecisions {
		t.Fatalf("digest of the decisions is %s, want %s", got, recordedDecisions)
	}
}

// check fails the test if a kind of decision was taken fewer than 20 times.
func (c *decisionCoverage) check(t *testing.T) {
	t.Helper()
	const enough = 20
	counts := []int{
		c.allocations, c.gangs, c.services, c.spread, c.onSpot, c.onDemand, c.onGPU, c.sampledPasses, c.overloadedPasses,
		c.preemptions, c.preemptedGangs, c.reservations, c.starvationReservations, c.quotaReservations, c.lastResort,
	}
	if least := slices.Min(append(counts, c.reasons[:]...)); least < enough {
		t.Errorf("a kind of decision was taken only %d times, want at least %d: %+v", least, enough, *c)
	}
}
