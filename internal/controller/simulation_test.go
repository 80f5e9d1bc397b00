package controller

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

var simulationLog = flag.String("sim.log", "", "folder for the nodes' logs of simulations that failed")

// A simCluster is a whole site in fake time: nodes with all their parts but the
// sockets, workers, the cloud, the store and users, with the troubles that the
// protocol and the users foresee. A checker of the rules sees every start, exit
// and answer. Scenarios bring one meeting of troubles about; the random test draws
// them.
type simCluster struct {
	t           testing.TB
	mu          sync.Mutex // of rand, workers and troubles
	rand        *rand.Rand
	from        time.Time
	store       *fake.Store
	cloud       *skies
	controllers []*controllerProc
	workers     map[string]*host
	check       *checker
	ctx         context.Context
	base        config.Config
	queue       int // jobs named so far
	types       []wire.MachineType
	quick       bool                           // machines are up within two seconds
	writes      float64                        // changes a second that the store takes; 0: any number
	starts      func(h *host, k fake.Key)      // told of every start that takes effect
	wrap        func(l *fake.Link) store.Store // what the nodes have of the store; nil: the link itself
	vain        atomic.Int64                   // reports that got neither orders nor a leader's name
	copies      micro.Time                     // how late copies of reports come at the most; 0: none come
	share       float64                        // of the reports that are copied
	away        map[string]bool                // zones that are cut off from the others
	way         micro.Time                     // how long what workers send or are sent is on its way; 0: no time
	active      int                            // troubles that are not over
	taping      bool                           // reports are kept, so that copies can come late
	log         func(node string) *slog.Logger
	logs        *logs
}

const (
	leaseS  = 30
	reportS = 3
	cancelS = 50
	teamMax = 16
)

// play runs a scenario in fake time.
func play(t *testing.T, seed uint64, nodes int, set func(*simCluster), scenario func(*simCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := newSimCluster(t, ctx, seed)
		if set != nil {
			set(w)
		}
		for i := range nodes {
			w.addController(fmt.Sprintf("n-%d", i), []string{"a", "b"}[i%2], nodes)
		}
		for _, p := range w.controllers {
			w.begin(p)
		}
		// Also after a scenario that gave up: a simulation that goes on would hide why.
		defer w.close(stop)
		go w.steps(ctx)
		scenario(w)
	})
}

// close ends a simulation and reports what broke in it.
func (w *simCluster) close(stop func()) {
	stop()
	for _, p := range w.controllers {
		w.kill(p)
	}
	synctest.Wait()
	time.Sleep(2 * time.Minute) // what is under way comes to its end
	for _, v := range w.check.broken {
		w.t.Error(v)
	}
	if w.t.Failed() {
		w.save()
	}
}

// save keeps the nodes' logs, if anybody wants to read them.
func (w *simCluster) save() {
	if w.logs == nil {
		return
	}
	w.logs.mu.Lock()
	defer w.logs.mu.Unlock()
	name := filepath.Join(*simulationLog, strings.NewReplacer("/", "-", " ", "-").Replace(w.t.Name())+".log")
	if err := os.WriteFile(name, w.logs.b.Bytes(), 0o644); err != nil {
		w.t.Error(err)
	}
}

func newSimCluster(t testing.TB, ctx context.Context, seed uint64) *simCluster {
	w := &simCluster{t: t, rand: rand.New(rand.NewPCG(seed, 17)), from: time.Now(), store: fake.NewStore(), workers: map[string]*host{}, away: map[string]bool{}, ctx: ctx}
	w.store.Now = w.now
	w.types = []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 5, FetchGBPerS: 1, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 8, GPUs: 2, MemoryGB: 64, Price: 3, SpotPrice: 1, BootS: 8, FetchGBPerS: 1, Zones: []string{"a", "b"}},
	}
	w.cloud = &skies{w: w, Cloud: fake.NewCloud(16, w.types...), asked: map[string]micro.Time{}, from: map[string]micro.Time{}, until: map[string]micro.Time{}}
	w.check = newChecker(w.now, cancelS*micro.Second)
	w.base = config.Config{Properties: config.Defaults()}
	f := &w.base.Facts
	f.Zones = []string{"a", "b"}
	f.Workers.LeaseS, f.Workers.ReportS, f.Workers.CancelS, f.Workers.GangWaitS, f.Workers.GangPeerS = leaseS, reportS, cancelS, 40, 8
	f.State.ValueKB, f.State.TxnOps = 16, 24
	f.Cloud.ListLagS = 2
	f.Quota.MaxSockets = 3000
	f.Teams = []config.Team{{Name: "team", CPUsMax: teamMax}, {Name: "other", CPUsMax: teamMax, CPUs: 4}}
	f.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 30}}
	for _, t := range f.Teams {
		w.check.limits[t.Name] = t.CPUsMax
	}
	for _, t := range w.types {
		w.check.types[t.Name] = t
	}
	w.log = func(string) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	if *simulationLog != "" {
		w.logs = &logs{}
		w.log = func(node string) *slog.Logger {
			return slog.New(slog.NewTextHandler(w.logs, &slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
				if a.Key == slog.TimeKey {
					return slog.Float64("at", w.now().Seconds())
				}
				return a
			}})).With("node", node)
		}
	}
	return w
}

// logs keeps what the nodes log until it is known whether anybody wants to read it.
type logs struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// now is true time since the simulation began.
func (w *simCluster) now() micro.Time { return micro.Time(time.Since(w.from).Microseconds()) }

func (w *simCluster) tapes() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.taping }

func (w *simCluster) drawn(below int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(below)
}

func (w *simCluster) chance(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return share > 0 && w.rand.Float64() < share
}

// between draws a span.
func (w *simCluster) between(least, most micro.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (least + micro.Time(w.rand.Int64N(int64(most-least)+1))).Std()
}

func (w *simCluster) sleep(d micro.Time) { time.Sleep(d.Std()) }

// until waits for something that must come about, for so long at the most.
func (w *simCluster) until(what string, most micro.Time, ok func() bool) {
	w.t.Helper()
	for end := w.now() + most; !ok(); w.sleep(50 * micro.Millisecond) {
		if w.now() > end {
			w.save() // the scenario ends here
			w.t.Fatalf("%v: never: %s", w.now(), what)
		}
	}
}

// proc is a node over its incarnations.
type controllerProc struct {
	w          *simCluster
	name, zone string
	drift      float64
	offset     micro.Time

	mu     sync.Mutex
	node   *Node
	link   *fake.Link
	cancel context.CancelFunc
	alive  bool
	thaw   time.Time       // it stands still until then
	cuts   map[string]bool // what the network keeps from it: state, peers, workers, users
	reach  fake.Reach

	peerDelay micro.Time // how long it takes over each answer to another node
}

func (w *simCluster) addController(name, zone string, all int) *controllerProc {
	p := &controllerProc{w: w, name: name, zone: zone, drift: 1 + float64(w.drawn(50))/1e5, offset: micro.Time(w.drawn(3_600_000_000)), cuts: map[string]bool{}}
	w.controllers = append(w.controllers, p)
	return p
}

// begin starts a process of the node.
func (w *simCluster) begin(p *controllerProc) {
	cfg := w.base
	cfg.Node, cfg.Zone = p.name, p.zone
	cfg.Peers = nil
	for _, o := range w.controllers {
		if o != p {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: o.name, Zone: o.zone})
		}
	}
	cfg.Derive()
	w.mu.Lock()
	link := fake.NewLink(w.store, rand.New(rand.NewPCG(w.rand.Uint64(), 1)))
	w.mu.Unlock()
	if w.writes > 0 {
		link.Budget(w.writes, 1/float64(len(w.controllers)))
	}
	ctx, cancel := context.WithCancel(w.ctx)
	began := w.now()
	n := &Node{Cfg: &cfg, Store: link, Cloud: &sky{w.cloud, p, link}, Agent: &wires{p, link}, Peers: &peerLines{p, link}, Log: w.log(p.name), Metrics: metrics.New(),
		Now:  func() micro.Time { return p.offset + micro.Time(float64(w.now()-began)*p.drift) + micro.Second },
		Wall: micro.Wall}
	if w.wrap != nil {
		n.Store = w.wrap(link)
	}
	n.Init()
	n.election.OnLead = func(t *election.Term) { n.startLead(ctx, t) }
	n.election.OnLose = n.stopLead
	p.mu.Lock()
	p.node, p.link, p.cancel, p.alive = n, link, cancel, true
	link.Set(p.reach)
	if p.cuts["state"] {
		link.Set(fake.Silent)
	}
	p.mu.Unlock()
	go func() { _ = n.election.Run(ctx) }()
	go func() { _ = n.fetchCatalog(ctx) }()
	go func() { _ = n.watchHealth(ctx) }()
	go func() { _ = n.keepTouch(ctx) }()
	go func() { _ = n.watchGate(ctx) }()
	go func() { _ = n.runShares(ctx) }()
}

// kill ends the process with no signal.
func (w *simCluster) kill(p *controllerProc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive {
		return
	}
	p.alive = false
	p.link.Die()
	p.cancel()
}

// restart kills the process, and starts another after a while.
func (w *simCluster) restart(p *controllerProc, after micro.Time) {
	w.kill(p)
	time.AfterFunc(after.Std(), func() {
		if w.ctx.Err() == nil && !p.up() {
			w.begin(p)
		}
	})
}

func (p *controllerProc) up() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.alive }

// freeze lets the process stand still: what it sends, and what it is sent, waits.
func (p *controllerProc) freeze(d micro.Time) {
	p.mu.Lock()
	p.thaw = time.Now().Add(d.Std())
	p.link.Hold(p.thaw)
	p.mu.Unlock()
}

// stand waits while the process stands still.
func (p *controllerProc) stand() {
	p.mu.Lock()
	d := time.Until(p.thaw)
	p.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// hesitate waits as long as the node takes over an answer to another.
func (p *controllerProc) hesitate() {
	p.mu.Lock()
	d := p.peerDelay
	p.mu.Unlock()
	time.Sleep(d.Std())
}

// slowPeers has a node take its time over answers to the other nodes.
func (w *simCluster) slowPeers(p *controllerProc, d micro.Time) {
	p.mu.Lock()
	p.peerDelay = d
	p.mu.Unlock()
}

// cut sets what the network keeps from the node.
func (p *controllerProc) cut(on bool, what ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range what {
		p.cuts[x] = on
		if x == "state" {
			if p.link.Set(p.reach); on {
				p.link.Set(fake.Silent)
			}
		}
	}
}

// refuse has the store refuse the node, and it alone.
func (p *controllerProc) refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach = fake.Served
	if on {
		p.reach = fake.Refused
	}
	if !p.cuts["state"] {
		p.link.Set(p.reach)
	}
}

func (p *controllerProc) cutFrom(what string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[what]
}

// current is the process that answers now; nil: none.
func (p *controllerProc) current() *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive {
		return nil
	}
	return p.node
}

// leader is the node with the right to act, nil if there is none.
func (w *simCluster) leader() *controllerProc {
	for _, p := range w.controllers {
		if n := p.current(); n != nil && n.leading() != nil {
			return p
		}
	}
	return nil
}

// parted reports whether the network keeps two zones apart.
func (w *simCluster) parted(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.away[a] || w.away[b])
}

// call asks a process, as one that waits for so long.
func (w *simCluster) call(p *controllerProc, from string, wait time.Duration, ask func(*Node) front.Reply) (front.Reply, bool) {
	n := p.current()
	if n == nil {
		return front.Reply{}, false
	}
	if p.cutFrom(from) {
		time.Sleep(wait)
		return front.Reply{}, false
	}
	ch := make(chan front.Reply, 1)
	go func() {
		p.stand()
		if p.current() == n {
			r := ask(n)
			p.stand()
			ch <- r
		}
	}()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-ch:
		if p.current() != n || p.cutFrom(from) {
			<-t.C
			return front.Reply{}, false
		}
		return r, true
	case <-t.C:
		return front.Reply{}, false
	}
}

// peerLines are the calls of one process to the other nodes.
type peerLines struct {
	p    *controllerProc
	link *fake.Link
}

// Call asks a node.
func (c *peerLines) Call(ctx context.Context, node, call string, body []byte, wait micro.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Std())
	defer cancel()
	c.p.stand()
	type answer struct {
		status int
		out    []byte
	}
	ch := make(chan answer, 1)
	for _, o := range c.p.w.controllers {
		if o.name != node {
			continue
		}
		n := o.current()
		if n == nil {
			return 0, nil, peer.ErrUnreachable
		}
		if o.cutFrom("peers") || c.p.cutFrom("peers") || c.p.current() == nil || c.p.w.parted(o.zone, c.p.zone) {
			break
		}
		go func() {
			o.stand()
			if o.current() == n {
				status, out := n.peerCall(context.Background(), call, body)
				o.hesitate()
				o.stand()
				ch <- answer{status, out}
			}
		}()
	}
	select {
	case a := <-ch:
		return a.status, a.out, nil
	case <-ctx.Done():
		return 0, nil, peer.ErrUnreachable
	}
}

// wires carry the direct orders of one process.
type wires struct {
	p    *controllerProc
	link *fake.Link
}

// Send delivers orders to a worker. A machine that hangs keeps them until it
// goes on, long after the sender has given up.
func (s *wires) Send(addr string, o wire.Orders) (*wire.Report, bool, error) {
	s.p.stand()
	if s.p.current() == nil {
		return nil, false, agent.ErrUncertain
	}
	w := s.p.w
	h := w.host(addr[:len(addr)-len(":9000")])
	type answer struct {
		r  *wire.Report
		ok bool
	}
	ch := make(chan answer, 1)
	if h != nil && h.holdsUp(o) {
		h = nil
	}
	if h != nil && !s.p.cutFrom("workers") && !w.parted(h.w.Zone, s.p.zone) && !h.deaf() {
		go func() {
			w.travel()
			h.wake()
			r, ok, there := h.direct(o)
			w.travel()
			if there {
				ch <- answer{r, ok}
			}
		}()
	}
	t := time.NewTimer(3 * time.Second)
	defer t.Stop()
	select {
	case a := <-ch:
		return a.r, a.ok, nil
	case <-t.C:
		return nil, false, agent.ErrUncertain
	}
}

// skies are the cloud, which boots workers.
type skies struct {
	*fake.Cloud
	w     *simCluster
	down  bool
	never float64  // share of machines that never come up
	lost  float64  // share of rentals whose answer is lost
	back  []string // machines that were returned
	// whose boot fails; nil: none beside the share above
	fails func(r wire.Rental) bool
	// machines that are not listed; nil: none
	hides func(name string) bool
	// how late a return is carried out, and not answered; 0: at once
	late  micro.Time
	asked map[string]micro.Time // machines whose return was asked for, and when first
	from  map[string]micro.Time // when each machine was rented
	until map[string]micro.Time // when it was returned
}

// charged is for how long all machines together were rented.
func (s *skies) charged() micro.Time {
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	var sum micro.Time
	for name, from := range s.from {
		end, back := s.until[name]
		if !back {
			end = s.w.now()
		}
		sum += end - from
	}
	return sum
}

// sky is the cloud as one process reaches it.
type sky struct {
	*skies
	p    *controllerProc
	link *fake.Link
}

func (s *sky) away(ctx context.Context) error {
	s.p.stand()
	time.Sleep(s.w.between(20*micro.Millisecond, 200*micro.Millisecond))
	if s.p.current() == nil || s.p.cutFrom("cloud") {
		<-ctx.Done()
		return cloud.ErrUncertain
	}
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	if s.down {
		return cloud.ErrTrouble
	}
	return nil
}

// Catalog lists the types.
func (s *sky) Catalog(ctx context.Context) (*wire.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.away(ctx); err != nil {
		return nil, err
	}
	return s.Cloud.Catalog(ctx)
}

// Rent rents machines, which boot by and by or at once.
func (s *sky) Rent(ctx context.Context, r wire.Rental) ([]string, error) {
	if err := s.away(ctx); err != nil {
		return nil, err
	}
	names, err := s.Cloud.Rent(ctx, r)
	for _, name := range names {
		s.w.boot(name, r)
	}
	if s.w.chance(s.lost) {
		<-ctx.Done()
		return nil, cloud.ErrUncertain
	}
	return names, err
}

// Return deletes machines.
func (s *sky) Return(ctx context.Context, names []string) error {
	if err := s.away(ctx); err != nil {
		return err
	}
	s.w.mu.Lock()
	late := s.late
	for _, name := range names {
		if s.asked[name] == 0 {
			s.asked[name] = s.w.now()
		}
	}
	s.w.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late.Std(), func() { _ = s.carryOut(context.Background(), names) })
		<-ctx.Done()
		return cloud.ErrUncertain
	}
	return s.carryOut(ctx, names)
}

func (s *sky) carryOut(ctx context.Context, names []string) error {
	s.w.mu.Lock()
	s.back = append(s.back, names...)
	for _, name := range names {
		if s.until[name] == 0 {
			s.until[name] = s.w.now()
		}
	}
	s.w.mu.Unlock()
	for _, name := range names {
		if h := s.w.host(name); h != nil {
			h.die()
		}
	}
	return s.Cloud.Return(ctx, names)
}

// List lists all machines.
func (s *sky) List(ctx context.Context, after string) (*wire.MachineList, error) {
	if err := s.away(ctx); err != nil {
		return nil, err
	}
	l, err := s.Cloud.List(ctx, after)
	if err != nil || s.hides == nil {
		return l, err
	}
	l.Machines = slices.DeleteFunc(l.Machines, func(m wire.ListedMachine) bool { return s.hides(m.Name) })
	return l, nil
}

func (w *simCluster) host(name string) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workers[name]
}

// hosts lists the machines that are there, in the order of their names. No lock
// of a machine is taken under that of the cluster: a machine takes them the other
// way round.
func (w *simCluster) hosts() []*host {
	w.mu.Lock()
	all := make([]*host, 0, len(w.workers))
	for _, h := range w.workers {
		all = append(all, h)
	}
	w.mu.Unlock()
	var out []*host
	for _, h := range all {
		if h.alive() {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].w.Name < out[b].w.Name })
	return out
}

// boot brings a rented machine up, once.
func (w *simCluster) boot(name string, r wire.Rental) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.workers[name] != nil {
		return
	}
	fw := fake.NewWorker(name, r.Type, r.Zone, leaseS*micro.Second)
	fw.Spot = r.Spot
	fw.First = wire.TaskFetching
	h := &host{cluster: w, w: fw, since: map[fake.Key]micro.Time{}, at: w.rand.IntN(len(w.controllers))}
	w.workers[name] = h
	w.cloud.from[name] = w.now()
	if w.rand.Float64() < w.cloud.never || w.cloud.fails != nil && w.cloud.fails(r) {
		return
	}
	d := 3*time.Second + time.Duration(w.rand.Int64N(int64(4*time.Second)))
	if w.quick {
		d = time.Duration(w.rand.Int64N(int64(2 * time.Second)))
	}
	time.AfterFunc(d, h.boot)
}

// steps lets the machines go on, every tenth of a second.
func (w *simCluster) steps(ctx context.Context) {
	for ctx.Err() == nil {
		for _, h := range w.hosts() {
			h.step()
		}
		w.gangs()
		w.check.look()
		time.Sleep(100 * time.Millisecond)
	}
}
