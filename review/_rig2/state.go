package main

import (
	"encoding/json"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
)

// Link is the connection of one controller to a service. Its zero value is a sound one.
type Link struct {
	mu     sync.Mutex
	cut    bool // nothing passes
	hold   bool // requests sent during the cut are delivered after it; otherwise they are lost
	refuse bool // 503
	slow   func() time.Duration
	late   float64 // share of transactions that get no answer and are carried out 2 to 12 s late
	lost   float64 // share of transactions of which only the answer is lost
}

func (l *Link) set(f func(*Link)) { l.mu.Lock(); f(l); l.mu.Unlock() }

func (l *Link) get() Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Link{cut: l.cut, hold: l.hold, refuse: l.refuse, slow: l.slow, late: l.late, lost: l.lost}
}

// pass waits out a cut. It reports whether the request is delivered.
func (l *Link) pass() bool {
	s := l.get()
	if s.slow != nil {
		time.Sleep(s.slow())
	}
	if !s.cut {
		return true
	}
	for s.cut {
		time.Sleep(50 * time.Millisecond)
		s = l.get()
	}
	return s.hold
}

type kv struct {
	raw   msgpack.RawMessage
	stamp uint64
	lease uint64
}

type storeLease struct {
	life time.Duration
	end  time.Time
}

type event struct {
	key   string
	raw   msgpack.RawMessage
	stamp uint64
	del   bool
}

// State is a stand-in of the state service, written from the protocol page.
type State struct {
	mu                                sync.Mutex
	keys                              map[string]kv
	leases                            map[uint64]*storeLease
	events                            []event
	rev, lastLease                    uint64
	outage                            bool
	valueKB                           float64
	txnOps                            int
	rps, writeRPS                     float64
	reqTokens, writeTokens            float64
	filled                            time.Time
	changed                           chan struct{}
	links                             []*Link
	count429, count400, count409, ops int
	onCommit                          func(node int, then []change) // called before a transaction is executed, without the lock
}

type guard struct {
	Key   string `msgpack:"key"`
	Stamp uint64 `msgpack:"stamp"`
}

type change struct {
	Put    string             `msgpack:"put"`
	Value  msgpack.RawMessage `msgpack:"v"`
	Lease  uint64             `msgpack:"tenure"`
	Delete string             `msgpack:"delete"`
}

type txn struct {
	Guards []guard  `msgpack:"guards"`
	Then   []change `msgpack:"then"`
}

func newState(nodes int) *State {
	s := &State{
		keys: map[string]kv{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{}), valueKB: 16, txnOps: 24,
		rps: 100, writeRPS: 30, reqTokens: 100, writeTokens: 30, filled: time.Now(), rev: 1,
	}
	for range nodes {
		s.links = append(s.links, &Link{})
	}
	return s
}

func reply(ctx *fasthttp.RequestCtx, status int, body any) {
	b, err := msgpack.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx.SetStatusCode(status)
	ctx.SetBody(b)
}

func drop(ctx *fasthttp.RequestCtx) { // no answer
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c netConn) { _ = c.Close() })
}

func (s *State) expire() {
	if s.outage {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	ended := false
	for k, v := range s.keys {
		if v.lease == id {
			if !ended {
				s.rev++
				ended = true
			}
			delete(s.keys, k)
			s.events = append(s.events, event{key: k, stamp: s.rev, del: true})
		}
	}
	if ended {
		s.wake()
	}
}

func (s *State) wake() { close(s.changed); s.changed = make(chan struct{}) }

func (s *State) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.life)
		}
	}
	s.wake()
}

// admit applies the rate limits.
func (s *State) admit(writes int) bool {
	now := time.Now()
	dt := now.Sub(s.filled).Seconds()
	s.filled = now
	s.reqTokens = min(s.rps, s.reqTokens+dt*s.rps)
	s.writeTokens = min(s.writeRPS, s.writeTokens+dt*s.writeRPS)
	if s.reqTokens < 1 || s.writeTokens < float64(writes) {
		s.count429++
		return false
	}
	s.reqTokens--
	s.writeTokens -= float64(writes)
	return true
}

func (s *State) handler(node int) fasthttp.RequestHandler {
	link := s.links[node]
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		if !link.pass() {
			drop(ctx)
			return
		}
		s.mu.Lock()
		refuse := s.outage || link.get().refuse
		s.mu.Unlock()
		if refuse {
			reply(ctx, 503, map[string]any{"error": "unavailable"})
			return
		}
		switch {
		case path == "/commit":
			s.handleCommit(ctx, node, link)
		case path == "/changes":
			s.handleWatch(ctx, link)
		case path == "/keys":
			s.handleRange(ctx)
		case strings.HasPrefix(path, "/keys/"):
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expire()
			if !s.admit(0) {
				reply(ctx, 429, map[string]any{})
				return
			}
			key := path[len("/keys/"):]
			v, ok := s.keys[key]
			if !ok {
				reply(ctx, 404, map[string]any{"epoch": s.rev})
				return
			}
			out := map[string]any{"key": key, "v": v.raw, "stamp": v.stamp}
			if v.lease != 0 {
				out["tenure"] = v.lease
			}
			reply(ctx, 200, out)
		case strings.HasPrefix(path, "/leases"):
			s.handleLease(ctx, path)
		default:
			reply(ctx, 404, map[string]any{})
		}
		if s := link.get(); s.cut {
			link.pass()
			drop(ctx)
		}
	}
}

func (s *State) handleLease(ctx *fasthttp.RequestCtx, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.admit(0) {
		reply(ctx, 429, map[string]any{})
		return
	}
	if path == "/leases" {
		var r struct {
			Life int64 `msgpack:"lifeMs"`
		}
		if msgpack.Unmarshal(ctx.PostBody(), &r) != nil || r.Life < 100 || r.Life > 600000 {
			reply(ctx, 400, map[string]any{"error": "lifeMs"})
			return
		}
		s.lastLease++
		life := time.Duration(r.Life) * time.Millisecond
		s.leases[s.lastLease] = &storeLease{life, time.Now().Add(life)}
		reply(ctx, 200, map[string]any{"tenure": s.lastLease})
		return
	}
	rest, extend := strings.CutSuffix(path[len("/leases/"):], "/extend")
	id, _ := strconv.ParseUint(rest, 10, 64)
	l := s.leases[id]
	if l == nil {
		reply(ctx, 404, map[string]any{"epoch": s.rev})
		return
	}
	if extend {
		l.end = time.Now().Add(l.life)
	} else {
		s.endLease(id)
	}
	reply(ctx, 200, map[string]any{})
}

func (s *State) handleRange(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if !s.admit(0) {
		reply(ctx, 429, map[string]any{})
		return
	}
	a := ctx.QueryArgs()
	prefix, since := string(a.Peek("prefix")), string(a.Peek("since"))
	limit, err := strconv.Atoi(string(a.Peek("limit")))
	if err != nil || limit > 1000 || limit < 1 {
		limit = 1000
	}
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > since {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	rows, size, more := []any{}, 0, false
	for _, k := range names {
		v := s.keys[k]
		n := len(v.raw) + len(k) + 30
		if len(rows) >= limit || size+n > 400<<10 {
			more = true
			break
		}
		size += n
		rows = append(rows, map[string]any{"key": k, "v": v.raw, "stamp": v.stamp})
	}
	reply(ctx, 200, map[string]any{"rows": rows, "more": more, "epoch": s.rev})
}

func jsonSize(raw msgpack.RawMessage) int {
	var v any
	if msgpack.Unmarshal(raw, &v) != nil {
		return 1 << 30
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 1 << 30
	}
	return len(b)
}

func (s *State) handleCommit(ctx *fasthttp.RequestCtx, node int, link *Link) {
	var t txn
	if msgpack.Unmarshal(ctx.PostBody(), &t) != nil {
		reply(ctx, 400, map[string]any{"error": "malformed"})
		return
	}
	if s.onCommit != nil {
		s.onCommit(node, t.Then)
	}
	l := link.get()
	p := rand.Float64()
	if len(t.Then) > 0 && p < l.late {
		go func() {
			time.Sleep(2*time.Second + time.Duration(rand.Int64N(int64(10*time.Second))))
			s.mu.Lock()
			out := s.outage
			s.mu.Unlock()
			if !out {
				s.commit(t)
			}
		}()
		time.Sleep(5 * time.Second)
		drop(ctx)
		return
	}
	status, body := s.commit(t)
	if len(t.Then) > 0 && p >= l.late && p < l.late+l.lost {
		time.Sleep(5 * time.Second)
		drop(ctx)
		return
	}
	reply(ctx, status, body)
}

func (s *State) commit(t txn) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	total := 0
	for _, c := range t.Then {
		if c.Put != "" {
			n := jsonSize(c.Value)
			total += n + len(c.Put)
			if float64(n) > s.valueKB*1024 {
				s.count400++
				return 400, map[string]any{"error": "value too large"}
			}
		}
	}
	if len(t.Then) > s.txnOps || len(t.Guards) > 4*s.txnOps || total > 64<<10 {
		s.count400++
		return 400, map[string]any{"error": "transaction too large"}
	}
	if !s.admit(len(t.Then)) {
		return 429, map[string]any{"error": "rate"}
	}
	for _, c := range t.Then {
		if c.Lease != 0 && s.leases[c.Lease] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	var failed []string
	for _, g := range t.Guards {
		if s.keys[g.Key].stamp != g.Stamp {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		s.count409++
		return 409, map[string]any{"failed": failed, "epoch": s.rev}
	}
	if len(t.Then) == 0 {
		return 200, map[string]any{"epoch": s.rev}
	}
	s.rev++
	for _, c := range t.Then {
		if c.Delete != "" {
			if _, ok := s.keys[c.Delete]; ok {
				delete(s.keys, c.Delete)
				s.events = append(s.events, event{key: c.Delete, stamp: s.rev, del: true})
			}
			continue
		}
		s.keys[c.Put] = kv{c.Value, s.rev, c.Lease}
		s.events = append(s.events, event{key: c.Put, raw: c.Value, stamp: s.rev})
	}
	s.ops += len(t.Then)
	s.wake()
	return 200, map[string]any{"epoch": s.rev}
}

func (s *State) handleWatch(ctx *fasthttp.RequestCtx, link *Link) {
	a := ctx.QueryArgs()
	prefix := string(a.Peek("prefix"))
	since, _ := strconv.ParseUint(string(a.Peek("since")), 10, 64)
	waitMs, _ := strconv.Atoi(string(a.Peek("waitMs")))
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	s.mu.Lock()
	s.expire()
	if !s.admit(0) {
		s.mu.Unlock()
		reply(ctx, 429, map[string]any{})
		return
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.expire()
		stopped := s.outage || link.get().refuse
		var evs []any
		if !stopped {
			if n := len(s.events); n > 10000 && s.events[n-10000].stamp > since {
				s.mu.Unlock()
				reply(ctx, 410, map[string]any{})
				return
			}
			i := sort.Search(len(s.events), func(i int) bool { return s.events[i].stamp > since })
			for _, e := range s.events[i:] {
				if !strings.HasPrefix(e.key, prefix) {
					continue
				}
				if e.del {
					evs = append(evs, map[string]any{"delete": e.key, "stamp": e.stamp})
				} else {
					evs = append(evs, map[string]any{"put": e.key, "v": e.raw, "stamp": e.stamp})
				}
			}
		}
		rev, ch := s.rev, s.changed
		s.mu.Unlock()
		if len(evs) > 0 || time.Now().After(deadline) {
			if stopped {
				reply(ctx, 503, map[string]any{"error": "unavailable"})
				return
			}
			if evs == nil {
				evs = []any{}
			}
			reply(ctx, 200, map[string]any{"epoch": rev, "events": evs})
			return
		}
		select {
		case <-ch:
		case <-time.After(50 * time.Millisecond):
		}
	}
}
