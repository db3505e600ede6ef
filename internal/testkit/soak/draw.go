// Package soak plays scenarios that are drawn from seeds: settings, classes, traffic and several faults at once. It
// reports for each seed whether the six rules held, and makes a scenario that violates one smaller.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

const (
	// scenarioLength is the time during which messages are submitted.
	scenarioLength = 8 * time.Second
	// lastFaultStart is the latest start of a fault.
	lastFaultStart = 6 * time.Second
	// maxStall is the longest time for which a relay's process is stopped.
	maxStall = 150 * time.Millisecond
	// drawStream is the stream of the random numbers that scenarios are drawn from.
	drawStream = 0x736f616b

	minRelays, maxRelays         = 2, 5
	minWireFaults, maxWireFaults = 2, 4
	minFaults, maxFaults         = 3, 6
	destinations                 = 5
)

// wireFaults are the faults on the wire of answers.
var wireFaults = []scenario.FaultKind{
	scenario.FaultCopyAnswers,
	scenario.FaultStrayAnswers,
	scenario.FaultInformational,
	scenario.FaultCutAnswers,
	scenario.FaultTrickleAnswers,
	scenario.FaultJunkAnswers,
	scenario.FaultBreakIdle,
}

// listFaults are the faults that replace endpoints. Two of them in a scenario could replace the same one.
var listFaults = []scenario.FaultKind{scenario.FaultDrain, scenario.FaultRemove}

// otherFaults are the faults of services, discovery and relays.
var otherFaults = []scenario.FaultKind{
	scenario.FaultFailCalls,
	scenario.FaultSuspend,
	scenario.FaultSlow,
	scenario.FaultLowerLimit,
	scenario.FaultLoseAnswers,
	scenario.FaultSilence,
	scenario.FaultCrash,
	scenario.FaultDiscoveryDown,
	scenario.FaultDiscoveryDelay,
	scenario.FaultCopyReplies,
	scenario.FaultRepeatEntries,
	scenario.FaultReload,
	scenario.FaultStall,
}

// drawing draws the values of a scenario.
type drawing struct{ *rand.Rand }

// between draws a time.
func (d drawing) between(shortest, longest time.Duration) scenario.Duration {
	drawn := shortest + time.Duration(d.Int64N(int64(longest-shortest)+1))
	return scenario.Duration(drawn.Truncate(time.Millisecond))
}

// ratio draws a number between two others, with two decimals.
func (d drawing) ratio(low, high float64) float64 {
	return float64(int(100*(low+d.Float64()*(high-low)))) / 100
}

// count draws a number between two others, both included.
func (d drawing) count(low, high int) int { return low + d.IntN(high-low+1) }

// oneOf draws one of several values.
func oneOf[T any](d drawing, values ...T) T { return values[d.IntN(len(values))] }

// Draw returns the scenario of a seed. The same seed always gives the same scenario.
func Draw(seed uint64) (scenario.File, error) {
	d := drawing{rand.New(rand.NewPCG(seed, drawStream))}
	file := scenario.File{
		Name:        fmt.Sprintf("soak-%d", seed),
		Description: "Drawn from a seed: settings, traffic and several faults at once.",
		Length:      scenario.Duration(scenarioLength),
		Seed:        seed,
		Relays:      d.count(minRelays, maxRelays),
		Zones:       []string{"north", "south"},
		Settings:    d.settings(),
		Classes:     d.classes(),
		Customers: []scenario.Customer{
			{Name: "burgers", TrafficShare: 3, Quota: 60},
			{Name: "pizza", TrafficShare: 1, Quota: 20},
		},
		DestinationKinds: d.kinds(),
		Destinations: []scenario.Destination{
			{Kind: "delivery", Count: 2, LimitRate: float64(d.count(20, 40)), TrafficWeight: 4},
			{Kind: "gateway", Count: 2, LimitRate: float64(d.count(10, 25)), TrafficWeight: 2},
			{Kind: "store", Count: 1, LimitRate: float64(d.count(15, 30)), TrafficWeight: 2},
		},
		Traffic: []scenario.Traffic{{
			Rate:     float64(d.count(40, 90)),
			Shape:    oneOf(d, scenario.ShapeSteady, scenario.ShapeBursts),
			BodySize: oneOf(d, 1, 200, 5000),
		}},
	}
	d.addFaults(&file)
	return reparse(file)
}

// reparse sets the defaults of a scenario and validates it.
func reparse(file scenario.File) (scenario.File, error) {
	data, err := file.Encode()
	if err != nil {
		return scenario.File{}, err
	}
	return scenario.Parse(file.Name, data)
}

func (d drawing) settings() scenario.Settings {
	duplicates := d.IntN(2) == 0
	return scenario.Settings{
		MaxConcurrentCalls: d.count(10, 40),
		MaxMessages:        d.count(60, 400),
		MaxAttempts:        d.count(4, 8),
		DuplicatesAllowed:  &duplicates,
		KeepAliveTimeout:   d.between(2*time.Second, 15*time.Second),
		ConnectTimeout:     d.between(500*time.Millisecond, 1500*time.Millisecond),
		MaxSockets:         d.count(128, 512),
	}
}

func (d drawing) classes() []scenario.Class {
	keyed := scenario.Class{
		Name:             "order-message",
		TrafficShare:     6,
		Effect:           eventlog.IdempotentByKey,
		DedupScope:       oneOf(d, scenario.DedupInZone, scenario.DedupInZone, scenario.DedupAcrossZones),
		DedupWindow:      d.between(time.Second, 8*time.Second),
		LatencyObjective: d.between(time.Second, 2*time.Second),
		Deadline:         d.between(2500*time.Millisecond, 7*time.Second),
	}
	unsafe := scenario.Class{
		Name:             "payment",
		TrafficShare:     2,
		Effect:           eventlog.NonIdempotent,
		LatencyObjective: d.between(time.Second, 2*time.Second),
		Deadline:         d.between(2500*time.Millisecond, 6*time.Second),
	}
	safe := scenario.Class{
		Name:             "status",
		TrafficShare:     2,
		Effect:           eventlog.Idempotent,
		Ordered:          d.IntN(2) == 0,
		LatencyObjective: d.between(500*time.Millisecond, 2*time.Second),
		Deadline:         d.between(2500*time.Millisecond, 5*time.Second),
	}
	return []scenario.Class{keyed, unsafe, safe}
}

func (d drawing) kinds() []scenario.DestinationKind {
	kind := func(name string, perCall int, limit upstream.LimitKind) scenario.DestinationKind {
		return scenario.DestinationKind{
			Name:                 name,
			MaxMessagesPerCall:   perCall,
			ServiceTime:          d.between(20*time.Millisecond, 250*time.Millisecond),
			ServiceTimeVariation: 0.5,
			MaxConcurrentCalls:   d.count(3, 8),
			ExtraMessageCost:     0.1,
			Limit:                limit,
			RetryAfterRatio:      d.ratio(0, 0.8),
			MinRetryAfter:        d.between(200*time.Millisecond, 800*time.Millisecond),
		}
	}
	delivery := kind("delivery", oneOf(d, 4, 10), upstream.TokenBucket)
	gateway := kind("gateway", 1, upstream.FixedWindow)
	gateway.SeparateEndpoints = true
	store := kind("store", oneOf(d, 1, 1, 3), upstream.TokenBucket)
	return []scenario.DestinationKind{delivery, gateway, store}
}

// addFaults draws the faults of a scenario: some on the wire, some others, and a series of signals to one relay.
func (d drawing) addFaults(file *scenario.File) {
	for range d.count(minWireFaults, maxWireFaults) {
		file.Faults = append(file.Faults, d.fault(oneOf(d, wireFaults...), file.Relays))
	}
	for range d.count(minFaults, maxFaults) {
		file.Faults = append(file.Faults, d.fault(oneOf(d, otherFaults...), file.Relays))
	}
	if d.IntN(2) == 0 {
		file.Faults = append(file.Faults, d.fault(oneOf(d, listFaults...), file.Relays))
	}
	file.Faults = append(file.Faults, d.signals(file.Relays)...)
}

// fault draws a fault of a kind.
func (d drawing) fault(kind scenario.FaultKind, relays int) scenario.Fault {
	fault := scenario.Fault{
		Kind:     kind,
		Start:    d.between(200*time.Millisecond, lastFaultStart),
		Duration: d.between(500*time.Millisecond, 3*time.Second),
	}
	switch kind {
	case scenario.FaultDiscoveryDown, scenario.FaultDiscoveryDelay:
		fault.Delay = d.between(100*time.Millisecond, 2*time.Second)
		fault.Relays = []int{d.count(1, relays)}
	case scenario.FaultCopyReplies, scenario.FaultRepeatEntries:
		fault.CallRatio = d.ratio(0.2, 1)
		fault.Delay = d.between(0, time.Second)
		fault.Relays = []int{d.count(1, relays)}
	case scenario.FaultReload:
		fault.Duration = 0
		fault.Relays = []int{d.count(1, relays)}
	case scenario.FaultStall:
		fault.Duration = d.between(20*time.Millisecond, maxStall)
		fault.Relays = []int{d.count(1, relays)}
	case scenario.FaultDrain, scenario.FaultRemove:
		fault.Share = d.ratio(0.1, 0.4)
		fault.DrainTime = d.between(time.Second, 3*time.Second)
		fault.ReplaceEndpoints = true
		fault.SameAddressRatio = 0.5
	default:
		fault.Share = d.ratio(0.2, 1)
		fault.CallRatio = d.ratio(0.1, 0.5)
		fault.Factor = d.ratio(2, 10)
		fault.Delay = oneOf(d, 0, d.between(0, 20*time.Millisecond), d.between(0, 2*time.Second))
	}
	return fault
}

// signals draws a series of signals to one relay, which ends with a restart.
func (d drawing) signals(relays int) (faults []scenario.Fault) {
	at := d.between(time.Second, 5*time.Second)
	target := []int{d.count(1, relays)}
	for _, kind := range oneOf(d,
		[]scenario.FaultKind{scenario.FaultReload, scenario.FaultReload, scenario.FaultTerminate},
		[]scenario.FaultKind{scenario.FaultReload, scenario.FaultKill},
		[]scenario.FaultKind{scenario.FaultTerminate, scenario.FaultKill},
		[]scenario.FaultKind{scenario.FaultKill, scenario.FaultKill},
	) {
		faults = append(faults, scenario.Fault{Kind: kind, Start: at, Relays: target})
		at += d.between(0, 300*time.Millisecond)
	}
	return faults
}
