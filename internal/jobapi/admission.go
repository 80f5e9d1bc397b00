package jobapi

import (
	"context"
	"fmt"
	"net/http"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/scheduler"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// specMargin is kept in the description's value for what the service adds.
const specMargin = 64

// After how many seconds a sender whose submission is not taken comes back.
const (
	formatRetrySeconds   = 2 // the format gate is shut
	overloadRetrySeconds = 5 // too many tasks wait
)

// admissionResult is what was found of a submission.
type admissionResult struct {
	refusal string        // why it is refused for good; "": it is not
	status  int           // of the refusal
	reply   httpapi.Reply // the answer, if it is decided without a refusal
	decided bool
}

// rejection is the answer to a submission that is not taken; false if it may be. A
// repeat of an accepted one is known whatever has changed since, so before
// anything is refused for good the store is asked for it.
func (s *Service) rejection(job *wire.Job, relay bool) (httpapi.Reply, bool) {
	catalog := s.catalog.Load()
	if catalog == nil {
		return tryAgain(), true
	}
	found := s.admit(job, catalog, relay)
	if found.decided {
		return found.reply, true
	}
	if found.refusal != "" {
		return s.existingStatusOr(job.ID, relay, httpapi.ErrorReply(found.status, found.refusal)), true
	}
	leader := s.leadership.ActiveLeader()
	if leader != nil && leader.PendingTasks() > s.cfg.MaxPendingTasks && !leader.KnowsJob(job.ID) {
		return httpapi.RetryReply(http.StatusTooManyRequests, overloadRetrySeconds), true
	}
	return httpapi.Reply{}, false
}

// admit looks at a submission: its size, whether it can ever run, and what it depends on.
func (s *Service) admit(job *wire.Job, catalog *wire.Catalog, relay bool) admissionResult {
	if reason := s.infeasibleReason(job, catalog); reason != "" {
		return admissionResult{refusal: reason, status: http.StatusUnprocessableEntity}
	}
	if wire.JSONSize(withoutDependencies(job)) > s.maxValueBytes()-specMargin {
		return admissionResult{refusal: "the description is too large to keep", status: http.StatusBadRequest}
	}
	if len(job.Dependencies) == 0 {
		return admissionResult{}
	}
	if !s.formatGate.FormatOpen() {
		// A node of the earlier version may still lead, and would not wait.
		retry := httpapi.RetryReply(http.StatusServiceUnavailable, formatRetrySeconds)
		return admissionResult{reply: s.existingStatusOr(job.ID, relay, retry), decided: true}
	}
	missing, err := s.unknownDependency(job.Dependencies, job.ID, relay)
	if err != nil {
		s.log.Debug("dependencies not looked up", "job", job.ID, "err", err)
		return admissionResult{reply: tryAgain(), decided: true}
	}
	if missing != "" {
		refusal := "awaits " + missing + ", which was never accepted"
		return admissionResult{refusal: refusal, status: http.StatusUnprocessableEntity}
	}
	return admissionResult{}
}

// withoutDependencies is a description without the list of its dependencies.
func withoutDependencies(job *wire.Job) *wire.Job {
	spec := *job
	spec.Dependencies = nil
	return &spec
}

// existingStatusOr answers a repeat of an accepted submission, and gives the other reply if
// it is none.
func (s *Service) existingStatusOr(id string, relay bool, otherwise httpapi.Reply) httpapi.Reply {
	var reply httpapi.Reply
	if relay {
		reply = s.repeatedSubmissionStatus(id)
	} else if stored, err := s.reader.read(id, store.Routine); err == nil {
		reply = stored
	} else {
		s.log.Debug("repeat not looked up", "job", id, "err", err)
		reply = tryAgain()
	}
	switch reply.Status {
	case http.StatusNotFound:
		return otherwise
	case http.StatusOK:
		return reply
	}
	return tryAgain()
}

// unknownDependency finds a job among the dependencies that was never accepted, "" if there is
// none. What was accepted once stays so, and may be remembered.
func (s *Service) unknownDependency(dependencies []string, self string, relay bool) (string, error) {
	var unknown []string
	for _, id := range dependencies {
		if id == self {
			// Accepted before it was named, it would be known.
			return id, nil
		}
		if !s.knownAccepted(id) {
			unknown = append(unknown, id)
		}
	}
	maxIDs := s.maxIDsPerRequest()
	for len(unknown) > 0 {
		batch := unknown[:min(len(unknown), maxIDs)]
		unknown = unknown[len(batch):]
		accepted, err := s.acceptedJobs(batch, relay)
		if err != nil {
			return "", err
		}
		for _, id := range batch {
			if !accepted[id] {
				return id, nil
			}
			s.acceptedIDs.add(id)
		}
	}
	return "", nil
}

// knownAccepted reports whether this node, or the leader on it, knows that a job was accepted.
func (s *Service) knownAccepted(id string) bool {
	if s.acceptedIDs.contains(id) {
		return true
	}
	leader := s.leadership.ActiveLeader()
	return leader != nil && leader.KnowsJob(id) // read from the store, or stored by a node that told
}

// acceptedJobs asks the store, or a peer that reaches it, which jobs were accepted.
func (s *Service) acceptedJobs(ids []string, relay bool) (map[string]bool, error) {
	accepted, err := s.acceptedInStore(ids, store.Routine)
	if err == nil || !relay {
		return accepted, err
	}
	var found []string
	answered := s.askPeers(peer.AcceptedJobs, wire.MustMarshal(ids), func(status int, body []byte) bool {
		return status == http.StatusOK && wire.Unmarshal(body, &found) == nil
	})
	if !answered {
		return nil, err
	}
	return setOf(found), nil
}

// setOf is the set of some IDs.
func setOf(ids []string) map[string]bool {
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// infeasibleReason says why a job can never run, "" if it can.
func (s *Service) infeasibleReason(job *wire.Job, catalog *wire.Catalog) string {
	team := s.cfg.Team(job.Team)
	if team == nil {
		return "unknown team"
	}
	if !fitsAnyMachineType(job, catalog) {
		return "a task fits no allowed machine type"
	}
	tasks := float64(job.Tasks)
	if job.Kind == wire.JobArray {
		tasks = 1
	}
	const eps = 1e-9
	if team.CPUsMax > 0 && tasks*job.CPUs > team.CPUsMax+eps || team.GPUsMax > 0 && tasks*job.GPUs > team.GPUsMax+eps {
		return "needs more than the team's limit"
	}
	return ""
}

// fitsAnyMachineType reports whether a task can run on some type in some zone.
func fitsAnyMachineType(job *wire.Job, catalog *wire.Catalog) bool {
	for i := range catalog.Types {
		machineType := &cluster.MachineType{MachineType: catalog.Types[i]}
		for _, zone := range machineType.Zones {
			if scheduler.Allowed(job, machineType, zone, false) {
				return true
			}
		}
	}
	return false
}

// acceptedInStore asks the store which jobs were accepted: one request.
func (s *Service) acceptedInStore(ids []string, class store.Class) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout.Duration())
	defer cancel()
	specKeys := make([]string, len(ids))
	for i, id := range ids {
		specKeys[i] = keys.JobSpec(id)
	}
	stored, err := s.store.ExistingKeys(ctx, class, specKeys)
	if err != nil {
		return nil, fmt.Errorf("looking for the descriptions of %d jobs: %w", len(ids), err)
	}
	accepted := map[string]bool{}
	for i, id := range ids {
		accepted[id] = stored[specKeys[i]]
	}
	return accepted, nil
}
