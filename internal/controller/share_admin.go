package controller

import (
	"fmt"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/wire"
)

// adminWait is how long an operator's command may take.
const adminWait = 2 * micro.Second

// answerAdmin answers an operator's command at any node: the leader carries it out.
func (n *Node) answerAdmin(body []byte) (int, []byte) {
	var c share.Command
	if wire.Unmarshal(body, &c) != nil {
		return 400, nil
	}
	if n.shares == nil {
		return 200, wire.MustMarshal(share.CommandReply{Refused: "this controller runs without shares (serve --feature)"})
	}
	if l := n.leading(); l != nil {
		return 200, wire.MustMarshal(l.command(&c))
	}
	leader := n.election.Leader()
	if leader == "" || leader == n.Cfg.Node {
		return 503, nil
	}
	status, out, err := n.ask(leader, peer.Admin, body, adminWait)
	if err != nil {
		return 503, nil
	}
	return status, out
}

// command carries out an operator's command.
func (l *Lead) command(c *share.Command) share.CommandReply {
	r, ok := l.ask(l.events, adminWait, func(reply func(front.Reply)) {
		l.carryOut(c, func(r share.CommandReply) { reply(front.Reply{Body: r}) })
	})
	if !ok {
		return share.CommandReply{Refused: "the leader does not act now: try again"}
	}
	return r.Body.(share.CommandReply)
}

func (l *Lead) carryOut(c *share.Command, reply func(share.CommandReply)) {
	if c.Operation == share.List {
		reply(share.CommandReply{Shares: l.shareStatuses("")})
		return
	}
	answer := func(refused string) {
		reply(share.CommandReply{Refused: refused, Shares: l.shareStatuses(c.Share)})
	}
	e, ok := l.table().Get(c.Share)
	if !ok {
		answer(fmt.Sprintf("there is no share %q", c.Share))
		return
	}
	switch c.Operation {
	case share.Show:
		answer("")
	case share.Move:
		to, ok := l.sharing.sessions.Controller(c.Target)
		if !ok {
			answer(fmt.Sprintf("%q: %v", c.Target, share.ErrNoTarget))
			return
		}
		l.commandChange(e, func(wall int64) (share.Record, error) { return e.Record.Move(to, wall) }, answer)
	case share.Cancel:
		l.commandChange(e, e.Record.Cancel, answer)
	default:
		answer(fmt.Sprintf("there is no operation %q", c.Operation))
	}
}

// commandChange changes a share's record for an operator, who is told once it is stored.
func (l *Lead) commandChange(e share.Entry, change func(wall int64) (share.Record, error), answer func(refused string)) {
	if l.sharing.sending[e.Name] {
		answer("another change of the share is under way: try again")
		return
	}
	err := l.changeShareThen(e, "an operator's command", change, func(err error) {
		if err != nil {
			answer(fmt.Sprintf("not stored (%v): try again", err))
			return
		}
		answer("")
	})
	if err != nil {
		answer(err.Error())
	}
}

// shareStatuses tells of one share, or of all.
func (l *Lead) shareStatuses(only string) []share.Status {
	jobs := map[string]int{}
	for _, a := range l.sharing.assigned {
		jobs[a.share]++
	}
	var out []share.Status
	l.table().Each(func(e share.Entry) bool {
		if only == "" || e.Name == only {
			out = append(out, l.shareStatus(e, jobs[e.Name]))
		}
		return true
	})
	return out
}

func (l *Lead) shareStatus(e share.Entry, jobs int) share.Status {
	v := l.view(e.Name)
	s := share.Status{Name: e.Name, Record: e.Record, Version: e.Version, Machines: v.machines, Empty: v.empty, Waiting: v.waiting, Jobs: jobs,
		OwnerGone: e.OwnerGone(l.sharing.sessions), HeardAgoS: -1}
	if v.roomAt > 0 {
		s.HeardAgoS = int((l.n.Now() - v.roomAt) / micro.Second)
	}
	s.Note = l.shareNote(e, &s)
	return s
}

// shareNote says what holds a share's next change up.
func (l *Lead) shareNote(e share.Entry, s *share.Status) string {
	switch {
	case e.Record.State == share.Forming && !l.allRegistered():
		return "waits for all controllers to run with the feature"
	case e.Record.State == share.Forming:
		return fmt.Sprintf("waits for %d tasks on its machines to end", l.heldIn(e))
	case s.OwnerGone:
		return "its owner has lost its session: another gets it"
	case e.Record.State == share.Moving:
		return "waits for its owner to settle what it wrote, and to hand over"
	case e.Record.State == share.Released:
		return "the leader takes its work back"
	}
	return ""
}
