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

// startLeaderFollowerAndRefusedNode is a leader, a node that follows it, and one that the store refuses.
func (b *testCluster) startLeaderFollowerAndRefusedNode() map[string]*Node {
	leader, _ := b.startLeaderWithFormatGateOpen("n-0", withLongLease)
	addr := b.servePeer(leader)
	beside := func(name string, refused bool) *Node {
		node, _ := b.startNodeWith(name, func(node *Node) {
			node.Cfg.Peers = []config.Peer{{Node: "n-0"}}
			node.Peers = peer.NewClient(map[string]string{"n-0": addr})
		})
		waitUntil(b.t, "leader known", func() bool { return node.election.Leader() == "n-0" })
		waitUntil(
			b.t, "gate open", func() bool { node.formatGate.Check(context.Background()); return node.formatGate.FormatOpen() },
		)
		if refused {
			replaceStore(node, refusingStore{b.store})
			node.health.Observe(health.ProbeResult{StoreRefused: true})
		}
		return node
	}
	return map[string]*Node{
		"leader": leader, "follower": beside("n-1", false),
		"refused by the store": beside("n-2", true),
	}
}

// submissionWithField is a submission of a gang with a field changed, or left out.
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

var absentField any = omittedField{}

// malformedSubmissions are submissions that are malformed whatever the state of the site.
func malformedSubmissions() map[string][]byte {
	out := map[string][]byte{
		"empty": {}, "text": []byte("hello"), "not a map": wire.MustMarshal([]any{1}),
		"cut off": submission("j-1", wire.Gang)[:30],
	}
	add := func(field string, values map[string]any) {
		for why, value := range values {
			out[field+" "+why] = submissionWithField("j-1", field, value)
		}
	}
	for _, f := range []string{"nameId", "jobclass", "outfit", "shape", "rank", "bundle"} {
		add(f, map[string]any{"missing": absentField, "null": nil, "a number": 7, "a list": []any{"x"}})
	}
	add("nameId", map[string]any{"empty": "", "of another form": "job-1", "a path": "j-1/end"})
	add("shape", map[string]any{"unknown": "pile"})
	add("rank", map[string]any{"unknown": "first"})
	for _, f := range []string{"pieces", "vcpus", "gpus", "ramGb", "pullGb", "guessS", "bookmarkS", "stashS"} {
		add(
			f,
			map[string]any{
				"missing": absentField, "null": nil, "text": "1", "negative": -1, "no number": math.NaN(),
				"without end": math.Inf(1), "a flag": true,
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
	add("dueS", map[string]any{"text": "1", "negative": -1, "no number": math.NaN()})
	add("awaits", map[string]any{"text": "j-2", "of numbers": []any{2}})
	return out
}

// infeasibleSubmissions are well-formed submissions of jobs that can never run.
func infeasibleSubmissions() map[string][]byte {
	return map[string][]byte{
		"unknown team":                 submissionWithField("j-1", "outfit", "nobody"),
		"too large":                    submissionWithField("j-1", "vcpus", 5),
		"no such zone":                 submissionWithField("j-1", "yard", "mars"),
		"no such type":                 submissionWithField("j-1", "rigs", []any{"none"}),
		"no type":                      submissionWithField("j-1", "rigs", []any{}),
		"over the limit":               submissionWithField("j-1", "pieces", 17),
		"awaits what nobody submitted": submissionWithField("j-1", "awaits", []any{"j-404"}),
		"awaits itself":                submissionWithField("j-1", "awaits", []any{"j-1"}),
	}
}

func (b *testCluster) checkNothingStored() {
	b.t.Helper()
	b.store.SetOutage(false)
	if p, err := b.store.Range(context.Background(), store.Routine, "job/", "", 10); err != nil || len(p.Items) > 0 {
		b.t.Errorf("kept: %v, %v", p.Items, err)
	}
}

func TestInvalidSubmissionsAreRejectedAtEveryNode(t *testing.T) {
	env := newTestCluster(t)
	nodes := env.startLeaderFollowerAndRefusedNode()
	for name, node := range nodes {
		for why, body := range malformedSubmissions() {
			if reply := node.Submit(body); reply.Status != 400 {
				t.Errorf("%s: %s: status %d", name, why, reply.Status)
			}
		}
		for why, body := range infeasibleSubmissions() {
			if reply := node.Submit(body); reply.Status != 422 {
				t.Errorf("%s: %s: status %d", name, why, reply.Status)
			}
		}
	}
	env.checkNothingStored()
	for _, field := range []string{"rigs", "yard", "dueS", "awaits"} {
		for why, value := range map[string]any{"left out": absentField, "null": nil} {
			for name, node := range nodes {
				if reply := node.Submit(submissionWithField("j-1", field, value)); reply.Status != 201 && reply.Status != 200 {
					t.Errorf("%s: %s %s: status %d", name, field, why, reply.Status)
				}
			}
		}
	}
}

// Whether a job that can't run now is the repeat of one that was accepted under
// other limits, only the store knows: without it, none is refused for good, and
// none taken. What is malformed was never accepted.
func TestInfeasibleSubmissionsAreDeferredDuringAStoreOutage(t *testing.T) {
	env := newTestCluster(t)
	nodes := env.startLeaderFollowerAndRefusedNode()
	env.store.SetOutage(true)
	check := func(when string) {
		for name, node := range nodes {
			for why, body := range malformedSubmissions() {
				if reply := node.Submit(body); reply.Status != 400 {
					t.Errorf("%s, %s: %s: status %d", when, name, why, reply.Status)
				}
			}
			for why, body := range infeasibleSubmissions() {
				if reply := node.Submit(body); reply.Status != 503 || reply.RetryAfter == 0 {
					t.Errorf("%s, %s: %s: %+v", when, name, why, reply)
				}
			}
		}
	}
	check("while the leader has its right")
	nodes["leader"].activeLeader().term.End()
	check("once it has lapsed")
	env.checkNothingStored()
}

func TestInvalidSubmissionsAreRejectedWithoutALeader(t *testing.T) {
	env := newTestCluster(t)
	node, _ := env.startNodeWith("n-1", func(node *Node) { node.election.SuspendCampaign(10 * micro.Minute) })
	for why, body := range malformedSubmissions() {
		if reply := node.Submit(body); reply.Status != 400 {
			t.Errorf("%s: status %d", why, reply.Status)
		}
	}
	for why, body := range infeasibleSubmissions() {
		want := 422
		if why == "awaits what nobody submitted" || why == "awaits itself" {
			want = 503 // the gate opens with the first leader
		}
		if reply := node.Submit(body); reply.Status != want {
			t.Errorf("%s: status %d, want %d", why, reply.Status, want)
		}
	}
	env.checkNothingStored()
	if reply := node.Submit(submission("j-1", wire.Gang)); reply.Status != 201 {
		t.Errorf("a good one: %+v", reply)
	}
}

// The limits were lowered, and the machine types replaced, after a job was
// accepted: its repeat is still one.
func TestRepeatedSubmissionIsAcceptedAfterConfigurationChanges(t *testing.T) {
	env := newTestCluster(t)
	nodes := env.startLeaderFollowerAndRefusedNode()
	for id, body := range map[string][]byte{"j-1": submission("j-1", wire.Gang), "j-2": dependentSubmission("j-2", "j-1")} {
		if reply := nodes["leader"].Submit(body); id == "j-1" && reply.Status != 201 {
			t.Fatalf("%+v", reply)
		}
	}
	waitUntil(
		t, "the second", func() bool { return nodes["leader"].Submit(dependentSubmission("j-2", "j-1")).Status == 200 },
	)
	for _, change := range []struct {
		what string
		do   func(*Node)
	}{
		{"nothing", func(*Node) {}},
		{"the limit lowered", func(node *Node) { node.Cfg.Facts.Teams = []config.Team{{Name: "team", CPUsMax: 0.5}} }},
		{"the team gone", func(node *Node) { node.Cfg.Facts.Teams = nil }},
		{"other machine types", func(node *Node) {
			node.catalog.Store(&wire.Catalog{Types: []wire.MachineType{{Name: "tiny", CPUs: 0.1, Zones: []string{"a"}}}})
		}},
		{"values smaller", func(node *Node) { node.Cfg.Facts.State.ValueKB, node.Cfg.Facts.State.Next.ValueKB = 0.1, 0.1 }},
	} {
		for _, node := range nodes {
			change.do(node)
		}
		for name, node := range nodes {
			for _, body := range [][]byte{submission("j-1", wire.Gang), dependentSubmission("j-2", "j-1")} {
				if reply := node.Submit(body); reply.Status != 200 {
					t.Errorf("%s, %s: %+v", change.what, name, reply)
				}
			}
		}
	}
	env.store.SetOutage(true)
	nodes["leader"].activeLeader().term.End()
	for name, node := range nodes {
		for _, body := range [][]byte{submission("j-1", wire.Gang), dependentSubmission("j-2", "j-1")} {
			if reply := node.Submit(body); reply.Status != 503 && reply.Status != 200 {
				t.Errorf("in an outage, %s: %+v", name, reply)
			}
		}
	}
	node := nodes["follower"]
	env.store.SetOutage(false)
	node.catalog.Store(nil)
	if reply := node.Submit(submission("j-1", wire.Gang)); reply.Status != 503 {
		t.Errorf("without the machine types: %+v", reply)
	}
}
