package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type entry struct {
	value  any
	stamp  int64
	tenure int64
}

type storeLease struct {
	life    time.Duration
	expires time.Time
}

// storeLink says how the store treats the requests of one controller.
type storeLink struct {
	Refuse     bool                               // 503: this controller alone is refused
	Silent     bool                               // requests are not executed and get no answer
	LoseAnswer func(body object) bool             // the commit is executed, its answer lost
	Late       func(body object) time.Duration    // > 0: the commit gets no answer and is executed after that time
	Delay      func(path string) time.Duration    // the request is executed after that time
	Hold       func(path string, b object) func() // called after the execution and before the answer
}

// store is a stand-in of the state service.
type store struct {
	mu      sync.Mutex
	keys    map[string]entry
	leases  map[int64]*storeLease
	events  []object
	epoch   int64
	tenures int64
	outage  bool
	changed chan struct{}
	links   map[string]*storeLink
	site    *site
	limits  storeLimits
	asked   bucket
	written bucket
}

// storeLimits are the limits that the settings give; 0 means none.
type storeLimits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
}

// bucket allows a rate with bursts of one second's worth.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) take(n, rate float64) bool {
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, rate)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func (s *store) setLimits(l storeLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// overLimits returns the status of a request that exceeds a limit, or 0.
func (s *store) overLimits(body object) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, then := s.limits, list(body["then"])
	if l.rps > 0 && !s.asked.take(1, l.rps) {
		return 429
	}
	if l.txnOps > 0 && (len(then) > l.txnOps || len(list(body["guards"])) > 4*l.txnOps) {
		return 400
	}
	for _, c := range then {
		raw, err := json.Marshal(c.(object)["v"])
		if l.valueBytes > 0 && (err != nil || len(raw) > l.valueBytes) {
			return 400
		}
	}
	if l.writeRPS > 0 && len(then) > 0 && !s.written.take(float64(len(then)), l.writeRPS) {
		return 429
	}
	return 0
}

func newStore(s *site) *store {
	st := &store{
		keys: map[string]entry{}, leases: map[int64]*storeLease{}, changed: make(chan struct{}),
		links: map[string]*storeLink{}, site: s, epoch: 1,
	}
	go st.expire()
	return st
}

func (s *store) link(node string) storeLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.links[node]; l != nil {
		return *l
	}
	return storeLink{}
}

// setLink sets how the requests of a controller are treated.
func (s *store) setLink(node string, l storeLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[node] = &l
	s.notify()
}

func (s *store) setOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	if !on {
		for _, l := range s.leases {
			l.expires = time.Now().Add(l.life)
		}
	}
	s.notify()
}

func (s *store) notify() { close(s.changed); s.changed = make(chan struct{}) }

func (s *store) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		if !s.outage {
			for id, l := range s.leases {
				if time.Now().After(l.expires) {
					s.endLease(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var gone []string
	for key, e := range s.keys {
		if e.tenure == id {
			gone = append(gone, key)
		}
	}
	if len(gone) == 0 {
		return
	}
	s.epoch++
	for _, key := range gone {
		delete(s.keys, key)
		s.events = append(s.events, object{"delete": key, "stamp": s.epoch})
		if key == "leader" {
			s.site.log("store", "the leader's lease has ended")
		}
	}
	s.notify()
}

// leader returns the node that the leader key names.
func (s *store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.keys["leader"]; ok {
		if v, ok := e.value.(object); ok {
			return text(v["node"])
		}
	}
	return ""
}

// get returns the value of a key, or nil.
func (s *store) get(key string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].value
}

// handler serves the state service's protocol to one controller.
func (s *store) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		body := decodeObject(raw)
		path := r.URL.Path
		l := s.link(node)
		watch := path == "/changes"
		if l.Delay != nil {
			if d := l.Delay(path); d > 0 {
				time.Sleep(d)
				l = s.link(node)
			}
		}
		if l.Silent && !watch {
			silence(r)
			return
		}
		s.mu.Lock()
		refused := s.outage || l.Refuse
		s.mu.Unlock()
		if refused && !watch {
			reply(w, 503, object{"error": "trouble"})
			return
		}
		if status := s.overLimits(body); status != 0 {
			s.site.log("store", node, path, "over the limits ->", status)
			reply(w, status, object{"error": "limits"})
			return
		}
		if path == "/commit" && l.Late != nil {
			if d := l.Late(body); d > 0 {
				time.AfterFunc(d, func() {
					status, out := s.commit(body)
					s.site.log("store", "late transaction of", node, "->", status, out)
				})
				silence(r)
				return
			}
		}
		status, out := s.execute(node, r, body)
		if path == "/commit" && l.LoseAnswer != nil && l.LoseAnswer(body) {
			s.site.log("store", "answer lost: transaction of", node, "->", status)
			silence(r)
			return
		}
		if l.Hold != nil {
			if f := l.Hold(path, body); f != nil {
				f()
			}
		}
		reply(w, status, out)
	})
}

// silence waits until the client gives up.
func silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(20 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/msgpack")
	b := encode(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) execute(node string, r *http.Request, body object) (int, object) {
	path := r.URL.Path
	q, _ := url.ParseQuery(r.URL.RawQuery)
	switch {
	case path == "/commit":
		return s.commit(body)
	case path == "/leases":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tenures++
		life := time.Duration(whole(body["lifeMs"])) * time.Millisecond
		s.leases[s.tenures] = &storeLease{life, time.Now().Add(life)}
		return 200, object{"tenure": s.tenures}
	case strings.HasPrefix(path, "/leases/"):
		rest := strings.TrimPrefix(path, "/leases/")
		id, _ := strconv.ParseInt(strings.TrimSuffix(rest, "/extend"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			return 404, object{"error": "no such lease"}
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.expires = time.Now().Add(l.life)
		}
		return 200, object{}
	case path == "/keys":
		limit, _ := strconv.Atoi(q.Get("limit"))
		return s.rangeOf(q.Get("prefix"), q.Get("since"), limit)
	case strings.HasPrefix(path, "/keys/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		key := strings.TrimPrefix(path, "/keys/")
		e, ok := s.keys[key]
		if !ok {
			return 404, object{"epoch": s.epoch}
		}
		out := object{"key": key, "v": e.value, "stamp": e.stamp}
		if e.tenure != 0 {
			out["tenure"] = e.tenure
		}
		return 200, out
	case path == "/changes":
		since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		return s.watch(node, q.Get("prefix"), since, time.Duration(wait)*time.Millisecond, r)
	}
	return 400, object{"error": "no such path"}
}

func (s *store) rangeOf(prefix, since string, limit int) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) && key > since {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	if more {
		keys = keys[:limit]
	}
	rows := []any{}
	for _, key := range keys {
		e := s.keys[key]
		rows = append(rows, object{"key": key, "v": e.value, "stamp": e.stamp})
	}
	return 200, object{"rows": rows, "more": more, "epoch": s.epoch}
}

func (s *store) commit(body object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range list(body["then"]) {
		change, _ := c.(object)
		if t := int64(whole(change["tenure"])); t != 0 && s.leases[t] == nil {
			return 400, object{"error": "no such lease"}
		}
	}
	failed := []any{}
	for _, g := range list(body["guards"]) {
		guard, _ := g.(object)
		if s.keys[text(guard["key"])].stamp != int64(whole(guard["stamp"])) {
			failed = append(failed, text(guard["key"]))
		}
	}
	if len(failed) > 0 {
		return 409, object{"failed": failed, "epoch": s.epoch}
	}
	if len(list(body["then"])) == 0 {
		return 200, object{"epoch": s.epoch}
	}
	s.epoch++
	for _, c := range list(body["then"]) {
		change, _ := c.(object)
		if key := text(change["delete"]); key != "" {
			if _, ok := s.keys[key]; ok {
				delete(s.keys, key)
				s.events = append(s.events, object{"delete": key, "stamp": s.epoch})
			}
			continue
		}
		key := text(change["put"])
		s.keys[key] = entry{change["v"], s.epoch, int64(whole(change["tenure"]))}
		s.events = append(s.events, object{"put": key, "v": change["v"], "stamp": s.epoch})
		switch {
		case key == "leader":
			v, _ := change["v"].(object)
			s.site.log("store", "leader is", text(v["node"]), "term", s.epoch)
		case strings.HasSuffix(key, "/end"), strings.HasPrefix(key, "hire/"):
			s.site.log("store", "put", key, change["v"])
		}
	}
	s.notify()
	return 200, object{"epoch": s.epoch}
}

func (s *store) watch(
	node, prefix string, since int64, wait time.Duration, r *http.Request,
) (int, object) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		link := s.links[node]
		if len(s.events) > 10_000 {
			s.events = s.events[len(s.events)-10_000:]
		}
		if len(s.events) == 10_000 && s.events[0]["stamp"].(int64) > since+1 {
			s.mu.Unlock()
			return 410, object{"error": "too old"}
		}
		blocked := s.outage || link != nil && (link.Refuse || link.Silent)
		if !blocked {
			found := []any{}
			for i := len(s.events) - 1; i >= 0 && s.events[i]["stamp"].(int64) > since; i-- {
				key := text(s.events[i]["put"]) + text(s.events[i]["delete"])
				if strings.HasPrefix(key, prefix) {
					found = append([]any{s.events[i]}, found...)
				}
			}
			if len(found) > 0 || time.Now().After(deadline) {
				epoch := s.epoch
				s.mu.Unlock()
				return 200, object{"epoch": epoch, "events": found}
			}
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(max(time.Until(deadline), 50*time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			panic(http.ErrAbortHandler)
		}
		timer.Stop()
	}
}
