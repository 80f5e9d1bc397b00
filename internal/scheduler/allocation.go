package scheduler

import (
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// allocationOutcome says how an attempt to place some of a job's tasks ended.
type allocationOutcome uint8

const (
	allocatedAll allocationOutcome = iota
	outOfQuota
	outOfCapacity
)

// allocateTasks places a job's independent tasks one by one. Overdue ones take what capacity
// there is.
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

// nextBatch lists the job's next tasks to place, not all of a huge job at once, and notes
// whether it is held back from capacity that there is.
func (s *Scheduler) nextBatch(job *cluster.Job, now micro.Time) []int {
	schedulable := job.SchedulableTasks(now)
	job.Throttled = schedulable == 0 && s.hasCapacity(job, now)
	return job.NextTasks(now, min(allocationBatch, schedulable))
}

// allocateBatch places tasks until one finds no capacity or none is left of the quota.
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

// machineForTask finds a machine for the first of a job's waiting tasks. Where there is none
// it preempts for them, and gives one only if expensive capacity will do instead.
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

// expensiveMachine finds a machine at any price for a job of the highest priority: for that
// expensive capacity is better than none.
func (s *Scheduler) expensiveMachine(job *cluster.Job, now micro.Time) *cluster.Machine {
	if job.PriorityLevel != highestPriorityLevel {
		return nil
	}
	return s.bestMachine(&placementRequest{job: job, anyPrice: true, now: now})
}

// hasCapacity reports whether there is capacity for one more of the job's tasks.
func (s *Scheduler) hasCapacity(job *cluster.Job, now micro.Time) bool {
	return withinQuota(job, 1) && s.bestMachine(&placementRequest{job: job, now: now}) != nil
}

// withinQuota reports whether the team's limits leave capacity for n more of a job's
// tasks, and are not being saved up for another of its jobs.
func withinQuota(job *cluster.Job, tasks int) bool {
	team := job.Team
	if team == nil {
		return true
	}
	if transfer := &team.Transfer; transfer.StopsRequested && transfer.Recipient == job {
		return team.WithinLimit(job.Spec.CPUs, job.Spec.GPUs, job.PendingTasks()) // whole, or not yet
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

// allocationBatch is how many tasks of a job are looked at together.
const allocationBatch = 32

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
			"allocate", "task", allocation.TaskName, "attempt", attempt, "machine", machine.Name,
			"score", Score(job.Spec.CPUs, machine.Type.SpeedFactor, s.Properties.ScoreL1, s.Properties.ScoreL2),
			"free_cpus", machine.Type.CPUs-machine.UsedScaledCPU,
		)
	}
}

// allocateGang places all of a gang's tasks or none.
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

// machinesForGang chooses machines for n tasks at once, in one of the zones.
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

// planGang plans tasks of a gang one by one, as many as there is capacity for.
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

// candidateZones lists the zones to try one by one, "" for all at once.
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
