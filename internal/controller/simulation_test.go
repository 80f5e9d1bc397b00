package controller

import (
	"bytes"
	"context"
	"errors"
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
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

var simulationLog = flag.String("sim.log", "", "folder for the nodes' logs of simulations that failed")

// A simCluster is a whole site in fake time: nodes with all their parts but the
// sockets, agents, the cloud, the store and users, with the troubles that the
// protocol and the users foresee. A checker of the rules sees every start, exit
// and answer. Scenarios bring one meeting of troubles about; the random test draws
// them.
type simCluster struct {
	t                    testing.TB
	mu                   sync.Mutex // of rand, agents and troubles
	rand                 *rand.Rand
	startedAt            time.Time
	store                *fake.Store
	cloud                *fakeCloud
	controllers          []*controllerProcess
	machines             map[string]*fakeMachine
	checker              *checker
	ctx                  context.Context
	config               config.Config
	jobCount            int // jobs named so far
	machineTypes         []wire.MachineType
	fastBoot             bool                                            // machines are up within two seconds
	writeRPS             float64                                         // changes a second that the store takes; 0: any number
	onTaskStart          func(machine *fakeMachine, key fake.AttemptKey) // told of every start that takes effect
	wrapStore            func(l *fake.Link) store.Store                  // what the nodes have of the store; nil: the link itself
	unansweredHeartbeats atomic.Int64                                    // reports that got neither orders nor a leader's name
	maxReplayDelay       micro.Time                                      // how late copies of heartbeats come at the most; 0: none come
	replayRatio          float64                                         // of the heartbeats that are copied
	partitionedZones     map[string]bool                                 // zones that are cut off from the others
	agentLatency         micro.Time                                      // how long what agents send or are sent is on its way; 0: no time
	activeFaults         int                                             // troubles that are not over
	recording            bool                                            // reports are kept, so that copies can come late
	newLogger            func(node string) *slog.Logger
	logs                 *logBuffer
	incomplete               bool // the scenario was not played to its end: it failed, perhaps on another T than this one's
}

const (
	leaseS      = 30
	heartbeatS  = 3
	cancelS     = 50
	teamMaxCPUs = 16
)

// runScenario runs a scenario in fake time.
func runScenario(t *testing.T, seed uint64, nodes int, set func(*simCluster), scenario func(*simCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		sim := newSimCluster(t, ctx, seed)
		if set != nil {
			set(sim)
		}
		for i := range nodes {
			sim.addController(fmt.Sprintf("n-%d", i), []string{"a", "b"}[i%2], nodes)
		}
		for _, controller := range sim.controllers {
			sim.startController(controller)
		}
		// Also after a scenario that gave up: a simulation that goes on would hide why.
		defer sim.close(stop)
		go sim.runMachines(ctx)
		sim.incomplete = true
		scenario(sim)
		sim.incomplete = false
	})
}

// close ends a simulation and reports what broke in it.
func (w *simCluster) close(stop func()) {
	stop()
	for _, controller := range w.controllers {
		w.killController(controller)
	}
	synctest.Wait()
	time.Sleep(2 * time.Minute) // what is under way comes to its end
	for _, v := range w.checker.violations {
		w.t.Error(v)
	}
	if w.incomplete || w.t.Failed() {
		w.saveLogs()
	}
}

// saveLogs keeps the nodes' logs, if anybody wants to read them.
func (w *simCluster) saveLogs() {
	if w.logs == nil {
		return
	}
	w.logs.mu.Lock()
	defer w.logs.mu.Unlock()
	name := filepath.Join(*simulationLog, strings.NewReplacer("/", "-", " ", "-").Replace(w.t.Name())+".log")
	if err := os.WriteFile(name, w.logs.buffer.Bytes(), 0o644); err != nil {
		w.t.Error(err)
	}
}

func newSimCluster(t testing.TB, ctx context.Context, seed uint64) *simCluster {
	sim := &simCluster{
		t: t, rand: rand.New(rand.NewPCG(seed, 17)), startedAt: time.Now(), store: fake.NewStore(),
		machines: map[string]*fakeMachine{}, partitionedZones: map[string]bool{}, ctx: ctx,
	}
	sim.store.Now = sim.now
	sim.machineTypes = []wire.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, Price: 1, SpotPrice: 0.3, BootS: 5, FetchGBPerS: 1, Zones: []string{"a", "b"}},
		{
			Name: "large", CPUs: 8, GPUs: 2, MemoryGB: 64, Price: 3, SpotPrice: 1, BootS: 8, FetchGBPerS: 1,
			Zones: []string{"a", "b"},
		},
	}
	sim.cloud = &fakeCloud{
		sim: sim, Cloud: fake.NewCloud(16, sim.machineTypes...), terminationRequested: map[string]micro.Time{},
		startedAt: map[string]micro.Time{}, terminatedAt: map[string]micro.Time{},
	}
	sim.checker = newChecker(sim.now, cancelS*micro.Second)
	sim.config = config.Config{Properties: config.Defaults()}
	f := &sim.config.Facts
	f.Zones = []string{"a", "b"}
	f.Workers.LeaseS, f.Workers.HeartbeatIntervalS, f.Workers.CancelS, f.Workers.GangWaitS, f.Workers.GangPeerS = leaseS, heartbeatS, cancelS, 40, 8
	f.State.ValueKB, f.State.TxnOps = 16, 24
	f.Cloud.ListLagS = 2
	f.Quota.MaxSockets = 3000
	f.Teams = []config.Team{{Name: "team", CPUsMax: teamMaxCPUs}, {Name: "other", CPUsMax: teamMaxCPUs, CPUs: 4}}
	f.Objectives = []config.Objective{{Kind: "finished", Class: "c", WithinS: 30}}
	for _, t := range f.Teams {
		sim.checker.cpuLimits[t.Name] = t.CPUsMax
	}
	for _, t := range sim.machineTypes {
		sim.checker.machineTypes[t.Name] = t
	}
	sim.newLogger = func(string) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	if *simulationLog != "" {
		sim.logs = &logBuffer{}
		sim.newLogger = func(node string) *slog.Logger {
			return slog.New(
				slog.NewTextHandler(
					sim.logs,
					&slog.HandlerOptions{Level: slog.LevelDebug, ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
						if a.Key == slog.TimeKey {
							return slog.Float64("at", sim.now().Seconds())
						}
						return a
					}},
				),
			).With("node", node)
		}
	}
	return sim
}

// logBuffer keeps what the nodes log until it is known whether anybody wants to read it.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// now is true time since the simulation began.
func (w *simCluster) now() micro.Time { return micro.Time(time.Since(w.startedAt).Microseconds()) }

func (w *simCluster) isRecording() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.recording }

func (w *simCluster) randomInt(below int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(below)
}

func (w *simCluster) randomChance(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return share > 0 && w.rand.Float64() < share
}

// randomDuration draws a span.
func (w *simCluster) randomDuration(least, most micro.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (least + micro.Time(w.rand.Int64N(int64(most-least)+1))).Duration()
}

func (w *simCluster) sleep(d micro.Time) { time.Sleep(d.Duration()) }

// waitUntil waits for something that must come about, for so long at the most.
func (w *simCluster) waitUntil(what string, most micro.Time, ok func() bool) {
	w.t.Helper()
	for end := w.now() + most; !ok(); w.sleep(50 * micro.Millisecond) {
		if w.now() > end {
			w.saveLogs() // the scenario ends here
			w.t.Fatalf("%v: never: %s", w.now(), what)
		}
	}
}

// proc is a node over its incarnations.
type controllerProcess struct {
	sim        *simCluster
	name, zone string
	drift      float64
	offset     micro.Time

	mu                sync.Mutex
	node              *Node
	link              *fake.Link
	cancel            context.CancelFunc
	alive             bool
	frozenUntil       time.Time       // it stands still until then
	partitions        map[string]bool // what the network keeps from it: state, peers, agents, users
	storeReachability fake.Reachability

	peerDelay micro.Time // how long it takes over each answer to another node
}

func (w *simCluster) addController(name, zone string, all int) *controllerProcess {
	controller := &controllerProcess{
		sim: w, name: name, zone: zone, drift: 1 + float64(w.randomInt(50))/1e5,
		offset: micro.Time(w.randomInt(3_600_000_000)), partitions: map[string]bool{},
	}
	w.controllers = append(w.controllers, controller)
	return controller
}

// setShards sets the configuration of shards for processes that start from now on.
func (w *simCluster) setShards(shards *config.Shards) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Shards = shards
}

// startController starts a process of the node.
func (w *simCluster) startController(controller *controllerProcess) {
	w.mu.Lock()
	cfg := w.config
	w.mu.Unlock()
	cfg.Node, cfg.Zone = controller.name, controller.zone
	cfg.Peers = nil
	for _, other := range w.controllers {
		if other != controller {
			cfg.Peers = append(cfg.Peers, config.Peer{Node: other.name, Zone: other.zone})
		}
	}
	cfg.DeriveDefaults()
	w.mu.Lock()
	link := fake.NewLink(w.store, rand.New(rand.NewPCG(w.rand.Uint64(), 1)))
	w.mu.Unlock()
	if w.writeRPS > 0 {
		link.SetWriteBudget(w.writeRPS, 1/float64(len(w.controllers)))
	}
	ctx, cancel := context.WithCancel(w.ctx)
	began := w.now()
	parts := Dependencies{
		Cfg:     &cfg,
		Store:   link,
		Cloud:   &cloudClient{w.cloud, controller, link},
		Agent:   &dispatchSender{controller, link},
		Prober:  agentProber{controller},
		Peers:   &peerCaller{controller, link},
		Log:     w.newLogger(controller.name),
		Metrics: metrics.New(),
		Now: func() micro.Time {
			return controller.offset + micro.Time(float64(w.now()-began)*controller.drift) + micro.Second
		},
		Wall: micro.WallNow,
	}
	if w.wrapStore != nil {
		parts.Store = w.wrapStore(link)
	}
	node := NewWith(parts)
	node.election.OnStartedLeading = func(t *election.Term) { node.startLeader(ctx, t) }
	node.election.OnStoppedLeading = node.stopLeader
	controller.mu.Lock()
	controller.node, controller.link, controller.cancel, controller.alive = node, link, cancel, true
	link.SetReachability(controller.storeReachability)
	if controller.partitions["state"] {
		link.SetReachability(fake.Partitioned)
	}
	controller.mu.Unlock()
	go func() { _ = node.election.Run(ctx) }()
	go func() { _ = node.fetchCatalog(ctx) }()
	go func() { _ = node.health.Run(ctx) }()
	go func() { _ = node.runLeaseProxy(ctx) }()
	go func() { _ = node.formatGate.Run(ctx) }()
	go func() { _ = node.runShards(ctx) }()
}

// killController ends the process with no signal.
func (w *simCluster) killController(controller *controllerProcess) {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if !controller.alive {
		return
	}
	controller.alive = false
	controller.link.Kill()
	controller.cancel()
}

// restartController kills the process, and starts another after a while.
func (w *simCluster) restartController(controller *controllerProcess, after micro.Time) {
	w.killController(controller)
	time.AfterFunc(after.Duration(), func() {
		if w.ctx.Err() == nil && !controller.isAlive() {
			w.startController(controller)
		}
	})
}

func (p *controllerProcess) isAlive() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.alive }

// freeze lets the process stand still: what it sends, and what it is sent, waits.
func (p *controllerProcess) freeze(d micro.Time) {
	p.mu.Lock()
	p.frozenUntil = time.Now().Add(d.Duration())
	p.link.PauseUntil(p.frozenUntil)
	p.mu.Unlock()
}

// waitWhileFrozen waits while the process stands still.
func (p *controllerProcess) waitWhileFrozen() {
	p.mu.Lock()
	d := time.Until(p.frozenUntil)
	p.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// waitPeerDelay waits as long as the node takes over an answer to another.
func (p *controllerProcess) waitPeerDelay() {
	p.mu.Lock()
	d := p.peerDelay
	p.mu.Unlock()
	time.Sleep(d.Duration())
}

// delayPeerAnswers has a node take its time over answers to the other nodes.
func (w *simCluster) delayPeerAnswers(controller *controllerProcess, d micro.Time) {
	controller.mu.Lock()
	controller.peerDelay = d
	controller.mu.Unlock()
}

// setPartitioned sets what the network keeps from the node.
func (p *controllerProcess) setPartitioned(on bool, what ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range what {
		p.partitions[x] = on
		if x == "state" {
			if p.link.SetReachability(p.storeReachability); on {
				p.link.SetReachability(fake.Partitioned)
			}
		}
	}
}

// setRefused has the store refuse the node, and it alone.
func (p *controllerProcess) setRefused(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeReachability = fake.Reachable
	if on {
		p.storeReachability = fake.Refusing
	}
	if !p.partitions["state"] {
		p.link.SetReachability(p.storeReachability)
	}
}

func (p *controllerProcess) partitionedFrom(what string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitions[what]
}

// runningNode is the process that answers now; nil: none.
func (p *controllerProcess) runningNode() *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive {
		return nil
	}
	return p.node
}

// leader is the node with the leadership lease, nil if there is none.
func (w *simCluster) leader() *controllerProcess {
	for _, controller := range w.controllers {
		if n := controller.runningNode(); n != nil && n.activeLeader() != nil {
			return controller
		}
	}
	return nil
}

// isPartitioned reports whether the network keeps two zones apart.
func (w *simCluster) isPartitioned(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.partitionedZones[a] || w.partitionedZones[b])
}

// callNode asks a process, as one that waits for so long.
func (w *simCluster) callNode(
	controller *controllerProcess, from string, wait time.Duration, ask func(*Node) httpapi.Reply,
) (httpapi.Reply, bool) {
	node := controller.runningNode()
	if node == nil {
		return httpapi.Reply{}, false
	}
	if controller.partitionedFrom(from) {
		time.Sleep(wait)
		return httpapi.Reply{}, false
	}
	ch := make(chan httpapi.Reply, 1)
	go func() {
		controller.waitWhileFrozen()
		if controller.runningNode() == node {
			reply := ask(node)
			controller.waitWhileFrozen()
			ch <- reply
		}
	}()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case reply := <-ch:
		if controller.runningNode() != node || controller.partitionedFrom(from) {
			<-t.C
			return httpapi.Reply{}, false
		}
		return reply, true
	case <-t.C:
		return httpapi.Reply{}, false
	}
}

// peerCaller are the calls of one process to the other nodes.
type peerCaller struct {
	process *controllerProcess
	link    *fake.Link
}

// Call asks a node.
func (c *peerCaller) Call(ctx context.Context, node, call string, body []byte, wait micro.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	c.process.waitWhileFrozen()
	type answer struct {
		status int
		out    []byte
	}
	ch := make(chan answer, 1)
	for _, other := range c.process.sim.controllers {
		if other.name != node {
			continue
		}
		n := other.runningNode()
		if n == nil {
			return 0, nil, peer.ErrUnreachable
		}
		if other.partitionedFrom("peers") || c.process.partitionedFrom("peers") || c.process.runningNode() == nil ||
			c.process.sim.isPartitioned(other.zone, c.process.zone) {
			break
		}
		go func() {
			other.waitWhileFrozen()
			if other.runningNode() == n {
				status, out := n.handlePeerCall(context.Background(), call, body)
				other.waitPeerDelay()
				other.waitWhileFrozen()
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

// dispatchSender carry the dispatched commands of one process.
type dispatchSender struct {
	process *controllerProcess
	link    *fake.Link
}

// Send delivers orders to an agent. A machine that hangs keeps them until it
// goes on, long after the sender has given up.
func (s *dispatchSender) Send(addr string, commands wire.Commands) (*wire.Heartbeat, bool, error) {
	s.process.waitWhileFrozen()
	if s.process.runningNode() == nil {
		return nil, false, agent.ErrUncertain
	}
	sim := s.process.sim
	machine := sim.machineNamed(addr[:len(addr)-len(":9000")])
	type answer struct {
		r  *wire.Heartbeat
		ok bool
	}
	ch := make(chan answer, 1)
	if machine != nil && machine.interceptDispatch(commands) {
		machine = nil
	}
	if machine != nil && !s.process.partitionedFrom("workers") && !sim.isPartitioned(machine.agent.Zone, s.process.zone) &&
		!machine.responsesLost() {
		go func() {
			sim.waitAgentLatency()
			machine.waitWhileHung()
			heartbeat, ok, there := machine.handleDispatch(commands)
			sim.waitAgentLatency()
			if there {
				ch <- answer{heartbeat, ok}
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

// agentProber carries the probes of one process.
type agentProber struct{ process *controllerProcess }

// Probe asks an agent for its status. One that hangs does not answer in time. One whose heartbeats
// are lost answers what comes to it, as it does commands.
func (p agentProber) Probe(addr string) (*wire.Heartbeat, error) {
	p.process.waitWhileFrozen()
	sim := p.process.sim
	machine := sim.machineNamed(addr[:len(addr)-len(":9000")])
	answers := make(chan *wire.Heartbeat, 1)
	if machine != nil && p.process.runningNode() != nil && !p.process.partitionedFrom("workers") &&
		!sim.isPartitioned(machine.agent.Zone, p.process.zone) && !machine.responsesLost() {
		go func() {
			sim.waitAgentLatency()
			machine.waitWhileHung()
			status, there := machine.status()
			sim.waitAgentLatency()
			if there {
				answers <- status
			}
		}()
	}
	timer := time.NewTimer(agent.ProbeTimeout.Duration())
	defer timer.Stop()
	select {
	case status := <-answers:
		return status, nil
	case <-timer.C:
		return nil, errors.New("no answer")
	}
}

// fakeCloud are the cloud, which boots agents.
type fakeCloud struct {
	*fake.Cloud
	sim              *simCluster
	unavailable      bool
	bootFailureRatio float64  // share of machines that never come up
	lostAnswerRatio  float64  // share of instance requests whose answer is lost
	terminated       []string // machines that were returned
	// whose boot fails; nil: none beside the share above
	failsBoot func(r wire.InstanceRequest) bool
	// machines that are not listed; nil: none
	unlisted func(name string) bool
	// how late a return is carried out, and not answered; 0: at once
	terminationDelay     micro.Time
	terminationRequested map[string]micro.Time // machines whose return was asked for, and when first
	startedAt            map[string]micro.Time // when each machine was rented
	terminatedAt         map[string]micro.Time // when it was returned
}

// billedTime is for how long all machines together were rented.
func (s *fakeCloud) billedTime() micro.Time {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	var sum micro.Time
	for name, from := range s.startedAt {
		end, back := s.terminatedAt[name]
		if !back {
			end = s.sim.now()
		}
		sum += end - from
	}
	return sum
}

// cloudClient is the cloud as one process reaches it.
type cloudClient struct {
	*fakeCloud
	process *controllerProcess
	link    *fake.Link
}

func (s *cloudClient) waitReachable(ctx context.Context) error {
	s.process.waitWhileFrozen()
	time.Sleep(s.sim.randomDuration(20*micro.Millisecond, 200*micro.Millisecond))
	if s.process.runningNode() == nil || s.process.partitionedFrom("cloud") {
		<-ctx.Done()
		return cloud.ErrUncertain
	}
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	if s.unavailable {
		return cloud.ErrUnavailable
	}
	return nil
}

// Catalog lists the types.
func (s *cloudClient) Catalog(ctx context.Context) (*wire.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.waitReachable(ctx); err != nil {
		return nil, err
	}
	return s.Cloud.Catalog(ctx)
}

// RequestInstances rents machines, which boot by and by or at once.
func (s *cloudClient) RequestInstances(ctx context.Context, r wire.InstanceRequest) ([]string, error) {
	if err := s.waitReachable(ctx); err != nil {
		return nil, err
	}
	names, err := s.Cloud.RequestInstances(ctx, r)
	for _, name := range names {
		s.sim.bootMachine(name, r)
	}
	if s.sim.randomChance(s.lostAnswerRatio) {
		<-ctx.Done()
		return nil, cloud.ErrUncertain
	}
	return names, err
}

// Terminate deletes machines.
func (s *cloudClient) Terminate(ctx context.Context, names []string) error {
	if err := s.waitReachable(ctx); err != nil {
		return err
	}
	s.sim.mu.Lock()
	late := s.terminationDelay
	for _, name := range names {
		if s.terminationRequested[name] == 0 {
			s.terminationRequested[name] = s.sim.now()
		}
	}
	s.sim.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late.Duration(), func() { _ = s.terminate(context.Background(), names) })
		<-ctx.Done()
		return cloud.ErrUncertain
	}
	return s.terminate(ctx, names)
}

func (s *cloudClient) terminate(ctx context.Context, names []string) error {
	s.sim.mu.Lock()
	s.terminated = append(s.terminated, names...)
	for _, name := range names {
		if s.terminatedAt[name] == 0 {
			s.terminatedAt[name] = s.sim.now()
		}
	}
	s.sim.mu.Unlock()
	for _, name := range names {
		if machine := s.sim.machineNamed(name); machine != nil {
			machine.terminate()
		}
	}
	return s.Cloud.Terminate(ctx, names)
}

// List lists all machines.
func (s *cloudClient) List(ctx context.Context, after string) (*wire.MachineList, error) {
	if err := s.waitReachable(ctx); err != nil {
		return nil, err
	}
	l, err := s.Cloud.List(ctx, after)
	if err != nil || s.unlisted == nil {
		return l, err
	}
	l.Machines = slices.DeleteFunc(l.Machines, func(m wire.ListedMachine) bool { return s.unlisted(m.Name) })
	return l, nil
}

func (w *simCluster) machineNamed(name string) *fakeMachine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machines[name]
}

// liveMachines lists the machines that are there, in the order of their names. No lock
// of a machine is taken under that of the cluster: a machine takes them the other
// way round.
func (w *simCluster) liveMachines() []*fakeMachine {
	w.mu.Lock()
	all := make([]*fakeMachine, 0, len(w.machines))
	for _, machine := range w.machines {
		all = append(all, machine)
	}
	w.mu.Unlock()
	var out []*fakeMachine
	for _, machine := range all {
		if machine.isUp() {
			out = append(out, machine)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].agent.Name < out[b].agent.Name })
	return out
}

// bootMachine brings a rented machine up, once.
func (w *simCluster) bootMachine(name string, request wire.InstanceRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machines[name] != nil {
		return
	}
	fw := fake.NewAgent(name, request.Type, request.Zone, leaseS*micro.Second)
	fw.Spot = request.Spot
	fw.InitialState = wire.TaskFetching
	machine := &fakeMachine{
		sim: w, agent: fw, stateSince: map[fake.AttemptKey]micro.Time{}, controllerIndex: w.rand.IntN(len(w.controllers)),
	}
	w.machines[name] = machine
	w.cloud.startedAt[name] = w.now()
	if w.rand.Float64() < w.cloud.bootFailureRatio || w.cloud.failsBoot != nil && w.cloud.failsBoot(request) {
		return
	}
	duration := 3*time.Second + time.Duration(w.rand.Int64N(int64(4*time.Second)))
	if w.fastBoot {
		duration = time.Duration(w.rand.Int64N(int64(2 * time.Second)))
	}
	time.AfterFunc(duration, machine.boot)
}

// runMachines lets the machines go on, every tenth of a second.
func (w *simCluster) runMachines(ctx context.Context) {
	for ctx.Err() == nil {
		for _, machine := range w.liveMachines() {
			machine.step()
		}
		w.runGangs()
		w.checker.checkCancelled()
		time.Sleep(100 * time.Millisecond)
	}
}
