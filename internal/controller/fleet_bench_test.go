package controller

import (
	"fmt"
	"io"
	"log/slog"
	"testing"

	"notchmux.dev/notchmux/internal/agent"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/election"
	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/metrics"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// deafHosts answers no direct order.
type deafHosts struct{}

func (deafHosts) Send(string, wire.Orders) (*wire.Report, bool, error) {
	return nil, false, agent.ErrUncertain
}

// herd is a leader with so many machines, most of which run tasks, on a clock of
// its own.
type herd struct {
	l       *Lead
	now     micro.Time
	workers []*fake.Worker
}

func newHerd(tb testing.TB, machines int) *herd {
	tb.Helper()
	h := &herd{now: 1000 * micro.Second}
	cfg := &config.Config{Properties: config.Defaults()}
	cfg.Node = "n-0"
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.ReportS, cfg.Facts.State.ValueKB, cfg.Facts.State.TxnOps = 30, 6, 16, 24
	cfg.Facts.Teams = []config.Team{{Name: "team"}}
	cfg.Derive()
	n := &Node{Cfg: cfg, Store: fake.NewStore(), Cloud: fake.NewCloud(0), Agent: deafHosts{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: metrics.New(), Now: func() micro.Time { return h.now }, Wall: func() micro.Time { return h.now }}
	n.Init()
	cat := &wire.Catalog{}
	for i := range 4 {
		cat.Types = append(cat.Types, wire.MachineType{Name: fmt.Sprint("t", i), CPUs: 8, MemoryGB: 64, Price: 1, SpotPrice: 0.3, BootS: 30, FetchGBPerS: 1, Zones: []string{"a", "b"}})
	}
	n.catalog.Store(cat)
	h.l = newLead(n, election.NewTerm(7, 1<<60))
	h.l.c.SetCatalog(cat)
	for i := range machines {
		w := fake.NewWorker(fmt.Sprintf("i-%06d", i), fmt.Sprint("t", i%4), []string{"a", "b"}[i%2], 30*micro.Second)
		w.Token = h.l.token
		h.workers = append(h.workers, w)
		h.report(w)
	}
	for i := 0; i < machines*6; i += 60 {
		h.l.addJob(wire.Job{ID: fmt.Sprintf("j-%06d", i), Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Normal, Tasks: 60, CPUs: 1, MemoryGB: 1, EstimateS: 50, Image: "i"})
	}
	h.l.placer.Pass(h.now)
	for _, m := range h.l.c.List() {
		for _, p := range m.Places {
			h.l.c.Persisted(p.Job.Chunk(p.Index), 1<<40)
		}
	}
	for _, w := range h.workers {
		h.report(w)
		h.report(w)
	}
	return h
}

func (h *herd) report(w *fake.Worker) { h.answer(w, wire.MustMarshal(w.Report())) }

func (h *herd) answer(w *fake.Worker, body []byte) {
	r, err := wire.DecodeReport(body)
	if err != nil {
		panic(err)
	}
	m, verdict := h.l.c.Apply(r, model.Beat, h.now)
	if verdict != model.Taken {
		panic("not taken")
	}
	o := wire.Orders{Token: wire.Count(h.l.token), Orders: h.l.c.Orders(m, h.l.token, false, h.now)}
	h.l.c.Told(m, h.l.token)
	_ = wire.MustMarshal(o)
	w.Answer(o, h.now)
}

func BenchmarkReport(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHerd(b, n)
			b.ReportAllocs()
			bodies := make([][]byte, len(h.workers))
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				k := i % n
				if k == 0 {
					b.StopTimer()
					for x, w := range h.workers {
						bodies[x] = wire.MustMarshal(w.Report())
					}
					h.now += 6 * micro.Second
					b.StartTimer()
				}
				h.answer(h.workers[k], bodies[k])
			}
		})
	}
}

func BenchmarkScan(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHerd(b, n)
			for b.Loop() {
				h.l.scan(h.now)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHerd(b, n)
			h.l.addJob(wire.Job{ID: "j-99999999", Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Normal, Tasks: 600, CPUs: 9, MemoryGB: 1, EstimateS: 50, Image: "i"})
			for b.Loop() {
				h.l.planner.Plan(h.now)
			}
		})
	}
}

func BenchmarkPass(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHerd(b, n)
			for i := range 300 {
				h.l.addJob(wire.Job{ID: fmt.Sprint("j-9999", i), Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Normal, Tasks: 600, CPUs: 7, MemoryGB: 1, EstimateS: 50, Image: "i"})
			}
			for b.Loop() {
				h.l.placer.Pass(h.now)
			}
		})
	}
}

// Work that waited a minute looks at all machines, several times.
func BenchmarkPassOfLateWork(b *testing.B) {
	for _, n := range []int{290, 2900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHerd(b, n)
			for i := range 300 {
				h.l.addJob(wire.Job{ID: fmt.Sprint("j-9999", i), Class: fmt.Sprint("c", i), Team: "team", Kind: wire.Array, Priority: wire.Normal, Tasks: 600, CPUs: 2, MemoryGB: 60, EstimateS: 50, Image: "i"})
			}
			h.now += 2 * micro.Minute
			for b.Loop() {
				h.l.placer.Pass(h.now)
			}
		})
	}
}

// waitingJobs adds so many jobs that each await two of those that run.
func (h *herd) waitingJobs(n int) {
	var ids []string
	for id := range h.l.c.Jobs {
		ids = append(ids, id)
	}
	for i := range n {
		h.l.addJob(wire.Job{ID: fmt.Sprintf("j-5%06d", i), Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 20, CPUs: 1, MemoryGB: 1,
			EstimateS: 20, Image: "i", Needs: []string{ids[i%len(ids)], ids[(i*7+1)%len(ids)]}})
	}
}

// Jobs that wait for others cost a pass nothing.
func BenchmarkPassBesideWaitingJobs(b *testing.B) {
	for _, n := range []int{0, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHerd(b, 290)
			h.waitingJobs(n)
			for b.Loop() {
				h.l.placer.Pass(h.now)
			}
		})
	}
}

// An end costs as much as the jobs that wait for it, however many others wait.
func BenchmarkEnd(b *testing.B) {
	for _, n := range []int{50, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHerd(b, 290)
			h.waitingJobs(n)
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("j-8", i)
				j := h.l.c.AddJob(wire.Job{ID: id, Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 1, CPUs: 1, EstimateS: 20}, h.now, h.now)
				h.l.c.AddJob(wire.Job{ID: id + "1", Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 1, CPUs: 1, EstimateS: 20, Needs: []string{id}}, h.now, h.now)
				h.l.c.End(j, false, h.now)
			}
		})
	}
}

// A takeover costs the reading of what waits, and no more than so much for each.
func BenchmarkTakeoverOfWaitingJobs(b *testing.B) {
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := newKept()
			for i := range n {
				id := fmt.Sprintf("j-%06d", i)
				k.specs[id] = wire.Job{ID: id, Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Low, Tasks: 20, CPUs: 1, MemoryGB: 1}
				if i >= 100 {
					job := k.specs[id]
					job.Needs = []string{fmt.Sprintf("j-%06d", i-100), fmt.Sprintf("j-%06d", i/2)}
					k.specs[id] = job
				}
			}
			for b.Loop() {
				h := &herd{now: 1000 * micro.Second}
				h.l = newHerd(b, 4).l
				h.l.adopt(&k, h.now, h.now)
			}
		})
	}
}
