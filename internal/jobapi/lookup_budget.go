package jobapi

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// What status queries may cost the store.
const (
	// LookupRateShare is the part of a node's share of state.rps that look-ups for queries
	// may use. The nodes' shares make the whole, so all look-ups together stay
	// below this part of state.rps, however many nodes there are.
	LookupRateShare = 0.6
	// RequestsPerRead is what reading one job's status takes: the records of its
	// tasks, then its own keys.
	RequestsPerRead = 2
	// minLookupBurst lets a read and a question which IDs were accepted go out
	// together, also where a node's share is small.
	minLookupBurst = RequestsPerRead + 2
)

// lookupBudget bounds the store requests made for status queries.
type lookupBudget struct {
	mu      sync.Mutex
	limiter *rate.Limiter // nil: no limit is known
}

// setRate gives the part of rps, in requests a second, that this node may use.
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

// admit takes requests from the budget if as many as spare are left then.
func (b *lookupBudget) admit(requests, spare int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter == nil {
		return true
	}
	return b.limiter.Tokens() >= float64(requests+spare) && b.limiter.AllowN(time.Now(), requests)
}

// charge takes a request that belongs to a look-up under way, if need be in
// advance: later look-ups wait for it.
func (b *lookupBudget) charge() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limiter != nil {
		b.limiter.ReserveN(time.Now(), 1)
	}
}
