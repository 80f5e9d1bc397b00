// Package agent sends orders directly to workers.
package agent

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// ErrUncertain means that the orders may have run, or may still run later.
var ErrUncertain = errors.New("agent: no answer, orders may run late")

// Sender sends orders to a worker and returns its report. executed is false
// where the worker refused them (older token or other session).
type Sender interface {
	Send(addr string, o wire.Orders) (report *wire.Report, executed bool, err error)
}

// Client speaks to real workers.
type Client struct {
	timeout micro.Time
	mu      sync.Mutex
	hosts   map[string]*fasthttp.HostClient
}

// maxHosts bounds the clients kept, several times the largest fleet that a site is
// known to run. Beyond it all are made anew, which costs their idle connections;
// those end soon anyway, since sockets are scarce where workers are many.
const maxHosts = 16_384

// NewClient makes a client that gives a worker the time to answer.
func NewClient(timeout micro.Time) *Client {
	return &Client{timeout: timeout, hosts: map[string]*fasthttp.HostClient{}}
}

func (c *Client) host(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil {
		if len(c.hosts) > maxHosts {
			clear(c.hosts)
		}
		h = &fasthttp.HostClient{
			Addr: addr, MaxConns: 2, MaxIdleConnDuration: 300 * time.Millisecond, MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader: true,
			RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                     func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, time.Second) },
		}
		c.hosts[addr] = h
	}
	return h
}

// Send posts the orders.
func (c *Client) Send(addr string, o wire.Orders) (*wire.Report, bool, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + addr + "/orders")
	req.SetBodyRaw(wire.MustMarshal(o))
	if err := c.host(addr).DoTimeout(req, resp, c.timeout.Std()); err != nil {
		return nil, false, fmt.Errorf("%w: %v", ErrUncertain, err)
	}
	code := resp.StatusCode()
	if code != 200 && code != 409 {
		return nil, false, fmt.Errorf("agent: status %d", code)
	}
	r, err := wire.DecodeReport(resp.Body())
	return r, code == 200, err
}
