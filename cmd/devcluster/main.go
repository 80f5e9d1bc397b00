// Command devcluster emulates the store, the cloud and the agents on loopback, so that a
// controller can be run without real infrastructure. It is for development and testing only:
// all state is in memory, and tasks are simulated.
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
	Node  string        `default:"127.0.0.1:8080" help:"Public address of the controller to which agents send heartbeats."`
	Run   time.Duration `default:"5s" help:"Run time of a task; services run until they are cancelled."`

	LowerAfter time.Duration `help:"Time after which the state service enforces the lower limits; 0: never."`
	ValueKB    float64       `default:"2" help:"Lower limit on the size of a value, in KiB."`
	TxnOps     int           `default:"4" help:"Lower limit on the number of changes in a transaction."`
	WriteRPS   float64       `default:"20" help:"Lower limit on the number of changes per second."`
}

// devCluster holds the flags and the emulated store and cloud that all agents share.
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

// run serves the emulated store, cloud and agents until the context ends. It returns an error that
// names the address if a listener cannot be opened.
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

// serveUntilDone serves requests on the listener until the context ends.
func serveUntilDone(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(listener)
}

// startAgents starts an agent for each machine that the cloud provisions, until the context ends.
func (d *devCluster) startAgents(ctx context.Context) {
	running := map[string]bool{}
	for ctx.Err() == nil {
		for _, machine := range d.cloud.Instances() { //nolint:contextcheck // the fake cloud does not block
			if !running[machine.Name] {
				running[machine.Name] = true
				go d.runAgent(ctx, machine)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runAgent runs the agent of one machine until the machine is terminated or the context ends: it sends
// heartbeats, executes commands and ends tasks after their run time.
func (d *devCluster) runAgent(ctx context.Context, machine wire.ListedMachine) {
	time.Sleep(time.Second) // emulates the boot time
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
	for ctx.Err() == nil && d.isRunning(machine.Name) { //nolint:contextcheck // the fake cloud does not block
		body, sent := agent.nextHeartbeat(ctx, d)
		if commands, ok := d.postHeartbeat(body); ok {
			agent.handleResponse(commands, sent)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// devAgent guards an agent with a lock, since the controller may send commands at any time.
type devAgent struct {
	mu        sync.Mutex
	agent     *fake.Agent
	addr      string
	firstSeen map[fake.AttemptKey]time.Time
}

// handle handles a request of a controller: GET is a probe, any other method carries commands.
func (a *devAgent) handle(request *fasthttp.RequestCtx) {
	if request.IsGet() {
		a.handleProbe(request)
		return
	}
	a.handleDispatch(request)
}

// handleProbe responds with a heartbeat.
func (a *devAgent) handleProbe(request *fasthttp.RequestCtx) {
	a.mu.Lock()
	defer a.mu.Unlock()
	heartbeat := a.agent.Heartbeat()
	heartbeat.Addr = a.addr
	request.SetBody(wire.MustMarshal(heartbeat))
}

// handleDispatch executes dispatched commands and responds with a heartbeat. The status is 400 if the body is
// malformed and 409 if the agent did not execute the commands.
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

// nextHeartbeat ends tasks whose run time is over. It returns the heartbeat to send and the time from which
// its response extends the lease.
func (a *devAgent) nextHeartbeat(ctx context.Context, d *devCluster) (body []byte, sent micro.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sent = micro.Now()
	a.agent.ExpireLease(sent)
	for attempt, task := range a.agent.Tasks {
		if _, seen := a.firstSeen[attempt]; !seen {
			a.firstSeen[attempt] = time.Now()
		}
		overdue := time.Since(a.firstSeen[attempt]) > d.Run
		if task.State == wire.TaskRunning && overdue && !d.isServiceTask(ctx, attempt.Task) {
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

// postHeartbeat sends a heartbeat to the controller and returns the commands in the response. It returns false
// if the request failed or the response holds no commands.
func (d *devCluster) postHeartbeat(body []byte) (wire.Commands, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + d.Node + "/agent/beat")
	req.SetBody(body)
	var commands wire.Commands
	ok := fasthttp.DoTimeout(req, resp, 4*time.Second) == nil && resp.StatusCode() == fasthttp.StatusOK &&
		wire.Unmarshal(resp.Body(), &commands) == nil
	return commands, ok
}

func (d *devCluster) isRunning(name string) bool {
	for _, machine := range d.cloud.Instances() {
		if machine.Name == name {
			return true
		}
	}
	return false
}

// isServiceTask reports whether a task belongs to a service. It reads the job from the store, as an agent
// fetches the job description.
func (d *devCluster) isServiceTask(ctx context.Context, task string) bool {
	id, _, _ := wire.ParseTaskName(task)
	it, err := d.store.Get(ctx, store.Routine, "job/"+id+"/spec")
	var job wire.Job
	return err == nil && wire.Unmarshal(it.Value, &job) == nil && job.Kind == wire.Service
}
