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

	// idleLevel is the sum of a counter's levels below which it counts as idle and is removed.
	idleLevel = 1e-6

	// Rates are rounded to what takes two bytes on the wire (half-precision floats): rateMantissaBits binary digits,
	// at most maxWireRate, and rates below minWireRate a second count as zero.
	rateMantissaBits = 11
	minWireRate      = 1e-3
	maxWireRate      = 65000
)

// scopeCounter counts the traffic of one limit scope. Its fields are exported for snapshots alone.
type scopeCounter struct {
	UpdatedAt time.Duration `cbor:"At"`
	// Demand and the four fields after it are levels: a rate times rateWindow.
	Demand          float64       `cbor:"Demand"`
	Calls           float64       `cbor:"Calls"`
	Rejections      float64       `cbor:"Refusals"`
	Deliveries      float64       `cbor:"Deliveries"`
	Failures        float64       `cbor:"Failures"`
	Backlog         int           `cbor:"Backlog"`
	RetryAfterUntil time.Duration `cbor:"Wait"`
	WarmingUp       bool          `cbor:"Cold"`
}

// decay reduces the levels by the time since the last update.
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

// load is the counter as it is reported to the other members.
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

// wireRate is a level as a rate a second, rounded to what takes two bytes on the wire.
func wireRate(level float64) float64 {
	rate := level / rateWindow.Seconds()
	if rate < minWireRate {
		return 0
	}
	fraction, exponent := math.Frexp(min(rate, maxWireRate))
	return math.Ldexp(math.Round(fraction*(1<<rateMantissaBits))/(1<<rateMantissaBits), exponent)
}

// counter returns the scope's counter with its levels as of now.
func (a *Agent) counter(scope quota.Scope) *scopeCounter {
	counter := a.Counters[scope]
	if counter == nil {
		counter = &scopeCounter{UpdatedAt: a.Now}
		a.Counters[scope] = counter
	}
	counter.decay(a.Now)
	return counter
}

// scopeOf returns the limit scope of an endpoint: its destination, or the endpoint itself if its kind limits each
// endpoint by itself.
func (a *Agent) scopeOf(endpoint string) quota.Scope {
	info := a.Endpoints[endpoint]
	if a.destinationKind(info.Kind).LimitPerEndpoint {
		return quota.Scope{Destination: info.Destination, Endpoint: endpoint}
	}
	return quota.Scope{Destination: info.Destination}
}

// destinationKind returns a kind by its index; the zero kind for an index that the settings do not have.
func (a *Agent) destinationKind(index int) policy.DestinationKind {
	if index < 0 || index >= len(a.Settings.DestinationKinds) {
		return policy.DestinationKind{}
	}
	return a.Settings.DestinationKinds[index]
}

// countSentCalls turns the messages that this step sent into calls: one call may carry a batch of them. Endpoints are
// taken in order, because sums of floats depend on it.
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
