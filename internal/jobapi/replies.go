package jobapi

import (
	"net/http"

	"notchmux.dev/notchmux/internal/httpapi"
	"notchmux.dev/notchmux/wire"
)

// tryAgain returns a 503 reply that asks the client to retry after 1 s.
func tryAgain() httpapi.Reply { return httpapi.RetryReply(http.StatusServiceUnavailable, 1) }

// noSuchJob returns the reply for a job that does not exist.
func noSuchJob() httpapi.Reply { return httpapi.ErrorReply(http.StatusNotFound, "no such job") }

// statusReply returns a 200 reply with a job's status.
func statusReply(status wire.JobStatus) httpapi.Reply {
	return httpapi.Reply{Status: http.StatusOK, Body: status}
}

// decodeReply converts a peer's response into the reply for the user. It returns false if the response is not final:
// its status is none of 200, 201, 400, 404 and 422, or its body cannot be decoded.
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

// encodeReply converts a reply into the HTTP status and body of a response to a peer, or 500 if encoding fails.
func encodeReply(reply httpapi.Reply) (int, []byte) {
	out, err := wire.Marshal(reply.Body)
	if err != nil {
		return http.StatusInternalServerError, nil
	}
	return reply.Status, out
}
