package controller

import (
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/share"
	"notchmux.dev/notchmux/internal/writer"
	"notchmux.dev/notchmux/wire"
)

// How shares come and go.

// allRegistered reports whether every controller of the settings has a session: one that
// runs without shares would take all machines for its own.
func (l *Lead) allRegistered() bool {
	for _, p := range l.n.Cfg.Peers {
		if _, ok := l.sharing.sessions.Controller(p.Node); !ok {
			return false
		}
	}
	_, ok := l.sharing.sessions.Controller(l.n.Cfg.Node)
	return ok
}

// formDeclared forms the shares of the settings that do not exist.
func (l *Lead) formDeclared() {
	if l.n.Cfg.Shares.Dissolve || !l.c.Compact || !l.allRegistered() {
		return
	}
	for _, d := range l.n.Cfg.Shares.Declared {
		if _, ok := l.table().Get(d.Name); ok || l.sharing.sending[d.Name] {
			continue
		}
		if other, ok := l.table().Overlapping(d.Selector); ok {
			l.log.Debug("share not formed", "share", d.Name, "why", share.ErrOverlap, "other", other.Name)
			continue
		}
		if l.sharing.marker.Version() == 0 {
			l.sharing.marker.Touch(l.n.Now(), writer.Soon) // before the first share
			return
		}
		l.log.Info("share formed", "share", d.Name, "selects", d.Selector.String(), "teams", d.Teams)
		e := share.Entry{Name: d.Name}
		l.sendShare(d.Name, e.Put(share.Form(d.Selector, d.Teams, int64(l.n.Wall())), l.term.Guard()))
	}
}

// tendForming clears the machines of a share that is being formed, and gives it to its
// first owner once none of them holds a task.
func (l *Lead) tendForming(e share.Entry, wall int64) {
	if l.n.Cfg.Shares.Dissolve {
		l.deleteShare(e)
		return
	}
	if l.clearMachines(e); l.heldIn(e) > 0 || !l.allRegistered() {
		return
	}
	to, ok := l.firstOwner(e.Name)
	if !ok {
		return
	}
	if later, err := e.Record.Grant(to, wall); err == nil {
		l.log.Info("share granted", "share", e.Name, "owner", to.Node)
		l.sendShare(e.Name, e.Put(later, l.term.Guard(), to.Guard()))
	}
}

func (l *Lead) firstOwner(name string) (share.Controller, bool) {
	for _, d := range l.n.Cfg.Shares.Declared {
		if d.Name == name && d.Owner != "" {
			return l.sharing.sessions.Controller(d.Owner)
		}
	}
	return l.sharing.sessions.FewestShares(l.table())
}

// replicasAtOnce is how many replicas are moved from the machines of a share that is
// being formed at a time: a service keeps the others.
const replicasAtOnce = 4

// heldIn counts the places on the machines of a share that is being formed, and on those
// of which it is not known yet whether they are in it: read from the records, a machine
// has no type until it reports. Given away with such a place on it, a machine was never
// proven free of it.
func (l *Lead) heldIn(e share.Entry) int {
	held := 0
	for _, m := range l.c.List() {
		if m.Type == nil || m.Clearing && e.Record.Selector.Matches(attributes(m.TypeName, m.Zone, m.Spot)) {
			held += len(m.Places)
		}
	}
	return held
}

// machinesIn lists the machines of a share that is being formed.
func (l *Lead) machinesIn(e share.Entry) []*model.Machine {
	var out []*model.Machine
	for _, m := range l.c.List() {
		if m.Clearing && e.Record.Selector.Matches(attributes(m.TypeName, m.Zone, m.Spot)) {
			out = append(out, m)
		}
	}
	return out
}

// clearMachines has the replicas on a share's machines stopped, a few at a time: other
// tasks end by themselves.
func (l *Lead) clearMachines(e share.Entry) {
	now := l.n.Now()
	stopping := 0
	var replicas []*model.Place
	for _, m := range l.machinesIn(e) {
		for _, p := range m.Sorted() {
			switch {
			case p.Job == nil || p.Job.Spec.Kind != wire.Service:
			case p.Stopping:
				stopping++
			default:
				replicas = append(replicas, p)
			}
		}
	}
	for _, p := range replicas[:max(min(len(replicas), replicasAtOnce-stopping), 0)] {
		l.c.Stop(p, "the machine goes to a share", p.Job.Spec.SaveS, now)
	}
}

// deleteShare deletes the record of a share that has nothing left. The last one takes
// the marker along.
func (l *Lead) deleteShare(e share.Entry) {
	txn := wire.Txn{If: []wire.Guard{l.term.Guard(), e.Guard()}, Then: []wire.Change{{Delete: e.Key()}}}
	if l.table().Len() == 1 {
		txn.Then = append(txn.Then, wire.Change{Delete: share.MarkerKey})
		l.sharing.marker.SetVersion(0)
	}
	l.log.Info("share deleted", "share", e.Name)
	l.sendShare(e.Name, txn)
}
