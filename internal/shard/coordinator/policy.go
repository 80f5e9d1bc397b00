package coordinator

import (
	"time"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/policy"
	"notchmux.dev/notchmux/internal/shard"
)

// policyInterval is the minimum time between two evaluations of the operators' policies.
const policyInterval = 5 * micro.Second

// policyView is the state of the evaluation of the operators' policies.
type policyView struct {
	evaluatedAt        micro.Time
	evaluationInFlight bool
}

// evaluatePolicies starts an evaluation of all policies if one is due. The expressions are evaluated
// outside the event loop, on an immutable snapshot of the facts, so that a slow expression does not
// delay a tick.
func (c *Coordinator) evaluatePolicies(now micro.Time) {
	policies := c.Config.Shards.Policies
	if c.Config.Shards.Dissolve || len(policies) == 0 || c.policies.evaluationInFlight ||
		now-c.policies.evaluatedAt < policyInterval {
		return
	}
	c.policies.evaluationInFlight, c.policies.evaluatedAt = true, now
	facts := c.policyFacts()
	go func() { c.Loop.Post(policiesEvaluated{c, c.holdingPolicies(policies, facts)}) }()
}

// holdingPolicies lists the policies whose condition holds. It may be called from any goroutine.
func (c *Coordinator) holdingPolicies(policies []config.MovePolicy, facts policy.Facts) []config.MovePolicy {
	var holding []config.MovePolicy
	for _, movePolicy := range policies {
		applies, err := movePolicy.When.Holds(facts)
		if err != nil {
			c.Log.Error("evaluate policy failed", "policy", movePolicy.Name, "err", err)
		}
		if applies {
			holding = append(holding, movePolicy)
		}
	}
	return holding
}

// policyFacts returns a snapshot of the facts that policy conditions may refer to.
func (c *Coordinator) policyFacts() policy.Facts {
	facts := policy.Facts{
		Waiting: map[string]int{}, Guaranteed: map[string]int{}, Free: map[string]int{}, Machines: map[string]int{},
	}
	facts.SetTime(time.UnixMicro(int64(c.Wall())))
	c.Cluster.MarkGuarantees()
	for job := range c.Cluster.PendingJobs {
		facts.Waiting[job.Spec.Team] += job.PendingTasks()
		if job.WithinGuarantee {
			facts.Guaranteed[job.Spec.Team] += job.PendingTasks()
		}
	}
	for name, view := range c.views {
		facts.Free[name], facts.Machines[name] = view.idleMachines, view.machineCount
	}
	return facts
}

// applyPolicies moves shards according to the policies whose condition holds. Of several policies for
// one shard only the first by name applies, whether or not it can be followed now. So two policies
// for the same shard do not move it back and forth, and a policy whose condition flaps moves it at
// most once per minimum interval between moves.
func (c *Coordinator) applyPolicies(holding []config.MovePolicy) {
	moving := c.machinesMoving()
	decided := map[string]bool{}
	for _, movePolicy := range holding {
		if decided[movePolicy.Shard] {
			continue
		}
		decided[movePolicy.Shard] = true
		entry, ok := c.table().Get(movePolicy.Shard)
		if !ok || !c.mayMoveShard(entry, movePolicy, moving) {
			continue
		}
		target, ok := c.sessions.current.Controller(movePolicy.Owner)
		if !ok {
			c.Log.Info("apply policy failed", "policy", movePolicy.Name, "err", shard.ErrTargetWithoutSession)
			continue
		}
		moving += c.viewOf(entry.Name).machineCount
		c.changeShard(
			entry, "policy "+movePolicy.Name, func(wall int64) (shard.Record, error) { return entry.Record.Move(target, wall) },
		)
	}
}

// mayMoveShard reports whether a policy may move a shard now: the shard is owned by another controller
// than the policy names, has not changed within the minimum interval between moves, and keeps the
// number of machines in moving shards within the limit.
func (c *Coordinator) mayMoveShard(entry shard.Entry, movePolicy config.MovePolicy, moving int) bool {
	if entry.Record.State != shard.Owned || entry.Record.Owner.Node == movePolicy.Owner ||
		c.commitsInFlight[entry.Name] {
		return false
	}
	if c.Wall()-micro.Time(entry.Record.ChangedAt) < c.Config.Shards.MinMoveInterval {
		return false
	}
	return moving == 0 || moving+c.viewOf(entry.Name).machineCount <= c.Config.Shards.MaxMachinesMoving
}

// machinesMoving counts the machines of all moving shards, at least one per shard.
func (c *Coordinator) machinesMoving() int {
	count := 0
	c.table().Each(func(entry shard.Entry) bool {
		if entry.Record.State == shard.Moving {
			count += max(c.viewOf(entry.Name).machineCount, 1)
		}
		return true
	})
	return count
}
