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

// maxRequestsInFlight limits the instance requests in flight, which share the cloud's rate limit with
// terminations and with reads of the inventory.
const maxRequestsInFlight = 3

// Time limit of an instance request, and delays before it is sent again.
const (
	requestTimeout     = 5 * time.Second
	leaseCheckInterval = 200 * micro.Millisecond // delay while the leader does not hold its lease
	retryDelayStep     = micro.Second            // added to the retry delay with each failure
	maxRetrySteps      = 5                       // limit of the retry delay, in steps
)

// sendQueuedRequests sends queued instance requests up to maxRequestsInFlight. A request whose offer has
// been refused in the meantime is closed, unless the cloud may have received it already.
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

// sendRequest sends an instance request until the cloud grants or refuses it, or the loop is stopped. It
// runs on a goroutine of its own.
func (p *Provisioner) sendRequest(request *instanceRequest, wireRequest wire.InstanceRequest) {
	failures := 0
	for {
		if !p.term.HoldsLease() {
			// Once the lease is renewed, the request is sent under the same ID.
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
		p.log.Info("instance request failed, will be retried", "request", wireRequest.RequestID, "err", err)
		if !p.loop.Sleep(retryDelayStep * micro.Time(min(failures, maxRetrySteps))) {
			return
		}
	}
}

// callRequestInstances makes one call. The end of the term does not cancel it, since the cloud may have
// executed it already.
func (p *Provisioner) callRequestInstances(request wire.InstanceRequest) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return p.cloud.RequestInstances(ctx, request)
}

// instanceRequestCompleted is the event of an instance request that the cloud granted or refused.
type instanceRequestCompleted struct {
	provisioner *Provisioner
	request     *instanceRequest
	machines    []string // names of the created machines; none: the request was refused
}

// Apply applies the result of the request.
func (e instanceRequestCompleted) Apply() { e.provisioner.applyRequestResult(e.request, e.machines) }

// applyRequestResult records the result of an instance request and adds the created machines.
func (p *Provisioner) applyRequestResult(request *instanceRequest, machines []string) {
	now := p.term.Now()
	wireRequest := request.record.Request
	p.log.Info(
		"scale-out answered", "request", wireRequest.RequestID, "type", wireRequest.Type, "zone", wireRequest.Zone,
		"spot", wireRequest.Spot, "requested", wireRequest.Count, "granted", len(machines),
	)
	p.requestsInFlight--
	defer p.sendQueuedRequests(now)
	p.planner.RecordRequestResult(request.offer(), wireRequest.Count, len(machines), now)
	if len(machines) < wireRequest.Count && p.hasUrgentWork() {
		p.lastPlan = 0 // plan again immediately, to request the next best offer
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

// recordFirstProvisioned records a machine if it is the first that the service ever provisioned.
func (p *Provisioner) recordFirstProvisioned(name string, now micro.Time) {
	if p.firstProvisioned == "" || createdBefore(name, p.firstProvisioned) {
		p.firstProvisioned = name
		p.firstProvisionedRecord.MarkDirty(now, statestore.PriorityHigh)
	}
}

// hasUrgentWork reports whether a job of the highest priority level is pending.
func (p *Provisioner) hasUrgentWork() bool {
	for job := range p.cluster.PendingJobs {
		if job.PriorityLevel == 0 {
			return true
		}
	}
	return false
}
