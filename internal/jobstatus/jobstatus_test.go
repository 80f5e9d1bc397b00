package jobstatus_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"

	"notchmux.dev/notchmux/internal/jobstatus"
	"notchmux.dev/notchmux/wire"
)

var errUncertain = errors.New("uncertain")

// storedStates is a Source. A job that it does not hold has an uncertain state.
type storedStates map[string]jobstatus.StoredState

func (s storedStates) StoredState(id string) (jobstatus.StoredState, error) {
	stored, ok := s[id]
	if !ok {
		return jobstatus.StoredState{}, errUncertain
	}
	return stored, nil
}

func ended(state wire.JobState) jobstatus.StoredState { return jobstatus.StoredState{Final: state} }

func waiting(dependencies ...string) jobstatus.StoredState {
	return jobstatus.StoredState{Dependencies: dependencies}
}

func TestStatusFollowsFromStoredStatesOfDependencies(t *testing.T) {
	stored := storedStates{
		"done": ended(wire.JobDone), "aborted": ended(wire.JobAborted), "open": waiting(), "open-2": waiting(),
		"after-done": waiting("done", "open"), "after-aborted": waiting("aborted"),
		"third": waiting("after-done", "after-aborted"), "after-unknown": waiting("unknown"),
		"cyclic": waiting("cyclic-2"), "cyclic-2": waiting("cyclic"),
	}
	pending := wire.JobStatus{ID: "j", State: wire.JobPending}
	aborted := wire.JobStatus{ID: "j", State: wire.JobAborted}
	running := wire.JobStatus{ID: "j", State: wire.JobRunning, Running: 1}
	restarting := wire.JobStatus{ID: "j", State: wire.JobPending, Done: 1}
	unmet := func(ids ...string) wire.JobStatus {
		return wire.JobStatus{ID: "j", State: wire.JobPending, Dependencies: ids}
	}
	done := wire.JobStatus{ID: "j", State: wire.JobDone}
	for name, test := range map[string]struct {
		own          wire.JobStatus
		dependencies []string
		want         wire.JobStatus
		abortedBy    string // the expected aborted dependency
		uncertain    bool
	}{
		"no dependencies":             {pending, nil, pending, "", false},
		"all done":                    {pending, []string{"done", "done"}, pending, "", false},
		"not ended":                   {pending, []string{"open", "done", "open-2"}, unmet("open", "open-2"), "", false},
		"aborted":                     {pending, []string{"open", "aborted"}, aborted, "aborted", false},
		"aborted two layers before":   {pending, []string{"after-aborted"}, aborted, "aborted", false},
		"aborted three layers before": {pending, []string{"open", "third"}, aborted, "aborted", false},
		"only direct ones are listed": {pending, []string{"after-done"}, unmet("after-done"), "", false},
		"unknown":                     {pending, []string{"open", "unknown"}, wire.JobStatus{}, "", true},
		"unknown two layers before":   {pending, []string{"after-unknown"}, wire.JobStatus{}, "", true},
		"listed once":                 {pending, []string{"open", "open"}, unmet("open"), "", false},
		"cycle":                       {pending, []string{"cyclic"}, unmet("cyclic"), "", false},
		"final states do not change":  {done, []string{"aborted"}, done, "", false},
		"running":                     {running, []string{"unknown"}, running, "", false},
		"started, none running":       {restarting, []string{"unknown"}, restarting, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			derived, err := jobstatus.Derive(test.own, test.dependencies, stored)
			if test.uncertain {
				if !errors.Is(err, errUncertain) {
					t.Fatalf("got %+v, error %v, want %v", derived, err, errUncertain)
				}
				return
			}
			want := jobstatus.Derived{Status: test.want, AbortedDependency: test.abortedBy}
			if err != nil || !reflect.DeepEqual(derived, want) {
				t.Fatalf("got %+v, error %v, want %+v", derived, err, want)
			}
		})
	}
}

// The response to a query must stay below the limit of a body, whatever dependencies the job has.
func TestOnlySomeUnmetDependenciesAreListed(t *testing.T) {
	stored := storedStates{}
	dependencies := make([]string, 0, 2000)
	for i := range 1000 {
		id := fmt.Sprint("j-", i)
		dependencies, stored[id] = append(dependencies, id), waiting("first")
	}
	stored["first"] = waiting()
	derived, err := jobstatus.Derive(wire.JobStatus{State: wire.JobPending}, dependencies, stored)
	if err != nil || !reflect.DeepEqual(derived.Status.Dependencies, dependencies[:10]) {
		t.Fatalf("listed %v, error %v, want the first ten", derived.Status.Dependencies, err)
	}
	if more := dependencies[:1001]; more[1000] != "" {
		t.Fatalf("%q was written into the caller's list", more[1000])
	}
}
