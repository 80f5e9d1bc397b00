// Package peer carries what the service's own processes say to one another:
// HTTP/2 streams without encryption, by net/http, since fasthttp has none.
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

// Calls between nodes.
const (
	Status               = "/peer/show"     // a job's status, from the leader's memory
	StatusBatch          = "/peer/shows"    // the statuses of several jobs, from the leader's memory
	Cancel               = "/peer/withdraw" // cancel a job; the leader only
	Submit               = "/peer/submit"   // submit on behalf of a node the store refuses
	StoredStatus         = "/peer/read"     // a job's status, from the store
	JobAccepted          = "/peer/notify"   // a job was accepted
	Ping                 = "/peer/ping"     // is anybody there
	AcceptedJobs         = "/peer/exist"    // which of these jobs were accepted, from the store
	AcceptedJobsBudgeted = "/peer/accepted" // the same for status queries, within the answering node's budget for them
	AnnounceVersion      = "/peer/announce" // this node runs the caller's version; for one that the store refuses
	LeaseProxy           = "/peer/keep"     // a lease proxy asks the leader, see package leasekeeper
	LeaseProxyFenced     = "/peer/fenced"   // a lease proxy confirms that it renews no lease
	ShardOwner           = "/peer/share"    // an owner of shares tells the leader how it fares, see package share
	ShardAdmin           = "/peer/admin"    // an operator's command on shares
	Referral             = "/peer/referral" // when an agent was last referred to the caller, see package referral
	Metrics              = "/metrics"       // latency histograms, for operators
)

// ErrUnreachable means that no answer came in time.
var ErrUnreachable = errors.New("peer: no answer")

// Handler answers a call with a status and a body.
type Handler func(ctx context.Context, call string, body []byte) (int, []byte)

// Caller calls the other nodes.
type Caller interface {
	Call(ctx context.Context, node, call string, body []byte, timeout micro.Time) (status int, out []byte, err error)
}

// Client calls the other nodes over the network.
type Client struct {
	addrs      map[string]string
	httpClient *http.Client
}

func protocols() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// NewClient makes a client for nodes by name.
func NewClient(addrs map[string]string) *Client {
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond}
	return &Client{addrs: addrs, httpClient: &http.Client{Transport: &http.Transport{
		Protocols:       protocols(),
		DialContext:     dialer.DialContext,
		IdleConnTimeout: 60 * time.Second,
		// A cut leaves connections that never answer: ping them.
		HTTP2: &http.HTTP2Config{SendPingTimeout: 2 * time.Second, PingTimeout: time.Second},
	}}}
}

// Names lists the other nodes.
func (c *Client) Names() []string {
	var names []string
	for name := range c.addrs {
		names = append(names, name)
	}
	return names
}

// Call asks a node.
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

// calls are all calls that a node answers.
var calls = []string{
	Status, StatusBatch, Cancel, Submit, StoredStatus, JobAccepted, Ping, AcceptedJobs, AcceptedJobsBudgeted,
	AnnounceVersion, LeaseProxy, LeaseProxyFenced, ShardOwner, ShardAdmin, Referral,
}

// Serve answers the other nodes on a listener until the context ends.
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
	versions := protocols()
	versions.SetHTTP1(true) // operators read the metrics with any client
	server := &http.Server{
		Handler: mux, Protocols: versions, IdleTimeout: 2 * time.Minute, ReadHeaderTimeout: 5 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
