// Package cloud is the client of the cloud's interface.
package cloud

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"notchmux.dev/notchmux/wire"
)

// The ways in which a call can fail.
var (
	ErrNoCapacity  = errors.New("cloud: no capacity")
	ErrUnavailable = errors.New("cloud: in trouble, not executed")
	ErrRateLimited = errors.New("cloud: over its limit")
	ErrMalformed   = errors.New("cloud: request called malformed")
	ErrUncertain   = errors.New("cloud: no answer, may have run")
)

// Provider is what the rest of the service needs.
type Provider interface {
	Catalog(ctx context.Context) (*wire.Catalog, error)
	RequestInstances(ctx context.Context, request wire.InstanceRequest) ([]string, error)
	Terminate(ctx context.Context, machines []string) error
	List(ctx context.Context, after string) (*wire.MachineList, error)
}

// responseTimeout is how long the cloud may take over an answer.
const responseTimeout = 5 * time.Second

// MaxTerminate is how many machines one call returns.
const MaxTerminate = 100

// Client speaks to the real cloud.
type Client struct {
	baseURL    string
	httpClient *fasthttp.Client
	timeout    time.Duration
	limiter    *rate.Limiter
}

// NewClient makes a client that stays within the given rate.
func NewClient(addr string, rps float64) *Client {
	return &Client{
		baseURL: "http://" + addr,
		httpClient: &fasthttp.Client{
			MaxConnsPerHost: 16, MaxIdleConnDuration: 20 * time.Second, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true, MaxResponseBodySize: 16 << 20,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		timeout: responseTimeout,
		// Bursts of a second's worth, and a margin for the other nodes, which
		// read the catalog once.
		limiter: rate.NewLimiter(rate.Limit(rps*0.9), max(1, int(rps))),
	}
}

type errorResponse struct {
	Error string `msgpack:"error"`
}

// call makes one call, and decodes a reply of status 200 into response. It ends with the
// context: ErrUncertain, though the cloud may still carry it out.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrRateLimited
	}
	var body []byte
	if request != nil {
		body = wire.MustMarshal(request)
	}
	answered := make(chan callResult, 1)
	go func() { answered <- c.exchange(method, path, body) }()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUncertain, ctx.Err())
	case got := <-answered:
		return got.decode(response)
	}
}

// callResult is what came of a call.
type callResult struct {
	status int
	body   []byte
	err    error // there was none
}

// exchange sends a request and waits for its answer, at most for the client's timeout.
func (c *Client) exchange(method, path string, body []byte) callResult {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.baseURL + path)
	if body != nil {
		request.SetBodyRaw(body)
	}
	if err := c.httpClient.DoDeadline(request, response, time.Now().Add(c.timeout)); err != nil {
		return callResult{err: fmt.Errorf("%w: %w", ErrUncertain, err)}
	}
	return callResult{status: response.StatusCode(), body: bytes.Clone(response.Body())}
}

// decode decodes a reply of status 200 into response, unless that is nil; other answers are errors.
func (a callResult) decode(response any) error {
	if a.err != nil {
		return a.err
	}
	switch a.status {
	case fasthttp.StatusOK:
		if response == nil {
			return nil
		}
		return wire.Unmarshal(a.body, response)
	case fasthttp.StatusServiceUnavailable:
		var failure errorResponse
		if wire.Unmarshal(a.body, &failure) == nil && failure.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrUnavailable
	case fasthttp.StatusTooManyRequests:
		return ErrRateLimited
	case fasthttp.StatusBadRequest:
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrUncertain, a.status)
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) (*wire.Catalog, error) {
	var catalog wire.Catalog
	return &catalog, c.call(ctx, "GET", "/catalog", nil, &catalog)
}

// RequestInstances asks for machines. A repeated request name gets the first one's answer.
func (c *Client) RequestInstances(ctx context.Context, request wire.InstanceRequest) ([]string, error) {
	var names wire.MachineNames
	err := c.call(ctx, "POST", "/machines", request, &names)
	return names.Machines, err
}

// Terminate gives machines back; after nil they are gone with all that is on them.
func (c *Client) Terminate(ctx context.Context, machines []string) error {
	return c.call(ctx, "POST", "/machines/return", wire.MachineNames{Machines: machines}, nil)
}

// List reads a page of the machines.
func (c *Client) List(ctx context.Context, after string) (*wire.MachineList, error) {
	var page wire.MachineList
	path := "/machines?limit=" + strconv.Itoa(500)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	return &page, c.call(ctx, "GET", path, nil, &page)
}
