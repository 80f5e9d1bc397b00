package provision

import (
	"context"
	"errors"
	"time"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// maxRequestsInFlight bounds the instance requests in flight: they share the cloud's rate
// with terminations and the pages of the inventory.
const maxRequestsInFlight = 3

// How long an instance request may take, and after what it is sent again.
const (
	requestTimeout     = 5 * time.Second
	leaseCheckInterval = 200 * micro.Millisecond // while the leader holds no lease
	requestRetryStep   = micro.Second            // more with each failure,
	maxRequestRetries  = 5                       // up to so many steps
)

// sendQueuedRequests sends instance requests in turn. One whose offer was refused meanwhile
// is closed, unless the cloud may know of it already.
func (p *Provisioner) sendQueuedRequests(now micro.Time) {
	for p.requestsInFlight < maxRequestsInFlight && len(p.queue) > 0 {
		request := p.queue[0]
		p.queue = p.queue[1:]
		if !request.maybeSent && p.planner.RefusedUntil[request.offer()] > now {
			p.transition(request, RequestClosed)
			continue
		}
		request.maybeSent = true
		p.requestsInFlight++
		go p.sendRequest(request, request.record.Request)
	}
}

// sendRequest sends an instance request until it is answered for good, or the loop is
// stopped. It runs on a goroutine of its own.
func (p *Provisioner) sendRequest(request *instanceRequest, wireRequest wire.InstanceRequest) {
	failures := 0
	for {
		if !p.term.HoldsLease() {
			// If the lease is renewed, the request goes on under its name.
			if !p.loop.Sleep(leaseCheckInterval) {
				return
			}
			continue
		}
		machines, err := p.callRequestInstances(wireRequest)
		switch {
		case err == nil:
			p.loop.Post(instanceRequestCompleted{p, request, machines})
			return
		case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrMalformed):
			p.loop.Post(instanceRequestCompleted{p, request, nil})
			return
		}
		failures++
		p.log.Info("instance request unanswered", "request", wireRequest.RequestID, "err", err)
		if !p.loop.Sleep(requestRetryStep * micro.Time(min(failures, maxRequestRetries))) {
			return
		}
	}
}

// callRequestInstances makes one call. The end of the term does not cut it short: the cloud
// may have carried it out.
func (p *Provisioner) callRequestInstances(request wire.InstanceRequest) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return p.cloud.RequestInstances(ctx, request)
}

// instanceRequestCompleted says that the cloud created machines for a request; none: it
// refused.
type instanceRequestCompleted struct {
	provisioner *Provisioner
	request     *instanceRequest
	machines    []string
}

// Apply takes in the answer.
func (e instanceRequestCompleted) Apply() { e.provisioner.applyRequestResult(e.request, e.machines) }

func (p *Provisioner) applyRequestResult(request *instanceRequest, machines []string) {
	now := p.term.Now()
	asked := request.record.Request
	p.log.Info(
		"scale-out answered", "request", asked.RequestID, "type", asked.Type, "zone", asked.Zone, "spot", asked.Spot,
		"requested", asked.Count, "granted", len(machines),
	)
	p.requestsInFlight--
	defer p.sendQueuedRequests(now)
	p.planner.RecordRequestResult(request.offer(), asked.Count, len(machines), now)
	if len(machines) < asked.Count && p.hasUrgentWork() {
		p.lastPlan = 0 // the next best offer is requested at once
	}
	request.record.Machines, request.record.Answered = machines, true
	if len(machines) == 0 {
		p.transition(request, RequestClosed)
		return
	}
	p.transition(request, RequestFulfilled)
	for _, name := range machines {
		p.recordFirstProvisioned(name, now)
		p.addInstance(request, name, request.pendingSince, now)
	}
}

// recordFirstProvisioned keeps the first machine that the service ever had created.
func (p *Provisioner) recordFirstProvisioned(name string, now micro.Time) {
	if p.firstProvisioned == "" || createdBefore(name, p.firstProvisioned) {
		p.firstProvisioned = name
		p.firstProvisionedRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// hasUrgentWork reports whether a job of the first priority level waits.
func (p *Provisioner) hasUrgentWork() bool {
	for job := range p.cluster.PendingJobs {
		if job.PriorityLevel == 0 {
			return true
		}
	}
	return false
}
