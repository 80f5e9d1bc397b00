package lifecycle_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster/lifecycle"
)

func TestFinalStatesHaveNoTransitions(t *testing.T) {
	for to := lifecycle.Active; to <= lifecycle.Assigned; to++ {
		if lifecycle.Done.CanTransitionTo(to) || lifecycle.Aborted.CanTransitionTo(to) {
			t.Errorf("a job in a final state can transition to %v", to)
		}
	}
	for to := lifecycle.Planned; to <= lifecycle.Released; to++ {
		if lifecycle.Released.CanTransitionTo(to) {
			t.Errorf("a released allocation can transition to %v", to)
		}
	}
	for to := lifecycle.Registering; to <= lifecycle.Terminated; to++ {
		if lifecycle.Terminated.CanTransitionTo(to) {
			t.Errorf("a terminated machine can transition to %v", to)
		}
	}
}

// An unknown task state in a message maps to Planned, which must not change any allocation.
func TestNoAllocationStateCanTransitionToPlanned(t *testing.T) {
	for from := lifecycle.Planned; from <= lifecycle.Released; from++ {
		if from.CanTransitionTo(lifecycle.Planned) {
			t.Errorf("%v can transition to planned", from)
		}
	}
}

func TestEveryNonFinalStateCanEnd(t *testing.T) {
	for from := lifecycle.Planned; from < lifecycle.Released; from++ {
		if !from.CanTransitionTo(lifecycle.Released) {
			t.Errorf("a %v allocation cannot be released", from)
		}
	}
	for from := lifecycle.Registering; from < lifecycle.Terminating; from++ {
		if !from.CanTransitionTo(lifecycle.Terminating) {
			t.Errorf("a %v machine cannot be terminated", from)
		}
	}
	for from := lifecycle.Active; from <= lifecycle.Assigned; from++ {
		if from != lifecycle.Done && from != lifecycle.Aborted && !from.CanTransitionTo(lifecycle.Aborted) {
			t.Errorf("a %v job cannot be aborted", from)
		}
	}
}
