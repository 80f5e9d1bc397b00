package jobapi

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the store requests that are made for status queries.
const (
	// LookupRateShare is the fraction of a node's share of state.rps that lookups for status queries may use. The
	// shares of all nodes add up to state.rps, so the lookups of all nodes together stay below this fraction of it,
	// however many nodes there are.
	LookupRateShare = 0.6
	// RequestsPerRead is the number of store requests that reading the status of one job takes: one for the records
	// of its tasks, then one for the job's own keys.
	RequestsPerRead = 2
	// minLookupBurst is the minimum burst of the budget. It allows a read and a lookup of accepted IDs at the same
	// time even if the node's share is small.
	minLookupBurst = RequestsPerRead + 2
)

// lookupBudget limits the rate of store requests made for status queries. The zero value does not limit them. Any
// goroutine may call its methods.
type lookupBudget struct {
	mu      sync.Mutex
	limiter *rate.Limiter // nil until a limit is set
}

// setRate sets the limit of the store, rps in requests per second, and the fraction of it that this node may use,
// 0 to 1. An rps of 0 or less changes nothing.
func (b *lookupBudget) setRate(rps, rateShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if rps <= 0 {
		return
	}
	perSecond := rps * rateShare * LookupRateShare
	if b.limiter == nil {
		b.limiter = rate.NewLimiter(rate.Limit(perSecond), max(minLookupBurst, int(perSecond)))
		return
	}
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(max(minLookupBurst, int(perSecond)))
}

// admit takes a number of requests from the budget, provided that at least spare requests remain afterwards. It reports
// whether it took them.
func (b *lookupBudget) admit(requests, spare int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter == nil {
		return true
	}
	return b.limiter.Tokens() >= float64(requests+spare) && b.limiter.AllowN(time.Now(), requests)
}

// charge takes one more request for a lookup in progress. If the budget is used up it becomes negative, which delays
// later lookups.
func (b *lookupBudget) charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter != nil {
		b.limiter.ReserveN(time.Now(), 1)
	}
}
