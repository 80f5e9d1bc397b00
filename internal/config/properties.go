package config

import (
	"fmt"
	"strconv"

	"github.com/magiconair/properties"

	"notchmux.dev/notchmux/internal/micro"
)

// Properties are the operators' own settings.
type Properties struct {
	LeaderLease          micro.Time // life of the leader's lease
	LeaderRenewInterval  micro.Time // time between its renewals
	SuspectAfter         micro.Time // a machine unheard of for so long counts as silent; 0: from the agents' settings
	StarvationAfter      micro.Time // capacity is reserved for work that has waited so long
	IdleTerminateAfter   micro.Time // an idle rented machine is returned after this
	BootTimeoutFactor    float64    // multiple of the type's boot time after which a booting machine is given up
	MaxPriceRatio        float64    // highest price for work below the highest priority, over the cheapest on-demand price
	HighPriceRatio       float64    // capacity more expensive than this, over the cheapest, only for what cannot wait
	NegligibleCostShare  float64    // share of the bill up to which a machine is not worth waiting for
	Headroom             float64    // spare capacity for quick starts, as a multiple of the expected arrivals
	SpeedWriteInterval   micro.Time // least time between writes of the learnt speeds
	ScoreL1              float64    // score L1 of the design
	ScoreL2              float64    // score L2 of the design
	SampleAbovePending   int        // pending tasks above which machines are sampled
	SampleSize           int        // machines sampled per task then
	SampleAbovePassTime  micro.Time // only after a pass that took longer than this
	MaxPendingTasks      int        // pending tasks above which new jobs are told to come back
	LeaseProxyFactor     float64    // how long a cut-off zone's controllers keep its agents' leases alive, in leases
	QuarantineFailedJobs int        // different jobs failing on a machine before it is avoided
}

// property describes one key: its default, its range and where it goes.
type property struct {
	key          string
	defaultValue float64
	min, max     float64
	help         string
	set          func(*Properties, float64)
}

func setSeconds(f func(*Properties) *micro.Time) func(*Properties, float64) {
	return func(p *Properties, v float64) { *f(p) = micro.FromSeconds(v) }
}

var knownProperties = []property{
	{
		"leader.lease.s", 3.5, 1, 60, "life of the leader's lease",
		setSeconds(func(p *Properties) *micro.Time { return &p.LeaderLease }),
	},
	{
		"leader.renew.s", 0.8, 0.1, 30, "time between renewals; under a third of the lease",
		setSeconds(func(p *Properties) *micro.Time { return &p.LeaderRenewInterval }),
	},
	{
		"machine.silent.s", 0, 0, 120,
		"a machine unheard of for so long counts as silent; 0: a late report and one lost answer",
		setSeconds(func(p *Properties) *micro.Time { return &p.SuspectAfter }),
	},
	{
		"scale.idle.s", 45, 0, 86400, "an idle rented machine is returned after this",
		setSeconds(func(p *Properties) *micro.Time { return &p.IdleTerminateAfter }),
	},
	{
		"scale.boot.patience", 4, 1.6, 100, "a booting machine is given up after this many times its type's boot time",
		func(p *Properties, v float64) { p.BootTimeoutFactor = v },
	},
	{
		"scale.price.ratio", 3.3, 1, 1000,
		"dearest room rented for work below the first rank, over the cheapest ordinary room",
		func(p *Properties, v float64) { p.MaxPriceRatio = v },
	},
	{
		"scale.dear.ratio", 1.8, 1, 1000,
		"room dearer than so many times the cheapest ordinary room is rented only for work " +
			"that could not start in time on room that comes free",
		func(p *Properties, v float64) { p.HighPriceRatio = v },
	},
	{
		"scale.small.share", 0.04, 0, 1,
		"share of the hourly bill up to which a machine is rented without asking whether room comes free soon",
		func(p *Properties, v float64) { p.NegligibleCostShare = v },
	},
	{
		"scale.headroom", 1.5, 0, 20, "room kept for quick starts, times the expected arrivals",
		func(p *Properties, v float64) { p.Headroom = v },
	},
	{
		"speed.write.s", 10, 10, 3600, "least time between writes of the learnt speeds",
		setSeconds(func(p *Properties) *micro.Time { return &p.SpeedWriteInterval }),
	},
	{"score.l1", 60, 1, 99, "score L1 of the design", func(p *Properties, v float64) { p.ScoreL1 = v }},
	{"score.l2", 30, 1, 99, "score L2 of the design; under L1", func(p *Properties, v float64) { p.ScoreL2 = v }},
	{
		"sched.age.s", 180, 10, 86400, "room is gathered for work that has waited so long, for the largest after half of it",
		setSeconds(func(p *Properties) *micro.Time { return &p.StarvationAfter }),
	},
	{
		"sched.sample.above", 2000, 0, 1e9, "pending tasks above which machines are sampled",
		func(p *Properties, v float64) { p.SampleAbovePending = int(v) },
	},
	{
		"sched.sample.size", 16, 2, 1e4, "machines sampled per task then",
		func(p *Properties, v float64) { p.SampleSize = int(v) },
	},
	{
		"sched.sample.pass.ms", 30, 0, 1e5, "machines are sampled only after a placement pass that took longer than this",
		func(p *Properties, v float64) { p.SampleAbovePassTime = micro.Time(v * float64(micro.Millisecond)) },
	},
	{
		"sched.max.pending", 1e6, 1, 1e9, "pending tasks above which new jobs are told to come back",
		func(p *Properties, v float64) { p.MaxPendingTasks = int(v) },
	},
	{
		"zone.keep.leases", 1.5, 0, 10,
		"how long the controllers of a zone that is cut off keep its workers' leases alive, in leases; the same on all nodes",
		func(p *Properties, v float64) { p.LeaseProxyFactor = v },
	},
	{
		"machine.error.jobs", 2, 1, 100, "different jobs failing on a machine before it is avoided",
		func(p *Properties, v float64) { p.QuarantineFailedJobs = int(v) },
	},
}

// Describe lists every property: key, default, least, most and meaning.
func Describe(row func(key string, def, least, most float64, help string)) {
	for _, k := range knownProperties {
		row(k.key, k.defaultValue, k.min, k.max, k.help)
	}
}

// Defaults are the properties' defaults.
func Defaults() Properties {
	var p Properties
	for _, k := range knownProperties {
		k.set(&p, k.defaultValue)
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

func applyProperties(path string, values map[string]string, target *Properties) error {
	if err := setProperties(path, values, target); err != nil {
		return err
	}
	return checkProperties(path, target)
}

// setProperties takes the values over; the error names the first that is no number, out of
// its bounds or unknown.
func setProperties(path string, values map[string]string, target *Properties) error {
	unmatched := len(values)
	for _, known := range knownProperties {
		text, ok := values[known.key]
		if !ok {
			continue
		}
		unmatched--
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%s: key %q: %q is not a number", path, known.key, text)
		}
		if !(number >= known.min && number <= known.max) {
			return fmt.Errorf("%s: key %q: %v is outside %v to %v", path, known.key, number, known.min, known.max)
		}
		known.set(target, number)
	}
	if unmatched == 0 {
		return nil
	}
	for key := range values {
		if !isKnown(key) {
			return fmt.Errorf("%s: key %q: is unknown", path, key)
		}
	}
	return nil
}

// checkProperties checks the values against each other.
func checkProperties(path string, target *Properties) error {
	if target.SuspectAfter > 0 && target.SuspectAfter < 3*micro.Second {
		return fmt.Errorf("%s: key %q: must be 0 or at least 3", path, "machine.silent.s")
	}
	if target.LeaderRenewInterval*3 > target.LeaderLease {
		return fmt.Errorf("%s: key %q: must be at most a third of leader.lease.s", path, "leader.renew.s")
	}
	if target.ScoreL2 >= target.ScoreL1 {
		return fmt.Errorf("%s: key %q: must be under score.l1", path, "score.l2")
	}
	return nil
}

func isKnown(key string) bool {
	for _, k := range knownProperties {
		if k.key == key {
			return true
		}
	}
	return false
}
