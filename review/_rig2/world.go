package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
)

type netConn = net.Conn

// Rig is a machine type.
type Rig struct {
	Label     string   `msgpack:"label"`
	VCPUs     float64  `msgpack:"vcpus"`
	GPUs      float64  `msgpack:"gpus"`
	RAM       float64  `msgpack:"ramGb"`
	Cache     float64  `msgpack:"cacheGb"`
	Fetch     float64  `msgpack:"fetchGbPerS"`
	Price     float64  `msgpack:"price"`
	SpotPrice float64  `msgpack:"spotPrice"`
	Startup   float64  `msgpack:"startupS"`
	Yards     []string `msgpack:"yards"`
}

// Job is a submission.
type Job struct {
	ID       string   `msgpack:"nameId"`
	Class    string   `msgpack:"jobclass"`
	Team     string   `msgpack:"outfit"`
	Shape    string   `msgpack:"shape"`
	Rank     string   `msgpack:"rank"`
	Pieces   int      `msgpack:"pieces"`
	VCPUs    float64  `msgpack:"vcpus"`
	GPUs     float64  `msgpack:"gpus"`
	RAM      float64  `msgpack:"ramGb"`
	Bundle   string   `msgpack:"bundle"`
	Pull     float64  `msgpack:"pullGb"`
	Rigs     []string `msgpack:"rigs"`
	Yard     *string  `msgpack:"yard"`
	OneZone  bool     `msgpack:"oneZone"`
	Scatter  bool     `msgpack:"scatter"`
	Loaners  bool     `msgpack:"loaners"`
	Guess    float64  `msgpack:"guessS"`
	Bookmark float64  `msgpack:"bookmarkS"`
	Stash    float64  `msgpack:"stashS"`
	Due      *float64 `msgpack:"dueS"`
	Awaits   []string `msgpack:"awaits,omitempty"`

	run    float64 // true run time
	broken bool    // submitted with a mistake: its tasks fail on every machine
}

type told struct{ accepted, done, aborted, askedCancel time.Time }

type jobRec struct {
	job                Job
	submitted          time.Time
	told               told
	doneTasks          map[int]bool
	progress           map[int]float64
	lastAnswer         time.Time
	polls, answers     int
	starts             int
	allDone            time.Time
	firstStart         time.Time
	failed422          bool
	attemptsOnMachines map[string]bool
}

// World holds all stand-ins and the judge.
type World struct {
	mu        sync.Mutex
	start     time.Time
	out       *os.File
	nodes     int
	members   int    // the controllers in the settings
	newTeam   string // a team that is not in the settings yet
	rule      string // the rule of the case; "": all
	oldRoot   string // the version in production, while a node runs it
	zones     []string
	nodeZone  []string
	state     *State
	cloudLink []*Link
	rigs      []Rig
	cap       map[string]int // rig/zone/spot
	machines  map[string]*Machine
	gone      map[string]bool
	hires     map[string][]string
	nextM     int
	listLag   float64
	bootTimes float64
	bootFail  float64
	jobs      map[string]*jobRec
	teams     map[string][2]float64 // limits: cpus, gpus
	onMachine map[string]map[*Task]bool
	gangs     map[string]*Gang
	broken    map[string]int
	first     []string
	ctl       []*Controller
	peers     [][]*PeerLink
	reportS   float64
	leaseS    float64
	cancelS   float64
	gangWait  float64
	gangPeer  float64
	lateCmd   float64
	lateRep   float64
	cpuCap    bool
	verbose   bool
	snapshots []snapshot
	stop      chan struct{}
}

type snapshot struct {
	at   time.Time
	list []map[string]any
}

func (w *World) logf(f string, a ...any) {
	fmt.Fprintf(w.out, "%8.3f ", time.Since(w.start).Seconds())
	fmt.Fprintf(w.out, f+"\n", a...)
}

// breach records a broken rule. The caller holds w.mu.
func (w *World) breach(rule, f string, a ...any) {
	w.broken[rule]++
	text := fmt.Sprintf("BROKEN %s: %s", rule, fmt.Sprintf(f, a...))
	w.logf("%s", text)
	if len(w.first) < 20 {
		w.first = append(w.first, fmt.Sprintf("%.3f %s", time.Since(w.start).Seconds(), text))
	}
}

func (w *World) rig(label string) *Rig {
	for i := range w.rigs {
		if w.rigs[i].Label == label {
			return &w.rigs[i]
		}
	}
	return nil
}

// ---- cloud

func (w *World) cloudHandler(node int) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		link := w.cloudLink[node]
		if !link.pass() {
			drop(ctx)
			return
		}
		if link.get().refuse {
			reply(ctx, 503, map[string]any{"error": "trouble"})
			return
		}
		time.Sleep(50 * time.Millisecond)
		path := string(ctx.Path())
		switch {
		case path == "/catalog":
			reply(ctx, 200, map[string]any{"rigs": w.rigs})
		case path == "/machines" && ctx.IsGet():
			w.handleList(ctx)
		case path == "/machines":
			w.handleHire(ctx, node)
		case path == "/machines/return":
			var r struct {
				Hosts []string `msgpack:"hosts"`
			}
			if msgpack.Unmarshal(ctx.PostBody(), &r) != nil || len(r.Hosts) > 100 {
				reply(ctx, 400, map[string]any{})
				return
			}
			w.mu.Lock()
			for _, h := range r.Hosts {
				if m := w.machines[h]; m != nil {
					m.die("returned")
					delete(w.machines, h)
					w.gone[h] = true
				}
			}
			w.logf("cloud: node %d returned %v", node, r.Hosts)
			w.mu.Unlock()
			reply(ctx, 200, map[string]any{})
		default:
			reply(ctx, 404, map[string]any{})
		}
		if link.get().cut {
			link.pass()
			drop(ctx)
		}
	}
}

func (w *World) handleHire(ctx *fasthttp.RequestCtx, node int) {
	var r struct {
		Hire    string `msgpack:"hire"`
		Rig     string `msgpack:"rig"`
		Yard    string `msgpack:"yard"`
		Loaners bool   `msgpack:"loaners"`
		Count   int    `msgpack:"count"`
	}
	if msgpack.Unmarshal(ctx.PostBody(), &r) != nil || r.Count < 1 || r.Count > 50 || w.rig(r.Rig) == nil {
		reply(ctx, 400, map[string]any{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h, ok := w.hires[r.Hire]; ok {
		reply(ctx, 200, map[string]any{"hosts": h})
		return
	}
	var hosts []string
	for range r.Count {
		key := fmt.Sprintf("%s/%s/%v", r.Rig, r.Yard, r.Loaners)
		used := 0
		for _, m := range w.machines {
			if m.capKey() == key {
				used++
			}
		}
		if used >= w.cap[key] {
			break
		}
		hosts = append(hosts, w.addMachine(r.Rig, r.Yard, r.Loaners, false).name)
	}
	w.logf("cloud: node %d hire %s %s %s spot=%v count=%d -> %v", node, r.Hire, r.Rig, r.Yard, r.Loaners, r.Count, hosts)
	if len(hosts) == 0 {
		reply(ctx, 503, map[string]any{"error": "no capacity"})
		return
	}
	w.hires[r.Hire] = hosts
	reply(ctx, 200, map[string]any{"hosts": hosts})
}

func (w *World) snapshotLoop() {
	for {
		w.mu.Lock()
		now := time.Now()
		var names []string
		for n := range w.machines {
			names = append(names, n)
		}
		sort.Strings(names)
		var list []map[string]any
		for _, n := range names {
			m := w.machines[n]
			status := "running"
			if !m.up {
				status = "booting"
			}
			if m.dead {
				if now.Sub(m.diedAt) > 30*time.Second {
					status = "failed"
				}
			}
			list = append(list, map[string]any{
				"nameId": n, "address": m.addr(0), "rig": m.rig.Label, "yard": m.zone, "loaners": m.spot,
				"status": status, "heldS": now.Sub(m.hired).Seconds(),
			})
		}
		w.snapshots = append(w.snapshots, snapshot{now, list})
		if len(w.snapshots) > 60 {
			w.snapshots = w.snapshots[1:]
		}
		w.mu.Unlock()
		select {
		case <-w.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (w *World) handleList(ctx *fasthttp.RequestCtx) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lag := w.listLag * (0.5 + rand.Float64())
	at := time.Now().Add(-time.Duration(lag * float64(time.Second)))
	var list []map[string]any
	for _, s := range w.snapshots {
		if s.at.Before(at) || list == nil {
			list = s.list
		}
	}
	since := string(ctx.QueryArgs().Peek("since"))
	hosts := []any{}
	for _, e := range list {
		if e["nameId"].(string) > since {
			hosts = append(hosts, e)
		}
	}
	reply(ctx, 200, map[string]any{"hosts": hosts, "more": false})
}

// ---- machines

// Task is an attempt on a machine.
type Task struct {
	job           *jobRec
	id            string // job id
	index         int
	try           uint64
	name          string
	m             *Machine
	state         string
	cause         string
	saved         bool
	imageAt       time.Time
	startedRun    time.Time
	base          float64 // progress at the start
	onMachine     bool
	flushEnd      time.Time
	gang          *Gang
	gatherAt      time.Time
	peersDeadline time.Time
}

// Gang is one attempt of a gang.
type Gang struct {
	tasks   map[int]*Task
	running bool
	since   time.Time
	base    float64
	haltAt  time.Time
	lostAt  time.Time
}

// Machine is a worker with its machine.
type Machine struct {
	w         *World
	name      string
	rig       *Rig
	zone      string
	spot      bool
	hired     time.Time
	up        bool
	dead      bool
	diedAt    time.Time
	lns       []net.Listener
	srv       []*fasthttp.Server
	shift     uint64
	tally     uint64
	baton     uint64
	leaseAt   time.Time
	tasks     map[string]*Task
	images    map[string]bool
	hungUntil time.Time
	repCut    []bool // reports do not reach controller k
	deaf      []bool // answers to reports of controller k are lost
	dirCut    []bool // direct commands of controller k do not arrive
	changed   bool
	node      int
	recall    time.Time
	slow      float64
}

func (m *Machine) capKey() string { return fmt.Sprintf("%s/%s/%v", m.rig.Label, m.zone, m.spot) }

func (m *Machine) addr(node int) string { return m.lns[node].Addr().String() }

func (w *World) addMachine(rig, zone string, spot, up bool) *Machine {
	w.nextM++
	m := &Machine{
		w: w, name: fmt.Sprintf("i-%06d", 230+w.nextM), rig: w.rig(rig), zone: zone, spot: spot, hired: time.Now(), shift: 1,
		tasks: map[string]*Task{}, images: map[string]bool{}, repCut: make([]bool, w.nodes), deaf: make([]bool, w.nodes),
		dirCut: make([]bool, w.nodes), node: rand.IntN(w.nodes), slow: 1,
	}
	for k := range w.nodes {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		m.lns = append(m.lns, ln)
		s := &fasthttp.Server{Handler: m.handler(k), IdleTimeout: 20 * time.Second, Logger: quiet{}}
		m.srv = append(m.srv, s)
		go func() { _ = s.Serve(ln) }()
	}
	w.machines[m.name] = m
	boot := time.Duration(0)
	if !up {
		boot = time.Duration(m.rig.Startup * w.bootTimes * (0.6 + 0.9*rand.Float64()) * float64(time.Second))
		if rand.Float64() < w.bootFail {
			boot = time.Hour
		}
	}
	go m.run(boot)
	return m
}

// die ends the machine; the caller holds w.mu.
func (m *Machine) die(why string) {
	if m.dead {
		return
	}
	m.dead, m.diedAt = true, time.Now()
	for _, t := range m.tasks {
		m.remove(t, why)
	}
	m.tasks = map[string]*Task{}
	for _, l := range m.lns {
		_ = l.Close()
	}
}

func (m *Machine) hung() bool { return time.Now().Before(m.hungUntil) }

func (m *Machine) handler(k int) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		w := m.w
		w.mu.Lock()
		for (m.hung() || m.dirCut[k] || !m.up) && !m.dead { // delivered after the trouble
			w.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
		}
		if m.dead {
			w.mu.Unlock()
			drop(ctx)
			return
		}
		m.checkLease()
		if ctx.IsGet() {
			body := m.report(k)
			w.mu.Unlock()
			ctx.SetBody(body)
			return
		}
		var c commands
		if msgpack.Unmarshal(ctx.PostBody(), &c) != nil || c.Baton == nil || c.Shift == nil {
			w.mu.Unlock()
			ctx.SetStatusCode(400)
			return
		}
		if rand.Float64() < w.lateCmd {
			w.mu.Unlock()
			go func() {
				time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(14*time.Second))))
				w.mu.Lock()
				defer w.mu.Unlock()
				for m.hung() && !m.dead {
					w.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					w.mu.Lock()
				}
				if !m.dead {
					m.checkLease()
					m.direct(k, c)
				}
			}()
			time.Sleep(5 * time.Second)
			drop(ctx)
			return
		}
		ok := m.direct(k, c)
		body := m.report(k)
		w.mu.Unlock()
		if !ok {
			ctx.SetStatusCode(409)
		}
		ctx.SetBody(body)
	}
}

type order struct {
	Verb   string   `msgpack:"verb"`
	Piece  string   `msgpack:"piece"`
	Try    uint64   `msgpack:"try"`
	Leeway *float64 `msgpack:"leewayS"`
}

type commands struct {
	Baton  *uint64 `msgpack:"baton"`
	Shift  *uint64 `msgpack:"shift"`
	Orders []order `msgpack:"orders"`
}

func (m *Machine) direct(k int, c commands) bool {
	if *c.Baton < m.baton || *c.Shift != m.shift {
		m.w.logf("%s direct from %d refused baton %d<%d shift %d/%d %v", m.name, k, *c.Baton>>24, m.baton>>24, *c.Shift, m.shift, brief(c.Orders))
		return false
	}
	m.see(*c.Baton)
	m.execute(c.Orders, fmt.Sprintf("direct %d", k))
	return true
}

func (m *Machine) see(baton uint64) {
	if baton > m.baton {
		m.baton = baton
	}
}

func brief(o []order) string {
	var s []string
	for _, x := range o {
		s = append(s, fmt.Sprintf("%s %s.%d", x.Verb, x.Piece, x.Try))
	}
	return strings.Join(s, ", ")
}

func (m *Machine) execute(orders []order, from string) {
	w := m.w
	if len(orders) > 0 && w.verbose {
		w.logf("%s %s: %s", m.name, from, brief(orders))
	}
	for _, o := range orders {
		key := fmt.Sprintf("%s.%d", o.Piece, o.Try)
		t := m.tasks[key]
		switch o.Verb {
		case "start":
			if t == nil {
				m.startTask(o, key)
			}
		case "halt":
			if t != nil && t.state != "ended" {
				lee := 0.0
				if o.Leeway != nil {
					lee = *o.Leeway
				}
				m.halt(t, lee)
			}
		case "forget":
			if t != nil && t.state == "ended" {
				delete(m.tasks, key)
			}
		}
	}
}

func (m *Machine) startTask(o order, key string) {
	w := m.w
	id, idx, _ := strings.Cut(o.Piece, "/")
	var index int
	_, _ = fmt.Sscan(idx, &index)
	t := &Task{id: id, index: index, try: o.Try, name: o.Piece, m: m, state: "pulling"}
	m.tasks[key] = t
	m.changed = true
	j := w.jobs[id]
	if j == nil || index >= j.job.Pieces {
		t.state, t.cause = "ended", "no_such"
		return
	}
	t.job = j
	var c, g, r float64
	for _, x := range m.tasks {
		if x == t || x.state == "ended" || x.job == nil {
			continue
		}
		if x.name == t.name {
			t.state, t.cause = "ended", "in_use"
			return
		}
		c, g, r = c+x.job.job.VCPUs, g+x.job.job.GPUs, r+x.job.job.RAM
	}
	const e = 1e-6
	if c+j.job.VCPUs > m.rig.VCPUs+e || g+j.job.GPUs > m.rig.GPUs+e || r+j.job.RAM > m.rig.RAM+e {
		t.state, t.cause = "ended", "full"
		return
	}
	fetch := 0.0
	if !m.images[j.job.Bundle] {
		fetch = j.job.Pull / m.rig.Fetch
	}
	t.imageAt = time.Now().Add(time.Duration(fetch * float64(time.Second)))
	j.starts++
	if !j.told.aborted.IsZero() && time.Since(j.told.aborted) > 0 {
		w.logf("NOTE start command of %s.%d on %s %.1f s after the confirmed cancellation", t.name, t.try, m.name, time.Since(j.told.aborted).Seconds())
	}
}

// place is called when a task has its image.
func (m *Machine) place(t *Task) {
	w, j := m.w, t.job
	m.images[j.job.Bundle] = true
	t.onMachine = true
	m.changed = true
	if j.firstStart.IsZero() {
		j.firstStart = time.Now()
	}
	for other := range w.onMachine[t.name] {
		w.breach("ran_twice", "%s.%d starts on %s while %s.%d is on %s (%s)", t.name, t.try, m.name, other.name, other.try, other.m.name, other.state)
	}
	if w.onMachine[t.name] == nil {
		w.onMachine[t.name] = map[*Task]bool{}
	}
	w.onMachine[t.name][t] = true
	if w.verbose {
		w.logf("%s has %s.%d", m.name, t.name, t.try)
	}
	if !j.told.aborted.IsZero() && time.Since(j.told.aborted).Seconds() > w.cancelS {
		w.breach("ran_cancelled", "%s.%d starts on %s %.1f s after the confirmed cancellation", t.name, t.try, m.name, time.Since(j.told.aborted).Seconds())
	}
	for _, a := range j.job.Awaits {
		if d := w.jobs[a]; d != nil && len(d.doneTasks) < d.job.Pieces {
			w.breach("too_early", "%s starts before %s is done", t.name, a)
		}
	}
	spec := &j.job
	if len(spec.Rigs) > 0 && !contains(spec.Rigs, m.rig.Label) || spec.Yard != nil && *spec.Yard != m.zone || m.spot && !spec.Loaners {
		w.breach("wrong_place", "%s on %s (%s %s spot=%v)", t.name, m.name, m.rig.Label, m.zone, m.spot)
	}
	zones := map[string]int{}
	var c, g float64
	for _, set := range w.onMachine {
		for x := range set {
			if x.job == j {
				zones[x.m.zone]++
			}
			if x.job.job.Team == spec.Team {
				c, g = c+x.job.job.VCPUs, g+x.job.job.GPUs
			}
		}
	}
	if spec.OneZone && len(zones) > 1 {
		w.breach("wrong_place", "%s: tasks of a one-zone job in %v", t.name, zones)
	}
	if spec.Scatter && zones[m.zone] > (spec.Pieces+1)/2 {
		w.breach("wrong_place", "%s: %d of %d scattered tasks in %s", t.name, zones[m.zone], spec.Pieces, m.zone)
	}
	if l := w.teams[spec.Team]; l[0] > 0 && c > l[0]+1e-6 || l[1] > 0 && g > l[1]+1e-6 {
		w.breach("quota", "team %s uses %.1f CPUs and %.1f GPUs, limit %v, with %s.%d on %s", spec.Team, c, g, l, t.name, t.try, m.name)
	}
	if spec.Shape == "ensemble" {
		key := fmt.Sprintf("%s.%d", t.id, t.try)
		gg := w.gangs[key]
		if gg == nil {
			gg = &Gang{tasks: map[int]*Task{}}
			w.gangs[key] = gg
		}
		gg.tasks[t.index] = t
		t.gang, t.state, t.gatherAt = gg, "gathering", time.Now()
		if len(gg.tasks) == spec.Pieces && !gg.running {
			gg.running, gg.since, gg.base = true, time.Now(), j.progress[0]
			for _, x := range gg.tasks {
				x.state, x.m.changed = "running", true
			}
		}
		return
	}
	t.state, t.startedRun, t.base = "running", time.Now(), j.progress[t.index]
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}

// remove takes a task from the machine, for whatever reason.
func (m *Machine) remove(t *Task, why string) {
	w := m.w
	if t.onMachine {
		t.onMachine = false
		delete(w.onMachine[t.name], t)
		if w.verbose {
			w.logf("%s lost %s.%d: %s", m.name, t.name, t.try, why)
		}
	}
	if g := t.gang; g != nil {
		if g.tasks[t.index] == t {
			delete(g.tasks, t.index)
			if g.running && g.lostAt.IsZero() && why != "done" {
				g.lostAt = time.Now()
			}
		}
	}
}

func (m *Machine) end(t *Task, cause string, saved bool) {
	t.state, t.cause, t.saved = "ended", cause, saved
	m.changed = true
	m.remove(t, cause)
}

func (m *Machine) halt(t *Task, leeway float64) {
	j := t.job
	if t.state == "flushing" {
		if leeway == 0 {
			m.end(t, "stopped", false)
		}
		return
	}
	if t.state == "running" && j.job.Bookmark > 0 && leeway >= j.job.Stash && (t.gang == nil || t.gang.lostAt.IsZero()) {
		t.state = "flushing"
		t.flushEnd = time.Now().Add(time.Duration(j.job.Stash * float64(time.Second)))
		if t.gang != nil && t.gang.haltAt.IsZero() {
			t.gang.haltAt = time.Now()
		}
		if t.gang == nil {
			j.progress[t.index] = t.base + time.Since(t.startedRun).Seconds()*m.speed()
		}
		m.changed = true
		return
	}
	m.end(t, "stopped", false)
}

func (m *Machine) speed() float64 { return m.slow }

func (m *Machine) checkLease() {
	if time.Since(m.leaseAt).Seconds() <= m.w.leaseS {
		return
	}
	for _, t := range m.tasks {
		m.remove(t, "lease")
	}
	if len(m.tasks) > 0 {
		m.w.logf("%s lease ended with %d tasks, shift %d", m.name, len(m.tasks), m.shift+1)
	}
	m.tasks = map[string]*Task{}
	m.shift++
	m.leaseAt = time.Now()
	m.changed = true
}

func (m *Machine) step(now time.Time) {
	w := m.w
	for _, t := range m.tasks {
		j := t.job
		switch t.state {
		case "pulling":
			if now.After(t.imageAt) {
				m.place(t)
			}
		case "gathering":
			if now.Sub(t.gatherAt).Seconds() > w.gangWait {
				m.end(t, "alone", false)
			}
		case "running":
			if g := t.gang; g != nil {
				if j.job.broken && now.Sub(g.since) > time.Second {
					m.end(t, "error", false)
					continue
				}
				if !g.lostAt.IsZero() {
					if now.Sub(g.lostAt).Seconds() > w.gangPeer*0.6 {
						m.end(t, "peers", false)
					}
					continue
				}
				if g.haltAt.IsZero() && g.base+now.Sub(g.since).Seconds() >= j.job.run {
					for _, x := range g.tasks {
						j.doneTasks[x.index] = true
						x.m.end(x, "done", false)
					}
					w.finished(j)
				}
				if !g.haltAt.IsZero() && now.Sub(g.haltAt).Seconds() > w.gangPeer {
					m.end(t, "peers", false)
				}
				continue
			}
			if j.job.broken {
				if now.Sub(t.startedRun) > time.Second {
					m.end(t, "error", false)
				}
				continue
			}
			if j.job.Shape == "daemon" {
				continue
			}
			if j.doneTasks[t.index] || t.base+now.Sub(t.startedRun).Seconds()*m.speed() >= j.job.run {
				j.doneTasks[t.index] = true
				m.end(t, "done", false)
				w.finished(j)
			}
		case "flushing":
			if now.After(t.flushEnd) {
				if g := t.gang; g != nil {
					j.progress[0] = g.base + g.haltAt.Sub(g.since).Seconds()
				}
				m.end(t, "stopped", true)
			}
		}
	}
}

func (w *World) finished(j *jobRec) {
	if len(j.doneTasks) == j.job.Pieces && j.allDone.IsZero() {
		j.allDone = time.Now()
	}
}

func (m *Machine) report(node int) []byte {
	m.tally++
	pieces := []any{}
	for _, t := range m.tasks {
		p := map[string]any{"piece": t.name, "try": t.try, "status": t.state}
		if t.state == "ended" {
			p["cause"] = t.cause
			if t.saved {
				p["saved"] = true
			}
		}
		pieces = append(pieces, p)
	}
	r := map[string]any{
		"host": m.name, "address": m.addr(node), "rig": m.rig.Label, "yard": m.zone, "loaners": m.spot, "shift": m.shift,
		"tally": m.tally, "baton": m.baton, "recallS": nil, "pieces": pieces,
	}
	if !m.recall.IsZero() {
		r["recallS"] = time.Until(m.recall).Seconds()
	}
	b, err := msgpack.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

func (m *Machine) run(boot time.Duration) {
	w := m.w
	time.Sleep(boot)
	w.mu.Lock()
	m.up = true
	m.leaseAt = time.Now()
	w.mu.Unlock()
	var last time.Time
	interval := 0.0
	lastBaton, batonAt := uint64(0), time.Time{}
	client := &fasthttp.Client{
		MaxConnsPerHost: 4, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxIdleConnDuration: 8 * time.Second,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	var wait time.Time // no report before
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		w.mu.Lock()
		if m.dead {
			w.mu.Unlock()
			return
		}
		if m.hung() {
			w.mu.Unlock()
			continue
		}
		now := time.Now()
		m.checkLease()
		m.step(now)
		if m.baton > lastBaton && now.Sub(batonAt).Seconds() > w.leaseS/2 {
			lastBaton, batonAt, m.changed = m.baton, now, true
		}
		due := now.Sub(last).Seconds() > interval || m.changed && now.Sub(last) > 500*time.Millisecond
		if !due || now.Before(wait) {
			w.mu.Unlock()
			continue
		}
		m.changed = false
		node := m.node
		body := m.report(node)
		sent := now
		shift := m.shift
		repCut, deaf := m.repCut[node], m.deaf[node]
		if rand.Float64() < w.lateRep {
			go func() {
				time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(40*time.Second))))
				for k := range w.nodes {
					w.sendReport(client, k, body)
				}
			}()
		}
		w.mu.Unlock()
		last = now
		interval = w.reportS * (0.75 + 0.5*rand.Float64())
		var status int
		var out []byte
		if repCut {
			time.Sleep(4 * time.Second)
		} else {
			status, out = w.sendReport(client, node, body)
			if deaf {
				status = 0
				time.Sleep(time.Until(sent.Add(4 * time.Second)))
			}
		}
		w.mu.Lock()
		for m.hung() && !m.dead {
			w.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
			status = 0 // the machine hung: the answer is too old
		}
		if m.dead {
			w.mu.Unlock()
			return
		}
		if time.Since(sent) > 4*time.Second {
			status = 0
		}
		m.checkLease()
		switch {
		case status == 200:
			var c commands
			if msgpack.Unmarshal(out, &c) == nil && c.Baton != nil && *c.Baton >= m.baton && shift == m.shift && *c.Baton > 0 {
				m.see(*c.Baton)
				m.leaseAt = sent
				m.execute(c.Orders, fmt.Sprintf("answer of %d", node))
			}
		case status == 421:
			var f struct {
				Foreman string `msgpack:"foreman"`
			}
			_ = msgpack.Unmarshal(out, &f)
			next := -1
			for k := range w.nodes {
				if f.Foreman == nodeName(k) && k != node {
					next = k
				}
			}
			if next >= 0 {
				m.node = next
				wait = time.Now().Add(time.Duration(rand.Int64N(int64(500 * time.Millisecond))))
			} else {
				m.node = (node + 1) % w.nodes
				wait = time.Now().Add(time.Second)
			}
			m.changed = true
		default:
			m.node = (node + 1) % w.nodes
			wait = time.Now().Add(time.Second)
			m.changed = true
		}
		w.mu.Unlock()
	}
}

func (w *World) sendReport(client *fasthttp.Client, node int, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + w.ctl[node].public + "/agent/beat")
	req.SetBodyRaw(body)
	if client.DoTimeout(req, resp, 4*time.Second) != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

func nodeName(k int) string { return fmt.Sprintf("bunkhouse-%d", k) }
