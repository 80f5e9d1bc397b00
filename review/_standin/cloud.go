package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rig is a machine type of the catalog.
type rig struct {
	label              string
	vcpus, gpus, ramGb float64
	price, spotPrice   float64
	startupS, bootS    float64 // nominal and actual boot time
	yards              []string
	room               int // machines of each zone and kind
}

// cloud is a stand-in of the cloud.
type cloud struct {
	mu     sync.Mutex
	site   *site
	rigs   []rig
	hosts  map[string]*worker
	hires  map[string][]string
	next   int
	status func(path string) int // another status for a request; 0: none
}

func newCloud(s *site, rigs []rig) *cloud {
	return &cloud{site: s, rigs: rigs, hosts: map[string]*worker{}, hires: map[string][]string{}}
}

func (c *cloud) rig(label string) rig {
	for _, r := range c.rigs {
		if r.label == label {
			return r
		}
	}
	return rig{}
}

// add creates a machine that is up after the given time.
func (c *cloud) add(label, yard string, spot bool, boot time.Duration) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addLocked(label, yard, spot, boot)
}

func (c *cloud) addLocked(label, yard string, spot bool, boot time.Duration) *worker {
	c.next++
	w := newWorker(c.site, fmt.Sprintf("i-%06d", c.next), c.rig(label), yard, spot)
	c.hosts[w.name] = w
	time.AfterFunc(boot, w.start)
	return w
}

func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*worker
	for _, w := range c.hosts {
		out = append(out, w)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].name < out[b].name })
	return out
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	body := decodeObject(raw)
	if c.status != nil {
		if status := c.status(r.URL.Path); status != 0 {
			reply(w, status, object{"error": "trouble"})
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		rigs := []any{}
		for _, t := range c.rigs {
			rigs = append(rigs, object{
				"label": t.label, "vcpus": t.vcpus, "gpus": t.gpus, "ramGb": t.ramGb, "cacheGb": 70.0,
				"fetchGbPerS": fetchRate, "price": t.price, "spotPrice": t.spotPrice, "startupS": t.startupS,
				"yards": t.yards,
			})
		}
		reply(w, 200, object{"rigs": rigs})
	case r.URL.Path == "/machines/return":
		for _, name := range list(body["hosts"]) {
			if host := c.hosts[text(name)]; host != nil {
				host.end("returned")
				delete(c.hosts, text(name))
				c.site.log("cloud", "returned", name)
			}
		}
		reply(w, 200, object{})
	case r.Method == http.MethodPost:
		c.hire(w, body)
	default:
		c.list(w, r)
	}
}

func (c *cloud) hire(w http.ResponseWriter, body object) {
	name := text(body["hire"])
	if names, again := c.hires[name]; again {
		reply(w, 200, object{"hosts": names})
		return
	}
	t := c.rig(text(body["rig"]))
	used := 0
	for _, host := range c.hosts {
		if host.rig.label == t.label && host.yard == text(body["yard"]) && host.spot == flag(body["loaners"]) {
			used++
		}
	}
	names := []string{}
	for i := 0; i < int(whole(body["count"])) && used+i < t.room; i++ {
		boot := time.Duration(t.bootS * float64(time.Second))
		names = append(names, c.addLocked(t.label, text(body["yard"]), flag(body["loaners"]), boot).name)
	}
	if len(names) == 0 {
		reply(w, 503, object{"error": "no capacity"})
		return
	}
	c.hires[name] = names
	c.site.log("cloud", "hired", name, t.label, body["yard"], names)
	reply(w, 200, object{"hosts": names})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	q, _ := url.ParseQuery(r.URL.RawQuery)
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	var names []string
	for name := range c.hosts {
		if name > q.Get("since") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > limit
	if more {
		names = names[:limit]
	}
	hosts := []any{}
	for _, name := range names {
		h := c.hosts[name]
		hosts = append(hosts, object{
			"nameId": name, "address": h.addr, "rig": h.rig.label, "yard": h.yard, "loaners": h.spot,
			"status": h.listed(), "heldS": time.Since(h.rented).Seconds(),
		})
	}
	reply(w, 200, object{"hosts": hosts, "more": more})
}
