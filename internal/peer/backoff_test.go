package peer

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// testBackoff is a Backoff of a node that answers or does not, on a clock of its own.
type testBackoff struct {
	*Backoff
	now     micro.Time
	answers bool
	calls   int
}

func newTestBackoff() *testBackoff {
	test := &testBackoff{}
	call := func(context.Context, string, string, []byte, micro.Time) (int, []byte, error) {
		test.calls++
		if test.answers {
			return http.StatusOK, nil, nil
		}
		return 0, nil, ErrUnreachable
	}
	test.Backoff = NewBackoff(call, func() micro.Time { return test.now })
	return test
}

func (test *testBackoff) ask(call CallFunc) error {
	_, _, err := call(context.Background(), "n-1", Ping, nil, micro.Second)
	return err
}

// A node that did not answer is left alone for a while, and then called again.
func TestNodeThatDidNotAnswerIsLeftAloneForAWhile(t *testing.T) {
	test := newTestBackoff()
	if err := test.ask(test.Call); !errors.Is(err, ErrUnreachable) || errors.Is(err, ErrBackingOff) {
		t.Fatalf("a node that does not answer: %v", err)
	}
	test.answers = true
	if err := test.ask(test.Call); !errors.Is(err, ErrBackingOff) || !errors.Is(err, ErrUnreachable) || test.calls != 1 {
		t.Errorf("left alone: %v, %d calls", err, test.calls)
	}
	test.now += backoffTime
	if err := test.ask(test.Call); err != nil || test.calls != 2 {
		t.Errorf("after a while: %v, %d calls", err, test.calls)
	}
}

// Any answer shows that a node is there: all may call it again.
func TestAnswerEndsTheBackoff(t *testing.T) {
	for name, call := range map[string]func(*testBackoff) CallFunc{
		"to a retry":                func(test *testBackoff) CallFunc { return test.Retry },
		"to a call made regardless": func(test *testBackoff) CallFunc { return test.CallRegardless },
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestBackoff()
			_ = test.ask(test.Call)
			if err := test.ask(call(test)); err == nil || !test.BackingOff("n-1") {
				t.Fatalf("no answer once more: %v, left alone %v", err, test.BackingOff("n-1"))
			}
			test.answers = true
			if err := test.ask(call(test)); err != nil || test.BackingOff("n-1") {
				t.Errorf("answered: %v, left alone %v", err, test.BackingOff("n-1"))
			}
		})
	}
}

// Of the requests that have no other way, one at a time waits for a node that may be gone.
func TestOneRetryAtATimeWaitsForANodeThatMayBeGone(t *testing.T) {
	test := newTestBackoff()
	inside := errors.New("no retry was under way")
	test.call = func(ctx context.Context, node, call string, _ []byte, timeout micro.Time) (int, []byte, error) {
		test.call = nil // a second call would panic
		_, _, inside = test.Retry(ctx, node, call, nil, timeout)
		return 0, nil, ErrUnreachable
	}
	_ = test.ask(test.Retry)
	if !errors.Is(inside, ErrBackingOff) {
		t.Errorf("a second retry beside the first: %v", inside)
	}
	test.call = func(context.Context, string, string, []byte, micro.Time) (int, []byte, error) {
		return http.StatusOK, nil, nil
	}
	if err := test.ask(test.Retry); err != nil {
		t.Errorf("after the first has ended: %v", err)
	}
}
