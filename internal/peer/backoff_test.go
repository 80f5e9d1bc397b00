package peer

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"notchmux.dev/notchmux/internal/micro"
)

// testBackoff is a Backoff with a fake clock, for a node that either responds to every call or to none.
type testBackoff struct {
	*Backoff
	now      micro.Time
	responds bool
	calls    int
}

func newTestBackoff() *testBackoff {
	test := &testBackoff{}
	call := func(context.Context, string, string, []byte, micro.Time) (int, []byte, error) {
		test.calls++
		if test.responds {
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

// A node that did not respond is not called until backoffTime has passed.
func TestNodeThatDidNotRespondIsNotCalledDuringBackoff(t *testing.T) {
	test := newTestBackoff()
	if err := test.ask(test.Call); !errors.Is(err, ErrUnreachable) || errors.Is(err, ErrBackingOff) {
		t.Fatalf("call to an unresponsive node: error %v, want %v", err, ErrUnreachable)
	}
	test.responds = true
	if err := test.ask(test.Call); !errors.Is(err, ErrBackingOff) || !errors.Is(err, ErrUnreachable) || test.calls != 1 {
		t.Errorf("during the backoff: error %v, %d calls", err, test.calls)
	}
	test.now += backoffTime
	if err := test.ask(test.Call); err != nil || test.calls != 2 {
		t.Errorf("after the backoff: error %v, %d calls", err, test.calls)
	}
}

// Any response shows that a node is alive, so all callers may call it again.
func TestResponseEndsTheBackoff(t *testing.T) {
	for name, call := range map[string]func(*testBackoff) CallFunc{
		"to a retry":                func(test *testBackoff) CallFunc { return test.Retry },
		"to a call made regardless": func(test *testBackoff) CallFunc { return test.CallRegardless },
	} {
		t.Run(name, func(t *testing.T) {
			test := newTestBackoff()
			_ = test.ask(test.Call)
			if err := test.ask(call(test)); err == nil || !test.BackingOff("n-1") {
				t.Fatalf("second call without a response: error %v, backing off %v", err, test.BackingOff("n-1"))
			}
			test.responds = true
			if err := test.ask(call(test)); err != nil || test.BackingOff("n-1") {
				t.Errorf("call with a response: error %v, backing off %v", err, test.BackingOff("n-1"))
			}
		})
	}
}

// Requests that no other node can serve retry a node during its backoff. Only one of them at a time may wait for a
// node that may have failed.
func TestOnlyOneRetryAtATimeCallsANodeInBackoff(t *testing.T) {
	test := newTestBackoff()
	nestedErr := errors.New("the nested retry was not attempted")
	test.call = func(ctx context.Context, node, call string, _ []byte, timeout micro.Time) (int, []byte, error) {
		test.call = nil // a nested call would panic
		_, _, nestedErr = test.Retry(ctx, node, call, nil, timeout)
		return 0, nil, ErrUnreachable
	}
	_ = test.ask(test.Retry)
	if !errors.Is(nestedErr, ErrBackingOff) {
		t.Errorf("second retry during the first: error %v, want %v", nestedErr, ErrBackingOff)
	}
	test.call = func(context.Context, string, string, []byte, micro.Time) (int, []byte, error) {
		return http.StatusOK, nil, nil
	}
	if err := test.ask(test.Retry); err != nil {
		t.Errorf("retry after the first has ended: %v", err)
	}
}
