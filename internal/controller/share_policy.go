package controller

import (
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/policy"
	"notchmux.dev/notchmux/internal/share"
)

// policiesEvery is how often the operators' policies are looked at.
const policiesEvery = 5 * micro.Second

// evaluatePolicies looks which policies hold. The expressions are evaluated beside the
// loop, on facts that do not change: however long they take, no tick waits.
func (l *Lead) evaluatePolicies(now micro.Time) {
	policies := l.n.Cfg.Shares.Policies
	if l.n.Cfg.Shares.Dissolve || len(policies) == 0 || l.sharing.evaluates || now-l.sharing.evalAt < policiesEvery {
		return
	}
	l.sharing.evaluates, l.sharing.evalAt = true, now
	facts := l.policyFacts()
	go func() {
		var hold []config.MovePolicy
		for _, p := range policies {
			holds, err := p.When.Holds(facts)
			if err != nil {
				l.log.Error("policy not evaluated", "policy", p.Name, "err", err)
			}
			if holds {
				hold = append(hold, p)
			}
		}
		l.post(func() {
			l.sharing.evaluates = false
			l.applyPolicies(hold)
		})
	}()
}

// policyFacts are what the policies may ask about, as it is now.
func (l *Lead) policyFacts() policy.Facts {
	f := policy.Facts{Waiting: map[string]int{}, Guaranteed: map[string]int{}, Free: map[string]int{}, Machines: map[string]int{}}
	f.At(time.UnixMicro(int64(l.n.Wall())))
	l.c.MarkGuarantees()
	for j := range l.c.Pending {
		f.Waiting[j.Spec.Team] += j.Waiting()
		if j.Guar {
			f.Guaranteed[j.Spec.Team] += j.Waiting()
		}
	}
	for name, v := range l.sharing.views {
		f.Free[name], f.Machines[name] = v.empty, v.machines
	}
	return f
}

// applyPolicies moves shares as the policies that hold want it. Of several for one share
// the first by name counts, whether or not it can be followed now: so two that want the
// same share do not send it to and fro, and one that flaps moves it once in the least
// time between moves.
func (l *Lead) applyPolicies(hold []config.MovePolicy) {
	moving := l.machinesMoving()
	decided := map[string]bool{}
	for _, p := range hold {
		if decided[p.Share] {
			continue
		}
		decided[p.Share] = true
		e, ok := l.table().Get(p.Share)
		if !ok || !l.mayMove(e, p, moving) {
			continue
		}
		to, ok := l.sharing.sessions.Controller(p.Owner)
		if !ok {
			l.log.Info("policy not followed", "policy", p.Name, "why", share.ErrNoTarget)
			continue
		}
		moving += l.view(e.Name).machines
		l.changeShare(e, "policy "+p.Name, func(wall int64) (share.Record, error) { return e.Record.Move(to, wall) })
	}
}

// mayMove reports whether a policy may move a share now.
func (l *Lead) mayMove(e share.Entry, p config.MovePolicy, moving int) bool {
	if e.Record.State != share.Owned || e.Record.Owner.Node == p.Owner || l.sharing.sending[e.Name] {
		return false
	}
	if l.n.Wall()-micro.Time(e.Record.At) < l.n.Cfg.Shares.LeastTime {
		return false
	}
	return moving == 0 || moving+l.view(e.Name).machines <= l.n.Cfg.Shares.MostMoved
}

// machinesMoving counts the machines of the shares that are moving.
func (l *Lead) machinesMoving() int {
	n := 0
	l.table().Each(func(e share.Entry) bool {
		if e.Record.State == share.Moving {
			n += max(l.view(e.Name).machines, 1)
		}
		return true
	})
	return n
}
