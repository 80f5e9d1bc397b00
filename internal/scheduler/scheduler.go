package scheduler

import (
	"math/rand/v2"
	"sort"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Scheduler places tasks on machines.
type Scheduler struct {
	Cluster    *cluster.State
	Objectives *Objectives
	Properties *config.Properties
	Rand       *rand.Rand
	// Affordable says whether a job may sit on machines of a type and kind;
	// nil: always.
	WithinPrice func(job *cluster.Job, t *cluster.MachineType, spot bool, now micro.Time) bool
	// Busy is set while passes take too long. With many tasks waiting, each row
	// of like machines is then looked at in samples.
	Overloaded bool

	MachinesExamined int // machines looked at, for tests and metrics
	sampling         bool
	relaxation       relaxation
	reservedMachines map[*cluster.Machine]bool
	reservations     map[*cluster.Job]zoneReservation
	maxTasksByClass  map[string]int // the most tasks that a class's jobs have
	headroom         []gpuHeadroom  // machines kept clear for GPU jobs, as this pass finds them
}

// resources is what a plan has taken of a machine beyond what places hold.
type resources = cluster.Resources

func requestOn(spec *wire.Job, t *cluster.MachineType) resources {
	return resources{
		CPU: spec.CPUs, GPU: spec.GPUs, MemoryGB: spec.MemoryGB, ScaledCPU: ScaledCPUs(spec.CPUs, t.SpeedFactor, t.CPUs),
	}
}

func (u unschedulable) add(job *cluster.Job, overdue bool) {
	if (job.Spec.OneZone || job.Spec.Spread) && job.AllocationCount > 0 || len(job.FailedOn) > 0 {
		return // it alone may have found no capacity
	}
	key, request := unschedulableKeyOf(job, overdue)
	u[key] = append(u[key], request)
}

// allocateTasks places a job's independent tasks one by one. Late ones take what capacity
// there is.
func (s *Scheduler) allocateTasks(job *cluster.Job, overdue bool, now micro.Time) (placed int, noCapacity bool) {
	for {
		schedulable := job.SchedulableTasks(now)
		job.Throttled = schedulable == 0 && s.hasCapacity(job, now)
		next := job.NextTasks(now, min(allocationBatch, schedulable)) // not all of a huge job at once
		if len(next) == 0 {
			return placed, false
		}
		for k, i := range next {
			if !withinQuota(job, 1) {
				return placed, false
			}
			machine := s.bestMachine(job, nil, nil, "", true, s.prefersOnDemand(job, i, now), now)
			if machine == nil && overdue {
				machine = s.fallbackMachine(job, nil, nil, "", now)
			}
			if machine == nil {
				preempting := job.PriorityLevel < 3 && s.preempt(job, next[k:], "", now)
				if !preempting && job.PriorityLevel == 0 {
					// Expensive capacity is better than none for the highest priority.
					machine = s.bestMachine(job, nil, nil, "", false, false, now)
				}
				if machine == nil {
					return placed, true
				}
			}
			s.allocate(job, i, machine, job.Tasks[i].Attempt+1, now)
			placed++
		}
	}
}

// hasCapacity reports whether there is capacity for one more of the job's tasks.
func (s *Scheduler) hasCapacity(job *cluster.Job, now micro.Time) bool {
	return withinQuota(job, 1) && s.bestMachine(job, nil, nil, "", true, false, now) != nil
}

// withinQuota reports whether the team's limits leave capacity for n more of a job's
// tasks, and are not being saved up for another of its jobs.
func withinQuota(job *cluster.Job, tasks int) bool {
	team := job.Team
	if team == nil {
		return true
	}
	if holder := team.QuotaReservedFor; holder != nil && holder != job && job.PriorityLevel > 0 &&
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
			"place", "task", wire.TaskName(job.Spec.ID, i), "try", attempt, "machine", machine.Name, "score",
			Score(job.Spec.CPUs, machine.Type.SpeedFactor, s.Properties.ScoreL1, s.Properties.ScoreL2), "room_left",
			machine.Type.CPUs-machine.UsedScaledCPU,
		)
	}
}

// allocateGang places all of a gang's tasks or none.
func (s *Scheduler) allocateGang(job *cluster.Job, overdue bool, now micro.Time) (placed int, noCapacity bool) {
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
	chosen := s.machinesForGang(job, size, zones, false, now)
	if chosen == nil && overdue {
		chosen = s.machinesForGang(job, size, zones, true, now)
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
	job *cluster.Job, count int, zones []string, overdue bool, now micro.Time,
) []*cluster.Machine {
	for _, zone := range zones {
		planned, tasksByZone := map[*cluster.Machine]*resources{}, map[string]int{}
		chosen := make([]*cluster.Machine, 0, count)
		for len(chosen) < count {
			machine := s.bestMachine(job, planned, tasksByZone, zone, true, false, now)
			if machine == nil && overdue {
				machine = s.fallbackMachine(job, planned, tasksByZone, zone, now)
			}
			if machine == nil {
				break
			}
			s.planAllocation(planned, tasksByZone, job, machine)
			chosen = append(chosen, machine)
		}
		if len(chosen) == count {
			return chosen
		}
	}
	return nil
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

func (s *Scheduler) planAllocation(
	planned map[*cluster.Machine]*resources, tasksByZone map[string]int, job *cluster.Job, m *cluster.Machine,
) {
	taken := planned[m]
	if taken == nil {
		taken = &resources{}
		planned[m] = taken
	}
	taken.Add(requestOn(&job.Spec, m.Type), 1)
	tasksByZone[m.Zone]++
}
