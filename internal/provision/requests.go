package provision

import (
	"slices"
	"sort"

	"notchmux.dev/notchmux/internal/autoscaler"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/statestore"
	"notchmux.dev/notchmux/wire"
)

// InstanceRequestRecord is the stored record of an instance request. Its encoding is fixed. It is written
// before the request is sent, so that a request whose response was lost is repeated under the same ID.
type InstanceRequestRecord struct {
	Request   wire.InstanceRequest `msgpack:"r" json:"r"`
	Machines  []string             `msgpack:"m" json:"m"`   // created machines, without those in Terminating
	Answered  bool                 `msgpack:"a" json:"a"`   // the cloud granted or refused the request
	CreatedAt int64                `msgpack:"at" json:"at"` // wall clock, in microseconds
	// Terminating lists the machines whose termination was requested; they are no longer in Machines.
	// The cloud may execute the termination at any later time, so no leader may use them.
	Terminating []string `msgpack:"b,omitempty" json:"b,omitempty"`
}

// RequestState is the state of an instance request.
type RequestState uint8

// The states of an instance request.
const (
	RequestPersisting RequestState = iota // its record is being written
	RequestPending                        // it is queued or in flight
	RequestFulfilled                      // machines were created for it
	RequestClosed                         // refused, or all its machines are terminated
)

// String returns the name of the state.
func (s RequestState) String() string {
	return [...]string{"persisting", "pending", "fulfilled", "closed"}[s]
}

// requestTransitions lists the allowed state transitions. A request that a leader restores from the store
// starts as persisting if it had no response, else as fulfilled.
var requestTransitions = map[RequestState][]RequestState{
	RequestPersisting: {RequestPending},
	RequestPending:    {RequestFulfilled, RequestClosed},
	RequestFulfilled:  {RequestClosed},
	RequestClosed:     nil,
}

// instanceRequest is the leader's state of an instance request.
type instanceRequest struct {
	state         RequestState
	record        InstanceRequestRecord
	pendingSince  micro.Time
	maybeSent     bool // the cloud may have received it
	priorityLevel int  // of the demand that it was created for
	storeRecord   *statestore.Record

	recordVersion uint64 // in-memory version of the record, incremented for each machine to terminate
	storedVersion uint64 // latest version that is known to be in the store
}

// offer returns the offer that the request is for.
func (r *instanceRequest) offer() autoscaler.InstanceOffer {
	return autoscaler.InstanceOffer{
		Type: r.record.Request.Type, Zone: r.record.Request.Zone, Spot: r.record.Request.Spot,
	}
}

// transition is the only function that changes the state of an instance request once it has its initial
// state. It ignores a transition that requestTransitions does not list.
func (p *Provisioner) transition(request *instanceRequest, to RequestState) {
	if !slices.Contains(requestTransitions[request.state], to) {
		return
	}
	request.state = to
	id := request.record.Request.RequestID
	switch to {
	case RequestPersisting: // the initial state
	case RequestPending:
		request.pendingSince = p.term.Now()
		p.enqueue(request)
		p.sendQueuedRequests(request.pendingSince)
	case RequestFulfilled:
		delete(p.planner.PendingRequests, id)
		request.storeRecord.MarkDirty(p.term.Now(), statestore.PriorityLow)
	case RequestClosed:
		delete(p.planner.PendingRequests, id)
		delete(p.requests, id)
		request.storeRecord.MarkDirty(p.term.Now(), statestore.PriorityLow)
	}
}

// enqueue inserts a request into the queue, after those of the same or a higher priority.
func (p *Provisioner) enqueue(request *instanceRequest) {
	index := sort.Search(len(p.queue), func(i int) bool {
		return p.queue[i].priorityLevel > request.priorityLevel
	})
	p.queue = slices.Insert(p.queue, index, request)
}

// bindRecord connects a request with its record in the store.
func (p *Provisioner) bindRecord(request *instanceRequest) {
	record := p.records.Record(keys.InstanceRequest(request.record.Request.RequestID))
	record.Build = func() (any, uint64) {
		if request.state == RequestClosed {
			return nil, 0
		}
		return request.record, request.recordVersion
	}
	record.OnCommitted = func(version uint64) {
		if request.state == RequestPersisting {
			p.transition(request, RequestPending)
		}
		if version > request.storedVersion {
			request.storedVersion = version
			p.SendTerminations()
		}
	}
	request.storeRecord = record
}

// Restore restores an instance request from its record in the store, during a failover; now and wall are
// the times of the monotonic and the wall clock. A request without a response is sent again.
func (p *Provisioner) Restore(item wire.Item, now, wall micro.Time) {
	var record InstanceRequestRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		p.log.Debug("decode instance request record failed", "key", item.Key, "err", err)
		return
	}
	request := &instanceRequest{record: record}
	p.requests[record.Request.RequestID] = request
	p.bindRecord(request)
	request.storeRecord.SetVersion(uint64(item.Version))
	if !record.Answered {
		request.maybeSent = true // unknown: only repeating the request under its ID shows it
		p.planner.PendingRequests[record.Request.RequestID] = autoscaler.ScaleOut{
			InstanceOffer: request.offer(), Count: record.Request.Count,
		}
		p.transition(request, RequestPending)
		return
	}
	request.state = RequestFulfilled
	age := max(wall-micro.Time(record.CreatedAt), 0)
	for _, name := range record.Machines {
		p.addInstance(request, name, now-age, now)
	}
	for _, name := range record.Terminating {
		p.addInstance(request, name, now-age, now)
		p.Terminate(p.cluster.EnsureMachine(name, now), "termination requested by an earlier leader")
	}
}

// addInstance adds a machine that was created for a request to the cluster state.
func (p *Provisioner) addInstance(request *instanceRequest, name string, requestedAt, now micro.Time) {
	if p.cluster.WasTerminated(name) {
		return
	}
	machine := p.cluster.EnsureMachine(name, now)
	machine.InstanceRequestID = request.record.Request.RequestID
	machine.RequestedAt = requestedAt
	offer := request.offer()
	p.cluster.DescribeMachine(machine, offer.Type, offer.Zone, offer.Spot)
}

// removeName returns a list without the given name. The list itself is not modified, since a write to the
// store may be reading it.
func removeName(names []string, name string) []string {
	i := slices.Index(names, name)
	if i < 0 {
		return names
	}
	return append(names[:i:i], names[i+1:]...)
}
