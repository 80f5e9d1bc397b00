package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
)

// Operators are told why a job waits once it has for explainAfter, of at most
// explainAtOnce jobs at a time: finding out costs about as much as a try to
// place a task.
const (
	explainAfter  = 30 * micro.Second
	explainAtOnce = 4
)

// lookOver counts what waits, and tells why of some that have waited long.
func (l *Lead) lookOver(now micro.Time) {
	waiting, left := 0, explainAtOnce
	for j := range l.c.Pending {
		waiting += j.Waiting()
		if left > 0 && unexplained(j, now) {
			left--
			l.explain(j, now)
		}
	}
	l.pendingTasks.Store(int64(waiting))
}

// unexplained reports whether a job waits long and nobody was told of this wait.
func unexplained(j *model.Job, now micro.Time) bool {
	return now-j.WaitsFrom >= explainAfter && j.Explained <= j.WaitsFrom
}

func (l *Lead) explain(j *model.Job, now micro.Time) {
	j.Explained = now
	l.log.Info("job waits", "job", j.Spec.ID, "since_s", int64((now-j.WaitsFrom)/micro.Second), "why", l.placer.Why(j, now).String())
}
