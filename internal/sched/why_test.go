package sched

import (
	"testing"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

func TestWhyAJobWaits(t *testing.T) {
	now := 10 * micro.Second
	for _, x := range []struct {
		want Reason
		set  func(y *yard, j *model.Job, m *model.Machine)
	}{
		{InTurn, func(*yard, *model.Job, *model.Machine) {}},
		{PartOnly, func(_ *yard, j *model.Job, _ *model.Machine) { j.Spec.Kind, j.Spec.CPUs = wire.Gang, 4 }},
		{KeptForGPUs, func(y *yard, _ *model.Job, m *model.Machine) {
			y.c.Describe(m, "gpu", "a", false)
			y.c.Class("g").Last = &wire.Job{GPUs: 4, CPUs: 8, MemoryGB: 64}
		}},
		{DearRoom, func(y *yard, _ *model.Job, _ *model.Machine) {
			y.p.Affordable = func(*model.Job, *model.Type, bool, micro.Time) bool { return false }
		}},
		{GatheredRoom, func(y *yard, j *model.Job, m *model.Machine) { y.p.hold(m, y.array("j-2", 1, 1, 0), true, now) }},
		{AvoidedMachines, func(_ *yard, _ *model.Job, m *model.Machine) { m.Avoid = now + 1 }},
		{UnreachableMachines, func(_ *yard, _ *model.Job, m *model.Machine) { m.Mute = true }},
		{ZoneRule, func(_ *yard, j *model.Job, _ *model.Machine) { j.Spec.OneZone, j.ZoneHeld["b"] = true, 1 }},
		{NoRoom, func(_ *yard, _ *model.Job, m *model.Machine) { m.UsedMem = m.Type.MemoryGB }},
		{Limit, func(_ *yard, j *model.Job, _ *model.Machine) { j.Team = &model.Team{CPUsMax: 0.5} }},
		{LimitSaved, func(y *yard, j *model.Job, _ *model.Machine) {
			j.Team = &model.Team{CPUsMax: 8, Saving: y.array("j-2", 1, 1, 0)}
		}},
		{Backoff, func(_ *yard, j *model.Job, _ *model.Machine) { j.NotBefore = now + 1 }},
		{WindingDown, func(_ *yard, j *model.Job, _ *model.Machine) { j.GangStop = true }},
	} {
		y := newYard(t)
		j, m := y.array("j-1", 2, 1, 0), y.machine("i-1", "small", "a")
		x.set(y, j, m)
		if got := y.p.Why(j, now); got != x.want {
			t.Errorf("it says %v, want %v", got, x.want)
		}
	}
}
