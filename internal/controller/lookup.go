package controller

import (
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// lookUp reads jobs that others await, and of which nothing is known yet, from the
// store; also those whose description this leader does not have as a whole.
func (l *Lead) lookUp() {
	if l.looking || len(l.lookups) == 0 {
		return
	}
	var ids []string
	for id := range l.lookups {
		if _, over := l.c.Ends[id]; over || l.c.Jobs[id] != nil {
			delete(l.lookups, id) // it has come meanwhile
			continue
		}
		if ids = append(ids, id); len(ids) == lookUpAtOnce {
			break
		}
	}
	if len(ids) == 0 {
		return
	}
	l.looking = true
	go func() {
		k := newKept()
		read := map[string]bool{}
		for _, id := range ids {
			read[id] = l.n.readJob(store.Routine, id, &k) == nil
		}
		l.post(func() {
			l.looking = false
			now, wall := l.n.Now(), l.n.Wall()
			for _, id := range ids {
				if !read[id] {
					continue // again
				}
				if e, over := k.ends[id]; over {
					delete(l.lookups, id)
					at := now - max(wall-micro.Time(e.At), 0)
					if e.At == 0 {
						at = now
					}
					l.c.Settle(id, model.End{Aborted: e.State == wire.JobAborted, At: at}, now)
				} else if job, ok := k.specs[id]; ok && k.whole(&job) {
					delete(l.lookups, id)
					l.addJob(job)
				}
			}
		})
	}()
}

// lookUpAtOnce is how many jobs are looked up together.
const lookUpAtOnce = 4
