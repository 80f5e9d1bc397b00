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
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
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
