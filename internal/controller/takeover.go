package controller

import (
	"context"
	"errors"
	"strconv"
	"strings"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// load reads everything from the store into the fresh model.
func (l *Lead) load(ctx context.Context) (uint64, bool) {
	for l.n.catalog.Load() == nil {
		if !l.sleep(50 * micro.Millisecond) {
			return 0, false
		}
	}
	l.c.SetCatalog(l.n.catalog.Load())
	var rev uint64
	type chunkItem struct {
		n  int
		it wire.Item
	}
	chunks := map[string][]chunkItem{}
	specs, ends := map[string]wire.Item{}, map[string]wire.Item{}
	read := func(prefix string, each func(wire.Item)) bool {
		after := ""
		for {
			page, err := l.n.Store.Range(ctx, store.Leadership, prefix, after, 1000)
			if err != nil {
				l.log.Info("takeover read failed", "prefix", prefix, "err", err)
				if !l.sleep(100 * micro.Millisecond) {
					return false
				}
				continue
			}
			if prefix == "job/" && (rev == 0 || uint64(page.Revision) < rev) {
				rev = uint64(page.Revision)
			}
			for _, it := range page.Items {
				each(it)
				after = it.Key
			}
			if !page.More || len(page.Items) == 0 {
				return true
			}
		}
	}
	now, wall := l.n.Now(), l.n.Wall()
	ok := read("job/", func(it wire.Item) {
		switch id, rest, _ := strings.Cut(it.Key[len("job/"):], "/"); rest {
		case "spec":
			specs[id] = it
		case "end":
			ends[id] = it
		}
	}) && read("run/", func(it wire.Item) {
		id, rest, _ := strings.Cut(it.Key[len("run/"):], "/")
		if k, err := strconv.Atoi(rest); err == nil {
			chunks[id] = append(chunks[id], chunkItem{k, it})
		}
	})
	if !ok {
		return 0, false
	}
	for id, it := range specs {
		end, over := ends[id]
		if over && len(chunks[id]) == 0 {
			continue // over, and none of its tasks holds a place: the store answers for it
		}
		var job wire.Job
		if err := wire.Unmarshal(it.Value, &job); err != nil || job.Tasks < 1 {
			continue
		}
		j := l.take(job, now, wall)
		var e model.EndRecord
		if over && wire.Unmarshal(end.Value, &e) == nil {
			l.c.End(j, e.State == wire.JobAborted, now)
		}
		for _, ch := range chunks[id] {
			var rec model.ChunkRecord
			if wire.Unmarshal(ch.it.Value, &rec) == nil {
				l.c.Restore(j, ch.n, &rec, uint64(ch.it.Version), now)
			}
		}
	}
	ok = read("hire/", func(it wire.Item) { l.restoreHire(it, now, wall) }) &&
		read("fleet/", func(it wire.Item) {
			switch it.Key {
			case speedKey:
				var r sched.Record
				if wire.Unmarshal(it.Value, &r) == nil {
					l.speeds.Restore(r)
					l.w.speed.stamp = uint64(it.Version)
				}
			case imageKey:
				var r model.ImageRecord
				if wire.Unmarshal(it.Value, &r) == nil {
					l.c.RestoreImages(r, now)
				}
				l.w.images.stamp = uint64(it.Version)
			case firstKey:
				var r firstRecord
				if wire.Unmarshal(it.Value, &r) == nil {
					l.first = r.Machine
					l.w.first.stamp = uint64(it.Version)
				}
			}
		})
	if !ok {
		return 0, false
	}
	l.speeds.Apply(l.c)
	for _, m := range l.c.Machines {
		if m.Type == nil && m.TypeName != "" {
			m.Type = l.c.Types[m.TypeName]
		}
	}
	l.c.Restored(now)
	for _, j := range l.c.Jobs {
		if j.State == model.Aborted && j.HeldN > 0 {
			l.unproven[j] = true
		}
	}
	return rev, true
}

// take adds a job to the model.
func (l *Lead) take(job wire.Job, now, wall micro.Time) *model.Job {
	l.known.Store(job.ID, true)
	age := max(wall-micro.Time(job.SubmittedAt), 0)
	j := l.c.AddJob(job, now-age)
	j.Class.Quick = l.goals.Quick(job.Class)
	return j
}

func (l *Lead) addJob(job wire.Job) {
	if l.c.Jobs[job.ID] == nil {
		l.log.Info("job", "job", job.ID, "class", job.Class, "kind", string(job.Kind), "tasks", job.Tasks)
		l.take(job, l.n.Now(), l.n.Wall())
	}
}

// watch finds jobs that other nodes accepted.
func (l *Lead) watch(ctx context.Context, rev uint64) {
	for {
		ev, err := l.n.Store.Watch(ctx, "job/", rev, 10*micro.Second)
		switch {
		case errors.Is(err, store.ErrCompacted):
			l.resign("the store's history is too short to follow")
			return
		case err == nil:
			rev = max(rev, uint64(ev.Revision))
			for _, e := range ev.Events {
				if !strings.HasSuffix(e.Put, "/spec") {
					continue
				}
				var job wire.Job
				if wire.Unmarshal(e.Value, &job) == nil && job.Tasks > 0 {
					l.post(func() { l.addJob(job) })
				}
			}
		}
		if !l.sleep(700 * micro.Millisecond) {
			return
		}
	}
}
