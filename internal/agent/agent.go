// Package agent sends commands directly to agents and probes them for their status.
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

// ErrUncertain means that no response came: the commands may have been executed, or may still be executed later.
var ErrUncertain = errors.New("agent: no response, commands may have been executed or may be executed later")

// Sender sends commands to an agent and returns its heartbeat. executed is false
// if the agent refused them (older fencing token or another agent epoch).
type Sender interface {
	Send(addr string, commands wire.Commands) (heartbeat *wire.Heartbeat, executed bool, err error)
}

// Prober asks an agent for a heartbeat. A probe changes no state of the agent: the agent executes
// no command, and its lease is not extended. Probe returns an error if no response arrives within ProbeTimeout.
type Prober interface {
	Probe(addr string) (*wire.Heartbeat, error)
}

// ProbeTimeout is how long an agent may take to respond to a probe, including the time to connect.
const ProbeTimeout = 300 * micro.Millisecond

// Client is a Sender and Prober that reaches agents over HTTP. It is safe for concurrent use.
type Client struct {
	timeout     micro.Time
	dialProbe   fasthttp.DialFuncWithTimeout
	mu          sync.Mutex
	hostClients map[string]*fasthttp.HostClient
}

// maxHostClients bounds the number of cached host clients. It is several times the largest known fleet.
// When it is exceeded, all clients are discarded and created again on demand, which costs their idle
// connections. These are short-lived anyway, because sockets are scarce in a large fleet.
const maxHostClients = 16_384

// NewClient returns a client whose Send waits for a response for at most the timeout.
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

// dialTimeout bounds the time to connect to an agent for Send.
const dialTimeout = time.Second

func dial(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) }

// Send posts the commands to the agent. The error is ErrUncertain if there is no response; commands are
// never sent again.
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
		return nil, false, fmt.Errorf("agent: send commands: unexpected status %d", status)
	}
	heartbeat, err := wire.DecodeHeartbeat(resp.Body())
	return heartbeat, status == fasthttp.StatusOK, err
}

// Probe asks for the agent's status over a separate connection, so that ProbeTimeout also bounds the time to connect.
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
		return nil, fmt.Errorf("agent: probe: unexpected status %d", status)
	}
	return wire.DecodeHeartbeat(resp.Body())
}
