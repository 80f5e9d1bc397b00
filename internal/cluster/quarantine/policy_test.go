package quarantine_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
)

// fakeFleet implements quarantine.Fleet with a fixed set of proven jobs.
type fakeFleet struct {
	machines    map[string]*quarantine.Machine
	proven      map[string]bool
	quarantined map[string]bool
}

func (f *fakeFleet) MachineCount() int                               { return len(f.machines) }
func (f *fakeFleet) SucceedsElsewhere(job string, _ micro.Time) bool { return f.proven[job] }
func (f *fakeFleet) Quarantined(machine string)                      { f.quarantined[machine] = true }

func (f *fakeFleet) QuarantineLifted(machine string) { delete(f.quarantined, machine) }

func newFakeFleet(machines int, proven []string) *fakeFleet {
	f := &fakeFleet{map[string]*quarantine.Machine{}, map[string]bool{}, map[string]bool{}}
	for i := range machines {
		f.machines[fmt.Sprint("m", i)] = &quarantine.Machine{JobFailures: map[string]micro.Time{}}
	}
	for _, job := range proven {
		f.proven[job] = true
	}
	return f
}

func TestMachinesAreQuarantinedForTheFailuresOfSeveralJobs(t *testing.T) {
	const now = 60 * micro.Minute
	for _, tt := range []struct {
		name     string
		machines int
		failures map[string][]string // jobs that failed, by machine
		proven   []string
		want     int
	}{
		{"one job failed on a machine: not quarantined", 40, map[string][]string{"m0": {"a"}}, nil, 0},
		{"two unproven jobs failed on a machine: quarantined", 40, map[string][]string{"m0": {"a", "b"}}, nil, 1},
		{
			"unproven jobs failed on too many machines: none quarantined", 40,
			map[string][]string{"m0": {"a", "b"}, "m1": {"a", "b"}, "m2": {"a", "b"}},
			nil, 0,
		},
		{
			"proven jobs failed on as many machines: all quarantined", 40,
			map[string][]string{"m0": {"a", "b"}, "m1": {"a", "b"}, "m2": {"a", "b"}},
			[]string{"a", "b"},
			3,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fleet := newFakeFleet(tt.machines, tt.proven)
			policy := quarantine.NewPolicy()
			for name, jobs := range tt.failures {
				for _, job := range jobs {
					policy.AttributeFailure(name, fleet.machines[name], job, &quarantine.Job{}, now)
				}
			}
			policy.UpdateQuarantine(fleet, now)
			if len(fleet.quarantined) != tt.want {
				t.Errorf("quarantined %v, want %d machines", fleet.quarantined, tt.want)
			}
		})
	}
}
