package model_test

import (
	"fmt"
	"sort"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// The limits on a value count its JSON form. Machines' names, sessions and attempts
// are as long here as they get in a few days.
func TestCompactRecordFitsTheSmallestValueWhateverItsTasksDo(t *testing.T) {
	for _, bytes := range []int{1 << 10, 2 << 10, 4 << 10, 16 << 10} {
		n := model.CompactTasks(bytes)
		rec := model.ChunkRecord{Done: [][2]int{}, Tries: [][2]int{}}
		for i := range n {
			rec.Places = append(rec.Places, model.PlaceRecord{Index: 9000 + i, Attempt: 3, Machine: fmt.Sprintf("i-%06d", 100000+i), Session: 2, Zone: []string{"a-long-zones-name", "another-long-name"}[i%2]})
		}
		if size := wire.JSONSize(rec.Compact()); size > bytes {
			t.Errorf("%d tasks take %d bytes of %d", n, size, bytes)
		}
		back := rec.Compact()
		got, ok := back.Expand()
		if !ok || fmt.Sprint(got.Places) != fmt.Sprint(rec.Places) {
			t.Errorf("read back: %v", got.Places)
		}
	}
	bad := model.CompactRecord{Zones: []string{"a"}, Machines: []string{"i-1"}, In: []int{1}, Places: [][4]wire.Count{{0, 1, 0, 1}}}
	if _, ok := bad.Expand(); ok {
		t.Error("a zone that the record lacks")
	}
}

// places lists what a model holds, in a fixed order.
func places(c *model.Cluster) []string {
	var out []string
	for _, j := range c.Jobs {
		for _, p := range j.AllPlaces() {
			out = append(out, fmt.Sprint(p.Name, " try ", p.Attempt, " on ", p.Machine.Name, " session ", p.Session, " in ", p.Machine.Zone))
		}
		for i := range j.Tasks {
			if j.Tasks[i].Done {
				out = append(out, fmt.Sprint(wire.TaskName(j.Spec.ID, i), " done"))
			}
		}
	}
	sort.Strings(out)
	return out
}

// disk is what the store holds of one job's tasks.
type disk struct {
	first   map[int]model.ChunkRecord
	compact map[int]model.CompactRecord
}

func (d *disk) takeover(spec wire.Job, tasks int, now micro.Time, fx model.Effects) *model.Cluster {
	c := model.New(fx)
	c.BaseTok = 2 << 24
	c.UseCompact(tasks)
	j := c.AddJob(spec, now, now)
	for n, rec := range d.compact {
		c.RestoreCompact(j, n, &rec, 5, now)
	}
	for n, rec := range d.first {
		c.Restore(j, n, &rec, 5, now)
	}
	return c
}

// A job begun under the earlier version has records of 128 tasks. Its tasks move
// to smaller records, one change at a time, and the leader may end after any.
func TestMoveToCompactRecordsReadsRightAfterEachStep(t *testing.T) {
	s := newSite(t)
	s.c.Teams["team"].CPUsMax = 0
	d := disk{first: map[int]model.ChunkRecord{}, compact: map[int]model.CompactRecord{}}
	spec := wire.Job{ID: "j-1", Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Normal, Tasks: 200, CPUs: 0.01, MemoryGB: 0.01, EstimateS: 10}
	w := s.worker("i-1", "a")
	s.worker("i-2", "b")
	j := s.add(spec)
	s.place(200)
	for _, ch := range j.Chunks {
		d.first[ch.N] = ch.Record()
	}
	s.persist()
	s.beat(w)
	w.Exit("j-1/3", 1, wire.CauseDone)
	s.beat(w) // its completion is not written yet
	before := places(s.c)
	s.c.UseCompact(32)
	if got := places(s.c); fmt.Sprint(got) != fmt.Sprint(before) {
		t.Fatal("the move itself changed the picture")
	}
	other := newSite(t)
	check := func(step string) {
		t.Helper()
		held := map[string]bool{}
		for _, p := range places(d.takeover(spec, 32, s.now, other)) {
			held[p] = true
		}
		for _, p := range before {
			if !held[p] && p != "j-1/3 done" { // that, the worker keeps until it is written
				t.Fatalf("%s: a takeover misses %q", step, p)
			}
		}
		if held["j-1/3 done"] && held["j-1/3 try 1 on i-1 session 1 in a"] {
			t.Fatalf("%s: the old record still has its say", step)
		}
	}
	for _, ch := range j.Chunks {
		rec := ch.Record()
		d.compact[ch.N] = rec.Compact()
		check(fmt.Sprint("record ", ch.N, " written"))
		s.c.Persisted(ch, ch.Ver)
		for _, o := range s.outdated {
			if !o.Free() {
				t.Fatal("a record is given up that still stands for tasks")
			}
			delete(d.first, o.N)
		}
		check(fmt.Sprint("record ", ch.N, " confirmed"))
	}
	if len(d.first) != 0 {
		t.Fatalf("%d records in the first form are left", len(d.first))
	}
	if got := places(d.takeover(spec, 32, s.now, other)); fmt.Sprint(got) != fmt.Sprint(before) {
		t.Fatalf("%d places, want %d", len(got), len(before))
	}
}
