package controller

import (
	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/wire"
)

// What owners tell the leader, and what it answers.

// answerTouch answers another node's owner.
func (n *Node) answerTouch(l *Lead, body []byte) (int, []byte) {
	reply, ok := l.touched(body)
	if !ok {
		return 503, nil
	}
	return 200, wire.MustMarshal(reply)
}

// touched takes in what an owner tells, and answers it.
func (l *Lead) touched(body []byte) (share.Reply, bool) {
	var t share.Touch
	if l.sharing == nil || wire.Unmarshal(body, &t) != nil {
		return share.Reply{}, false
	}
	r, ok := l.ask(l.events, touchWait, func(reply func(front.Reply)) {
		reply(front.Reply{Body: l.takeTouch(&t, l.n.Now())})
	})
	if !ok {
		return share.Reply{}, false
	}
	return r.Body.(share.Reply), true
}

// takeTouch is touched, in the loop.
func (l *Lead) takeTouch(t *share.Touch, now micro.Time) share.Reply {
	reply := share.Reply{Term: l.term.Stamp, Ends: map[string]string{}, Kept: map[string]int64{}}
	owner := share.Controller{Node: t.Node, Session: wire.Count(t.Session)}
	for i := range t.Shares {
		s := &t.Shares[i]
		e, ok := l.table().Get(s.Name)
		if ok && e.Away() && e.Record.Owner == owner {
			l.takeShareTouch(e, s, t.Term, now)
		}
		l.replyTo(s, &reply)
	}
	for _, zone := range append([]string{""}, l.n.Cfg.Facts.Zones...) {
		if until := max(l.c.Kept[zone], l.ledger.Until(zone, now)); until > 0 {
			reply.Kept[zone] = int64(now - until)
		}
	}
	for zone := range l.c.Away {
		reply.Away = append(reply.Away, zone)
	}
	return reply
}

// takeShareTouch takes in what the owner of a share tells of it.
func (l *Lead) takeShareTouch(e share.Entry, s *share.ShareTouch, term uint64, now micro.Time) {
	v := l.view(e.Name)
	v.machines, v.empty, v.waiting = s.Machines, s.Empty, s.Unassigned
	v.unreached, v.demand = s.Unreached, s.Demand
	if s.Machines > 0 {
		v.handovers = 0
	}
	if s.Seen >= v.latest {
		// The owner knows of all that it was given: its room is net of that.
		v.room, v.roomAt, v.seen = s.Room, now, s.Seen
	}
	for _, id := range s.Finished {
		if j := l.c.Jobs[id]; j != nil && j.Share == e.Name {
			l.c.Finish(j)
		}
	}
	for _, x := range s.Stopped {
		l.stoppedInShare(e.Name, x, now)
	}
	for _, p := range s.Progress {
		if j := l.c.Jobs[p.Job]; j != nil && j.Share == e.Name && j.State == model.Assigned {
			j.SharedDid, j.SharedRun = p.Done, p.Running
			l.needInShare(j, p.Need)
		}
	}
	if term == l.term.Stamp {
		for _, name := range s.Up {
			l.upInShare(name)
		}
		if v.toldAllAt == 0 && len(s.Up) < maxTold {
			v.toldAllAt = now
		}
	}
	for _, name := range s.Return {
		if !l.c.Departed(name) {
			m := l.c.Machine(name, now)
			m.Foreign = true
			l.giveBack(m, "its share's owner wants it returned")
		}
	}
}

// upInShare notes a machine that reports to the owner of its share.
func (l *Lead) upInShare(name string) {
	if m := l.c.Machines[name]; m != nil && m.Foreign {
		l.c.Become(m, model.Up, "its share's owner says so")
	}
}

// replyTo answers for the jobs and machines that an owner named, whoever owns them now.
func (l *Lead) replyTo(s *share.ShareTouch, reply *share.Reply) {
	for _, id := range s.Finished {
		l.replyEnd(id, reply)
	}
	for _, x := range s.Stopped {
		l.replyEnd(x.Job, reply)
	}
	for _, name := range s.Return {
		if l.c.Departed(name) {
			reply.Gone = append(reply.Gone, name)
		}
	}
}

func (l *Lead) replyEnd(id string, reply *share.Reply) {
	end, over := l.c.Ends[id]
	switch {
	case !over:
	case end.Aborted:
		reply.Ends[id] = string(wire.JobAborted)
	default:
		reply.Ends[id] = string(wire.JobDone)
	}
}
