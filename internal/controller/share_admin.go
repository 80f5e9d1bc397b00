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
		reply(front.Reply{Body: l.carryOut(c)})
	})
	if !ok {
		return share.CommandReply{Refused: "the leader does not act now: try again"}
	}
	return r.Body.(share.CommandReply)
}

func (l *Lead) carryOut(c *share.Command) share.CommandReply {
	if c.Operation == share.List {
		return share.CommandReply{Shares: l.shareStatuses("")}
	}
	e, ok := l.table().Get(c.Share)
	if !ok {
		return share.CommandReply{Refused: fmt.Sprintf("there is no share %q", c.Share)}
	}
	refused := ""
	switch c.Operation {
	case share.Show:
	case share.Move:
		refused = l.commandMove(e, c.Target)
	case share.Cancel:
		refused = l.commandChange(e, "an operator's command", e.Record.Cancel)
	default:
		refused = fmt.Sprintf("there is no operation %q", c.Operation)
	}
	return share.CommandReply{Refused: refused, Shares: l.shareStatuses(c.Share)}
}

// commandMove begins a move; "" if it did, else the reason.
func (l *Lead) commandMove(e share.Entry, target string) string {
	to, ok := l.sharing.sessions.Controller(target)
	if !ok {
		return fmt.Sprintf("%q: %v", target, share.ErrNoTarget)
	}
	return l.commandChange(e, "an operator's command", func(wall int64) (share.Record, error) { return e.Record.Move(to, wall) })
}

func (l *Lead) commandChange(e share.Entry, why string, change func(wall int64) (share.Record, error)) string {
	if l.sharing.sending[e.Name] {
		return "another change of the share is under way: try again"
	}
	if _, err := change(int64(l.n.Wall())); err != nil {
		return err.Error()
	}
	l.changeShare(e, why, change)
	return ""
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
