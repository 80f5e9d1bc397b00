package controller

import (
	"sync"
	"time"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// host is a machine with its worker.
type host struct {
	cluster *simCluster

	mu      sync.Mutex
	w       *fake.Worker
	booted  bool
	gone    bool
	hung    micro.Time    // it stands still until then
	deafTo  micro.Time    // nothing that is sent to it arrives until then
	muteTo  micro.Time    // it reaches no controller until then
	holds   bool          // the network holds up the next direct order
	held    []wire.Orders // those that it holds up
	reports [][]byte      // in the order in which they were sent
	since   map[fake.Key]micro.Time
	at      int // the node it reports to
	sending bool
	next    micro.Time
	last    micro.Time
	changed bool
}

// fetchFor is how long an image takes.
const fetchFor = micro.Second

func (h *host) boot() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return
	}
	h.booted = true
	h.w.Sent = h.cluster.now()
	h.w.Refuse = h.refuse
}

// die takes the machine away with all that is on it.
func (h *host) die() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = true
	clear(h.w.Tasks)
	h.tell()
}

func (h *host) alive() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.booted && !h.gone }

func (h *host) deaf() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.cluster.now() < h.deafTo }

func (h *host) mute() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.cluster.now() < h.muteTo }

// hang lets the machine stand still; deafen and silence cut one way of its talk.
func (h *host) hang(d micro.Time) {
	h.mu.Lock()
	h.hung = h.cluster.now() + d
	h.mu.Unlock()
}

func (h *host) deafen(d micro.Time) { h.mu.Lock(); h.deafTo = h.cluster.now() + d; h.mu.Unlock() }

func (h *host) silence(d micro.Time) { h.mu.Lock(); h.muteTo = h.cluster.now() + d; h.mu.Unlock() }

// wake waits while the machine stands still.
func (h *host) wake() {
	for {
		h.mu.Lock()
		d := h.hung - h.cluster.now()
		h.mu.Unlock()
		if d <= 0 {
			return
		}
		time.Sleep(d.Std())
	}
}

// refuse is why a start is refused.
func (h *host) refuse(task string) wire.Cause {
	id, _, _ := wire.SplitTask(task)
	spec, ok := h.cluster.check.spec(id)
	if !ok {
		return wire.CauseUnknown
	}
	room := h.cluster.check.types[h.w.Type].CPUs
	for k, t := range h.w.Tasks {
		if t.State == wire.TaskExited {
			continue
		}
		if k.Task == task {
			return wire.CauseBusy
		}
		other, _, _ := wire.SplitTask(k.Task)
		o, _ := h.cluster.check.spec(other)
		room -= o.CPUs
	}
	if room < spec.CPUs-1e-9 {
		return wire.CauseNoRoom
	}
	return ""
}

// direct takes orders that came by themselves.
func (h *host) direct(o wire.Orders) (*wire.Report, bool, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.booted || h.gone {
		return nil, false, false
	}
	h.expire()
	was := h.w.Token
	r, ok := h.w.Direct(o)
	h.changed = h.changed || h.w.Token > was
	h.tell()
	return r, ok, true
}

// expire ends the session if the lease ran out.
func (h *host) expire() {
	if h.w.Expire(h.cluster.now()) {
		h.changed = true
		h.tell()
	}
}

// tell shows the checker what is on the machine; the caller holds the lock.
func (h *host) tell() {
	now := h.cluster.now()
	for k, t := range h.w.Tasks {
		if _, ok := h.since[k]; !ok && t.State != wire.TaskExited {
			h.since[k] = now
			h.changed = true
			if h.cluster.starts != nil {
				h.cluster.starts(h, k)
			}
		}
	}
	for k := range h.since {
		if h.w.Tasks[k] == nil {
			delete(h.since, k)
		}
	}
	h.cluster.check.machine(h)
}

// step is a tenth of a second of the machine.
func (h *host) step() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cluster.now()
	if !h.booted || h.gone {
		return
	}
	h.expire()
	if now < h.hung {
		return
	}
	for k, t := range h.w.Tasks {
		id, index, _ := wire.SplitTask(k.Task)
		j := h.cluster.check.job(id)
		if j == nil {
			continue
		}
		switch {
		case t.State == wire.TaskFetching && now-h.since[k] >= fetchFor:
			t.State = wire.TaskRunning
			if j.spec.Kind == wire.Gang {
				t.State = wire.TaskWaiting
			}
			h.since[k], h.changed = now, true
		case t.State == wire.TaskRunning && j.broken && now-h.since[k] >= micro.Second:
			h.exit(k, t, wire.CauseError)
		case t.State == wire.TaskRunning && j.spec.Kind == wire.Array && now-h.since[k] >= j.run+micro.Time(index)*j.apart:
			h.exit(k, t, wire.CauseDone)
			h.cluster.check.completed(id, index)
		}
	}
	h.tell()
	if !h.sending && (now >= h.next || h.changed && now-h.last >= 500*micro.Millisecond) {
		h.sending, h.changed, h.last = true, false, now
		r := h.w.Report()
		if h.cluster.tapes() {
			h.reports = append(h.reports, wire.MustMarshal(r))
		}
		go h.report(r, wire.MustMarshal(r), now)
	}
}

func (h *host) exit(k fake.Key, t *wire.TaskReport, cause wire.Cause) {
	t.State, t.Cause = wire.TaskExited, cause
	h.changed = true
}

// report sends one report and takes its answer.
func (h *host) report(r *wire.Report, body []byte, sent micro.Time) {
	w := h.cluster
	h.mu.Lock()
	to := w.controllers[h.at]
	h.mu.Unlock()
	var got front.Reply
	ok := false
	if h.mute() || w.parted(h.w.Zone, to.zone) {
		time.Sleep(4 * time.Second)
	} else {
		got, ok = w.call(to, "workers", 4*time.Second, func(n *Node) front.Reply {
			w.travel()
			defer w.travel()
			return n.Beat(body)
		})
		if w.chance(w.share) {
			w.again(body)
		}
		if h.deaf() || w.parted(h.w.Zone, to.zone) {
			time.Sleep(max(0, 4*time.Second-(w.now()-sent).Std()))
			ok = false
		}
	}
	h.wake()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := w.now()
	h.sending = false
	wait := micro.Of(reportS*0.75) + micro.Time(w.between(0, micro.Of(reportS/2.))/time.Microsecond)
	h.next = now + wait
	if h.gone {
		return
	}
	h.expire()
	late := now-sent > 4*micro.Second
	switch o := got.Body.(type) {
	case wire.Orders:
		if ok && !late && got.Status == 200 {
			if h.w.Session == uint64(r.Session) {
				was := h.w.Token
				h.w.Answer(o, sent)
				h.changed = h.changed || h.w.Token > was
				h.tell()
			}
			return
		}
	case wire.Redirect:
		if ok && !late && got.Status == 421 {
			for i, p := range w.controllers {
				if p.name == o.Leader && i != h.at {
					h.at, h.next = i, now+200*micro.Millisecond
					return
				}
			}
		}
	}
	w.vain.Add(1)
	h.at, h.next = (h.at+1)%len(w.controllers), now+micro.Second
}

// again delivers a copy of a report once more, much later, to any node, or to
// all just as another leader has begun.
func (w *simCluster) again(body []byte) {
	w.mu.Lock()
	most := w.copies
	w.mu.Unlock()
	if most == 0 {
		return
	}
	if w.chance(0.5) {
		was := w.leader()
		go func() {
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				if l := w.leader(); w.ctx.Err() != nil || l != nil && l != was {
					break
				}
			}
			for _, p := range w.controllers {
				if n := p.current(); n != nil && w.ctx.Err() == nil {
					n.Beat(body)
				}
			}
		}()
		return
	}
	time.AfterFunc(w.between(2*micro.Second, most), func() {
		if n := w.controllers[w.drawn(len(w.controllers))].current(); n != nil && w.ctx.Err() == nil {
			n.Beat(body)
		}
	})
}

// gangs lets the tasks of gangs find each other.
func (w *simCluster) gangs() {
	type member struct {
		h     *host
		k     fake.Key
		index int
	}
	type attempt struct {
		id  string
		try uint64
	}
	now := w.now()
	all := map[attempt][]member{}
	for _, h := range w.hosts() {
		h.mu.Lock()
		for k, t := range h.w.Tasks {
			id, index, _ := wire.SplitTask(k.Task)
			if j := w.check.job(id); j != nil && j.spec.Kind == wire.Gang && (t.State == wire.TaskWaiting || t.State == wire.TaskRunning) && now >= h.hung {
				all[attempt{id, k.Attempt}] = append(all[attempt{id, k.Attempt}], member{h, k, index})
			}
		}
		h.mu.Unlock()
	}
	for a, ms := range all {
		j := w.check.job(a.id)
		whole := len(ms) == j.spec.Tasks
		for _, m := range ms {
			m.h.mu.Lock()
			t := m.h.w.Tasks[m.k]
			switch {
			case t == nil || t.State == wire.TaskExited:
			case t.State == wire.TaskWaiting && whole:
				t.State, m.h.since[m.k], m.h.changed = wire.TaskRunning, now, true
			case t.State == wire.TaskWaiting && now-m.h.since[m.k] > 40*micro.Second:
				m.h.exit(m.k, t, wire.CauseAlone)
			case t.State == wire.TaskRunning && !whole && now-m.h.since[m.k] > 5*micro.Second:
				m.h.exit(m.k, t, wire.CausePeers)
			case t.State == wire.TaskRunning && whole && now-m.h.since[m.k] >= j.run:
				m.h.exit(m.k, t, wire.CauseDone)
				for i := range j.spec.Tasks {
					w.check.completed(a.id, i)
				}
			}
			m.h.tell()
			m.h.mu.Unlock()
		}
	}
}
