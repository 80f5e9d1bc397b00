// Package cloud is the client of the cloud provider's API.
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

// Errors of a call. After ErrUncertain the call may have been executed, or may still be; after the others it was not.
var (
	ErrNoCapacity  = errors.New("cloud: no capacity")
	ErrUnavailable = errors.New("cloud: service unavailable, request not executed")
	ErrRateLimited = errors.New("cloud: rate limit exceeded")
	ErrMalformed   = errors.New("cloud: request rejected as malformed")
	ErrUncertain   = errors.New("cloud: no response, request may have been executed")
)

// Provider manages the machines of a cloud provider. Its methods are documented at Client.
type Provider interface {
	Catalog(ctx context.Context) (*wire.Catalog, error)
	RequestInstances(ctx context.Context, request wire.InstanceRequest) ([]string, error)
	Terminate(ctx context.Context, machines []string) error
	List(ctx context.Context, after string) (*wire.MachineList, error)
}

// responseTimeout is how long a call waits for the cloud's response.
const responseTimeout = 5 * time.Second

// MaxTerminate is the largest number of machines in one Terminate call.
const MaxTerminate = 100

// Client is a Provider that calls the cloud over HTTP.
type Client struct {
	baseURL    string
	httpClient *fasthttp.Client
	timeout    time.Duration
	limiter    *rate.Limiter
}

// NewClient returns a client that sends at most 90 % of rps requests per second, in bursts of at most one
// second's worth.
func NewClient(addr string, rps float64) *Client {
	return &Client{
		baseURL: "http://" + addr,
		httpClient: &fasthttp.Client{
			MaxConnsPerHost: 16, MaxIdleConnDuration: 20 * time.Second, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true, MaxResponseBodySize: 16 << 20,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		timeout: responseTimeout,
		// The burst is one second's worth of requests. The remaining tenth of the rate is a margin
		// for the other nodes, which read the catalog once.
		limiter: rate.NewLimiter(rate.Limit(rps*0.9), max(1, int(rps))),
	}
}

type errorResponse struct {
	Error string `msgpack:"error"`
}

// call sends one request and decodes a response of status 200 into response. When the context ends first,
// it returns ErrUncertain, because the cloud may still execute the request.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrRateLimited
	}
	var body []byte
	if request != nil {
		body = wire.MustMarshal(request)
	}
	results := make(chan callResult, 1)
	go func() { results <- c.exchange(method, path, body) }()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUncertain, ctx.Err())
	case result := <-results:
		return result.decode(response)
	}
}

// callResult is the response to a call, or the reason why there is none.
type callResult struct {
	status int
	body   []byte
	err    error // not nil: there was no response
}

// exchange sends a request and waits for the response, at most for the client's timeout.
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

// decode decodes a response of status 200 into response, unless that is nil. For any other status it
// returns the corresponding error.
func (r callResult) decode(response any) error {
	if r.err != nil {
		return r.err
	}
	switch r.status {
	case fasthttp.StatusOK:
		if response == nil {
			return nil
		}
		return wire.Unmarshal(r.body, response)
	case fasthttp.StatusServiceUnavailable:
		var failure errorResponse
		if wire.Unmarshal(r.body, &failure) == nil && failure.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrUnavailable
	case fasthttp.StatusTooManyRequests:
		return ErrRateLimited
	case fasthttp.StatusBadRequest:
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrUncertain, r.status)
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) (*wire.Catalog, error) {
	var catalog wire.Catalog
	return &catalog, c.call(ctx, "GET", "/catalog", nil, &catalog)
}

// RequestInstances requests machines and returns the names of those that were granted. A repeated request ID
// returns the result of the first request with that ID.
func (c *Client) RequestInstances(ctx context.Context, request wire.InstanceRequest) ([]string, error) {
	var names wire.MachineNames
	err := c.call(ctx, "POST", "/machines", request, &names)
	return names.Machines, err
}

// Terminate terminates at most MaxTerminate machines. When it returns nil, they and all their data are deleted.
func (c *Client) Terminate(ctx context.Context, machines []string) error {
	return c.call(ctx, "POST", "/machines/return", wire.MachineNames{Machines: machines}, nil)
}

// List reads a page of at most 500 machines whose names follow after; "" reads the first page.
func (c *Client) List(ctx context.Context, after string) (*wire.MachineList, error) {
	var page wire.MachineList
	path := "/machines?limit=" + strconv.Itoa(500)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	return &page, c.call(ctx, "GET", path, nil, &page)
}
