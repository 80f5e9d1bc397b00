// Package cancellation brings the cancellations of jobs to their end: a job's tasks are
// stopped first, and its user is told that it is aborted only once they are gone, or surely
// end in time whatever the lease proxies of partitioned zones do.
//
// A Manager belongs to one term of leadership. It owns the cancelled jobs whose users are not
// told yet, those whose users were told while tasks may still run, the users that wait, and the
// zones that are fenced: their lease proxies must not renew leases. Only the goroutine of the
// term's loop may call its methods, but for Cancel, FencedZonesKnown and ZoneFenced, which any may.
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

// Shards is the leader's part in shards.
type Shards interface {
	// BeginCancellation begins the cancellation of a job that was assigned to a shard.
	BeginCancellation(job *cluster.Job)
	// AddFencedZones adds the zones where tasks of cancelled jobs may still run in shards.
	AddFencedZones(fenced map[string]bool)
}

// Records stores ends of jobs.
type Records interface {
	WriteJobEnd(job *cluster.Job, state wire.JobState)
}

// Dependencies are the other parts that a manager needs.
type Dependencies struct {
	Config       *config.Config
	Loop         *eventloop.Loop
	Cluster      *cluster.State
	RenewalBound *leasekeeper.RenewalBound
	Shards       Shards
	Records      Records
	HoldsLease   func() bool // any goroutine may call it
	Now          func() micro.Time
}

// Manager brings the cancellations of one term to their end.
type Manager struct {
	deps        Dependencies
	pending     map[*cluster.Job]bool // cancelled jobs whose users are not told yet
	unconfirmed map[*cluster.Job]bool // those whose users were told, with allocations not proven released
	waiters     map[string][]eventloop.Reply[httpapi.Reply]
	fenced      atomic.Pointer[map[string]bool] // nil: all zones
}

// New makes a manager. All zones are fenced until UpdateFencedZones is called first.
func New(deps Dependencies) *Manager {
	return &Manager{
		deps:        deps,
		pending:     map[*cluster.Job]bool{},
		unconfirmed: map[*cluster.Job]bool{},
		waiters:     map[string][]eventloop.Reply[httpapi.Reply]{},
	}
}

// Cancel cancels a job: its end is created before anyone is told. 503 if that was not done
// within the given time, or the leadership lease lapsed meanwhile.
func (m *Manager) Cancel(id string, within micro.Time) httpapi.Reply {
	event := func(reply eventloop.Reply[httpapi.Reply]) eventloop.Event {
		return cancellationRequested{m, id, reply}
	}
	answer, ok := eventloop.Call(m.deps.Loop, eventloop.Events, within, event)
	// The lease may have lapsed meanwhile: then nothing may be said.
	if !ok || !m.deps.HoldsLease() {
		return httpapi.RetryReply(http.StatusServiceUnavailable, 1)
	}
	return answer
}

// cancellationRequested says that a user cancels a job.
type cancellationRequested struct {
	manager *Manager
	job     string
	reply   eventloop.Reply[httpapi.Reply]
}

// Apply begins the cancellation; the user is answered at once if there is nothing to cancel,
// else with the job's end.
func (e cancellationRequested) Apply() {
	m := e.manager
	job := m.deps.Cluster.Jobs[e.job]
	switch {
	case job == nil:
		e.reply.Send(httpapi.Reply{Status: http.StatusNotFound})
		return
	case job.State == cluster.Done || job.State == cluster.Aborted:
		e.reply.Send(httpapi.Reply{Status: http.StatusOK, Body: job.Status()})
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

// Begin begins a cancellation: the tasks are stopped first, and the user is told once they
// are gone, or will be in time whatever lease proxies do.
func (m *Manager) Begin(job *cluster.Job) {
	now := m.deps.Now()
	m.deps.Cluster.BeginAbort(job)
	for _, allocation := range job.Allocations() {
		m.deps.Cluster.StopAllocation(allocation, "cancelled", 0, now)
	}
	m.pending[job] = true
	m.Complete(job, now)
}

// MarkPending notes a cancellation that was begun elsewhere: by an earlier leader, or in a
// shard.
func (m *Manager) MarkPending(job *cluster.Job) { m.pending[job] = true }

// MarkUnconfirmed notes a job whose user was told of its end while it has allocations that are
// not proven released.
func (m *Manager) MarkUnconfirmed(job *cluster.Job) { m.unconfirmed[job] = true }

// Pending reports whether the user of a cancelled job is still to be told.
func (m *Manager) Pending(job *cluster.Job) bool { return m.pending[job] }

// CompletePending completes the cancellations whose users may be told now.
func (m *Manager) CompletePending(now micro.Time) {
	for job := range m.pending {
		m.Complete(job, now)
	}
}

// Complete writes the end of a cancelled job as soon as its user may be told.
func (m *Manager) Complete(job *cluster.Job, now micro.Time) {
	if job.AllocationCount > 0 {
		if m.deps.Config.MustProveTermination() {
			return // without any command, its tasks could outlive the time for that
		}
		if !m.endsInTime(job, now) {
			return
		}
		m.unconfirmed[job] = true
		// At once, not with the next sweep: a loop that is held up meanwhile would let lease
		// proxies be answered after the limits were read.
		m.UpdateFencedZones()
	}
	delete(m.pending, job)
	if job.State == cluster.Aborting {
		m.deps.Records.WriteJobEnd(job, wire.JobAborted)
	}
}

// endsInTime reports whether a job's tasks end in time by themselves, if no lease proxy of
// their zones is answered from now on.
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

// JobEnded answers the users that wait for a job's end, which is in the store.
func (m *Manager) JobEnded(job *cluster.Job) {
	for _, reply := range m.waiters[job.Spec.ID] {
		reply.Send(httpapi.Reply{Status: http.StatusOK, Body: job.Status()})
	}
	delete(m.waiters, job.Spec.ID)
}

// UpdateFencedZones notes which zones' lease proxies must not renew leases: where a user was told
// of a job's end, an agent that may still run its tasks must not be kept alive past the time
// for that.
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

// FenceZones replaces the set of fenced zones; "" stands for a zone that is not known.
func (m *Manager) FenceZones(zones map[string]bool) { m.fenced.Store(&zones) }

// FencedZonesKnown reports whether the fenced zones were determined in this term. Until then no
// lease proxy is answered, nor forbidden to renew leases.
func (m *Manager) FencedZonesKnown() bool { return m.fenced.Load() != nil }

// ZoneFenced reports whether the lease proxies of a zone are not to renew leases.
func (m *Manager) ZoneFenced(zone string) bool {
	fenced := m.fenced.Load()
	return fenced == nil || (*fenced)[zone] || (*fenced)[""]
}
