package dispatch

import (
	"notchmux.dev/notchmux/internal/cluster"
	"notchmux.dev/notchmux/internal/micro"
)

const (
	// fencingTokenBits is the number of low bits of a fencing token that count up within a term.
	// The bits above hold the revision that fences the term.
	fencingTokenBits = 24
	// maxTokenCounter is the value of the low bits at which the tokens of a term are exhausted.
	maxTokenCounter = 1<<fencingTokenBits - 1
	// tokenRaiseInterval is the interval at which the token is raised even if nothing requires a
	// newer one: heartbeats that still carry the old token show that a machine does not receive
	// responses.
	tokenRaiseInterval = 10 * micro.Second
)

// Checking whether a newer token is needed takes at most one part in tokenCheckTimeDivisor of the
// time, and is done at least every maxTokenCheckInterval. When it was done on each tick, it took a
// quarter of the leader's processor time at 4,000 machines.
const (
	tokenCheckTimeDivisor = 50
	maxTokenCheckInterval = micro.Second
)

// FirstFencingToken returns the first token of a term that is fenced by the given store revision.
func FirstFencingToken(fencingRevision uint64) uint64 { return fencingRevision << fencingTokenBits }

// fencingToken holds the token that commands carry and when to check whether to raise it.
type fencingToken struct {
	current   uint64
	raisedAt  micro.Time
	nextCheck micro.Time // earliest time of the next check whether a newer token is needed
}

// FencingToken returns the token that commands carry now.
func (d *Dispatcher) FencingToken() uint64 { return d.token.current }

// RaiseFencingToken raises the current token to atLeast if it is lower.
func (d *Dispatcher) RaiseFencingToken(atLeast uint64) {
	d.token.current = max(d.token.current, atLeast)
}

// NextTokenCheck returns when CheckToken next checks whether a newer token is needed.
func (d *Dispatcher) NextTokenCheck() micro.Time { return d.token.nextCheck }

// CheckToken raises the token if the next check is due and a newer token is needed.
func (d *Dispatcher) CheckToken(now micro.Time) {
	if now < d.token.nextCheck {
		return
	}
	d.raiseToken(now)
	took := d.now() - now
	d.token.nextCheck = now + min(tokenCheckTimeDivisor*took, maxTokenCheckInterval)
}

// raiseToken raises the token if tokenRaiseInterval has passed or a machine needs a newer one. It ends
// the term when the tokens are exhausted.
func (d *Dispatcher) raiseToken(now micro.Time) {
	if now-d.token.raisedAt > tokenRaiseInterval || d.newTokenNeeded() {
		d.token.current++
		d.token.raisedAt = now
	}
	if d.token.current&maxTokenCounter == maxTokenCounter {
		d.host.Resign("fencing tokens of the term exhausted")
	}
}

// newTokenNeeded reports whether any agent must see a token newer than the current one.
func (d *Dispatcher) newTokenNeeded() bool {
	for _, machine := range d.cluster.Machines {
		if (machine.State == cluster.Up || machine.LastHeartbeat > 0) && machine.State != cluster.Terminating &&
			machine.NeedsNewerToken(d.token.current) {
			return true
		}
	}
	return false
}
