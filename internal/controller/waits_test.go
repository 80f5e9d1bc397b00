package controller

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Why a job waits is told once, after a while, of a few jobs at a time.
func TestOperatorsAreToldOnceWhyAJobWaits(t *testing.T) {
	h := newHerd(t, 4)
	for j := range h.l.c.Pending {
		h.l.c.End(j, true, h.now) // what the herd could not place
	}
	var out bytes.Buffer
	h.l.log = slog.New(slog.NewTextHandler(&out, nil))
	for i := range 10 {
		h.l.addJob(wire.Job{ID: fmt.Sprint("j-77", i), Class: "c", Team: "team", Kind: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 8, MemoryGB: 1, EstimateS: 50})
	}
	look := func() int {
		was := strings.Count(out.String(), "msg=\"job waits\"")
		h.l.lookOver(h.now)
		return strings.Count(out.String(), "msg=\"job waits\"") - was
	}
	h.now += 29 * micro.Second
	if n := look(); n != 0 {
		t.Fatalf("%d told too soon", n)
	}
	told := 0
	for i := range 5 {
		h.now += micro.Second
		n := look()
		if n > explainAtOnce {
			t.Fatalf("%d at once", n)
		}
		if told += n; i == 0 && n != explainAtOnce {
			t.Fatalf("%d told", n)
		}
	}
	if told != 10 || h.l.pendingTasks.Load() != 20 {
		t.Fatalf("%d of 10 told, %d tasks counted", told, h.l.pendingTasks.Load())
	}
	if !strings.Contains(out.String(), "job=j-770 since_s=3") || !strings.Contains(out.String(), "why=\"no room\"") {
		t.Fatal(out.String())
	}
	h.now += 5 * micro.Minute
	if n := look(); n != 0 {
		t.Fatalf("%d told again", n)
	}
}
