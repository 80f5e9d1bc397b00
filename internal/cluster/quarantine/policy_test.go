package quarantine_test

import (
	"fmt"
	"testing"

	"notchmux.dev/notchmux/internal/cluster/quarantine"
	"notchmux.dev/notchmux/internal/micro"
)

// fleet is machines and the jobs that do well elsewhere.
type fleet struct {
	machines    map[string]*quarantine.Machine
	proven      map[string]bool
	quarantined map[string]bool
}

func (f *fleet) MachineCount() int                               { return len(f.machines) }
func (f *fleet) SucceedsElsewhere(job string, _ micro.Time) bool { return f.proven[job] }
func (f *fleet) Quarantined(machine string)                      { f.quarantined[machine] = true }
func (f *fleet) QuarantineLifted(machine string)                 { delete(f.quarantined, machine) }

func newFleet(machines int, proven []string) *fleet {
	f := &fleet{map[string]*quarantine.Machine{}, map[string]bool{}, map[string]bool{}}
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
		{"one job failed", 40, map[string][]string{"m0": {"a"}}, nil, 0},
		{"two unknown jobs failed on one", 40, map[string][]string{"m0": {"a", "b"}}, nil, 1},
		{
			"unknown jobs failed on too many", 40,
			map[string][]string{"m0": {"a", "b"}, "m1": {"a", "b"}, "m2": {"a", "b"}},
			nil, 0,
		},
		{
			"proven jobs failed on as many", 40,
			map[string][]string{"m0": {"a", "b"}, "m1": {"a", "b"}, "m2": {"a", "b"}},
			[]string{"a", "b"},
			3,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			site := newFleet(tt.machines, tt.proven)
			policy := quarantine.NewPolicy()
			for name, jobs := range tt.failures {
				for _, job := range jobs {
					policy.AttributeFailure(name, site.machines[name], job, &quarantine.Job{}, now)
				}
			}
			policy.UpdateQuarantine(site, now)
			if len(site.quarantined) != tt.want {
				t.Errorf("quarantined: %v, want %d", site.quarantined, tt.want)
			}
		})
	}
}
