// Package cancellation cancels jobs. The tasks of a cancelled job are stopped first. The job is
// reported as aborted to its user only once all allocations are released, or are guaranteed to
// end within the cancel timeout even if lease proxies of partitioned zones renewed their leases.
//
// A Manager belongs to one leadership term. It tracks the cancelled jobs that have not been
// reported as aborted, the jobs reported as aborted whose tasks may still run, the pending cancel
// requests, and the fenced zones, whose lease proxies must not renew leases. Its methods must be
// called on the goroutine of the term's event loop, except Cancel, FencedZonesKnown and
// ZoneFenced, which are safe for concurrent use.
package cancellation

import (
	"net/http"
	"sync/atomic"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/config"
	"notchmux.dev/notchmux/internal/eventloop"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/leasekeeper"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Shards cancels jobs that are assigned to shards; it is implemented by the leader's shard
// coordinator.
type Shards interface {
	// BeginCancellation starts cancelling a job that is assigned to a shard.
	BeginCancellation(job *cluster.Job)
	// AddFencedZones adds to fenced the zones where tasks of cancelled jobs may still run in shards.
	AddFencedZones(fenced map[string]bool)
}

// Records writes the final states of jobs to the state store.
type Records interface {
	WriteJobEnd(job *cluster.Job, state wire.JobState)
}

// Dependencies are the components that a Manager uses.
type Dependencies struct {
	Config       *config.Config
	Loop         *eventloop.Loop
	Cluster      *cluster.State
	RenewalBound *leasekeeper.RenewalBound
	Shards       Shards
	Records      Records
	HoldsLease   func() bool // safe for concurrent use
	Now          func() micro.Time
}

// Manager carries out the job cancellations of one leadership term.
type Manager struct {
	deps        Dependencies
	pending     map[*cluster.Job]bool                       // cancelled jobs not yet reported as aborted
	unconfirmed map[*cluster.Job]bool                       // reported as aborted; allocations not proven released
	waiters     map[string][]eventloop.Reply[httpapi.Reply] // pending cancel requests, by job ID
	fenced      atomic.Pointer[map[string]bool]             // fenced zones; nil: all zones
}

// New returns a Manager. All zones are fenced until the first call of UpdateFencedZones or
// FenceZones.
func New(deps Dependencies) *Manager {
	return &Manager{
		deps:        deps,
		pending:     map[*cluster.Job]bool{},
		unconfirmed: map[*cluster.Job]bool{},
		waiters:     map[string][]eventloop.Reply[httpapi.Reply]{},
	}
}

// Cancel cancels a job and replies once the job's final state is stored. It replies 503 if that
// did not happen within the given time, or if the leadership lease expired meanwhile.
func (m *Manager) Cancel(id string, within micro.Time) httpapi.Reply {
	event := func(reply eventloop.Reply[httpapi.Reply]) eventloop.Event {
		return cancellationRequested{m, id, reply}
	}
	answer, ok := eventloop.Call(m.deps.Loop, eventloop.Events, within, event)
	// The answer is not authoritative if the lease expired while it was being produced.
	if !ok || !m.deps.HoldsLease() {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1)
	}
	return answer
}

// cancellationRequested is the event of a user's request to cancel a job.
type cancellationRequested struct {
	manager *Manager
	job     string
	reply   eventloop.Reply[httpapi.Reply]
}

// Apply starts the cancellation. It replies immediately if there is nothing to cancel; otherwise
// the reply follows once the job's final state is stored.
func (e cancellationRequested) Apply() {
	m := e.manager
	job := m.deps.Cluster.Jobs[e.job]
	switch {
	case job == nil:
		e.reply.Send(httpapi.Reply{Status: http.StatusNotFound})
		return
	case job.State == cluster.Done || job.State == cluster.Aborted:
		e.reply.Send(httpapi.Reply{Status: http.StatusOK, Body: job.OwnStatus()})
		return
	}
	m.waiters[e.job] = append(m.waiters[e.job], e.reply)
	switch job.State {
	case cluster.Active, cluster.Blocked:
		m.Begin(job)
	case cluster.Assigned:
		m.deps.Shards.BeginCancellation(job)
	}
}

// Begin starts cancelling a job. Its tasks are stopped first; the job is reported as aborted once
// they have ended, or are guaranteed to end in time even if lease proxies renewed their leases.
func (m *Manager) Begin(job *cluster.Job) {
	now := m.deps.Now()
	m.deps.Cluster.BeginAbort(job)
	for _, allocation := range job.Allocations() {
		m.deps.Cluster.StopAllocation(allocation, "cancelled", 0, now)
	}
	m.pending[job] = true
	m.Complete(job, now)
}

// MarkPending adds a cancellation that was started by a previous leader or in a shard.
func (m *Manager) MarkPending(job *cluster.Job) { m.pending[job] = true }

// MarkUnconfirmed adds a job that was reported as aborted while it still has allocations that
// are not proven released.
func (m *Manager) MarkUnconfirmed(job *cluster.Job) { m.unconfirmed[job] = true }

// Pending reports whether a job is cancelled and not yet reported as aborted.
func (m *Manager) Pending(job *cluster.Job) bool { return m.pending[job] }

// CompletePending completes the pending cancellations whose jobs may be reported as aborted now.
func (m *Manager) CompletePending(now micro.Time) {
	for job := range m.pending {
		m.Complete(job, now)
	}
}

// Complete writes the final state of a cancelled job if the job may be reported as aborted now.
func (m *Manager) Complete(job *cluster.Job, now micro.Time) {
	if job.AllocationCount > 0 {
		if m.deps.Config.MustProveTermination() {
			return // tasks that receive no stop command could run past the cancel timeout
		}
		if !m.endsInTime(job, now) {
			return
		}
		m.unconfirmed[job] = true
		// Fence the zones immediately instead of with the next sweep: if the loop were delayed,
		// lease proxies could be granted renewals after the renewal limits were read.
		m.UpdateFencedZones()
	}
	delete(m.pending, job)
	if job.State == cluster.Aborting {
		m.deps.Records.WriteJobEnd(job, wire.JobAborted)
	}
}

// endsInTime reports whether the leases of all of a job's tasks expire within the cancel timeout,
// provided that no lease proxy of their zones is granted renewals from now on.
func (m *Manager) endsInTime(job *cluster.Job, now micro.Time) bool {
	limits := map[string]micro.Time{}
	for _, allocation := range job.Allocations() {
		zone := allocation.Machine.Zone
		if _, ok := limits[zone]; !ok {
			limits[zone] = m.deps.RenewalBound.RenewalLimit(zone, now)
		}
		tasksEnd := limits[zone] + m.deps.Cluster.LeaseDuration + config.CancelSlack
		if limits[zone] > 0 && tasksEnd > now+m.deps.Config.CancelTimeout() {
			return false
		}
	}
	return true
}

// JobEnded replies to the cancel requests of a job whose final state has been stored.
func (m *Manager) JobEnded(job *cluster.Job) {
	for _, reply := range m.waiters[job.Spec.ID] {
		reply.Send(httpapi.Reply{Status: http.StatusOK, Body: job.OwnStatus()})
	}
	delete(m.waiters, job.Spec.ID)
}

// UpdateFencedZones recomputes the zones whose lease proxies must not renew leases: where a job
// was reported as aborted, the lease of an agent that may still run its tasks must not be extended
// past the cancel timeout.
func (m *Manager) UpdateFencedZones() {
	fenced := map[string]bool{}
	for job := range m.unconfirmed {
		if job.AllocationCount == 0 {
			delete(m.unconfirmed, job)
			continue
		}
		for _, allocation := range job.Allocations() {
			fenced[allocation.Machine.Zone] = true
		}
	}
	m.deps.Shards.AddFencedZones(fenced)
	m.FenceZones(fenced)
}

// FenceZones replaces the set of fenced zones. The empty name stands for an unknown zone and
// fences all zones.
func (m *Manager) FenceZones(zones map[string]bool) { m.fenced.Store(&zones) }

// FencedZonesKnown reports whether the fenced zones have been determined in this term. Until then
// requests of lease proxies are neither granted nor answered with a fence.
func (m *Manager) FencedZonesKnown() bool { return m.fenced.Load() != nil }

// ZoneFenced reports whether the lease proxies of a zone must not renew leases.
func (m *Manager) ZoneFenced(zone string) bool {
	fenced := m.fenced.Load()
	return fenced == nil || (*fenced)[zone] || (*fenced)[""]
}
