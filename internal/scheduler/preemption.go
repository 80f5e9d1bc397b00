package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Preemption looks at no more machines than this that could make capacity. Work of
// the highest priority clears so many at a time; other arrays one: the work they stop
// has objectives of its own.
const (
	victimSample    = 24
	preemptionBatch = 16
)

// minStartPerCheckpoint is how many of a victim's checkpoints an objective on starting must
// be longer than for the victim to save first.
const minStartPerCheckpoint = 3

// preemptionPlan is what is to be stopped, and on which machines, for tasks of a job.
type preemptionPlan struct {
	job     *cluster.Job
	zone    string // the only zone to look in; "": any
	now     micro.Time
	planned allocationPlan // what the tasks take
	freed   map[*cluster.Machine]*resources
	victims []*cluster.Allocation
	chosen  map[*cluster.Allocation]bool // the same
	targets []*cluster.Machine           // a machine for each task
}

// add plans a task on a machine that its victims are stopped on.
func (p *preemptionPlan) add(machine *cluster.Machine, victims []*cluster.Allocation) {
	p.planned.add(p.job, machine)
	if p.freed == nil {
		p.freed, p.chosen = map[*cluster.Machine]*resources{}, map[*cluster.Allocation]bool{}
	}
	freed := p.freed[machine]
	if freed == nil {
		freed = &resources{}
		p.freed[machine] = freed
	}
	for _, victim := range victims {
		p.chosen[victim] = true
		freed.Add(allocatedResources(victim), 1)
	}
	p.victims = append(p.victims, victims...)
	p.targets = append(p.targets, machine)
}

// preempt stops work of lower priority so that the given tasks fit, if that is
// possible for all of them (for an array: for some), and reports whether capacity is
// coming.
func (s *Scheduler) preempt(job *cluster.Job, idx []int, zone string, now micro.Time) bool {
	reserved := s.countReserved(job)
	if reserved >= len(idx) || job.Spec.Kind != wire.Gang && reserved > 0 {
		return true
	}
	plan := preemptionPlan{job: job, zone: zone, now: now}
	s.planPreemption(&plan, preemptionTasks(job, len(idx)))
	if len(plan.targets) == 0 {
		return false
	}
	for _, victim := range plan.victims {
		s.preemptAllocation(victim, job, now)
	}
	for _, machine := range plan.targets {
		s.reserveMachine(machine, job, false, now)
	}
	return true
}

// preemptionTasks is for how many of a job's waiting tasks machines are cleared at a time.
func preemptionTasks(job *cluster.Job, waiting int) int {
	switch {
	case job.Spec.Kind == wire.Gang:
		return waiting
	case job.PriorityLevel == highestPriorityLevel:
		return min(waiting, preemptionBatch)
	}
	return min(waiting, 1)
}

// planPreemption finds machines to clear for so many of the job's tasks, for a gang's all or
// none.
func (s *Scheduler) planPreemption(plan *preemptionPlan, tasks int) {
	for range tasks {
		machine, victims := s.findVictims(plan)
		if machine == nil {
			if plan.job.Spec.Kind == wire.Gang {
				plan.targets = nil
			}
			return
		}
		plan.add(machine, victims)
	}
}

// preemptAllocation stops an allocation for a job, and with it the gang that it is of.
func (s *Scheduler) preemptAllocation(victim *cluster.Allocation, job *cluster.Job, now micro.Time) {
	grace := s.checkpointGrace(&victim.Job.Spec, job)
	s.Cluster.StopAllocation(victim, "preempted by "+job.Spec.ID, grace, now)
	if victim.Job.Spec.Kind != wire.Gang {
		return
	}
	for _, member := range victim.Job.Allocations() {
		s.Cluster.StopAllocation(member, "preempted with its gang", grace, now)
	}
}

// checkpointGrace is how many seconds a task that is preempted for a job gets to save: what
// it needs, unless the job's start is wanted sooner than that.
func (s *Scheduler) checkpointGrace(victim *wire.Job, job *cluster.Job) float64 {
	if victim.CheckpointIntervalS <= 0 {
		return 0
	}
	startObjective := s.Objectives.StartObjective(job.Spec.Class)
	if startObjective != 0 && startObjective <= minStartPerCheckpoint*micro.FromSeconds(victim.CheckpointDurationS) {
		return 0
	}
	return victim.CheckpointDurationS
}

// victimSearch is the machine found so far where making capacity for one task loses least.
type victimSearch struct {
	machine  *cluster.Machine
	victims  []*cluster.Allocation
	cost     float64
	examined int
}

// findVictims finds the machine where making capacity for one task loses least, among a
// sample of those that could make it, and what must go from it.
func (s *Scheduler) findVictims(plan *preemptionPlan) (*cluster.Machine, []*cluster.Allocation) {
	var search victimSearch
	for _, pool := range s.Cluster.Pools {
		if !isCandidatePool(plan.job, pool, plan.zone) ||
			!ZoneAllowed(plan.job, pool.Zone, plan.planned.tasksByZone) ||
			s.rejectsPrice(plan.job, pool, plan.now) {
			continue
		}
		request := requestOn(&plan.job.Spec, pool.Type)
		start := s.Rand.IntN(pool.BucketCount())
		for k := range pool.BucketCount() {
			if !s.searchRow(plan, pool.Bucket((start+k)%pool.BucketCount()), request, &search) {
				return search.machine, search.victims
			}
		}
	}
	return search.machine, search.victims
}

// searchRow compares the machines of a row, and reports whether the search goes on.
func (s *Scheduler) searchRow(
	plan *preemptionPlan, machines []*cluster.Machine, request resources, search *victimSearch,
) bool {
	for _, machine := range machines {
		if search.examined >= victimSample {
			return false
		}
		if !s.mayPreemptOn(plan, machine, request) {
			continue
		}
		search.examined++
		victims, cost, ok := s.victimsOn(plan, machine, request)
		if ok && (search.machine == nil || cost < search.cost) {
			search.machine, search.victims, search.cost = machine, victims, cost
		}
	}
	return true
}

// mayPreemptOn reports whether preemption could make capacity on a machine, and the job
// would be let use it.
func (s *Scheduler) mayPreemptOn(plan *preemptionPlan, machine *cluster.Machine, request resources) bool {
	job, planned := plan.job, plan.planned.taken[machine]
	if !fits(request, machine, planned, machine.Preemptible(job.PriorityLevel)) ||
		machine.ReservedFor != nil && machine.ReservedFor != job ||
		machine.QuarantinedUntil > plan.now ||
		!s.Cluster.MachineReachable(machine) ||
		job.FailedOn[machine.Name] {
		return false
	}
	// Where there is capacity without, it is refused, not taken.
	return !fits(request, machine, planned, resources{}) || s.mayUse(job, machine, plan.now)
}

// rejectsPrice reports whether capacity is too expensive for a job that would not take it once it
// is cleared. Machines that stood empty were reserved for such jobs, again and
// again, and closed to all others.
func (s *Scheduler) rejectsPrice(job *cluster.Job, pool *cluster.MachinePool, now micro.Time) bool {
	return (job.PriorityLevel > highestPriorityLevel || job.Spec.Kind == wire.Gang) && s.WithinPrice != nil &&
		!s.WithinPrice(job, pool.Type, pool.Spot, now)
}

// preemptionOption is an allocation that may be stopped, and what that costs.
type preemptionOption struct {
	allocation *cluster.Allocation
	cost       float64
}

// victimsOn lists what must go from a machine for a task to fit.
func (s *Scheduler) victimsOn(
	plan *preemptionPlan, machine *cluster.Machine, request resources,
) (victims []*cluster.Allocation, cost float64, ok bool) {
	planned := plan.planned.taken[machine]
	options, freed := s.preemptionOptions(plan, machine)
	for _, option := range options {
		if fits(request, machine, planned, freed) {
			break
		}
		victims = append(victims, option.allocation)
		freed.Add(allocatedResources(option.allocation), 1)
		cost += option.cost
	}
	return victims, cost, fits(request, machine, planned, freed)
}

// preemptionOptions lists what may be stopped on a machine, the least loss first, and what
// comes free there without: what the plan stops, and what is stopping anyway.
func (s *Scheduler) preemptionOptions(
	plan *preemptionPlan, machine *cluster.Machine,
) (options []preemptionOption, freed resources) {
	if planned := plan.freed[machine]; planned != nil {
		freed = *planned
	}
	for _, allocation := range machine.Allocations {
		if allocation.Job == nil || plan.chosen[allocation] {
			continue
		}
		if allocation.Stopping {
			freed.Add(allocatedResources(allocation), 1)
		} else if allocation.Job.PriorityLevel > plan.job.PriorityLevel {
			options = append(options, preemptionOption{allocation, s.preemptionCost(allocation, plan.now)})
		}
	}
	sort.Slice(options, func(a, b int) bool {
		if options[a].cost != options[b].cost {
			return options[a].cost < options[b].cost
		}
		return options[a].allocation.TaskName < options[b].allocation.TaskName
	})
	return options, freed
}

// A task that has lost less than recentStartS of work has begun only now. Of a class with an
// objective on starting, such a start would not count, which costs lostStartCost more.
const (
	recentStartS  = 30
	lostStartCost = 60
)

// preemptionCost is what stopping an allocation costs: work that is not saved, in seconds of
// CPU, weighted by its priority.
func (s *Scheduler) preemptionCost(allocation *cluster.Allocation, now micro.Time) float64 {
	cost := 1.0
	if allocation.RunningSince > 0 {
		unsaved := (now - allocation.RunningSince).Seconds()
		if interval := allocation.Job.Spec.CheckpointIntervalS; interval > 0 {
			unsaved = min(unsaved, interval)
		}
		cost += unsaved
		if unsaved < recentStartS && s.Objectives.StartObjective(allocation.Job.Spec.Class) > 0 {
			cost += lostStartCost
		}
	}
	return cost * allocation.Job.Spec.CPUs * priorityWeight(allocation.PriorityLevel())
}

// priorityWeight is 1 for the lowest priority, and 1 more for each level above.
func priorityWeight(level int) float64 {
	return float64(lowestPriorityLevel + 1 - min(level, lowestPriorityLevel))
}
