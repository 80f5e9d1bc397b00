package scheduler

import (
	"iter"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

// placementRequest holds the conditions under which a machine is chosen for one task of a job.
type placementRequest struct {
	job            *cluster.Job
	zone           string         // the only zone to search; "": all zones
	plan           allocationPlan // machines already planned for other tasks of the job
	anyPrice       bool           // the price limit does not apply
	preferOnDemand bool           // on-demand machines rank before spot machines
	now            micro.Time
}

// allocationPlan holds the resources planned for tasks of a job that are placed together. The zero value
// is an empty plan.
type allocationPlan struct {
	taken       map[*cluster.Machine]*resources
	tasksByZone map[string]int
}

// add plans one more task of the job on a machine. The maps are allocated with the first task, since
// most plans stay empty.
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

// includes reports whether the plan has tasks on a machine.
func (p *allocationPlan) includes(m *cluster.Machine) bool {
	return len(p.taken) > 0 && p.taken[m] != nil
}

// firstBucketFor returns the index of the first bucket of a pool whose machines may have capacity for a request.
func firstBucketFor(request resources) int { return int(request.ScaledCPU - eps) }

// machinesOf iterates over the machines of a pool, bucket by bucket.
func machinesOf(pool *cluster.MachinePool) iter.Seq[*cluster.Machine] {
	return func(yield func(*cluster.Machine) bool) {
		for bucket := range pool.BucketCount() {
			for _, machine := range pool.Bucket(bucket) {
				if !yield(machine) {
					return
				}
			}
		}
	}
}

// machinesWithCapacity iterates over the machines of a pool on which a request fits now.
func machinesWithCapacity(pool *cluster.MachinePool, request resources) iter.Seq[*cluster.Machine] {
	return func(yield func(*cluster.Machine) bool) {
		for bucket := firstBucketFor(request); bucket < pool.BucketCount(); bucket++ {
			for _, machine := range pool.Bucket(bucket) {
				if fits(request, machine, nil, resources{}) && !yield(machine) {
					return
				}
			}
		}
	}
}

// bestMachine returns the best machine for one task, or nil if none is eligible and has capacity. Pools
// are ranked by tier, then by score. The tier puts machines that other jobs need more, because of their
// GPUs or because they are on-demand, after the rest, and machines of score 0 last. Ties go to the
// machine with the least scaled CPUs left. All machines of a pool have the same score, and its buckets are
// ordered by free CPUs, so the first bucket that has an eligible machine holds the pool's tightest fit.
func (s *Scheduler) bestMachine(placement *placementRequest) *cluster.Machine {
	var best candidate
	var bestRank poolRank
	job := placement.job
	for _, pool := range s.Cluster.Pools {
		request := requestOn(&job.Spec, pool.Type)
		if firstBucketFor(request) >= pool.BucketCount() || !isCandidatePool(job, pool, placement.zone) {
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

// considerPlanned updates best with the machines of a pool that the plan already includes. They are handled
// separately because the buckets of a pool do not account for planned resources.
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

// evaluate returns the candidate for placing a request of the job on machine m, with taken scaled CPUs
// planned there already.
func (s *Scheduler) evaluate(job *cluster.Job, m *cluster.Machine, request resources, taken float64) candidate {
	return candidate{
		m, m.Type.CPUs - m.UsedScaledCPU - taken - request.ScaledCPU, m.HasImage(job.Spec.Image),
		takesWholeMachine(&job.Spec, m.Type),
	}
}

// tightestFit returns the machine of a pool with the least scaled CPUs left among those that the plan
// does not include. If the task takes a whole machine, it searches on for one that has the image.
func (s *Scheduler) tightestFit(
	placement *placementRequest, pool *cluster.MachinePool, request resources,
) candidate {
	var best candidate
	for bucket := firstBucketFor(request); bucket < pool.BucketCount(); bucket++ {
		s.considerBucket(placement, pool.Bucket(bucket), request, &best)
		if best.machine != nil && (best.hasImage || !best.wholeMachine) {
			break
		}
	}
	return best
}

// considerBucket updates best with the machines of a bucket, or with a sample of them.
func (s *Scheduler) considerBucket(
	placement *placementRequest, machines []*cluster.Machine, request resources, best *candidate,
) {
	count, offset := s.sampleBucket(machines)
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

// sampleBucket returns how many machines of a bucket to examine, and the index of the first. While the
// scheduler is overloaded, a full search for each task would cost more than a better fit among
// equivalent machines is worth.
func (s *Scheduler) sampleBucket(machines []*cluster.Machine) (count, offset int) {
	if !s.sampling || len(machines) <= s.Properties.SampleSize {
		return len(machines), 0
	}
	return s.Properties.SampleSize, s.Rand.IntN(len(machines))
}
