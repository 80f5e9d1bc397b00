package jobapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/internal/keys"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/peer"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

const (
	// hedgeDelay is how long the store may take to write a submission before it is forwarded to a peer as well.
	hedgeDelay = 100 * micro.Millisecond
	// specWriteTimeout is the timeout of all store writes of a submission together.
	specWriteTimeout = 1500 * micro.Millisecond
	// malformedRetrySeconds is the Retry-After, in seconds, for a job spec that the store rejected as malformed.
	malformedRetrySeconds = 2
)

// Submit accepts a job. It replies 201 only after the job's spec has been written to the store.
func (s *Service) Submit(body []byte) httpapi.Reply { return s.submit(body, true) }

// submit accepts a job. It relays the submission to a peer only if relay is set, so that a submission relayed by a peer
// is not relayed again.
func (s *Service) submit(body []byte, relay bool) httpapi.Reply {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return httpapi.ErrorReply(http.StatusBadRequest, err.Error())
	}
	if reply, ok := s.rejection(job, relay); ok {
		return reply
	}
	job.SubmittedAt = int64(s.wall())
	attempt := s.storeSubmission(job, bytes.Clone(body), relay) // copied: the call to a peer may outlast the request
	reply, answered, err := attempt.wait()
	switch {
	case answered:
		return reply
	case err == nil:
		s.notifyAccepted(job)
		return httpapi.Reply{Status: http.StatusCreated, Body: wire.JobStatus{ID: job.ID, State: wire.JobPending}}
	case errors.Is(err, store.ErrConflict):
		// The spec is stored already, by an earlier submission or by a write whose response was lost.
		return s.repeatedSubmissionStatus(job.ID)
	case errors.Is(err, store.ErrMalformed):
		s.log.Error("store rejected malformed job spec; user gets 503", "job", job.ID, "bytes", wire.JSONSize(job))
		return httpapi.RetryReply(http.StatusServiceUnavailable, malformedRetrySeconds)
	}
	s.log.Debug("write job spec failed", "job", job.ID, "err", err)
	if reply, ok := s.relayedReply(attempt, relay); ok {
		return reply
	}
	if isRateLimited(err) {
		return httpapi.RetryReply(http.StatusTooManyRequests, 1)
	}
	return tryAgain()
}

// storeAttempt is an attempt to store the spec of a job, by this node and possibly through a peer.
type storeAttempt struct {
	body         []byte
	stored       chan error        // receives the result of this node's own write
	relayed      chan relayOutcome // receives the result of relaying the submission to the peers
	relayStarted bool              // the submission was relayed while this node's write was in progress
	relayFailed  bool              // it was relayed and no peer gave a final answer
}

// wait waits for the result of this node's own write, or for a peer's answer if that comes first. It returns the
// peer's reply if answered is set, and else the error of the write.
func (a *storeAttempt) wait() (reply httpapi.Reply, answered bool, err error) {
	for {
		select {
		case err := <-a.stored:
			return httpapi.Reply{}, false, err
		case outcome := <-a.relayed:
			if outcome.answered {
				return outcome.reply, true, nil
			}
			a.relayFailed = true
		}
	}
}

// relayOutcome is the result of relaying a submission to the peers.
type relayOutcome struct {
	reply    httpapi.Reply
	answered bool // reports whether a peer gave a final answer
}

// storeSubmission starts to store a job's spec. If that takes longer than hedgeDelay, it relays the submission to a
// peer as well, since the store may be unreachable from this node only; a node that knows it is isolated does so
// immediately. The first of the two writes creates the key; the other one finds that it exists.
func (s *Service) storeSubmission(job *wire.Job, body []byte, relay bool) *storeAttempt {
	attempt := &storeAttempt{body: body, stored: make(chan error, 1), relayed: make(chan relayOutcome, 1)}
	go func() { attempt.stored <- s.storeSpec(job) }()
	if !relay {
		return attempt
	}
	delay := time.Duration(0)
	if !s.health.Isolated() {
		delay = hedgeDelay.Duration()
	}
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	select {
	case err := <-attempt.stored:
		attempt.stored <- err
	case <-hedge.C:
		attempt.relayStarted = true
		go func() {
			reply, answered := s.relay(peer.Submit, body)
			attempt.relayed <- relayOutcome{reply, answered}
		}()
	}
	return attempt
}

// relayedReply returns a peer's reply to a submission that this node could not store, since the store may be refusing
// this node only. It returns false if there is none.
func (s *Service) relayedReply(attempt *storeAttempt, relay bool) (httpapi.Reply, bool) {
	switch {
	case attempt.relayFailed || !relay:
		return httpapi.Reply{}, false
	case !attempt.relayStarted:
		return s.relay(peer.Submit, attempt.body)
	}
	select {
	case outcome := <-attempt.relayed:
		return outcome.reply, outcome.answered
	case <-time.After(PeerCallTimeout.Duration()):
		return httpapi.Reply{}, false
	}
}

// notifyAccepted notifies the leader of a new job. If the notification is lost, the leader finds the job by its watch
// of the store.
func (s *Service) notifyAccepted(job *wire.Job) {
	s.acceptedIDs.add(job.ID)
	if leader := s.leadership.ActiveLeader(); leader != nil {
		leader.AddJob(*job)
		return
	}
	leader, ok := s.otherLeader()
	if !ok {
		return
	}
	go func() {
		_, _, err := s.peers.Call(context.Background(), leader, peer.JobAccepted, wire.MustMarshal(job), relayTimeout)
		if err != nil {
			s.log.Debug("notify leader of accepted job failed", "job", job.ID, "node", leader, "err", err)
		}
	}()
}

// splitSpec returns the spec to be stored under the job's key and, if the job is too large for one value, changes that
// write its dependencies to keys of their own.
func (s *Service) splitSpec(job *wire.Job) (*wire.Job, []wire.Change) {
	maxBytes := s.maxValueBytes() - specMargin
	if wire.JSONSize(job) <= maxBytes {
		return job, nil
	}
	spec := withoutDependencies(job)
	var parts []wire.Change
	size, part := 0, []string(nil)
	flush := func() {
		if len(part) > 0 {
			parts = append(parts, wire.Change{
				Put: keys.JobDependencies(job.ID, len(parts)), Value: cluster.DependencyRecord{Dependencies: part},
			})
			size, part = 0, nil
		}
	}
	for _, id := range job.Dependencies {
		if size += len(id) + 3; size > maxBytes-16 {
			flush()
			size = len(id) + 3
		}
		part = append(part, id)
	}
	flush()
	spec.DependencyChunks = len(parts)
	return spec, parts
}

// storeSpec writes a job's spec, unless the job has one. Dependencies that are stored under keys of their own are
// written first: a spec must never be found without them.
func (s *Service) storeSpec(job *wire.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), specWriteTimeout.Duration())
	defer cancel()
	class := store.Urgent
	if s.leadership.ActiveLeader() != nil {
		class = store.Routine // many submissions must not delay task starts and instance requests
	}
	spec, parts := s.splitSpec(job)
	for len(parts) > 0 {
		batch := parts[:min(len(parts), s.cfg.MaxTxnOps())]
		parts = parts[len(batch):]
		// A repeated submission carries the same list, so it writes the same values.
		if err := s.commitUnlessAccepted(ctx, class, job.ID, batch); err != nil {
			return fmt.Errorf("write dependencies of job %s: %w", job.ID, err)
		}
	}
	err := s.commitUnlessAccepted(ctx, class, job.ID, []wire.Change{{Put: keys.JobSpec(job.ID), Value: spec}})
	if err != nil {
		return fmt.Errorf("write spec of job %s: %w", job.ID, err)
	}
	return nil
}

// commitUnlessAccepted commits the changes in then if the job has no spec yet, and else returns store.ErrConflict.
func (s *Service) commitUnlessAccepted(ctx context.Context, class store.Class, id string, then []wire.Change) error {
	_, err := s.store.Commit(ctx, class, wire.Transaction{
		If:   []wire.Precondition{{Key: keys.JobSpec(id)}},
		Then: then,
	})
	return err
}
