package controller

import (
	"notchmux.dev/notchmux/internal/writer"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// A job is done, and the leader forgets it: polls, a repeated submission and a late
// word of its acceptance must not find it any other way than done.
func TestForgottenJobStaysDone(t *testing.T) {
	play(t, 4, 3, nil, func(w *simCluster) {
		j := w.wants(order{kind: wire.Array, tasks: 2, run: 3 * micro.Second}).submit()
		other := w.wants(order{kind: wire.Service, tasks: 1}).submit()
		w.until("done", 2*micro.Minute, func() bool { return stateOf(j.poll(w.any())) == wire.JobDone })
		w.runs(other, 1)
		knows := func() (known bool) {
			lead := w.leads().current().leading()
			read := make(chan struct{})
			lead.post(func() { _, known = lead.c.Jobs[j.id]; close(read) })
			<-read
			return known
		}
		if !knows() {
			t.Fatal("forgotten at once")
		}
		w.until("forgotten", 15*micro.Minute, func() bool { return !knows() })
		for _, p := range w.controllers {
			if r := j.poll(p); stateOf(r) != wire.JobDone {
				t.Errorf("%s says %+v of a job that is done", p.name, r)
			}
			if r := j.send(p); stateOf(r) != wire.JobDone {
				t.Errorf("%s answers %+v to the repeat of a job that is done", p.name, r)
			}
		}
		spec, _ := w.check.spec(j.id)
		lead := w.leads().current().leading()
		lead.post(func() { lead.addJob(spec) })
		w.sleep(10 * micro.Second)
		if knows() {
			t.Error("a late copy of its acceptance brought it back")
		}
		if w.recordsOf(j.id) != 0 {
			t.Error("it was forgotten before its records were deleted")
		}
	})
}

// recordsOf is how many records of a job's tasks the store holds.
func (w *simCluster) recordsOf(id string) int {
	p, err := w.store.Range(w.ctx, 0, "run/"+id+"/", "", 1000)
	if err != nil {
		w.t.Error(err)
	}
	return len(p.Items)
}

// A record that is yet to be deleted is the next leader's only word of a place.
func TestJobWithAnOpenRecordIsNotForgotten(t *testing.T) {
	h := newHerd(t, 4)
	j := h.l.c.List()[0].Sorted()[0].Job
	h.l.c.End(j, true, h.now)
	for _, p := range j.AllPlaces() {
		h.l.c.Lose(p.Machine, h.now)
	}
	h.now += micro.Minute * 60
	entry := h.l.records.chunk(j.Chunks[0])
	entry.Clean()
	entry.SetVersion(17)
	h.l.prune(h.now)
	if h.l.c.Jobs[j.Spec.ID] == nil {
		t.Fatal("forgotten though its record is in the store")
	}
	entry.SetVersion(0)
	h.l.prune(h.now)
	if h.l.c.Jobs[j.Spec.ID] != nil || h.l.records.chunks[j.Chunks[0]] != nil {
		t.Fatal("kept though nothing of it is left")
	}
	if s, ok := h.l.n.finals.get(j.Spec.ID); !ok || s.State != wire.JobAborted {
		t.Errorf("polls for it are not answered from memory: %+v", s)
	}
}

// Each round writes two records at the most, reaches all in turn, and deletes those
// that a smaller fleet needs no more.
func TestImageRecordsOfALargeFleetAreWrittenInTurn(t *testing.T) {
	h := newHerd(t, 4)
	h.l.c.UseCompact(64)
	has := model.ImageRecord{Names: []string{"x"}, GB: []float64{9}, Machines: map[string][]int{}}
	for i := range 4000 {
		has.Machines[h.l.c.Machine(wire.TaskName("i", i), h.now).Name] = []int{0}
	}
	h.l.c.RestoreImages(has, h.now)
	all := len(h.l.c.ImagePages(h.l.records.images.size()))
	written := h.imageRounds(3 * all)
	if len(written) != all {
		t.Errorf("%d of %d records were written", len(written), all)
	}
	for _, m := range h.l.c.List()[100:] {
		h.l.c.Depart(m, h.now)
	}
	h.imageRounds(3 * all)
	if n := len(h.l.records.images.pages); n != 0 {
		t.Errorf("%d records are left of a fleet that needs none", n)
	}
}

// imageRounds plays rounds of writing image records, and lists what was put.
func (h *herd) imageRounds(n int) map[string]bool {
	put := map[string]bool{}
	for range n {
		h.l.records.images.next(h.now)
		changes := 0
		h.l.records.Each(func(e *writer.Entry) {
			if !e.Dirty() || !isImageKey(e.Key) {
				return
			}
			changes++
			value, _ := e.Build()
			e.Clean()
			e.SetVersion(1)
			if value == nil {
				h.l.records.Drop(e)
				return
			}
			put[e.Key] = true
		})
		if changes > 2 {
			panic("more than two records in a round")
		}
	}
	return put
}

// Lists of 4,000 machines once took a third of the cloud's rate.
func TestListOfALargeFleetLeavesTheCloudsRateToRentals(t *testing.T) {
	for _, machines := range []int{40, 2000, 4000, 6000, 20000} {
		pages := (machines + 499) / 500
		pause := listPause(pages, 4)
		if pause < listEvery || pause > maxListPause || pause+micro.Time(pages)*300*micro.Millisecond > freshList+maxListPause {
			t.Errorf("%d machines: a pause of %v", machines, pause)
		}
		if rate := float64(pages) / pause.Seconds(); machines <= 4000 && rate > 1 {
			t.Errorf("%d machines: the list takes %.2f of 4 calls a second", machines, rate)
		}
	}
}
