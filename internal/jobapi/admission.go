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

// specMargin is the number of bytes of a job spec's value that are reserved for fields which the service adds.
const specMargin = 64

// Retry-After of submissions that cannot be accepted now, in seconds.
const (
	formatRetrySeconds   = 2 // the format gate is closed
	overloadRetrySeconds = 5 // too many tasks are pending
)

// admissionResult is the outcome of the checks of a submission. The zero value admits it.
type admissionResult struct {
	refusal string        // reason of a permanent refusal; "" if the submission is not refused
	status  int           // HTTP status of the refusal
	reply   httpapi.Reply // valid if decided is set
	decided bool          // the submission is answered with reply
}

// rejection returns the reply to a submission that must not be stored, or false if it may be stored. A repeated
// submission of an accepted job gets that job's status even if it would be refused by now, so the store is asked for
// the job before a submission is refused permanently. With relay, peers may be asked as well.
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

// admit checks whether a submitted job can ever run, whether its spec fits the store, and whether its dependencies were
// accepted.
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
		// A node of the previous release may still lead, and would not wait for the dependencies.
		retry := httpapi.RetryReply(http.StatusServiceUnavailable, formatRetrySeconds)
		return admissionResult{reply: s.existingStatusOr(job.ID, relay, retry), decided: true}
	}
	missing, err := s.unknownDependency(job.Dependencies, job.ID, relay)
	if err != nil {
		s.log.Debug("look up dependencies failed; submission gets 503", "job", job.ID, "err", err)
		return admissionResult{reply: tryAgain(), decided: true}
	}
	if missing != "" {
		refusal := "awaits " + missing + ", which was never accepted"
		return admissionResult{refusal: refusal, status: http.StatusUnprocessableEntity}
	}
	return admissionResult{}
}

// withoutDependencies returns a copy of a job spec without the list of dependencies.
func withoutDependencies(job *wire.Job) *wire.Job {
	spec := *job
	spec.Dependencies = nil
	return &spec
}

// existingStatusOr returns the status of a job that was accepted already, or the reply otherwise if the job does not
// exist. If neither can be determined, the reply asks the client to retry.
func (s *Service) existingStatusOr(id string, relay bool, otherwise httpapi.Reply) httpapi.Reply {
	var reply httpapi.Reply
	if relay {
		reply = s.repeatedSubmissionStatus(id)
	} else if stored, err := s.reader.read(id, store.Routine); err == nil {
		reply = stored
	} else {
		s.log.Debug("look up resubmitted job failed; submission gets 503", "job", id, "err", err)
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

// unknownDependency returns a dependency that was never accepted, or "" if all were accepted. Accepted jobs stay
// accepted, so they are added to the cache.
func (s *Service) unknownDependency(dependencies []string, self string, relay bool) (string, error) {
	var unknown []string
	for _, id := range dependencies {
		if id == self {
			// The job names itself. If it had been accepted before, the caller would find it as a repeated submission.
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

// knownAccepted reports whether a job is known to have been accepted, by the cache of this node or by the leader if it
// runs on this node. False does not mean that the job was not accepted.
func (s *Service) knownAccepted(id string) bool {
	if s.acceptedIDs.contains(id) {
		return true
	}
	leader := s.leadership.ActiveLeader()
	return leader != nil && leader.KnowsJob(id) // read from the store, or reported by the node that stored it
}

// acceptedJobs reports which jobs were accepted. It asks the store and, with relay, a peer that reaches the store if
// this node does not.
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

// setOf returns the set of the given IDs.
func setOf(ids []string) map[string]bool {
	set := map[string]bool{}
	for _, id := range ids {
		set[id] = true
	}
	return set
}

// infeasibleReason returns why a job can never run, or "" if it can.
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

// fitsAnyMachineType reports whether a task of the job can run on any machine type of the catalog in any of its zones.
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

// acceptedInStore asks the store with one request which jobs were accepted.
func (s *Service) acceptedInStore(ids []string, class store.Class) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeReadTimeout.Duration())
	defer cancel()
	specKeys := make([]string, len(ids))
	for i, id := range ids {
		specKeys[i] = keys.JobSpec(id)
	}
	stored, err := s.store.ExistingKeys(ctx, class, specKeys)
	if err != nil {
		return nil, fmt.Errorf("look up specs of %d jobs: %w", len(ids), err)
	}
	accepted := map[string]bool{}
	for i, id := range ids {
		accepted[id] = stored[specKeys[i]]
	}
	return accepted, nil
}
