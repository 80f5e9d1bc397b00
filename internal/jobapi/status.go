package jobapi

import (
	"context"
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// Status answers a status query: the leader from its memory, else the store's truth, within
// the budget that queries have.
func (s *Service) Status(id string) httpapi.Reply {
	if !wire.ValidJobID(id) {
		return noSuchJob()
	}
	reply, ok := s.statusWithoutLeader(id)
	if !ok {
		reply, ok = s.statusFromMemory(id)
	}
	if !ok {
		reply = s.lookups.lookUp(id)
	}
	if reply.Status == http.StatusOK {
		s.acceptedIDs.add(id)
	}
	return reply
}

// statusWithoutLeader answers a query without the leader, while that answers too late: as far
// as the queries' part of the store's budget goes. The others wait for the leader.
func (s *Service) statusWithoutLeader(id string) (httpapi.Reply, bool) {
	if s.leadership.ActiveLeader() != nil || !s.batcher.backingOff() {
		return httpapi.Reply{}, false
	}
	if status, ok := s.finalStatuses.Get(id); ok {
		return statusReply(status), true
	}
	if !s.acceptedIDs.contains(id) {
		return httpapi.Reply{}, false // it is asked for together with others
	}
	reply := s.lookups.lookUp(id)
	return reply, reply.Status == http.StatusOK || reply.Status == http.StatusNotFound
}

// repeatedSubmissionStatus answers a repeated submission, which goes before queries.
func (s *Service) repeatedSubmissionStatus(id string) httpapi.Reply {
	if reply, ok := s.statusFromMemory(id); ok {
		return reply
	}
	return s.readAnywhere(id, store.Routine)
}

// statusFromMemory answers for a job from this node's or the leader's memory.
func (s *Service) statusFromMemory(id string) (httpapi.Reply, bool) {
	if status, ok := s.finalStatuses.Get(id); ok {
		return statusReply(status), true
	}
	if leader := s.leadership.ActiveLeader(); leader != nil {
		status, ok := statusOf(leader, id)
		if !ok {
			return httpapi.Reply{}, false
		}
		s.finalStatuses.Put(status)
		return statusReply(status), true
	}
	leader, ok := s.otherLeader()
	if !ok {
		return httpapi.Reply{}, false
	}
	reply, ok := s.batcher.Query(leader, id)
	if !ok {
		return httpapi.Reply{}, false
	}
	s.cacheFinal(reply)
	return reply, true
}

// statusOf asks this node's own leader for one job.
func statusOf(leader Leader, id string) (wire.JobStatus, bool) {
	if found := leader.Statuses([]string{id}); len(found) == 1 {
		return found[0], true
	}
	return wire.JobStatus{}, false
}

// cacheFinal keeps the status that an answer holds, if it is final.
func (s *Service) cacheFinal(reply httpapi.Reply) {
	if status, ok := reply.Body.(wire.JobStatus); ok {
		s.finalStatuses.Put(status)
	}
}

// Cancel cancels a job; only the leader can.
func (s *Service) Cancel(id string) httpapi.Reply {
	if final, ok := s.finalStatuses.Get(id); ok {
		return statusReply(final)
	}
	if leader := s.leadership.ActiveLeader(); leader != nil {
		return s.cancelAsLeader(leader, id, cancelTimeout)
	}
	leader, ok := s.otherLeader()
	if !ok {
		return tryAgain()
	}
	status, out, err := s.peers.Call(context.Background(), leader, peer.Cancel, []byte(id), relayTimeout)
	if err != nil {
		s.log.Debug("leader not asked to cancel", "job", id, "node", leader, "err", err)
		return tryAgain()
	}
	reply, ok := decodeReply(status, out)
	if !ok {
		return tryAgain()
	}
	s.cacheFinal(reply)
	return reply
}

// cancelAsLeader cancels a job on the node that leads, and waits for so long until that is certain.
func (s *Service) cancelAsLeader(leader Leader, id string, within micro.Time) httpapi.Reply {
	reply := leader.CancelJob(id, within)
	if reply.Status != http.StatusNotFound {
		s.cacheFinal(reply)
		return reply
	}
	// Not in memory yet, perhaps: the store decides.
	stored, err := s.reader.read(id, store.Routine)
	if err != nil {
		s.log.Debug("job to be cancelled not looked up", "job", id, "err", err)
		return tryAgain()
	}
	status, ok := stored.Body.(wire.JobStatus)
	if stored.Status == http.StatusNotFound || ok && stored.Status == http.StatusOK && status.State.Final() {
		return stored
	}
	return tryAgain()
}

// readAnywhere reads a job's status from the store, or has a peer read it that
// reaches the store. What is over the budget is not handed on: the other nodes'
// budgets are for their own queries.
func (s *Service) readAnywhere(id string, class store.Class) httpapi.Reply {
	storeUnreachable := s.health.Isolated()
	if storeUnreachable { // the store is not worth waiting for before others were asked
		if reply, ok := s.readByPeers(id); ok {
			return reply
		}
	}
	reply, err := s.reader.read(id, class)
	if err == nil {
		return reply
	}
	s.log.Debug("status not read", "job", id, "err", err)
	if !storeUnreachable && (class != store.StatusQuery || !isRateLimited(err)) {
		if reply, ok := s.readByPeers(id); ok {
			return reply
		}
	}
	return tryAgain()
}

// readByPeers asks the other nodes for what they read from the store.
func (s *Service) readByPeers(id string) (httpapi.Reply, bool) {
	reply, ok := s.relay(peer.StoredStatus, []byte(id))
	if ok {
		s.cacheFinal(reply)
	}
	return reply, ok
}
