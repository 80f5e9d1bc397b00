package scheduler

import (
	"iter"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// placementRequest asks for a machine for one task of a job.
type placementRequest struct {
	job            *cluster.Job
	zone           string         // the only zone to look in; "": any
	plan           allocationPlan // what is planned for other tasks of the job already
	anyPrice       bool           // expensive machines are as good as others
	preferOnDemand bool           // on-demand machines come before spot ones
	now            micro.Time
}

// allocationPlan is what tasks of a job take that are to be placed together, before they are.
type allocationPlan struct {
	taken       map[*cluster.Machine]*resources
	tasksByZone map[string]int
}

// add plans one more task of the job on a machine. Most plans come to nothing: the maps are
// made with the first task.
func (p *allocationPlan) add(job *cluster.Job, m *cluster.Machine) {
	if p.taken == nil {
		p.taken, p.tasksByZone = map[*cluster.Machine]*resources{}, map[string]int{}
	}
	taken := p.taken[m]
	if taken == nil {
		taken = &resources{}
		p.taken[m] = taken
	}
	taken.Add(requestOn(&job.Spec, m.Type), 1)
	p.tasksByZone[m.Zone]++
}

// includes reports whether tasks are planned on a machine.
func (p *allocationPlan) includes(m *cluster.Machine) bool {
	return len(p.taken) > 0 && p.taken[m] != nil
}

// firstRowFor is the first of a pool's rows whose machines may have capacity for a request.
func firstRowFor(request resources) int { return int(request.ScaledCPU - eps) }

// machinesOf gives the machines of a pool, row by row.
func machinesOf(pool *cluster.MachinePool) iter.Seq[*cluster.Machine] {
	return func(yield func(*cluster.Machine) bool) {
		for row := range pool.BucketCount() {
			for _, machine := range pool.Bucket(row) {
				if !yield(machine) {
					return
				}
			}
		}
	}
}

// machinesWithCapacity gives the machines of a pool that have capacity for a request as they
// are.
func machinesWithCapacity(pool *cluster.MachinePool, request resources) iter.Seq[*cluster.Machine] {
	return func(yield func(*cluster.Machine) bool) {
		for row := firstRowFor(request); row < pool.BucketCount(); row++ {
			for _, machine := range pool.Bucket(row) {
				if fits(request, machine, nil, resources{}) && !yield(machine) {
					return
				}
			}
		}
	}
}

// bestMachine chooses the machine for one task: the design's score decides, ties go to
// the least scaled capacity left. Exceptions come first: machines whose GPUs or
// on-demand kind others need are looked at after the rest, and a machine of
// score 0 last. The score is the same for all machines of a pool, whose rows
// are in order of capacity: the first row that has a machine with capacity holds the
// pool's tightest fit.
func (s *Scheduler) bestMachine(placement *placementRequest) *cluster.Machine {
	var best candidate
	var bestRank poolRank
	job := placement.job
	for _, pool := range s.Cluster.Pools {
		request := requestOn(&job.Spec, pool.Type)
		if firstRowFor(request) >= pool.BucketCount() || !isCandidatePool(job, pool, placement.zone) {
			continue
		}
		rank := s.rankPool(&job.Spec, pool, placement.preferOnDemand)
		if best.machine != nil && bestRank.betterThan(rank) {
			continue
		}
		if !ZoneAllowed(job, pool.Zone, placement.plan.tasksByZone) || s.tooExpensive(placement, pool) {
			continue
		}
		poolBest := s.tightestFit(placement, pool, request)
		s.considerPlanned(placement, pool, request, &poolBest)
		if poolBest.machine == nil {
			continue
		}
		if best.machine == nil || rank.betterThan(bestRank) || poolBest.betterThan(&best) {
			best, bestRank = poolBest, rank
		}
	}
	return best.machine
}

// considerPlanned compares the machines of a pool that the plan uses already: their rows do
// not know what the plan took.
func (s *Scheduler) considerPlanned(
	placement *placementRequest, pool *cluster.MachinePool, request resources, best *candidate,
) {
	for machine, taken := range placement.plan.taken {
		if machine.Type != pool.Type || machine.Zone != pool.Zone || machine.Spot != pool.Spot ||
			!s.mayUse(placement.job, machine, placement.now) ||
			!fits(request, machine, taken, resources{}) {
			continue
		}
		if contender := s.evaluate(placement.job, machine, request, taken.ScaledCPU); contender.betterThan(best) {
			*best = contender
		}
	}
}

func (s *Scheduler) evaluate(job *cluster.Job, m *cluster.Machine, request resources, taken float64) candidate {
	return candidate{
		m, m.Type.CPUs - m.UsedScaledCPU - taken - request.ScaledCPU, m.HasImage(job.Spec.Image),
		takesWholeMachine(&job.Spec, m.Type),
	}
}

// tightestFit finds the machine of a pool with the least capacity left, among those that the
// plan does not use.
func (s *Scheduler) tightestFit(
	placement *placementRequest, pool *cluster.MachinePool, request resources,
) candidate {
	var best candidate
	for row := firstRowFor(request); row < pool.BucketCount(); row++ {
		s.considerRow(placement, pool.Bucket(row), request, &best)
		if best.machine != nil && (best.hasImage || !best.wholeMachine) {
			break
		}
	}
	return best
}

// considerRow compares the machines of a row, or a sample of them.
func (s *Scheduler) considerRow(
	placement *placementRequest, machines []*cluster.Machine, request resources, best *candidate,
) {
	count, offset := s.sampleRow(machines)
	for k := range count {
		machine := machines[(offset+k)%len(machines)]
		s.MachinesExamined++
		if !fits(request, machine, nil, resources{}) || placement.plan.includes(machine) ||
			!s.mayUse(placement.job, machine, placement.now) {
			continue
		}
		if contender := s.evaluate(placement.job, machine, request, 0); contender.betterThan(best) {
			*best = contender
		}
	}
}

// sampleRow says how many machines of a row are looked at, and from which on. While the
// scheduler is overloaded a full search for each task would cost more than the better fit
// among like machines is worth.
func (s *Scheduler) sampleRow(machines []*cluster.Machine) (count, offset int) {
	if !s.sampling || len(machines) <= s.Properties.SampleSize {
		return len(machines), 0
	}
	return s.Properties.SampleSize, s.Rand.IntN(len(machines))
}
