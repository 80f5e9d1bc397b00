package config

import (
	"fmt"
	"strconv"

	"github.com/magiconair/properties"

	"notchmux.dev/notchmux/internal/micro"
)

// Properties are the operators' own settings.
type Properties struct {
	LeaderLease   micro.Time // life of the leader's lease
	LeaderRenew   micro.Time // time between its renewals
	SilentAfter   micro.Time // a machine unheard of for so long counts as silent; 0: from the workers' settings
	AgeAfter      micro.Time // room is gathered for work that has waited so long
	IdleReturn    micro.Time // an idle rented machine is returned after this
	BootPatience  float64    // multiple of the type's boot time after which a booting machine is given up
	PriceRatio    float64    // dearest room for work below the first rank, over the cheapest ordinary room
	DearRatio     float64    // room dearer than this, over the cheapest, only for what cannot wait
	SmallShare    float64    // share of the bill up to which a machine is not worth waiting for
	Headroom      float64    // spare room for quick starts, as a multiple of the expected arrivals
	SpeedWrite    micro.Time // least time between writes of the learnt speeds
	ScoreL1       float64    // score L1 of the design
	ScoreL2       float64    // score L2 of the design
	SampleAbove   int        // pending tasks above which machines are sampled
	SampleSize    int        // machines sampled per task then
	SampleBusy    micro.Time // only after a pass that took longer than this
	MaxPending    int        // pending tasks above which new jobs are told to come back
	KeepLeases    float64    // how long a cut-off zone's controllers keep its workers' leases alive, in leases
	ErrorMachines int        // different jobs failing on a machine before it is avoided
}

// property describes one key: its default, its range and where it goes.
type property struct {
	key      string
	def      float64
	min, max float64
	help     string
	set      func(*Properties, float64)
}

func span(f func(*Properties) *micro.Time) func(*Properties, float64) {
	return func(p *Properties, v float64) { *f(p) = micro.Of(v) }
}

var known = []property{
	{"leader.lease.s", 3.5, 1, 60, "life of the leader's lease", span(func(p *Properties) *micro.Time { return &p.LeaderLease })},
	{"leader.renew.s", 0.8, 0.1, 30, "time between renewals; under a third of the lease", span(func(p *Properties) *micro.Time { return &p.LeaderRenew })},
	{"machine.silent.s", 0, 0, 120, "a machine unheard of for so long counts as silent; 0: a late report and one lost answer", span(func(p *Properties) *micro.Time { return &p.SilentAfter })},
	{"scale.idle.s", 45, 0, 86400, "an idle rented machine is returned after this", span(func(p *Properties) *micro.Time { return &p.IdleReturn })},
	{"scale.boot.patience", 4, 1.6, 100, "a booting machine is given up after this many times its type's boot time", func(p *Properties, v float64) { p.BootPatience = v }},
	{"scale.price.ratio", 3.3, 1, 1000, "dearest room rented for work below the first rank, over the cheapest ordinary room", func(p *Properties, v float64) { p.PriceRatio = v }},
	{"scale.dear.ratio", 1.8, 1, 1000, "room dearer than so many times the cheapest ordinary room is rented only for work that could not start in time on room that comes free", func(p *Properties, v float64) { p.DearRatio = v }},
	{"scale.small.share", 0.04, 0, 1, "share of the hourly bill up to which a machine is rented without asking whether room comes free soon", func(p *Properties, v float64) { p.SmallShare = v }},
	{"scale.headroom", 1.5, 0, 20, "room kept for quick starts, times the expected arrivals", func(p *Properties, v float64) { p.Headroom = v }},
	{"speed.write.s", 10, 10, 3600, "least time between writes of the learnt speeds", span(func(p *Properties) *micro.Time { return &p.SpeedWrite })},
	{"score.l1", 60, 1, 99, "score L1 of the design", func(p *Properties, v float64) { p.ScoreL1 = v }},
	{"score.l2", 30, 1, 99, "score L2 of the design; under L1", func(p *Properties, v float64) { p.ScoreL2 = v }},
	{"sched.age.s", 180, 10, 86400, "room is gathered for work that has waited so long, for the largest after half of it", span(func(p *Properties) *micro.Time { return &p.AgeAfter })},
	{"sched.sample.above", 2000, 0, 1e9, "pending tasks above which machines are sampled", func(p *Properties, v float64) { p.SampleAbove = int(v) }},
	{"sched.sample.size", 16, 2, 1e4, "machines sampled per task then", func(p *Properties, v float64) { p.SampleSize = int(v) }},
	{"sched.sample.pass.ms", 30, 0, 1e5, "machines are sampled only after a placement pass that took longer than this", func(p *Properties, v float64) { p.SampleBusy = micro.Time(v * float64(micro.Millisecond)) }},
	{"sched.max.pending", 1e6, 1, 1e9, "pending tasks above which new jobs are told to come back", func(p *Properties, v float64) { p.MaxPending = int(v) }},
	{"zone.keep.leases", 1.5, 0, 10, "how long the controllers of a zone that is cut off keep its workers' leases alive, in leases; the same on all nodes", func(p *Properties, v float64) { p.KeepLeases = v }},
	{"machine.error.jobs", 2, 1, 100, "different jobs failing on a machine before it is avoided", func(p *Properties, v float64) { p.ErrorMachines = int(v) }},
}

// Describe lists every property: key, default, least, most and meaning.
func Describe(row func(key string, def, least, most float64, help string)) {
	for _, k := range known {
		row(k.key, k.def, k.min, k.max, k.help)
	}
}

// Defaults are the properties' defaults.
func Defaults() Properties {
	var p Properties
	for _, k := range known {
		k.set(&p, k.def)
	}
	return p
}

func loadProperties(path string) (Properties, error) {
	p := Defaults()
	if path == "" {
		return p, nil
	}
	// No expansion of ${...}: a value is what is written.
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	file, err := loader.LoadFile(path)
	if err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	return p, applyProperties(path, file.Map(), &p)
}

func applyProperties(path string, values map[string]string, p *Properties) error {
	left := len(values)
	for _, k := range known {
		text, ok := values[k.key]
		if !ok {
			continue
		}
		left--
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%s: key %q: %q is not a number", path, k.key, text)
		}
		if !(v >= k.min && v <= k.max) {
			return fmt.Errorf("%s: key %q: %v is outside %v to %v", path, k.key, v, k.min, k.max)
		}
		k.set(p, v)
	}
	if left > 0 {
		for key := range values {
			if !isKnown(key) {
				return fmt.Errorf("%s: key %q: is unknown", path, key)
			}
		}
	}
	if p.SilentAfter > 0 && p.SilentAfter < 3*micro.Second {
		return fmt.Errorf("%s: key %q: must be 0 or at least 3", path, "machine.silent.s")
	}
	if p.LeaderRenew*3 > p.LeaderLease {
		return fmt.Errorf("%s: key %q: must be at most a third of leader.lease.s", path, "leader.renew.s")
	}
	if p.ScoreL2 >= p.ScoreL1 {
		return fmt.Errorf("%s: key %q: must be under score.l1", path, "score.l2")
	}
	return nil
}

func isKnown(key string) bool {
	for _, k := range known {
		if k.key == key {
			return true
		}
	}
	return false
}
