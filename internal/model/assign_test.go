package model_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

// A machine that was another controller's is heard of only after its share was taken
// back: a start of that controller may still be on its way, under a token of this term
// or above.
func TestTaskOnAMachineThatWasAnothersIsFreeOnlyUnderANewerToken(t *testing.T) {
	s := newSite(t)
	s.job("j-1", wire.Array, 1, 1)
	w := s.worker("i-1", "a")
	first := s.token + 1000
	w.Token = first - 1 // the other owner's
	w.Tasks[fake.Key{Task: "j-1/0", Attempt: 1}] = &wire.TaskReport{Task: "j-1/0", Attempt: 1, State: wire.TaskRunning}
	s.c.RaiseBase(first)
	m, _ := s.c.Apply(w.Report(), model.Beat, s.now)
	places := m.Sorted()
	if len(places) != 1 || !places[0].Stopping || places[0].Direct != first-1 {
		t.Fatalf("%+v", places)
	}
}

// A job in a share takes its part of its team's limit until its assignment is gone: less
// as its tasks end, more where the limit has room.
func TestAssignedJobTakesItsPartOfTheLimit(t *testing.T) {
	s := newSite(t)
	team := s.c.Teams["team"] // of 8 CPUs
	held := s.job("j-1", wire.Service, 3, 1)
	if n := s.c.Assign(held, "east"); n != 3 || team.UsedCPU != 3 {
		t.Fatalf("%d tasks, %v CPUs", n, team.UsedCPU)
	}
	array := s.job("j-2", wire.Array, 10, 1)
	if n := s.c.Assign(array, "east"); n != 5 || team.UsedCPU != 8 {
		t.Fatalf("%d tasks of the array, %v CPUs", n, team.UsedCPU)
	}
	gang := s.job("j-3", wire.Gang, 2, 1)
	if n := s.c.Assign(gang, "east"); n != 0 || gang.State != model.Active {
		t.Errorf("%d tasks of a gang beyond the limit", n)
	}
	s.c.Release(array, 7) // it needs more than it has
	if team.UsedCPU != 8 {
		t.Errorf("%v CPUs", team.UsedCPU)
	}
	s.c.Release(held, 1)
	if n := s.c.ReserveMore(array, 5); n != 2 || team.UsedCPU != 8 {
		t.Errorf("%d more, %v CPUs", n, team.UsedCPU)
	}
	s.c.Unassign(held, s.now)
	if team.UsedCPU != 7 || held.State != model.Active || held.Share != "" {
		t.Errorf("%v CPUs, %v in %q", team.UsedCPU, held.State, held.Share)
	}
	s.c.Finish(array)
	s.c.End(array, false, s.now)
	s.c.Unassign(array, s.now)
	if team.UsedCPU != 0 || array.State != model.Done {
		t.Errorf("%v CPUs, %v", team.UsedCPU, array.State)
	}
	if !s.c.Pending[held] {
		t.Error("the job that was handed back does not wait for a place")
	}
}
