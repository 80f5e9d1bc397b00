package controller

import (
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/policy"
	"notchmux.dev/notchmux/internal/shard"
)

// policyInterval is how often the operators' policies are looked at.
const policyInterval = 5 * micro.Second

// evaluatePolicies looks which policies hold. The expressions are evaluated beside the
// loop, on facts that do not change: however long they take, no tick waits.
func (l *Leader) evaluatePolicies(now micro.Time) {
	policies := l.node.Cfg.Shards.Policies
	if l.node.Cfg.Shards.Dissolve || len(policies) == 0 || l.coordinator.policyEvaluationInFlight ||
		now-l.coordinator.policiesEvaluatedAt < policyInterval {
		return
	}
	l.coordinator.policyEvaluationInFlight, l.coordinator.policiesEvaluatedAt = true, now
	facts := l.policyFacts()
	go func() {
		var holding []config.MovePolicy
		for _, movePolicy := range policies {
			applies, err := movePolicy.When.Holds(facts)
			if err != nil {
				l.log.Error("policy not evaluated", "policy", movePolicy.Name, "err", err)
			}
			if applies {
				holding = append(holding, movePolicy)
			}
		}
		l.post(func() {
			l.coordinator.policyEvaluationInFlight = false
			l.applyPolicies(holding)
		})
	}()
}

// policyFacts are what the policies may ask about, as it is now.
func (l *Leader) policyFacts() policy.Facts {
	facts := policy.Facts{
		Waiting: map[string]int{}, Guaranteed: map[string]int{}, Free: map[string]int{}, Machines: map[string]int{},
	}
	facts.SetTime(time.UnixMicro(int64(l.node.Wall())))
	l.cluster.MarkGuarantees()
	for job := range l.cluster.PendingJobs {
		facts.Waiting[job.Spec.Team] += job.PendingTasks()
		if job.WithinGuarantee {
			facts.Guaranteed[job.Spec.Team] += job.PendingTasks()
		}
	}
	for name, view := range l.coordinator.views {
		facts.Free[name], facts.Machines[name] = view.idleMachines, view.machineCount
	}
	return facts
}

// applyPolicies moves shares as the policies that hold want it. Of several for one share
// the first by name counts, whether or not it can be followed now: so two that want the
// same share do not send it to and fro, and one that flaps moves it once in the least
// time between moves.
func (l *Leader) applyPolicies(holding []config.MovePolicy) {
	moving := l.machinesMoving()
	decided := map[string]bool{}
	for _, movePolicy := range holding {
		if decided[movePolicy.Shard] {
			continue
		}
		decided[movePolicy.Shard] = true
		entry, ok := l.shardTable().Get(movePolicy.Shard)
		if !ok || !l.mayMoveShard(entry, movePolicy, moving) {
			continue
		}
		target, ok := l.coordinator.sessions.Controller(movePolicy.Owner)
		if !ok {
			l.log.Info("policy not followed", "policy", movePolicy.Name, "why", shard.ErrTargetWithoutSession)
			continue
		}
		moving += l.viewOf(entry.Name).machineCount
		l.changeShard(
			entry, "policy "+movePolicy.Name, func(wall int64) (shard.Record, error) { return entry.Record.Move(target, wall) },
		)
	}
}

// mayMoveShard reports whether a policy may move a share now.
func (l *Leader) mayMoveShard(e shard.Entry, p config.MovePolicy, moving int) bool {
	if e.Record.State != shard.Owned || e.Record.Owner.Node == p.Owner || l.coordinator.commitsInFlight[e.Name] {
		return false
	}
	if l.node.Wall()-micro.Time(e.Record.ChangedAt) < l.node.Cfg.Shards.MinMoveInterval {
		return false
	}
	return moving == 0 || moving+l.viewOf(e.Name).machineCount <= l.node.Cfg.Shards.MaxMachinesMoving
}

// machinesMoving counts the machines of the shares that are moving.
func (l *Leader) machinesMoving() int {
	n := 0
	l.shardTable().Each(func(e shard.Entry) bool {
		if e.Record.State == shard.Moving {
			n += max(l.viewOf(e.Name).machineCount, 1)
		}
		return true
	})
	return n
}
