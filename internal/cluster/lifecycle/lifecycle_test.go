package lifecycle_test

import (
	"testing"

	"notchmux.dev/notchmux/internal/cluster/lifecycle"
)

func TestFinalStatesAreNeverLeft(t *testing.T) {
	for to := lifecycle.Active; to <= lifecycle.Assigned; to++ {
		if lifecycle.Done.CanTransitionTo(to) || lifecycle.Aborted.CanTransitionTo(to) {
			t.Errorf("a job that is over may become %v", to)
		}
	}
	for to := lifecycle.Planned; to <= lifecycle.Released; to++ {
		if lifecycle.Released.CanTransitionTo(to) {
			t.Errorf("an allocation that was released may become %v", to)
		}
	}
	for to := lifecycle.Registering; to <= lifecycle.Terminated; to++ {
		if lifecycle.Terminated.CanTransitionTo(to) {
			t.Errorf("a machine that was terminated may become %v", to)
		}
	}
}

// Planned is what an unknown state on the wire reads as: it must change nothing.
func TestNoAllocationBecomesPlannedAgain(t *testing.T) {
	for from := lifecycle.Planned; from <= lifecycle.Released; from++ {
		if from.CanTransitionTo(lifecycle.Planned) {
			t.Errorf("%v may become planned", from)
		}
	}
}

func TestEveryLiveStateMayEnd(t *testing.T) {
	for from := lifecycle.Planned; from < lifecycle.Released; from++ {
		if !from.CanTransitionTo(lifecycle.Released) {
			t.Errorf("an allocation that is %v is never released", from)
		}
	}
	for from := lifecycle.Registering; from < lifecycle.Terminating; from++ {
		if !from.CanTransitionTo(lifecycle.Terminating) {
			t.Errorf("a machine that is %v is never terminated", from)
		}
	}
	for from := lifecycle.Active; from <= lifecycle.Assigned; from++ {
		if from != lifecycle.Done && from != lifecycle.Aborted && !from.CanTransitionTo(lifecycle.Aborted) {
			t.Errorf("a job that is %v is never aborted", from)
		}
	}
}
