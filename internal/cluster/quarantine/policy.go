package quarantine

import "notchmux.dev/notchmux/internal/micro"

// defaultThreshold is the number of jobs that must fail on a machine before it is quarantined,
// unless configured otherwise.
const defaultThreshold = 2

// At most one machine in quarantineDivisor may be quarantined at a time because of jobs that are
// not proven to succeed elsewhere. If more machines appear faulty, the jobs are the more likely
// cause, and for the suspension time failures are attributed only for jobs that succeed elsewhere.
// When hundreds of faulty jobs were submitted at once, two of them had failed on each machine
// before any of them had failed on three machines.
const (
	quarantineDivisor = 16
	suspension        = micro.Minute
)

// Policy decides which machines of a fleet are quarantined because of failures on them.
type Policy struct {
	QuarantineThreshold int // number of jobs that must fail on a machine before it is quarantined

	candidates     map[string]*Machine // machines on which jobs failed
	suspendedUntil micro.Time          // until then many machines appear faulty, so the jobs are the likelier cause
}

// NewPolicy returns the policy of a fleet without failures.
func NewPolicy() Policy {
	return Policy{QuarantineThreshold: defaultThreshold, candidates: map[string]*Machine{}}
}

// Fleet gives the policy access to the machines and jobs.
type Fleet interface {
	// MachineCount returns the number of machines.
	MachineCount() int
	// SucceedsElsewhere reports whether the job is known and has tasks that succeed on other
	// machines.
	SucceedsElsewhere(job string, now micro.Time) bool
	// Quarantined is called when a machine has been quarantined.
	Quarantined(machine string)
	// QuarantineLifted is called when a machine's quarantine has been lifted.
	QuarantineLifted(machine string)
}

// AttributeFailure records that a job failed on a machine, which may be faulty.
func (p *Policy) AttributeFailure(name string, machine *Machine, jobID string, job *Job, now micro.Time) {
	machine.JobFailures[jobID] = now
	p.candidates[name] = machine
	job.failuresRetracted = false
}

// RetractFailures removes the failures of a job that fails on every machine from the machines to
// which they were attributed. It returns false if they had been retracted already. find returns a
// machine by name, or nil if there is none. On a recorded night with such jobs, machines were
// quarantined 59 times because several jobs had failed on them.
func (p *Policy) RetractFailures(
	fleet Fleet, jobID string, job *Job, find func(name string) *Machine, now micro.Time,
) bool {
	if job.failuresRetracted {
		return false
	}
	job.failuresRetracted = true
	for name := range job.FailedOn {
		machine := find(name)
		if machine == nil {
			continue
		}
		delete(machine.JobFailures, jobID)
		if len(machine.JobFailures) < p.QuarantineThreshold && machine.liftQuarantine(now) {
			fleet.QuarantineLifted(name)
		}
	}
	return true
}

// ForgetMachine removes a machine that no longer exists.
func (p *Policy) ForgetMachine(name string) { delete(p.candidates, name) }

// UpdateQuarantine re-evaluates which machines are quarantined because of failures on them.
func (p *Policy) UpdateQuarantine(fleet Fleet, now micro.Time) {
	faulty, suspected := p.classify(fleet, now)
	for _, name := range faulty {
		p.quarantine(fleet, name)
	}
	if len(suspected) > max(1, fleet.MachineCount()/quarantineDivisor) {
		p.suspendedUntil = now + suspension
	}
	for _, name := range suspected {
		switch {
		case now >= p.suspendedUntil:
			p.quarantine(fleet, name)
		case p.candidates[name].liftQuarantine(now):
			fleet.QuarantineLifted(name)
		}
	}
}

// classify returns the machines that are faulty according to jobs that succeed elsewhere, and those
// that are only suspected.
func (p *Policy) classify(fleet Fleet, now micro.Time) (faulty, suspected []string) {
	for name, machine := range p.candidates {
		machine.pruneFailures(now)
		switch {
		case len(machine.JobFailures) == 0:
			delete(p.candidates, name)
		case provenFailures(fleet, machine, now) >= p.QuarantineThreshold:
			faulty = append(faulty, name)
		case len(machine.JobFailures) >= p.QuarantineThreshold:
			suspected = append(suspected, name)
		}
	}
	return faulty, suspected
}

// provenFailures returns the number of jobs that failed on the machine and succeed elsewhere.
func provenFailures(fleet Fleet, machine *Machine, now micro.Time) int {
	count := 0
	for id := range machine.JobFailures {
		if fleet.SucceedsElsewhere(id, now) {
			count++
		}
	}
	return count
}

func (p *Policy) quarantine(fleet Fleet, name string) {
	if p.candidates[name].quarantineForFailures() {
		fleet.Quarantined(name)
	}
}
