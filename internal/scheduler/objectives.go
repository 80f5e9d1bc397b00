package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
)

// Objectives are the objectives by class.
type Objectives struct {
	startWithin     map[string][]micro.Time
	finishWithin    map[string][]micro.Time
	deadlineFactors map[string][]float64
	guaranteedStart micro.Time // within which work within a guarantee should start; 0: not said
}

// NewObjectives reads the settings' objectives.
func NewObjectives(configured []config.Objective) *Objectives {
	objectives := &Objectives{
		startWithin: map[string][]micro.Time{}, finishWithin: map[string][]micro.Time{},
		deadlineFactors: map[string][]float64{},
	}
	for _, objective := range configured {
		switch objective.Kind {
		case "wait":
			objectives.startWithin[objective.Class] = append(
				objectives.startWithin[objective.Class], micro.FromSeconds(objective.WithinS),
			)
		case "finished":
			objectives.finishWithin[objective.Class] = append(
				objectives.finishWithin[objective.Class], micro.FromSeconds(objective.WithinS),
			)
		case "guarantee":
			objectives.guaranteedStart = micro.FromSeconds(objective.WithinS)
		case "deadline":
			objectives.deadlineFactors[objective.Class] = append(
				objectives.deadlineFactors[objective.Class], max(objective.Times, 1),
			)
		}
	}
	return objectives
}

// StartObjective is the class's tightest objective on starting, 0 if it has none.
func (o *Objectives) StartObjective(class string) micro.Time {
	var tightest micro.Time
	for _, objective := range o.startWithin[class] {
		if tightest == 0 || objective < tightest {
			tightest = objective
		}
	}
	return tightest
}

// AppliesTo reports whether any objective says when a job should start or end.
func (o *Objectives) AppliesTo(job *cluster.Job) bool {
	class := job.Spec.Class
	return len(o.startWithin[class]) > 0 || len(o.finishWithin[class]) > 0 || len(o.deadlineFactors[class]) > 0 ||
		job.DeadlineSource != nil
}

// GuaranteedStart is within how long work within a guarantee should start, 0 if nothing
// is said.
func (o *Objectives) GuaranteedStart() micro.Time { return o.guaranteedStart }

// EstimatedRuntime is how long a task of the job is expected to run, from its owner's
// estimate and what its class has shown.
func EstimatedRuntime(job *cluster.Job) micro.Time {
	return micro.Time(float64(micro.FromSeconds(job.Spec.EstimateS)) * job.Class.EstimateBias)
}

// PlanningHorizon is beyond any objective: the latest start of work that can meet none.
const PlanningHorizon = 24 * 3600 * micro.Second

// LatestStart is the latest time at which the job's tasks can start and still
// meet the nearest objective that can be met; a job past them all comes later
// than any that is not.
func (o *Objectives) LatestStart(job *cluster.Job, now micro.Time) micro.Time {
	runtime := EstimatedRuntime(job) + micro.FromSeconds(job.Spec.ImageGB)
	latest := PlanningHorizon + job.EligibleSince
	consider := func(start micro.Time) {
		if start >= now && start < latest {
			latest = start
		}
	}
	if !job.Started {
		for _, objective := range o.startWithin[job.Spec.Class] {
			consider(job.EligibleSince + objective)
		}
	}
	for _, objective := range o.finishWithin[job.Spec.Class] {
		consider(job.EligibleSince + objective - runtime)
	}
	o.eachDeadline(job, func(due micro.Time) { consider(due - runtime) })
	return latest
}

// eachDeadline gives the times by which deadlines ask a job to be done: its own, or that
// of the job whose deadline it inherits, less what comes after it.
func (o *Objectives) eachDeadline(job *cluster.Job, visit func(micro.Time)) {
	source := job.DeadlineSource
	if source == nil {
		return
	}
	due, factors := micro.FromSeconds(*source.Spec.DeadlineS), o.deadlineFactors[source.Spec.Class]
	if len(factors) == 0 {
		visit(source.SubmittedAt + due - job.CriticalPath)
	}
	for _, factor := range factors {
		visit(source.SubmittedAt + micro.Time(float64(due)*factor) - job.CriticalPath)
	}
}

// CanRunTwice reports whether a job's tasks could run twice in a row, begun now, and
// still meet an objective on finishing that they can meet at all; also if there
// is none.
func (o *Objectives) CanRunTwice(job *cluster.Job, now micro.Time) bool {
	runtime := EstimatedRuntime(job) + micro.FromSeconds(job.Spec.ImageGB)
	nearest := micro.Time(0) // the nearest that can be met
	consider := func(due micro.Time) {
		if due >= now+runtime && (nearest == 0 || due < nearest) {
			nearest = due
		}
	}
	for _, objective := range o.finishWithin[job.Spec.Class] {
		consider(job.EligibleSince + objective)
	}
	o.eachDeadline(job, consider)
	return nearest == 0 || nearest >= now+2*runtime
}
