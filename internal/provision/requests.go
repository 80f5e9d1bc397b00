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

// InstanceRequestRecord is an instance request as the store keeps it, a fixed format: written
// before the request is sent, so that a lost answer is asked for again under the same name.
type InstanceRequestRecord struct {
	Request   wire.InstanceRequest `msgpack:"r" json:"r"`
	Machines  []string             `msgpack:"m" json:"m"`
	Answered  bool                 `msgpack:"a" json:"a"`
	CreatedAt int64                `msgpack:"at" json:"at"` // wall clock, in microseconds
	// Machines whose termination is requested, no longer among the others. That request
	// may be carried out at any later time, so no leader may use them.
	Terminating []string `msgpack:"b,omitempty" json:"b,omitempty"`
}

// RequestState is the state of an instance request.
type RequestState uint8

// The states of an instance request.
const (
	RequestPersisting RequestState = iota // its record is being written
	RequestPending                        // it waits for its turn, or is in flight
	RequestFulfilled                      // machines were created for it
	RequestClosed                         // refused, or all its machines are terminated
)

// String is the state's name in the field's terms.
func (s RequestState) String() string {
	return [...]string{"persisting", "pending", "fulfilled", "closed"}[s]
}

// requestTransitions are the changes of state that there are. A request that a leader finds
// in the store begins as persisting if it had no answer, else as fulfilled.
var requestTransitions = map[RequestState][]RequestState{
	RequestPersisting: {RequestPending},
	RequestPending:    {RequestFulfilled, RequestClosed},
	RequestFulfilled:  {RequestClosed},
	RequestClosed:     nil,
}

// instanceRequest is an instance request as the leader knows it.
type instanceRequest struct {
	state         RequestState
	record        InstanceRequestRecord
	pendingSince  micro.Time
	maybeSent     bool // the cloud may know of it
	priorityLevel int  // of the work that asked for it
	storeRecord   *statestore.Record

	recordVersion uint64 // of the record, counted up with each machine to be terminated
	storedVersion uint64 // the latest of them that is known to be in the store
}

func (r *instanceRequest) offer() autoscaler.InstanceOffer {
	return autoscaler.InstanceOffer{
		Type: r.record.Request.Type, Zone: r.record.Request.Zone, Spot: r.record.Request.Spot,
	}
}

// transition is the one place where the state of an instance request changes; a change that
// requestTransitions does not list is left out.
func (p *Provisioner) transition(request *instanceRequest, to RequestState) {
	if !slices.Contains(requestTransitions[request.state], to) {
		return
	}
	request.state = to
	id := request.record.Request.RequestID
	switch to {
	case RequestPersisting: // where a request begins
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

// enqueue puts a request behind those that are at least as urgent.
func (p *Provisioner) enqueue(request *instanceRequest) {
	index := sort.Search(len(p.queue), func(i int) bool {
		return p.queue[i].priorityLevel > request.priorityLevel
	})
	p.queue = slices.Insert(p.queue, index, request)
}

// bindRecord makes the entry of the request's record in the store.
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

// Restore takes in the record of an instance request that the store holds, during a failover;
// now and wall are the two clocks' times of the failover. A request without an answer is sent
// once more.
func (p *Provisioner) Restore(item wire.Item, now, wall micro.Time) {
	var record InstanceRequestRecord
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		p.log.Debug("instance request not read", "key", item.Key, "err", err)
		return
	}
	request := &instanceRequest{record: record}
	p.requests[record.Request.RequestID] = request
	p.bindRecord(request)
	request.storeRecord.SetVersion(uint64(item.Version))
	if !record.Answered {
		request.maybeSent = true // perhaps: only the same name again can tell
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

// addInstance adds a machine that was created for a request.
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

// removeName is a list with a name left out; the list itself, which a write may be
// reading, stays as it is.
func removeName(names []string, name string) []string {
	i := slices.Index(names, name)
	if i < 0 {
		return names
	}
	return append(names[:i:i], names[i+1:]...)
}
