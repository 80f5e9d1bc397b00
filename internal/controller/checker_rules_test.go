package controller

import (
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// checkerHistory feeds a checker with events that a test lists explicitly.
type checkerHistory struct {
	*checker
	clock micro.Time
}

func newHistory() *checkerHistory {
	history := &checkerHistory{}
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
		history.recordSubmission(j, 0, false)
	}
	return history
}

// observe records that exactly these tasks are on a machine.
func (h *checkerHistory) observe(machine, zone string, tasks ...string) {
	set := map[string]bool{}
	for _, t := range tasks {
		set[t] = true
	}
	h.observeTasks(machine, "small", zone, false, set)
}

// reply passes a reply about a job to the checker; one with a status of 400 or more has no body.
func (h *checkerHistory) reply(id string, knowledge userKnowledge, status int, s wire.JobState) {
	r := httpapi.Reply{Status: status, Body: wire.JobStatus{ID: id, State: s}}
	if status >= 400 {
		r = httpapi.Reply{Status: status}
	}
	h.checkAnswer(id, "n-0", knowledge, r)
}

// What earlier replies told the user about a job.
var (
	knowsAccepted = userKnowledge{accepted: true}
	knowsDone     = userKnowledge{accepted: true, done: true}
	knowsAborted  = userKnowledge{accepted: true, aborted: true}
)

// ruleHistories holds, for each rule, a history that violates it and a similar one that complies with it.
var ruleHistories = []struct {
	rule                 string
	violating, compliant func(h *checkerHistory)
}{
	{
		"ran_twice",
		func(h *checkerHistory) { h.observe("m1", "a", "j-1/0"); h.observe("m2", "a", "j-1/0") },
		func(h *checkerHistory) {
			h.observe("m1", "a", "j-1/0")
			h.observe("m1", "a")
			h.observe("m2", "a", "j-1/0")
		},
	},
	{
		"quota",
		func(h *checkerHistory) { h.observe("m1", "a", "j-2/0", "j-2/1"); h.observe("m2", "a", "j-1/0") },
		func(h *checkerHistory) {
			h.observe("m1", "a", "j-2/0", "j-2/1")
			h.observe("m1", "a", "j-2/0")
			h.observe("m2", "a", "j-1/0")
		},
	},
	{
		"wrong_place", // spread
		func(h *checkerHistory) { h.observe("m1", "a", "j-3/0", "j-3/1", "j-3/2") },
		func(h *checkerHistory) { h.observe("m1", "a", "j-3/0", "j-3/1"); h.observe("m2", "b", "j-3/2") },
	},
	{
		"wrong_place", // one zone
		func(h *checkerHistory) { h.observe("m1", "a", "j-4/0"); h.observe("m2", "b", "j-4/1") },
		func(h *checkerHistory) { h.observe("m1", "a", "j-4/0"); h.observe("m2", "a", "j-4/1") },
	},
	{
		"wrong_place", // machine type; the next two: zone and spot
		func(h *checkerHistory) {
			h.observeTasks("m1", "small", "a", false, map[string]bool{"j-5/0": true})
		},
		func(h *checkerHistory) {
			h.observeTasks("m1", "large", "a", false, map[string]bool{"j-5/0": true})
		},
	},
	{
		"wrong_place",
		func(h *checkerHistory) {
			h.observeTasks("m1", "large", "b", false, map[string]bool{"j-5/0": true})
		},
		func(h *checkerHistory) {},
	},
	{
		"wrong_place",
		func(h *checkerHistory) { h.observeTasks("m1", "large", "a", true, map[string]bool{"j-5/0": true}) },
		func(h *checkerHistory) {},
	},
	{
		"ran_cancelled", // the task is still on a machine
		func(h *checkerHistory) {
			h.observe("m1", "a", "j-1/0")
			h.requestCancel("j-1")
			h.reply("j-1", knowsAccepted, 200, wire.JobAborted)
			h.clock += 51 * micro.Second
			h.checkCancelled()
		},
		func(h *checkerHistory) {
			h.observe("m1", "a", "j-1/0")
			h.requestCancel("j-1")
			h.reply("j-1", knowsAccepted, 200, wire.JobAborted)
			h.clock += 49 * micro.Second
			h.checkCancelled()
			h.observe("m1", "a")
			h.clock += 10 * micro.Second
			h.checkCancelled()
		},
	},
	{
		"ran_cancelled", // the task starts
		func(h *checkerHistory) {
			h.requestCancel("j-1")
			h.reply("j-1", knowsAccepted, 200, wire.JobAborted)
			h.clock += 51 * micro.Second
			h.observe("m1", "a", "j-1/0")
		},
		func(h *checkerHistory) {},
	},
	{
		"forgotten", func(h *checkerHistory) { h.reply("j-1", knowsAccepted, 404, "") },
		func(h *checkerHistory) { h.reply("j-1", userKnowledge{}, 404, "") },
	},
	{
		"forgotten", func(h *checkerHistory) { h.reply("j-1", knowsAccepted, 422, "") },
		func(h *checkerHistory) { h.reply("j-1", userKnowledge{}, 422, "") },
	},
	{
		"invented", func(h *checkerHistory) { h.reply("j-9", userKnowledge{}, 200, wire.JobPending) },
		func(h *checkerHistory) { h.reply("j-9", userKnowledge{}, 404, "") },
	},
	{"invented", func(h *checkerHistory) { h.observe("m1", "a", "j-9/0") }, func(h *checkerHistory) {}},
	{
		"not_done",
		func(h *checkerHistory) {
			h.recordCompletion("j-1", 0)
			h.reply("j-1", knowsAccepted, 200, wire.JobDone)
		},
		func(h *checkerHistory) {
			h.recordCompletion("j-1", 0)
			h.recordCompletion("j-1", 1)
			h.reply("j-1", knowsAccepted, 200, wire.JobDone)
		},
	},
	{
		"went_back", func(h *checkerHistory) { h.reply("j-1", knowsDone, 200, wire.JobRunning) },
		func(h *checkerHistory) { h.reply("j-1", knowsAccepted, 200, wire.JobRunning) },
	},
	{
		"went_back", func(h *checkerHistory) { h.reply("j-1", knowsAborted, 201, wire.JobPending) },
		func(h *checkerHistory) { h.reply("j-1", knowsAccepted, 201, wire.JobPending) },
	},
	{
		"went_back", // cancelled without a request
		func(h *checkerHistory) { h.reply("j-1", knowsAccepted, 200, wire.JobAborted) },
		func(h *checkerHistory) {
			h.requestCancel("j-1")
			h.reply("j-1", knowsAccepted, 200, wire.JobAborted)
		},
	},
	{
		"retry_after", func(h *checkerHistory) { h.checkAnswer("j-1", "n-0", knowsAccepted, httpapi.Reply{Status: 503}) },
		func(h *checkerHistory) { h.checkAnswer("j-1", "n-0", knowsAccepted, httpapi.RetryReply(503, 1)) },
	},
}

// Guards against a checker that misses violations: every simulation would pass with it.
func TestCheckerDetectsViolationsOfEachRule(t *testing.T) {
	for _, test := range ruleHistories {
		h := newHistory()
		test.violating(h)
		if len(h.violations) == 0 || !strings.Contains(h.violations[0], test.rule) {
			t.Errorf("%s: violation not detected, reported: %v", test.rule, h.violations)
		}
		h = newHistory()
		test.compliant(h)
		if len(h.violations) > 0 {
			t.Errorf("%s: compliant history reported as a violation: %v", test.rule, h.violations)
		}
	}
}
