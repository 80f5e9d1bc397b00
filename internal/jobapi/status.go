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

// Status answers a status query, from the leader's memory if possible and else from the store, within the budget for
// status queries.
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

// statusWithoutLeader answers a status query without calling the leader while this node backs off from a leader that
// responded too late, as far as the budget for status queries allows. It returns false for queries that it does not
// answer; they wait for the leader.
func (s *Service) statusWithoutLeader(id string) (httpapi.Reply, bool) {
	if s.leadership.ActiveLeader() != nil || !s.batcher.backingOff() {
		return httpapi.Reply{}, false
	}
	if status, ok := s.finalStatuses.Get(id); ok {
		return statusReply(status), true
	}
	if !s.acceptedIDs.contains(id) {
		return httpapi.Reply{}, false // the leader is asked for it, in a batch with other queries
	}
	reply := s.lookups.lookUp(id)
	return reply, reply.Status == http.StatusOK || reply.Status == http.StatusNotFound
}

// repeatedSubmissionStatus returns the status of a job that was submitted again. Its reads of the store have priority
// over those for status queries.
func (s *Service) repeatedSubmissionStatus(id string) httpapi.Reply {
	if reply, ok := s.statusFromMemory(id); ok {
		return reply
	}
	return s.readAnywhere(id, store.Routine)
}

// statusFromMemory returns the status of a job from the memory of this node or of the leader, or false if neither has
// it.
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

// statusOf returns the status of one job from the leader on this node, or false if the leader cannot give it.
func statusOf(leader Leader, id string) (wire.JobStatus, bool) {
	if found := leader.Statuses([]string{id}); len(found) == 1 {
		return found[0], true
	}
	return wire.JobStatus{}, false
}

// cacheFinal caches the job status in a reply if it is final.
func (s *Service) cacheFinal(reply httpapi.Reply) {
	if status, ok := reply.Body.(wire.JobStatus); ok {
		s.finalStatuses.Put(status)
	}
}

// Cancel cancels a job. Only the leader can do that, so other nodes forward the request to it.
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
		s.log.Debug("forward cancellation to leader failed; user gets 503", "job", id, "node", leader, "err", err)
		return tryAgain()
	}
	reply, ok := decodeReply(status, out)
	if !ok {
		return tryAgain()
	}
	s.cacheFinal(reply)
	return reply
}

// cancelAsLeader cancels a job on the node that leads and waits until the job's final state is stored, at most for
// the duration within.
func (s *Service) cancelAsLeader(leader Leader, id string, within micro.Time) httpapi.Reply {
	reply := leader.CancelJob(id, within)
	if reply.Status != http.StatusNotFound {
		s.cacheFinal(reply)
		return reply
	}
	// The leader may not have read the job yet, so the store decides whether it exists.
	stored, err := s.reader.read(id, store.Routine)
	if err != nil {
		s.log.Debug("read job to be cancelled failed; cancellation gets 503", "job", id, "err", err)
		return tryAgain()
	}
	status, ok := stored.Body.(wire.JobStatus)
	if stored.Status == http.StatusNotFound || ok && stored.Status == http.StatusOK && status.State.Final() {
		return stored
	}
	return tryAgain()
}

// readAnywhere reads a job's status from the store, or has a peer read it if this node does not reach the store. A
// status query that was rejected by a rate limit is not forwarded, since the budgets of the other nodes are for their
// own queries.
func (s *Service) readAnywhere(id string, class store.Class) httpapi.Reply {
	storeUnreachable := s.health.Isolated()
	if storeUnreachable { // ask the peers first rather than wait for the store to time out
		if reply, ok := s.readByPeers(id); ok {
			return reply
		}
	}
	reply, err := s.reader.read(id, class)
	if err == nil {
		return reply
	}
	s.log.Debug("read job status from store failed", "job", id, "err", err)
	if !storeUnreachable && (class != store.StatusQuery || !isRateLimited(err)) {
		if reply, ok := s.readByPeers(id); ok {
			return reply
		}
	}
	return tryAgain()
}

// readByPeers asks the other nodes to read a job's status from the store. It returns false if none of them answered.
func (s *Service) readByPeers(id string) (httpapi.Reply, bool) {
	reply, ok := s.relay(peer.StoredStatus, []byte(id))
	if ok {
		s.cacheFinal(reply)
	}
	return reply, ok
}
