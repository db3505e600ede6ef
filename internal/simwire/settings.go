package simwire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// settingValues are the path=value pairs of a CONFIGURE line.
type settingValues struct {
	values map[string]string
	err    error
}

func parseConfigure(text string) (policy.Settings, *limitFields, error) {
	p := &settingValues{values: map[string]string{}}
	for _, f := range strings.Fields(text) {
		k, v, ok := strings.Cut(f, "=")
		if !ok {
			return policy.Settings{}, nil, fmt.Errorf("bad setting %q", truncate(f))
		}
		if v != "-" {
			p.values[k] = v
		}
	}
	set, err := Settings(p.values)
	return set, p.limitFields(), err
}

// Settings maps the settings, by their paths, to the decision module's. The real relay's configuration holds the
// same ones as JSON and comes through here too: what a setting means is said once.
func Settings(values map[string]string) (policy.Settings, error) {
	p := &settingValues{values: values}
	set := policy.Settings{
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
		set.MaxRetryAfter = p.milliseconds("bounds.max_retry_after_ms")
	}
	for _, x := range p.list("extra.carriage") {
		set.ZoneCosts = append(set.ZoneCosts, p.parse("extra.carriage", x))
	}
	for i := range p.count("services") {
		set.Classes = append(set.Classes, p.class(fmt.Sprintf("services.%d.", i)))
	}
	for i := range p.count("realms") {
		set.Tenants = append(set.Tenants, policy.Tenant{
			Quota: p.number(fmt.Sprintf("realms.%d.quota_per_s", i)),
		})
	}
	per, apart := p.list("extra.per_call"), p.list("extra.separate_routes")
	for i := range max(len(p.list("kinds")), len(per), len(apart)) {
		k := policy.DestinationKind{MaxBatch: 1}
		if i < len(per) {
			k.MaxBatch = int(p.parse("extra.per_call", per[i]))
		}
		if i < len(apart) {
			k.LimitPerEndpoint = apart[i] == "true"
		}
		set.DestinationKinds = append(set.DestinationKinds, k)
	}
	return set, p.err
}

func (p *settingValues) class(at string) policy.Class {
	c := policy.Class{
		DedupAllZones:    p.values[at+"group"] == "all",
		DedupWindow:      p.milliseconds(at + "repeat_window_ms"),
		Ordered:          p.boolean(at + "by_arrival"),
		LatencyObjective: p.milliseconds(at + "goal_time_ms"),
		Deadline:         p.milliseconds(at + "give_up_ms"),
		Weight:           1,
	}
	if _, ok := p.values[at+"value"]; ok {
		c.Weight = p.number(at + "value")
	}
	switch p.values[at+"semantics"] {
	case "read_like":
		c.Effect = policy.Idempotent
	case "idempotency_key":
		c.Effect = policy.IdempotentByKey
	default: // what is not known to bear a repeat bears none
		c.Effect = policy.NonIdempotent
	}
	return c
}

// limitFields finds which reported values tell of a limit.
func (p *settingValues) limitFields() *limitFields {
	sc := &limitFields{}
	for _, name := range p.list("stats.fields") {
		switch name {
		case "x0":
			sc.remaining = name
		case "x1":
			sc.limit = name
		}
	}
	return sc
}

func (p *settingValues) parse(key, value string) float64 {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("bad setting %s", key)
	}
	return x
}

func (p *settingValues) number(key string) float64 {
	if v, ok := p.values[key]; ok {
		return p.parse(key, v)
	}
	return 0
}

func (p *settingValues) integer(key string) int { return int(p.number(key)) }

func (p *settingValues) count(path string) int { return min(1000, p.integer(path+".count")) }

func (p *settingValues) milliseconds(key string) time.Duration {
	return time.Duration(p.number(key)*1000) * time.Microsecond
}

func (p *settingValues) boolean(key string) bool {
	return p.values[key] == "true" || p.values[key] == "1"
}

func (p *settingValues) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}
