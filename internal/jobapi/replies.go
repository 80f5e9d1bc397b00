package jobapi

import (
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/wire"
)

// tryAgain tells the sender to come back after a second.
func tryAgain() httpapi.Reply { return httpapi.RetryReply(http.StatusServiceUnavailable, 1) }

// noSuchJob denies a job.
func noSuchJob() httpapi.Reply { return httpapi.ErrorReply(http.StatusNotFound, "no such job") }

// statusReply is a job's status for the one who asked.
func statusReply(status wire.JobStatus) httpapi.Reply {
	return httpapi.Reply{Status: http.StatusOK, Body: status}
}

// decodeReply reads a peer's answer about a job; false if it says nothing of the job.
func decodeReply(status int, out []byte) (httpapi.Reply, bool) {
	switch status {
	case http.StatusOK, http.StatusCreated:
	case http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return httpapi.ErrorReply(status, "refused"), true
	default:
		return httpapi.ErrorReply(status, "refused"), false
	}
	var jobStatus wire.JobStatus
	if wire.Unmarshal(out, &jobStatus) != nil {
		return httpapi.Reply{}, false
	}
	return httpapi.Reply{Status: status, Body: jobStatus}, true
}

// encodeReply writes an answer for a peer.
func encodeReply(reply httpapi.Reply) (int, []byte) {
	out, err := wire.Marshal(reply.Body)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return reply.Status, out
}
