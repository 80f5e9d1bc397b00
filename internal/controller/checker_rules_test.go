package controller

import (
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// history is what a checker is told, by hand.
type history struct {
	*checker
	clock micro.Time
}

func newHistory() *history {
	history := &history{}
	history.checker = newChecker(func() micro.Time { return history.clock }, 50*micro.Second)
	history.cpuLimits["team"] = 8
	zone := "a"
	for _, j := range []wire.Job{
		{ID: "j-1", Team: "team", Kind: wire.JobArray, Tasks: 2, CPUs: 1},
		{ID: "j-2", Team: "team", Kind: wire.JobArray, Tasks: 4, CPUs: 4},
		{ID: "j-3", Team: "team", Kind: wire.Service, Tasks: 3, CPUs: 1, Spread: true},
		{ID: "j-4", Team: "team", Kind: wire.Gang, Tasks: 2, CPUs: 1, OneZone: true},
		{ID: "j-5", Team: "team", Kind: wire.JobArray, Tasks: 1, CPUs: 1, Types: []string{"large"}, Zone: &zone},
	} {
		history.submitted(j, 0, false)
	}
	return history
}

func (h *history) runs(machine, zone string, tasks ...string) {
	set := map[string]bool{}
	for _, t := range tasks {
		set[t] = true
	}
	h.observeTasks(machine, "small", zone, false, set)
}

func (h *history) answers(id string, knowledge userKnowledge, status int, s wire.JobState) {
	r := httpapi.Reply{Status: status, Body: wire.JobStatus{ID: id, State: s}}
	if status >= 400 {
		r = httpapi.Reply{Status: status}
	}
	h.checkAnswer(id, "n-0", knowledge, r)
}

// Each rule has a history that breaks it and a like one that does not: a checker
// that finds nothing proves nothing.
func TestCheckerCatchesEachRule(t *testing.T) {
	accepted, done, aborted := userKnowledge{accepted: true}, userKnowledge{accepted: true, done: true}, userKnowledge{accepted: true, aborted: true}
	for _, test := range []struct {
		rule         string
		broken, kept func(history *history)
	}{
		{"ran_twice",
			func(history *history) { history.runs("m1", "a", "j-1/0"); history.runs("m2", "a", "j-1/0") },
			func(history *history) {
				history.runs("m1", "a", "j-1/0")
				history.runs("m1", "a")
				history.runs("m2", "a", "j-1/0")
			}},
		{"quota",
			func(history *history) { history.runs("m1", "a", "j-2/0", "j-2/1"); history.runs("m2", "a", "j-1/0") },
			func(history *history) {
				history.runs("m1", "a", "j-2/0", "j-2/1")
				history.runs("m1", "a", "j-2/0")
				history.runs("m2", "a", "j-1/0")
			}},
		{"wrong_place", // spread
			func(history *history) { history.runs("m1", "a", "j-3/0", "j-3/1", "j-3/2") },
			func(history *history) { history.runs("m1", "a", "j-3/0", "j-3/1"); history.runs("m2", "b", "j-3/2") }},
		{"wrong_place", // one zone
			func(history *history) { history.runs("m1", "a", "j-4/0"); history.runs("m2", "b", "j-4/1") },
			func(history *history) { history.runs("m1", "a", "j-4/0"); history.runs("m2", "a", "j-4/1") }},
		{"wrong_place", // type, zone and kind
			func(history *history) {
				history.observeTasks("m1", "small", "a", false, map[string]bool{"j-5/0": true})
			},
			func(history *history) {
				history.observeTasks("m1", "large", "a", false, map[string]bool{"j-5/0": true})
			}},
		{"wrong_place",
			func(history *history) {
				history.observeTasks("m1", "large", "b", false, map[string]bool{"j-5/0": true})
			},
			func(history *history) {}},
		{"wrong_place",
			func(history *history) { history.observeTasks("m1", "large", "a", true, map[string]bool{"j-5/0": true}) },
			func(history *history) {}},
		{"ran_cancelled", // still there
			func(history *history) {
				history.runs("m1", "a", "j-1/0")
				history.requestCancel("j-1")
				history.answers("j-1", accepted, 200, wire.JobAborted)
				history.clock += 51 * micro.Second
				history.checkCancelled()
			},
			func(history *history) {
				history.runs("m1", "a", "j-1/0")
				history.requestCancel("j-1")
				history.answers("j-1", accepted, 200, wire.JobAborted)
				history.clock += 49 * micro.Second
				history.checkCancelled()
				history.runs("m1", "a")
				history.clock += 10 * micro.Second
				history.checkCancelled()
			}},
		{"ran_cancelled", // begins
			func(history *history) {
				history.requestCancel("j-1")
				history.answers("j-1", accepted, 200, wire.JobAborted)
				history.clock += 51 * micro.Second
				history.runs("m1", "a", "j-1/0")
			},
			func(history *history) {}},
		{"forgotten",
			func(history *history) { history.answers("j-1", accepted, 404, "") },
			func(history *history) { history.answers("j-1", userKnowledge{}, 404, "") }},
		{"forgotten",
			func(history *history) { history.answers("j-1", accepted, 422, "") },
			func(history *history) { history.answers("j-1", userKnowledge{}, 422, "") }},
		{"invented",
			func(history *history) { history.answers("j-9", userKnowledge{}, 200, wire.JobPending) },
			func(history *history) { history.answers("j-9", userKnowledge{}, 404, "") }},
		{"invented",
			func(history *history) { history.runs("m1", "a", "j-9/0") },
			func(history *history) {}},
		{"not_done",
			func(history *history) {
				history.taskCompleted("j-1", 0)
				history.answers("j-1", accepted, 200, wire.JobDone)
			},
			func(history *history) {
				history.taskCompleted("j-1", 0)
				history.taskCompleted("j-1", 1)
				history.answers("j-1", accepted, 200, wire.JobDone)
			}},
		{"went_back",
			func(history *history) { history.answers("j-1", done, 200, wire.JobRunning) },
			func(history *history) { history.answers("j-1", accepted, 200, wire.JobRunning) }},
		{"went_back",
			func(history *history) { history.answers("j-1", aborted, 201, wire.JobPending) },
			func(history *history) { history.answers("j-1", accepted, 201, wire.JobPending) }},
		{"went_back", // cancelled by nobody
			func(history *history) { history.answers("j-1", accepted, 200, wire.JobAborted) },
			func(history *history) {
				history.requestCancel("j-1")
				history.answers("j-1", accepted, 200, wire.JobAborted)
			}},
		{"retry_after",
			func(history *history) { history.checkAnswer("j-1", "n-0", accepted, httpapi.Reply{Status: 503}) },
			func(history *history) { history.checkAnswer("j-1", "n-0", accepted, httpapi.RetryReply(503, 1)) }},
	} {
		history := newHistory()
		test.broken(history)
		if len(history.violations) == 0 || !strings.Contains(history.violations[0], test.rule) {
			t.Errorf("%s: not caught: %v", test.rule, history.violations)
		}
		history = newHistory()
		test.kept(history)
		if len(history.violations) > 0 {
			t.Errorf("%s: caught where nothing is broken: %v", test.rule, history.violations)
		}
	}
}
