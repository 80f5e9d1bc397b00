package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// tier puts machines that a job should rather not take after the others, whatever their
// score. A pool's tier joins those of all exceptions that hold; the graver one decides.
type tier uint8

const (
	tierOtherKind  tier = 1 << iota // spot or on-demand, where the other kind is preferred
	tierGPUMachine                  // machines with GPUs, for a job that needs none
	tierScoreZero                   // the design: only when no higher score has capacity
)

// poolRank ranks what all machines of a pool share: the exceptions' tier, then the
// design's score.
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

// leavesGPUsIdle reports whether a job without GPUs would take a machine that has some. The
// design scores CPUs only; a GPU without CPUs beside it serves nobody.
func leavesGPUsIdle(spec *wire.Job, t *cluster.MachineType) bool { return spec.GPUs == 0 && t.GPUs > 0 }

// isOtherKind reports whether a pool is of the kind, spot or on-demand, that comes second for
// a job that may use both. Spot comes first, since on-demand machines are all that some
// jobs may use, unless a task rather runs on an on-demand one.
func isOtherKind(spec *wire.Job, pool *cluster.MachinePool, preferOnDemand bool) bool {
	return spec.Spot && pool.Spot == preferOnDemand
}

// prefersOnDemand reports whether a task should rather run on an on-demand machine, though
// its job may use spot ones: what it does is lost with the machine, and it was
// lost before, or could not be done twice in time. Tasks that were lost went back
// to spot machines and were lost again, and with them arrays of a hundred tasks
// were late.
func (s *Scheduler) prefersOnDemand(job *cluster.Job, i int, now micro.Time) bool {
	return job.Spec.Spot && job.Spec.CheckpointIntervalS == 0 &&
		(job.Tasks[i].Attempt > 0 || !s.Objectives.CanRunTwice(job, now))
}

// candidate is the best machine so far.
type candidate struct {
	machine      *cluster.Machine
	remainingCPU float64
	hasImage     bool
	wholeMachine bool // the task takes a whole machine, and its image takes long
}

// longImageFetch is how long an image takes that is worth looking for.
const longImageFetch = 4 * micro.Second

// takesWholeMachine reports whether a task takes all GPUs of a machine, so that how
// tightly it fits is of no use to anyone, while its image would take long.
func takesWholeMachine(spec *wire.Job, t *cluster.MachineType) bool {
	return spec.GPUs > 0 && spec.GPUs >= t.GPUs-eps && spec.ImageGB > longImageFetch.Seconds()*t.FetchGBPerS
}

// betterThan decides ties of the score: the least scaled capacity left, then a machine
// that has the image, then the one created first. For tasks that take a whole
// machine the image comes before the capacity.
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
