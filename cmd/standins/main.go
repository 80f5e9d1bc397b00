// Command standins serves stand-ins for the state service, the cloud and the
// workers on loopback, so that a node can be tried without a site. They are for
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

// bench is the workers with their lock.
type bench struct {
	cli
	store *fake.Store
	cloud *fake.Cloud
}

func main() {
	var c cli
	kong.Parse(&c, kong.Name("standins"))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	b := &bench{c, fake.NewStore(), fake.NewCloud(8, wire.MachineType{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 40,
		FetchGBPerS: 1, Price: 0.2, SpotPrice: 0.06, BootS: 2, Zones: []string{"east", "west"}})}
	g, ctx := errgroup.WithContext(ctx)
	for addr, h := range map[string]fasthttp.RequestHandler{c.State: b.store.Handle, c.Cloud: b.cloud.Handle} {
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			fmt.Fprintln(os.Stderr, "standins:", err)
			os.Exit(1)
		}
		g.Go(func() error { return fasthttp.Serve(ln, h) })
	}
	g.Go(func() error { b.watch(ctx); return context.Canceled })
	if c.LowerAfter > 0 {
		time.AfterFunc(c.LowerAfter, func() {
			b.store.Limit(fake.Limits{ValueBytes: int(c.ValueKB * 1024), TxnOps: c.TxnOps, WriteRPS: c.WriteRPS})
			fmt.Println("the state service has lowered its limits")
		})
	}
	fmt.Println("state service on", c.State, "and cloud on", c.Cloud)
	_ = g.Wait()
}

// watch starts a worker for each machine that is rented.
func (b *bench) watch(ctx context.Context) {
	running := map[string]bool{}
	for ctx.Err() == nil {
		for _, m := range b.cloud.Rented() {
			if !running[m.Name] {
				running[m.Name] = true
				go b.work(ctx, m)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// work is one worker: it reports, takes direct orders, and lets tasks end.
func (b *bench) work(ctx context.Context, m wire.ListedMachine) {
	time.Sleep(time.Second) // it boots
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		return
	}
	defer ln.Close()
	var mu sync.Mutex
	w := fake.NewWorker(m.Name, m.Type, m.Zone, 30*micro.Second)
	w.Spot, w.Sent = m.Spot, micro.Now()
	report := func() *wire.Report { r := w.Report(); r.Addr = ln.Addr().String(); return r }
	go func() {
		_ = fasthttp.Serve(ln, func(c *fasthttp.RequestCtx) {
			mu.Lock()
			defer mu.Unlock()
			var o wire.Orders
			if wire.Unmarshal(c.PostBody(), &o) != nil {
				c.SetStatusCode(400)
				return
			}
			r, ok := w.Direct(o)
			r.Addr = ln.Addr().String()
			if !ok {
				c.SetStatusCode(409)
			}
			c.SetBody(wire.MustMarshal(r))
		})
	}()
	since := map[fake.Key]time.Time{}
	for ctx.Err() == nil && b.rented(m.Name) {
		mu.Lock()
		sent := micro.Now()
		w.Expire(sent)
		for k, t := range w.Tasks {
			if _, ok := since[k]; !ok {
				since[k] = time.Now()
			}
			if t.State == wire.TaskRunning && time.Since(since[k]) > b.Run && !b.service(k.Task) {
				w.Exit(k.Task, k.Attempt, wire.CauseDone)
			}
		}
		body := wire.MustMarshal(report())
		mu.Unlock()
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod("POST")
		req.SetRequestURI("http://" + b.Node + "/agent/beat")
		req.SetBody(body)
		var o wire.Orders
		if fasthttp.DoTimeout(req, resp, 4*time.Second) == nil && resp.StatusCode() == 200 && wire.Unmarshal(resp.Body(), &o) == nil {
			mu.Lock()
			w.Answer(o, sent)
			mu.Unlock()
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		time.Sleep(500 * time.Millisecond)
	}
}

func (b *bench) rented(name string) bool {
	for _, m := range b.cloud.Rented() {
		if m.Name == name {
			return true
		}
	}
	return false
}

// service looks a task's job up, as a worker fetches its description.
func (b *bench) service(task string) bool {
	id, _, _ := wire.SplitTask(task)
	it, err := b.store.Get(context.Background(), store.Routine, "job/"+id+"/spec")
	var job wire.Job
	return err == nil && wire.Unmarshal(it.Value, &job) == nil && job.Kind == wire.Service
}
