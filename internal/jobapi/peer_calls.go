package jobapi

import (
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// relay hands a request to another node, the leader first.
func (s *Service) relay(call string, body []byte) (httpapi.Reply, bool) {
	var reply httpapi.Reply
	answered := s.askPeers(call, body, func(status int, out []byte) bool {
		if status >= http.StatusInternalServerError || status == http.StatusTooManyRequests ||
			status == http.StatusMisdirectedRequest {
			return false
		}
		decoded, ok := decodeReply(status, out)
		reply = decoded
		return ok
	})
	return reply, answered
}

// PeerHandler answers a call of another node with an HTTP status and a body.
type PeerHandler func(body []byte) (status int, out []byte)

// leaderHandler answers a call that only the leader can.
type leaderHandler func(leader Leader, body []byte) (status int, out []byte)

// PeerCalls is the registry of the calls that the service answers, by their names in
// package peer.
func (s *Service) PeerCalls() map[string]PeerHandler {
	return map[string]PeerHandler{
		peer.Submit:               s.submitForPeer,
		peer.AcceptedJobs:         jobFilterHandler(s.acceptedForPeer),
		peer.AcceptedJobsBudgeted: jobFilterHandler(s.acceptedWithinBudget),
		peer.StoredStatus:         s.storedStatusForPeer,
		peer.Status:               s.asLeader(s.statusForPeer),
		peer.StatusBatch:          s.asLeader(statusBatchHandler(s.statusesForPeer)),
		peer.Cancel:               s.asLeader(s.cancelForPeer),
		peer.JobAccepted:          s.asLeader(jobAcceptedByPeer),
	}
}

// asLeader answers a call while this node leads, else 421.
func (s *Service) asLeader(handle leaderHandler) PeerHandler {
	return func(body []byte) (int, []byte) {
		leader := s.leadership.ActiveLeader()
		if leader == nil {
			return http.StatusMisdirectedRequest, nil
		}
		return handle(leader, body)
	}
}

// jobFilterHandler is a call that takes some jobs and answers with those of them that something is
// true of. A status other than 200 goes without a body.
func jobFilterHandler(handle func(ids []string) (found []string, status int)) PeerHandler {
	return func(body []byte) (int, []byte) {
		var ids []string
		if wire.Unmarshal(body, &ids) != nil {
			return http.StatusBadRequest, nil
		}
		found, status := handle(ids)
		if status != http.StatusOK {
			return status, nil
		}
		return status, wire.MustMarshal(found)
	}
}

// statusBatchHandler is a call that takes some jobs and answers with the statuses of those that are
// known.
func statusBatchHandler(handle func(leader Leader, ids []string) []wire.JobStatus) leaderHandler {
	return func(leader Leader, body []byte) (int, []byte) {
		var ids []string
		if wire.Unmarshal(body, &ids) != nil || len(ids) > maxStatusesPerCall {
			return http.StatusBadRequest, nil
		}
		return http.StatusOK, wire.MustMarshal(handle(leader, ids))
	}
}

// submitForPeer takes a submission of a node that the store refuses.
func (s *Service) submitForPeer(body []byte) (int, []byte) {
	return encodeReply(s.submit(body, false))
}

// acceptedForPeer says which of some jobs were accepted.
func (s *Service) acceptedForPeer(ids []string) ([]string, int) {
	accepted, err := s.acceptedJobs(ids, false)
	if err != nil {
		s.log.Debug("accepted jobs not read for a peer", "jobs", len(ids), "err", err)
		return nil, http.StatusServiceUnavailable
	}
	found := []string{}
	for id := range accepted {
		if accepted[id] {
			found = append(found, id)
		}
	}
	return found, http.StatusOK
}

// acceptedWithinBudget tells another node which of the jobs that it is queried for were
// accepted.
func (s *Service) acceptedWithinBudget(ids []string) ([]string, int) {
	if len(ids) > s.maxIDsPerRequest() {
		return nil, http.StatusBadRequest
	}
	if !s.budget.admit(1, RequestsPerRead) {
		return nil, http.StatusServiceUnavailable
	}
	accepted, err := s.acceptedInStore(ids, store.StatusQuery)
	if err != nil {
		s.log.Debug("accepted jobs not read for a peer", "jobs", len(ids), "err", err)
		return nil, http.StatusServiceUnavailable
	}
	found := []string{}
	for _, id := range ids {
		if accepted[id] {
			found = append(found, id)
		}
	}
	return found, http.StatusOK
}

// storedStatusForPeer reads a job from the store for a node that cannot.
func (s *Service) storedStatusForPeer(body []byte) (int, []byte) {
	id := string(body)
	if !wire.ValidJobID(id) {
		return http.StatusNotFound, nil
	}
	if !s.budget.admit(RequestsPerRead, 0) {
		return http.StatusServiceUnavailable, nil
	}
	reply, err := s.reader.read(id, store.StatusQuery)
	if err != nil {
		s.log.Debug("status not read for a peer", "job", id, "err", err)
		return http.StatusServiceUnavailable, nil
	}
	return encodeReply(reply)
}

// statusForPeer answers from the leader's memory.
func (s *Service) statusForPeer(leader Leader, body []byte) (int, []byte) {
	id := string(body)
	status, ok := s.finalStatuses.Get(id)
	if !ok {
		status, ok = statusOf(leader, id)
	}
	if !ok {
		return http.StatusServiceUnavailable, nil // the asker reads the store
	}
	return encodeReply(statusReply(status))
}

// statusesForPeer answers for several jobs from the leader's memory. Those that it does
// not answer for are left out: the asker reads the store.
func (s *Service) statusesForPeer(leader Leader, ids []string) []wire.JobStatus {
	statuses := []wire.JobStatus{}
	var uncached []string
	for _, id := range ids {
		if status, ok := s.finalStatuses.Get(id); ok {
			statuses = append(statuses, status)
		} else {
			uncached = append(uncached, id)
		}
	}
	return append(statuses, leader.Statuses(uncached)...)
}

// cancelForPeer cancels a job for a node that does not lead.
func (s *Service) cancelForPeer(leader Leader, body []byte) (int, []byte) {
	if !wire.ValidJobID(string(body)) {
		return http.StatusBadRequest, nil
	}
	return encodeReply(s.cancelAsLeader(leader, string(body), relayedCancelTimeout))
}

// jobAcceptedByPeer takes in a job that another node accepted.
func jobAcceptedByPeer(leader Leader, body []byte) (int, []byte) {
	var job wire.Job
	if wire.Unmarshal(body, &job) != nil || !wire.ValidJobID(job.ID) || job.Tasks < 1 {
		return http.StatusBadRequest, nil
	}
	leader.AddJob(job)
	return http.StatusOK, nil
}
