// Package store is the client of the consensus-backed key-value store that the protocol calls the
// store. It provides leases, range reads, compare-and-swap transactions and watches, and limits the
// requests of this node to its share of the store's rate limits.
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

// The errors of calls, to be matched with errors.Is. The comments give the HTTP status or the cause.
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
	ErrUnexpectedStatus = errors.New("store: unexpected status")                   // other status, invalid body
)

// Class is the importance of a call. It determines how much of the budget the call may use.
type Class int

// The classes, most important first.
const (
	Leadership  Class = iota
	Urgent            // cancellations, task starts
	Routine           // other writes, reads for submissions
	Deferrable        // writes that can wait: task completions, records of ended jobs
	StatusQuery       // status queries that the leader does not answer; users repeat them
)

// ReservedFraction returns the fraction of the burst that a class must leave to more important
// classes. It is negative for Leadership, which may overdraw the budget.
func (c Class) ReservedFraction() float64 {
	switch c {
	case Leadership:
		return -1 // may overdraw the budget: a lease renewal is never rejected
	case Urgent:
		return 0.05
	case Deferrable:
		return 0.5
	case StatusQuery:
		return 0.6
	}
	return 0.2
}

// Store is the interface of the key-value store that the other packages use. Client documents the
// methods.
type Store interface {
	// AvailableWrites returns how many puts and deletes the budget currently allows for a class.
	AvailableWrites(class Class) int
	Get(ctx context.Context, class Class, key string) (wire.Item, error)
	Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error)
	Commit(ctx context.Context, class Class, txn wire.Transaction) (revision uint64, err error)
	// ExistingKeys reports which of the keys exist. It uses one transaction without changes, whose
	// preconditions are that none of the keys exists.
	ExistingKeys(ctx context.Context, class Class, keys []string) (map[string]bool, error)
	Grant(ctx context.Context, ttl micro.Time) (lease uint64, err error)
	Renew(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error)
}

// Client accesses the store over HTTP. It never retries a call: if the response is lost, the outcome
// is uncertain, and the caller decides whether to retry.
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
	announcedWriteRPS float64 // lower limit in changes per second that may take effect; 0 if none

	lastResponse atomic.Int64 // microseconds on this node's monotonic clock
}

// NewClient returns a client of the store at addr (host:port). The rates are the requests and changes
// per second that the store allows for all nodes together. This node uses a third of them until
// SetBudgetFraction is called.
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

// SetBudgetFraction sets the fractions of the store's limits that this node may use, from 0 to 1.
func (c *Client) SetBudgetFraction(reads, writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budgetFractions = [2]float64{reads, writes}
	c.applyLimits()
}

// applyLimits updates the limiters. The caller holds mu.
func (c *Client) applyLimits() {
	setRate(c.reads, c.readRPS*c.budgetFractions[0])
	setRate(c.writes, c.writeRPS*c.budgetFractions[1])
}

// setRate sets the rate of a limiter, and its burst to the tokens of one second, at least 1.
func setRate(limiter *rate.Limiter, perSecond float64) {
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(1, int(perSecond)))
}

// AnnounceWriteLimit announces that the store may lower its limit to the given changes per second from
// now on. The current limit is used until the store first rejects a write for its rate.
func (c *Client) AnnounceWriteLimit(writes float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if writes < c.writeRPS {
		c.announcedWriteRPS = writes
	}
}

// applyAnnouncedWriteLimit lowers the write limit to the announced one, if there is any. It is called
// after the store rejected a write for its rate.
func (c *Client) applyAnnouncedWriteLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.announcedWriteRPS > 0 && c.announcedWriteRPS < c.writeRPS {
		c.writeRPS = c.announcedWriteRPS
		c.applyLimits()
	}
}

// LastResponse returns the time on this node's monotonic clock of the last response with a status
// other than 503, or 0 if there was none.
func (c *Client) LastResponse() micro.Time { return micro.Time(c.lastResponse.Load()) }

// AvailableWrites returns how many puts and deletes the budget currently allows for a class. It is
// negative if less than the reserved fraction is left.
func (c *Client) AvailableWrites(class Class) int {
	return int(c.writes.Tokens() - max(class.ReservedFraction(), 0)*float64(c.writes.Burst()))
}

// Admit takes n tokens from a limiter if it has enough for the class now, and reports whether it did.
// Leadership always gets its tokens, and overdraws the limiter if there are too few.
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

// admissible reports whether taking n tokens leaves the fraction reserved for more important classes.
func admissible(limiter *rate.Limiter, class Class, n int) bool {
	return limiter.Tokens()-float64(n) >= class.ReservedFraction()*float64(limiter.Burst())
}

// admit takes the tokens of a call from both limiters, or from neither.
func (c *Client) admit(class Class, writes int) bool {
	c.admission.Lock()
	defer c.admission.Unlock()
	if class != Leadership && !admissible(c.reads, class, 1) {
		return false
	}
	return Admit(c.writes, class, writes) && Admit(c.reads, class, 1)
}

// call sends one request, if the budget allows it, and decodes the response into out. It returns after
// the timeout or at the context's deadline, whichever is earlier.
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

// hasBody reports whether responses with a status have a body that must be decoded.
func hasBody(code int) bool {
	switch code {
	case fasthttp.StatusOK, fasthttp.StatusConflict, fasthttp.StatusBadRequest, fasthttp.StatusNotFound:
		return true
	}
	return false
}

// statusError returns the error for a status, or nil if the call was executed.
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

// Get reads one key. It returns ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, class Class, key string) (wire.Item, error) {
	var item wire.Item
	err := c.call(ctx, class, 0, fasthttp.MethodGet, "/keys/"+key, nil, c.timeout, &item)
	return item, err
}

// Range reads at most limit keys with the prefix, in key order, starting after the given key.
func (c *Client) Range(ctx context.Context, class Class, prefix, after string, limit int) (wire.Page, error) {
	var page wire.Page
	path := "/keys?prefix=" + url.QueryEscape(prefix) + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		path += "&since=" + url.QueryEscape(after)
	}
	err := c.call(ctx, class, 0, fasthttp.MethodGet, path, nil, c.timeout, &page)
	return page, err
}

// Commit executes a compare-and-swap transaction and returns the revision of its changes. On
// ErrConflict, nothing was changed. On ErrUncertain, the transaction may have been executed, or may be
// executed late.
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

// ExistingKeys reports which of the keys exist.
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

// Grant requests a new lease and returns its ID.
func (c *Client) Grant(ctx context.Context, ttl micro.Time) (uint64, error) {
	var reply wire.LeaseReply
	body := wire.MustMarshal(wire.LeaseRequest{TTLMs: int64(ttl / micro.Millisecond)})
	err := c.call(ctx, Leadership, 0, fasthttp.MethodPost, "/leases", body, c.timeout, &reply)
	return uint64(reply.Lease), err
}

// Renew extends a lease to its full TTL. It returns ErrNoLease if the lease has expired.
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

// Revoke ends a lease immediately and deletes its keys. It returns no error if the lease has already
// ended.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	err := c.call(ctx, Leadership, 0, fasthttp.MethodDelete, "/leases/"+strconv.FormatUint(lease, 10), nil, c.timeout, nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// Watch waits for changes of keys with the prefix after a revision, for at most the given time. It
// returns ErrCompacted if the store has compacted some of these changes.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait micro.Time) (wire.Events, error) {
	var events wire.Events
	path := "/changes?prefix=" + url.QueryEscape(prefix) + "&since=" + strconv.FormatUint(after, 10) +
		"&waitMs=" + strconv.FormatInt(int64(wait/micro.Millisecond), 10)
	err := c.call(ctx, Leadership, 0, fasthttp.MethodGet, path, nil, wait.Duration()+2*time.Second, &events)
	return events, err
}
