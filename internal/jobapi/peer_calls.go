package jobapi

import (
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// relay forwards a user's request to the other nodes, the leader first, until one of them gives a final answer. It
// returns false if none did. Server errors, 429 and 421 (not the leader) are not final.
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

// PeerHandler handles a call of another node. It returns the HTTP status and the body of the response.
type PeerHandler func(body []byte) (status int, out []byte)

// leaderHandler is like PeerHandler, for calls that only the leader can answer.
type leaderHandler func(leader Leader, body []byte) (status int, out []byte)

// PeerCalls returns the handlers of the calls that the service answers. The keys are the names of the calls in package
// peer.
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

// asLeader returns a handler that calls handle while this node leads, and else answers 421 (Misdirected Request).
func (s *Service) asLeader(handle leaderHandler) PeerHandler {
	return func(body []byte) (int, []byte) {
		leader := s.leadership.ActiveLeader()
		if leader == nil {
			return http.StatusMisdirectedRequest, nil
		}
		return handle(leader, body)
	}
}

// jobFilterHandler returns a handler that decodes a list of job IDs and responds with those that handle selects. If
// handle returns a status other than 200, the response has no body.
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

// statusBatchHandler returns a handler that decodes a list of at most maxStatusesPerCall job IDs and responds with the
// statuses that handle returns.
func statusBatchHandler(handle func(leader Leader, ids []string) []wire.JobStatus) leaderHandler {
	return func(leader Leader, body []byte) (int, []byte) {
		var ids []string
		if wire.Unmarshal(body, &ids) != nil || len(ids) > maxStatusesPerCall {
			return http.StatusBadRequest, nil
		}
		return http.StatusOK, wire.MustMarshal(handle(leader, ids))
	}
}

// submitForPeer accepts a submission that another node forwards because it cannot write it to the store.
func (s *Service) submitForPeer(body []byte) (int, []byte) {
	return encodeReply(s.submit(body, false))
}

// acceptedForPeer returns which of the jobs were accepted, to a node that checks a submission. It is not limited by the
// budget of status queries.
func (s *Service) acceptedForPeer(ids []string) ([]string, int) {
	accepted, err := s.acceptedJobs(ids, false)
	if err != nil {
		s.log.Debug("read accepted jobs for a peer's submission failed; peer gets 503", "jobs", len(ids), "err", err)
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

// acceptedWithinBudget returns which of the jobs were accepted, to a node that answers status queries. The budget of
// this node for status queries is charged.
func (s *Service) acceptedWithinBudget(ids []string) ([]string, int) {
	if len(ids) > s.maxIDsPerRequest() {
		return nil, http.StatusBadRequest
	}
	if !s.budget.admit(1, RequestsPerRead) {
		return nil, http.StatusServiceUnavailable
	}
	accepted, err := s.acceptedInStore(ids, store.StatusQuery)
	if err != nil {
		s.log.Debug("read accepted jobs for a peer's queries failed; peer gets 503", "jobs", len(ids), "err", err)
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

// storedStatusForPeer returns the status of a job as read from the store, to a node that cannot read it. The budget of
// this node for status queries is charged.
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
		s.log.Debug("read job status for a peer failed; peer gets 503", "job", id, "err", err)
		return http.StatusServiceUnavailable, nil
	}
	return encodeReply(reply)
}

// statusForPeer returns the status of a job from memory, or 503 if it is not there.
func (s *Service) statusForPeer(leader Leader, body []byte) (int, []byte) {
	id := string(body)
	status, ok := s.finalStatuses.Get(id)
	if !ok {
		status, ok = statusOf(leader, id)
	}
	if !ok {
		return http.StatusServiceUnavailable, nil // the caller reads the store
	}
	return encodeReply(statusReply(status))
}

// statusesForPeer returns the statuses of several jobs from memory. Jobs that are not there are left out: the caller
// reads them from the store.
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

// cancelForPeer cancels a job on behalf of a node that does not lead.
func (s *Service) cancelForPeer(leader Leader, body []byte) (int, []byte) {
	if !wire.ValidJobID(string(body)) {
		return http.StatusBadRequest, nil
	}
	return encodeReply(s.cancelAsLeader(leader, string(body), relayedCancelTimeout))
}

// jobAcceptedByPeer adds a job that another node accepted to the leader's state.
func jobAcceptedByPeer(leader Leader, body []byte) (int, []byte) {
	var job wire.Job
	if wire.Unmarshal(body, &job) != nil || !wire.ValidJobID(job.ID) || job.Tasks < 1 {
		return http.StatusBadRequest, nil
	}
	leader.AddJob(job)
	return http.StatusOK, nil
}
