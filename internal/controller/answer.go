package controller

import (
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// maxDirects bounds the direct orders under way: each takes a socket.
const maxDirects = 96

// unsure reports whether the end of a job, or of one that it needs, may be in the
// store without this leader knowing: its write went out, and has no answer yet.
// Another node may have read it there, and told the user.
func (l *Lead) unsure(j *model.Job) bool {
	if l.records.unsure(j.Spec.ID) {
		return true
	}
	if j.State != model.Awaiting {
		return false
	}
	seen := map[*model.Job]bool{j: true}
	for list := []*model.Job{j}; len(list) > 0; {
		x := list[len(list)-1]
		list = list[:len(list)-1]
		for _, id := range x.Spec.Needs {
			n := l.c.Jobs[id]
			if n == nil || n.Over() || seen[n] {
				continue
			}
			if l.records.unsure(id) {
				return true
			}
			seen[n] = true
			list = append(list, n)
		}
	}
	return false
}

// withdraw cancels a job: its end is created before anyone is told.
func (l *Lead) withdraw(id string) front.Reply {
	r, ok := l.ask(l.events, 1500*micro.Millisecond, func(reply func(front.Reply)) {
		j := l.c.Jobs[id]
		switch {
		case j == nil:
			reply(front.Reply{Status: 404})
		case j.State == model.Done || j.State == model.Aborted:
			reply(front.Reply{Status: 200, Body: j.Status()})
		default:
			ch := make(chan front.Reply, 1)
			l.waiters[id] = append(l.waiters[id], ch)
			go func() {
				select {
				case r := <-ch:
					reply(r)
				case <-l.done:
				}
			}()
			switch j.State {
			case model.Active, model.Awaiting:
				l.leave(j)
			case model.Assigned:
				l.leaveShare(j)
			}
		}
	})
	if !ok {
		return front.Later(503, 1)
	}
	return r
}

// ended settles a job whose end is in the store.
func (l *Lead) ended(j *model.Job, state wire.JobState) {
	now := l.n.Now()
	l.c.End(j, state == wire.JobAborted, now)
	if state == wire.JobDone && len(l.c.Order) > 0 {
		l.speeds.Finish(j.Spec.ID, l.c.Order[0].Name)
	} else {
		l.speeds.Forget(j.Spec.ID)
	}
	if j.HeldN > 0 && state == wire.JobAborted {
		l.unproven[j] = true
	}
	l.log.Info("job over", "job", j.Spec.ID, "state", string(state), "after_s", (now - j.Submitted).Seconds(), "since_s", (now - j.Since).Seconds())
	for _, ch := range j.Chunks {
		l.Touch(ch)
	}
	for _, ch := range l.waiters[j.Spec.ID] {
		ch <- front.Reply{Status: 200, Body: j.Status()}
	}
	delete(l.waiters, j.Spec.ID)
}

// maxOrders bounds the orders in one message.
const maxOrders = 400

// beat answers a worker's report.
func (l *Lead) beat(r *wire.Report) front.Reply {
	from := l.n.Now()
	rep, ok := l.ask(l.events, 2*micro.Second, func(reply func(front.Reply)) {
		now := l.n.Now()
		if !l.valid() || l.answersNot(r) {
			reply(front.Later(503, 1))
			return
		}
		l.reports++
		l.noteWait(now-from, now)
		m, verdict := l.c.Apply(r, model.Beat, now)
		if m == nil || verdict == model.Refused || verdict == model.Stale && uint64(r.Session) != m.Session {
			reply(front.Later(503, 1))
			return
		}
		if m.Unproven(l.token) {
			l.kicked[m] = true
		}
		orders := l.c.Orders(m, l.token, false, now)
		if len(orders) > maxOrders {
			orders = orders[:maxOrders]
		}
		if now-from < promptly {
			l.c.Told(m, l.token)
		} else {
			l.c.Told(m, 0) // the worker may have given up waiting
		}
		reply(front.Reply{Status: 200, Body: wire.Orders{Token: wire.Count(l.token), Orders: orders}})
	})
	if !ok {
		return front.Later(503, 1)
	}
	return rep
}

// promptly is how soon an answer must be ready to count as one that the worker
// takes.
const promptly = micro.Second

// direct sends a machine its orders without waiting for its next report.
func (l *Lead) direct(m *model.Machine, now micro.Time) {
	unproven := m.Unproven(l.token)
	if m.State != model.Up && !unproven || m.Addr == "" {
		return
	}
	if m.Busy {
		m.Again = true
		return
	}
	if m.RetryAt > now {
		return // the next report brings them
	}
	var orders []wire.Order
	if unproven {
		// Its next report, which would show the token, may be long in coming: a
		// worker reports at once of a newer token only now and then. An answer
		// to an empty order shows it as well.
		orders = []wire.Order{}
	} else if orders = l.c.Orders(m, l.token, true, now); len(orders) == 0 {
		return
	}
	if len(orders) > maxOrders {
		orders = orders[:maxOrders]
	}
	m.Busy, m.Again = true, false
	l.directs++
	msg := wire.Orders{Token: wire.Count(l.token), Session: wire.Count(m.Session), Orders: orders}
	addr := m.Addr
	go func() {
		if !l.valid() {
			l.post(func() { l.directs--; m.Busy = false })
			return
		}
		r, executed, err := l.n.Agent.Send(addr, msg)
		l.post(func() {
			m.Busy = false
			l.directs--
			now := l.n.Now()
			if err != nil {
				l.log.Debug("direct orders", "machine", m.Name, "err", err)
				m.RetryAt, m.Mute = now+2*micro.Second, true
				return
			}
			if r.Machine == m.Name {
				l.c.Apply(r, model.Answer, now)
			}
			if m.Again || !executed {
				l.kicked[m] = true
			}
			if !executed {
				m.RetryAt = now + 500*micro.Millisecond
			}
		})
	}()
}
