package controller

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// With each tick, the look for what waits for a newer token took a quarter of the
// leader's processor at 4,000 machines.
func TestLooksForWaitingTokensKeepToAPartOfTheTime(t *testing.T) {
	h := newHerd(t, 4)
	looks, look := 0, 4*micro.Millisecond
	h.l.n.Now = func() micro.Time { h.now += look; return h.now } // each reading of the clock: a look's worth
	for end := h.now + 60*micro.Second; h.now < end; h.now += 100 * micro.Millisecond {
		was := h.l.tokenAt
		h.l.tick(h.now)
		if h.l.tokenAt != was {
			looks++
		}
	}
	if most := 60 * 1000 / (50 * 4); looks > most || looks < 60 {
		t.Errorf("%d looks of %v in a minute, %d at the most and one a second at the least", looks, look, most)
	}
}

// An overloaded leader sends directly what cannot wait for the machine's next report.
func TestOverloadedLeaderSendsOnlyUrgentOrdersDirectly(t *testing.T) {
	h := newHerd(t, 8)
	lead := h.l
	machines := lead.c.List()
	normal, service := machines[0], machines[1]
	lead.addJob(wire.Job{ID: "j-7777", Class: "c", Team: "team", Kind: wire.Service, Priority: wire.Production, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i"})
	starts := func(m *model.Machine, j *model.Job) {
		p := lead.c.NewPlace(j, j.Next(h.now, 1)[0], m, 1, 1, h.now)
		lead.c.Persisted(j.Chunk(p.Index), 1<<40)
	}
	starts(service, lead.c.Jobs["j-7777"])
	if !lead.worthDirect(normal) || !lead.worthDirect(service) {
		t.Fatal("orders are left out without overload")
	}
	for range 1000 {
		lead.noteWait(300*micro.Millisecond, h.now)
	}
	if lead.worthDirect(normal) || !lead.worthDirect(service) {
		t.Errorf("direct in overload: other work %v, first priority %v", lead.worthDirect(normal), lead.worthDirect(service))
	}
	for range 1000 {
		lead.noteWait(0, h.now+micro.Second)
	}
	if lead.worthDirect(normal) {
		t.Error("eased at once: what was left out comes back in a second")
	}
	lead.noteWait(0, h.now+micro.Second+leastOverload+1)
	if !lead.worthDirect(normal) {
		t.Error("still overloaded though no report waits")
	}
}

// An overloaded leader answered each call too late, and was left alone after each: for
// 90 s users learnt nothing of hundreds of jobs.
func TestSlowLeaderIsGivenTimeForFewerCalls(t *testing.T) {
	play(t, 6, 3, nil, func(w *simCluster) {
		l, others := w.led()
		j := w.wants(order{kind: wire.Service, tasks: 1}).submit()
		w.runs(j, 1)
		slow := 700 * micro.Millisecond // more than a node waits for an answer, less than patientWait
		w.slowPeers(l, slow)
		node := others[0].current()
		node.leaderPolls.late(node.Now())
		answered, polls := 0, 0
		for range 20 {
			for range 10 {
				polls++
				go func() {
					if r, ok := node.showByLeader(l.name, j.id); ok && r.Status == 200 {
						w.mu.Lock()
						answered++
						w.mu.Unlock()
					}
				}()
			}
			w.sleep(micro.Second)
		}
		w.sleep(micro.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if answered < polls/2 {
			t.Errorf("%d of %d polls were answered by a leader that takes %v", answered, polls, slow)
		}
	})
}
