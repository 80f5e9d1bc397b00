package quarantine

import "notchmux.dev/notchmux/internal/micro"

// defaultThreshold is how many jobs fail on a machine before it is quarantined, where the
// settings say nothing else.
const defaultThreshold = 2

// One machine in quarantineDivisor may be quarantined at a time on the word of jobs of which
// nothing is known. Where more look faulty the jobs are the likelier cause, and for
// suspension machines are held responsible only by jobs that do well elsewhere: of hundreds
// of mistaken jobs that came at once, two had failed on each machine before any of them had
// failed on three.
const (
	quarantineDivisor = 16
	suspension        = micro.Minute
)

// Policy decides which machines of a fleet are quarantined for the failures on them.
type Policy struct {
	QuarantineThreshold int // jobs failing on a machine before it is quarantined

	candidates     map[string]*Machine // machines that jobs failed on
	suspendedUntil micro.Time          // until when so many look faulty that the jobs are the likelier cause
}

// NewPolicy makes the policy of a fleet without failures.
func NewPolicy() Policy {
	return Policy{QuarantineThreshold: defaultThreshold, candidates: map[string]*Machine{}}
}

// Fleet is what the policy asks of the machines and jobs that are there.
type Fleet interface {
	// MachineCount is the number of machines.
	MachineCount() int
	// SucceedsElsewhere reports whether a job is known whose tasks do well elsewhere.
	SucceedsElsewhere(job string, now micro.Time) bool
	// Quarantined is told that a machine is quarantined from now on.
	Quarantined(machine string)
	// QuarantineLifted is told that a machine's quarantine is over.
	QuarantineLifted(machine string)
}

// AttributeFailure notes that a job failed on a machine, which may be faulty.
func (p *Policy) AttributeFailure(name string, machine *Machine, jobID string, job *Job, now micro.Time) {
	machine.JobFailures[jobID] = now
	p.candidates[name] = machine
	job.failuresRetracted = false
}

// RetractFailures takes back what a job that fails everywhere was held against machines, and reports
// whether that is new; find gives a machine by its name, nil if there is none. On a recorded
// night with such jobs, machines were quarantined 59 times since several jobs had failed there.
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

// ForgetMachine drops a machine that is no more.
func (p *Policy) ForgetMachine(name string) { delete(p.candidates, name) }

// UpdateQuarantine decides anew which machines are quarantined for the failures on them.
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

// classify lists the machines that are faulty by jobs that do well elsewhere, and those that
// are only suspected.
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

// provenFailures counts the jobs that failed on a machine and do well elsewhere.
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
