package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// allocationOutcome is the result of an attempt to place a batch of a job's tasks.
type allocationOutcome uint8

const (
	allocatedAll allocationOutcome = iota
	outOfQuota
	outOfCapacity
)

// allocateTasks places the independent tasks of a job one by one, with the rules relaxed up to limit.
// It returns the number of tasks placed and whether it stopped because no machine had capacity.
func (s *Scheduler) allocateTasks(job *cluster.Job, limit relaxation, now micro.Time) (placed int, noCapacity bool) {
	for {
		batch := s.nextBatch(job, now)
		if len(batch) == 0 {
			return placed, false
		}
		count, outcome := s.allocateBatch(job, batch, limit, now)
		placed += count
		if outcome != allocatedAll {
			return placed, outcome == outOfCapacity
		}
	}
}

// nextBatch returns the indices of the job's next tasks to place, at most allocationBatch. It sets
// Throttled if the job may not place any task now although there is capacity.
func (s *Scheduler) nextBatch(job *cluster.Job, now micro.Time) []int {
	schedulable := job.SchedulableTasks(now)
	job.Throttled = schedulable == 0 && s.hasCapacity(job, now)
	return job.NextTasks(now, min(allocationBatch, schedulable))
}

// allocateBatch places the tasks of a batch until the quota is exhausted or a task finds no capacity.
func (s *Scheduler) allocateBatch(
	job *cluster.Job, batch []int, limit relaxation, now micro.Time,
) (placed int, outcome allocationOutcome) {
	for k, i := range batch {
		if !withinQuota(job, 1) {
			return placed, outOfQuota
		}
		machine := s.machineForTask(job, batch[k:], limit, now)
		if machine == nil {
			return placed, outOfCapacity
		}
		s.allocate(job, i, machine, job.Tasks[i].Attempt+1, now)
		placed++
	}
	return placed, allocatedAll
}

// machineForTask returns a machine for the first of a job's waiting tasks, or nil. If no machine has
// capacity, it preempts allocations of lower priority for the waiting tasks and returns nil: a later pass
// uses the capacity once it is free. If nothing can be preempted, it falls back to an expensive machine.
func (s *Scheduler) machineForTask(job *cluster.Job, waiting []int, limit relaxation, now micro.Time) *cluster.Machine {
	placement := placementRequest{job: job, preferOnDemand: s.prefersOnDemand(job, waiting[0], now), now: now}
	if machine := s.bestMachine(&placement); machine != nil {
		return machine
	}
	if limit > relaxNone {
		if machine := s.fallbackMachine(&placementRequest{job: job, now: now}, limit); machine != nil {
			return machine
		}
	}
	preempting := job.PriorityLevel < lowestPriorityLevel && s.preempt(job, waiting, "", now)
	if preempting {
		return nil
	}
	return s.expensiveMachine(job, now)
}

// expensiveMachine returns a machine at any price for a job of the highest priority, for which expensive
// capacity is better than none. For other jobs it returns nil.
func (s *Scheduler) expensiveMachine(job *cluster.Job, now micro.Time) *cluster.Machine {
	if job.PriorityLevel != highestPriorityLevel {
		return nil
	}
	return s.bestMachine(&placementRequest{job: job, anyPrice: true, now: now})
}

// hasCapacity reports whether quota and machines allow one more of the job's tasks.
func (s *Scheduler) hasCapacity(job *cluster.Job, now micro.Time) bool {
	return withinQuota(job, 1) && s.bestMachine(&placementRequest{job: job, now: now}) != nil
}

// withinQuota reports whether the team's limits allow that many more tasks of a job and the quota is
// not reserved for another job of the team. The recipient of a quota transfer gets all the quota it
// needs at once: it stays out of quota until all of its pending tasks fit.
func withinQuota(job *cluster.Job, tasks int) bool {
	team := job.Team
	if team == nil {
		return true
	}
	if transfer := &team.Transfer; transfer.StopsRequested && transfer.Recipient == job {
		return team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, job.PendingTasks()) // all pending tasks or none
	}
	if team.QuotaWithheldFrom(job) {
		return false
	}
	if holder := team.QuotaReservedFor; holder != nil && holder != job && job.PriorityLevel > highestPriorityLevel &&
		(holder.Spec.GPUs > 0 && job.Spec.GPUs > 0 || team.CPULimit > 0) {
		return false
	}
	return team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, tasks)
}

// allocationBatch is the maximum number of a job's tasks that are tried in one batch.
const allocationBatch = 32

// allocate places task i of the job on a machine. If the machine was reserved for the job because it
// starved, transferReservation passes the reservation on to another job of the same class and team.
func (s *Scheduler) allocate(job *cluster.Job, i int, machine *cluster.Machine, attempt uint32, now micro.Time) {
	scaled := ScaledCPUs(job.Spec.CPUs, machine.Type.SpeedFactor, machine.Type.CPUs)
	starvationReservation, since := machine.ReservedFor == job && machine.StarvationReservation, machine.ReservedAt
	s.updateHeadroom(job, machine)
	allocation := s.Cluster.Allocate(job, i, machine, attempt, scaled, now)
	if starvationReservation {
		s.transferReservation(machine, job, since, now)
	}
	allocation.LastResort = machine.QuarantinedUntil > now
	job.Class.LastPlacedAt = now
	if job.Team != nil {
		job.Team.LastPlacedAt = now
	}
	if s.Cluster.Verbose {
		s.Cluster.Log(
			"task allocated", "task", allocation.TaskName, "attempt", attempt, "machine", machine.Name,
			"score", Score(job.Spec.CPUs, machine.Type.SpeedFactor, s.Properties.ScoreL1, s.Properties.ScoreL2),
			"free_cpus", machine.Type.CPUs-machine.UsedScaledCPU,
		)
	}
}

// allocateGang places all of a gang's tasks or none. If there is no capacity, it preempts allocations of
// lower priority in the first zone where that frees enough capacity for all tasks, and reports noCapacity.
func (s *Scheduler) allocateGang(job *cluster.Job, limit relaxation, now micro.Time) (placed int, noCapacity bool) {
	size := len(job.Tasks)
	if job.AllocationCount > 0 || job.PendingTasks() < size {
		return 0, false
	}
	if !withinQuota(job, size) {
		return 0, false
	}
	idx := job.NextTasks(now, size)
	if len(idx) < size {
		return 0, false
	}
	zones := s.candidateZones(job)
	chosen := s.machinesForGang(job, size, zones, relaxNone, now)
	if chosen == nil && limit > relaxNone {
		chosen = s.machinesForGang(job, size, zones, limit, now)
	}
	if chosen != nil {
		attempt := job.GangAttempt + 1
		for i := range job.Tasks {
			attempt = max(attempt, job.Tasks[i].Attempt+1)
		}
		job.GangAttempt = attempt
		for k, i := range idx {
			s.allocate(job, i, chosen[k], attempt, now)
		}
		return size, false
	}
	for _, zone := range zones {
		if s.preempt(job, idx, zone, now) {
			break
		}
	}
	return 0, true
}

// machinesForGang returns a machine for each of count tasks, all in the first of the zones that has
// capacity for them, or nil if none has.
func (s *Scheduler) machinesForGang(
	job *cluster.Job, count int, zones []string, limit relaxation, now micro.Time,
) []*cluster.Machine {
	for _, zone := range zones {
		placement := placementRequest{job: job, zone: zone, now: now}
		if chosen := s.planGang(&placement, count, limit); len(chosen) == count {
			return chosen
		}
	}
	return nil
}

// planGang chooses machines for up to count tasks of a job, as many as there is capacity for, and adds
// them to the plan of the placement.
func (s *Scheduler) planGang(placement *placementRequest, count int, limit relaxation) []*cluster.Machine {
	chosen := make([]*cluster.Machine, 0, count)
	for len(chosen) < count {
		machine := s.bestMachine(placement)
		if machine == nil && limit > relaxNone {
			machine = s.fallbackMachine(placement, limit)
		}
		if machine == nil {
			break
		}
		placement.plan.add(placement.job, machine)
		chosen = append(chosen, machine)
	}
	return chosen
}

// candidateZones returns the zones to try one after the other, in alphabetical order. For a job that is
// not restricted to one zone it returns only "", which stands for all zones together.
func (s *Scheduler) candidateZones(job *cluster.Job) []string {
	if !job.Spec.OneZone {
		return []string{""}
	}
	var zones []string
	seen := map[string]bool{}
	for _, pool := range s.Cluster.Pools {
		if pool.MachineCount > 0 && pool.Zone != "" && !seen[pool.Zone] &&
			Allowed(&job.Spec, pool.Type, pool.Zone, pool.Spot) {
			seen[pool.Zone] = true
			zones = append(zones, pool.Zone)
		}
	}
	sort.Strings(zones)
	return zones
}
