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

var simulationLog = flag.String("sim.log", "", "directory for the controllers' logs of failed simulations")

// simCluster simulates a site in fake time: controllers with all components except
// network listeners, agents, the cloud, the store and users, and the faults that the
// protocol and the users specify. A checker verifies every task start, task exit and
// reply against the rules. A scenario brings about one combination of faults; the
// random tests draw faults from a seed.
type simCluster struct {
	t            testing.TB
	mu           sync.Mutex // guards rand, the machines and the state of faults
	rand         *rand.Rand
	startedAt    time.Time
	store        *fake.Store
	cloud        *fakeCloud
	controllers  []*controllerProcess
	machines     map[string]*fakeMachine
	checker      *checker
	ctx          context.Context
	config       config.Config
	jobCount     int // number of job IDs assigned so far
	machineTypes []wire.MachineType
	fastBoot     bool // machines boot within two seconds
	// writeRPS is the number of changes that the store accepts per second; 0: unlimited
	writeRPS float64
	// onTaskStart is called at every task start that takes effect
	onTaskStart func(machine *fakeMachine, key fake.AttemptKey)
	// wrapStore returns the store client of a controller; nil: the link itself
	wrapStore func(l *fake.Link) store.Store
	// unansweredHeartbeats counts heartbeats answered with neither commands nor a leader hint
	unansweredHeartbeats atomic.Int64
	maxReplayDelay       micro.Time      // longest delay of replayed heartbeats; 0: none are replayed
	replayRatio          float64         // fraction of the heartbeats that are replayed
	partitionedZones     map[string]bool // zones that are partitioned from the others
	agentLatency         micro.Time      // mean one-way latency between agents and controllers
	activeFaults         int             // number of faults that have not ended
	// recording is set if sent heartbeats are kept, so that they can be replayed
	recording  bool
	newLogger  func(node string) *slog.Logger
	logs       *logBuffer
	incomplete bool // the scenario did not run to its end: it failed, perhaps on another testing.T
}

const (
	leaseS      = 30
	heartbeatS  = 3
	cancelS     = 50
	teamMaxCPUs = 16
)

// runScenario runs a scenario in fake time on a cluster with so many controllers; set, if not nil, changes
// the cluster before the controllers start. Violations of the rules fail the test.
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
		// The simulation is closed even if the scenario failed early: one that keeps running would hide the cause.
		defer sim.close(stop)
		go sim.runMachines(ctx)
		sim.incomplete = true
		scenario(sim)
		sim.incomplete = false
	})
}

// close stops a simulation and reports the violations.
func (w *simCluster) close(stop func()) {
	stop()
	for _, controller := range w.controllers {
		w.killController(controller)
	}
	synctest.Wait()
	time.Sleep(2 * time.Minute) // operations in progress end
	for _, v := range w.checker.violations {
		w.t.Error(v)
	}
	if w.incomplete || w.t.Failed() {
		w.saveLogs()
	}
}

// saveLogs writes the controllers' logs to a file if -sim.log is set.
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

// newSimCluster returns a cluster without controllers or machines.
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

// logBuffer holds the controllers' logs until the result of the simulation is known.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// now returns the time since the start of the simulation, without the drift and offset of the controllers' clocks.
func (w *simCluster) now() micro.Time { return micro.Time(time.Since(w.startedAt).Microseconds()) }

func (w *simCluster) isRecording() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.recording }

// randomInt draws an integer from 0 to below-1.
func (w *simCluster) randomInt(below int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(below)
}

// randomChance returns true with the given probability; a probability of 0 draws no random number.
func (w *simCluster) randomChance(probability float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return probability > 0 && w.rand.Float64() < probability
}

// randomDuration draws a duration from shortest to longest, both included.
func (w *simCluster) randomDuration(shortest, longest micro.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return (shortest + micro.Time(w.rand.Int64N(int64(longest-shortest)+1))).Duration()
}

func (w *simCluster) sleep(d micro.Time) { time.Sleep(d.Duration()) }

// waitUntil polls a condition, and ends the test if it is not reached within the timeout.
func (w *simCluster) waitUntil(condition string, timeout micro.Time, ok func() bool) {
	w.t.Helper()
	for end := w.now() + timeout; !ok(); w.sleep(50 * micro.Millisecond) {
		if w.now() > end {
			w.saveLogs() // the scenario ends here
			w.t.Fatalf("%v: condition not reached: %s", w.now(), condition)
		}
	}
}

// peersRefused is the partition in which connections to other controllers are refused at once, and do not time out.
const peersRefused = "peers refused"

// controllerProcess is a controller across restarts of its process.
type controllerProcess struct {
	sim        *simCluster
	name, zone string
	drift      float64    // rate of its clock relative to true time
	offset     micro.Time // added to the reading of its clock

	mu                sync.Mutex
	node              *Node
	link              *fake.Link
	cancel            context.CancelFunc
	alive             bool
	frozenUntil       time.Time         // end of its process pause
	partitions        map[string]bool   // connections that are cut: state, peers, peersRefused, workers, users, cloud
	storeReachability fake.Reachability // while it is not partitioned from the store

	peerDelay micro.Time // delay of each reply to another controller
}

// addController adds a controller whose process does not run yet.
func (w *simCluster) addController(name, zone string, all int) *controllerProcess {
	controller := &controllerProcess{
		sim: w, name: name, zone: zone, drift: 1 + float64(w.randomInt(50))/1e5,
		offset: micro.Time(w.randomInt(3_600_000_000)), partitions: map[string]bool{},
	}
	w.controllers = append(w.controllers, controller)
	return controller
}

// setShards sets the shard configuration of processes that start later.
func (w *simCluster) setShards(shards *config.Shards) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Shards = shards
}

// startController starts a process of the controller.
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
	startedAt := w.now()
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
			return controller.offset + micro.Time(float64(w.now()-startedAt)*controller.drift) + micro.Second
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

// killController ends the process without a graceful shutdown.
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

// restartController kills the process and starts another one after a delay.
func (w *simCluster) restartController(controller *controllerProcess, delay micro.Time) {
	w.killController(controller)
	time.AfterFunc(delay.Duration(), func() {
		if w.ctx.Err() == nil && !controller.isAlive() {
			w.startController(controller)
		}
	})
}

func (p *controllerProcess) isAlive() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.alive }

// freeze simulates a process pause: messages from and to the process wait until its end.
func (p *controllerProcess) freeze(d micro.Time) {
	p.mu.Lock()
	p.frozenUntil = time.Now().Add(d.Duration())
	p.link.PauseUntil(p.frozenUntil)
	p.mu.Unlock()
}

// waitWhileFrozen waits until the end of a process pause.
func (p *controllerProcess) waitWhileFrozen() {
	p.mu.Lock()
	d := time.Until(p.frozenUntil)
	p.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// waitPeerDelay waits for the delay of a reply to another controller.
func (p *controllerProcess) waitPeerDelay() {
	p.mu.Lock()
	d := p.peerDelay
	p.mu.Unlock()
	time.Sleep(d.Duration())
}

// delayPeerAnswers sets the delay of a controller's replies to the other controllers.
func (w *simCluster) delayPeerAnswers(controller *controllerProcess, d micro.Time) {
	controller.mu.Lock()
	controller.peerDelay = d
	controller.mu.Unlock()
}

// setPartitioned cuts or restores connections of the controller; "state" is the connection to the store.
func (p *controllerProcess) setPartitioned(on bool, connections ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, connection := range connections {
		p.partitions[connection] = on
		if connection == "state" {
			if p.link.SetReachability(p.storeReachability); on {
				p.link.SetReachability(fake.Partitioned)
			}
		}
	}
}

// setRefused sets whether the store refuses requests of this controller.
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

func (p *controllerProcess) partitionedFrom(connection string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitions[connection]
}

// runningNode returns the node of the running process, or nil if none runs.
func (p *controllerProcess) runningNode() *Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.alive {
		return nil
	}
	return p.node
}

// leader returns the controller that holds the leadership lease, or nil if there is none.
func (w *simCluster) leader() *controllerProcess {
	for _, controller := range w.controllers {
		if n := controller.runningNode(); n != nil && n.activeLeader() != nil {
			return controller
		}
	}
	return nil
}

// isPartitioned reports whether a network partition separates two zones.
func (w *simCluster) isPartitioned(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.partitionedZones[a] || w.partitionedZones[b])
}

// callNode sends a request to a controller over one of its connections ("users" or "workers") and returns the
// reply, or false if none arrived within the timeout. It returns at once if no process runs there.
func (w *simCluster) callNode(
	controller *controllerProcess, connection string, timeout time.Duration, call func(*Node) httpapi.Reply,
) (httpapi.Reply, bool) {
	node := controller.runningNode()
	if node == nil {
		return httpapi.Reply{}, false
	}
	if controller.partitionedFrom(connection) {
		time.Sleep(timeout)
		return httpapi.Reply{}, false
	}
	ch := make(chan httpapi.Reply, 1)
	go func() {
		controller.waitWhileFrozen()
		if controller.runningNode() == node {
			reply := call(node)
			controller.waitWhileFrozen()
			ch <- reply
		}
	}()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case reply := <-ch:
		if controller.runningNode() != node || controller.partitionedFrom(connection) {
			<-t.C
			return httpapi.Reply{}, false
		}
		return reply, true
	case <-t.C:
		return httpapi.Reply{}, false
	}
}

// peerCaller sends the calls of one process to the other controllers.
type peerCaller struct {
	process *controllerProcess
	link    *fake.Link
}

// Call sends a call to a controller and returns the status and body of its reply, or peer.ErrUnreachable.
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
		if n == nil || c.process.partitionedFrom(peersRefused) {
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

// dispatchSender sends the dispatched commands of one process.
type dispatchSender struct {
	process *controllerProcess
	link    *fake.Link
}

// Send delivers commands to an agent. A hung machine executes them when it resumes,
// which may be long after the sender has timed out.
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

// agentProber sends the probes of one process.
type agentProber struct{ process *controllerProcess }

// Probe queries the status of an agent. A hung agent does not respond within the timeout. An agent whose
// heartbeats are lost responds to probes, as it does to commands.
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
		return nil, errors.New("probe timed out")
	}
}

// fakeCloud is the cloud of a simulation; the machines that it provisions boot agents.
type fakeCloud struct {
	*fake.Cloud
	sim              *simCluster
	unavailable      bool
	bootFailureRatio float64  // fraction of machines that never boot
	lostAnswerRatio  float64  // fraction of instance requests whose response is lost
	terminated       []string // names of terminated machines
	// failsBoot selects requests whose machines do not boot; nil: only the bootFailureRatio applies
	failsBoot func(r wire.InstanceRequest) bool
	// unlisted selects machines that List omits; nil: none
	unlisted func(name string) bool
	// terminationDelay is the delay of terminations, which then get no response; 0: executed at once
	terminationDelay     micro.Time
	terminationRequested map[string]micro.Time // by machine: time of the first termination request
	startedAt            map[string]micro.Time // by machine: when it was provisioned
	terminatedAt         map[string]micro.Time // by machine: when it was terminated
}

// billedTime returns the sum of the times for which the machines were provisioned.
func (s *fakeCloud) billedTime() micro.Time {
	s.sim.mu.Lock()
	defer s.sim.mu.Unlock()
	var sum micro.Time
	for name, from := range s.startedAt {
		end, terminated := s.terminatedAt[name]
		if !terminated {
			end = s.sim.now()
		}
		sum += end - from
	}
	return sum
}

// cloudClient is the connection of one process to the cloud.
type cloudClient struct {
	*fakeCloud
	process *controllerProcess
	link    *fake.Link
}

// waitReachable waits for the latency of a request. It returns cloud.ErrUncertain when the context ends if the
// process has no connection to the cloud, and cloud.ErrUnavailable if the cloud is unavailable.
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

// Catalog returns the machine types, within 3 s.
func (s *cloudClient) Catalog(ctx context.Context) (*wire.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := s.waitReachable(ctx); err != nil {
		return nil, err
	}
	return s.Cloud.Catalog(ctx)
}

// RequestInstances provisions machines, which boot after a random delay.
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

// Terminate terminates machines, after terminationDelay and without a response if that is set.
func (s *cloudClient) Terminate(ctx context.Context, names []string) error {
	if err := s.waitReachable(ctx); err != nil {
		return err
	}
	s.sim.mu.Lock()
	delay := s.terminationDelay
	for _, name := range names {
		if s.terminationRequested[name] == 0 {
			s.terminationRequested[name] = s.sim.now()
		}
	}
	s.sim.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay.Duration(), func() { _ = s.terminate(context.Background(), names) })
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

// List lists the machines after a name, except those that unlisted selects.
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

// liveMachines returns the booted machines that are not terminated, sorted by name. The lock
// of a machine must not be acquired while the lock of the cluster is held: machines acquire
// them in the opposite order.
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

// bootMachine boots a provisioned machine after a random delay, unless its boot fails. A repeated call for a
// machine has no effect.
func (w *simCluster) bootMachine(name string, request wire.InstanceRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machines[name] != nil {
		return
	}
	fakeAgent := fake.NewAgent(name, request.Type, request.Zone, leaseS*micro.Second)
	fakeAgent.Spot = request.Spot
	fakeAgent.InitialState = wire.TaskFetching
	machine := &fakeMachine{
		sim: w, agent: fakeAgent, stateSince: map[fake.AttemptKey]micro.Time{}, controllerIndex: w.rand.IntN(len(w.controllers)),
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

// runMachines advances the machines and gangs every 100 ms until the context ends.
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
