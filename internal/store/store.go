// Package store is the client of the consensus-backed key-value store that the protocol
// calls the store: leases, ranges, compare-and-swap transactions and watches, and
// the part of the service's limits that this node may use.
//
// All methods of Client may be called from any goroutine.
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

// The ways in which a call can fail; match them with errors.Is.
var (
	ErrConflict         = errors.New("store: a precondition did not hold")         // 409
	ErrCompacted        = errors.New("store: revision too old to watch")           // 410
	ErrRateLimited      = errors.New("store: over its limits")                     // 429
	ErrRefused          = errors.New("store: refused, not executed")               // 503
	ErrNoLease          = errors.New("store: no such lease")                       // 404 or 400
	ErrUncertain        = errors.New("store: no response, may have been executed") // timeout, reset
	ErrBudgetExhausted  = errors.New("store: this node's budget is exhausted")     // not sent
	ErrMalformed        = errors.New("store: request rejected as malformed")       // 400
	ErrNotFound         = errors.New("store: no such key")                         // 404
	ErrUnexpectedStatus = errors.New("store: unexpected status")                   // anything else
)

// Class is the importance of a call when the budget runs low.
type Class int

// The classes, most important first.
const (
	Leadership  Class = iota
	Urgent            // cancellations, starts
	Routine           // other writes, reads for submissions
	Deferrable        // what can wait: completions, records of finished jobs
	StatusQuery       // status queries that the leader does not answer: users ask again
)

// ReservedFraction is the part of the burst that a class must leave to more important ones.
func (c Class) ReservedFraction() float64 {
	switch c {
	case Leadership:
		return -1 // may borrow: a lease renewal is never held back
	case Urgent:
		return 0.05
	case Deferrable:
		return 0.5
	case StatusQuery:
		return 0.6
	}
	return 0.2
}

// Store is what the rest of the service needs of the key-value store.
type Store interface {
	// AvailableWrites is how many puts and deletes the budget allows now.
	AvailableWrites(class Class) int
	Get(ctx context.Context, class Class, key string) (wire.Item, error)
	Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error)
	Commit(ctx context.Context, class Class, txn wire.Transaction) (revision uint64, err error)
	// ExistingKeys says which of the keys exist, by one transaction that changes nothing
	// and whose preconditions say that none of them does.
	ExistingKeys(ctx context.Context, class Class, keys []string) (map[string]bool, error)
	Grant(ctx context.Context, ttl micro.Time) (lease uint64, err error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error)
}

// Client speaks to the store over HTTP. It never repeats a call: a lost response makes the
// outcome uncertain, and the caller decides.
type Client struct {
	baseURL  string
	http     *fasthttp.Client
	timeout  time.Duration
	reads    *rate.Limiter
	writes   *rate.Limiter
	readRPS  float64
	writeRPS float64

	admission sync.Mutex // a call takes from both limiters or from none

	mu                sync.Mutex
	budgetFractions   [2]float64
	announcedWriteRPS float64 // changes a second that may come into force; 0: none

	lastResponse atomic.Int64 // microseconds, by this node's steady clock
}

// NewClient makes a client for the service at addr (host:port), which allows all nodes
// together the given requests and changes a second; SetBudgetFraction says how much of them
// this node may use, a third until then.
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
	setRate(c.reads, c.readRPS*c.budgetFractions[0])
	setRate(c.writes, c.writeRPS*c.budgetFractions[1])
}

// setRate sets a limiter's rate, and bursts of what comes in a second.
func setRate(limiter *rate.Limiter, perSecond float64) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(1, int(perSecond)))
}

// AnnounceWriteLimit says that the service may lower its limit to so many changes a second
// from now on. The full rate is used until a change is first refused for its rate.
func (c *Client) AnnounceWriteLimit(writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if writes < c.writeRPS {
		c.announcedWriteRPS = writes
	}
}

// applyAnnouncedWriteLimit lowers the rate after the service refused a change for it.
func (c *Client) applyAnnouncedWriteLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.announcedWriteRPS > 0 && c.announcedWriteRPS < c.writeRPS {
		c.writeRPS = c.announcedWriteRPS
		c.applyLimits()
	}
}

// LastResponse is when the store last answered with anything but a refusal, by this node's
// steady clock; 0: never.
func (c *Client) LastResponse() micro.Time { return micro.Time(c.lastResponse.Load()) }

// AvailableWrites is how many puts and deletes the budget allows now.
func (c *Client) AvailableWrites(class Class) int {
	return int(c.writes.Tokens() - max(class.ReservedFraction(), 0)*float64(c.writes.Burst()))
}

// Admit takes n tokens from a limiter if the class may have them now.
func Admit(limiter *rate.Limiter, class Class, n int) bool {
	if n == 0 {
		return true
	}
	if class == Leadership {
		limiter.ReserveN(time.Now(), min(n, limiter.Burst()))
		return true
	}
	return admissible(limiter, class, n) && limiter.AllowN(time.Now(), min(n, limiter.Burst()))
}

// admissible reports whether a limiter has n tokens for the class now.
func admissible(limiter *rate.Limiter, class Class, n int) bool {
	return limiter.Tokens()-float64(n) >= class.ReservedFraction()*float64(limiter.Burst())
}

// admit takes a call's tokens from both limiters, or none.
func (c *Client) admit(class Class, writes int) bool {
	c.admission.Lock()
	defer c.admission.Unlock()
	if class != Leadership && !admissible(c.reads, class, 1) {
		return false
	}
	return Admit(c.writes, class, writes) && Admit(c.reads, class, 1)
}

// call sends one request, if the budget allows it, and decodes the reply into out. It ends
// at the timeout or at the context's deadline, whichever is earlier.
func (c *Client) call(
	ctx context.Context, class Class, writes int, method, path string, body []byte, timeout time.Duration, out any,
) error {
	if !c.admit(class, writes) {
		return ErrBudgetExhausted
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
		return fmt.Errorf("%w: %s %s: %w", ErrUncertain, method, path, err)
	}
	code := response.StatusCode()
	if code != fasthttp.StatusServiceUnavailable {
		c.lastResponse.Store(int64(micro.Now()))
	}
	if out != nil && hasBody(code) {
		if err := wire.Unmarshal(response.Body(), out); err != nil && code == fasthttp.StatusOK {
			return fmt.Errorf("%w: %s %s: %w", ErrUnexpectedStatus, method, path, err)
		}
	}
	if code == fasthttp.StatusTooManyRequests && writes > 0 {
		c.applyAnnouncedWriteLimit()
	}
	return statusError(code)
}

// hasBody reports whether the protocol gives replies of a status a body that is read.
func hasBody(code int) bool {
	switch code {
	case fasthttp.StatusOK, fasthttp.StatusConflict, fasthttp.StatusBadRequest, fasthttp.StatusNotFound:
		return true
	}
	return false
}

// statusError is what a status says of a call; nil: it was executed.
func statusError(code int) error {
	switch code {
	case fasthttp.StatusOK:
		return nil
	case fasthttp.StatusBadRequest:
		return ErrMalformed
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return ErrConflict
	case fasthttp.StatusGone:
		return ErrCompacted
	case fasthttp.StatusTooManyRequests:
		return ErrRateLimited
	case fasthttp.StatusServiceUnavailable:
		return ErrRefused
	}
	return fmt.Errorf("%w %d", ErrUnexpectedStatus, code)
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, class Class, key string) (wire.Item, error) {
	var item wire.Item
	err := c.call(ctx, class, 0, fasthttp.MethodGet, "/keys/"+key, nil, c.timeout, &item)
	return item, err
}

// Range reads up to limit keys with the prefix, in order, starting after a key.
func (c *Client) Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error) {
	var page wire.Page
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	err := c.call(ctx, class, 0, fasthttp.MethodGet, path, nil, c.timeout, &page)
	return page, err
}

// Commit runs a compare-and-swap transaction. On ErrConflict nothing was changed; on
// ErrUncertain it may have been executed, or be so later.
func (c *Client) Commit(ctx context.Context, class Class, txn wire.Transaction) (uint64, error) {
	body, err := wire.Marshal(txn)
	if err != nil {
		return 0, err
	}
	var result wire.TransactionResult
	err = c.call(ctx, class, len(txn.Then), fasthttp.MethodPost, "/commit", body, c.timeout, &result)
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
	err = c.call(ctx, class, 0, fasthttp.MethodPost, "/commit", body, c.timeout, &result)
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
	err := c.call(ctx, Leadership, 0, fasthttp.MethodPost, "/leases", body, c.timeout, &reply)
	return uint64(reply.Lease), err
}

// Renew extends a lease to its full time; ErrNoLease: it has expired.
func (c *Client) Renew(ctx context.Context, lease uint64) error {
	err := c.call(
		ctx,
		Leadership,
		0,
		fasthttp.MethodPost,
		"/leases/"+strconv.FormatUint(lease, 10)+"/extend",
		nil,
		c.timeout,
		nil,
	)
	if errors.Is(err, ErrNotFound) {
		return ErrNoLease
	}
	return err
}

// Revoke ends a lease, and deletes its keys, at once. One that has ended is no error.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	err := c.call(ctx, Leadership, 0, fasthttp.MethodDelete, "/leases/"+strconv.FormatUint(lease, 10), nil, c.timeout, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes under the prefix after a revision, for so long at most.
// ErrCompacted: the store no longer holds all of them.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	var events wire.Events
	path := "/changes?prefix=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(int64(wait/micro.Millisecond), 10)
	err := c.call(ctx, Leadership, 0, fasthttp.MethodGet, path, nil, wait.Duration()+2*time.Second, &events)
	return events, err
}
