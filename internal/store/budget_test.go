package store

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"notchmux.dev/notchmux/wire"
)

// nonRefillingLimiter returns a limiter that is full and never refills, so that results do not depend
// on the clock.
func nonRefillingLimiter(burst int) *rate.Limiter { return rate.NewLimiter(0, burst) }

func TestClassLeavesReservedFraction(t *testing.T) {
	const burst = 100
	for _, c := range []struct {
		class Class
		want  int
	}{{Urgent, 95}, {Routine, 80}, {Deferrable, 50}} {
		limiter, got := nonRefillingLimiter(burst), 0
		for Admit(limiter, c.class, 1) {
			got++
		}
		if got != c.want {
			t.Errorf("class %d got %d of %d tokens", c.class, got, burst)
		}
		if !Admit(limiter, Leadership, 1) {
			t.Errorf("leadership call not admitted after class %d used its tokens", c.class)
		}
		if c.class != Urgent && !Admit(limiter, Urgent, 1) {
			t.Errorf("class %d left no token for urgent calls", c.class)
		}
	}
}

func TestOnlyLeadershipMayExceedBudget(t *testing.T) {
	limiter := nonRefillingLimiter(2)
	for range 10 {
		if !Admit(limiter, Leadership, 1) {
			t.Fatal("leadership call not admitted")
		}
	}
	if Admit(limiter, Urgent, 1) {
		t.Error("urgent call admitted while the budget is overdrawn")
	}
	if !Admit(limiter, Deferrable, 0) {
		t.Error("call that needs no tokens not admitted")
	}
}

// newRateLimitedClient returns a client of a server that responds with status 429 to every request and
// counts the requests.
func newRateLimitedClient(t *testing.T, requests *atomic.Int32) *Client {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			requests.Add(1)
			ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		})
	}()
	return NewClient(listener.Addr().String(), 300, 300)
}

func TestCallsOverBudgetAreNotSent(t *testing.T) {
	var requests atomic.Int32
	client := newRateLimitedClient(t, &requests)
	client.writes, client.reads = nonRefillingLimiter(10), nonRefillingLimiter(10)
	txn := wire.Transaction{Then: make([]wire.Change, 9)}
	if available := client.AvailableWrites(Routine); available != 8 {
		t.Errorf("%d writes available, want 8", available)
	}
	if _, err := client.Commit(t.Context(), Routine, txn); !errors.Is(err, ErrBudgetExhausted) {
		t.Errorf("commit returned %v, want ErrBudgetExhausted", err)
	}
	client.reads = nonRefillingLimiter(0)
	if _, err := client.Get(t.Context(), Routine, "k"); !errors.Is(err, ErrBudgetExhausted) {
		t.Errorf("read returned %v, want ErrBudgetExhausted", err)
	}
	if requests.Load() != 0 {
		t.Errorf("%d requests were sent, want 0", requests.Load())
	}
}

// The store lowers its write limit at a time that is not announced. The first write that is rejected
// for its rate shows that the lower limit is in effect.
func TestAnnouncedWriteLimitAppliesAfterFirstRateLimitedWrite(t *testing.T) {
	var requests atomic.Int32
	client := newRateLimitedClient(t, &requests)
	client.SetBudgetFraction(1, 0.5)
	commit := func() {
		t.Helper()
		if _, err := client.Commit(t.Context(), Urgent, wire.Transaction{Then: []wire.Change{{Delete: "k"}}}); !errors.Is(
			err, ErrRateLimited,
		) {
			t.Fatal(err)
		}
	}
	limit := func(want float64) {
		t.Helper()
		if got := float64(client.writes.Limit()); got != want {
			t.Errorf("write limit is %v changes per second, want %v", got, want)
		}
	}
	commit()
	limit(150) // no lower limit was announced
	client.AnnounceWriteLimit(100)
	if _, err := client.Get(t.Context(), Urgent, "k"); !errors.Is(err, ErrRateLimited) {
		t.Fatal(err)
	}
	limit(150) // a rate-limited read does not show that the write limit changed
	commit()
	limit(50)
	client.AnnounceWriteLimit(200)
	commit()
	limit(50) // the limit is never raised
}

// Guards against a call that uses tokens of one budget although the other one rejects it. A commit
// rejected by the read budget used write tokens, so that a node without read budget could not send
// its writes, including cancellations.
func TestCallRejectedByOneBudgetUsesNoTokensOfTheOther(t *testing.T) {
	const burst = 10
	for _, c := range []struct {
		name          string
		reads, writes float64 // tokens available
	}{{"read budget exhausted", 0, burst}, {"write budget exhausted", burst, 0}} {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int32
			client := newRateLimitedClient(t, &requests)
			client.reads, client.writes = nonRefillingLimiter(burst), nonRefillingLimiter(burst)
			client.reads.AllowN(time.Now(), burst-int(c.reads))
			client.writes.AllowN(time.Now(), burst-int(c.writes))
			for range 3 {
				_, err := client.Commit(t.Context(), Urgent, wire.Transaction{Then: make([]wire.Change, 2)})
				if !errors.Is(err, ErrBudgetExhausted) {
					t.Fatalf("commit returned %v, want ErrBudgetExhausted", err)
				}
			}
			if reads, writes := client.reads.Tokens(), client.writes.Tokens(); reads != c.reads || writes != c.writes {
				t.Errorf("%v read and %v write tokens left, want %v and %v", reads, writes, c.reads, c.writes)
			}
			if n := requests.Load(); n != 0 {
				t.Errorf("%d requests were sent, want 0", n)
			}
		})
	}
}
