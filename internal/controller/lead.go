package controller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"notchmux.dev/notchmux/internal/writer"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/keep"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/scale"
	"notchmux.dev/notchmux/internal/sched"
)

// tokenBits are the low bits of a token, which the leader may count up; the
// bits above are the version of the leader's key.
const tokenBits = 24

// eventQueue is how many events wait for the loop before those that bring more are
// held up. After a cut all workers report within a second or two: there is room for
// the reports of more than 10,000 machines. askQueue is the same for questions, whose
// askers go to the store instead.
const (
	eventQueue = 16384
	askQueue   = 1024
	eventBatch = 64 // events that are served before the loop looks at anything else
)

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
	known        sync.Map    // ids of jobs in the model
	serving      atomic.Bool // the takeover is over: known holds all jobs that it read

	// Owned by the loop.
	c           *model.Cluster
	placer      *sched.Placer
	planner     *scale.Planner
	speeds      *sched.Speeds
	goals       *sched.Goals
	records     *records
	token       uint64
	tokenAt     micro.Time // no look for what waits for a newer token before
	raisedAt    micro.Time
	changed     bool
	kicked      map[*model.Machine]bool
	lastPass    micro.Time
	passGap     micro.Time // least time between passes, by what the last one took
	watched     int        // next machine to look over for overrunning tasks
	directs     int        // direct orders under way
	lastScan    micro.Time
	lastPlan    micro.Time
	lastSpeed   micro.Time
	lastStats   micro.Time
	lastImages  micro.Time
	lastPrune   micro.Time
	rentals     map[string]*rental
	rentalCount int
	asking      []*rental                 // rentals whose turn is to come
	renting     int                       // rentals under way
	first       string                    // the first machine that the service ever rented
	listAt      micro.Time                // when the list that was read last was asked for
	returns     map[*model.Machine]uint64 // machines to be returned, with the version of their rental's record that must be stored before
	ledger      *keep.Ledger
	barred      atomic.Pointer[map[string]bool] // zones whose keepers are not answered; nil: all
	doubted     map[string]micro.Time           // when a zone was last missing too much to be taken for dead machines
	leaving     map[*model.Job]bool             // withdrawn jobs whose users are not told yet
	unproven    map[*model.Job]bool             // those whose users were told, with places not proven free
	lapsed      bool
	resumed     micro.Time // when this node last came to listen again
	lastTick    micro.Time
	deaf        micro.Time // since when no worker reports; 0: some do
	reports     uint64     // reports heard from workers
	silence     silence    // how long none has come
	overload    overload
	waiters     map[string][]chan front.Reply
	lookups     map[string]bool // awaited jobs to be looked up in the store
	format      FormatRecord
	loaded      bool // the takeover has read everything
	looking     bool // a look-up is under way

	owner   *ownership  // what this loop owns; nil: it is the leader's
	silent  atomic.Bool // an owner that may say nothing, for a hand-over is under way or in doubt
	sharing *leadShares // the leader's part in shares; nil: the feature is off
}

// newLead makes the loop of a term of leadership.
func newLead(n *Node, t *election.Term) *Lead {
	l := newLoop(n, t, t.Stamp<<tokenBits, n.Log.With("term", t.Stamp))
	zones := map[string]string{}
	for _, p := range n.Cfg.Peers {
		zones[p.Node] = p.Zone
	}
	l.ledger = keep.NewLedger(t.Stamp, l.c.Began, n.Cfg.KeepSpan(), zones, n.Cfg.Zone)
	for _, t := range n.Cfg.Facts.Teams {
		l.c.Teams[t.Name] = &model.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}
	}
	l.initSharing()
	return l
}

// newLoop makes a loop that gives out tokens from the first one on.
func newLoop(n *Node, t *election.Term, first uint64, log *slog.Logger) *Lead {
	l := &Lead{
		n: n, term: t, log: log, events: make(chan func(), eventQueue), asks: make(chan func(), askQueue), done: make(chan struct{}),
		token: first, kicked: map[*model.Machine]bool{}, rentals: map[string]*rental{},
		returns: map[*model.Machine]uint64{}, waiters: map[string][]chan front.Reply{},
		lookups: map[string]bool{}, doubted: map[string]micro.Time{},
		leaving: map[*model.Job]bool{}, unproven: map[*model.Job]bool{},
	}
	l.c = model.New(l)
	l.c.BaseTok = l.token
	l.c.Began = n.Now()
	l.c.Lease = n.Cfg.LeaseOut()
	l.c.ErrJobs = n.Cfg.ErrorMachines
	l.c.Verbose = n.Log.Enabled(context.Background(), slog.LevelDebug)
	l.goals = sched.NewGoals(n.Cfg.Facts.Objectives)
	l.speeds = sched.NewSpeeds()
	l.placer = &sched.Placer{C: l.c, Goals: l.goals, Props: &n.Cfg.Properties, Rand: rand.New(rand.NewPCG(t.Stamp, 1))}
	l.planner = &scale.Planner{C: l.c, Goals: l.goals, Props: &n.Cfg.Properties, Refused: map[scale.Offer]micro.Time{}, Dry: map[scale.Offer]int{}, Asked: map[string]scale.Ask{}}
	l.placer.Affordable = l.planner.Affordable
	l.records = newRecords(l)
	return l
}

func (l *Lead) stop() { l.once.Do(func() { close(l.done) }) }

// valid reports whether this loop may answer and send orders; any goroutine may ask.
func (l *Lead) valid() bool { return !l.silent.Load() && l.term.Valid(l.n.Now()) }

// stopped reports whether the loop is over.
func (l *Lead) stopped() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

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

// run is the leader's loop: it takes over what the store holds, then serves events.
func (l *Lead) run(ctx context.Context) {
	l.stopWith(ctx)
	from := l.n.Now()
	rev, ok := l.load(ctx)
	if !ok {
		return
	}
	l.serving.Store(true)
	l.log.Info("took over", "jobs", len(l.c.Jobs), "machines", len(l.c.Machines), "took_ms", int64((l.n.Now()-from)/micro.Millisecond))
	go l.watch(ctx, rev)
	go l.listLoop(ctx)
	l.serve(l.tick)
}

// stopWith stops the loop when the context ends.
func (l *Lead) stopWith(ctx context.Context) {
	go func() {
		select {
		case <-ctx.Done():
			l.stop()
		case <-l.done:
		}
	}()
}

// serve serves events, and ticks, until the loop is stopped.
func (l *Lead) serve(tick func(now micro.Time)) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case f := <-l.events:
			f()
			l.serveMore()
		case f := <-l.asks:
			f()
		case <-ticker.C:
			tick(l.n.Now())
		}
		l.act(l.n.Now())
	}
}

// serveMore serves some of the events that wait already.
func (l *Lead) serveMore() {
	for range eventBatch {
		select {
		case f := <-l.events:
			f()
		default:
			return
		}
	}
}

// act does what the events called for: place, write, send.
func (l *Lead) act(now micro.Time) {
	if !l.valid() {
		return
	}
	if l.changed && now-l.lastPass > l.passGap && l.places() {
		l.changed = false
		l.lastPass = now
		l.placer.Pass(now)
		took := l.n.Now() - now
		l.passGap = min(max(passShare*took, minPassGap), maxPassGap)
		l.placer.Busy = took > l.n.Cfg.SampleBusy
		l.n.Metrics.Observe("pass", took)
	}
	for j := range l.leaving {
		l.settle(j, now)
	}
	l.records.Flush(now)
	for m := range l.kicked {
		if l.directs >= maxDirects {
			break // the rest wait, or the next reports bring them
		}
		delete(l.kicked, m)
		if l.worthDirect(m) {
			l.direct(m, now)
		}
	}
}

// Passes take at most one part in passShare of the time.
const (
	passShare  = 8
	minPassGap = 40 * micro.Millisecond
	maxPassGap = micro.Second
)

func (l *Lead) tick(now micro.Time) {
	if !l.heeds(now) {
		return
	}
	if now-l.lastScan >= 500*micro.Millisecond {
		l.lastScan = now
		l.scan(now)
	}
	l.lookUp()
	l.tendShares(now)
	if now-l.lastPlan >= l.planEvery() {
		l.lastPlan = now
		l.plan(now)
		l.changed = true // backoffs and reservations run out
		l.lookOver(now)
	}
	if now-l.lastImages >= imagesEvery {
		l.lastImages = now
		l.records.images.next(now)
	}
	if now-l.lastPrune >= pruneEvery {
		l.lastPrune = now
		l.prune(now)
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
			l.records.speed.Touch(now, writer.Lazy)
		}
	}
	l.lookAtTokens(now)
}

// heeds reports whether the right to act holds, and notes when it came back.
func (l *Lead) heeds(now micro.Time) bool {
	if !l.valid() {
		l.lapsed = true
		return false
	}
	if l.lapsed || now-l.lastTick > 2*micro.Second {
		// The right lapsed, or this process got no time: workers were not heard.
		l.lapsed, l.resumed, l.silence = false, now, silence{}
	}
	l.lastTick = now
	return true
}

// lookAtTokens gives out a newer token if it is time to look, and one is needed.
func (l *Lead) lookAtTokens(now micro.Time) {
	if now < l.tokenAt {
		return
	}
	l.raiseToken(now)
	took := l.n.Now() - now
	l.tokenAt = now + min(tokenShare*took, maxTokenGap)
}

// Looking for what waits for a newer token takes at most one part in tokenShare of the
// time, and is done every maxTokenGap at the latest. With each tick, it took a quarter
// of the leader's processor at 4,000 machines.
const (
	tokenShare  = 50
	maxTokenGap = micro.Second
)

// raiseToken gives out a newer token if something waits for workers to have seen one.
func (l *Lead) raiseToken(now micro.Time) {
	if now-l.raisedAt > challenge || l.tokenNeeded() {
		l.token++
		l.raisedAt = now
	}
	if l.token&(1<<tokenBits-1) == 1<<tokenBits-1 {
		l.resign("tokens used up")
	}
}

func (l *Lead) tokenNeeded() bool {
	for _, m := range l.c.Machines {
		if (m.State == model.Up || m.Heard > 0) && m.State != model.Returning && m.NeedsToken(l.token) {
			return true
		}
	}
	return false
}

// challenge is how often the token is raised even if nothing waits for it: a
// machine that hears nothing shows by not having seen it.
const challenge = 10 * micro.Second

// planEvery is how often rentals are planned: more often while nothing is there
// to place work on.
func (l *Lead) planEvery() micro.Time {
	for _, p := range l.c.Pools {
		if p.N > 0 {
			return micro.Second
		}
	}
	return 300 * micro.Millisecond
}

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
	l.log.Info("leading", "live", len(l.c.Live), "awaiting", l.c.AwaitingN, "pending", len(l.c.Pending), "tasks", l.pendingTasks.Load(), "usable", up, "known", len(l.c.Machines),
		"writes_first", l.records.Queued(writer.First), "writes_soon", l.records.Queued(writer.Soon), "writes_lazy", l.records.Queued(writer.Lazy), "writes_idle", l.records.Queued(writer.Idle), "written", l.records.Told(),
		"pass_gap_ms", int64(l.passGap/micro.Millisecond), "events", len(l.events), "asks", len(l.asks), "directs", l.directs, "kicked", len(l.kicked), "rentals_waiting", len(l.asking), "fleet", fleet.String())
}

func (l *Lead) resign(why string) {
	l.log.Info("resigning", "why", why)
	l.term.End()
	l.n.election.Pause(4 * micro.Second)
	go func() { _ = l.n.Store.Revoke(context.Background(), l.term.Lease) }()
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
