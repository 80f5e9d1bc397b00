package controller

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// Where users' questions meet writes: none is answered with something older than
// what a user was told, whatever the state service does with the writes.

// led waits for a leader and gives it, and the others.
func (w *simCluster) led() (*controllerProc, []*controllerProc) {
	w.t.Helper()
	w.until("a leader that has taken over", micro.Minute, func() bool {
		l := w.leader()
		return l != nil && l.remembers("") != "away"
	})
	l := w.leader()
	var others []*controllerProc
	for _, p := range w.controllers {
		if p != l {
			others = append(others, p)
		}
	}
	return l, others
}

// remembers is the state of a job in the memory of a leader: "" if it has none,
// "away" if it does not say.
func (p *controllerProc) remembers(id string) string {
	n := p.current()
	if n == nil {
		return "away"
	}
	l := n.leading()
	if l == nil {
		return "away"
	}
	ch := make(chan string, 1)
	l.post(func() {
		if j := l.c.Jobs[id]; j != nil {
			ch <- j.State.String()
		} else {
			ch <- ""
		}
	})
	select {
	case s := <-ch:
		return s
	case <-time.After(time.Second):
		return "away"
	}
}

// looks asks all nodes and repeats the submission at all, for so long.
func (j *job) looks(d micro.Time) {
	for end := j.w.now() + d; j.w.now() < end; j.w.sleep(20 * micro.Millisecond) {
		for _, p := range j.w.controllers {
			go j.poll(p)
			go j.send(p)
		}
	}
}

// settled asks every node once more: all say the same of a job that is over.
func (j *job) settled() {
	j.w.t.Helper()
	s := j.is()
	want := wire.JobDone
	if s.aborted {
		want = wire.JobAborted
	}
	for _, p := range j.w.controllers {
		if got := stateOf(j.poll(p)); got != want {
			j.w.t.Errorf("%s was over (%+v), %s says %q", j.id, s, p.name, got)
		}
	}
}

// A job is cancelled at the leader, which has not heard yet that another node has
// accepted it: that is no reason to call it unknown.
func TestWithdrawalOfAJobThatTheLeaderHasNotHeardOf(t *testing.T) {
	play(t, 1, 3, nil, func(w *simCluster) {
		l, others := w.led()
		w.cutOff(others[0], 20*micro.Second, "peers") // it can't tell the leader
		met := 0
		for range 8 {
			w.sleep(900 * micro.Millisecond)
			j := w.wants(order{kind: wire.Array, tasks: 1, run: 9 * micro.Second})
			if r := j.send(others[0]); r.Status != 201 {
				w.t.Fatalf("%+v", r)
			}
			if l.remembers(j.id) == "" {
				met++
			}
			for _, p := range []*controllerProc{l, others[1]} {
				j.withdraw(p)
				j.poll(p)
				j.send(p)
			}
			j.closely()
			if s := j.cancel(); s != wire.JobAborted {
				w.t.Errorf("%s: %s", j.id, s)
			}
			j.looks(100 * micro.Millisecond)
		}
		if met == 0 {
			w.t.Error("the leader always knew")
		}
	})
}

// A leader that was cut from the store and the other nodes is asked, after its
// jobs were cancelled through the next one.
func TestFormerLeaderIsAskedAboutWhatTheNextOneCancelled(t *testing.T) {
	play(t, 1, 3, nil, func(w *simCluster) {
		old, others := w.led()
		var jobs []*job
		for range 4 {
			jobs = append(jobs, w.wants(order{kind: wire.Array, tasks: 1, run: 5 * micro.Minute}).submit())
		}
		w.until("all run", micro.Minute, func() bool {
			n := 0
			for _, j := range jobs {
				n += j.running()
			}
			return n == len(jobs)
		})
		w.cutOff(old, 40*micro.Second, "state", "peers")
		var next *controllerProc
		w.until("another leads", micro.Minute, func() bool {
			for _, p := range others {
				if n := p.current(); n.leading() != nil {
					next = p
				}
			}
			return next != nil
		})
		for _, j := range jobs {
			w.until("cancelled through the next", micro.Minute, func() bool { return stateOf(j.withdraw(next)) == wire.JobAborted })
			if !old.cutFrom("state") {
				w.t.Error("the cut is over")
			}
			j.looks(200 * micro.Millisecond)
		}
		w.until("the cut over", micro.Minute, w.calm)
		w.sleep(5 * micro.Second)
		for _, j := range jobs {
			j.settled()
		}
	})
}

// The end of a job is stored, and the leader gets no answer; a node that is cut
// from the leader reads it there, and tells the user.
func TestEndIsReadByOthersWhileItsWriterHasNoAnswer(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		t.Run(fmt.Sprint("withdrawn ", withdrawn), func(t *testing.T) {
			play(t, 2, 3, nil, func(w *simCluster) {
				l, others := w.led()
				reader := others[0]
				w.cutOff(reader, 5*micro.Minute, "peers")
				met := 0
				for range 4 {
					j := w.wants(order{kind: wire.Array, tasks: 1, run: 3 * micro.Second}).submit()
					w.meets(l, endKey(j.id), func(n int, _ wire.Change) fake.Fate { return fake.Fate{Mute: n == 1} })
					if withdrawn {
						go j.cancel()
					}
					w.until("the end told", 2*micro.Minute, func() bool { return stateOf(j.poll(reader)).Final() })
					if s := l.remembers(j.id); s != model.Done.String() && s != model.Aborted.String() {
						met++
					}
					j.looks(1500 * micro.Millisecond)
					j.settled()
				}
				if met < 3 {
					w.t.Errorf("the leader knew but in %d of 4", met)
				}
			})
		})
	}
}

// The write of an end gets no answer, and is not there when it is looked for; the
// next try is refused. Then the first is carried out, and read by another node.
func TestEndIsCarriedOutLateAfterItsWriterLookedForIt(t *testing.T) {
	play(t, 3, 3, nil, func(w *simCluster) {
		l, others := w.led()
		reader := others[0]
		w.cutOff(reader, 5*micro.Minute, "peers")
		for range 4 {
			j := w.wants(order{kind: wire.Array, tasks: 1, run: 3 * micro.Second}).submit()
			var mu sync.Mutex
			tries, until := 0, micro.Time(0)
			w.meets(l, endKey(j.id), func(n int, _ wire.Change) fake.Fate {
				mu.Lock()
				defer mu.Unlock()
				if tries = n; n == 1 {
					until = w.now() + 4*micro.Second
					return fake.Fate{Mute: true, After: 2 * micro.Second}
				}
				return fake.Fate{Refused: w.now() < until}
			})
			w.until("the end told", 2*micro.Minute, func() bool { return stateOf(j.poll(reader)).Final() })
			mu.Lock()
			if s := l.remembers(j.id); tries < 2 || s != model.Finishing.String() {
				w.t.Errorf("%d tries, the leader has %s", tries, s)
			}
			mu.Unlock()
			j.looks(2 * micro.Second)
			w.sleep(3 * micro.Second)
			j.settled()
		}
	})
}

// placesIn is how many places a record names.
func placesIn(c wire.Change) int {
	switch r := c.Value.(type) {
	case model.ChunkRecord:
		return len(r.Places)
	case model.CompactRecord:
		return len(r.Places)
	}
	return 0
}

// The first record of a job is carried out after newer ones of the same leader,
// which ends then, while the job's machines reach no node: were the old record
// taken, the next leader would start a task that runs.
func TestRecordsAreNotOverwrittenByOlderOnesThatCameLate(t *testing.T) {
	met := 0
	for seed := range uint64(4) {
		play(t, seed, 3, func(w *simCluster) { w.quick = true }, func(w *simCluster) {
			l, _ := w.led()
			j := w.wants(order{kind: wire.Array, tasks: 3, cpus: 4, run: 2 * micro.Minute})
			var mu sync.Mutex
			first, newest, late := 0, 0, micro.Time(0)
			w.meets(l, "run/"+j.id+"/", func(n int, c wire.Change) fake.Fate {
				mu.Lock()
				defer mu.Unlock()
				newest = placesIn(c)
				if n > 1 {
					return fake.Fate{}
				}
				first, late = newest, w.now()+25*micro.Second
				return fake.Fate{Mute: true, After: 25 * micro.Second}
			})
			j.submit()
			w.until("all run", 24*micro.Second, func() bool { return j.running() == 3 })
			mu.Lock()
			if first < newest {
				met++
			}
			at := late
			mu.Unlock()
			w.sleep(at - w.now() - 100*micro.Millisecond)
			for _, h := range w.hosts() {
				h.silence(30 * micro.Second)
			}
			w.sleep(500 * micro.Millisecond)
			w.restart(l, 5*micro.Second)
			w.until("done", 8*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
		})
	}
	if met < 2 {
		t.Errorf("the late record lacked places in %d of 4 simulations", met)
	}
}

// The store is slow to answer a node that is cut from the others, and reads it for
// every poll. An answer that a job is not over comes no later after another node said
// that it is than a read may take whose answer is still worth telling.
func TestSlowReadsAreNotToldOnceTheyAreOld(t *testing.T) {
	play(t, 5, 3, nil, func(w *simCluster) {
		l, others := w.led()
		reader := others[0]
		w.cutOff(reader, 5*micro.Minute, "peers")
		late, answers, across := micro.Time(0), 0, 0
		var jobs []*job
		for i := range 12 {
			j := w.wants(order{kind: wire.Array, tasks: 1, run: 4 * micro.Second}).submit()
			jobs = append(jobs, j)
			w.slowFor([]*controllerProc{reader}, []micro.Time{350 * micro.Millisecond, 700 * micro.Millisecond}[i%2], 14*micro.Second)
			var mu sync.Mutex
			told := micro.Time(0)
			if i%4 > 1 {
				time.AfterFunc(w.between(micro.Second, 6*micro.Second), func() { j.cancel() })
			}
			ask := func(p *controllerProc) {
				began := w.now()
				s := stateOf(j.poll(p))
				mu.Lock()
				defer mu.Unlock()
				if p == reader && told > began {
					across++
				}
				switch {
				case s.Final() && told == 0:
					told = w.now()
				case s != "" && !s.Final():
					if p == reader {
						answers++
					}
					if told > 0 {
						late = max(late, w.now()-told)
					}
				}
			}
			for end := w.now() + 13*micro.Second; w.now() < end; w.sleep(20 * micro.Millisecond) {
				go ask(l)
				go ask(reader)
			}
			w.sleep(3 * micro.Second)
		}
		w.until("calm", 6*micro.Minute, w.calm)
		w.sleep(10 * micro.Second)
		for _, j := range jobs {
			w.until(j.id+" over", 2*micro.Minute, func() bool { return stateOf(j.poll(reader)).Final() })
			j.settled()
		}
		w.t.Logf("%d answers read in time, %d reads under way when the end was told, the oldest told %.3f s after it", answers, across, late.Seconds())
		if answers == 0 || across == 0 {
			w.t.Error("no answer was read in time, or no read was under way at the end")
		}
		if late > freshRead {
			w.t.Errorf("a job was called unfinished %.3f s after it was called over", late.Seconds())
		}
	})
}

// Jobs are cancelled, asked for and submitted again at the end of their last task,
// with no other trouble; the store and the workers take their usual time. Each has one end, and all
// nodes name it for ever.
func TestCancellationMeetsTheEndOfTheLastTask(t *testing.T) {
	play(t, 6, 3, nil, func(w *simCluster) {
		w.led()
		w.slow(150*micro.Millisecond, 10*micro.Minute)
		w.slowWorkers(100*micro.Millisecond, 10*micro.Minute)
		var jobs []*job
		var wg sync.WaitGroup
		for i := range 60 {
			j := w.wants(order{kind: wire.Array, tasks: 1, run: 3 * micro.Second, cpus: 1, team: []string{"team", "other"}[i%2]}).submit()
			jobs = append(jobs, j)
			wg.Add(1)
			before := w.between(0, 600*micro.Millisecond)
			go func() {
				defer wg.Done()
				w.until(j.id+" runs", 3*micro.Minute, func() bool { return j.running() > 0 })
				time.Sleep(3*time.Second - 300*time.Millisecond + before)
				go j.closely()
				j.cancel()
				j.closely()
			}()
			w.sleep(500 * micro.Millisecond)
		}
		wg.Wait()
		l, _ := w.led()
		w.restart(l, 2*micro.Second)
		w.sleep(20 * micro.Second)
		done := 0
		for _, j := range jobs {
			j.settled()
			if j.is().done {
				done++
			}
		}
		ev, err := w.store.Watch(w.ctx, "job/", 0, 0)
		if err != nil {
			w.t.Fatal(err)
		}
		ends := map[string]int{}
		for _, e := range ev.Events {
			ends[e.Put]++
		}
		for _, j := range jobs {
			if n := ends[endKey(j.id)]; n != 1 {
				w.t.Errorf("%s has %d ends", j.id, n)
			}
		}
		w.t.Logf("%d of %d done, the others cancelled", done, len(jobs))
		if done < 10 || done > 50 {
			w.t.Errorf("%d of 60 are done: the cancellations missed the ends", done)
		}
	})
}

// Users look closely at whatever was just accepted, has ended or was cancelled,
// while answers to writes are lost and the leader changes.
func TestUsersLookCloselyWhileAnswersAreLostAndLeadersChange(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed+10, 3+int(seed%3), nil, func(w *simCluster) {
				w.led()
				w.unsure([]float64{0, 0.15}[seed%2], 0.3, 80*micro.Second)
				if seed%3 == 2 {
					w.cutOff(w.controllers[0], 60*micro.Second, "peers")
				}
				var wg sync.WaitGroup
				var jobs []*job
				for i := range 30 {
					j := w.wants(order{kind: wire.Array, tasks: 1 + i%2, run: 2 * micro.Second, team: []string{"team", "other"}[i%2]})
					jobs = append(jobs, j)
					wg.Add(1)
					go func() {
						defer wg.Done()
						j.submit()
						j.closely()
						if i%3 == 0 {
							j.cancel()
						}
						for range 600 {
							if s := j.is(); s.done || s.aborted {
								break
							}
							for _, p := range w.controllers {
								go j.poll(p)
							}
							w.sleep(200 * micro.Millisecond)
						}
						j.closely()
						j.closely()
					}()
					w.sleep(2 * micro.Second)
					if i%8 == 7 {
						if l := w.leader(); l != nil {
							w.restart(l, 3*micro.Second)
						}
					}
				}
				wg.Wait()
				w.until("calm", 3*micro.Minute, w.calm)
				w.sleep(10 * micro.Second)
				for _, j := range jobs {
					j.settled()
				}
			})
		})
	}
}
