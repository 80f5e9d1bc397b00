package controller

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The troubles of a simulation. Each begins and ends by itself, and counts as long as
// it lasts.

// trouble runs one, and notes when it is over: after a while, or when what it
// returns is called.
func (w *simCluster) trouble(d micro.Time, on, off func()) func() {
	w.mu.Lock()
	w.active++
	w.mu.Unlock()
	on()
	var once sync.Once
	over := func() {
		once.Do(func() {
			off()
			w.mu.Lock()
			w.active--
			w.mu.Unlock()
		})
	}
	time.AfterFunc(d.Std(), over)
	return over
}

// calm reports whether no trouble is left.
func (w *simCluster) calm() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.active == 0 }

// outage takes the store from all nodes.
func (w *simCluster) outage(d micro.Time) {
	w.trouble(d, func() { w.store.Outage(true) }, func() { w.store.Outage(false) })
}

// refuse has the store refuse one node for a while.
func (w *simCluster) refuse(p *controllerProc, d micro.Time) {
	w.trouble(d, func() { p.refuse(true) }, func() { p.refuse(false) })
}

// cutOff keeps some of its surroundings from a node for a while.
func (w *simCluster) cutOff(p *controllerProc, d micro.Time, what ...string) {
	w.trouble(d, func() { p.cut(true, what...) }, func() { p.cut(false, what...) })
}

// cutZone keeps a zone's nodes and workers from everything outside.
func (w *simCluster) cutZone(zone string, d micro.Time) func() {
	set := func(on bool) func() {
		return func() {
			w.mu.Lock()
			w.away[zone] = on
			w.mu.Unlock()
			for _, p := range w.controllers {
				if p.zone == zone {
					p.cut(on, "state", "users", "cloud")
				}
			}
		}
	}
	return w.trouble(d, set(true), set(false))
}

// unsure has a share of the commits carried out late, or their answers lost: of
// some nodes, or of all if none is named.
func (w *simCluster) unsure(late, lost float64, d micro.Time, only ...*controllerProc) {
	if only == nil {
		only = w.controllers
	}
	set := func(a, b float64) func() {
		return func() {
			for _, p := range only {
				p.mu.Lock()
				if p.link != nil {
					p.link.Unsure(a, b)
				}
				p.mu.Unlock()
			}
		}
	}
	w.trouble(d, set(late, lost), set(0, 0))
}

// meets says what befalls the commits of one process that put a key of a prefix:
// the first of them, the second, and so on.
func (w *simCluster) meets(p *controllerProc, prefix string, fate func(n int, c wire.Change) fake.Fate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	p.link.Meets(func(t wire.Txn) fake.Fate {
		for _, c := range t.Then {
			if strings.HasPrefix(c.Put, prefix) {
				n++
				return fate(n, c)
			}
		}
		return fake.Fate{}
	})
}

// slow makes the store slow for all.
func (w *simCluster) slow(delay, d micro.Time) { w.slowFor(w.controllers, delay, d) }

// slowFor makes it slow for some nodes.
func (w *simCluster) slowFor(procs []*controllerProc, delay, d micro.Time) {
	set := func(x micro.Time) func() {
		return func() {
			for _, p := range procs {
				p.mu.Lock()
				if p.link != nil {
					p.link.Delay(x)
				}
				p.mu.Unlock()
			}
		}
	}
	w.trouble(d, set(delay), set(0))
}

// slowWorkers makes every report, direct command and answer of workers take half
// to one and a half times so long.
func (w *simCluster) slowWorkers(delay, d micro.Time) {
	set := func(x micro.Time) func() { return func() { w.mu.Lock(); w.way = x; w.mu.Unlock() } }
	w.trouble(d, set(delay), set(0))
}

// travel is one way between a worker and a node.
func (w *simCluster) travel() {
	w.mu.Lock()
	d := w.way
	w.mu.Unlock()
	if d > 0 {
		time.Sleep(w.between(d/2, d+d/2))
	}
}

// stale has copies of reports come late.
func (w *simCluster) stale(share float64, most, d micro.Time) {
	set := func(s float64, m micro.Time) func() {
		return func() {
			w.mu.Lock()
			w.share, w.copies = s, m
			w.mu.Unlock()
		}
	}
	w.trouble(d, set(share, most), set(0, most))
}

// holdUp has the network hold up the next direct order to a machine, until it is
// released: long after its sender gave up, and after what was sent later.
func (h *host) holdUp() { h.mu.Lock(); h.holds = true; h.mu.Unlock() }

func (h *host) holdsUp(o wire.Orders) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.holds || len(o.Orders) == 0 {
		return false
	}
	h.holds, h.held = false, append(h.held, o)
	return true
}

// release delivers what was held up, and reports whether the machine took it.
func (h *host) release() bool {
	h.mu.Lock()
	held := h.held
	h.held, h.holds = nil, false
	h.mu.Unlock()
	took := false
	for _, o := range held {
		_, ok, there := h.direct(o)
		took = took || ok && there
	}
	return took
}

func (h *host) heldUp() int { h.mu.Lock(); defer h.mu.Unlock(); return len(h.held) }

// tape keeps what all machines report from now on.
func (w *simCluster) tape() { w.mu.Lock(); w.taping = true; w.mu.Unlock() }

// late delivers a copy of the machine's last report from before a job's task was
// on it to every node, and lateWith one of the last that shows the task.
func (h *host) late(j *job) { h.resend(j, false) }

func (h *host) lateWith(j *job) { h.resend(j, true) }

func (h *host) resend(j *job, with bool) {
	h.cluster.t.Helper()
	var body []byte
	h.mu.Lock()
	for _, r := range h.reports {
		if bytes.Contains(r, []byte(j.id+"/")) == with {
			body = r
		} else if body != nil {
			break
		}
	}
	h.mu.Unlock()
	if r, err := wire.DecodeReport(body); err != nil || r.Token == 0 {
		h.cluster.t.Fatal("no such report that shows a token")
	}
	for _, p := range h.cluster.controllers {
		if n := p.current(); n != nil {
			n.Beat(body)
		}
	}
}

// isolate cuts a machine off both ways.
func (h *host) isolate(d micro.Time) { h.silence(d); h.deafen(d) }

// term names the term of whoever leads, 0 if nobody does.
func (w *simCluster) term() uint64 {
	if p := w.leader(); p != nil {
		if l := p.current().leading(); l != nil {
			return l.term.Stamp
		}
	}
	return 0
}

// depose ends the leader's process, which is back after a while, and waits until
// another term has begun.
func (w *simCluster) depose(back micro.Time) {
	w.t.Helper()
	was := w.term()
	if was == 0 {
		w.t.Fatal("nobody leads")
	}
	w.restart(w.leader(), back)
	w.until("another term", 20*micro.Second, func() bool { x := w.term(); return x != 0 && x != was })
}

// some draws machines.
func (w *simCluster) some(n int) []*host {
	hs := w.hosts()
	var out []*host
	for range min(n, len(hs)) {
		out = append(out, hs[w.drawn(len(hs))])
	}
	return out
}

// troubles draws them until a day is over.
func (w *simCluster) troubles(day micro.Time) {
	nothing := func() {}
	for w.now() < day-60*micro.Second && w.ctx.Err() == nil {
		time.Sleep(w.between(2*micro.Second, 20*micro.Second))
		p := w.controllers[w.drawn(len(w.controllers))]
		if l := w.leader(); l != nil && w.chance(0.7) {
			p = l
		}
		d := micro.Time(w.between(2*micro.Second, 50*micro.Second) / time.Microsecond)
		w.log("simulation").Debug("trouble drawn", "node", p.name, "for_s", d.Seconds())
		switch w.drawn(18) {
		case 0:
			w.outage(micro.Time(w.between(2*micro.Second, 70*micro.Second) / time.Microsecond))
		case 1:
			w.refuse(p, d)
			if w.chance(0.5) {
				time.Sleep(w.between(0, 8*micro.Second))
				w.outage(micro.Time(w.between(50*micro.Second, 70*micro.Second) / time.Microsecond))
			}
		case 2, 3:
			after := micro.Time(w.between(100*micro.Millisecond, 8*micro.Second) / time.Microsecond)
			w.trouble(after+micro.Second, func() { w.restart(p, after) }, nothing)
		case 4:
			after := micro.Time(w.between(100*micro.Millisecond, 40*micro.Second) / time.Microsecond)
			w.trouble(after+10*micro.Second, func() {
				for _, p := range w.controllers {
					w.restart(p, after+micro.Time(w.between(0, micro.Second)/time.Microsecond))
				}
			}, nothing)
		case 5:
			w.cutOff(p, d, "state", "peers")
		case 6:
			w.cutOff(p, d, [][]string{{"workers"}, {"peers"}, {"state"}, {"state", "peers", "workers", "users", "cloud"}}[w.drawn(4)]...)
		case 7:
			w.cutZone([]string{"a", "b"}[w.drawn(2)], d)
		case 8:
			w.unsure(0.3, 0, d)
		case 9:
			w.unsure(0, 0.3, d)
		case 10:
			w.slow(600*micro.Millisecond, d)
		case 11:
			w.stale(0.2, 45*micro.Second, d)
		case 12:
			hs := w.some(3)
			w.trouble(d, func() {
				for _, h := range hs {
					h.hang(d)
				}
			}, nothing)
		case 13:
			hs := w.some(2)
			w.trouble(d, func() {
				for _, h := range hs {
					if w.chance(0.5) {
						h.deafen(d)
					} else {
						h.silence(d)
					}
				}
			}, nothing)
		case 14:
			for _, h := range w.some(1) {
				h.die()
			}
		case 15:
			w.trouble(d, func() { p.freeze(d) }, nothing)
		case 16: // orders held up on their way, and delivered long after
			hs := w.some(3)
			w.trouble(d, func() {
				for _, h := range hs {
					h.holdUp()
				}
			}, func() {
				for _, h := range hs {
					h.release()
				}
			})
		case 17:
			if w.chance(0.3) {
				for _, h := range w.hosts() {
					if w.chance(0.8) {
						h.die()
					}
				}
			}
		}
	}
}
