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
	// hedgeDelay is how long the store may take over a submission before a peer is
	// asked as well.
	hedgeDelay = 100 * micro.Millisecond
	// specWriteTimeout is how long the store may take over all writes of a submission.
	specWriteTimeout = 1500 * micro.Millisecond
	// malformedRetrySeconds is after how many seconds the sender comes back whose
	// description the store did not take.
	malformedRetrySeconds = 2
)

// Submit accepts a job: 201 only after its description is in the store.
func (s *Service) Submit(body []byte) httpapi.Reply { return s.submit(body, true) }

// submit takes a submission; only one that came from a user is relayed to a peer.
func (s *Service) submit(body []byte, relay bool) httpapi.Reply {
	job, err := wire.DecodeJob(body)
	if err != nil {
		return httpapi.ErrorReply(http.StatusBadRequest, err.Error())
	}
	if reply, ok := s.rejection(job, relay); ok {
		return reply
	}
	job.SubmittedAt = int64(s.wall())
	attempt := s.storeSubmission(job, bytes.Clone(body), relay) // a peer may be asked for longer than the request lasts
	reply, answered, err := attempt.wait()
	switch {
	case answered:
		return reply
	case err == nil:
		s.notifyAccepted(job)
		return httpapi.Reply{Status: http.StatusCreated, Body: wire.JobStatus{ID: job.ID, State: wire.JobPending}}
	case errors.Is(err, store.ErrConflict):
		// Known already: a repeat, or a write whose answer was lost.
		return s.repeatedSubmissionStatus(job.ID)
	case errors.Is(err, store.ErrMalformed):
		s.log.Error("job spec rejected by the store", "job", job.ID, "bytes", wire.JSONSize(job))
		return httpapi.RetryReply(http.StatusServiceUnavailable, malformedRetrySeconds)
	}
	s.log.Debug("submission not stored", "job", job.ID, "err", err)
	if reply, ok := s.relayedReply(attempt, relay); ok {
		return reply
	}
	if isRateLimited(err) {
		return httpapi.RetryReply(http.StatusTooManyRequests, 1)
	}
	return tryAgain()
}

// storeAttempt is an attempt to store the description of a job.
type storeAttempt struct {
	body         []byte
	stored       chan error        // what came of this node's own write
	relayed      chan relayOutcome // what came of asking the peers as well
	relayStarted bool              // they were asked
	relayFailed  bool              // none of them gave an answer
}

// wait waits for this node's own write, or for a peer's answer if that comes first.
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

// relayOutcome is what came of handing a submission to the peers.
type relayOutcome struct {
	reply    httpapi.Reply
	answered bool // false: no peer gave an answer
}

// storeSubmission begins to store a description. If that takes long, it asks a peer
// as well: the store may be out of this node's reach alone. Whichever way is first
// creates the key; the other finds it.
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

// relayedReply is a peer's answer to a submission that this node could not store:
// the store may refuse this node alone.
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

// notifyAccepted tells the leader of a new job; its watch would find it as well.
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
			s.log.Debug("leader not told of a job", "job", job.ID, "node", leader, "err", err)
		}
	}()
}

// splitSpec moves what does not fit the description's value into keys of its own.
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

// storeSpec writes a job's description, once. Its dependencies come first: without
// them, no description may be found.
func (s *Service) storeSpec(job *wire.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), specWriteTimeout.Duration())
	defer cancel()
	class := store.Urgent
	if s.leadership.ActiveLeader() != nil {
		class = store.Routine // a crowd of submissions must not hold up starts and instance requests
	}
	spec, parts := s.splitSpec(job)
	for len(parts) > 0 {
		batch := parts[:min(len(parts), s.cfg.MaxTxnOps())]
		parts = parts[len(batch):]
		// A repeat carries the same list, and writes the same.
		if err := s.commitUnlessAccepted(ctx, class, job.ID, batch); err != nil {
			return fmt.Errorf("writing the dependencies of job %s: %w", job.ID, err)
		}
	}
	err := s.commitUnlessAccepted(ctx, class, job.ID, []wire.Change{{Put: keys.JobSpec(job.ID), Value: spec}})
	if err != nil {
		return fmt.Errorf("writing the description of job %s: %w", job.ID, err)
	}
	return nil
}

// commitUnlessAccepted writes what belongs to a job that has no description yet.
func (s *Service) commitUnlessAccepted(ctx context.Context, class store.Class, id string, then []wire.Change) error {
	_, err := s.store.Commit(ctx, class, wire.Transaction{
		If:   []wire.Precondition{{Key: keys.JobSpec(id)}},
		Then: then,
	})
	return err
}
