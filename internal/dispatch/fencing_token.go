package dispatch

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

const (
	// fencingTokenBits are the low bits of a fencing token, which a term may count up; the
	// bits above are the revision that fences the term.
	fencingTokenBits = 24
	// maxTokenCounter is what the low bits are when the tokens of a term are used up.
	maxTokenCounter = 1<<fencingTokenBits - 1
	// tokenRaiseInterval is how often the token is raised even if nothing waits for it: a
	// machine that does not receive responses shows by not having seen it.
	tokenRaiseInterval = 10 * micro.Second
)

// Looking for what waits for a newer token takes at most one part in tokenCheckTimeDivisor of the
// time, and is done every maxTokenCheckInterval at the latest. With each tick, it took a quarter
// of the leader's processor at 4,000 machines.
const (
	tokenCheckTimeDivisor = 50
	maxTokenCheckInterval = micro.Second
)

// FirstFencingToken is the first token of a term that is fenced by a revision of the store.
func FirstFencingToken(fencingRevision uint64) uint64 { return fencingRevision << fencingTokenBits }

// fencingToken is the counter of the tokens that commands carry.
type fencingToken struct {
	current   uint64
	raisedAt  micro.Time
	nextCheck micro.Time // no look for what waits for a newer token before
}

// FencingToken is the token that commands carry now.
func (d *Dispatcher) FencingToken() uint64 { return d.token.current }

// RaiseFencingToken has commands carry tokens from the given one on, if they do not yet.
func (d *Dispatcher) RaiseFencingToken(atLeast uint64) {
	d.token.current = max(d.token.current, atLeast)
}

// NextTokenCheck is when CheckToken next looks for what waits for a newer token.
func (d *Dispatcher) NextTokenCheck() micro.Time { return d.token.nextCheck }

// CheckToken raises the token if it is time to look, and a newer one is needed.
func (d *Dispatcher) CheckToken(now micro.Time) {
	if now < d.token.nextCheck {
		return
	}
	d.raiseToken(now)
	took := d.now() - now
	d.token.nextCheck = now + min(tokenCheckTimeDivisor*took, maxTokenCheckInterval)
}

// raiseToken raises the token if something waits for agents to have seen a newer one.
func (d *Dispatcher) raiseToken(now micro.Time) {
	if now-d.token.raisedAt > tokenRaiseInterval || d.newTokenNeeded() {
		d.token.current++
		d.token.raisedAt = now
	}
	if d.token.current&maxTokenCounter == maxTokenCounter {
		d.host.Resign("fencing tokens used up")
	}
}

func (d *Dispatcher) newTokenNeeded() bool {
	for _, machine := range d.cluster.Machines {
		if (machine.State == cluster.Up || machine.LastHeartbeat > 0) && machine.State != cluster.Terminating &&
			machine.NeedsNewerToken(d.token.current) {
			return true
		}
	}
	return false
}
