package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// instanceRequestRecord is a rental as the store keeps it: written before the request is
// sent, so that a lost answer is asked for again under the same name.
type instanceRequestRecord struct {
	Request   wire.InstanceRequest `msgpack:"r" json:"r"`
	Machines  []string             `msgpack:"m" json:"m"`
	Answered  bool                 `msgpack:"a" json:"a"`
	CreatedAt int64                `msgpack:"at" json:"at"` // wall clock
	// Machines whose return is being asked for, no longer among the others. The
	// request may be carried out at any later time, so no leader may use them.
	Terminating []string `msgpack:"b,omitempty" json:"b,omitempty"`
}

// withoutName is a list with a name left out; the list itself, which a write may be
// reading, stays as it is.
func withoutName(names []string, name string) []string {
	i := slices.Index(names, name)
	if i < 0 {
		return names
	}
	return append(names[:i:i], names[i+1:]...)
}

// InstanceRequestState is the state of a rental.
type InstanceRequestState uint8

// The states of a rental.
const (
	InstanceRequestPersisting InstanceRequestState = iota // its record is being written
	InstanceRequestPending                                // the request waits for its turn, or is out
	InstanceRequestFulfilled                              // machines were rented
	InstanceRequestClosed                                 // refused, or all its machines are gone
)

func (s InstanceRequestState) String() string {
	return [...]string{"writing", "asking", "held", "over"}[s]
}

type instanceRequest struct {
	state         InstanceRequestState
	record        instanceRequestRecord
	requestedAt   micro.Time
	maybeSent     bool // the cloud may know of it
	priorityLevel int  // the rank of the work that asked for it
	storeRecord   *statestore.Record

	recordVersion uint64 // of the record, counted up with each machine to be returned
	storedVersion uint64 // the latest of them that is known to be in the store
}

// setRequestState is the one place where a rental's state changes.
func (l *Leader) setRequestState(request *instanceRequest, to InstanceRequestState) {
	if to <= request.state && !(request.state == InstanceRequestPersisting && to == InstanceRequestPersisting) {
		return
	}
	request.state = to
	switch to {
	case InstanceRequestPending:
		request.requestedAt = l.node.Now()
		index := sort.Search(
			len(l.requestQueue), func(i int) bool { return l.requestQueue[i].priorityLevel > request.priorityLevel },
		)
		l.requestQueue = slices.Insert(l.requestQueue, index, request)
		l.sendQueuedRequests(request.requestedAt)
	case InstanceRequestFulfilled:
		delete(l.planner.PendingRequests, request.record.Request.RequestID)
		request.storeRecord.MarkDirty(l.node.Now(), statestore.PriorityLow)
	case InstanceRequestClosed:
		delete(l.planner.PendingRequests, request.record.Request.RequestID)
		delete(l.instanceRequests, request.record.Request.RequestID)
		request.storeRecord.MarkDirty(l.node.Now(), statestore.PriorityLow)
	}
}

func (l *Leader) newRequestRecord(request *instanceRequest) *statestore.Record {
	record := l.records.Record(keys.InstanceRequest(request.record.Request.RequestID))
	record.Build = func() (any, uint64) {
		if request.state == InstanceRequestClosed {
			return nil, 0
		}
		return request.record, request.recordVersion
	}
	record.OnCommitted = func(version uint64) {
		if request.state == InstanceRequestPersisting {
			l.setRequestState(request, InstanceRequestPending)
		}
		if version > request.storedVersion {
			request.storedVersion = version
			l.sendTerminations()
		}
	}
	request.storeRecord = record
	return record
}

func (l *Leader) restoreInstanceRequest(item wire.Item, now, wall micro.Time) {
	var record instanceRequestRecord
	if wire.Unmarshal(item.Value, &record) != nil {
		return
	}
	request := &instanceRequest{record: record}
	l.instanceRequests[record.Request.RequestID] = request
	l.newRequestRecord(request).SetVersion(uint64(item.Version))
	if !record.Answered {
		request.maybeSent = true // perhaps: only the same name again can tell
		l.planner.PendingRequests[record.Request.RequestID] = autoscaler.ScaleOut{
			InstanceOffer: autoscaler.InstanceOffer{
				Type: record.Request.Type, Zone: record.Request.Zone, Spot: record.Request.Spot,
			},
			Count: record.Request.Count,
		}
		l.setRequestState(request, InstanceRequestPending)
		return
	}
	request.state = InstanceRequestFulfilled
	age := max(wall-micro.Time(record.CreatedAt), 0)
	for _, name := range record.Machines {
		l.addInstance(request, name, now-age, now)
	}
	for _, name := range record.Terminating {
		l.addInstance(request, name, now-age, now)
		l.terminate(l.cluster.EnsureMachine(name, now), "an earlier leader asked for its return")
	}
}

// addInstance adds a machine that a rental brought.
func (l *Leader) addInstance(request *instanceRequest, name string, at, now micro.Time) {
	if l.cluster.WasTerminated(name) {
		return
	}
	m := l.cluster.EnsureMachine(name, now)
	m.InstanceRequestID = request.record.Request.RequestID
	m.RequestedAt = at
	l.cluster.DescribeMachine(m, request.record.Request.Type, request.record.Request.Zone, request.record.Request.Spot)
}

// planScaling rents what is missing and returns what is idle.
func (l *Leader) planScaling(now micro.Time) {
	scaleOuts, idle := l.planner.Plan(now)
	for _, scaleOut := range scaleOuts { // each at most what one call rents
		l.instanceRequestCount++
		request := &instanceRequest{
			priorityLevel: scaleOut.PriorityLevel,
			record: instanceRequestRecord{CreatedAt: int64(l.node.Wall()), Request: wire.InstanceRequest{
				RequestID: fmt.Sprintf("r-%d-%d", l.term.FencingRevision, l.instanceRequestCount), Type: scaleOut.Type,
				Zone: scaleOut.Zone, Spot: scaleOut.Spot, Count: scaleOut.Count,
			}},
		}
		l.instanceRequests[request.record.Request.RequestID] = request
		l.planner.PendingRequests[request.record.Request.RequestID] = scaleOut
		priority := statestore.PriorityHigh
		if scaleOut.PriorityLevel == 0 {
			priority = statestore.PriorityUrgent
		}
		l.newRequestRecord(request).MarkDirty(now, priority)
		l.log.Info(
			"rent", "request", request.record.Request.RequestID, "type", scaleOut.Type, "zone", scaleOut.Zone, "spot",
			scaleOut.Spot, "count", scaleOut.Count, "for", scaleOut.Class,
		)
	}
	for _, machine := range idle {
		l.terminate(machine, "idle")
	}
	l.sendTerminations()
}

// maxRequestsInFlight bounds the rentals under way: they share the cloud's rate with
// returns and lists.
const maxRequestsInFlight = 3

// sendQueuedRequests sends rentals in turn. One whose offer was refused meanwhile is dropped.
func (l *Leader) sendQueuedRequests(now micro.Time) {
	for l.requestsInFlight < maxRequestsInFlight && len(l.requestQueue) > 0 {
		request := l.requestQueue[0]
		l.requestQueue = l.requestQueue[1:]
		wireRequest := request.record.Request
		if !request.maybeSent &&
			l.planner.RefusedUntil[autoscaler.InstanceOffer{Type: wireRequest.Type, Zone: wireRequest.Zone, Spot: wireRequest.Spot}] > now {
			l.setRequestState(request, InstanceRequestClosed)
			continue
		}
		request.maybeSent = true
		l.requestsInFlight++
		go l.sendInstanceRequest(request, wireRequest)
	}
}

// sendInstanceRequest sends a rental until it is answered for good.
func (l *Leader) sendInstanceRequest(request *instanceRequest, wireRequest wire.InstanceRequest) {
	failures := 0
	for {
		if !l.holdsLease() {
			// If the right comes back, the request goes on under its name.
			if !l.loop.Sleep(200 * micro.Millisecond) {
				return
			}
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		names, err := l.node.Cloud.RequestInstances(ctx, wireRequest)
		cancel()
		switch {
		case err == nil:
			l.post(func() { l.instanceRequestAnswered(request, names) })
			return
		case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrMalformed):
			l.post(func() { l.instanceRequestAnswered(request, nil) })
			return
		}
		failures++
		l.log.Info("rental not answered", "request", wireRequest.RequestID, "err", err)
		if !l.loop.Sleep(micro.Second * micro.Time(min(failures, 5))) {
			return
		}
	}
}

func (l *Leader) instanceRequestAnswered(request *instanceRequest, names []string) {
	now := l.node.Now()
	wireRequest := request.record.Request
	l.log.Info(
		"rented", "request", wireRequest.RequestID, "type", wireRequest.Type, "zone", wireRequest.Zone, "spot",
		wireRequest.Spot, "asked", wireRequest.Count, "got", len(names),
	)
	l.requestsInFlight--
	defer l.sendQueuedRequests(now)
	l.planner.RecordAnswer(
		autoscaler.InstanceOffer{Type: wireRequest.Type, Zone: wireRequest.Zone, Spot: wireRequest.Spot}, wireRequest.Count,
		len(names), now,
	)
	if len(names) < wireRequest.Count {
		for job := range l.cluster.PendingJobs {
			if job.PriorityLevel == 0 {
				l.lastPlan = 0 // the next best offer is asked for at once
				break
			}
		}
	}
	request.record.Machines, request.record.Answered = names, true
	if len(names) == 0 {
		l.setRequestState(request, InstanceRequestClosed)
		return
	}
	l.setRequestState(request, InstanceRequestFulfilled)
	for _, name := range names {
		if l.firstProvisioned == "" || createdBefore(name, l.firstProvisioned) {
			l.firstProvisioned = name
			l.firstProvisionedRecord.MarkDirty(now, statestore.PriorityHigh)
		}
		l.addInstance(request, name, request.requestedAt, now)
	}
}

// terminate marks a machine to be returned. Where its rental has a record, that is
// written before the request goes out: a request that is carried out late once took
// a machine away with the work that the next leader had started on it. The request
// for a machine that holds places does not wait: it was given up for its silence, and
// only the cloud's answer frees them. Behind the writes of a busy hour the tasks of
// dead machines were placed again 14 s later.
func (l *Leader) terminate(machine *cluster.Machine, reason string) {
	if !l.cluster.TransitionMachine(machine, cluster.Terminating, reason) {
		return
	}
	l.pendingTerminations[machine] = 0
	request := l.instanceRequests[machine.InstanceRequestID]
	if request == nil || !l.cluster.CompactRecords || !slices.Contains(request.record.Machines, machine.Name) {
		return // without a record, or marked by an earlier leader; version 1 would drop the mark
	}
	request.record.Machines = withoutName(request.record.Machines, machine.Name)
	request.record.Terminating = append(slices.Clone(request.record.Terminating), machine.Name)
	request.recordVersion++
	if len(machine.Allocations) > 0 {
		request.storeRecord.MarkDirty(l.node.Now(), statestore.PriorityLow)
		return
	}
	l.pendingTerminations[machine] = request.recordVersion
	request.storeRecord.MarkDirty(l.node.Now(), statestore.PriorityHigh)
}

// terminationRecorded reports whether the store knows that a machine is to be returned.
func (l *Leader) terminationRecorded(m *cluster.Machine) bool {
	request := l.instanceRequests[m.InstanceRequestID]
	return request == nil || l.pendingTerminations[m] <= request.storedVersion
}

// sendTerminations returns the marked machines, many in one call.
func (l *Leader) sendTerminations() {
	var machines []*cluster.Machine
	for machine := range l.pendingTerminations {
		if l.terminationRecorded(machine) {
			machines = append(machines, machine)
		}
	}
	if len(machines) == 0 {
		return
	}
	sort.Slice(machines, func(a, b int) bool { return machines[a].Name < machines[b].Name })
	machines = machines[:min(len(machines), cloud.MaxTerminate)]
	names := make([]string, len(machines))
	for i, machine := range machines {
		names[i] = machine.Name
		delete(l.pendingTerminations, machine)
	}
	go func() {
		if !l.holdsLease() {
			l.post(func() { l.retryTerminations(machines) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		err := l.node.Cloud.Terminate(ctx, names)
		l.post(func() {
			if err != nil {
				l.log.Info("return not answered", "machines", len(names), "err", err)
				l.retryTerminations(machines)
				return
			}
			for _, machine := range machines {
				l.instanceTerminated(machine)
			}
		})
	}()
}

func (l *Leader) retryTerminations(machines []*cluster.Machine) {
	for _, m := range machines {
		if m.State == cluster.Terminating {
			l.pendingTerminations[m] = 0 // its mark is in the store
		}
	}
}

func (l *Leader) instanceTerminated(m *cluster.Machine) {
	l.cluster.RemoveMachine(m, l.node.Now())
	if request := l.instanceRequests[m.InstanceRequestID]; request != nil {
		request.record.Machines = withoutName(request.record.Machines, m.Name)
		request.record.Terminating = withoutName(request.record.Terminating, m.Name)
		if len(request.record.Machines)+len(request.record.Terminating) == 0 {
			l.setRequestState(request, InstanceRequestClosed)
		}
	}
}
