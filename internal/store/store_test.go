package store_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"notchmux.dev/notchmux/internal/fake"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/store"
	"notchmux.dev/notchmux/wire"
)

// unlimitedRate is a rate that is higher than that of any test.
const unlimitedRate = 1e6

// serve runs an HTTP server on a loopback port until the test ends, and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) (addr string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// respondWith returns a handler that always sends the same response.
func respondWith(status int, body []byte) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(status)
		ctx.SetBody(body)
	}
}

func putTransaction(key string, preconditions ...wire.Precondition) wire.Transaction {
	return wire.Transaction{If: preconditions, Then: []wire.Change{{Put: key, Value: "v"}}}
}

func TestStatusIsMappedToError(t *testing.T) {
	empty := wire.MustMarshal(map[string]any{})
	for _, c := range []struct {
		name       string
		status     int
		body       []byte
		want       error
		noResponse bool // does not count for LastResponse
	}{
		{"success", 200, wire.MustMarshal(wire.TransactionResult{Revision: 7}), nil, false},
		{"malformed", 400, empty, store.ErrMalformed, false},
		{"no lease", 400, wire.MustMarshal(wire.TransactionResult{Error: "no such lease"}), store.ErrNoLease, false},
		{"no such key", 404, empty, store.ErrNotFound, false},
		{"precondition failed", 409, empty, store.ErrConflict, false},
		{"compacted", 410, empty, store.ErrCompacted, false},
		{"rate limited", 429, empty, store.ErrRateLimited, false},
		{"unexpected status", 500, empty, store.ErrUnexpectedStatus, false},
		{"refused", 503, empty, store.ErrRefused, true},
		{"missing body", 200, nil, store.ErrUnexpectedStatus, false},
		{
			"truncated body", 200, wire.MustMarshal(wire.TransactionResult{Revision: 7})[:5], store.ErrUnexpectedStatus,
			false,
		},
		{"invalid body", 200, wire.MustMarshal("text"), store.ErrUnexpectedStatus, false},
		{"precondition failed without body", 409, nil, store.ErrConflict, false},
		{"refused without body", 503, nil, store.ErrRefused, true},
	} {
		client := store.NewClient(serve(t, respondWith(c.status, c.body)), unlimitedRate, unlimitedRate)
		_, err := client.Commit(t.Context(), store.Routine, putTransaction("k"))
		if !errors.Is(err, c.want) {
			t.Errorf("%s: commit returned %v, want %v", c.name, err, c.want)
		}
		if (client.LastResponse() == 0) != c.noResponse {
			t.Errorf("%s: last response at %d", c.name, client.LastResponse())
		}
	}
}

// A commit whose response is lost may have been executed. It must be neither retried nor reported as
// refused, on a new connection as well as on one that was used before.
func TestLostResponseIsUncertainAndNotRetried(t *testing.T) {
	state := fake.NewStore()
	var requests atomic.Int32
	client := store.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		state.Handle(ctx)
		if n := requests.Add(1); n != 2 {
			_ = ctx.Conn().Close()
		}
	}), unlimitedRate, unlimitedRate)
	for i, key := range []string{"new-connection", "response-received", "reused-connection"} {
		_, err := client.Commit(t.Context(), store.Routine, putTransaction(key, wire.Precondition{Key: key}))
		if responseLost := key != "response-received"; responseLost != errors.Is(err, store.ErrUncertain) ||
			!responseLost && err != nil {
			t.Errorf("%s: commit returned %v", key, err)
		}
		if got := int(requests.Load()); got != i+1 {
			t.Fatalf("%s: the store received %d requests", key, got)
		}
		if _, err := state.Get(t.Context(), store.Routine, key); err != nil {
			t.Errorf("%s: commit was not executed: %v", key, err)
		}
	}
	_ = client.Renew(t.Context(), 1)
	_, _ = client.Get(t.Context(), store.Routine, "new-connection")
	if got := requests.Load(); got != 5 {
		t.Errorf("a renewal and a read without a response were sent as %d requests, want 2", got-3)
	}
}

func TestCallsEndAtContextDeadline(t *testing.T) {
	state := fake.NewStore()
	client := store.NewClient(serve(t, state.Handle), unlimitedRate, unlimitedRate)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Hour))
	defer cancel()
	if err := client.Renew(ctx, 1); !errors.Is(err, store.ErrUncertain) {
		t.Errorf("call after its deadline returned %v, want ErrUncertain", err)
	}
	if err := client.Renew(t.Context(), 1); !errors.Is(err, store.ErrNoLease) {
		t.Errorf("call without a deadline returned %v, want ErrNoLease", err)
	}
}

func TestCallsWithExpiredLeaseReturnErrNoLease(t *testing.T) {
	const ttl = 3 * micro.Second
	var now atomic.Int64
	state := fake.NewStore()
	state.Now = func() micro.Time { return micro.Time(now.Load()) }
	client := store.NewClient(serve(t, state.Handle), unlimitedRate, unlimitedRate)
	ctx := t.Context()
	lease, err := client.Grant(ctx, ttl)
	if err != nil {
		t.Fatal(err)
	}
	leased := wire.Transaction{Then: []wire.Change{{Put: "leased", Value: "v", Lease: wire.Count(lease)}}}
	if _, err := client.Commit(ctx, store.Routine, leased); err != nil {
		t.Fatal(err)
	}
	now.Add(int64(ttl))
	if err := client.Renew(ctx, lease); err != nil {
		t.Fatalf("renewal at the end of the TTL returned %v", err)
	}
	now.Add(int64(ttl))
	if _, err := client.Get(ctx, store.Routine, "leased"); err != nil {
		t.Fatalf("read of the leased key returned %v", err)
	}
	now.Add(1)
	if _, err := client.Get(ctx, store.Routine, "leased"); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("read of the key after the lease expired returned %v, want ErrNotFound", err)
	}
	if err := client.Renew(ctx, lease); !errors.Is(err, store.ErrNoLease) {
		t.Errorf("renewal after expiry returned %v, want ErrNoLease", err)
	}
	if _, err := client.Commit(ctx, store.Routine, leased); !errors.Is(err, store.ErrNoLease) {
		t.Errorf("commit after expiry returned %v, want ErrNoLease", err)
	}
	missing := fake.NewStore()
	withoutLease := store.NewClient(
		serve(t, func(ctx *fasthttp.RequestCtx) { missing.Handle(ctx); ctx.SetStatusCode(404) }), unlimitedRate,
		unlimitedRate,
	)
	if err := withoutLease.Revoke(ctx, lease); err != nil {
		t.Errorf("revocation of a lease that no longer exists returned %v", err)
	}
}

func TestExistingKeysListsTheKeysThatExist(t *testing.T) {
	state := fake.NewStore()
	client := store.NewClient(serve(t, state.Handle), unlimitedRate, unlimitedRate)
	for _, key := range []string{"a", "c"} {
		if _, err := client.Commit(t.Context(), store.Routine, putTransaction(key)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := client.ExistingKeys(t.Context(), store.Routine, []string{"a", "b", "c"})
	if err != nil || !got["a"] || got["b"] || !got["c"] {
		t.Errorf("ExistingKeys returned %v, %v; want a and c", got, err)
	}
	state.SetOutage(true)
	if got, err := client.ExistingKeys(t.Context(), store.Routine, []string{"b"}); !errors.Is(err, store.ErrRefused) ||
		got != nil {
		t.Errorf("ExistingKeys during an outage returned %v, %v; want ErrRefused", got, err)
	}
}

func TestQueryParametersAreEscaped(t *testing.T) {
	var prefix, since string
	client := store.NewClient(serve(t, func(ctx *fasthttp.RequestCtx) {
		prefix, since = string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("since"))
		ctx.SetBody(wire.MustMarshal(wire.Page{}))
	}), unlimitedRate, unlimitedRate)
	if _, err := client.Range(t.Context(), store.Routine, "a&b=/", "a&since=c", 1); err != nil {
		t.Fatal(err)
	}
	if prefix != "a&b=/" || since != "a&since=c" {
		t.Errorf("prefix %q, after %q", prefix, since)
	}
	if _, err := client.Watch(t.Context(), "a&b=/", 7, 0); err != nil {
		t.Fatal(err)
	}
	if prefix != "a&b=/" || since != "7" {
		t.Errorf("prefix %q, after %q", prefix, since)
	}
}
