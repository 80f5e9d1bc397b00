package controller

import (
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/front"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// history is what a checker is told, by hand.
type history struct {
	*checker
	at micro.Time
}

func newHistory() *history {
	h := &history{}
	h.checker = newChecker(func() micro.Time { return h.at }, 50*micro.Second)
	h.limits["team"] = 8
	zone := "a"
	for _, j := range []wire.Job{
		{ID: "j-1", Team: "team", Kind: wire.Array, Tasks: 2, CPUs: 1},
		{ID: "j-2", Team: "team", Kind: wire.Array, Tasks: 4, CPUs: 4},
		{ID: "j-3", Team: "team", Kind: wire.Service, Tasks: 3, CPUs: 1, Spread: true},
		{ID: "j-4", Team: "team", Kind: wire.Gang, Tasks: 2, CPUs: 1, OneZone: true},
		{ID: "j-5", Team: "team", Kind: wire.Array, Tasks: 1, CPUs: 1, Types: []string{"large"}, Zone: &zone},
	} {
		h.sent(j, 0, false)
	}
	return h
}

func (h *history) on(machine, zone string, tasks ...string) {
	set := map[string]bool{}
	for _, t := range tasks {
		set[t] = true
	}
	h.holds(machine, "small", zone, false, set)
}

func (h *history) says(id string, knew seen, status int, s wire.JobState) {
	r := front.Reply{Status: status, Body: wire.JobStatus{ID: id, State: s}}
	if status >= 400 {
		r = front.Reply{Status: status}
	}
	h.told(id, "n-0", knew, r)
}

// Each rule has a history that breaks it and a like one that does not: a checker
// that finds nothing proves nothing.
func TestCheckerCatchesEachRule(t *testing.T) {
	accepted, done, aborted := seen{accepted: true}, seen{accepted: true, done: true}, seen{accepted: true, aborted: true}
	for _, c := range []struct {
		rule         string
		broken, kept func(h *history)
	}{
		{"ran_twice",
			func(h *history) { h.on("m1", "a", "j-1/0"); h.on("m2", "a", "j-1/0") },
			func(h *history) { h.on("m1", "a", "j-1/0"); h.on("m1", "a"); h.on("m2", "a", "j-1/0") }},
		{"quota",
			func(h *history) { h.on("m1", "a", "j-2/0", "j-2/1"); h.on("m2", "a", "j-1/0") },
			func(h *history) {
				h.on("m1", "a", "j-2/0", "j-2/1")
				h.on("m1", "a", "j-2/0")
				h.on("m2", "a", "j-1/0")
			}},
		{"wrong_place", // spread
			func(h *history) { h.on("m1", "a", "j-3/0", "j-3/1", "j-3/2") },
			func(h *history) { h.on("m1", "a", "j-3/0", "j-3/1"); h.on("m2", "b", "j-3/2") }},
		{"wrong_place", // one zone
			func(h *history) { h.on("m1", "a", "j-4/0"); h.on("m2", "b", "j-4/1") },
			func(h *history) { h.on("m1", "a", "j-4/0"); h.on("m2", "a", "j-4/1") }},
		{"wrong_place", // type, zone and kind
			func(h *history) { h.holds("m1", "small", "a", false, map[string]bool{"j-5/0": true}) },
			func(h *history) { h.holds("m1", "large", "a", false, map[string]bool{"j-5/0": true}) }},
		{"wrong_place",
			func(h *history) { h.holds("m1", "large", "b", false, map[string]bool{"j-5/0": true}) },
			func(h *history) {}},
		{"wrong_place",
			func(h *history) { h.holds("m1", "large", "a", true, map[string]bool{"j-5/0": true}) },
			func(h *history) {}},
		{"ran_cancelled", // still there
			func(h *history) {
				h.on("m1", "a", "j-1/0")
				h.withdraws("j-1")
				h.says("j-1", accepted, 200, wire.JobAborted)
				h.at += 51 * micro.Second
				h.look()
			},
			func(h *history) {
				h.on("m1", "a", "j-1/0")
				h.withdraws("j-1")
				h.says("j-1", accepted, 200, wire.JobAborted)
				h.at += 49 * micro.Second
				h.look()
				h.on("m1", "a")
				h.at += 10 * micro.Second
				h.look()
			}},
		{"ran_cancelled", // begins
			func(h *history) {
				h.withdraws("j-1")
				h.says("j-1", accepted, 200, wire.JobAborted)
				h.at += 51 * micro.Second
				h.on("m1", "a", "j-1/0")
			},
			func(h *history) {}},
		{"forgotten",
			func(h *history) { h.says("j-1", accepted, 404, "") },
			func(h *history) { h.says("j-1", seen{}, 404, "") }},
		{"forgotten",
			func(h *history) { h.says("j-1", accepted, 422, "") },
			func(h *history) { h.says("j-1", seen{}, 422, "") }},
		{"invented",
			func(h *history) { h.says("j-9", seen{}, 200, wire.JobPending) },
			func(h *history) { h.says("j-9", seen{}, 404, "") }},
		{"invented",
			func(h *history) { h.on("m1", "a", "j-9/0") },
			func(h *history) {}},
		{"not_done",
			func(h *history) { h.completed("j-1", 0); h.says("j-1", accepted, 200, wire.JobDone) },
			func(h *history) {
				h.completed("j-1", 0)
				h.completed("j-1", 1)
				h.says("j-1", accepted, 200, wire.JobDone)
			}},
		{"went_back",
			func(h *history) { h.says("j-1", done, 200, wire.JobRunning) },
			func(h *history) { h.says("j-1", accepted, 200, wire.JobRunning) }},
		{"went_back",
			func(h *history) { h.says("j-1", aborted, 201, wire.JobPending) },
			func(h *history) { h.says("j-1", accepted, 201, wire.JobPending) }},
		{"went_back", // cancelled by nobody
			func(h *history) { h.says("j-1", accepted, 200, wire.JobAborted) },
			func(h *history) { h.withdraws("j-1"); h.says("j-1", accepted, 200, wire.JobAborted) }},
		{"retry_after",
			func(h *history) { h.told("j-1", "n-0", accepted, front.Reply{Status: 503}) },
			func(h *history) { h.told("j-1", "n-0", accepted, front.Later(503, 1)) }},
	} {
		h := newHistory()
		c.broken(h)
		if len(h.broken) == 0 || !strings.Contains(h.broken[0], c.rule) {
			t.Errorf("%s: not caught: %v", c.rule, h.broken)
		}
		h = newHistory()
		c.kept(h)
		if len(h.broken) > 0 {
			t.Errorf("%s: caught where nothing is broken: %v", c.rule, h.broken)
		}
	}
}
