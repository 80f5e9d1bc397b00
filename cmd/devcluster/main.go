// Command devcluster emulates the store, the cloud and the
// agents on loopback, so that a node can be tried without a site. They are for
// trying and testing only: nothing is kept, and tasks only pretend to run.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"time"

	"github.com/alecthomas/kong"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

type cli struct {
	State string        `default:"127.0.0.1:7001" help:"Address of the state service."`
	Cloud string        `default:"127.0.0.1:7002" help:"Address of the cloud."`
	Node  string        `default:"127.0.0.1:8080" help:"Public address of the node that workers report to."`
	Run   time.Duration `default:"5s" help:"How long a task runs; services run until they are withdrawn."`

	LowerAfter time.Duration `help:"After this, the state service enforces the lower limits; 0: never."`
	ValueKB    float64       `default:"2" help:"Lower limit on a value, in KiB."`
	TxnOps     int           `default:"4" help:"Lower limit on the changes of a transaction."`
	WriteRPS   float64       `default:"20" help:"Lower limit on the changes a second."`
}

// devCluster is the agents with their lock.
type devCluster struct {
	cli
	store *fake.Store
	cloud *fake.Cloud
}

func main() {
	var flags cli
	kong.Parse(&flags, kong.Name("devcluster"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := run(ctx, flags)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "devcluster:", err)
		os.Exit(1)
	}
}

// run emulates the site until the context ends; the error tells which address is taken.
func run(ctx context.Context, flags cli) error {
	dev := &devCluster{flags, fake.NewStore(), fake.NewCloud(8, wire.MachineType{
		Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 40,
		FetchGBPerS: 1, Price: 0.2, SpotPrice: 0.06, BootS: 2, Zones: []string{"east", "west"},
	})}
	group, ctx := errgroup.WithContext(ctx)
	for addr, handler := range map[string]fasthttp.RequestHandler{
		flags.State: dev.store.Handle, flags.Cloud: dev.cloud.Handle,
	} {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", addr)
		if err != nil {
			return err
		}
		group.Go(func() error { return serveUntilDone(ctx, listener, handler) })
	}
	group.Go(func() error { dev.startAgents(ctx); return nil })
	if flags.LowerAfter > 0 {
		time.AfterFunc(flags.LowerAfter, func() {
			dev.store.SetLimits(
				fake.Limits{ValueBytes: int(flags.ValueKB * 1024), TxnOps: flags.TxnOps, WriteRPS: flags.WriteRPS},
			)
			fmt.Println("the state service has lowered its limits")
		})
	}
	fmt.Println("state service on", flags.State, "and cloud on", flags.Cloud)
	return group.Wait()
}

// serveUntilDone answers requests until the context ends.
func serveUntilDone(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(listener)
}

// startAgents starts an agent for each machine that is rented.
func (b *devCluster) startAgents(ctx context.Context) {
	running := map[string]bool{}
	for ctx.Err() == nil {
		for _, machine := range b.cloud.Instances() { //nolint:contextcheck // the fake cloud waits for nothing
			if !running[machine.Name] {
				running[machine.Name] = true
				go b.runAgent(ctx, machine)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runAgent is one agent: it reports, takes dispatched commands, and lets tasks end.
func (b *devCluster) runAgent(ctx context.Context, machine wire.ListedMachine) {
	time.Sleep(time.Second) // it boots
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "devcluster:", err)
		return
	}
	defer func() { _ = listener.Close() }()
	agent := &devAgent{
		agent: fake.NewAgent(machine.Name, machine.Type, machine.Zone, 30*micro.Second),
		addr:  listener.Addr().String(), firstSeen: map[fake.AttemptKey]time.Time{},
	}
	agent.agent.Spot, agent.agent.LeaseStart = machine.Spot, micro.Now()
	go func() { _ = serveUntilDone(ctx, listener, agent.handle) }()
	for ctx.Err() == nil && b.isRunning(machine.Name) { //nolint:contextcheck // as above
		body, sent := agent.nextHeartbeat(ctx, b)
		if commands, ok := b.postHeartbeat(body); ok {
			agent.handleResponse(commands, sent)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// devAgent is an agent with its lock: commands come from the node's side at any time.
type devAgent struct {
	mu        sync.Mutex
	agent     *fake.Agent
	addr      string
	firstSeen map[fake.AttemptKey]time.Time
}

// handle answers a node's request: a probe or commands.
func (a *devAgent) handle(request *fasthttp.RequestCtx) {
	if request.IsGet() {
		a.handleProbe(request)
		return
	}
	a.handleDispatch(request)
}

// handleProbe answers with a heartbeat.
func (a *devAgent) handleProbe(request *fasthttp.RequestCtx) {
	a.mu.Lock()
	defer a.mu.Unlock()
	heartbeat := a.agent.Heartbeat()
	heartbeat.Addr = a.addr
	request.SetBody(wire.MustMarshal(heartbeat))
}

// handleDispatch executes dispatched commands and answers with a heartbeat.
func (a *devAgent) handleDispatch(request *fasthttp.RequestCtx) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var commands wire.Commands
	if wire.Unmarshal(request.PostBody(), &commands) != nil {
		request.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	heartbeat, executed := a.agent.HandleDispatch(commands)
	heartbeat.Addr = a.addr
	if !executed {
		request.SetStatusCode(fasthttp.StatusConflict)
	}
	request.SetBody(wire.MustMarshal(heartbeat))
}

// nextHeartbeat ends what has run its time, and gives the heartbeat to send and the time
// from which its answer extends the lease.
func (a *devAgent) nextHeartbeat(ctx context.Context, b *devCluster) (body []byte, sent micro.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent = micro.Now()
	a.agent.ExpireLease(sent)
	for attempt, task := range a.agent.Tasks {
		if _, seen := a.firstSeen[attempt]; !seen {
			a.firstSeen[attempt] = time.Now()
		}
		overdue := time.Since(a.firstSeen[attempt]) > b.Run
		if task.State == wire.TaskRunning && overdue && !b.isServiceTask(ctx, attempt.Task) {
			a.agent.ExitTask(attempt.Task, attempt.Attempt, wire.CauseDone)
		}
	}
	heartbeat := a.agent.Heartbeat()
	heartbeat.Addr = a.addr
	return wire.MustMarshal(heartbeat), sent
}

func (a *devAgent) handleResponse(commands wire.Commands, sent micro.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.agent.HandleResponse(commands, sent)
}

// postHeartbeat sends a heartbeat to the node; false if it gave no commands in answer.
func (b *devCluster) postHeartbeat(body []byte) (wire.Commands, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + b.Node + "/agent/beat")
	req.SetBody(body)
	var commands wire.Commands
	ok := fasthttp.DoTimeout(req, resp, 4*time.Second) == nil && resp.StatusCode() == fasthttp.StatusOK &&
		wire.Unmarshal(resp.Body(), &commands) == nil
	return commands, ok
}

func (b *devCluster) isRunning(name string) bool {
	for _, machine := range b.cloud.Instances() {
		if machine.Name == name {
			return true
		}
	}
	return false
}

// isServiceTask looks a task's job up, as an agent fetches its description.
func (b *devCluster) isServiceTask(ctx context.Context, task string) bool {
	id, _, _ := wire.ParseTaskName(task)
	it, err := b.store.Get(ctx, store.Routine, "job/"+id+"/spec")
	var job wire.Job
	return err == nil && wire.Unmarshal(it.Value, &job) == nil && job.Kind == wire.Service
}
