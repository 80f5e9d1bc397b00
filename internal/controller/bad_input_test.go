package controller

import (
	"context"
	"math"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/health"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// startLeaderFollowerAndRefusedNode starts a leader, a follower, and a follower whose requests the store refuses.
func (b *testCluster) startLeaderFollowerAndRefusedNode() map[string]*Node {
	leader, _ := b.startLeaderWithFormatGateOpen("n-0", withLongLease)
	addr := b.servePeer(leader)
	startFollower := func(name string, refused bool) *Node {
		node, _ := b.startNodeWith(name, func(node *Node) {
			node.Cfg.Peers = []config.Peer{{Node: "n-0"}}
			node.Peers = peer.NewClient(map[string]string{"n-0": addr})
		})
		waitUntil(b.t, "the leader is known", func() bool { return node.election.Leader() == "n-0" })
		waitUntil(
			b.t, "the format gate is open", func() bool {
				node.formatGate.Check(context.Background())
				return node.formatGate.FormatOpen()
			},
		)
		if refused {
			replaceStore(node, refusingStore{b.store})
			node.health.Observe(health.ProbeResult{StoreRefused: true})
		}
		return node
	}
	return map[string]*Node{
		"leader": leader, "follower": startFollower("n-1", false),
		"refused by the store": startFollower("n-2", true),
	}
}

// submissionWithField returns the submission of a gang with the field set to v, or without it if v is absentField.
func submissionWithField(id, field string, v any) []byte {
	var m map[string]any
	if err := wire.Unmarshal(submission(id, wire.Gang), &m); err != nil {
		panic(err)
	}
	if m[field] = v; v == absentField {
		delete(m, field)
	}
	return wire.MustMarshal(m)
}

type omittedField struct{}

// absentField is the value that makes submissionWithField leave the field out.
var absentField any = omittedField{}

// malformedSubmissions returns, by case name, submissions that are invalid under any configuration.
func malformedSubmissions() map[string][]byte {
	out := map[string][]byte{
		"empty": {}, "text": []byte("hello"), "not a map": wire.MustMarshal([]any{1}),
		"truncated": submission("j-1", wire.Gang)[:30],
	}
	add := func(field string, values map[string]any) {
		for why, value := range values {
			out[field+" "+why] = submissionWithField("j-1", field, value)
		}
	}
	for _, f := range []string{"nameId", "jobclass", "outfit", "shape", "rank", "bundle"} {
		add(f, map[string]any{"missing": absentField, "null": nil, "a number": 7, "a list": []any{"x"}})
	}
	add("nameId", map[string]any{"empty": "", "without the j- prefix": "job-1", "a path": "j-1/end"})
	add("shape", map[string]any{"unknown": "pile"})
	add("rank", map[string]any{"unknown": "first"})
	for _, f := range []string{"pieces", "vcpus", "gpus", "ramGb", "pullGb", "guessS", "bookmarkS", "stashS"} {
		add(
			f,
			map[string]any{
				"missing": absentField, "null": nil, "text": "1", "negative": -1, "not a number": math.NaN(),
				"infinite": math.Inf(1), "a boolean": true,
			},
		)
	}
	add("pieces", map[string]any{"zero": 0, "a fraction": 1.5, "too many": wire.MaxTasks + 1})
	for _, f := range []string{"oneZone", "scatter", "loaners"} {
		add(f, map[string]any{"missing": absentField, "null": nil, "a number": 1, "text": "true"})
	}
	add(
		"rigs",
		map[string]any{"text": "small", "of numbers": []any{1}, "with null": []any{"small", nil}, "a map": map[string]any{}},
	)
	add("yard", map[string]any{"a number": 1, "a list": []any{"a"}})
	add("dueS", map[string]any{"text": "1", "negative": -1, "not a number": math.NaN()})
	add("awaits", map[string]any{"text": "j-2", "of numbers": []any{2}})
	return out
}

// infeasibleSubmissions returns, by case name, well-formed submissions of jobs that can never run.
func infeasibleSubmissions() map[string][]byte {
	return map[string][]byte{
		"unknown team":                submissionWithField("j-1", "outfit", "nobody"),
		"too large":                   submissionWithField("j-1", "vcpus", 5),
		"unknown zone":                submissionWithField("j-1", "yard", "mars"),
		"unknown machine type":        submissionWithField("j-1", "rigs", []any{"none"}),
		"empty list of machine types": submissionWithField("j-1", "rigs", []any{}),
		"over the team's CPU limit":   submissionWithField("j-1", "pieces", 17),
		"depends on an unknown job":   submissionWithField("j-1", "awaits", []any{"j-404"}),
		"depends on itself":           submissionWithField("j-1", "awaits", []any{"j-1"}),
	}
}

// checkNothingStored ends the store outage, if there is one, and reports an error if the store holds a job record.
func (b *testCluster) checkNothingStored() {
	b.t.Helper()
	b.store.SetOutage(false)
	if p, err := b.store.Range(context.Background(), store.Routine, "job/", "", 10); err != nil || len(p.Items) > 0 {
		b.t.Errorf("the store holds records of rejected jobs: %v, error %v", p.Items, err)
	}
}

func TestInvalidSubmissionsAreRejectedAtEveryNode(t *testing.T) {
	env := newTestCluster(t)
	nodes := env.startLeaderFollowerAndRefusedNode()
	for name, node := range nodes {
		for why, body := range malformedSubmissions() {
			if reply := node.Submit(body); reply.Status != 400 {
				t.Errorf("%s: %s: status %d, want 400", name, why, reply.Status)
			}
		}
		for why, body := range infeasibleSubmissions() {
			if reply := node.Submit(body); reply.Status != 422 {
				t.Errorf("%s: %s: status %d, want 422", name, why, reply.Status)
			}
		}
	}
	env.checkNothingStored()
	for _, field := range []string{"rigs", "yard", "dueS", "awaits"} {
		for why, value := range map[string]any{"left out": absentField, "null": nil} {
			for name, node := range nodes {
				if reply := node.Submit(submissionWithField("j-1", field, value)); reply.Status != 201 && reply.Status != 200 {
					t.Errorf("%s: %s %s: status %d, want 201 or 200", name, field, why, reply.Status)
				}
			}
		}
	}
}

// During a store outage, nodes reject malformed submissions with 400, as these were never accepted. Infeasible
// ones get 503: only the store knows whether they repeat a job that was accepted under other limits, so they are
// neither rejected permanently nor accepted.
func TestInfeasibleSubmissionsAreDeferredDuringAStoreOutage(t *testing.T) {
	env := newTestCluster(t)
	nodes := env.startLeaderFollowerAndRefusedNode()
	env.store.SetOutage(true)
	check := func(when string) {
		for name, node := range nodes {
			for why, body := range malformedSubmissions() {
				if reply := node.Submit(body); reply.Status != 400 {
					t.Errorf("%s, %s: %s: status %d, want 400", when, name, why, reply.Status)
				}
			}
			for why, body := range infeasibleSubmissions() {
				if reply := node.Submit(body); reply.Status != 503 || reply.RetryAfter == 0 {
					t.Errorf("%s, %s: %s: got %+v, want status 503 with Retry-After", when, name, why, reply)
				}
			}
		}
	}
	check("while the leader holds its lease")
	nodes["leader"].activeLeader().term.End()
	check("after the lease expired")
	env.checkNothingStored()
}

func TestInvalidSubmissionsAreRejectedWithoutALeader(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith("n-1", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	for why, body := range malformedSubmissions() {
		if reply := node.Submit(body); reply.Status != 400 {
			t.Errorf("%s: status %d, want 400", why, reply.Status)
		}
	}
	for why, body := range infeasibleSubmissions() {
		want := 422
		if why == "depends on an unknown job" || why == "depends on itself" {
			want = 503 // the format gate is opened by the first leader
		}
		if reply := node.Submit(body); reply.Status != want {
			t.Errorf("%s: status %d, want %d", why, reply.Status, want)
		}
	}
	env.checkNothingStored()
	if reply := node.Submit(submission("j-1", wire.Gang)); reply.Status != 201 {
		t.Errorf("valid submission: got %+v, want status 201", reply)
	}
}

// A repeated submission of an accepted job is answered as a repeat even if limits were lowered, or teams and
// machine types replaced, since the job was accepted.
func TestRepeatedSubmissionIsAcceptedAfterConfigurationChanges(t *testing.T) {
	env := newTestCluster(t)
	nodes := env.startLeaderFollowerAndRefusedNode()
	for id, body := range map[string][]byte{"j-1": submission("j-1", wire.Gang), "j-2": dependentSubmission("j-2", "j-1")} {
		if reply := nodes["leader"].Submit(body); id == "j-1" && reply.Status != 201 {
			t.Fatalf("the first submission: got %+v, want status 201", reply)
		}
	}
	waitUntil(
		t, "the second job is accepted", func() bool {
			return nodes["leader"].Submit(dependentSubmission("j-2", "j-1")).Status == 200
		},
	)
	for _, change := range []struct {
		what string
		do   func(*Node)
	}{
		{"no change", func(*Node) {}},
		{"team limit lowered", func(node *Node) { node.Cfg.Facts.Teams = []config.Team{{Name: "team", CPUsMax: 0.5}} }},
		{"team removed", func(node *Node) { node.Cfg.Facts.Teams = nil }},
		{"machine types replaced", func(node *Node) {
			node.catalog.Store(&wire.Catalog{Types: []wire.MachineType{{Name: "tiny", CPUs: 0.1, Zones: []string{"a"}}}})
		}},
		{"value limit lowered", func(node *Node) {
			node.Cfg.Facts.State.ValueKB, node.Cfg.Facts.State.Next.ValueKB = 0.1, 0.1
		}},
	} {
		for _, node := range nodes {
			change.do(node)
		}
		for name, node := range nodes {
			for _, body := range [][]byte{submission("j-1", wire.Gang), dependentSubmission("j-2", "j-1")} {
				if reply := node.Submit(body); reply.Status != 200 {
					t.Errorf("%s, %s: got %+v, want status 200", change.what, name, reply)
				}
			}
		}
	}
	env.store.SetOutage(true)
	nodes["leader"].activeLeader().term.End()
	for name, node := range nodes {
		for _, body := range [][]byte{submission("j-1", wire.Gang), dependentSubmission("j-2", "j-1")} {
			if reply := node.Submit(body); reply.Status != 503 && reply.Status != 200 {
				t.Errorf("%s during a store outage: got %+v, want status 503 or 200", name, reply)
			}
		}
	}
	node := nodes["follower"]
	env.store.SetOutage(false)
	node.catalog.Store(nil)
	if reply := node.Submit(submission("j-1", wire.Gang)); reply.Status != 503 {
		t.Errorf("without a catalog of machine types: got %+v, want status 503", reply)
	}
}
