package controller

import (
	"context"
	"math/rand/v2"

	"notchmux.dev/notchmux/internal/detector"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/referral"
)

// What a leader, or the owner of a shard, does that no agent seems to reach. Silence alone does
// not tell a network that keeps its agents from it from machines that are dead. The peers
// know: agents that do not reach this node come to them, and are referred back to it; and they
// can probe agents that this node does not hear.

// HandleUnreachableAgents resigns in favour of another node, if that may be reached by the agents and was not
// tried in vain.
func (l *Leader) HandleUnreachableAgents(now micro.Time) {
	evidence := l.detector.Reachability(now)
	if evidence.HeartbeatGap {
		l.handOver(evidence, now) // so many live agents at once do not die
		return
	}
	l.queryReferrals(now, func(answer referral.Answer) { l.considerHandover(evidence, answer) })
}

// considerHandover hands over if agents look for this node elsewhere.
func (l *Leader) considerHandover(evidence detector.Reachability, answer referral.Answer) {
	if !answer.AgentsMayBeThere(evidence.SinceContact) {
		l.logHandover(false, "no peer was asked for this node or reaches its agents", evidence)
		return
	}
	l.handOver(evidence, l.node.Now())
}

// handOver resigns in favour of another node, unless that was tried in vain.
func (l *Leader) handOver(evidence detector.Reachability, now micro.Time) {
	window := detector.LeadershipHandoverWindow(l.node.Cfg)
	if !l.node.handovers.Begin(now, l.cluster.TermStartedAt, window) {
		l.logHandover(false, "the others were tried in vain", evidence)
		return
	}
	l.logHandover(true, "others are to be tried", evidence)
	// Two nodes that no agent reached once won elections in turn, until both had
	// handed over as often as they do, and one stayed: the third never led.
	l.node.election.DeferCampaign(window)
	l.resign("no agent reaches this node")
}

// logHandover says that this node hands over; that it does not is said once a term.
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

// HandleUnreachableAgents has the leader told that no agent reaches this node, if another may be reached: it
// moves the shard.
func (o *ShardOwner) HandleUnreachableAgents(now micro.Time) {
	evidence := o.detector.Reachability(now)
	if evidence.HeartbeatGap {
		o.unreachable = true
		return
	}
	o.queryReferrals(now, func(answer referral.Answer) {
		// Never taken back here: a heartbeat gap may have been found meanwhile.
		if answer.AgentsMayBeThere(evidence.SinceContact) {
			o.unreachable = true
		}
	})
}

// queryReferrals asks the peers whether they referred agents to this node, or reach some that it
// does not hear, and has the loop go on with their answer, unless an agent has reached the node
// meanwhile. Only one question is under way at a time.
func (l *controlLoop) queryReferrals(now micro.Time, then func(referral.Answer)) {
	if l.referralQueryInFlight {
		return
	}
	l.referralQueryInFlight = true
	query := referral.Query{Node: l.node.Cfg.Node, Agents: l.agentsToProbe(now)}
	asker := referral.Asker{Caller: l.node.Peers, Prober: l.node.Prober, Peers: l.node.peerNames()}
	go func() {
		answer := asker.Ask(context.Background(), query)
		l.loop.Post(referralQueryCompleted{l, answer, now, then})
	}()
}

// agentsToProbe draws some of the agents whose silence made this node ask: if one rack is dead and the
// others are cut off, one of the next questions names agents of another.
func (l *controlLoop) agentsToProbe(now micro.Time) []referral.Agent {
	silent := l.detector.SilentMachines(now)
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	agents := make([]referral.Agent, min(len(silent), referral.MaxProbedAgents))
	for i := range agents {
		agents[i] = referral.Agent{Machine: silent[i].Name, Addr: silent[i].Addr}
	}
	return agents
}

// referralQueryCompleted brings what the peers know of agents that were referred to this node.
type referralQueryCompleted struct {
	loop      *controlLoop
	answer    referral.Answer
	queriedAt micro.Time
	callback  func(referral.Answer)
}

// Apply goes on with the answer.
func (e referralQueryCompleted) Apply() {
	e.loop.referralQueryInFlight = false
	if e.loop.holdsLease() && !e.loop.detector.ReachedSince(e.queriedAt) {
		e.callback(e.answer)
	}
}
