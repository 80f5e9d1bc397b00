package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const fetchRate = 0.5

type taskKey struct {
	piece string
	try   uint64
}

// task is an attempt on a machine.
type task struct {
	taskKey
	job     *job
	index   int
	state   string
	cause   string
	saved   bool
	imageAt time.Time
	endAt   time.Time // of a running task: its completion; of one that saves: its exit
	waits   time.Time // since when it waits for its gang
	here    bool      // on its machine, in the sense of "How aims are counted"
}

// workerLink says how the network treats the messages of a worker.
type workerLink struct {
	Mute   bool                         // its reports reach no controller
	Deaf   bool                         // answers to its reports, and direct commands, are lost
	Orders func(o object) time.Duration // > 0: a direct command is held up for that time, unanswered
	Only   string                       // its reports reach this controller only
	Report func(body []byte, node string)
}

// worker is a stand-in of a worker on its machine.
type worker struct {
	site   *site
	name   string
	rig    rig
	yard   string
	spot   bool
	addr   string
	rented time.Time

	mu        sync.Mutex
	up, gone  bool
	failed    bool
	link      workerLink
	hungSince time.Time
	hungUntil time.Time
	shift     uint64
	tally     uint64
	baton     uint64
	leaseFrom time.Time
	tasks     map[taskKey]*task
	images    map[string]time.Time
	recall    time.Time
	changed   bool
	server    *http.Server
	stop      context.CancelFunc
	ctx       context.Context
}

func newWorker(s *site, name string, r rig, yard string, spot bool) *worker {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w := &worker{
		site: s, name: name, rig: r, yard: yard, spot: spot, addr: l.Addr().String(), rented: time.Now(),
		tasks: map[taskKey]*task{}, images: map[string]time.Time{},
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w
}

func (w *worker) listed() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.failed:
		return "failed"
	case w.up:
		return "running"
	}
	return "booting"
}

func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone || w.up {
		return
	}
	w.up, w.shift, w.leaseFrom, w.changed = true, 1, time.Now(), true
	go w.tick()
	go w.reports()
}

// end stops the machine with all that is on it.
func (w *worker) end(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return
	}
	w.gone, w.up = true, false
	w.site.log(w.name, "machine ends:", why)
	w.dropTasks("machine gone")
	w.stop()
	go func() { _ = w.server.Close() }()
}

func (w *worker) setLink(l workerLink) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.link = l
}

// hang lets the machine stand still for a time.
func (w *worker) hang(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.site.log(w.name, "hangs for", d)
	w.hungSince, w.hungUntil = time.Now(), time.Now().Add(d)
}

// awake waits until the machine does not hang, and holds the lock then. It returns false if it is gone.
func (w *worker) awake() bool {
	for {
		w.mu.Lock()
		if w.gone || !w.up {
			w.mu.Unlock()
			return false
		}
		now := time.Now()
		if now.After(w.hungUntil) {
			if !w.hungSince.IsZero() {
				stood := w.hungUntil.Sub(w.hungSince)
				for _, t := range w.tasks {
					t.endAt, t.imageAt = t.endAt.Add(stood), t.imageAt.Add(stood)
				}
				w.hungSince = time.Time{}
			}
			w.checkLease(now)
			return true
		}
		// A machine hangs within its lease, so its tasks count as ended once the lease is over.
		w.checkLease(now)
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *worker) checkLease(now time.Time) {
	if now.Sub(w.leaseFrom) <= w.site.lease {
		return
	}
	w.site.log(w.name, "lease has expired, session", w.shift+1)
	w.dropTasks("lease expired")
	w.shift++
	w.leaseFrom, w.changed = now, true
}

func (w *worker) dropTasks(why string) {
	for key, t := range w.tasks {
		w.leave(t, why)
		delete(w.tasks, key)
	}
}

// enter records that a task has its image and is on the machine.
func (w *worker) enter(t *task) {
	if !t.here {
		t.here = true
		w.site.judge.enter(w, t)
	}
}

func (w *worker) leave(t *task, why string) {
	w.site.gangs.lost(t)
	if t.here {
		t.here = false
		w.site.judge.leave(w, t, why)
	}
}

func (w *worker) exit(t *task, cause string) {
	t.state, t.cause = "ended", cause
	if cause == "done" {
		w.site.judge.done(t)
	}
	w.leave(t, cause)
	w.changed = true
}

func (w *worker) tick() {
	for {
		time.Sleep(25 * time.Millisecond)
		if !w.awake() {
			return
		}
		now := time.Now()
		for _, t := range w.sorted() {
			w.step(t, now)
		}
		w.mu.Unlock()
	}
}

func (w *worker) sorted() []*task {
	var out []*task
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].piece < out[b].piece })
	return out
}

func (w *worker) step(t *task, now time.Time) {
	switch t.state {
	case "pulling":
		if now.Before(t.imageAt) {
			return
		}
		w.changed = true
		w.enter(t)
		if t.job.finished(t.index) {
			w.exit(t, "done")
			return
		}
		if t.job.gang() {
			t.state, t.waits = "gathering", now
			w.site.gangs.join(t)
			return
		}
		t.state, t.endAt = "running", now.Add(t.job.left(t.index))
	case "gathering":
		if end, ok := w.site.gangs.started(t, now); ok {
			t.state, t.endAt, w.changed = "running", end, true
		} else if now.Sub(t.waits) > w.site.gangWait {
			w.exit(t, "alone")
		}
	case "running":
		switch {
		case t.job.gang() && w.site.gangs.broken(t, now):
			w.exit(t, "peers")
		case t.job.fails:
			w.exit(t, "error")
		case !t.job.daemon() && now.After(t.endAt):
			w.exit(t, "done")
		}
	case "flushing":
		if now.After(t.endAt) {
			t.saved = true
			w.exit(t, "stopped")
		}
	}
}

func (w *worker) run(o object) {
	key := taskKey{text(o["piece"]), whole(o["try"])}
	t := w.tasks[key]
	switch text(o["verb"]) {
	case "start":
		if t == nil {
			w.startTask(key)
		}
	case "halt":
		if t == nil || t.state == "ended" {
			return
		}
		grace, need := number(o["leewayS"]), t.job.stash
		switch {
		case t.state == "flushing":
			if grace == 0 {
				w.exit(t, "stopped")
			}
		case t.state == "running" && t.job.bookmark > 0 && grace >= need:
			t.job.save(t.index, time.Until(t.endAt))
			t.state, t.endAt, w.changed = "flushing", time.Now().Add(time.Duration(need*float64(time.Second))), true
		default:
			w.exit(t, "stopped")
		}
	case "forget":
		if t != nil && t.state == "ended" {
			delete(w.tasks, key)
		}
	}
}

func (w *worker) startTask(key taskKey) {
	id, number, _ := strings.Cut(key.piece, "/")
	index, _ := strconv.Atoi(number)
	t := &task{taskKey: key, index: index, state: "ended"}
	t.job = w.site.job(id)
	w.tasks[key], w.changed = t, true
	if t.job == nil || index >= t.job.pieces {
		t.job, t.cause = &job{id: id}, "no_such"
		return
	}
	var cpus, gpus, ram float64
	for _, other := range w.tasks {
		if other == t || other.state == "ended" {
			continue
		}
		if other.piece == key.piece {
			t.cause = "in_use"
			return
		}
		cpus, gpus, ram = cpus+other.job.vcpus, gpus+other.job.gpus, ram+other.job.ramGb
	}
	const eps = 1e-6
	if cpus+t.job.vcpus > w.rig.vcpus+eps || gpus+t.job.gpus > w.rig.gpus+eps || ram+t.job.ramGb > w.rig.ramGb+eps {
		t.cause = "full"
		return
	}
	t.state = "pulling"
	ready, ok := w.images[t.job.bundle]
	if !ok {
		ready = time.Now().Add(time.Duration(t.job.pullGb / fetchRate * float64(time.Second)))
		w.images[t.job.bundle] = ready
	}
	t.imageAt = ready
	w.site.log(w.name, "start", key.piece, key.try)
}

func (w *worker) report() object {
	w.tally++
	pieces := []any{}
	for _, t := range w.sorted() {
		p := object{"piece": t.piece, "try": int64(t.try), "status": t.state}
		if t.state == "ended" {
			p["cause"] = t.cause
			if t.saved {
				p["saved"] = true
			}
		}
		pieces = append(pieces, p)
	}
	var recall any
	if !w.recall.IsZero() {
		recall = max(time.Until(w.recall).Seconds(), 0)
	}
	return object{
		"host": w.name, "address": w.addr, "rig": w.rig.label, "yard": w.yard, "loaners": w.spot,
		"shift": int64(w.shift), "tally": int64(w.tally), "baton": int64(w.baton), "recallS": recall, "pieces": pieces,
	}
}

// reports sends the reports, one at a time, to one controller at a time.
func (w *worker) reports() {
	node := rand.IntN(len(w.site.nodes))
	next := time.Now()
	lastSent, batonTold := time.Time{}, time.Time{}
	var toldBaton uint64
	for {
		time.Sleep(20 * time.Millisecond)
		if !w.awake() {
			return
		}
		now := time.Now()
		if w.baton > toldBaton && now.Sub(batonTold) > w.site.lease/2 {
			w.changed, batonTold = true, now
		}
		due := now.After(next) || w.changed && now.Sub(lastSent) >= 500*time.Millisecond
		if !due {
			w.mu.Unlock()
			continue
		}
		w.changed, lastSent, toldBaton = false, now, w.baton
		body, shift, link := encode(w.report()), w.shift, w.link
		w.mu.Unlock()
		interval := w.site.report.Seconds() * (0.75 + rand.Float64()/2)
		next = now.Add(time.Duration(interval * float64(time.Second)))
		to := w.site.nodes[node]
		if link.Report != nil {
			link.Report(body, to.name)
		}
		status, answer, ok := w.send(to, body, link)
		if link.Deaf {
			time.Sleep(time.Until(now.Add(4 * time.Second)))
		}
		if !w.awake() {
			return
		}
		if link.Deaf || w.link.Deaf || w.site.isCut(w.yard, to.area) {
			ok = false
		}
		if time.Since(now) > 4*time.Second {
			ok = false
		}
		wait := time.Duration(0)
		switch {
		case ok && status == 200:
			w.accept(answer, shift, now)
		case ok && status == 421 && w.site.nodeIndex(text(answer["foreman"])) >= 0 && text(answer["foreman"]) != to.name:
			node = w.site.nodeIndex(text(answer["foreman"]))
			next = time.Now()
		default:
			node, wait = (node+1)%len(w.site.nodes), time.Second
			next = time.Now()
		}
		w.mu.Unlock()
		time.Sleep(wait)
	}
}

func (w *worker) send(to *node, body []byte, link workerLink) (int, object, bool) {
	if link.Mute || link.Only != "" && link.Only != to.name || w.site.isCut(w.yard, to.area) || to.isDeaf() {
		time.Sleep(4 * time.Second)
		return 0, nil, false
	}
	return post(w.ctx, to.public, "/agent/beat", body, 4*time.Second)
}

func (w *worker) accept(answer object, shift uint64, sent time.Time) {
	baton, has := answer["baton"]
	if !has || whole(baton) < w.baton || shift != w.shift {
		return
	}
	w.baton = whole(baton)
	if sent.After(w.leaseFrom) {
		w.leaseFrom = sent
	}
	for _, o := range list(answer["orders"]) {
		w.run(o.(object))
	}
}

// ServeHTTP serves direct commands.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	body := decodeObject(raw)
	w.mu.Lock()
	link := w.link
	w.mu.Unlock()
	if link.Deaf {
		silence(r)
		return
	}
	if r.URL.Path == "/orders" && link.Orders != nil {
		if d := link.Orders(body); d > 0 {
			w.site.log(w.name, "direct command held up for", d, body["orders"])
			time.AfterFunc(d, func() {
				if w.awake() {
					status := w.orders(body)
					w.mu.Unlock()
					w.site.log(w.name, "late direct command ->", status, body["orders"])
				}
			})
			silence(r)
			return
		}
	}
	if !w.awake() {
		panic(http.ErrAbortHandler)
	}
	status := 200
	if r.URL.Path == "/orders" {
		status = w.orders(body)
	}
	out := w.report()
	w.mu.Unlock()
	reply(rw, status, out)
}

func (w *worker) orders(body object) int {
	if body["baton"] == nil || body["shift"] == nil {
		return 400
	}
	if whole(body["baton"]) < w.baton || whole(body["shift"]) != w.shift {
		return 409
	}
	w.baton = whole(body["baton"])
	for _, o := range list(body["orders"]) {
		w.run(o.(object))
	}
	return 200
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20, IdleConnTimeout: 5 * time.Second}}

// post sends a request on an own connection and returns the status and the decoded body.
func post(ctx context.Context, addr, path string, body []byte, within time.Duration) (int, object, bool) {
	return request(ctx, "POST", addr, path, body, within)
}

func request(ctx context.Context, method, addr, path string, body []byte, within time.Duration) (int, object, bool) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, false
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, false
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, false
	}
	answer := decodeObject(out)
	if s := resp.Header.Get("Retry-After"); s != "" {
		answer["retry"] = s
	}
	return resp.StatusCode, answer, true
}
