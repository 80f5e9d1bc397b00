package cluster

import "notchmux.dev/notchmux/internal/micro"

// TermSettleTime is the age of a term after which its leader has received heartbeats from all
// machines that are running.
const TermSettleTime = 15 * micro.Second

// WaitingTime returns how long a job has waited without an allocation for any of its tasks. For a
// job that never had one, the wait in earlier terms is included once this term has settled.
// Otherwise, no wait would ever become long where terms are short.
func (s *State) WaitingTime(job *Job, now micro.Time) micro.Time {
	waited := now - job.WaitingSince
	if job.WaitingSince > s.TermStartedAt || waited < TermSettleTime || !job.NeverAllocated() {
		return waited
	}
	return now - job.EligibleSince
}
