package agent

import (
	"maps"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// rateWindow is the time constant of the exponentially decaying averages: rates are means over about this long.
	rateWindow = 5 * time.Second

	// A counter without a backlog or a Retry-After is idle, and is removed, when its levels add up to less than
	// idleLevel.
	idleLevel = 1e-6

	// Rates are rounded so that the codec encodes them in two bytes, as half-precision floats: to rateMantissaBits
	// significant bits and at most maxWireRate a second. Rates below minWireRate a second count as zero.
	rateMantissaBits = 11
	minWireRate      = 1e-3
	maxWireRate      = 65000
)

// scopeCounter counts the traffic of one limit scope. Its fields are exported only for encoding in snapshots.
type scopeCounter struct {
	UpdatedAt time.Duration `cbor:"At"`
	// The five fields from Demand to Failures are levels: each is a rate a second multiplied by rateWindow in
	// seconds.
	Demand          float64       `cbor:"Demand"`
	Calls           float64       `cbor:"Calls"`
	Rejections      float64       `cbor:"Refusals"`
	Deliveries      float64       `cbor:"Deliveries"`
	Failures        float64       `cbor:"Failures"`
	Backlog         int           `cbor:"Backlog"`
	RetryAfterUntil time.Duration `cbor:"Wait"`
	WarmingUp       bool          `cbor:"Cold"`
}

// decay reduces the levels according to the time since the last update.
func (c *scopeCounter) decay(now time.Duration) {
	if now > c.UpdatedAt {
		factor := math.Exp(-float64(now-c.UpdatedAt) / float64(rateWindow))
		c.Demand *= factor
		c.Calls *= factor
		c.Rejections *= factor
		c.Deliveries *= factor
		c.Failures *= factor
	}
	c.UpdatedAt = now
}

func (c *scopeCounter) idle(now time.Duration) bool {
	level := c.Demand + c.Calls + c.Rejections + c.Deliveries + c.Failures
	return c.Backlog == 0 && c.RetryAfterUntil <= now && level < idleLevel
}

// load returns the counter's values as they are published to the other members.
func (c *scopeCounter) load(scope quota.Scope, now time.Duration) loadreport.ScopeLoad {
	return loadreport.ScopeLoad{
		Destination: scope.Destination,
		Endpoint:    scope.Endpoint,
		Demand:      wireRate(c.Demand),
		Calls:       wireRate(c.Calls),
		Rejections:  wireRate(c.Rejections),
		Deliveries:  wireRate(c.Deliveries),
		Failures:    wireRate(c.Failures),
		Backlog:     c.Backlog,
		RetryAfter:  max(0, c.RetryAfterUntil-now).Round(time.Millisecond),
		WarmingUp:   c.WarmingUp,
	}
}

// wireRate converts a level to a rate a second, rounded so that it takes two bytes on the wire.
func wireRate(level float64) float64 {
	rate := level / rateWindow.Seconds()
	if rate < minWireRate {
		return 0
	}
	fraction, exponent := math.Frexp(min(rate, maxWireRate))
	return math.Ldexp(math.Round(fraction*(1<<rateMantissaBits))/(1<<rateMantissaBits), exponent)
}

// counter returns the scope's counter, with its levels as of now. It creates the counter if there is none.
func (a *Agent) counter(scope quota.Scope) *scopeCounter {
	counter := a.Counters[scope]
	if counter == nil {
		counter = &scopeCounter{UpdatedAt: a.Now}
		a.Counters[scope] = counter
	}
	counter.decay(a.Now)
	return counter
}

// scopeOf returns the limit scope of an endpoint: the endpoint alone if its destination kind limits each endpoint
// separately, otherwise its destination.
func (a *Agent) scopeOf(endpoint string) quota.Scope {
	info := a.Endpoints[endpoint]
	if a.destinationKind(info.Kind).LimitPerEndpoint {
		return quota.Scope{Destination: info.Destination, Endpoint: endpoint}
	}
	return quota.Scope{Destination: info.Destination}
}

// destinationKind returns the destination kind with an index, or the zero kind if the index is out of range.
func (a *Agent) destinationKind(index int) policy.DestinationKind {
	if index < 0 || index >= len(a.Settings.DestinationKinds) {
		return policy.DestinationKind{}
	}
	return a.Settings.DestinationKinds[index]
}

// countSentCalls counts the calls with which this step sent its messages. One call may carry a batch of messages to
// an endpoint. Endpoints are processed in sorted order, because the rounding of float sums depends on the order.
func (a *Agent) countSentCalls() {
	for _, endpoint := range slices.Sorted(maps.Keys(a.sentMessages)) {
		messages := a.sentMessages[endpoint]
		batch := a.destinationKind(a.Endpoints[endpoint].Kind).BatchSize()
		calls := (messages + batch - 1) / batch
		a.counter(a.scopeOf(endpoint)).Calls += float64(calls)
	}
	clear(a.sentMessages)
}

func (a *Agent) removeIdleCounters(now time.Duration) {
	maps.DeleteFunc(a.Counters, func(_ quota.Scope, counter *scopeCounter) bool {
		counter.decay(now)
		return counter.idle(now)
	})
}
