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

// nonRefillingLimiter makes a limiter that is full and never fills again: no clock has a say.
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
			t.Errorf("class %d got %d of %d", c.class, got, burst)
		}
		if !Admit(limiter, Leadership, 1) {
			t.Errorf("leadership held back after class %d", c.class)
		}
		if c.class != Urgent && !Admit(limiter, Urgent, 1) {
			t.Errorf("class %d left nothing for what is urgent", c.class)
		}
	}
}

func TestOnlyLeadershipMayExceedBudget(t *testing.T) {
	limiter := nonRefillingLimiter(2)
	for range 10 {
		if !Admit(limiter, Leadership, 1) {
			t.Fatal("leadership held back")
		}
	}
	if Admit(limiter, Urgent, 1) {
		t.Error("admitted while the budget is borrowed")
	}
	if !Admit(limiter, Deferrable, 0) {
		t.Error("what takes nothing is always admitted")
	}
}

// newRateLimitedClient makes a client of a service that answers 429 and counts the requests.
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
	if room := client.AvailableWrites(Routine); room != 8 {
		t.Errorf("room for %d changes", room)
	}
	if _, err := client.Commit(t.Context(), Routine, txn); !errors.Is(err, ErrBudgetExhausted) {
		t.Errorf("commit: %v", err)
	}
	client.reads = nonRefillingLimiter(0)
	if _, err := client.Get(t.Context(), Routine, "k"); !errors.Is(err, ErrBudgetExhausted) {
		t.Errorf("read: %v", err)
	}
	if requests.Load() != 0 {
		t.Errorf("%d requests were sent", requests.Load())
	}
}

// The service may lower its rate of changes at a time that nobody tells: the first
// change that is refused for it says so.
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
			t.Errorf("%v changes a second, not %v", got, want)
		}
	}
	commit()
	limit(150) // nobody announced a lower rate
	client.AnnounceWriteLimit(100)
	if _, err := client.Get(t.Context(), Urgent, "k"); !errors.Is(err, ErrRateLimited) {
		t.Fatal(err)
	}
	limit(150) // a read says nothing of changes
	commit()
	limit(50)
	client.AnnounceWriteLimit(200)
	commit()
	limit(50) // never up
}

// A change that the read budget refused took its share of the write budget with it: a node short
// of reads kept its own writes, cancellations included, from the store.
func TestCallRejectedByOneBudgetUsesNoTokensOfTheOther(t *testing.T) {
	const burst = 10
	for _, c := range []struct {
		name          string
		reads, writes float64 // tokens left
	}{{"no reads left", 0, burst}, {"no writes left", burst, 0}} {
		t.Run(c.name, func(t *testing.T) {
			var requests atomic.Int32
			client := newRateLimitedClient(t, &requests)
			client.reads, client.writes = nonRefillingLimiter(burst), nonRefillingLimiter(burst)
			client.reads.AllowN(time.Now(), burst-int(c.reads))
			client.writes.AllowN(time.Now(), burst-int(c.writes))
			for range 3 {
				_, err := client.Commit(t.Context(), Urgent, wire.Transaction{Then: make([]wire.Change, 2)})
				if !errors.Is(err, ErrBudgetExhausted) {
					t.Fatalf("ended with %v", err)
				}
			}
			if reads, writes := client.reads.Tokens(), client.writes.Tokens(); reads != c.reads || writes != c.writes {
				t.Errorf("%v reads and %v writes left of %v and %v", reads, writes, c.reads, c.writes)
			}
			if n := requests.Load(); n != 0 {
				t.Errorf("%d requests were sent", n)
			}
		})
	}
}
