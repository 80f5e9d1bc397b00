package controller

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Where the fleet changes: machines that come and go while writes lag, more work
// than room, and a stream of small jobs.

// recorded reports whether the store holds the record of a place.
func (w *simCluster) recorded(machine string, k fake.Key) bool {
	id, index, _ := wire.SplitTask(k.Task)
	p, err := w.store.Range(context.Background(), store.Routine, "run/"+id+"/", "", 1000)
	if err != nil {
		w.t.Error(err)
	}
	for _, it := range p.Items {
		var rec model.ChunkRecord
		if strings.HasPrefix(it.Key, "run/"+id+"/"+compactMark) {
			var c model.CompactRecord
			if wire.Unmarshal(it.Value, &c) == nil {
				rec, _ = c.Expand()
			}
		} else if wire.Unmarshal(it.Value, &rec) != nil {
			continue
		}
		for _, x := range rec.Places {
			if x.Index == index && uint64(x.Attempt) == k.Attempt && x.Machine == machine {
				return true
			}
		}
	}
	return false
}

// rented is how many machines the cloud ever gave, and how many came back.
func (w *simCluster) rented() (all, back int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.workers), len(w.cloud.back)
}

// New machines are up within two seconds and get work at once while writes lag,
// answers of rentals are lost, and the leader ends. The next one adopts them: none
// is rented twice or returned, and no task starts without its record.
//
//revive:disable-next-line:cognitive-complexity,function-length a scenario in one piece, still to be split
func TestQuickMachinesAreAdoptedWhenTheLeaderEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		lag  func(w *simCluster, l *controllerProc) (met func() bool)
	}{
		{"rental's answer lost", func(w *simCluster, l *controllerProc) func() bool {
			w.cloud.lost = 1
			return func() bool {
				all, _ := w.rented()
				return all > 0 && len(w.hosts()) == all
			}
		}},
		{"rental's record late", func(w *simCluster, l *controllerProc) func() bool {
			tries := 0
			var mu sync.Mutex
			w.meets(l, "hire/", func(n int, _ wire.Change) fake.Fate {
				mu.Lock()
				defer mu.Unlock()
				tries = n
				return fake.Fate{Mute: true, After: 30 * micro.Second}
			})
			return func() bool { mu.Lock(); defer mu.Unlock(); return tries > 3 }
		}},
		// The next leader is there at once, before the machines are.
		{"rental's answer lost and handed over", func(w *simCluster, l *controllerProc) func() bool {
			w.cloud.lost = 1
			return func() bool {
				if all, _ := w.rented(); all == 0 {
					return false
				}
				l.handOver()
				return true
			}
		}},
		{"rental's record late and handed over", func(w *simCluster, l *controllerProc) func() bool {
			out := false
			var mu sync.Mutex
			w.meets(l, "hire/", func(int, wire.Change) fake.Fate {
				mu.Lock()
				defer mu.Unlock()
				out = true
				return fake.Fate{Mute: true, After: 30 * micro.Second}
			})
			return func() bool {
				mu.Lock()
				defer mu.Unlock()
				if !out {
					return false
				}
				w.sleep(300 * micro.Millisecond) // a rental would be answered by now
				l.handOver()
				return true
			}
		}},
		{"starts' records late", func(w *simCluster, l *controllerProc) func() bool {
			tries := 0
			var mu sync.Mutex
			w.meets(l, "run/", func(n int, _ wire.Change) fake.Fate {
				mu.Lock()
				defer mu.Unlock()
				tries = n
				return fake.Fate{Mute: true, After: 3 * micro.Second}
			})
			return func() bool { mu.Lock(); defer mu.Unlock(); return tries > 2 }
		}},
		{"starts' answers lost", func(w *simCluster, l *controllerProc) func() bool {
			w.meets(l, "run/", func(n int, _ wire.Change) fake.Fate { return fake.Fate{Mute: n%2 == 1} })
			return func() bool { return w.check.began() > 0 }
		}},
		{"slow store", func(w *simCluster, l *controllerProc) func() bool {
			w.slow(700*micro.Millisecond, 30*micro.Second)
			return func() bool { return w.check.began() > 0 }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				play(t, seed, 3, func(w *simCluster) {
					w.quick = true
					w.starts = func(h *host, k fake.Key) {
						if !w.recorded(h.w.Name, k) {
							w.t.Errorf("%v: %s starts on %s without its record", w.now(), k.Task, h.w.Name)
						}
					}
				}, func(w *simCluster) {
					l, _ := w.led()
					met := c.lag(w, l)
					var jobs []*job
					for i := range 6 {
						jobs = append(jobs, w.wants(order{kind: wire.Array, tasks: 1, cpus: 4, run: 50 * micro.Second, rank: wire.Production, team: []string{"team", "other"}[i%2]}).submit())
					}
					w.until("the meeting", 30*micro.Second, met)
					if !strings.HasSuffix(c.name, "handed over") {
						w.restart(l, 8*micro.Second)
					}
					w.mu.Lock()
					w.cloud.lost = 0
					w.mu.Unlock()
					w.until("all run", 60*micro.Second, func() bool {
						for _, j := range jobs {
							if j.running() == 0 && !j.is().done {
								return false
							}
						}
						return true
					})
					// Six tasks of four CPUs: as many small machines, and now and then one
					// that is asked for in the moment in which another comes up. Were those
					// of the former leader rented once more, it would be twelve.
					if all, back := w.rented(); all > 9 || back > 0 {
						w.t.Errorf("seed %d: %d machines were rented for 6 tasks, %d returned", seed, all, back)
					}
					for _, j := range jobs {
						w.until(j.id+" done", 3*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
					}
					if all, _ := w.rented(); all > 9 {
						w.t.Errorf("seed %d: %d machines were rented for 6 tasks", seed, all)
					}
				})
			}
		})
	}
}

// handOver has a leader give up its term, as one does that no worker reaches.
func (p *controllerProc) handOver() {
	if l := p.current().leading(); l != nil {
		l.post(func() { l.resign("for a scenario") })
	}
}

// began is how many tasks began so far.
func (c *checker) began() int { c.mu.Lock(); defer c.mu.Unlock(); return c.starts }

// There is more work than room, and store and workers are slow to answer. Urgent
// jobs take the place of others without ever meeting them there.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, 3, func(w *simCluster) {
				w.quick = true
				w.cloud.Capacity = 3
			}, func(w *simCluster) {
				w.led()
				w.slow(600*micro.Millisecond, 4*micro.Minute)
				w.slowWorkers(600*micro.Millisecond, 4*micro.Minute)
				var jobs []*job
				for i := range 8 {
					jobs = append(jobs, w.wants(order{kind: wire.Array, tasks: 4, cpus: 2, run: 25 * micro.Second, rank: []wire.Priority{wire.Low, wire.Normal}[i%2], team: []string{"team", "other"}[i%2]}).submit())
				}
				full := func() bool {
					n := 0
					for _, j := range jobs {
						n += j.running()
					}
					return n >= 6
				}
				w.until("no room left", micro.Minute, full)
				var urgent []*job
				for i := range 4 {
					j := w.wants(order{kind: wire.Array, tasks: 2, cpus: 2, run: 15 * micro.Second, rank: wire.Production, team: []string{"team", "other"}[i%2]}).submit()
					urgent = append(urgent, j)
					asked := w.now()
					w.until("the urgent one runs", 30*micro.Second, func() bool { return j.running() > 0 || j.is().done })
					w.t.Logf("%s began %.1f s after it was accepted", j.id, (w.now() - asked).Seconds())
					w.sleep(10 * micro.Second)
				}
				for _, j := range append(urgent, jobs...) {
					w.until(j.id+" done", 12*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
				}
			})
		})
	}
}

// One-task jobs come four a second, a quarter of them cancelled, and the store
// takes few changes. All the while users are answered; little is left behind.
func TestStreamOfSmallJobsUnderALimitOnWrites(t *testing.T) {
	// The lower one is all that the stream needs at its four changes a job.
	for _, most := range []float64{30, 16} {
		t.Run(fmt.Sprint(most, " changes a second"), func(t *testing.T) { streamUnder(t, most) })
	}
}

func streamUnder(t *testing.T, changes float64) {
	const stream = 2 * micro.Minute
	play(t, 8, 3, func(w *simCluster) {
		w.quick = true
		w.writes = changes
		w.store.Limit(fake.Limits{WriteRPS: changes})
	}, func(w *simCluster) {
		w.led()
		var mu sync.Mutex
		var jobs []*job
		asked, failed, slowest, cancels := 0, 0, micro.Time(0), 0
		poll := func(j *job) {
			r := j.poll(w.any())
			mu.Lock()
			defer mu.Unlock()
			if asked++; r.Status != 200 {
				failed++
			}
		}
		for from := w.now(); w.now() < from+stream; w.sleep(250 * micro.Millisecond) {
			j := w.wants(order{kind: wire.Array, tasks: 1, cpus: 0.5, run: 3 * micro.Second, team: []string{"team", "other"}[len(jobs)%2]})
			jobs = append(jobs, j)
			cancel, after := len(jobs)%4 == 0, w.between(0, 6*micro.Second)
			go func() {
				j.submit()
				if cancel {
					go func() {
						time.Sleep(after)
						at := w.now()
						j.cancel()
						mu.Lock()
						defer mu.Unlock()
						cancels++
						slowest = max(slowest, w.now()-at)
					}()
				}
				for s := j.is(); !s.done && !s.aborted && w.ctx.Err() == nil; s = j.is() {
					poll(j)
					time.Sleep(w.between(2*micro.Second, 4*micro.Second))
				}
			}()
		}
		w.until("all over soon after the stream", 30*micro.Second, func() bool {
			for _, j := range jobs {
				if s := j.is(); !s.done && !s.aborted {
					return false
				}
			}
			return true
		})
		w.until("no record left", micro.Minute, func() bool {
			p, err := w.store.Range(w.ctx, store.Routine, "run/", "", 1)
			return err == nil && len(p.Items) == 0
		})
		ev, err := w.store.Watch(w.ctx, "", 0, 0)
		if err != nil {
			w.t.Fatal(err)
		}
		by := map[string]int{}
		for _, e := range ev.Events {
			kind, _, _ := strings.Cut(e.Put+e.Delete, "/")
			if kind == "job" {
				kind = e.Put[strings.LastIndex(e.Put, "/")+1:]
			}
			if e.Delete != "" {
				kind += " deleted"
			}
			by[kind]++
		}
		n := float64(len(jobs))
		w.t.Logf("%d jobs: %v changes, %.2f a job in all; %d of %d polls not answered; %d cancelled, the slowest told after %.2f s; %d times over the store's rate",
			len(jobs), by, float64(len(ev.Events))/n, failed, asked, cancels, slowest.Seconds(), w.store.Busy)
		for kind, most := range map[string]float64{"spec": 1, "end": 1, "run": 1.3, "run deleted": 1} {
			if got := float64(by[kind]) / n; got > most {
				w.t.Errorf("%.2f changes a job are for %q, at most %.1f", got, kind, most)
			}
		}
		if cancels < len(jobs)/4 || slowest > 2*micro.Second {
			w.t.Errorf("%d of %d cancellations were answered, the slowest after %.1f s", cancels, len(jobs)/4, slowest.Seconds())
		}
		if asked < len(jobs) || failed*50 > asked {
			w.t.Errorf("%d of %d polls were not answered", failed, asked)
		}
		if w.store.Busy > 0 {
			w.t.Errorf("the store refused %d writes for being over its rate", w.store.Busy)
		}
	})
}

// Jobs bound to a zone, by name or because all their tasks go together, lose
// machines again and again, once all of a zone, and once with the leader.
func TestJobsBoundToOneZoneLoseMachines(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed, 3, func(w *simCluster) { w.quick = true }, func(w *simCluster) {
				w.led()
				jobs := []*job{
					w.wants(order{kind: wire.Array, tasks: 8, cpus: 2, run: 20 * micro.Second, zone: "a"}).submit(),
					w.wants(order{kind: wire.Array, tasks: 6, cpus: 2, run: 20 * micro.Second, oneZone: true, team: "other"}).submit(),
					w.wants(order{kind: wire.Gang, tasks: 3, cpus: 2, run: 20 * micro.Second, oneZone: true, rank: wire.High}).submit(),
					w.wants(order{kind: wire.Gang, tasks: 2, cpus: 2, run: 20 * micro.Second, zone: "b", team: "other"}).submit(),
				}
				w.until("work runs", micro.Minute, func() bool { return jobs[0].running() > 0 && jobs[1].running() > 0 })
				lost := 0
				for i := range 5 {
					w.sleep(7 * micro.Second)
					for _, h := range w.hosts() {
						if i == 2 && h.w.Zone == "a" || lost < 2*(i+1) {
							h.die()
							lost++
						}
					}
					if i == 3 {
						if l := w.leader(); l != nil {
							w.restart(l, 6*micro.Second)
						}
					}
				}
				if lost < 6 {
					w.t.Errorf("%d machines were lost", lost)
				}
				for _, j := range jobs {
					w.until(j.id+" done", 6*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
				}
			})
		})
	}
}

// All machines die at once. No node hears a worker then, and none must take that for
// its own fault for ever: handing the lead round, the nodes once never found the
// machines dead, and never rented others.
func TestAllMachinesDieAndOthersAreRented(t *testing.T) {
	for seed := range uint64(3) {
		play(t, seed, 3+int(seed), func(w *simCluster) { w.quick = true }, func(w *simCluster) {
			w.led()
			var jobs []*job
			for i := range 4 {
				jobs = append(jobs, w.wants(order{kind: wire.Array, tasks: 2, cpus: 4, run: 30 * micro.Second, zone: []string{"a", "b"}[i%2], team: []string{"team", "other"}[i%2]}).submit())
			}
			w.until("four run", micro.Minute, func() bool { return len(w.hosts()) >= 4 && w.check.began() >= 4 })
			for _, h := range w.hosts() {
				h.die()
			}
			died := w.now()
			for _, j := range jobs {
				w.until(j.id+" done", 5*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
			}
			w.t.Logf("seed %d: all done %.0f s after", seed, (w.now() - died).Seconds())
		})
	}
}
