package cluster

import "notchmux.dev/notchmux/internal/micro"

// TermSettleTime is how old a term is once its leader has heard the machines that are there.
const TermSettleTime = 15 * micro.Second

// WaitingTime is how long a job has waited without an allocation for any of its tasks. The wait
// in earlier terms counts for a job that never had one, once this term has settled: where terms
// are short, no wait would ever be long else.
func (s *State) WaitingTime(job *Job, now micro.Time) micro.Time {
	waited := now - job.WaitingSince
	if job.WaitingSince > s.TermStartedAt || waited < TermSettleTime || !job.NeverAllocated() {
		return waited
	}
	return now - job.EligibleSince
}
