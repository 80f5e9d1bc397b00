package main

import (
	"fmt"
	"sync"
	"time"
)

// job is a job of the users, with what the judge knows about it.
type job struct {
	id, outfit, shape, bundle      string
	pieces                         int
	vcpus, gpus, ramGb, pullGb     float64
	bookmark, stash                float64
	run                            time.Duration
	fails                          bool
	awaits                         []string
	rigs                           []string
	yard                           string
	oneZone, scatter, loaners      bool
	spec                           object
	mu                             sync.Mutex
	done                           map[int]bool
	remain                         map[int]time.Duration
	accepted, cancelAsked          time.Time
	toldDone, toldAborted, lastGet time.Time
	failing                        time.Time
	polls                          int
}

func (j *job) gang() bool   { return j.shape == "ensemble" }
func (j *job) daemon() bool { return j.shape == "daemon" }

func (j *job) finished(index int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[index]
}

func (j *job) allDone() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.done) == j.pieces
}

func (j *job) left(index int) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	if r, ok := j.remain[index]; ok {
		return r
	}
	return j.run
}

func (j *job) save(index int, left time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.remain[index] = left
}

// gangs lets the tasks of gangs find each other.
type gangs struct {
	mu  sync.Mutex
	all map[taskKey]*gang
}

type gang struct {
	members map[int]bool
	started bool
	endAt   time.Time
	lostAt  time.Time
}

func (g *gangs) of(t *task) *gang {
	key := taskKey{t.job.id, t.try}
	if g.all[key] == nil {
		g.all[key] = &gang{members: map[int]bool{}}
	}
	return g.all[key]
}

func (g *gangs) join(t *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.of(t)
	gang.members[t.index] = true
	if len(gang.members) == t.job.pieces && !gang.started {
		gang.started, gang.endAt = true, time.Now().Add(t.job.run)
	}
}

func (g *gangs) started(t *task, _ time.Time) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.of(t)
	return gang.endAt, gang.started
}

func (g *gangs) broken(t *task, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.of(t)
	return !gang.lostAt.IsZero() && now.After(gang.lostAt.Add(2*time.Second)) && now.Before(gang.endAt)
}

func (g *gangs) lost(t *task) {
	if t.job == nil || !t.job.gang() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.of(t)
	delete(gang.members, t.index)
	if gang.started && time.Now().Before(gang.endAt) && gang.lostAt.IsZero() {
		gang.lostAt = time.Now()
	}
}

type place struct {
	w *worker
	t *task
	// since when the task is on the machine
	since time.Time
}

// judge checks the rules by what clients, workers and the platform see.
type judge struct {
	site   *site
	mu     sync.Mutex
	here   map[string][]place // by piece
	broken map[string]int
	starts int
}

func newJudge(s *site) *judge {
	return &judge{site: s, here: map[string][]place{}, broken: map[string]int{}}
}

func (d *judge) breaks(rule string, args ...any) {
	d.mu.Lock()
	d.broken[rule]++
	d.mu.Unlock()
	d.site.log("RULE", append([]any{"BROKEN", rule}, args...)...)
}

func (d *judge) count(rule string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.broken[rule]
}

func (d *judge) startCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

func (d *judge) enter(w *worker, t *task) {
	now := time.Now()
	d.mu.Lock()
	d.starts++
	others := append([]place{}, d.here[t.piece]...)
	d.here[t.piece] = append(d.here[t.piece], place{w, t, now})
	var cpus, gpus float64
	inZone, total := map[string]int{}, 0
	for _, places := range d.here {
		for _, p := range places {
			if p.t.job.outfit == t.job.outfit {
				cpus, gpus = cpus+p.t.job.vcpus, gpus+p.t.job.gpus
			}
			if p.t.job == t.job {
				inZone[p.w.yard]++
				total++
			}
		}
	}
	d.mu.Unlock()
	d.site.log(w.name, "task on machine", t.piece, t.try)
	for _, p := range others {
		d.breaks("ran_twice", t.piece, "try", t.try, "starts on", w.name, "while try", p.t.try, "is on", p.w.name)
	}
	team := d.site.teams[t.job.outfit]
	if team.cpusMax > 0 && cpus > team.cpusMax+1e-6 || team.gpusMax > 0 && gpus > team.gpusMax+1e-6 {
		d.breaks("quota", t.job.outfit, "uses", cpus, gpus, "with", t.piece)
	}
	j := t.job
	if j.yard != "" && j.yard != w.yard || w.spot && !j.loaners || len(j.rigs) > 0 && !contains(j.rigs, w.rig.label) {
		d.breaks("wrong_place", t.piece, "on", w.name)
	}
	if j.oneZone && inZone[w.yard] != total {
		d.breaks("wrong_place", t.piece, "oneZone", inZone)
	}
	if j.scatter && inZone[w.yard] > (j.pieces+1)/2 {
		d.breaks("wrong_place", t.piece, "scatter", inZone)
	}
	for _, id := range j.awaits {
		if a := d.site.job(id); a != nil && !a.allDone() {
			d.breaks("too_early", t.piece, "starts before", id, "is done")
		}
	}
	j.mu.Lock()
	told := j.toldAborted
	j.mu.Unlock()
	if !told.IsZero() {
		d.site.log("NOTE", "start after the confirmed cancellation", t.piece, now.Sub(told))
	}
}

func (d *judge) leave(w *worker, t *task, why string) {
	d.mu.Lock()
	places := d.here[t.piece]
	for i, p := range places {
		if p.t == t {
			d.here[t.piece] = append(places[:i:i], places[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	d.site.log(w.name, "task off machine", t.piece, t.try, why)
}

func (d *judge) done(t *task) {
	j := t.job
	j.mu.Lock()
	if j.gang() {
		for i := range j.pieces {
			j.done[i] = true
		}
	}
	j.done[t.index] = true
	j.mu.Unlock()
}

// watch checks at intervals what no single event shows.
func (d *judge) watch() {
	flagged := map[string]bool{}
	for {
		time.Sleep(100 * time.Millisecond)
		d.mu.Lock()
		var late []string
		for piece, places := range d.here {
			for _, p := range places {
				p.t.job.mu.Lock()
				told := p.t.job.toldAborted
				p.t.job.mu.Unlock()
				if !told.IsZero() && time.Since(told) > d.site.cancel+200*time.Millisecond && !flagged[piece] {
					flagged[piece] = true
					late = append(late, fmt.Sprint(piece, " on ", p.w.name, " ", time.Since(told), " after the user was told"))
				}
			}
		}
		d.mu.Unlock()
		for _, s := range late {
			d.breaks("ran_cancelled", s)
		}
	}
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}
