package controller

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// lookUpDependencies reads jobs that others await, and of which nothing is known yet, from the
// store; also those whose description this leader does not have as a whole.
func (l *Leader) lookUpDependencies() {
	if l.dependencyLookupInFlight || len(l.dependencyLookups) == 0 {
		return
	}
	var ids []string
	for id := range l.dependencyLookups {
		if _, over := l.cluster.FinalStatuses[id]; over || l.cluster.Jobs[id] != nil {
			delete(l.dependencyLookups, id) // it has come meanwhile
			continue
		}
		if ids = append(ids, id); len(ids) == dependencyLookupBatch {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	l.dependencyLookupInFlight = true
	go func() {
		snapshot := newJobSnapshot()
		read := map[string]bool{}
		for _, id := range ids {
			read[id] = l.node.readJob(store.Routine, id, &snapshot) == nil
		}
		l.post(func() {
			l.dependencyLookupInFlight = false
			now, wall := l.node.Now(), l.node.Wall()
			for _, id := range ids {
				if !read[id] {
					continue // again
				}
				if end, over := snapshot.ends[id]; over {
					delete(l.dependencyLookups, id)
					endedAt := now - max(wall-micro.Time(end.EndedAt), 0)
					if end.EndedAt == 0 {
						endedAt = now
					}
					l.cluster.ApplyFinalStatus(id, cluster.FinalStatus{Aborted: end.State == wire.JobAborted, EndedAt: endedAt}, now)
				} else if job, ok := snapshot.specs[id]; ok && snapshot.completeDependencies(&job) {
					delete(l.dependencyLookups, id)
					l.addJob(job)
				}
			}
		})
	}()
}

// dependencyLookupBatch is how many jobs are looked up together.
const dependencyLookupBatch = 4
