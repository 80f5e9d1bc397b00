package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

const (
	// victimSample is the maximum number of machines that are compared to find the cheapest victims for
	// one task.
	victimSample = 24
	// preemptionBatch is the maximum number of tasks of a highest-priority job for which capacity is
	// freed at a time. Other arrays and services free it for one task at a time, since the jobs that
	// they preempt have objectives of their own.
	preemptionBatch = 16
)

// minStartPerCheckpoint is the multiple of a victim's checkpoint duration that the preempting job's start
// objective must exceed for the victim to be given time to write a checkpoint.
const minStartPerCheckpoint = 3

// preemptionPlan holds the allocations to stop for tasks of a job, and the machines for these tasks.
type preemptionPlan struct {
	job     *cluster.Job
	zone    string // the only zone to search; "": all zones
	now     micro.Time
	planned allocationPlan                  // resources of the tasks
	freed   map[*cluster.Machine]*resources // resources of the victims
	victims []*cluster.Allocation
	chosen  map[*cluster.Allocation]bool // the victims, as a set
	targets []*cluster.Machine           // one machine for each task
}

// add plans a task on a machine, with the allocations to stop there.
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

// preempt stops allocations of lower priority to free capacity for the given tasks of a job, and reserves
// the machines for the job. For a gang it does so only if all tasks will fit, for other jobs also if
// some will. It reports whether capacity has been or is being freed.
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

// preemptionTasks returns for how many of a job's waiting tasks capacity is freed at a time.
func preemptionTasks(job *cluster.Job, waiting int) int {
	switch {
	case job.Spec.Kind == wire.Gang:
		return waiting
	case job.PriorityLevel == highestPriorityLevel:
		return min(waiting, preemptionBatch)
	}
	return min(waiting, 1)
}

// planPreemption adds machines and victims for up to the given number of tasks to the plan, for a gang for
// all tasks or none.
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

// preemptAllocation stops an allocation to free capacity for a job. If it belongs to a gang, all
// allocations of the gang are stopped.
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

// checkpointGrace returns the grace period in seconds for a victim to write a checkpoint when it is
// preempted for a job: its checkpoint duration, or 0 if it writes no checkpoints or the job's start
// objective is too short to wait for one.
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

// victimSearch holds the cheapest machine found so far on which to free capacity for one task.
type victimSearch struct {
	machine  *cluster.Machine
	victims  []*cluster.Allocation
	cost     float64
	examined int // number of machines compared
}

// findVictims returns the machine on which freeing capacity for one task costs least, and the allocations
// to stop there. It compares at most victimSample machines.
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
			if !s.searchBucket(plan, pool.Bucket((start+k)%pool.BucketCount()), request, &search) {
				return search.machine, search.victims
			}
		}
	}
	return search.machine, search.victims
}

// searchBucket compares the machines of a bucket, and reports whether the search continues.
func (s *Scheduler) searchBucket(
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

// mayPreemptOn reports whether preemption could free enough capacity on a machine that the job may use.
func (s *Scheduler) mayPreemptOn(plan *preemptionPlan, machine *cluster.Machine, request resources) bool {
	job, planned := plan.job, plan.planned.taken[machine]
	if !fits(request, machine, planned, machine.Preemptible(job.PriorityLevel)) ||
		machine.ReservedFor != nil && machine.ReservedFor != job ||
		machine.QuarantinedUntil > plan.now ||
		!s.Cluster.MachineReachable(machine) ||
		job.FailedOn[machine.Name] {
		return false
	}
	// If the task fits without preemption, the machine is skipped unless the job may use it: it is not
	// lack of capacity that kept the job from it.
	return !fits(request, machine, planned, resources{}) || s.mayUse(job, machine, plan.now)
}

// rejectsPrice reports whether a pool is too expensive for a job that could not use its capacity once it
// is freed. Without this check, empty machines were repeatedly reserved for such jobs and closed to all
// others. Only arrays and services of the highest priority use machines at any price.
func (s *Scheduler) rejectsPrice(job *cluster.Job, pool *cluster.MachinePool, now micro.Time) bool {
	return (job.PriorityLevel > highestPriorityLevel || job.Spec.Kind == wire.Gang) && s.WithinPrice != nil &&
		!s.WithinPrice(job, pool.Type, pool.Spot, now)
}

// preemptionOption is an allocation that may be stopped, and the cost of stopping it.
type preemptionOption struct {
	allocation *cluster.Allocation
	cost       float64
}

// victimsOn returns the allocations to stop on a machine for a task to fit, the cheapest first, and their
// total cost. ok is false if the task does not fit even then.
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

// preemptionOptions returns the allocations that may be stopped on a machine, the cheapest first. freed is
// the sum of the resources of the allocations there that the plan stops or that are already stopping.
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

// A task with less than recentStartS seconds of unsaved work counts as recently started. If its class has a
// start objective, preemption would undo a start that met the objective, which adds lostStartCost seconds
// to the cost.
const (
	recentStartS  = 30
	lostStartCost = 60
)

// preemptionCost returns the cost of stopping an allocation: its unsaved work, at most that of one checkpoint
// interval, in CPU seconds and weighted by its priority.
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

// priorityWeight returns 1 for the lowest priority, and 1 more for each level above it.
func priorityWeight(level int) float64 {
	return float64(lowestPriorityLevel + 1 - min(level, lowestPriorityLevel))
}
