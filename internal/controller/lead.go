package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/scale"
	"notchmux.dev/notchmux/internal/sched"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// tokenBits are the low bits of a token, which the leader may count up; the
// bits above are the version of the leader's key.
const tokenBits = 24

// Lead is one term of leadership. Its loop owns the model.
type Lead struct {
	n      *Node
	term   *election.Term
	log    *slog.Logger
	events chan func() // reports, answers and results of writes
	asks   chan func() // users' questions, which come after those
	done   chan struct{}
	once   sync.Once

	pendingTasks atomic.Int64
	known        sync.Map // ids of jobs in the model

	// Owned by the loop.
	c          *model.Cluster
	placer     *sched.Placer
	planner    *scale.Planner
	speeds     *sched.Speeds
	goals      *sched.Goals
	w          *writer
	token      uint64
	tokenAt    micro.Time
	raisedAt   micro.Time
	changed    bool
	kicked     map[*model.Machine]bool
	lastPass   micro.Time
	passGap    micro.Time // least time between passes, by what the last one took
	watched    int        // next machine to look over for overrunning tasks
	directs    int        // direct orders under way
	lastScan   micro.Time
	lastPlan   micro.Time
	lastSpeed  micro.Time
	lastStats  micro.Time
	lastImages micro.Time
	hires      map[string]*hire
	hireN      int
	asking     []*hire    // rentals whose turn is to come
	renting    int        // rentals under way
	first      string     // the first machine that the service ever rented
	listAt     micro.Time // when the list that was read last was asked for
	returns    map[*model.Machine]bool
	lapsed     bool
	resumed    micro.Time // when this node last came to listen again
	lastTick   micro.Time
	deaf       micro.Time // since when no worker reports; 0: some do
	waiters    map[string][]chan front.Reply
}

func newLead(n *Node, t *election.Term) *Lead {
	l := &Lead{
		n: n, term: t, log: n.Log.With("term", t.Stamp), events: make(chan func(), 4096), asks: make(chan func(), 1024), done: make(chan struct{}),
		token: t.Stamp << tokenBits, kicked: map[*model.Machine]bool{}, hires: map[string]*hire{},
		returns: map[*model.Machine]bool{}, waiters: map[string][]chan front.Reply{},
	}
	l.c = model.New(l)
	l.c.BaseTok = l.token
	l.c.Began = n.Now()
	l.c.Lease = n.Cfg.LeaseSpan() + n.Cfg.LeaseSpan()/500 + micro.Second
	l.c.ErrJobs = n.Cfg.ErrorMachines
	l.c.Verbose = n.Log.Enabled(context.Background(), slog.LevelDebug)
	for _, t := range n.Cfg.Facts.Teams {
		l.c.Teams[t.Name] = &model.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}
	}
	l.goals = sched.NewGoals(n.Cfg.Facts.Objectives)
	l.speeds = sched.NewSpeeds()
	l.placer = &sched.Placer{C: l.c, Goals: l.goals, Props: &n.Cfg.Properties, Rand: rand.New(rand.NewPCG(t.Stamp, 1))}
	l.planner = &scale.Planner{C: l.c, Goals: l.goals, Props: &n.Cfg.Properties, Refused: map[scale.Offer]micro.Time{}, Dry: map[scale.Offer]int{}, Asked: map[string]scale.Ask{}}
	l.placer.Affordable = l.planner.Affordable
	l.w = newWriter(l)
	return l
}

func (l *Lead) stop() { l.once.Do(func() { close(l.done) }) }

func (l *Lead) valid() bool { return l.term.Valid(l.n.Now()) }

// post hands the loop something to do; it is dropped once the term is over.
func (l *Lead) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// ask runs f in the loop and waits for its reply, but not for long. Reports and
// withdrawals go before questions.
func (l *Lead) ask(to chan func(), wait micro.Time, f func(reply func(front.Reply))) (front.Reply, bool) {
	ch := make(chan front.Reply, 1)
	t := time.NewTimer(wait.Std())
	select {
	case to <- func() { f(func(r front.Reply) { ch <- r }) }:
	case <-l.done:
	case <-t.C:
	}
	defer t.Stop()
	select {
	case r := <-ch:
		// The right may have lapsed meanwhile: then nothing may be said.
		return r, l.valid()
	case <-l.done:
	case <-t.C:
	}
	return front.Reply{}, false
}

// run is the loop: it takes over what the store holds, then serves events.
func (l *Lead) run(ctx context.Context) {
	go func() {
		select {
		case <-ctx.Done():
			l.stop()
		case <-l.done:
		}
	}()
	from := l.n.Now()
	rev, ok := l.load(ctx)
	if !ok {
		return
	}
	l.log.Info("took over", "jobs", len(l.c.Jobs), "machines", len(l.c.Machines), "took_ms", int64((l.n.Now()-from)/micro.Millisecond))
	go l.watch(ctx, rev)
	go l.listLoop(ctx)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-l.done:
			return
		case f := <-l.events:
			f()
			for more := 0; more < 64; more++ {
				select {
				case f := <-l.events:
					f()
					continue
				default:
				}
				break
			}
		case f := <-l.asks:
			f()
		case <-tick.C:
			l.tick(l.n.Now())
		}
		l.act(l.n.Now())
	}
}

// act does what the events called for: place, write, send.
func (l *Lead) act(now micro.Time) {
	if !l.term.Valid(now) {
		return
	}
	if l.changed && now-l.lastPass > l.passGap {
		l.changed = false
		l.lastPass = now
		l.placer.Pass(now)
		took := l.n.Now() - now
		l.passGap = min(max(passShare*took, minPassGap), maxPassGap)
		l.placer.Busy = took > l.n.Cfg.SampleBusy
		l.n.Metrics.Observe("pass", took)
	}
	l.w.flush(now)
	for m := range l.kicked {
		if l.directs >= maxDirects {
			break // the rest wait, or the next reports bring them
		}
		delete(l.kicked, m)
		l.direct(m, now)
	}
}

// Passes take at most one part in passShare of the time.
const (
	passShare  = 8
	minPassGap = 40 * micro.Millisecond
	maxPassGap = micro.Second
)

// maxDirects bounds the direct orders under way: each takes a socket.
const maxDirects = 96

func (l *Lead) tick(now micro.Time) {
	if !l.term.Valid(now) {
		l.lapsed = true
		return
	}
	if l.lapsed || now-l.lastTick > 2*micro.Second {
		// The right lapsed, or this process got no time: workers were not heard.
		l.lapsed, l.resumed = false, now
	}
	l.lastTick = now
	if now-l.lastScan >= 500*micro.Millisecond {
		l.lastScan = now
		l.scan(now)
	}
	if now-l.lastPlan >= micro.Second {
		l.lastPlan = now
		l.plan(now)
		l.changed = true // backoffs and reservations run out
		waiting := 0
		for j := range l.c.Pending {
			waiting += j.Waiting()
		}
		l.pendingTasks.Store(int64(waiting))
	}
	if now-l.lastImages >= imagesEvery {
		l.lastImages = now
		l.w.images.touch(now, lazy)
	}
	if now-l.lastStats >= statsEvery {
		l.lastStats = now
		l.stats()
	}
	if now-l.lastSpeed >= l.n.Cfg.SpeedWrite {
		l.lastSpeed = now
		if l.speeds.Dirty() {
			l.speeds.Apply(l.c)
			for _, t := range l.c.Order {
				l.log.Debug("speed", "type", t.Name, "k", t.K, "learnt", l.speeds.Record().K[t.Name])
			}
			l.w.speed.touch(now, lazy)
		}
	}
	if now-l.tokenAt >= micro.Second {
		need := now-l.raisedAt > challenge
		for _, m := range l.c.Machines {
			if need {
				break
			}
			need = (m.State == model.Up || m.Heard > 0) && m.State != model.Returning && m.NeedsToken(l.token)
		}
		if need {
			l.token++
			l.raisedAt = now
		}
		if l.token&(1<<tokenBits-1) == 1<<tokenBits-1 {
			l.resign("tokens used up")
		}
	}
}

// challenge is how often the token is raised even if nothing waits for it: a
// machine that hears nothing shows by not having seen it.
const challenge = 10 * micro.Second

// statsEvery is how often the leader says how it fares.
const statsEvery = 20 * micro.Second

// imagesEvery is how often the machines' images are written.
const imagesEvery = 20 * micro.Second

func (l *Lead) stats() {
	up := 0
	var fleet strings.Builder
	for _, p := range l.c.Pools {
		if p.N == 0 {
			continue
		}
		up += p.N
		empty := 0
		for r := range p.Rows() {
			for _, m := range p.Row(r) {
				if len(m.Places) == 0 {
					empty++
				}
			}
		}
		kind := "ordinary"
		if p.Spot {
			kind = "spot"
		}
		fmt.Fprintf(&fleet, "%s %s %s %d, %d empty; ", p.Type.Name, p.Zone, kind, p.N, empty)
	}
	l.log.Info("leading", "live", len(l.c.Live), "pending", len(l.c.Pending), "tasks", l.pendingTasks.Load(), "usable", up, "known", len(l.c.Machines),
		"writes_first", len(l.w.queues[first]), "writes_soon", len(l.w.queues[soon]), "writes_lazy", len(l.w.queues[lazy]),
		"pass_gap_ms", int64(l.passGap/micro.Millisecond), "events", len(l.events), "asks", len(l.asks), "directs", l.directs, "kicked", len(l.kicked), "hires_waiting", len(l.asking), "fleet", fleet.String())
}

func (l *Lead) resign(why string) {
	l.log.Info("resigning", "why", why)
	l.term.End()
	l.n.election.Pause(4 * micro.Second)
	go func() { _ = l.n.Store.Revoke(context.Background(), l.term.Lease) }()
}

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
	return rev, true
}

func (l *Lead) sleep(d micro.Time) bool {
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-l.done:
		return false
	case <-t.C:
		return true
	}
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

// show answers a poll from memory.
func (l *Lead) show(id string) (wire.JobStatus, bool) {
	r, ok := l.ask(l.asks, 400*micro.Millisecond, func(reply func(front.Reply)) {
		if j := l.c.Jobs[id]; j != nil {
			reply(front.Reply{Status: 200, Body: j.Status()})
			return
		}
		reply(front.Reply{Status: 404})
	})
	if !ok || r.Status != 200 {
		return wire.JobStatus{}, false
	}
	return r.Body.(wire.JobStatus), true
}

// withdraw cancels a job: its end is created before anyone is told.
func (l *Lead) withdraw(id string) front.Reply {
	r, ok := l.ask(l.events, 1500*micro.Millisecond, func(reply func(front.Reply)) {
		j := l.c.Jobs[id]
		switch {
		case j == nil:
			reply(front.Reply{Status: 404})
		case j.State == model.Done || j.State == model.Aborted:
			reply(front.Reply{Status: 200, Body: j.Status()})
		default:
			ch := make(chan front.Reply, 1)
			l.waiters[id] = append(l.waiters[id], ch)
			go func() {
				select {
				case r := <-ch:
					reply(r)
				case <-l.done:
				}
			}()
			if j.State == model.Active {
				l.c.BeginAbort(j)
				l.w.end(j, wire.JobAborted)
			}
		}
	})
	if !ok {
		return front.Later(503, 1)
	}
	return r
}

// ended settles a job whose end is in the store.
func (l *Lead) ended(j *model.Job, state wire.JobState) {
	now := l.n.Now()
	l.c.End(j, state == wire.JobAborted, now)
	if state == wire.JobDone && len(l.c.Order) > 0 {
		l.speeds.Finish(j.Spec.ID, l.c.Order[0].Name)
	} else {
		l.speeds.Forget(j.Spec.ID)
	}
	l.log.Info("job over", "job", j.Spec.ID, "state", string(state), "after_s", (now - j.Submitted).Seconds())
	for _, ch := range j.Chunks {
		l.Touch(ch)
	}
	for _, ch := range l.waiters[j.Spec.ID] {
		ch <- front.Reply{Status: 200, Body: j.Status()}
	}
	delete(l.waiters, j.Spec.ID)
}

// maxOrders bounds the orders in one message.
const maxOrders = 400

// beat answers a worker's report.
func (l *Lead) beat(r *wire.Report) front.Reply {
	from := l.n.Now()
	rep, ok := l.ask(l.events, 2*micro.Second, func(reply func(front.Reply)) {
		now := l.n.Now()
		if !l.term.Valid(now) {
			reply(front.Later(503, 1))
			return
		}
		m, verdict := l.c.Apply(r, model.Beat, now)
		if m == nil || verdict == model.Refused || verdict == model.Stale && uint64(r.Session) != m.Session {
			reply(front.Later(503, 1))
			return
		}
		orders := l.c.Orders(m, l.token, false, now)
		if len(orders) > maxOrders {
			orders = orders[:maxOrders]
		}
		if now-from < promptly {
			l.c.Told(m, l.token)
		} else {
			l.c.Told(m, 0) // the worker may have given up waiting
		}
		reply(front.Reply{Status: 200, Body: wire.Orders{Token: wire.Count(l.token), Orders: orders}})
	})
	if !ok {
		return front.Later(503, 1)
	}
	return rep
}

// promptly is how soon an answer must be ready to count as one that the worker
// takes.
const promptly = micro.Second

// direct sends a machine its orders without waiting for its next report.
func (l *Lead) direct(m *model.Machine, now micro.Time) {
	if m.State != model.Up || m.Addr == "" {
		return
	}
	if m.Busy {
		m.Again = true
		return
	}
	if m.RetryAt > now {
		return // the next report brings them
	}
	orders := l.c.Orders(m, l.token, true, now)
	if len(orders) == 0 {
		return
	}
	if len(orders) > maxOrders {
		orders = orders[:maxOrders]
	}
	m.Busy, m.Again = true, false
	l.directs++
	msg := wire.Orders{Token: wire.Count(l.token), Session: wire.Count(m.Session), Orders: orders}
	addr := m.Addr
	go func() {
		if !l.valid() {
			l.post(func() { l.directs--; m.Busy = false })
			return
		}
		r, executed, err := l.n.Agent.Send(addr, msg)
		l.post(func() {
			m.Busy = false
			l.directs--
			now := l.n.Now()
			if err != nil {
				l.log.Debug("direct orders", "machine", m.Name, "err", err)
				m.RetryAt = now + 2*micro.Second
				return
			}
			if r.Machine == m.Name {
				l.c.Apply(r, model.Answer, now)
			}
			if m.Again || !executed {
				l.kicked[m] = true
			}
			if !executed {
				m.RetryAt = now + 500*micro.Millisecond
			}
		})
	}()
}

// The model's effects.

// Touch notes that a chunk must be written.
func (l *Lead) Touch(ch *model.Chunk) {
	if ch.Job.Over() && len(ch.Places) > 0 {
		return // goes once its last place is free
	}
	l.w.chunk(ch).touch(l.n.Now(), lazy)
}

// Press notes that a start waits for a chunk.
func (l *Lead) Press(ch *model.Chunk) {
	h := soon
	if ch.Job.Level == 0 {
		h = first
	}
	l.w.chunk(ch).touch(l.n.Now(), h)
}

// Kick notes that a machine has orders worth sending directly.
func (l *Lead) Kick(m *model.Machine) { l.kicked[m] = true }

// Finished writes the end of a job whose tasks are all done.
func (l *Lead) Finished(j *model.Job) { l.w.end(j, wire.JobDone) }

// Ran learns from a completed run.
func (l *Lead) Ran(p *model.Place, took micro.Time) {
	j := p.Job
	p.Machine.InTime(took, sched.Estimate(j))
	if j.Spec.EstimateS > 1 && j.Spec.CheckpointS == 0 || j.Spec.Kind == wire.Array && p.Attempt == 1 {
		if j.Spec.EstimateS > 1 {
			j.Class.Learn(took.Seconds() / j.Spec.EstimateS)
		}
	}
	if j.Spec.Kind == wire.Array && p.Machine.Type != nil && len(l.c.Order) > 0 && p.Attempt == 1 {
		l.speeds.Sample(j.Spec.ID, p.Machine.Type.Name, took.Seconds(), j.Spec.CPUs)
	}
}

// Changed notes that placement may find more than before.
func (l *Lead) Changed() { l.changed = true }

// Log writes one line for operators.
func (l *Lead) Log(event string, args ...any) { l.log.Info(event, args...) }
