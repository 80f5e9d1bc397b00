// Package agent sends commands directly to agents, and asks them for their status.
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

// ErrUncertain means that the commands may have run, or may still run later.
var ErrUncertain = errors.New("agent: no answer, orders may run late")

// Sender sends commands to an agent and returns its heartbeat. executed is false
// where the agent refused them (older token or other session).
type Sender interface {
	Send(addr string, commands wire.Commands) (heartbeat *wire.Heartbeat, executed bool, err error)
}

// Prober asks an agent for a heartbeat. That changes nothing at the agent: neither does it execute
// anything, nor does its lease become longer. Without an answer within ProbeTimeout there is an error.
type Prober interface {
	Probe(addr string) (*wire.Heartbeat, error)
}

// ProbeTimeout is how long an agent may take over the answer to a probe.
const ProbeTimeout = 300 * micro.Millisecond

// Client speaks to real agents.
type Client struct {
	timeout     micro.Time
	dialProbe   fasthttp.DialFuncWithTimeout
	mu          sync.Mutex
	hostClients map[string]*fasthttp.HostClient
}

// maxHostClients bounds the clients kept, several times the largest fleet that a site is
// known to run. Beyond it all are made anew, which costs their idle connections;
// those end soon anyway, since sockets are scarce where agents are many.
const maxHostClients = 16_384

// NewClient makes a client that gives an agent the time to answer.
func NewClient(timeout micro.Time) *Client {
	return &Client{
		timeout: timeout, dialProbe: fasthttp.DialTimeout, hostClients: map[string]*fasthttp.HostClient{},
	}
}

func (c *Client) hostClient(addr string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.hostClients[addr]
	if client == nil {
		if len(c.hostClients) > maxHostClients {
			clear(c.hostClients)
		}
		client = &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  2,
			MaxIdleConnDuration:       300 * time.Millisecond,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      dial,
		}
		c.hostClients[addr] = client
	}
	return client
}

// dialTimeout is how long a connection to an agent may take to come about.
const dialTimeout = time.Second

func dial(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) }

// Send posts the commands.
func (c *Client) Send(addr string, commands wire.Commands) (*wire.Heartbeat, bool, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + "/orders")
	req.SetBodyRaw(wire.MustMarshal(commands))
	if err := c.hostClient(addr).DoTimeout(req, resp, c.timeout.Duration()); err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	status := resp.StatusCode()
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return nil, false, fmt.Errorf("agent: status %d", status)
	}
	heartbeat, err := wire.DecodeHeartbeat(resp.Body())
	return heartbeat, status == fasthttp.StatusOK, err
}

// Probe asks for the agent's status, over a connection of its own: ProbeTimeout bounds also the time to connect.
func (c *Client) Probe(addr string) (*wire.Heartbeat, error) {
	client := fasthttp.HostClient{
		Addr:                      addr,
		MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader:  true,
		DialTimeout:               c.dialProbe,
	}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodGet)
	req.SetRequestURI("http://" + addr + "/status")
	req.SetConnectionClose()
	if err := client.DoTimeout(req, resp, ProbeTimeout.Duration()); err != nil {
		return nil, fmt.Errorf("agent: probe: %w", err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("agent: probe: status %d", status)
	}
	return wire.DecodeHeartbeat(resp.Body())
}
