// Package store is the client of the state service: budgets for requests and
// writes, leases, ranges, transactions and watches.
package store

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/wire"
)

// The ways in which a call can fail, each handled by name.
var (
	ErrConflict  = errors.New("store: a guard did not hold")       // 409
	ErrCompacted = errors.New("store: revision too old to watch")  // 410
	ErrBusy      = errors.New("store: over its limits")            // 429
	ErrRefused   = errors.New("store: refused, not executed")      // 503
	ErrNoLease   = errors.New("store: no such lease")              // 404 or 400
	ErrUncertain = errors.New("store: no answer, may have run")    // timeout, reset
	ErrBudget    = errors.New("store: this node's budget is used") // not sent
	ErrBad       = errors.New("store: request called malformed")   // 400
	ErrNotFound  = errors.New("store: no such key")                // 404
	ErrStatus    = errors.New("store: unexpected status")          // anything else
)

// Class is a call's importance when the budget runs low.
type Class int

// The classes, most important first.
const (
	Leadership Class = iota
	Urgent           // cancellations, starts
	Routine          // other writes, reads for submissions
	Lazy             // what can wait: completions, records of what is over
	Poll             // look-ups for polls that the leader does not answer: users ask again
)

// Reserve is the part of the burst that a class must leave untouched.
func (c Class) Reserve() float64 {
	switch c {
	case Leadership:
		return -1 // may borrow: renewal is never held back
	case Urgent:
		return 0.05
	case Lazy:
		return 0.5
	case Poll:
		return 0.6
	}
	return 0.2
}

// Store is what the rest of the service needs of the state service.
type Store interface {
	// WriteRoom is how many puts and deletes the budget allows now.
	WriteRoom(class Class) int
	Get(ctx context.Context, class Class, key string) (wire.Item, error)
	Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error)
	Commit(ctx context.Context, class Class, txn wire.Txn) (revision uint64, err error)
	// Existing says which of the keys there are: one transaction that changes
	// nothing, and whose guards say that they do not exist.
	Existing(ctx context.Context, class Class, keys []string) (map[string]bool, error)
	Grant(ctx context.Context, ttl micro.Time) (lease uint64, err error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error)
}

// Client speaks to the real state service.
type Client struct {
	base    string
	http    *fasthttp.Client
	timeout time.Duration
	reads   *rate.Limiter
	writes  *rate.Limiter
	rps     float64
	wps     float64

	mu    sync.Mutex
	share [2]float64
	lower float64 // the rate of changes that may come into force; 0: none

	answered atomic.Int64
}

// NewClient makes a client for the service at addr, allowed the given rates in
// all; SetBudgetFraction says how much of them this node may use.
func NewClient(addr string, rps, writeRPS float64) *Client {
	return &Client{
		base: "http://" + addr,
		http: &fasthttp.Client{
			MaxConnsPerHost: 48, MaxIdleConnDuration: 20 * time.Second,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			RetryIfErr:             func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:    16 << 20,
			DisablePathNormalizing: true,
		},
		timeout: 1500 * time.Millisecond,
		reads:   rate.NewLimiter(rate.Limit(rps/3), max(1, int(rps/3))),
		writes:  rate.NewLimiter(rate.Limit(writeRPS/3), max(1, int(writeRPS/3))),
		rps:     rps, wps: writeRPS,
	}
}

// SetBudgetFraction sets the part of the service's limits that this node may use.
func (c *Client) SetBudgetFraction(reads, writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share = [2]float64{reads, writes}
	c.apply()
}

func (c *Client) apply() {
	for _, l := range []struct {
		lim *rate.Limiter
		all float64
	}{{c.reads, c.rps * c.share[0]}, {c.writes, c.wps * c.share[1]}} {
		l.lim.SetLimit(rate.Limit(l.all))
		l.lim.SetBurst(max(1, int(l.all)))
	}
}

// AnnounceWriteLimit says that the service may lower its rate of changes from now on. The full
// rate is used until the service first refuses for being over it.
func (c *Client) AnnounceWriteLimit(writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if writes < c.wps {
		c.lower = writes
	}
}

// lowered notes that the service refused changes for being over its rate.
func (c *Client) lowered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lower > 0 && c.lower < c.wps {
		c.wps = c.lower
		c.apply()
	}
}

// LastResponse is when the store last answered with anything but a refusal.
func (c *Client) LastResponse() micro.Time { return micro.Time(c.answered.Load()) }

// WriteRoom is how many puts and deletes the budget allows now.
func (c *Client) WriteRoom(class Class) int {
	return int(c.writes.Tokens() - max(class.Reserve(), 0)*float64(c.writes.Burst()))
}

// Admit takes n tokens if the class may have them now.
func Admit(lim *rate.Limiter, class Class, n int) bool {
	if n == 0 {
		return true
	}
	if class == Leadership {
		lim.ReserveN(time.Now(), min(n, lim.Burst()))
		return true
	}
	if lim.Tokens()-float64(n) < class.Reserve()*float64(lim.Burst()) {
		return false
	}
	return lim.AllowN(time.Now(), min(n, lim.Burst()))
}

func (c *Client) call(ctx context.Context, class Class, writes int, method, path string, body []byte, timeout time.Duration, out any) (int, error) {
	if !Admit(c.writes, class, writes) || !Admit(c.reads, class, 1) {
		return 0, ErrBudget
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	if body != nil {
		req.SetBodyRaw(body)
	}
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUncertain, err)
	}
	code := resp.StatusCode()
	if code != 503 {
		c.answered.Store(int64(micro.Now()))
	}
	switch code {
	case 200, 409, 400, 404:
		if out != nil {
			if err := wire.Unmarshal(resp.Body(), out); err != nil && code == 200 {
				return code, fmt.Errorf("%w: %v", ErrStatus, err)
			}
		}
	}
	switch code {
	case 200:
		return code, nil
	case 400:
		return code, ErrBad
	case 404:
		return code, ErrNotFound
	case 409:
		return code, ErrConflict
	case 410:
		return code, ErrCompacted
	case 429:
		if writes > 0 {
			c.lowered()
		}
		return code, ErrBusy
	case 503:
		return code, ErrRefused
	}
	return code, fmt.Errorf("%w %d", ErrStatus, code)
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, class Class, key string) (wire.Item, error) {
	var it wire.Item
	_, err := c.call(ctx, class, 0, "GET", "/keys/"+key, nil, c.timeout, &it)
	return it, err
}

// Range reads up to limit keys with the prefix, in order, starting after a key.
func (c *Client) Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error) {
	var p wire.Page
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	_, err := c.call(ctx, class, 0, "GET", path, nil, c.timeout, &p)
	return p, err
}

// Commit runs a transaction. On ErrConflict nothing was changed.
func (c *Client) Commit(ctx context.Context, class Class, txn wire.Txn) (uint64, error) {
	body, err := wire.Marshal(txn)
	if err != nil {
		return 0, err
	}
	var r wire.TxnResult
	_, err = c.call(ctx, class, len(txn.Then), "POST", "/commit", body, c.timeout, &r)
	if errors.Is(err, ErrBad) && r.Error == "no such lease" {
		err = ErrNoLease
	}
	return uint64(r.Revision), err
}

// Existing says which of the keys there are.
func (c *Client) Existing(ctx context.Context, class Class, keys []string) (map[string]bool, error) {
	txn := wire.Txn{If: make([]wire.Guard, 0, len(keys)), Then: []wire.Change{}}
	for _, k := range keys {
		txn.If = append(txn.If, wire.Guard{Key: k})
	}
	body, err := wire.Marshal(txn)
	if err != nil {
		return nil, err
	}
	var r wire.TxnResult
	_, err = c.call(ctx, class, 0, "POST", "/commit", body, c.timeout, &r)
	if err != nil && !errors.Is(err, ErrConflict) {
		return nil, err
	}
	out := make(map[string]bool, len(r.Failed))
	for _, k := range r.Failed {
		out[k] = true
	}
	return out, nil
}

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl micro.Time) (uint64, error) {
	var r wire.LeaseReply
	body := wire.MustMarshal(wire.LeaseRequest{TTLMs: int64(ttl / micro.Millisecond)})
	_, err := c.call(ctx, Leadership, 0, "POST", "/leases", body, c.timeout, &r)
	return uint64(r.Lease), err
}

// Renew extends a lease to its full time.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, Leadership, 0, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", nil, c.timeout, nil)
	if errors.Is(err, ErrNotFound) {
		return ErrNoLease
	}
	return err
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	_, err := c.call(ctx, Leadership, 0, "DELETE", "/leases/"+strconv.FormatUint(lease, 10), nil, c.timeout, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes under the prefix after a revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	var ev wire.Events
	path := "/changes?prefix=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(int64(wait/micro.Millisecond), 10)
	_, err := c.call(ctx, Leadership, 0, "GET", path, nil, wait.Std()+2*time.Second, &ev)
	return ev, err
}
