package controller

import (
	"fmt"
	"time"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// order is a job as a user wants it.
type order struct {
	kind    wire.Kind
	tasks   int
	run     micro.Time
	apart   micro.Time // each task of an array runs so much longer than the one before
	cpus    float64
	team    string
	rank    wire.Priority
	spread  bool
	oneZone bool
	spot    bool
	zone    string
	broken  bool
	awaits  []string // ids of jobs that must be done before
}

func (o order) body(id string) []byte {
	m := map[string]any{"nameId": id, "jobclass": "c", "outfit": o.team, "shape": string(o.kind), "rank": string(o.rank),
		"pieces": o.tasks, "vcpus": o.cpus, "gpus": 0, "ramGb": 1, "bundle": "i", "pullGb": 1, "oneZone": o.oneZone, "scatter": o.spread, "loaners": o.spot,
		"guessS": (o.run + micro.Time(o.tasks-1)*o.apart).Seconds(), "bookmarkS": 0, "stashS": 0}
	if o.kind == wire.Service {
		m["guessS"] = 0
	}
	if o.zone != "" {
		m["yard"] = o.zone
	}
	if o.awaits != nil {
		m["awaits"] = o.awaits
	}
	return wire.MustMarshal(m)
}

// job is a submission by its user, who keeps to the protocol.
type job struct {
	w    *simCluster
	id   string
	body []byte
}

// wants makes a job that nobody has submitted yet.
func (w *simCluster) wants(o order) *job {
	if o.cpus == 0 {
		o.cpus = 1
	}
	if o.team == "" {
		o.team = "team"
	}
	if o.rank == "" {
		o.rank = wire.Normal
	}
	w.mu.Lock()
	w.queue++
	id := fmt.Sprintf("j-%04d", w.queue)
	w.mu.Unlock()
	body := o.body(id)
	spec, err := wire.DecodeJob(body)
	if err != nil {
		w.t.Fatal(err)
	}
	w.check.sent(*spec, o.run, o.broken)
	w.check.job(id).apart = o.apart
	return &job{w, id, body}
}

// any draws a node that takes users, nil if there is none.
func (w *simCluster) any() *controllerProc {
	for range 8 {
		if p := w.controllers[w.drawn(len(w.controllers))]; p.up() && !p.cutFrom("users") {
			return p
		}
	}
	return nil
}

// try sends one request to one node.
func (j *job) try(p *controllerProc, wait time.Duration, ask func(*Node) front.Reply) front.Reply {
	if p == nil {
		return front.Reply{}
	}
	knew := j.w.check.asks(j.id)
	r, ok := j.w.call(p, "users", wait, ask)
	if !ok {
		return front.Reply{}
	}
	j.w.check.told(j.id, p.name, knew, r)
	return r
}

func (j *job) send(p *controllerProc) front.Reply {
	return j.try(p, 5*time.Second, func(n *Node) front.Reply { return n.Submit(j.body) })
}

func (j *job) poll(p *controllerProc) front.Reply {
	return j.try(p, 2*time.Second, func(n *Node) front.Reply { return n.Show(j.id) })
}

func (j *job) withdraw(p *controllerProc) front.Reply {
	j.w.check.withdraws(j.id)
	return j.try(p, 5*time.Second, func(n *Node) front.Reply { return n.Withdraw(j.id) })
}

// state is what the answer says, "" if it says nothing.
func stateOf(r front.Reply) wire.JobState {
	if s, ok := r.Body.(wire.JobStatus); ok && (r.Status == 200 || r.Status == 201) {
		return s.State
	}
	return ""
}

// submit goes on until the job is accepted.
func (j *job) submit() *job {
	for j.w.ctx.Err() == nil {
		if r := j.send(j.w.any()); r.Status == 200 || r.Status == 201 {
			break
		}
		time.Sleep(time.Second)
	}
	return j
}

// cancel goes on until the user is told.
func (j *job) cancel() wire.JobState {
	for j.w.ctx.Err() == nil {
		if s := stateOf(j.withdraw(j.w.any())); s.Final() {
			return s
		}
		time.Sleep(time.Second)
	}
	return ""
}

// watch polls until the job is over.
func (j *job) watch() {
	for j.w.ctx.Err() == nil {
		if stateOf(j.poll(j.w.any())).Final() {
			return
		}
		time.Sleep(j.w.between(3*micro.Second, 6*micro.Second))
	}
}

// closely asks all nodes, again and again within milliseconds, and repeats the
// submission.
func (j *job) closely() {
	for range 3 {
		for _, p := range j.w.controllers {
			go j.poll(p)
			go j.send(p)
		}
		time.Sleep(j.w.between(micro.Millisecond, 20*micro.Millisecond))
	}
}

// running is how many tasks of the job are on machines.
func (j *job) running() int {
	c := j.w.check
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, ms := range c.on {
		if id, _, _ := wire.SplitTask(task); id == j.id {
			n += len(ms)
		}
	}
	return n
}

// on lists the machines that tasks of the job are on.
func (j *job) on() []*host {
	c := j.w.check
	c.mu.Lock()
	names := map[string]bool{}
	for task, ms := range c.on {
		if id, _, _ := wire.SplitTask(task); id == j.id {
			for m := range ms {
				names[m] = true
			}
		}
	}
	c.mu.Unlock()
	var out []*host
	for _, h := range j.w.hosts() {
		if names[h.w.Name] {
			out = append(out, h)
		}
	}
	return out
}

// ripe lists the tasks of a job that have run for so long.
func (w *simCluster) ripe(j *job, d micro.Time) []string {
	var out []string
	for _, h := range w.hosts() {
		h.mu.Lock()
		for k, t := range h.w.Tasks {
			if id, _, _ := wire.SplitTask(k.Task); id == j.id && t.State == wire.TaskRunning && w.now()-h.since[k] >= d {
				out = append(out, k.Task)
			}
		}
		h.mu.Unlock()
	}
	return out
}

// starts is how many starts of its tasks took effect so far.
func (j *job) starts() int {
	j.w.mu.Lock()
	var all []*host
	for _, h := range j.w.workers {
		all = append(all, h)
	}
	j.w.mu.Unlock()
	n := 0
	for _, h := range all {
		h.mu.Lock()
		for _, task := range h.w.Started {
			if id, _, _ := wire.SplitTask(task); id == j.id {
				n++
			}
		}
		h.mu.Unlock()
	}
	return n
}

// aborted is when the user was told that the job is cancelled, by which node, and
// how many of its tasks were on machines then; false: not yet.
func (j *job) aborted() (at micro.Time, by string, left int, ok bool) {
	c := j.w.check
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.jobs[j.id]
	return x.toldAt, x.toldBy, x.left, x.aborted
}

// is what the user was told so far.
func (j *job) is() seen { return j.w.check.asks(j.id) }

// served reports whether a job has got what it is owed: it is over, or a service
// that runs in full, or fails wherever it runs.
func (j *job) served() bool {
	s, jd := j.is(), j.w.check.job(j.id)
	return s.done || s.aborted || jd.broken || jd.spec.Kind == wire.Service && j.running() == jd.spec.Tasks
}
