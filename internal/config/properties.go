package config

import (
	"fmt"
	"strconv"

	"github.com/magiconair/properties"

	"notchmux.dev/notchmux/internal/micro"
)

// Properties are the operators' own settings.
type Properties struct {
	LeaderLease          micro.Time // duration of the leader's lease
	LeaderRenewInterval  micro.Time // time between renewals of the leader's lease
	SuspectAfter         micro.Time // time without a heartbeat until a machine is suspect; 0: from the agents' settings
	StarvationAfter      micro.Time // waiting time after which capacity is reserved for a job
	IdleTerminateAfter   micro.Time // idle time after which a provisioned machine is terminated
	BootTimeoutFactor    float64    // boot time-out, as a multiple of the machine type's boot time
	MaxPriceRatio        float64    // highest price for work below the highest priority, over the cheapest on-demand price
	HighPriceRatio       float64    // price ratio above which capacity is provisioned only for work that cannot wait
	NegligibleCostShare  float64    // share of the bill up to which a machine is provisioned without waiting for capacity
	Headroom             float64    // spare capacity for quick starts, as a multiple of the expected arrivals
	SpeedWriteInterval   micro.Time // least time between writes of the measured speeds
	ScoreL1              float64    // parameter L1 of the design's score
	ScoreL2              float64    // parameter L2 of the design's score
	SampleAbovePending   int        // number of pending tasks above which machines are sampled
	SampleSize           int        // number of machines sampled per task
	SampleAbovePassTime  micro.Time // machines are sampled only after a placement pass that took longer
	MaxPendingTasks      int        // number of pending tasks above which new jobs are rejected and must be retried
	LeaseProxyFactor     float64    // how long controllers of an unreachable zone keep its agents' leases alive, in leases
	QuarantineFailedJobs int        // number of different jobs that fail on a machine before it is quarantined
}

// property describes one key: its default, its range and how its value is stored.
type property struct {
	key          string
	defaultValue float64
	min, max     float64
	help         string
	set          func(*Properties, float64)
}

// setSeconds returns a setter for the field that field selects, with values in seconds.
func setSeconds(field func(*Properties) *micro.Time) func(*Properties, float64) {
	return func(p *Properties, v float64) { *field(p) = micro.FromSeconds(v) }
}

var knownProperties = []property{
	{
		"leader.lease.s", 3.5, 1, 60, "duration of the leader's lease",
		setSeconds(func(p *Properties) *micro.Time { return &p.LeaderLease }),
	},
	{
		"leader.renew.s", 0.8, 0.1, 30, "time between renewals of the leader's lease; at most a third of the lease",
		setSeconds(func(p *Properties) *micro.Time { return &p.LeaderRenewInterval }),
	},
	{
		"machine.silent.s", 0, 0, 120,
		"time without a heartbeat after which a machine is suspect; 0: one late heartbeat and one lost response",
		setSeconds(func(p *Properties) *micro.Time { return &p.SuspectAfter }),
	},
	{
		"scale.idle.s", 45, 0, 86400, "idle time after which a provisioned machine is terminated",
		setSeconds(func(p *Properties) *micro.Time { return &p.IdleTerminateAfter }),
	},
	{
		"scale.boot.patience", 4, 1.6, 100, "boot time-out of a machine, as a multiple of its type's boot time",
		func(p *Properties, v float64) { p.BootTimeoutFactor = v },
	},
	{
		"scale.price.ratio", 3.3, 1, 1000,
		"highest price of capacity provisioned for work below the top priority, over the cheapest on-demand price",
		func(p *Properties, v float64) { p.MaxPriceRatio = v },
	},
	{
		"scale.dear.ratio", 1.8, 1, 1000,
		"capacity that costs more than this, over the cheapest on-demand price, is provisioned only for work " +
			"that could not start in time on released capacity",
		func(p *Properties, v float64) { p.HighPriceRatio = v },
	},
	{
		"scale.small.share", 0.04, 0, 1,
		"share of the hourly bill up to which a machine is provisioned even if capacity is about to be released",
		func(p *Properties, v float64) { p.NegligibleCostShare = v },
	},
	{
		"scale.headroom", 1.5, 0, 20, "spare capacity for quick starts, as a multiple of the expected arrivals",
		func(p *Properties, v float64) { p.Headroom = v },
	},
	{
		"speed.write.s", 10, 10, 3600, "least time between writes of the measured speeds",
		setSeconds(func(p *Properties) *micro.Time { return &p.SpeedWriteInterval }),
	},
	{"score.l1", 60, 1, 99, "parameter L1 of the design's score", func(p *Properties, v float64) { p.ScoreL1 = v }},
	{"score.l2", 30, 1, 99, "parameter L2 of that score; under L1", func(p *Properties, v float64) { p.ScoreL2 = v }},
	{
		"sched.age.s", 180, 10, 86400, "waiting time after which capacity is reserved for a job; half for the largest",
		setSeconds(func(p *Properties) *micro.Time { return &p.StarvationAfter }),
	},
	{
		"sched.sample.above", 2000, 0, 1e9, "number of pending tasks above which machines are sampled",
		func(p *Properties, v float64) { p.SampleAbovePending = int(v) },
	},
	{
		"sched.sample.size", 16, 2, 1e4, "number of machines sampled per task",
		func(p *Properties, v float64) { p.SampleSize = int(v) },
	},
	{
		"sched.sample.pass.ms", 30, 0, 1e5, "machines are sampled only after a placement pass that took longer than this",
		func(p *Properties, v float64) { p.SampleAbovePassTime = micro.Time(v * float64(micro.Millisecond)) },
	},
	{
		"sched.max.pending", 1e6, 1, 1e9, "number of pending tasks above which new jobs are rejected and must be retried",
		func(p *Properties, v float64) { p.MaxPendingTasks = int(v) },
	},
	{
		"zone.keep.leases", 1.5, 0, 10,
		"how long controllers of an unreachable zone keep its agents' leases alive, in leases; same on all nodes",
		func(p *Properties, v float64) { p.LeaseProxyFactor = v },
	},
	{
		"machine.error.jobs", 2, 1, 100, "number of different jobs that fail on a machine before it is quarantined",
		func(p *Properties, v float64) { p.QuarantineFailedJobs = int(v) },
	},
}

// Describe calls row for every property with its key, default, minimum, maximum and description.
func Describe(row func(key string, defaultValue, minimum, maximum float64, help string)) {
	for _, k := range knownProperties {
		row(k.key, k.defaultValue, k.min, k.max, k.help)
	}
}

// Defaults returns the properties with their default values.
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
	// Values are taken literally: ${...} is not expanded.
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

// setProperties sets the properties from their values. It returns an error for a value that is not
// a number or out of range, and for an unknown key.
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

// checkProperties checks the constraints within and between properties.
func checkProperties(path string, target *Properties) error {
	if target.SuspectAfter > 0 && target.SuspectAfter < 3*micro.Second {
		return fmt.Errorf("%s: key %q: must be 0 or at least 3", path, "machine.silent.s")
	}
	if target.LeaderRenewInterval*3 > target.LeaderLease {
		return fmt.Errorf("%s: key %q: must be at most a third of leader.lease.s", path, "leader.renew.s")
	}
	if target.ScoreL2 >= target.ScoreL1 {
		return fmt.Errorf("%s: key %q: must be less than score.l1", path, "score.l2")
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
