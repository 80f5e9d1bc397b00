package scheduler

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/wire"
)

// noEffects panics on any effect.
type noEffects struct{ cluster.Effects }

// newTwoTypeCluster returns a state whose reference type is "ref".
func newTwoTypeCluster() *cluster.State {
	state := cluster.New(noEffects{})
	state.SetCatalog(&wire.Catalog{Types: []wire.MachineType{{Name: "ref", CPUs: 4}, {Name: "other", CPUs: 4}}})
	return state
}

// Short tasks complete first. If types were compared while an array runs, the type whose tasks complete later would
// look slow, so only complete arrays count.
func TestEqualTypesKeepEqualSpeedForAnyCompletionOrder(t *testing.T) {
	estimator, state := NewSpeedEstimator(), newTwoTypeCluster()
	for range 20 {
		for i := range 5 {
			estimator.AddSample("j-1", "ref", float64(10+10*i), 1)
			estimator.AddSample("j-1", "other", float64(10+10*i), 1)
		}
		estimator.FinishArray("j-1", "ref")
	}
	estimator.Apply(state)
	if speedFactor := state.Types["other"].SpeedFactor; speedFactor != 1 {
		t.Errorf("speed factor of a type with equal run times is %v, want 1", speedFactor)
	}
}

func TestSlowTypeSpeedIsLearntAndRestoredFromRecord(t *testing.T) {
	estimator, state := NewSpeedEstimator(), newTwoTypeCluster()
	for range 10 {
		for range 4 {
			estimator.AddSample("j-1", "ref", 30, 2)
			estimator.AddSample("j-1", "other", 60, 2)
		}
		estimator.FinishArray("j-1", "ref")
	}
	if !estimator.TakeDirty() || estimator.TakeDirty() {
		t.Error("TakeDirty must return true once after a change, then false")
	}
	restored := NewSpeedEstimator()
	restored.Restore(estimator.Record())
	restored.Apply(state)
	if speedFactor := state.Types["other"].SpeedFactor; speedFactor < 0.49 || speedFactor > 0.51 {
		t.Errorf("speed factor is %v, want 0.5", speedFactor)
	}
}

func TestFewOrDroppedSamplesAreIgnored(t *testing.T) {
	estimator, state := NewSpeedEstimator(), newTwoTypeCluster()
	estimator.AddSample("j-1", "ref", 30, 1)
	estimator.AddSample("j-1", "other", 300, 1)
	estimator.FinishArray("j-1", "ref")
	for range 50 {
		estimator.AddSample("j-2", "ref", 30, 1)
		estimator.AddSample("j-2", "other", 300, 1)
	}
	estimator.DropSamples("j-2")
	estimator.FinishArray("j-2", "ref")
	estimator.Apply(state)
	if speedFactor := state.Types["other"].SpeedFactor; speedFactor != 1 {
		t.Errorf("speed factor is %v, want 1", speedFactor)
	}
}
