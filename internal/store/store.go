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
	ErrConflict         = errors.New("store: a guard did not hold")       // 409
	ErrCompacted        = errors.New("store: revision too old to watch")  // 410
	ErrRateLimited      = errors.New("store: over its limits")            // 429
	ErrRefused          = errors.New("store: refused, not executed")      // 503
	ErrNoLease          = errors.New("store: no such lease")              // 404 or 400
	ErrUncertain        = errors.New("store: no answer, may have run")    // timeout, reset
	ErrBudgetExhausted  = errors.New("store: this node's budget is used") // not sent
	ErrMalformed        = errors.New("store: request called malformed")   // 400
	ErrNotFound         = errors.New("store: no such key")                // 404
	ErrUnexpectedStatus = errors.New("store: unexpected status")          // anything else
)

// Class is a call's importance when the budget runs low.
type Class int

// The classes, most important first.
const (
	Leadership  Class = iota
	Urgent            // cancellations, starts
	Routine           // other writes, reads for submissions
	Deferrable        // what can wait: completions, records of what is over
	StatusQuery       // look-ups for polls that the leader does not answer: users ask again
)

// ReservedFraction is the part of the burst that a class must leave untouched.
func (c Class) ReservedFraction() float64 {
	switch c {
	case Leadership:
		return -1 // may borrow: renewal is never held back
	case Urgent:
		return 0.05
	case Deferrable:
		return 0.5
	case StatusQuery:
		return 0.6
	}
	return 0.2
}

// Store is what the rest of the service needs of the state service.
type Store interface {
	// AvailableWrites is how many puts and deletes the budget allows now.
	AvailableWrites(class Class) int
	Get(ctx context.Context, class Class, key string) (wire.Item, error)
	Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error)
	Commit(ctx context.Context, class Class, txn wire.Transaction) (revision uint64, err error)
	// Existing says which of the keys there are: one transaction that changes
	// nothing, and whose guards say that they do not exist.
	ExistingKeys(ctx context.Context, class Class, keys []string) (map[string]bool, error)
	Grant(ctx context.Context, ttl micro.Time) (lease uint64, err error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error)
}

// Client speaks to the real state service.
type Client struct {
	baseURL  string
	http     *fasthttp.Client
	timeout  time.Duration
	reads    *rate.Limiter
	writes   *rate.Limiter
	readRPS  float64
	writeRPS float64

	mu                sync.Mutex
	budgetFractions   [2]float64
	announcedWriteRPS float64 // the rate of changes that may come into force; 0: none

	lastResponse atomic.Int64
}

// NewClient makes a client for the service at addr, allowed the given rates in
// all; SetBudgetFraction says how much of them this node may use.
func NewClient(addr string, readRPS, writeRPS float64) *Client {
	return &Client{
		baseURL: "http://" + addr,
		http: &fasthttp.Client{
			MaxConnsPerHost: 48, MaxIdleConnDuration: 20 * time.Second,
			MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			RetryIfErr:             func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:    16 << 20,
			DisablePathNormalizing: true,
		},
		timeout: 1500 * time.Millisecond,
		reads:   rate.NewLimiter(rate.Limit(readRPS/3), max(1, int(readRPS/3))),
		writes:  rate.NewLimiter(rate.Limit(writeRPS/3), max(1, int(writeRPS/3))),
		readRPS: readRPS, writeRPS: writeRPS,
	}
}

// SetBudgetFraction sets the part of the service's limits that this node may use.
func (c *Client) SetBudgetFraction(reads, writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budgetFractions = [2]float64{reads, writes}
	c.applyLimits()
}

func (c *Client) applyLimits() {
	for _, limit := range []struct {
		lim *rate.Limiter
		all float64
	}{{c.reads, c.readRPS * c.budgetFractions[0]}, {c.writes, c.writeRPS * c.budgetFractions[1]}} {
		limit.lim.SetLimit(rate.Limit(limit.all))
		limit.lim.SetBurst(max(1, int(limit.all)))
	}
}

// AnnounceWriteLimit says that the service may lower its rate of changes from now on. The full
// rate is used until the service first refuses for being over it.
func (c *Client) AnnounceWriteLimit(writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if writes < c.writeRPS {
		c.announcedWriteRPS = writes
	}
}

// applyAnnouncedWriteLimit notes that the service refused changes for being over its rate.
func (c *Client) applyAnnouncedWriteLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.announcedWriteRPS > 0 && c.announcedWriteRPS < c.writeRPS {
		c.writeRPS = c.announcedWriteRPS
		c.applyLimits()
	}
}

// LastResponse is when the store last answered with anything but a refusal.
func (c *Client) LastResponse() micro.Time { return micro.Time(c.lastResponse.Load()) }

// AvailableWrites is how many puts and deletes the budget allows now.
func (c *Client) AvailableWrites(class Class) int {
	return int(c.writes.Tokens() - max(class.ReservedFraction(), 0)*float64(c.writes.Burst()))
}

// Admit takes n tokens if the class may have them now.
func Admit(limiter *rate.Limiter, class Class, n int) bool {
	if n == 0 {
		return true
	}
	if class == Leadership {
		limiter.ReserveN(time.Now(), min(n, limiter.Burst()))
		return true
	}
	if limiter.Tokens()-float64(n) < class.ReservedFraction()*float64(limiter.Burst()) {
		return false
	}
	return limiter.AllowN(time.Now(), min(n, limiter.Burst()))
}

func (c *Client) call(
	ctx context.Context, class Class, writes int, method, path string, body []byte, timeout time.Duration, out any,
) (int, error) {
	if !Admit(c.writes, class, writes) || !Admit(c.reads, class, 1) {
		return 0, ErrBudgetExhausted
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.baseURL + path)
	if body != nil {
		request.SetBodyRaw(body)
	}
	deadline := time.Now().Add(timeout)
	if contextDeadline, ok := ctx.Deadline(); ok && contextDeadline.Before(deadline) {
		deadline = contextDeadline
	}
	if err := c.http.DoDeadline(request, response, deadline); err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUncertain, err)
	}
	code := response.StatusCode()
	if code != 503 {
		c.lastResponse.Store(int64(micro.Now()))
	}
	switch code {
	case 200, 409, 400, 404:
		if out != nil {
			if err := wire.Unmarshal(response.Body(), out); err != nil && code == 200 {
				return code, fmt.Errorf("%w: %v", ErrUnexpectedStatus, err)
			}
		}
	}
	switch code {
	case 200:
		return code, nil
	case 400:
		return code, ErrMalformed
	case 404:
		return code, ErrNotFound
	case 409:
		return code, ErrConflict
	case 410:
		return code, ErrCompacted
	case 429:
		if writes > 0 {
			c.applyAnnouncedWriteLimit()
		}
		return code, ErrRateLimited
	case 503:
		return code, ErrRefused
	}
	return code, fmt.Errorf("%w %d", ErrUnexpectedStatus, code)
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, class Class, key string) (wire.Item, error) {
	var item wire.Item
	_, err := c.call(ctx, class, 0, "GET", "/keys/"+key, nil, c.timeout, &item)
	return item, err
}

// Range reads up to limit keys with the prefix, in order, starting after a key.
func (c *Client) Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error) {
	var page wire.Page
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	_, err := c.call(ctx, class, 0, "GET", path, nil, c.timeout, &page)
	return page, err
}

// Commit runs a transaction. On ErrConflict nothing was changed.
func (c *Client) Commit(ctx context.Context, class Class, txn wire.Transaction) (uint64, error) {
	body, err := wire.Marshal(txn)
	if err != nil {
		return 0, err
	}
	var result wire.TransactionResult
	_, err = c.call(ctx, class, len(txn.Then), "POST", "/commit", body, c.timeout, &result)
	if errors.Is(err, ErrMalformed) && result.Error == "no such lease" {
		err = ErrNoLease
	}
	return uint64(result.Revision), err
}

// ExistingKeys says which of the keys there are.
func (c *Client) ExistingKeys(ctx context.Context, class Class, keys []string) (map[string]bool, error) {
	txn := wire.Transaction{If: make([]wire.Precondition, 0, len(keys)), Then: []wire.Change{}}
	for _, key := range keys {
		txn.If = append(txn.If, wire.Precondition{Key: key})
	}
	body, err := wire.Marshal(txn)
	if err != nil {
		return nil, err
	}
	var result wire.TransactionResult
	_, err = c.call(ctx, class, 0, "POST", "/commit", body, c.timeout, &result)
	if err != nil && !errors.Is(err, ErrConflict) {
		return nil, err
	}
	existing := make(map[string]bool, len(result.Failed))
	for _, key := range result.Failed {
		existing[key] = true
	}
	return existing, nil
}

// Grant asks for a lease.
func (c *Client) Grant(ctx context.Context, ttl micro.Time) (uint64, error) {
	var reply wire.LeaseReply
	body := wire.MustMarshal(wire.LeaseRequest{TTLMs: int64(ttl / micro.Millisecond)})
	_, err := c.call(ctx, Leadership, 0, "POST", "/leases", body, c.timeout, &reply)
	return uint64(reply.Lease), err
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
	var events wire.Events
	path := "/changes?prefix=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(int64(wait/micro.Millisecond), 10)
	_, err := c.call(ctx, Leadership, 0, "GET", path, nil, wait.Duration()+2*time.Second, &events)
	return events, err
}
