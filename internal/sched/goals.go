package sched

import (
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
)

// Goals are the objectives by class.
type Goals struct {
	wait      map[string][]micro.Time
	finished  map[string][]micro.Time
	deadline  map[string][]float64
	guarantee micro.Time // within which work within a guarantee should start; 0: not said
}

// NewGoals reads the settings' objectives.
func NewGoals(list []config.Objective) *Goals {
	g := &Goals{wait: map[string][]micro.Time{}, finished: map[string][]micro.Time{}, deadline: map[string][]float64{}}
	for _, o := range list {
		switch o.Kind {
		case "wait":
			g.wait[o.Class] = append(g.wait[o.Class], micro.Of(o.WithinS))
		case "finished":
			g.finished[o.Class] = append(g.finished[o.Class], micro.Of(o.WithinS))
		case "guarantee":
			g.guarantee = micro.Of(o.WithinS)
		case "deadline":
			g.deadline[o.Class] = append(g.deadline[o.Class], max(o.Times, 1))
		}
	}
	return g
}

// Quick is the class's tightest objective on starting, 0 if it has none.
func (g *Goals) Quick(class string) micro.Time {
	var q micro.Time
	for _, w := range g.wait[class] {
		if q == 0 || w < q {
			q = w
		}
	}
	return q
}

// Any reports whether any objective says when a job should start or end.
func (g *Goals) Any(j *model.Job) bool {
	class := j.Spec.Class
	return len(g.wait[class]) > 0 || len(g.finished[class]) > 0 || len(g.deadline[class]) > 0 || j.Heir != nil
}

// Guarantee is within how long work within a guarantee should start, 0 if nothing
// is said.
func (g *Goals) Guarantee() micro.Time { return g.guarantee }

// Estimate is how long a task of the job is expected to run, from its owner's
// estimate and what its class has shown.
func Estimate(j *model.Job) micro.Time {
	return micro.Time(float64(micro.Of(j.Spec.EstimateS)) * j.Class.Bias)
}

// Distant is beyond any objective: the latest start of work that can meet none.
const Distant = 24 * 3600 * micro.Second

// LatestStart is the latest time at which the job's tasks can start and still
// meet the nearest objective that can be met; a job past them all comes later
// than any that is not.
func (g *Goals) LatestStart(j *model.Job, now micro.Time) micro.Time {
	run := Estimate(j) + micro.Of(j.Spec.ImageGB)
	best := Distant + j.Since
	look := func(t micro.Time) {
		if t >= now && t < best {
			best = t
		}
	}
	if !j.Started {
		for _, w := range g.wait[j.Spec.Class] {
			look(j.Since + w)
		}
	}
	for _, w := range g.finished[j.Spec.Class] {
		look(j.Since + w - run)
	}
	g.dues(j, func(due micro.Time) { look(due - run) })
	return best
}

// dues gives the times by which deadlines ask a job to be done: its own, or that
// of the job whose deadline it inherits, less what comes after it.
func (g *Goals) dues(j *model.Job, f func(micro.Time)) {
	h := j.Heir
	if h == nil {
		return
	}
	due, list := micro.Of(*h.Spec.DeadlineS), g.deadline[h.Spec.Class]
	if len(list) == 0 {
		f(h.Submitted + due - j.Tail)
	}
	for _, x := range list {
		f(h.Submitted + micro.Time(float64(due)*x) - j.Tail)
	}
}

// Twice reports whether a job's tasks could run twice in a row, begun now, and
// still meet an objective on finishing that they can meet at all; also if there
// is none.
func (g *Goals) Twice(j *model.Job, now micro.Time) bool {
	run := Estimate(j) + micro.Of(j.Spec.ImageGB)
	near := micro.Time(0) // the nearest that can be met
	look := func(due micro.Time) {
		if due >= now+run && (near == 0 || due < near) {
			near = due
		}
	}
	for _, w := range g.finished[j.Spec.Class] {
		look(j.Since + w)
	}
	g.dues(j, look)
	return near == 0 || near >= now+2*run
}
