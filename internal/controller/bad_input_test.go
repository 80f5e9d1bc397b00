package controller

import (
	"context"
	"math"
	"testing"

	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// trio is a leader, a node that follows it, and one that the store refuses.
func (b *bed) trio() map[string]*Node {
	lead, _ := b.open("n-0", long)
	addr := b.servePeer(lead)
	beside := func(name string, refused bool) *Node {
		n, _ := b.nodeWith(name, func(n *Node) {
			n.Cfg.Peers = []config.Peer{{Node: "n-0"}}
			n.Init()
			n.Peers = peer.NewClient(map[string]string{"n-0": addr})
		})
		wait(b.t, "leader known", func() bool { return n.election.Leader() == "n-0" })
		wait(b.t, "gate open", func() bool { n.lookAtGate(context.Background()); return n.Opened() })
		if refused {
			n.Store = blind{b.store}
			n.health.look(reach{refused: true})
		}
		return n
	}
	return map[string]*Node{"leader": lead, "follower": beside("n-1", false), "refused by the store": beside("n-2", true)}
}

// changed is a submission of a gang with a field changed, or left out.
func changed(id, field string, v any) []byte {
	var m map[string]any
	if err := wire.Unmarshal(submission(id, wire.Gang), &m); err != nil {
		panic(err)
	}
	if m[field] = v; v == absent {
		delete(m, field)
	}
	return wire.MustMarshal(m)
}

type leftOut struct{}

var absent any = leftOut{}

// malformed are submissions that are malformed whatever the state of the site.
func malformed() map[string][]byte {
	out := map[string][]byte{"empty": {}, "text": []byte("hello"), "not a map": wire.MustMarshal([]any{1}), "cut off": submission("j-1", wire.Gang)[:30]}
	add := func(field string, values map[string]any) {
		for why, v := range values {
			out[field+" "+why] = changed("j-1", field, v)
		}
	}
	for _, f := range []string{"nameId", "jobclass", "outfit", "shape", "rank", "bundle"} {
		add(f, map[string]any{"missing": absent, "null": nil, "a number": 7, "a list": []any{"x"}})
	}
	add("nameId", map[string]any{"empty": "", "of another form": "job-1", "a path": "j-1/end"})
	add("shape", map[string]any{"unknown": "pile"})
	add("rank", map[string]any{"unknown": "first"})
	for _, f := range []string{"pieces", "vcpus", "gpus", "ramGb", "pullGb", "guessS", "bookmarkS", "stashS"} {
		add(f, map[string]any{"missing": absent, "null": nil, "text": "1", "negative": -1, "no number": math.NaN(), "without end": math.Inf(1), "a flag": true})
	}
	add("pieces", map[string]any{"zero": 0, "a fraction": 1.5, "too many": wire.MaxTasks + 1})
	for _, f := range []string{"oneZone", "scatter", "loaners"} {
		add(f, map[string]any{"missing": absent, "null": nil, "a number": 1, "text": "true"})
	}
	add("rigs", map[string]any{"text": "small", "of numbers": []any{1}, "with null": []any{"small", nil}, "a map": map[string]any{}})
	add("yard", map[string]any{"a number": 1, "a list": []any{"a"}})
	add("dueS", map[string]any{"text": "1", "negative": -1, "no number": math.NaN()})
	add("awaits", map[string]any{"text": "j-2", "of numbers": []any{2}})
	return out
}

// impossibles are well-formed submissions of jobs that can never run.
func impossibles() map[string][]byte {
	return map[string][]byte{
		"unknown team": changed("j-1", "outfit", "nobody"), "too large": changed("j-1", "vcpus", 5), "no such zone": changed("j-1", "yard", "mars"),
		"no such type": changed("j-1", "rigs", []any{"none"}), "no type": changed("j-1", "rigs", []any{}),
		"over the limit": changed("j-1", "pieces", 17), "awaits what nobody submitted": changed("j-1", "awaits", []any{"j-404"}), "awaits itself": changed("j-1", "awaits", []any{"j-1"}),
	}
}

func (b *bed) nothingKept() {
	b.t.Helper()
	b.store.Outage(false)
	if p, err := b.store.Range(context.Background(), store.Routine, "job/", "", 10); err != nil || len(p.Items) > 0 {
		b.t.Errorf("kept: %v, %v", p.Items, err)
	}
}

func TestBadSubmissionsAreRefusedAtEveryNode(t *testing.T) {
	b := newBed(t)
	nodes := b.trio()
	for name, n := range nodes {
		for why, body := range malformed() {
			if r := n.Submit(body); r.Status != 400 {
				t.Errorf("%s: %s: status %d", name, why, r.Status)
			}
		}
		for why, body := range impossibles() {
			if r := n.Submit(body); r.Status != 422 {
				t.Errorf("%s: %s: status %d", name, why, r.Status)
			}
		}
	}
	b.nothingKept()
	for _, field := range []string{"rigs", "yard", "dueS", "awaits"} {
		for why, v := range map[string]any{"left out": absent, "null": nil} {
			for name, n := range nodes {
				if r := n.Submit(changed("j-1", field, v)); r.Status != 201 && r.Status != 200 {
					t.Errorf("%s: %s %s: status %d", name, field, why, r.Status)
				}
			}
		}
	}
}

// Whether a job that can't run now is the repeat of one that was accepted under
// other limits, only the store knows: without it, none is refused for good, and
// none taken. What is malformed was never accepted.
func TestBadSubmissionsInAnOutage(t *testing.T) {
	b := newBed(t)
	nodes := b.trio()
	b.store.Outage(true)
	check := func(when string) {
		for name, n := range nodes {
			for why, body := range malformed() {
				if r := n.Submit(body); r.Status != 400 {
					t.Errorf("%s, %s: %s: status %d", when, name, why, r.Status)
				}
			}
			for why, body := range impossibles() {
				if r := n.Submit(body); r.Status != 503 || r.RetryAfter == 0 {
					t.Errorf("%s, %s: %s: %+v", when, name, why, r)
				}
			}
		}
	}
	check("while the leader has its right")
	nodes["leader"].leading().term.End()
	check("once it has lapsed")
	b.nothingKept()
}

func TestBadSubmissionsWhileNobodyLeads(t *testing.T) {
	b := newBed(t)
	n, _ := b.nodeWith("n-1", func(n *Node) { n.election.Pause(10 * micro.Minute) })
	for why, body := range malformed() {
		if r := n.Submit(body); r.Status != 400 {
			t.Errorf("%s: status %d", why, r.Status)
		}
	}
	for why, body := range impossibles() {
		want := 422
		if why == "awaits what nobody submitted" || why == "awaits itself" {
			want = 503 // the gate opens with the first leader
		}
		if r := n.Submit(body); r.Status != want {
			t.Errorf("%s: status %d, want %d", why, r.Status, want)
		}
	}
	b.nothingKept()
	if r := n.Submit(submission("j-1", wire.Gang)); r.Status != 201 {
		t.Errorf("a good one: %+v", r)
	}
}

// The limits were lowered, and the machine types replaced, after a job was
// accepted: its repeat is still one.
func TestRepeatIsNeverRefusedWhateverChangedSince(t *testing.T) {
	b := newBed(t)
	nodes := b.trio()
	for id, body := range map[string][]byte{"j-1": submission("j-1", wire.Gang), "j-2": pipe("j-2", "j-1")} {
		if r := nodes["leader"].Submit(body); id == "j-1" && r.Status != 201 {
			t.Fatalf("%+v", r)
		}
	}
	wait(t, "the second", func() bool { return nodes["leader"].Submit(pipe("j-2", "j-1")).Status == 200 })
	for _, change := range []struct {
		what string
		do   func(*Node)
	}{
		{"nothing", func(*Node) {}},
		{"the limit lowered", func(n *Node) { n.Cfg.Facts.Teams = []config.Team{{Name: "team", CPUsMax: 0.5}} }},
		{"the team gone", func(n *Node) { n.Cfg.Facts.Teams = nil }},
		{"other machine types", func(n *Node) {
			n.catalog.Store(&wire.Catalog{Types: []wire.MachineType{{Name: "tiny", CPUs: 0.1, Zones: []string{"a"}}}})
		}},
		{"values smaller", func(n *Node) { n.Cfg.Facts.State.ValueKB, n.Cfg.Facts.State.Next.ValueKB = 0.1, 0.1 }},
	} {
		for _, n := range nodes {
			change.do(n)
		}
		for name, n := range nodes {
			for _, body := range [][]byte{submission("j-1", wire.Gang), pipe("j-2", "j-1")} {
				if r := n.Submit(body); r.Status != 200 {
					t.Errorf("%s, %s: %+v", change.what, name, r)
				}
			}
		}
	}
	b.store.Outage(true)
	nodes["leader"].leading().term.End()
	for name, n := range nodes {
		for _, body := range [][]byte{submission("j-1", wire.Gang), pipe("j-2", "j-1")} {
			if r := n.Submit(body); r.Status != 503 && r.Status != 200 {
				t.Errorf("in an outage, %s: %+v", name, r)
			}
		}
	}
	n := nodes["follower"]
	b.store.Outage(false)
	n.catalog.Store(nil)
	if r := n.Submit(submission("j-1", wire.Gang)); r.Status != 503 {
		t.Errorf("without the machine types: %+v", r)
	}
}
