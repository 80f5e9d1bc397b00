package scheduler

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
)

// Objectives holds the configured service-level objectives by job class.
type Objectives struct {
	startWithin     map[string][]micro.Time
	finishWithin    map[string][]micro.Time
	deadlineFactors map[string][]float64
	guaranteedStart micro.Time // time within which jobs within a guarantee should start; 0: not set
}

// NewObjectives returns the objectives of the settings. Objectives of unknown kinds are ignored.
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

// StartObjective returns the shortest time within which jobs of the class should start, or 0 if the class
// has no such objective.
func (o *Objectives) StartObjective(class string) micro.Time {
	var tightest micro.Time
	for _, objective := range o.startWithin[class] {
		if tightest == 0 || objective < tightest {
			tightest = objective
		}
	}
	return tightest
}

// AppliesTo reports whether any objective or deadline says when a job should start or end.
func (o *Objectives) AppliesTo(job *cluster.Job) bool {
	class := job.Spec.Class
	return len(o.startWithin[class]) > 0 || len(o.finishWithin[class]) > 0 || len(o.deadlineFactors[class]) > 0 ||
		job.DeadlineSource != nil
}

// GuaranteedStart returns the time within which jobs within a guarantee should start, or 0 if it is not
// set.
func (o *Objectives) GuaranteedStart() micro.Time { return o.guaranteedStart }

// EstimatedRuntime returns how long a task of the job is expected to run: its owner's estimate, corrected
// by the bias observed for its class.
func EstimatedRuntime(job *cluster.Job) micro.Time {
	return micro.Time(float64(micro.FromSeconds(job.Spec.EstimateS)) * job.Class.EstimateBias)
}

// PlanningHorizon is longer than any objective. Added to the time a job became eligible, it is the latest
// start of a job that has no objective left to meet.
const PlanningHorizon = 24 * 3600 * micro.Second

// LatestStart returns the latest time at which the job's tasks can start and still meet the nearest
// objective that can be met. For a job that can meet none it is PlanningHorizon after the job became
// eligible, later than for any other job.
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

// eachDeadline calls visit with each time by which a deadline requires the job to be done. The deadline is
// the job's own or an inherited one, less the time that the jobs after it take.
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

// CanRunTwice reports whether a job's tasks could run twice in a row, starting now, and still meet the
// nearest finish objective or deadline that a single run can meet. It returns true if there is none.
func (o *Objectives) CanRunTwice(job *cluster.Job, now micro.Time) bool {
	runtime := EstimatedRuntime(job) + micro.FromSeconds(job.Spec.ImageGB)
	nearest := micro.Time(0) // nearest time limit that a single run can meet; 0: none
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
