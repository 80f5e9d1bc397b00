package controller

import (
	"context"
	"math/rand/v2"

	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/referral"
)

// A leader or shard owner that receives no heartbeats cannot tell a network partition from failed
// machines by itself. Its peers can: agents that do not reach this node contact the peers, which
// refer them back to this node, and the peers can probe agents that are silent here.

// HandleUnreachableAgents resigns so that another node becomes the leader, if agents may reach another node and
// recent leadership handovers have not already failed to restore contact.
func (l *Leader) HandleUnreachableAgents(now micro.Time) {
	evidence := l.detector.Reachability(now)
	if evidence.HeartbeatGap {
		l.handOver(evidence, now) // so many live agents do not fail at the same time
		return
	}
	l.queryReferrals(now, func(answer referral.Result) { l.considerHandover(evidence, answer) })
}

// considerHandover hands over the leadership if the peers' answers show that agents may reach another
// node.
func (l *Leader) considerHandover(evidence detector.Reachability, answer referral.Result) {
	if !answer.AgentsMayBeAlive(evidence.SinceContact) {
		l.logHandover(false, "no peer referred an agent to this node or reaches its agents", evidence)
		return
	}
	l.handOver(evidence, l.node.Now())
}

// handOver resigns so that another node becomes the leader, unless recent leadership handovers
// have already failed to restore contact with agents.
func (l *Leader) handOver(evidence detector.Reachability, now micro.Time) {
	window := detector.LeadershipHandoverWindow(l.node.Cfg)
	if !l.node.handovers.Begin(now, l.cluster.TermStartedAt, window) {
		l.logHandover(false, "recent handovers did not restore contact with agents", evidence)
		return
	}
	l.logHandover(true, "agents may reach another node", evidence)
	// Not campaigning for the window gives every node a turn. Without it, two unreachable nodes won
	// the elections alternately until both had used up their handovers and one of them stayed the
	// leader; the third node never led.
	l.node.election.DeferCampaign(window)
	l.resign("no agent reaches this node")
}

// logHandover logs the decision on a leadership handover and the evidence for it. A decision against
// one is logged only once per term.
func (l *Leader) logHandover(handsOver bool, reason string, evidence detector.Reachability) {
	if !handsOver && l.declineLogged {
		return
	}
	l.declineLogged = !handsOver
	l.log.Info(
		"handover", "hands_over", handsOver, "reason", reason, "up", evidence.Up, "suspect", evidence.Suspect,
		"suspect_before_contact", evidence.SuspectBeforeContact, "since_contact_s", evidence.SinceContact.Seconds(),
	)
}

// HandleUnreachableAgents reports to the leader, with the next status update, that no agent reaches this node, if
// agents may reach another one. The leader then moves the shard.
func (o *ShardOwner) HandleUnreachableAgents(now micro.Time) {
	evidence := o.detector.Reachability(now)
	if evidence.HeartbeatGap {
		o.unreachable = true
		return
	}
	o.queryReferrals(now, func(answer referral.Result) {
		// Never reset here: a heartbeat gap may have been detected in the meantime.
		if answer.AgentsMayBeAlive(evidence.SinceContact) {
			o.unreachable = true
		}
	})
}

// queryReferrals asks the peers whether they referred agents to this node, or reach agents that are
// silent here. The loop then passes the answer to callback, unless an agent reached this node in the
// meantime. Only one query is in flight at a time.
func (l *controlLoop) queryReferrals(now micro.Time, callback func(referral.Result)) {
	if l.referralQueryInFlight {
		return
	}
	l.referralQueryInFlight = true
	query := referral.Query{Node: l.node.Cfg.Node, Agents: l.agentsToProbe(now)}
	asker := referral.Client{Caller: l.node.Peers, Prober: l.node.Prober, Peers: l.node.peerNames()}
	go func() {
		answer := asker.QueryPeers(context.Background(), query)
		l.loop.Post(referralQueryCompleted{l, answer, now, callback})
	}()
}

// agentsToProbe returns a random sample of the silent agents. If the agents of one rack have failed
// and those of the others are only unreachable, a later query names agents of another rack.
func (l *controlLoop) agentsToProbe(now micro.Time) []referral.Agent {
	silent := l.detector.SilentMachines(now)
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	agents := make([]referral.Agent, min(len(silent), referral.MaxProbedAgents))
	for i := range agents {
		agents[i] = referral.Agent{Machine: silent[i].Name, Addr: silent[i].Addr}
	}
	return agents
}

// referralQueryCompleted is the event that carries the peers' answers to a referral query.
type referralQueryCompleted struct {
	loop      *controlLoop
	answer    referral.Result
	queriedAt micro.Time
	callback  func(referral.Result)
}

// Apply calls the callback with the answer, unless the lease has expired or an agent has reached this
// node since the query.
func (e referralQueryCompleted) Apply() {
	e.loop.referralQueryInFlight = false
	if e.loop.holdsLease() && !e.loop.detector.ReachedSince(e.queriedAt) {
		e.callback(e.answer)
	}
}
