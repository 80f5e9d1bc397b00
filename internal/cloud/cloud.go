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
	ErrNoCapacity = errors.New("cloud: no capacity")
	ErrTrouble    = errors.New("cloud: in trouble, not executed")
	ErrBusy       = errors.New("cloud: over its limit")
	ErrBad        = errors.New("cloud: request called malformed")
	ErrUncertain  = errors.New("cloud: no answer, may have run")
)

// Cloud is what the rest of the service needs.
type Cloud interface {
	Catalog(ctx context.Context) (*wire.Catalog, error)
	Rent(ctx context.Context, r wire.Rental) ([]string, error)
	Return(ctx context.Context, machines []string) error
	List(ctx context.Context, after string) (*wire.MachineList, error)
}

// answerWait is how long the cloud may take over an answer.
const answerWait = 5 * time.Second

// MaxReturn is how many machines one call returns.
const MaxReturn = 100

// Client speaks to the real cloud.
type Client struct {
	base    string
	http    *fasthttp.Client
	timeout time.Duration
	limiter *rate.Limiter
}

// NewClient makes a client that stays within the given rate.
func NewClient(addr string, rps float64) *Client {
	return &Client{
		base: "http://" + addr,
		http: &fasthttp.Client{
			MaxConnsPerHost: 16, MaxIdleConnDuration: 20 * time.Second, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true, MaxResponseBodySize: 16 << 20,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
		timeout: answerWait,
		// Bursts of a second's worth, and a margin for the other nodes, which
		// read the catalog once.
		limiter: rate.NewLimiter(rate.Limit(rps*0.9), max(1, int(rps))),
	}
}

type cloudError struct {
	Error string `msgpack:"error"`
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return ErrBusy
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	if in != nil {
		req.SetBodyRaw(wire.MustMarshal(in))
	}
	if err := c.http.DoDeadline(req, resp, time.Now().Add(c.timeout)); err != nil {
		return fmt.Errorf("%w: %v", ErrUncertain, err)
	}
	switch resp.StatusCode() {
	case 200:
		if out == nil {
			return nil
		}
		return wire.Unmarshal(resp.Body(), out)
	case 503:
		var e cloudError
		if wire.Unmarshal(resp.Body(), &e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return ErrTrouble
	case 429:
		return ErrBusy
	case 400:
		return ErrBad
	}
	return fmt.Errorf("%w: status %d", ErrUncertain, resp.StatusCode())
}

// Catalog reads the machine types and their current prices.
func (c *Client) Catalog(ctx context.Context) (*wire.Catalog, error) {
	var cat wire.Catalog
	return &cat, c.call(ctx, "GET", "/catalog", nil, &cat)
}

// Rent asks for machines. A repeated request name gets the first one's answer.
func (c *Client) Rent(ctx context.Context, r wire.Rental) ([]string, error) {
	var names wire.MachineNames
	err := c.call(ctx, "POST", "/machines", r, &names)
	return names.Machines, err
}

// Return gives machines back; after nil they are gone with all that is on them.
func (c *Client) Return(ctx context.Context, machines []string) error {
	return c.call(ctx, "POST", "/machines/return", wire.MachineNames{Machines: machines}, nil)
}

// List reads a page of the machines.
func (c *Client) List(ctx context.Context, after string) (*wire.MachineList, error) {
	var l wire.MachineList
	path := "/machines?limit=" + strconv.Itoa(500)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	return &l, c.call(ctx, "GET", path, nil, &l)
}
