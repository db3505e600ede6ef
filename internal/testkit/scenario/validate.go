package scenario

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	maxLength            = 2 * time.Hour
	maxBodySize          = 64 << 10 // bytes
	maxBurstSize         = 10000    // messages
	maxMessagesPerCall   = 1000
	maxTick              = time.Second
	minSockets           = 64               // of a relay
	maxRelayVariation    = 10               // coefficient of variation
	minPlausibleDuration = time.Millisecond // see validateDurations
)

// Bounds limits the scenarios that a runner accepts.
type Bounds struct {
	MaxRelays, MaxEndpoints, MaxArrivals int

	SettableClocks bool // the runner can step the wall clocks of relays
	Sockets        bool // calls and answers pass over sockets
}

// The bounds of rehearsals, with processes and sockets on one machine, and of the emulator, in virtual time.
var (
	RehearsalBounds = Bounds{MaxRelays: 20, MaxEndpoints: 500, MaxArrivals: 2_000_000, Sockets: true}
	EmulatorBounds  = Bounds{MaxRelays: 5000, MaxEndpoints: 1_000_000, MaxArrivals: 100_000_000, SettableClocks: true}
)

// problems collects the errors of an invalid scenario.
type problems []error

func (p *problems) add(format string, args ...any) { *p = append(*p, fmt.Errorf(format, args...)) }

func (p *problems) require(ok bool, format string, args ...any) {
	if !ok {
		p.add(format, args...)
	}
}

// requireOneOf adds a problem unless the value is one of those allowed. The value is the last argument of the format.
func requireOneOf[T ~string](p *problems, value T, allowed []T, format string, args ...any) {
	p.require(slices.Contains(allowed, value), format, append(args, value)...)
}

func isRatio(x float64) bool { return x >= 0 && x <= 1 }

// ValidateWithin returns an error that describes everything that is invalid in a scenario that is to run within bounds.
func (f *File) ValidateWithin(bounds Bounds) error {
	var p problems
	p.require(f.Name != "", "name must not be empty")
	p.require(
		f.Length > 0 && f.Length.AsDuration() <= maxLength,
		"length must be above 0 and at most %v", maxLength,
	)
	p.require(f.Fleet.Enabled || !f.Fleet.Quotas, "fleet: rights needs enabled = true")
	p.require(f.Relays >= 1 && f.Relays <= bounds.MaxRelays, "relays must be 1 to %d", bounds.MaxRelays)
	f.Settings.validate(&p)
	f.Clients.validate(&p)
	p.require(
		f.Discovery.MinDelay >= 0 && f.Discovery.MaxDelay >= f.Discovery.MinDelay,
		"discovery: least must not be above most, nor below 0",
	)
	validateDurations(&p, reflect.ValueOf(*f), "")
	f.validateNames(&p)
	f.validateClasses(&p)
	f.validateDestinations(&p, bounds)
	f.validateTraffic(&p, bounds)
	for i := range f.Faults {
		f.validateFault(&p, bounds, fmt.Sprintf("trouble %d (%s)", i+1, f.Faults[i].Kind), &f.Faults[i])
	}
	return errors.Join(p...)
}

func (s *Settings) validate(p *problems) {
	p.require(
		s.MaxConcurrentCalls > 0 && s.MaxMessages > 0 && s.MaxAttempts > 0,
		"settings: slots, held and attempts must be above 0",
	)
	p.require(s.Tick > 0 && s.Tick.AsDuration() <= maxTick, "settings: tick must be above 0 and at most %v", maxTick)
	p.require(
		s.ConnectTimeout > 0 && s.KeepAliveTimeout > 0 && s.MaxRetryAfter >= 0,
		"settings: connect_timeout and keep_alive must be above 0, and max_retry_after must not be below 0",
	)
	p.require(
		s.MemoryMB > 0 && s.MaxSockets >= minSockets && s.DiskMB > 0,
		"settings: memory_mb and disk_mb must be above 0, and sockets must be at least %d", minSockets,
	)
	p.require(
		s.DrainGrace > 0 && s.OverloadFactor > 0 && s.OverloadWindow > 0 && s.OrderingPause > 0,
		"settings: drain_grace, fall_multiple, fall_window and order_pause must be above 0",
	)
	p.require(isRatio(*s.OverShareWeightRatio), "settings: over_share_worth must be 0 to 1")
}

func (c *Clients) validate(p *problems) {
	p.require(
		c.AnswerTimeout > 0 && c.RetryBackoff > 0 && isRatio(*c.RetryRatio),
		"clients: answer_within and backoff must be above 0, and again must be 0 to 1",
	)
	p.require(
		c.RelayVariation >= 0 && c.RelayVariation <= maxRelayVariation,
		"clients: uneven must be 0 to %d", maxRelayVariation,
	)
}

// validateDurations rejects durations of less than minPlausibleDuration, except 0. A file that gives a plain number
// instead of a text such as "1.5s" gets such a duration, since the decoder reads the number as nanoseconds.
func validateDurations(p *problems, value reflect.Value, key string) {
	if duration, ok := value.Interface().(Duration); ok {
		p.require(
			duration == 0 || duration.AsDuration().Abs() >= minPlausibleDuration,
			"%s: must be a duration such as \"1.5s\", at least %v", strings.TrimPrefix(key, "."), minPlausibleDuration,
		)
		return
	}
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			validateDurations(p, value.Field(i), key+"."+value.Type().Field(i).Tag.Get("toml"))
		}
	case reflect.Slice:
		for i := range value.Len() {
			validateDurations(p, value.Index(i), fmt.Sprintf("%s %d", key, i+1))
		}
	}
}

func (f *File) validateNames(p *problems) {
	validateUnique(p, "zone", f.Zones, func(zone string) string { return zone })
	validateUnique(p, "class", f.Classes, func(c Class) string { return c.Name })
	validateUnique(p, "customer", f.Customers, func(c Customer) string { return c.Name })
	validateUnique(p, "kind", f.DestinationKinds, func(k DestinationKind) string { return k.Name })
}

// validateUnique requires at least one item, and that each has a valid and unique name.
func validateUnique[T any](p *problems, what string, items []T, nameOf func(T) string) {
	p.require(len(items) > 0, "at least one %s is required", what)
	seen := map[string]bool{}
	for _, item := range items {
		name := nameOf(item)
		p.require(
			name != "" && !strings.ContainsAny(name, " /?,;=\r\n"),
			"%s: name %q must not be empty or contain a space, a line break or any of / ? , ; =", what, name,
		)
		p.require(!seen[name], "%s: duplicate name %q", what, name)
		seen[name] = true
	}
}

func (f *File) validateClasses(p *problems) {
	effects := []eventlog.Effect{eventlog.Idempotent, eventlog.IdempotentByKey, eventlog.NonIdempotent}
	scopes := []DedupScope{DedupInZone, DedupAcrossZones}
	for _, c := range f.Classes {
		at := "class " + c.Name
		requireOneOf(p, c.Effect, effects, "%s: effect must be safe, keyed or unsafe, not %q", at)
		requireOneOf(p, c.DedupScope, scopes, "%s: group must be zone or all, not %q", at)
		p.require(
			c.Effect != eventlog.IdempotentByKey || c.DedupWindow > 0,
			"%s: a keyed class needs a window", at,
		)
		p.require(
			c.LatencyObjective > 0 && c.Deadline > c.LatencyObjective,
			"%s: give_up must be longer than aim, and aim must be above 0", at,
		)
		p.require(isRatio(c.LateWeightRatio), "%s: late_worth must be 0 to 1", at)
		p.require(c.TrafficShare > 0 && c.Weight > 0, "%s: share and worth must be above 0", at)
	}
	for _, c := range f.Customers {
		p.require(
			c.TrafficShare > 0 && c.Quota >= 0,
			"customer %s: share must be above 0, and quota must not be below 0", c.Name,
		)
	}
}

func (f *File) validateDestinations(p *problems, bounds Bounds) {
	for _, k := range f.DestinationKinds {
		k.validate(p)
	}
	endpoints := 0
	p.require(len(f.Destinations) > 0, "at least one [[destination]] table is required")
	for i, d := range f.Destinations {
		f.validateDestination(p, fmt.Sprintf("destination %d", i+1), d)
		endpoints += d.Count * d.Endpoints
	}
	p.require(endpoints <= bounds.MaxEndpoints, "%d endpoints, %d at most", endpoints, bounds.MaxEndpoints)
}

func (k *DestinationKind) validate(p *problems) {
	validDistribution := false
	switch k.ServiceTimeDistribution {
	case "", Lognormal:
		validDistribution = true
	case Exponential:
		validDistribution = k.ServiceTimeVariation == 0
	}
	p.require(
		validDistribution,
		"kind %s: law must be lognormal or exponential, and spread must not be set for exponential", k.Name,
	)
	p.require(
		k.MaxMessagesPerCall >= 1 && k.MaxMessagesPerCall <= maxMessagesPerCall,
		"kind %s: per_call must be 1 to %d", k.Name, maxMessagesPerCall,
	)
}

func (f *File) validateDestination(p *problems, at string, d Destination) {
	p.require(
		d.Count > 0 && d.Endpoints > 0 && d.TrafficWeight > 0,
		"%s: count, endpoints and weight must be above 0", at,
	)
	for _, zone := range d.Zones {
		p.require(slices.Contains(f.Zones, zone), "%s: unknown zone %q", at, zone)
	}
	kind, ok := f.kindOf(d)
	if !ok {
		p.add("%s: unknown kind %q", at, d.Kind)
		return
	}
	if err := f.UpstreamSpec(kind, d.LimitRate).Validate(); err != nil {
		p.add("%s, kind %s: %w", at, d.Kind, err)
	}
}

// validateDestinationNumbers requires that each number is that of a destination, counted from 1.
func (f *File) validateDestinationNumbers(p *problems, at string, numbers []int) {
	count := f.destinationCount()
	for _, number := range numbers {
		p.require(number >= 1 && number <= count, "%s: destination %d does not exist, there are %d", at, number, count)
	}
}

func (f *File) validateTraffic(p *problems, bounds Bounds) {
	p.require(len(f.Traffic) > 0, "at least one [[traffic]] table is required")
	messages := 0.0
	for i, t := range f.Traffic {
		f.validateTrafficEntry(p, fmt.Sprintf("traffic %d", i+1), t)
		messages += t.Rate * (t.To - t.From).AsDuration().Seconds()
	}
	p.require(messages <= float64(bounds.MaxArrivals), "%.0f messages, %d at most", messages, bounds.MaxArrivals)
}

func (f *File) validateTrafficEntry(p *problems, at string, t Traffic) {
	p.require(
		t.From >= 0 && t.To > t.From && t.To <= f.Length,
		"%s: from must be before to, and both within length", at,
	)
	p.require(t.Rate > 0, "%s: rate must be above 0", at)
	shapes := []TrafficShape{ShapeSteady, ShapeBursts, ShapeDinner}
	requireOneOf(p, t.Shape, shapes, "%s: shape must be steady, bursts or dinner, not %q", at)
	p.require(t.BurstSize > 0 && t.BurstSize <= maxBurstSize, "%s: burst must be 1 to %d", at, maxBurstSize)
	p.require(t.BodySize >= 1 && t.BodySize <= maxBodySize, "%s: body must be 1 to %d bytes", at, maxBodySize)
	p.require(
		t.Class == "" || slices.ContainsFunc(f.Classes, func(c Class) bool { return c.Name == t.Class }),
		"%s: unknown class %q", at, t.Class,
	)
	p.require(
		t.Customer == "" || slices.ContainsFunc(f.Customers, func(c Customer) bool { return c.Name == t.Customer }),
		"%s: unknown customer %q", at, t.Customer,
	)
	f.validateDestinationNumbers(p, at, t.Destinations)
}
