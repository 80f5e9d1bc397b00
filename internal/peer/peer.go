// Package peer implements the calls between the controller nodes. They use unencrypted HTTP/2 from net/http,
// because fasthttp does not support HTTP/2.
package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// Paths of the calls between nodes.
const (
	Status               = "/peer/show"     // a job's status, from the leader's memory
	StatusBatch          = "/peer/shows"    // the statuses of several jobs, from the leader's memory
	Cancel               = "/peer/withdraw" // cancel a job; the leader only
	Submit               = "/peer/submit"   // submit a job on behalf of a node that the store refuses
	StoredStatus         = "/peer/read"     // a job's status, from the store
	JobAccepted          = "/peer/notify"   // a job was accepted
	Ping                 = "/peer/ping"     // check whether the node responds
	AcceptedJobs         = "/peer/exist"    // which of these jobs were accepted, from the store
	AcceptedJobsBudgeted = "/peer/accepted" // the same for status queries, within the responding node's budget for them
	AnnounceVersion      = "/peer/announce" // a node that the store refuses runs the caller's version
	LeaseProxy           = "/peer/keep"     // request of a lease proxy to the leader, see package leasekeeper
	LeaseProxyFenced     = "/peer/fenced"   // a lease proxy confirms that it renews no lease
	ShardOwner           = "/peer/share"    // status update of a shard owner to the leader, see package shard
	ShardAdmin           = "/peer/admin"    // an operator's command on shards
	Referral             = "/peer/referral" // when an agent was last referred to the caller, see package referral
	Metrics              = "/metrics"       // latency histograms, for operators
)

// ErrUnreachable means that a node did not respond within the timeout. The call may have been executed.
var ErrUnreachable = errors.New("peer: no response")

// Handler handles a call and returns the HTTP status and body of the response.
type Handler func(ctx context.Context, call string, body []byte) (int, []byte)

// Caller calls other nodes by name.
type Caller interface {
	Call(ctx context.Context, node, call string, body []byte, timeout micro.Time) (status int, out []byte, err error)
}

// Client is a Caller over the network.
type Client struct {
	addrs      map[string]string
	httpClient *http.Client
}

func protocols() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// NewClient returns a client for the nodes whose addresses are given by name.
func NewClient(addrs map[string]string) *Client {
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond}
	return &Client{addrs: addrs, httpClient: &http.Client{Transport: &http.Transport{
		Protocols:       protocols(),
		DialContext:     dialer.DialContext,
		IdleConnTimeout: 60 * time.Second,
		// After a network partition, connections may remain open that never respond; pings detect them.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
	}}}
}

// Names returns the names of the other nodes, in no particular order.
func (c *Client) Names() []string {
	var names []string
	for name := range c.addrs {
		names = append(names, name)
	}
	return names
}

// Call posts the body to the node and returns the status and body of the response. A response body is truncated
// to wire.MaxBody+1 bytes. The error wraps ErrUnreachable if the node is unknown or does not respond within the
// timeout.
func (c *Client) Call(ctx context.Context, node, call string, body []byte, timeout micro.Time) (int, []byte, error) {
	addr, ok := c.addrs[node]
	if !ok {
		return 0, nil, ErrUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, errors.Join(ErrUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody+1))
	if err != nil {
		return 0, nil, errors.Join(ErrUnreachable, err)
	}
	return resp.StatusCode, reply, nil
}

// calls lists the paths of all calls that a node handles.
var calls = []string{
	Status, StatusBatch, Cancel, Submit, StoredStatus, JobAccepted, Ping, AcceptedJobs, AcceptedJobsBudgeted,
	AnnounceVersion, LeaseProxy, LeaseProxyFenced, ShardOwner, ShardAdmin, Referral,
}

// Serve handles the calls of other nodes on the listener until the context ends. Requests with a body larger than
// wire.MaxBody are rejected with status 400.
func Serve(ctx context.Context, listener net.Listener, handler Handler, metrics func(io.Writer)) error {
	mux := http.NewServeMux()
	for _, call := range calls {
		mux.HandleFunc("POST "+call, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
			if err != nil || len(body) > wire.MaxBody {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			status, reply := handler(r.Context(), call, body)
			w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
			w.WriteHeader(status)
			_, _ = w.Write(reply)
		})
	}
	mux.HandleFunc("GET "+Metrics, func(w http.ResponseWriter, _ *http.Request) { metrics(w) })
	serverProtocols := protocols()
	serverProtocols.SetHTTP1(true) // operators may read the metrics with a client that supports only HTTP/1
	server := &http.Server{
		Handler: mux, Protocols: serverProtocols, IdleTimeout: 2 * time.Minute, ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
