package scheduler

import "testing"

// The expected scores are computed by hand from the cases of the design, with L1 = 60 and L2 = 30.
func TestScoreMatchesDesignCases(t *testing.T) {
	for _, test := range []struct {
		name                    string
		cpus, speedFactor, want float64
	}{
		{"too slow: 1/0.8 = 1.25 > 1", 1, 0.8, 0},
		{"too slow: 2/0.9 = 2.22 > 2", 2, 0.9, 0},
		{"as fast as the reference", 4, 1, 100},
		{"faster", 4, 1.3, 100},
		{"within one core: 0.4/0.5 = 0.8", 0.4, 0.5, 100},
		{"just at the ceiling: 1.5/0.75 = 2, 60 + 40 x 0.75", 1.5, 0.75, 90},
		{"below the ceiling: 1.5/0.8 = 1.875, 30 + 30 x 0.8", 1.5, 0.8, 54},
		{"below the ceiling: 2.5/0.9 = 2.78, 30 + 30 x 0.9", 2.5, 0.9, 57},
	} {
		if got := Score(test.cpus, test.speedFactor, 60, 30); got < test.want-1e-6 || got > test.want+1e-6 {
			t.Errorf(
				"%s: score of %v CPUs at speed factor %v is %v, want %v", test.name, test.cpus, test.speedFactor, got, test.want,
			)
		}
	}
}

func TestScaledCPUsAreCappedAtMachineCPUs(t *testing.T) {
	if got := ScaledCPUs(86, 0.8, 96); got != 96 {
		t.Errorf("86 CPUs at speed factor 0.8 on a machine of 96 are %v scaled CPUs, want 96", got)
	}
	if got := ScaledCPUs(3, 1.5, 8); got != 2 {
		t.Errorf("3 CPUs at speed factor 1.5 on a machine of 8 are %v scaled CPUs, want 2", got)
	}
}
