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
	defer stop()
	dev := &devCluster{flags, fake.NewStore(), fake.NewCloud(8, wire.MachineType{
		Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 40,
		FetchGBPerS: 1, Price: 0.2, SpotPrice: 0.06, BootS: 2, Zones: []string{"east", "west"},
	})}
	group, ctx := errgroup.WithContext(ctx)
	for addr, handler := range map[string]fasthttp.RequestHandler{flags.State: dev.store.Handle, flags.Cloud: dev.cloud.Handle} {
		listener, err := net.Listen("tcp4", addr)
		if err != nil {
			fmt.Fprintln(os.Stderr, "devcluster:", err)
			os.Exit(1)
		}
		group.Go(func() error { return fasthttp.Serve(listener, handler) })
	}
	group.Go(func() error { dev.startAgents(ctx); return context.Canceled })
	if flags.LowerAfter > 0 {
		time.AfterFunc(flags.LowerAfter, func() {
			dev.store.SetLimits(
				fake.Limits{ValueBytes: int(flags.ValueKB * 1024), TxnOps: flags.TxnOps, WriteRPS: flags.WriteRPS},
			)
			fmt.Println("the state service has lowered its limits")
		})
	}
	fmt.Println("state service on", flags.State, "and cloud on", flags.Cloud)
	_ = group.Wait()
}

// startAgents starts an agent for each machine that is rented.
func (b *devCluster) startAgents(ctx context.Context) {
	running := map[string]bool{}
	for ctx.Err() == nil {
		for _, machine := range b.cloud.Instances() {
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
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "devcluster:", err)
		return
	}
	defer listener.Close()
	var mu sync.Mutex
	agent := fake.NewAgent(machine.Name, machine.Type, machine.Zone, 30*micro.Second)
	agent.Spot, agent.LeaseStart = machine.Spot, micro.Now()
	nextHeartbeat := func() *wire.Heartbeat {
		heartbeat := agent.Heartbeat()
		heartbeat.Addr = listener.Addr().String()
		return heartbeat
	}
	go func() {
		_ = fasthttp.Serve(listener, func(request *fasthttp.RequestCtx) {
			mu.Lock()
			defer mu.Unlock()
			var commands wire.Commands
			if wire.Unmarshal(request.PostBody(), &commands) != nil {
				request.SetStatusCode(400)
				return
			}
			heartbeat, executed := agent.HandleDispatch(commands)
			heartbeat.Addr = listener.Addr().String()
			if !executed {
				request.SetStatusCode(409)
			}
			request.SetBody(wire.MustMarshal(heartbeat))
		})
	}()
	firstSeen := map[fake.AttemptKey]time.Time{}
	for ctx.Err() == nil && b.isRunning(machine.Name) {
		mu.Lock()
		sent := micro.Now()
		agent.ExpireLease(sent)
		for attempt, task := range agent.Tasks {
			if _, executed := firstSeen[attempt]; !executed {
				firstSeen[attempt] = time.Now()
			}
			if task.State == wire.TaskRunning && time.Since(firstSeen[attempt]) > b.Run && !b.isServiceTask(attempt.Task) {
				agent.ExitTask(attempt.Task, attempt.Attempt, wire.CauseDone)
			}
		}
		body := wire.MustMarshal(nextHeartbeat())
		mu.Unlock()
		if commands, ok := b.postHeartbeat(body); ok {
			mu.Lock()
			agent.HandleResponse(commands, sent)
			mu.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
	}
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
	ok := fasthttp.DoTimeout(req, resp, 4*time.Second) == nil && resp.StatusCode() == 200 &&
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
func (b *devCluster) isServiceTask(task string) bool {
	id, _, _ := wire.ParseTaskName(task)
	it, err := b.store.Get(context.Background(), store.Routine, "job/"+id+"/spec")
	var job wire.Job
	return err == nil && wire.Unmarshal(it.Value, &job) == nil && job.Kind == wire.Service
}
