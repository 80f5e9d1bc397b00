// Package cloud is the client of the cloud's interface.
package cloud

import (
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

func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrRateLimited
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.baseURL + path)
	if request != nil {
		req.SetBodyRaw(wire.MustMarshal(request))
	}
	if err := c.httpClient.DoDeadline(req, resp, time.Now().Add(c.timeout)); err != nil {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		if response == nil {
			return nil
		}
		return wire.Unmarshal(resp.Body(), response)
	case fasthttp.StatusServiceUnavailable:
		var failure errorResponse
		if wire.Unmarshal(resp.Body(), &failure) == nil && failure.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrUnavailable
	case fasthttp.StatusTooManyRequests:
		return ErrRateLimited
	case fasthttp.StatusBadRequest:
		return ErrMalformed
	}
	return fmt.Errorf("%w: status %d", ErrUncertain, resp.StatusCode())
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
