package autoscaler

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/wire"
)

// recordedDecisions is the digest of all decisions on the random clusters. Only a commit that changes
// decisions on purpose, and says so, may change it.
const recordedDecisions = "51171b67a02702e3"

const (
	decisionClusters = 280
	decisionPlans    = 36
	decisionStep     = 3 * micro.Second
)

// decisionEffects finalizes jobs when they have finished and discards all other effects.
type decisionEffects struct {
	discardEffects
	scenario *decisionScenario
}

func (decisionEffects) AttemptCompleted(*cluster.Allocation, micro.Time) {}
func (decisionEffects) DispatchSoon(*cluster.Machine)                    {}

func (e decisionEffects) JobFinished(job *cluster.Job) {
	e.scenario.state.FinalizeJob(job, false, e.scenario.now)
}

// decisionScenario is a random cluster whose planner's decisions are added to a digest. All its quantities
// are sums of few powers of two, so that adding them up in any order gives exactly the same result.
type decisionScenario struct {
	rng               *rand.Rand
	state             *cluster.State
	planner           *Planner
	now               micro.Time
	digest            hash.Hash
	jobs              []*cluster.Job // in submission order
	upAt              map[*cluster.Machine]micro.Time
	heartbeatSequence wire.Count
	created           int
	requests          int
	submitRounds      int // plans during which jobs are submitted
	coverage          *decisionCoverage
}

// decisionCoverage counts how often each kind of decision was taken, so that the digest cannot come from
// clusters in which nothing happens.
type decisionCoverage struct {
	spot, onDemand, onGPU, urgent, maxSizedRequest, inUnreachableZone, inShard int
	idle, cordoned, uncordoned, headroom                                       int
	refusals, excluded, persistent, tooExpensive, noBacklog, permanent         int
}

func newDecisionScenario(seed uint64, digest hash.Hash, coverage *decisionCoverage) *decisionScenario {
	scenario := &decisionScenario{
		rng: rand.New(rand.NewPCG(seed, 17)), now: 1000 * micro.Second, digest: digest, coverage: coverage,
		upAt: map[*cluster.Machine]micro.Time{},
	}
	scenario.submitRounds = decisionPlans/3 + scenario.rng.IntN(decisionPlans)
	scenario.state = cluster.New(decisionEffects{scenario: scenario})
	scenario.state.LeaseDuration = 30 * micro.Second
	scenario.addCatalog()
	scenario.addTeams()
	scenario.addPlanner()
	scenario.addMachines()
	for range 2 + scenario.rng.IntN(8) {
		scenario.submit()
	}
	return scenario
}

func (d *decisionScenario) addCatalog() {
	d.state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{
		{
			Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.25, BootS: 30, FetchGBPerS: 0.5,
			Zones: []string{"a", "b", "c"},
		},
		{
			Name: "large", CPUs: 16, MemoryGB: 64, Price: pick(d.rng, 3.5, 4, 6.5), SpotPrice: 1.5, BootS: 64, FetchGBPerS: 1,
			Zones: []string{"a", "b"},
		},
		{
			Name: "gpu", CPUs: 24, GPUs: 4, MemoryGB: 192, Price: pick(d.rng, 14.0, 30, 60), SpotPrice: pick(d.rng, 5.0, 25),
			BootS: 30, FetchGBPerS: 1, Zones: []string{"a", "c"},
		},
	}})
	d.state.Types["large"].SpeedFactor = pick(d.rng, 0.5, 1, 2)
	d.state.Types["gpu"].SpeedFactor = pick(d.rng, 0.5, 1, 2)
}

func (d *decisionScenario) addTeams() {
	d.state.Teams["guaranteed"] = &cluster.Team{
		Name: "guaranteed", GuaranteedCPUs: 20, GuaranteedGPUs: pick(d.rng, 0.0, 4), CPULimit: 200,
	}
	d.state.Teams["limited"] = &cluster.Team{
		Name: "limited", CPULimit: pick(d.rng, 10.0, 30, 60), GPULimit: pick(d.rng, 2.0, 4, 8),
	}
}

func (d *decisionScenario) addPlanner() {
	properties := config.Defaults()
	properties.IdleTerminateAfter = pick[micro.Time](d.rng, 15, 30, 60) * micro.Second
	objectives := []config.Objective{
		{Kind: "wait", Class: "interactive", WithinS: pick(d.rng, 15.0, 30, 45)},
		{Kind: "wait", Class: "serving", WithinS: pick(d.rng, 15.0, 120)},
		{Kind: "finished", Class: "report", WithinS: 200},
		{Kind: "deadline", Class: "training", Times: 1.5},
	}
	if d.rng.IntN(2) == 0 {
		objectives = append(objectives, config.Objective{Kind: "guarantee", WithinS: 60})
	}
	cfg := Config{Cluster: d.state, Objectives: scheduler.NewObjectives(objectives), Properties: &properties}
	if d.rng.IntN(3) == 0 {
		cfg.OwnsOffer = func(offer InstanceOffer) bool { return offer.Zone != "b" }
		cfg.ShardDemands = d.shardDemands
	}
	d.planner = New(cfg)
}

// addMachines adds the initial machines; in some clusters, some of them are operator-owned.
func (d *decisionScenario) addMachines() {
	permanent := d.rng.IntN(6) == 0
	for range d.rng.IntN(24) {
		machine := d.addMachine(InstanceOffer{
			Type: pick(d.rng, "small", "small", "large", "gpu"), Zone: pick(d.rng, "a", "a", "b", "c"), Spot: d.rng.IntN(3) == 0,
		})
		machine.Permanent = permanent && d.rng.IntN(2) == 0
		d.state.TransitionMachine(machine, cluster.Up, "heartbeat")
	}
}

func (d *decisionScenario) addMachine(offer InstanceOffer) *cluster.Machine {
	d.created++
	machine := d.state.EnsureMachine(fmt.Sprint("i-", 1000+d.created), d.now)
	machine.AgentEpoch = 1
	d.state.DescribeMachine(machine, offer.Type, offer.Zone, offer.Spot)
	return machine
}

// submit adds a random job that has waited for up to a minute, or for three minutes more.
func (d *decisionScenario) submit() {
	spec := wire.Job{
		ID: fmt.Sprint("j-", 1000+len(d.jobs)), Team: pick(d.rng, "", "", "guaranteed", "limited"),
		Kind:     pick(d.rng, wire.JobArray, wire.JobArray, wire.Gang, wire.Service),
		Priority: pick(d.rng, wire.Production, wire.High, wire.Normal, wire.Low, wire.Low),
		CPUs:     float64(1+d.rng.IntN(16)) / 4, MemoryGB: float64(d.rng.IntN(8)),
		Image: "image", ImageGB: float64(d.rng.IntN(12)),
		Spot: d.rng.IntN(2) == 0, EstimateS: float64(5 + d.rng.IntN(100)),
	}
	d.randomizeTasks(&spec)
	waited := micro.Time(d.rng.IntN(60)) * micro.Second
	if d.rng.IntN(5) == 0 {
		waited += 3 * micro.Minute
	}
	job := d.state.AddJob(spec, d.now-waited)
	d.jobs = append(d.jobs, job)
	if d.planner.ShardDemands != nil && d.rng.IntN(4) == 0 {
		d.state.Assign(job, "shard")
	}
}

// randomizeTasks sets the class, the tasks, the requests and the constraints of a job of a given kind.
func (d *decisionScenario) randomizeTasks(spec *wire.Job) {
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
		if d.rng.IntN(12) == 0 {
			spec.Tasks = 160
		}
	}
	if d.rng.IntN(4) == 0 {
		spec.GPUs = float64(1 + d.rng.IntN(4))
	}
	if d.rng.IntN(6) == 0 {
		spec.Types = []string{pick(d.rng, "small", "large", "gpu"), "gpu"}
	}
	if zone := pick(d.rng, "b", "c"); d.rng.IntN(12) == 0 {
		spec.Zone = &zone
	}
}

// shardDemands returns the demands of the jobs that were assigned to the shard, which is zone b.
func (d *decisionScenario) shardDemands() []ShardDemand {
	var demands []ShardDemand
	for _, job := range d.jobs {
		if job.State == cluster.Assigned {
			demands = append(demands, ShardDemand{
				Job: job, Tasks: len(job.Tasks), InShard: func(offer InstanceOffer) bool { return offer.Zone == "b" },
			})
		}
	}
	return demands
}

// plan changes the cluster at random, makes one plan and records its decisions.
func (d *decisionScenario) plan(round int) {
	d.now += decisionStep
	if round < d.submitRounds || round >= decisionPlans-4 {
		for range d.rng.IntN(3) {
			d.submit()
		}
	} else {
		d.abortPending()
	}
	d.answerRequests()
	d.bootMachines()
	d.injectFaults()
	d.placeTasks()
	d.heartbeats()
	cordonedBefore := map[*cluster.Machine]bool{}
	for _, machine := range d.state.SortedMachines() {
		cordonedBefore[machine] = machine.Cordoned
	}
	scaleOuts, idle := d.planner.Plan(d.now)
	d.record("plan", d.now, len(scaleOuts), len(idle))
	for _, scaleOut := range scaleOuts {
		d.recordScaleOut(scaleOut)
	}
	d.recordMachines(cordonedBefore)
	d.recordPlanner()
	d.recordPrices()
	for _, machine := range idle {
		d.record("idle", machine.Name)
		d.coverage.idle++
		if d.rng.IntN(3) > 0 {
			d.state.RemoveMachine(machine, d.now)
		}
	}
}

// abortPending aborts the jobs that have pending tasks, and some services.
func (d *decisionScenario) abortPending() {
	for _, job := range d.jobs {
		service := job.Spec.Kind == wire.Service && d.rng.IntN(8) == 0
		if !job.IsTerminal() && (job.PendingTasks() > 0 || service) {
			d.state.FinalizeJob(job, true, d.now)
		}
	}
}

// answerRequests grants some of the pending requests in full or in part, or refuses them.
func (d *decisionScenario) answerRequests() {
	for id := range d.requests {
		scaleOut, pending := d.planner.PendingRequests[fmt.Sprint("r-", 1+id)]
		if !pending || d.rng.IntN(3) == 0 {
			continue
		}
		delete(d.planner.PendingRequests, fmt.Sprint("r-", 1+id))
		granted := scaleOut.Count
		if d.rng.IntN(4) == 0 {
			granted = d.rng.IntN(granted + 1)
		}
		if d.rng.IntN(3) == 0 {
			granted = 0
		}
		d.planner.RecordRequestResult(scaleOut.InstanceOffer, scaleOut.Count, granted, d.now)
		d.coverage.refusals += boolToInt(granted < scaleOut.Count)
		for range granted {
			machine := d.addMachine(scaleOut.InstanceOffer)
			if d.rng.IntN(5) > 0 { // the others never boot
				boot := micro.FromSeconds(machine.Type.BootS) * micro.Time(4+d.rng.IntN(8)) / 8
				d.upAt[machine] = d.now + boot
			}
		}
	}
}

// bootMachines lets machines boot, and removes those that fail to boot.
func (d *decisionScenario) bootMachines() {
	for _, machine := range d.state.SortedMachines() {
		if machine.State != cluster.Registering {
			continue
		}
		if at, boots := d.upAt[machine]; boots && d.now >= at {
			d.state.TransitionMachine(machine, cluster.Up, "heartbeat")
		} else if !boots && d.now-machine.RequestedAt > 80*micro.Second {
			d.state.RemoveMachine(machine, d.now)
		}
	}
}

// injectFaults makes random zones unreachable and random machines unusable, and lets some recover.
func (d *decisionScenario) injectFaults() {
	zone := pick(d.rng, "a", "b", "c")
	switch d.rng.IntN(16) {
	case 0:
		d.state.ZoneUnreachableSince[zone] = d.now
	case 1, 2, 3:
		delete(d.state.ZoneUnreachableSince, zone)
	}
	machines := d.state.SortedMachines()
	if len(machines) == 0 {
		return
	}
	machine := machines[d.rng.IntN(len(machines))]
	switch d.rng.IntN(8) {
	case 0:
		machine.QuarantinedUntil, machine.LastFaultAt = d.now+micro.Minute, d.now
	case 1:
		machine.PreemptionAt = d.now + micro.Minute
	case 2:
		d.state.TransitionMachine(machine, cluster.Suspect, "test")
	case 3:
		d.state.TransitionMachine(machine, cluster.Up, "test")
	case 4:
		if machine.State == cluster.Registering {
			machine.CloudState = wire.MachineFailed
		}
	}
}

// placeTasks allocates three in four pending tasks on the first machines with capacity.
func (d *decisionScenario) placeTasks() {
	for _, job := range d.jobs {
		if !d.state.PendingJobs[job] {
			continue
		}
		for _, index := range job.NextTasks(d.now, len(job.Tasks)) {
			if d.rng.IntN(4) > 0 {
				d.placeTask(job, index)
			}
		}
	}
}

// placeTask allocates a task on the first machine that has capacity for it, if there is one.
func (d *decisionScenario) placeTask(job *cluster.Job, index int) {
	spec := &job.Spec
	for _, machine := range d.state.SortedMachines() {
		if !machine.Schedulable(d.now) || !scheduler.Allowed(spec, machine.Type, machine.Zone, machine.Spot) ||
			!scheduler.ZoneAllowed(job, machine.Zone, nil) {
			continue
		}
		free := freeWithPreemption(machine, 99)
		if free.countFitting(spec) > 0 {
			scaled := scheduler.ScaledCPUs(spec.CPUs, machine.Type.SpeedFactor, machine.Type.CPUs)
			d.state.Allocate(job, index, machine, job.Tasks[index].Attempt+1, scaled, d.now)
			return
		}
	}
}

// heartbeats applies heartbeats from two in three machines: tasks that were told to stop have exited, the
// others run, and some of those complete or fail.
func (d *decisionScenario) heartbeats() {
	d.heartbeatSequence++
	for _, job := range d.jobs { // tasks start only once their allocations are persisted
		for _, chunk := range job.Chunks {
			d.state.ChunkPersisted(chunk, chunk.MemoryVersion)
		}
	}
	for _, machine := range d.state.SortedMachines() {
		if _, unreachable := d.state.ZoneUnreachableSince[machine.Zone]; unreachable || machine.State != cluster.Up ||
			d.rng.IntN(3) == 0 {
			continue
		}
		heartbeat := &wire.Heartbeat{
			Machine: machine.Name, Addr: "address", Type: machine.TypeName, Zone: machine.Zone, Spot: machine.Spot,
			AgentEpoch: 1, Sequence: d.heartbeatSequence, FencingToken: 1,
		}
		for _, allocation := range machine.SortedAllocations() {
			heartbeat.Tasks = append(heartbeat.Tasks, d.taskStatus(allocation))
		}
		d.state.Reconcile(heartbeat, cluster.FromHeartbeat, d.now)
	}
}

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

// record adds a line to the digest.
func (d *decisionScenario) record(values ...any) { d.digest.Write(fmt.Appendln(nil, values...)) }

func (d *decisionScenario) recordScaleOut(scaleOut ScaleOut) {
	d.requests++
	d.planner.PendingRequests[fmt.Sprint("r-", d.requests)] = scaleOut
	d.record("scale-out", scaleOut.InstanceOffer, scaleOut.Count, scaleOut.Class, scaleOut.PriorityLevel)
	d.coverage.spot += boolToInt(scaleOut.Spot)
	d.coverage.onDemand += boolToInt(!scaleOut.Spot)
	d.coverage.onGPU += boolToInt(scaleOut.Type == "gpu")
	d.coverage.urgent += boolToInt(scaleOut.PriorityLevel == 0)
	d.coverage.maxSizedRequest += boolToInt(scaleOut.Count == maxMachinesPerRequest)
	d.coverage.inUnreachableZone += boolToInt(d.planner.unreachableZones[scaleOut.Zone])
	d.coverage.inShard += boolToInt(d.planner.OwnsOffer != nil && !d.planner.OwnsOffer(scaleOut.InstanceOffer))
}

func (d *decisionScenario) recordMachines(cordonedBefore map[*cluster.Machine]bool) {
	for _, machine := range d.state.SortedMachines() {
		d.record("machine", machine.Name, machine.Cordoned, machine.LastNeededForHeadroom)
		d.coverage.cordoned += boolToInt(machine.Cordoned && !cordonedBefore[machine])
		d.coverage.uncordoned += boolToInt(!machine.Cordoned && cordonedBefore[machine])
		d.coverage.headroom += boolToInt(machine.LastNeededForHeadroom == d.now)
	}
}

// recordPlanner records the state that the planner keeps between plans.
func (d *decisionScenario) recordPlanner() {
	p := d.planner
	d.record("planner", p.permanentFleet, p.noBacklogSince, p.unreachableZones) // maps are printed in key order
	d.record("refused", p.RefusedUntil, p.ConsecutiveRefusals)
	var excluded []string
	for offer, until := range p.excludedUntil {
		excluded = append(excluded, fmt.Sprint(offer, until))
	}
	slices.Sort(excluded)
	d.record("excluded", excluded)
	for _, name := range []string{"training", "serving", "interactive", "report", "crawl"} {
		class := d.state.Classes[name]
		if backlog := p.backlogs[class]; class != nil && backlog != nil {
			d.record("backlog", name, *backlog)
			d.coverage.persistent += boolToInt(backlog.lastExpensiveAt == d.now)
		}
	}
	d.coverage.excluded += boolToInt(len(excluded) > 0)
	d.coverage.noBacklog += boolToInt(p.noBacklogSince != 0)
	d.coverage.permanent += boolToInt(p.permanentFleet)
}

// recordPrices records for the latest jobs whether each machine type is within their price limit.
func (d *decisionScenario) recordPrices() {
	for _, job := range d.jobs[max(0, len(d.jobs)-4):] {
		for _, typ := range d.state.CatalogOrder {
			for _, spot := range []bool{false, true} {
				within := d.planner.WithinPrice(job, typ, spot, d.now)
				d.record("price", job.Spec.ID, typ.Name, spot, within)
				d.coverage.tooExpensive += boolToInt(!within)
			}
		}
	}
}

// pick returns one of the values at random.
func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// A refactoring of the planner must not change its decisions: the digest covers each scale-out, idle and
// cordoned machine, machine counted as headroom and price limit on some hundred random clusters, and the
// state that the planner keeps between plans.
func TestDecisionsOnRandomClustersMatchRecordedDigest(t *testing.T) {
	digest := fnv.New64a()
	coverage := &decisionCoverage{}
	for seed := range uint64(decisionClusters) {
		scenario := newDecisionScenario(seed, digest, coverage)
		for round := range decisionPlans {
			scenario.plan(round)
		}
		scenario.record("cluster", seed)
	}
	t.Logf("decisions by kind: %+v", *coverage)
	coverage.check(t)
	if got := fmt.Sprintf("%016x", digest.Sum64()); got != recordedDecisions {
		t.Fatalf("digest of the decisions is %s, want %s", got, recordedDecisions)
	}
}

// check fails the test if any kind of decision was taken too seldom.
func (c *decisionCoverage) check(t *testing.T) {
	t.Helper()
	const minOccurrences = 20
	fewest := slices.Min([]int{
		c.spot, c.onDemand, c.onGPU, c.urgent, c.maxSizedRequest, c.inUnreachableZone, c.inShard, c.idle, c.cordoned,
		c.uncordoned, c.headroom, c.refusals, c.excluded, c.persistent, c.tooExpensive, c.noBacklog, c.permanent,
	})
	if fewest < minOccurrences {
		t.Errorf("a kind of decision was taken only %d times, want at least %d: %+v", fewest, minOccurrences, *c)
	}
}
