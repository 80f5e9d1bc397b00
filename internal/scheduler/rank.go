package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// tier ranks machines that a job should avoid after all others, regardless of score. It is a bit set of the
// exceptions that apply to a pool. The values are compared as numbers, so the most severe exception
// decides.
type tier uint8

const (
	tierOtherKind  tier = 1 << iota // spot or on-demand, if the other kind is preferred
	tierGPUMachine                  // machines with GPUs, for a job that needs none
	tierScoreZero                   // score 0: by the design, used only if no higher score has capacity
)

// poolRank is the rank of a pool for a job, which all machines of the pool share. A lower tier ranks first,
// then a higher score.
type poolRank struct {
	tier  tier
	score float64
}

func (r poolRank) betterThan(other poolRank) bool {
	if r.tier != other.tier {
		return r.tier < other.tier
	}
	return r.score > other.score
}

// rankPool returns the rank of a pool for tasks of the spec.
func (s *Scheduler) rankPool(spec *wire.Job, pool *cluster.MachinePool, preferOnDemand bool) poolRank {
	rank := poolRank{score: Score(spec.CPUs, pool.Type.SpeedFactor, s.Properties.ScoreL1, s.Properties.ScoreL2)}
	if rank.score == 0 {
		rank.tier |= tierScoreZero
	}
	if leavesGPUsIdle(spec, pool.Type) {
		rank.tier |= tierGPUMachine
	}
	if isOtherKind(spec, pool, preferOnDemand) {
		rank.tier |= tierOtherKind
	}
	return rank
}

// leavesGPUsIdle reports whether a job without GPUs would use a GPU machine. The design's score considers
// CPUs only, but a GPU without free CPUs on its machine cannot be used by any job.
func leavesGPUsIdle(spec *wire.Job, t *cluster.MachineType) bool { return spec.GPUs == 0 && t.GPUs > 0 }

// isOtherKind reports whether a pool is of the less preferred kind, spot or on-demand, for a job that may
// use both. Spot is preferred, since some jobs may use on-demand machines only, unless preferOnDemand is
// set.
func isOtherKind(spec *wire.Job, pool *cluster.MachinePool, preferOnDemand bool) bool {
	return spec.Spot && pool.Spot == preferOnDemand
}

// prefersOnDemand reports whether a task should run on an on-demand machine although its job may use spot
// machines. This is so if the task writes no checkpoints, so that its work is lost with the machine, and
// it had an earlier attempt or could not run twice in time. Without this rule, lost tasks were placed on
// spot machines again and lost again, which made arrays of a hundred tasks miss their objectives.
func (s *Scheduler) prefersOnDemand(job *cluster.Job, i int, now micro.Time) bool {
	return job.Spec.Spot && job.Spec.CheckpointIntervalS == 0 &&
		(job.Tasks[i].Attempt > 0 || !s.Objectives.CanRunTwice(job, now))
}

// candidate is a machine considered for a task, with what decides between machines of equal rank.
type candidate struct {
	machine      *cluster.Machine
	remainingCPU float64 // scaled CPUs left once the task is placed
	hasImage     bool    // the machine holds the job's image
	wholeMachine bool    // see takesWholeMachine
}

// longImageFetch is the fetch time above which a machine that already has the image is preferred to a
// tighter fit.
const longImageFetch = 4 * micro.Second

// takesWholeMachine reports whether a task takes all GPUs of a machine of the type and its image takes
// longer than longImageFetch to fetch. A tighter fit then benefits no other job, but a cached image saves
// time.
func takesWholeMachine(spec *wire.Job, t *cluster.MachineType) bool {
	return spec.GPUs > 0 && spec.GPUs >= t.GPUs-eps && spec.ImageGB > longImageFetch.Seconds()*t.FetchGBPerS
}

// betterThan reports whether c is preferred to another candidate of equal rank: the one with the least
// scaled CPUs left, then one that has the image, then the first by name, which was created first. For
// tasks that take a whole machine, the image decides before the CPUs.
func (c *candidate) betterThan(other *candidate) bool {
	switch {
	case other.machine == nil:
		return true
	case c.wholeMachine && other.wholeMachine && c.hasImage != other.hasImage:
		return c.hasImage
	case c.remainingCPU < other.remainingCPU-eps || c.remainingCPU > other.remainingCPU+eps:
		return c.remainingCPU < other.remainingCPU
	case c.hasImage != other.hasImage:
		return c.hasImage
	}
	return c.machine.Name < other.machine.Name
}
