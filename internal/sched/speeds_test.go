package sched

import (
	"testing"

	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/wire"
)

type quiet struct{ model.Effects }

func twoTypes() *model.Cluster {
	c := model.New(quiet{})
	c.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "ref", CPUs: 4}, {Name: "other", CPUs: 4}}})
	return c
}

// Short tasks complete first: compared while an array runs, the type that
// completes later looks slow. Only whole arrays count.
func TestLikeTypesStayAlikeWhateverTheOrderOfCompletion(t *testing.T) {
	s, c := NewSpeeds(), twoTypes()
	for range 20 {
		for i := range 5 {
			s.Sample("j-1", "ref", float64(10+10*i), 1)
			s.Sample("j-1", "other", float64(10+10*i), 1)
		}
		s.Finish("j-1", "ref")
	}
	s.Apply(c)
	if k := c.Types["other"].K; k != 1 {
		t.Errorf("k of a like type is %v", k)
	}
}

func TestSlowTypeIsLearntAndSurvivesItsRecord(t *testing.T) {
	s, c := NewSpeeds(), twoTypes()
	for range 10 {
		for range 4 {
			s.Sample("j-1", "ref", 30, 2)
			s.Sample("j-1", "other", 60, 2)
		}
		s.Finish("j-1", "ref")
	}
	if !s.Dirty() || s.Dirty() {
		t.Error("the mark for writing")
	}
	again := NewSpeeds()
	again.Restore(s.Record())
	again.Apply(c)
	if k := c.Types["other"].K; k < 0.49 || k > 0.51 {
		t.Errorf("k is %v, want 0.5", k)
	}
}

func TestFewOrForgottenRunsTeachNothing(t *testing.T) {
	s, c := NewSpeeds(), twoTypes()
	s.Sample("j-1", "ref", 30, 1)
	s.Sample("j-1", "other", 300, 1)
	s.Finish("j-1", "ref")
	for range 50 {
		s.Sample("j-2", "ref", 30, 1)
		s.Sample("j-2", "other", 300, 1)
	}
	s.Forget("j-2")
	s.Finish("j-2", "ref")
	s.Apply(c)
	if k := c.Types["other"].K; k != 1 {
		t.Errorf("k is %v", k)
	}
}
