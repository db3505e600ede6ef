package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// maxListLength bounds the number of objects that are read from a list, whatever length the settings state.
const maxListLength = 1000

// settingValues parses the values of settings. err holds the first error.
type settingValues struct {
	values map[string]string // by path
	err    error
}

// parseConfigure parses the path=value pairs of a CONFIGURE line. A setting with the value "-" counts as not set.
func parseConfigure(text string) (policy.Settings, *limitFields, error) {
	p := &settingValues{values: map[string]string{}}
	for _, pair := range strings.Fields(text) {
		path, value, ok := strings.Cut(pair, "=")
		if !ok {
			return policy.Settings{}, nil, fmt.Errorf("setting %q has no value", truncate(pair))
		}
		if value != "-" {
			p.values[path] = value
		}
	}
	settings, err := Settings(p.values)
	return settings, p.limitFields(), err
}

// Settings converts the values of settings, by path, to the settings of the engine. The relay also uses Settings for
// its configuration file, so that each setting means the same in the simulator and in a deployment.
func Settings(values map[string]string) (policy.Settings, error) {
	p := &settingValues{values: values}
	settings := policy.Settings{
		FleetSize:             p.integer("fleet_size"),
		MaxInFlightCalls:      p.integer("extra.call_slots"),
		MaxPendingMessages:    p.integer("bounds.open_cap"),
		MaxAttempts:           p.integer("bounds.send_cap"),
		ApproximateWeights:    p.values["weight_kind"] == "rough",
		IgnoreWeights:         p.values["weight_kind"] == "none",
		WatchRequired:         p.values["membership_mode"] == "ask",
		WarmUpInitialCapacity: p.number("rules.cold_from"),
		WarmUpDuration:        p.milliseconds("rules.warm_within_ms"),
		OverloadFactor:        p.number("rules.overload_factor"),
		OverloadWindow:        p.milliseconds("rules.fall_ms"),
		OrderingPause:         p.milliseconds("rules.order_pause_ms"),
	}
	if p.boolean("bounds.retry_after") {
		settings.MaxRetryAfter = p.milliseconds("bounds.max_retry_after_ms")
	}
	for _, cost := range p.list("extra.carriage") {
		settings.ZoneCosts = append(settings.ZoneCosts, p.parse("extra.carriage", cost))
	}
	for i := range p.length("services") {
		settings.Classes = append(settings.Classes, p.class(fmt.Sprintf("services.%d.", i)))
	}
	for i := range p.length("realms") {
		tenant := policy.Tenant{Quota: p.number(fmt.Sprintf("realms.%d.quota_per_s", i))}
		settings.Tenants = append(settings.Tenants, tenant)
	}
	settings.DestinationKinds = p.destinationKinds()
	return settings, p.err
}

// destinationKinds returns the kinds of destination. Several settings are lists with one entry per kind; there are as
// many kinds as the longest of these lists has entries.
func (p *settingValues) destinationKinds() (kinds []policy.DestinationKind) {
	batchSizes := p.list("extra.per_call")
	separateLimits := p.list("extra.separate_routes")
	for i := range max(len(p.list("kinds")), len(batchSizes), len(separateLimits)) {
		kind := policy.DestinationKind{MaxBatch: 1}
		if i < len(batchSizes) {
			kind.MaxBatch = int(p.parse("extra.per_call", batchSizes[i]))
		}
		if i < len(separateLimits) {
			kind.LimitPerEndpoint = separateLimits[i] == "true"
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

// class returns the class whose settings have paths that start with prefix.
func (p *settingValues) class(prefix string) policy.Class {
	class := policy.Class{
		DedupAllZones:    p.values[prefix+"group"] == "all",
		DedupWindow:      p.milliseconds(prefix + "repeat_window_ms"),
		Ordered:          p.boolean(prefix + "by_arrival"),
		LatencyObjective: p.milliseconds(prefix + "goal_time_ms"),
		Deadline:         p.milliseconds(prefix + "give_up_ms"),
		Weight:           1,
	}
	if _, ok := p.values[prefix+"value"]; ok {
		class.Weight = p.number(prefix + "value")
	}
	switch p.values[prefix+"semantics"] {
	case "read_like":
		class.Effect = policy.Idempotent
	case "idempotency_key":
		class.Effect = policy.IdempotentByKey
	default: // unknown semantics: assume that repeats do harm
		class.Effect = policy.NonIdempotent
	}
	return class
}

// limitFields returns the names of those reported values that describe a rate limit.
func (p *settingValues) limitFields() *limitFields {
	limits := &limitFields{}
	for _, name := range p.list("stats.fields") {
		switch name {
		case "x0":
			limits.remaining = name
		case "x1":
			limits.limit = name
		}
	}
	return limits
}

// parse parses text as a number. path names the setting in the error.
func (p *settingValues) parse(path, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("setting %s: %q is not a number", path, text)
	}
	return value
}

// number returns the number at a path, or 0 if there is none.
func (p *settingValues) number(path string) float64 {
	if text, ok := p.values[path]; ok {
		return p.parse(path, text)
	}
	return 0
}

func (p *settingValues) integer(path string) int { return int(p.number(path)) }

// length returns the length of the list of objects at a path, maxListLength at most.
func (p *settingValues) length(path string) int { return min(maxListLength, p.integer(path+".count")) }

func (p *settingValues) milliseconds(path string) time.Duration {
	return time.Duration(p.number(path)*1000) * time.Microsecond
}

func (p *settingValues) boolean(path string) bool {
	return p.values[path] == "true" || p.values[path] == "1"
}

// list returns the parts of the comma-separated value at a path.
func (p *settingValues) list(path string) []string {
	if p.values[path] == "" {
		return nil
	}
	return strings.Split(p.values[path], ",")
}
