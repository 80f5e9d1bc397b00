package controller

import (
	"fmt"
	"sort"
	"sync"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// A checker holds what happened against the protocol's rules. It is told of
// every task that is on a machine, of every completion, and of every answer to a
// user with what the user knew when asking.
type checker struct {
	mu      sync.Mutex
	now     func() micro.Time
	cancel  micro.Time
	limits  map[string]float64 // CPUs of a team
	types   map[string]wire.MachineType
	jobs    map[string]*judged
	on      map[string]map[string]string // task: the machines that it is on, with their zones
	there   map[string]map[string]bool   // machine: tasks on it
	used    map[string]float64
	broken  []string
	said    map[string]bool
	starts  int // tasks that began
	late    int // those that began after their user was told that the job is cancelled
	answers int
}

// judged is what is known of a job.
type judged struct {
	spec     wire.Job
	run      micro.Time
	apart    micro.Time // how much longer each task runs than the one before
	broken   bool       // fails wherever it runs
	accepted bool
	asked    bool // its user asked to cancel it
	done     bool
	aborted  bool
	toldAt   micro.Time // when the user was told that it is cancelled
	toldBy   string     // by which node
	left     int        // its tasks that were on machines then
	complete map[int]bool
}

// seen is what a user knew when asking.
type seen struct{ accepted, done, aborted bool }

func newChecker(now func() micro.Time, cancel micro.Time) *checker {
	return &checker{now: now, cancel: cancel, limits: map[string]float64{}, types: map[string]wire.MachineType{}, jobs: map[string]*judged{},
		on: map[string]map[string]string{}, there: map[string]map[string]bool{}, used: map[string]float64{}, said: map[string]bool{}}
}

func (c *checker) breaks(rule, format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	if key := rule + " " + what; !c.said[key] {
		c.said[key] = true
		c.broken = append(c.broken, fmt.Sprintf("%.1f s: %s: %s", c.now().Seconds(), rule, what))
	}
}

func (c *checker) job(id string) *judged { c.mu.Lock(); defer c.mu.Unlock(); return c.jobs[id] }

func (c *checker) spec(id string) (wire.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return j.spec, true
	}
	return wire.Job{}, false
}

// sent notes a job that a user is about to submit.
func (c *checker) sent(spec wire.Job, run micro.Time, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[spec.ID] == nil {
		c.jobs[spec.ID] = &judged{spec: spec, run: run, broken: broken, complete: map[int]bool{}}
	}
}

// completed notes that a task ran to its end.
func (c *checker) completed(id string, index int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		j.complete[index] = true
	}
}

// machine looks at what is on a machine; its lock is held.
func (c *checker) machine(h *host) {
	tasks := map[string]bool{}
	for k, t := range h.w.Tasks {
		if t.State == wire.TaskWaiting || t.State == wire.TaskRunning || t.State == wire.TaskSaving {
			tasks[k.Task] = true
		}
	}
	c.holds(h.w.Name, h.w.Type, h.w.Zone, h.w.Spot, tasks)
}

// holds notes the tasks that are on a machine now.
func (c *checker) holds(name, typ, zone string, spot bool, tasks map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.there[name]
	for task := range was {
		if !tasks[task] {
			id, _, _ := wire.SplitTask(task)
			delete(c.on[task], name)
			if j := c.jobs[id]; j != nil {
				c.used[j.spec.Team] -= j.spec.CPUs
			}
		}
	}
	names := make([]string, 0, len(tasks))
	for task := range tasks {
		if !was[task] {
			names = append(names, task)
		}
	}
	sort.Strings(names)
	for _, task := range names {
		c.begins(task, name, typ, zone, spot)
	}
	c.there[name] = tasks
}

func (c *checker) begins(task, machine, typ, zone string, spot bool) {
	c.starts++
	id, _, ok := wire.SplitTask(task)
	j := c.jobs[id]
	if !ok || j == nil {
		c.breaks("invented", "%s runs, and nobody submitted it", task)
		return
	}
	for other := range c.on[task] {
		c.breaks("ran_twice", "%s begins on %s and is on %s", task, machine, other)
	}
	s := &j.spec
	c.used[s.Team] += s.CPUs
	if most := c.limits[s.Team]; most > 0 && c.used[s.Team] > most+1e-9 {
		c.breaks("quota", "%s has %v CPUs with %s, limit %v", s.Team, c.used[s.Team], task, most)
	}
	for _, need := range s.Needs {
		if n := c.jobs[need]; n == nil || len(n.complete) < n.spec.Tasks {
			c.breaks("too_early", "%s begins, %s is not done", task, need)
		}
	}
	allowed := s.Types == nil
	for _, t := range s.Types {
		allowed = allowed || t == typ
	}
	if !allowed || s.Zone != nil && *s.Zone != zone || spot && !s.Spot {
		c.breaks("wrong_place", "%s on %s, type %s, zone %s, spot %v", task, machine, typ, zone, spot)
	}
	here, elsewhere := 1, ""
	for t, ms := range c.on {
		if other, _, _ := wire.SplitTask(t); other == id && t != task {
			for _, z := range ms {
				if z == zone {
					here++
				} else {
					elsewhere = z
				}
			}
		}
	}
	if s.OneZone && elsewhere != "" {
		c.breaks("wrong_place", "%s in zone %s beside tasks in %s", task, zone, elsewhere)
	}
	if s.Spread && here > (s.Tasks+1)/2 {
		c.breaks("wrong_place", "%s is one of %d in zone %s", task, here, zone)
	}
	if c.on[task] == nil {
		c.on[task] = map[string]string{}
	}
	c.on[task][machine] = zone
	if j.aborted {
		c.late++
		if c.now() > j.toldAt+c.cancel {
			c.breaks("ran_cancelled", "%s begins on %s", task, machine)
		}
	}
}

// look finds tasks of cancelled jobs that are still there.
func (c *checker) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for task, ms := range c.on {
		id, _, _ := wire.SplitTask(task)
		if j := c.jobs[id]; j != nil && j.aborted && now > j.toldAt+c.cancel {
			for m := range ms {
				c.breaks("ran_cancelled", "%s is on %s, its user was told at %.1f s", task, m, j.toldAt.Seconds())
			}
		}
	}
}

// asks is what a user knows of a job when asking.
func (c *checker) asks(id string) seen {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[id]; j != nil {
		return seen{j.accepted, j.done, j.aborted}
	}
	return seen{}
}

// withdraws notes that the user asks to cancel a job.
func (c *checker) withdraws(id string) { c.mu.Lock(); c.jobs[id].asked = true; c.mu.Unlock() }

// wanted reports whether a user asked to cancel a job, or one that it awaits.
func (c *checker) wanted(j *judged) bool {
	if j.asked {
		return true
	}
	for _, id := range j.spec.Needs {
		if n := c.jobs[id]; n != nil && c.wanted(n) {
			return true
		}
	}
	return false
}

// told holds an answer of a node against what the user knew.
func (c *checker) told(id, by string, knew seen, r front.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	j := c.jobs[id]
	switch {
	case r.Status == 404 && knew.accepted:
		c.breaks("forgotten", "%s is unknown to %s", id, by)
		return
	case (r.Status == 400 || r.Status == 422) && knew.accepted:
		c.breaks("forgotten", "a repeat of %s got %d from %s", id, r.Status, by)
		return
	case (r.Status == 503 || r.Status == 429) && r.RetryAfter == 0:
		c.breaks("retry_after", "%d without a time from %s", r.Status, by)
		return
	case r.Status != 200 && r.Status != 201:
		return
	}
	if j == nil {
		c.breaks("invented", "%s was never submitted, %s knows it", id, by)
		return
	}
	s, ok := r.Body.(wire.JobStatus)
	if !ok {
		c.breaks("no status", "%s answers %+v for %s", by, r, id)
		return
	}
	j.accepted = true
	if knew.done && s.State != wire.JobDone || knew.aborted && s.State != wire.JobAborted || r.Status == 201 && (knew.done || knew.aborted) {
		c.breaks("went_back", "%s was over (%+v), %s says %d %s", id, knew, by, r.Status, s.State)
	}
	switch s.State {
	case wire.JobDone:
		if len(j.complete) < j.spec.Tasks {
			c.breaks("not_done", "%s is called done by %s with %d of %d tasks", id, by, len(j.complete), j.spec.Tasks)
		}
		j.done = true
	case wire.JobAborted:
		if !c.wanted(j) {
			c.breaks("went_back", "%s is called cancelled by %s, and nobody asked for it", id, by)
		}
		if !j.aborted {
			j.aborted, j.toldAt, j.toldBy = true, c.now(), by
			for task, ms := range c.on {
				if of, _, _ := wire.SplitTask(task); of == id {
					j.left += len(ms)
				}
			}
		}
	}
	if j.done && j.aborted {
		c.breaks("went_back", "%s was called done and cancelled", id)
	}
}
