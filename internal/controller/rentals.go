package controller

import (
	"context"
	"errors"
	"fmt"
	"notchmux.dev/notchmux/internal/writer"
	"slices"
	"sort"
	"time"

	"notchmux.dev/notchmux/internal/cloud"
	"notchmux.dev/notchmux/internal/micro"
	"notchmux.dev/notchmux/internal/model"
	"notchmux.dev/notchmux/internal/scale"
	"notchmux.dev/notchmux/wire"
)

// rentalPrefix begins the keys of the rentals' records. It is a fixed format.
const rentalPrefix = "hire/"

// rentalRecord is a rental as the store keeps it: written before the request is
// sent, so that a lost answer is asked for again under the same name.
type rentalRecord struct {
	Rental   wire.Rental `msgpack:"r" json:"r"`
	Machines []string    `msgpack:"m" json:"m"`
	Answered bool        `msgpack:"a" json:"a"`
	At       int64       `msgpack:"at" json:"at"` // wall clock
	// Machines whose return is being asked for, no longer among the others. The
	// request may be carried out at any later time, so no leader may use them.
	Returning []string `msgpack:"b,omitempty" json:"b,omitempty"`
}

// without is a list with a name left out; the list itself, which a write may be
// reading, stays as it is.
func without(names []string, name string) []string {
	i := slices.Index(names, name)
	if i < 0 {
		return names
	}
	return append(names[:i:i], names[i+1:]...)
}

// RentalState is the state of a rental.
type RentalState uint8

// The states of a rental.
const (
	RentalWriting   RentalState = iota // its record is being written
	RentalRequested                    // the request waits for its turn, or is out
	RentalHeld                         // machines were rented
	RentalOver                         // refused, or all its machines are gone
)

func (s RentalState) String() string { return [...]string{"writing", "asking", "held", "over"}[s] }

type rental struct {
	state RentalState
	rec   rentalRecord
	asked micro.Time
	sent  bool // the cloud may know of it
	level int  // the rank of the work that asked for it
	entry *writer.Entry

	version uint64 // of the record, counted up with each machine to be returned
	saved   uint64 // the latest of them that is known to be in the store
}

// become is the one place where a rental's state changes.
func (l *Lead) become(h *rental, to RentalState) {
	if to <= h.state && !(h.state == RentalWriting && to == RentalWriting) {
		return
	}
	h.state = to
	switch to {
	case RentalRequested:
		h.asked = l.n.Now()
		at := sort.Search(len(l.asking), func(i int) bool { return l.asking[i].level > h.level })
		l.asking = slices.Insert(l.asking, at, h)
		l.pump(h.asked)
	case RentalHeld:
		delete(l.planner.Asked, h.rec.Rental.Request)
		h.entry.Touch(l.n.Now(), writer.Lazy)
	case RentalOver:
		delete(l.planner.Asked, h.rec.Rental.Request)
		delete(l.rentals, h.rec.Rental.Request)
		h.entry.Touch(l.n.Now(), writer.Lazy)
	}
}

func (l *Lead) rentalEntry(h *rental) *writer.Entry {
	c := l.records.Entry(rentalPrefix + h.rec.Rental.Request)
	c.Build = func() (any, uint64) {
		if h.state == RentalOver {
			return nil, 0
		}
		return h.rec, h.version
	}
	c.Saved = func(version uint64) {
		if h.state == RentalWriting {
			l.become(h, RentalRequested)
		}
		if version > h.saved {
			h.saved = version
			l.sendReturns()
		}
	}
	h.entry = c
	return c
}

func (l *Lead) restoreRental(it wire.Item, now, wall micro.Time) {
	var rec rentalRecord
	if wire.Unmarshal(it.Value, &rec) != nil {
		return
	}
	h := &rental{rec: rec}
	l.rentals[rec.Rental.Request] = h
	l.rentalEntry(h).SetVersion(uint64(it.Version))
	if !rec.Answered {
		h.sent = true // perhaps: only the same name again can tell
		l.planner.Asked[rec.Rental.Request] = scale.Ask{Offer: scale.Offer{Type: rec.Rental.Type, Zone: rec.Rental.Zone, Spot: rec.Rental.Spot}, Count: rec.Rental.Count}
		l.become(h, RentalRequested)
		return
	}
	h.state = RentalHeld
	age := max(wall-micro.Time(rec.At), 0)
	for _, name := range rec.Machines {
		l.addRented(h, name, now-age, now)
	}
	for _, name := range rec.Returning {
		l.addRented(h, name, now-age, now)
		l.giveBack(l.c.Machine(name, now), "an earlier leader asked for its return")
	}
}

// addRented adds a machine that a rental brought.
func (l *Lead) addRented(h *rental, name string, at, now micro.Time) {
	if l.c.Departed(name) {
		return
	}
	m := l.c.Machine(name, now)
	m.RentalID = h.rec.Rental.Request
	m.Rented = at
	l.c.Describe(m, h.rec.Rental.Type, h.rec.Rental.Zone, h.rec.Rental.Spot)
}

// plan rents what is missing and returns what is idle.
func (l *Lead) plan(now micro.Time) {
	asks, idle := l.planner.Plan(now)
	for _, a := range asks { // each at most what one call rents
		l.rentalCount++
		h := &rental{level: a.Level, rec: rentalRecord{At: int64(l.n.Wall()), Rental: wire.Rental{
			Request: fmt.Sprintf("r-%d-%d", l.term.Stamp, l.rentalCount), Type: a.Type, Zone: a.Zone, Spot: a.Spot, Count: a.Count}}}
		l.rentals[h.rec.Rental.Request] = h
		l.planner.Asked[h.rec.Rental.Request] = a
		urgency := writer.Soon
		if a.Level == 0 {
			urgency = writer.First
		}
		l.rentalEntry(h).Touch(now, urgency)
		l.log.Info("rent", "request", h.rec.Rental.Request, "type", a.Type, "zone", a.Zone, "spot", a.Spot, "count", a.Count, "for", a.For)
	}
	for _, m := range idle {
		l.giveBack(m, "idle")
	}
	l.sendReturns()
}

// maxRenting bounds the rentals under way: they share the cloud's rate with
// returns and lists.
const maxRenting = 3

// pump sends rentals in turn. One whose offer was refused meanwhile is dropped.
func (l *Lead) pump(now micro.Time) {
	for l.renting < maxRenting && len(l.asking) > 0 {
		h := l.asking[0]
		l.asking = l.asking[1:]
		r := h.rec.Rental
		if !h.sent && l.planner.Refused[scale.Offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot}] > now {
			l.become(h, RentalOver)
			continue
		}
		h.sent = true
		l.renting++
		go l.rent(h, r)
	}
}

// rent sends a rental until it is answered for good.
func (l *Lead) rent(h *rental, r wire.Rental) {
	refusals := 0
	for {
		if !l.valid() {
			// If the right comes back, the request goes on under its name.
			if !l.sleep(200 * micro.Millisecond) {
				return
			}
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		names, err := l.n.Cloud.Rent(ctx, r)
		cancel()
		switch {
		case err == nil:
			l.post(func() { l.rented(h, names) })
			return
		case errors.Is(err, cloud.ErrNoCapacity), errors.Is(err, cloud.ErrBad):
			l.post(func() { l.rented(h, nil) })
			return
		}
		refusals++
		l.log.Info("rental not answered", "request", r.Request, "err", err)
		if !l.sleep(micro.Second * micro.Time(min(refusals, 5))) {
			return
		}
	}
}

func (l *Lead) rented(h *rental, names []string) {
	now := l.n.Now()
	r := h.rec.Rental
	l.log.Info("rented", "request", r.Request, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(names))
	l.renting--
	defer l.pump(now)
	l.planner.Answered(scale.Offer{Type: r.Type, Zone: r.Zone, Spot: r.Spot}, r.Count, len(names), now)
	if len(names) < r.Count {
		for j := range l.c.Pending {
			if j.Level == 0 {
				l.lastPlan = 0 // the next best offer is asked for at once
				break
			}
		}
	}
	h.rec.Machines, h.rec.Answered = names, true
	if len(names) == 0 {
		l.become(h, RentalOver)
		return
	}
	l.become(h, RentalHeld)
	for _, name := range names {
		if l.first == "" || before(name, l.first) {
			l.first = name
			l.records.first.Touch(now, writer.Soon)
		}
		l.addRented(h, name, h.asked, now)
	}
}

// giveBack marks a machine to be returned. Where its rental has a record, that is
// written before the request goes out: a request that is carried out late once took
// a machine away with the work that the next leader had started on it. The request
// for a machine that holds places does not wait: it was given up for its silence, and
// only the cloud's answer frees them. Behind the writes of a busy hour the tasks of
// dead machines were placed again 14 s later.
func (l *Lead) giveBack(m *model.Machine, why string) {
	if !l.c.Become(m, model.Returning, why) {
		return
	}
	if l.owner != nil {
		l.wantReturned(m)
		return
	}
	l.returns[m] = 0
	h := l.rentals[m.RentalID]
	if h == nil || !l.c.Compact || !slices.Contains(h.rec.Machines, m.Name) {
		return // without a record, or marked by an earlier leader; version 1 would drop the mark
	}
	h.rec.Machines = without(h.rec.Machines, m.Name)
	h.rec.Returning = append(slices.Clone(h.rec.Returning), m.Name)
	h.version++
	if len(m.Places) > 0 {
		h.entry.Touch(l.n.Now(), writer.Lazy)
		return
	}
	l.returns[m] = h.version
	h.entry.Touch(l.n.Now(), writer.Soon)
}

// recorded reports whether the store knows that a machine is to be returned.
func (l *Lead) recorded(m *model.Machine) bool {
	h := l.rentals[m.RentalID]
	return h == nil || l.returns[m] <= h.saved
}

// sendReturns returns the marked machines, many in one call.
func (l *Lead) sendReturns() {
	var ms []*model.Machine
	for m := range l.returns {
		if l.recorded(m) {
			ms = append(ms, m)
		}
	}
	if len(ms) == 0 {
		return
	}
	sort.Slice(ms, func(a, b int) bool { return ms[a].Name < ms[b].Name })
	ms = ms[:min(len(ms), cloud.MaxReturn)]
	names := make([]string, len(ms))
	for i, m := range ms {
		names[i] = m.Name
		delete(l.returns, m)
	}
	go func() {
		if !l.valid() {
			l.post(func() { l.returnAgain(ms) })
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
		defer cancel()
		err := l.n.Cloud.Return(ctx, names)
		l.post(func() {
			if err != nil {
				l.log.Info("return not answered", "machines", len(names), "err", err)
				l.returnAgain(ms)
				return
			}
			for _, m := range ms {
				l.depart(m)
			}
		})
	}()
}

func (l *Lead) returnAgain(ms []*model.Machine) {
	for _, m := range ms {
		if m.State == model.Returning {
			l.returns[m] = 0 // its mark is in the store
		}
	}
}

func (l *Lead) depart(m *model.Machine) {
	l.c.Depart(m, l.n.Now())
	if h := l.rentals[m.RentalID]; h != nil {
		h.rec.Machines = without(h.rec.Machines, m.Name)
		h.rec.Returning = without(h.rec.Returning, m.Name)
		if len(h.rec.Machines)+len(h.rec.Returning) == 0 {
			l.become(h, RentalOver)
		}
	}
}
