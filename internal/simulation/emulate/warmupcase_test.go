package emulate

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// outageStart is when the outage of a warmUpCase begins: late enough for all relays to know the capacity of the
	// services.
	outageStart = 20 * time.Second
	// busiestShare is the share of the traffic that one relay has if the traffic is uneven.
	busiestShare = 0.9
)

// warmUpOutages are the kinds of outage.
var warmUpOutages = []struct {
	name            string
	op              scenario.Op
	failureRatio    float64 // of the calls, for OpFailCalls
	retryAfterRatio float64 // ratio of the rejections with a Retry-After
}{
	{"failing", scenario.OpFailCalls, 1, 0.5},
	{"mostly failing", scenario.OpFailCalls, 0.85, 0.5},
	{"hanging", scenario.OpSilence, 0, 0.5},
	{"crashed", scenario.OpCrash, 0, 0.5},
	{"cut off", scenario.OpCutOff, 0, 0.5},
	{"suspended", scenario.OpSuspend, 0, 0},
	{"suspended, with Retry-After", scenario.OpSuspend, 0, 1},
}

// weightAccuracy is how accurately the weights of endpoints state their capacity.
type weightAccuracy string

const (
	exactWeights       weightAccuracy = "exact"
	approximateWeights weightAccuracy = "approximate"
	unknownWeights     weightAccuracy = "unknown"
)

// warmUpCase is a destination that recovers from an outage and warms up.
type warmUpCase struct {
	seed              uint64
	relays            int
	endpoints         int
	separateEndpoints bool    // each endpoint is a service of its own
	rate              float64 // the limit of a service, in calls a second
	limit             upstream.LimitKind
	capacityRatio     float64 // ratio of the capacity of a warm service to its limit
	demandRatio       float64 // messages for each call that the limit allows
	uneven            bool    // one relay has most messages
	initialCapacity   float64 // ratio of the full capacity when the warm-up begins
	warmUp            time.Duration
	overloadFactor    float64
	window            time.Duration // span over which calls count towards an overload

	outage            int // index of warmUpOutages
	outageDuration    time.Duration
	endpointsReplaced bool // during the outage
	relaysRestarted   bool // during the warm-up

	weights    weightAccuracy
	quotaKnown bool // the relays know the tenants' quota
	deadline   time.Duration
	effect     eventlog.Effect
}

// drawWarmUpCase draws a case at random. Tests name cases by their seeds, so the order of the draws must stay.
func drawWarmUpCase(relays int, seed uint64) warmUpCase {
	rng := rand.New(rand.NewPCG(seed, uint64(relays)))
	between := func(a, b float64) float64 { return a + (b-a)*rng.Float64() }
	seconds := func(a, b float64) time.Duration {
		return time.Duration(between(a, b) * float64(time.Second)).Round(time.Millisecond)
	}
	c := warmUpCase{seed: seed, relays: relays}
	c.endpoints = 1 + rng.IntN(3)
	c.rate = math.Exp(between(math.Log(2), math.Log(120)))
	c.capacityRatio = between(1, 2)
	c.limit = []upstream.LimitKind{upstream.TokenBucket, upstream.FixedWindow, upstream.NoLimit}[rng.IntN(3)]
	c.demandRatio = between(0.5, 1.5)
	c.initialCapacity = between(0.05, 0.4)
	c.overloadFactor = between(1, 2.5)
	c.warmUp = seconds(5, 30)
	c.window = seconds(1, 5)
	c.outageDuration = seconds(6, 14)
	c.outage = rng.IntN(len(warmUpOutages))
	c.uneven = rng.IntN(2) == 0
	c.separateEndpoints = rng.IntN(3) == 0
	c.endpointsReplaced = rng.IntN(4) == 0
	c.relaysRestarted = rng.IntN(3) == 0
	c.weights = []weightAccuracy{exactWeights, approximateWeights, unknownWeights}[rng.IntN(3)]
	c.quotaKnown = rng.IntN(2) == 0
	c.deadline = seconds(8, 28)
	c.effect = []eventlog.Effect{eventlog.Idempotent, eventlog.IdempotentByKey}[rng.IntN(2)]
	if c.limit == upstream.NoLimit {
		c.capacityRatio = 1 // the rate is the capacity
	}
	return c
}

func (c warmUpCase) String() string {
	return fmt.Sprintf("%d relays, seed %d: limit of %.1f calls a second (%s), demand %.2f of it, "+
		"%d endpoints (separate %v), warm-up from %.2f in %v, overload factor %.2f over %v, %s for %v, uneven %v, "+
		"endpoints replaced %v, relays restarted %v, weights %s, quota known %v",
		c.relays, c.seed, c.rate, c.limit, c.demandRatio, c.endpoints, c.separateEndpoints, c.initialCapacity, c.warmUp,
		c.overloadFactor, c.window, warmUpOutages[c.outage].name, c.outageDuration, c.uneven,
		c.endpointsReplaced, c.relaysRestarted, c.weights, c.quotaKnown)
}

// recoveredAt returns the time at which the outage ends and the warm-up begins.
func (c warmUpCase) recoveredAt() time.Duration { return outageStart + c.outageDuration }

// end returns the time at which the warm-up ends.
func (c warmUpCase) end() time.Duration { return c.recoveredAt() + c.warmUp }

// demand returns how many messages a second clients submit in all.
func (c warmUpCase) demand() float64 {
	if c.separateEndpoints {
		return c.demandRatio * c.rate * float64(c.endpoints)
	}
	return c.demandRatio * c.rate
}

// bound returns the number of calls that may arrive in a window that ends at a time since the recovery: N + 2√N + 2.
// N is the product of the overload factor, the capacity at the end of the window and the length of the window.
// upstream.OverloadBudget allows less: N + √N.
func (c warmUpCase) bound(sinceRecovery time.Duration) float64 {
	warm := min(1, sinceRecovery.Seconds()/c.warmUp.Seconds())
	share := c.initialCapacity + (1-c.initialCapacity)*warm
	n := c.overloadFactor * share * c.rate * c.window.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// plan returns the plan of the case, without faults and messages.
func (c warmUpCase) plan(t testing.TB) scenario.Plan {
	t.Helper()
	file := c.file()
	file.SetDefaults()
	if err := file.ValidateWithin(scenario.EmulatorBounds); err != nil {
		t.Fatal(c, err)
	}
	file.Traffic = nil
	file.Clients.RetryRatio = new(float64)
	return file.Draw(c.seed + 1)
}

func (c warmUpCase) file() scenario.File {
	milliseconds := func(d time.Duration) scenario.Duration { return scenario.Duration(d.Round(time.Millisecond)) }
	// A service time of about 0.2 s gives the number of concurrent calls, which is rounded down. The exact service
	// time then follows from this number and the capacity.
	sharing := 1
	if !c.separateEndpoints {
		sharing = c.endpoints
	}
	maxConcurrentCalls := max(1, int(c.rate*c.capacityRatio*0.2/float64(sharing)))
	serviceTime := float64(sharing*maxConcurrentCalls) / (c.rate * c.capacityRatio)
	kind := scenario.DestinationKind{
		Name:                  "kind",
		SeparateEndpoints:     c.separateEndpoints,
		ServiceTime:           milliseconds(time.Duration(serviceTime * float64(time.Second))),
		ServiceTimeVariation:  0.5,
		MaxConcurrentCalls:    maxConcurrentCalls,
		MaxQueueTime:          scenario.Duration(500 * time.Millisecond),
		Limit:                 c.limit,
		LimitWindow:           scenario.Duration(time.Second),
		RetryAfterRatio:       warmUpOutages[c.outage].retryAfterRatio,
		MinRetryAfter:         scenario.Duration(300 * time.Millisecond),
		WarmUpInitialCapacity: c.initialCapacity,
		WarmUpDuration:        milliseconds(c.warmUp),
	}
	return scenario.File{
		Name:   "cold",
		Length: milliseconds(c.end() + time.Second),
		Relays: c.relays,
		Zones:  []string{"north", "south"},
		Settings: scenario.Settings{
			MaxConcurrentCalls: 40,
			MaxMessages:        400,
			OverloadFactor:     c.overloadFactor,
			OverloadWindow:     milliseconds(c.window),
		},
		Classes: []scenario.Class{{
			Name:             "order",
			Effect:           c.effect,
			DedupWindow:      scenario.Duration(10 * time.Second),
			LatencyObjective: milliseconds(c.deadline / 4),
			Deadline:         milliseconds(c.deadline),
			LateWeightRatio:  0.4,
		}},
		DestinationKinds: []scenario.DestinationKind{kind},
		Destinations:     []scenario.Destination{{Kind: "kind", LimitRate: c.rate, Endpoints: c.endpoints}},
		Traffic:          []scenario.Traffic{{Rate: 1}}, // for the validation
	}
}

// play plays the case with a mutant, or with correct relays if it is nil, and returns the calls that the services
// received in their warm-ups.
func (c warmUpCase) play(t testing.TB, mutant *Mutant) (worst warmUpCalls) {
	t.Helper()
	plan := c.plan(t)
	rng := rand.New(rand.NewPCG(c.seed, 77))
	for i := range plan.Endpoints {
		plan.Endpoints[i].Weight = c.rate
		if c.weights == approximateWeights {
			plan.Endpoints[i].Weight *= 2.0/3 + rng.Float64()*5/6
		}
	}
	run := &warmUpRun{warmUpCase: c, informedAt: map[*Service][]time.Duration{}}
	w, err := New(plan, run.options(mutant))
	if err != nil {
		t.Fatal(c, err)
	}
	run.World = w
	for _, s := range w.serviceOrder {
		run.informedAt[s] = make([]time.Duration, c.relays)
		s.OverloadFactor = 0 // never overloaded, so that the calls of the whole warm-up are counted
	}
	run.submit(rng)
	services := slices.Clone(w.serviceOrder) // the services that have the outage
	run.scheduleFaults(rng, services)
	if err := w.Run(c.end()); err != nil {
		t.Fatal(c, err)
	}
	for _, s := range services {
		worst = worse(worst, run.count(s))
	}
	return worst
}

// warmUpRun is a case that is being played.
type warmUpRun struct {
	warmUpCase
	*World
	// informedAt is when each relay first noticed the outage of a service by a failed call of its own; 0: never.
	informedAt map[*Service][]time.Duration
}

func (r *warmUpRun) options(mutant *Mutant) Options {
	return Options{
		Record:  true,
		Mutant:  mutant,
		Latency: 5 * time.Millisecond,
		ChangeSettings: func(s *policy.Settings) {
			s.ApproximateWeights = r.weights == approximateWeights
			s.IgnoreWeights = r.weights == unknownWeights
			if r.quotaKnown {
				s.Tenants = []policy.Tenant{{Quota: r.demand()}}
			}
		},
		OnStep: func(relay int, _ time.Duration, events []policy.Event, _ []policy.Action) {
			for i := range events {
				r.observe(relay, &events[i])
			}
		},
	}
}

// observe records when a relay first notices the outage.
func (r *warmUpRun) observe(relay int, e *policy.Event) {
	if e.Kind != policy.AttemptFinished || e.Outcome == policy.OK || e.Outcome == policy.NotSent {
		return
	}
	if r.Now() < outageStart || r.Now()-e.Latency >= r.recoveredAt() {
		return
	}
	if informedAt := r.informedAt[r.World.endpoints[e.Endpoint].service]; informedAt != nil {
		informedAt[relay] = cmp.Or(informedAt[relay], r.Now())
	}
}

// submit submits the messages.
func (r *warmUpRun) submit(rng *rand.Rand) {
	busiest := rng.IntN(r.relays())
	r.ScheduleRandomly(time.Second, r.end(), r.demand(), func() {
		relay := rng.IntN(r.relays())
		if r.uneven && rng.Float64() < busiestShare {
			relay = busiest
		}
		r.Submit(scenario.Arrival{Relay: relay, Destination: 1})
	})
}

func (r *warmUpRun) relays() int { return r.warmUpCase.relays }

// scheduleFaults schedules the outage, the replacement of endpoints and the restarts of relays.
func (r *warmUpRun) scheduleFaults(rng *rand.Rand, services []*Service) {
	outage := warmUpOutages[r.outage]
	r.Schedule(outageStart, func() {
		for _, s := range services {
			r.BeginOutage(s.Name, outage.op, outage.failureRatio, r.outageDuration)
		}
	})
	if r.endpointsReplaced {
		r.Schedule(outageStart+r.outageDuration/2, r.replaceEndpoints)
	}
	if r.relaysRestarted {
		for relay := range r.relays() {
			if rng.IntN(3) == 0 {
				at := r.recoveredAt() + time.Duration(rng.Float64()*float64(r.warmUp)/2)
				r.Schedule(at, func() { r.Kill(relay, false) })
			}
		}
	}
	r.Schedule(r.recoveredAt(), func() {
		for _, s := range services {
			r.EndOutage(s.Name)
		}
	})
}

// replaceEndpoints replaces every second endpoint by one in the same outage. An endpoint that is a service of its own
// is not replaced, since a new service would not be in the outage.
func (r *warmUpRun) replaceEndpoints() {
	outage := warmUpOutages[r.outage]
	for i, old := range r.World.plan.Endpoints {
		if i%2 == 1 || old.Service == old.ID {
			continue
		}
		replacement := old
		replacement.ID += "-2"
		r.AddEndpoint(replacement)
		added := r.World.endpoints[replacement.ID]
		added.down = outage.op == scenario.OpCrash
		added.unreachable = outage.op == scenario.OpCutOff
		r.ChangeEndpoint(old.ID, eventlog.StateGone)
		r.stopEndpoint(r.World.endpoints[old.ID])
	}
}

// warmUpCalls describes the calls that services received in their warm-ups, in the worst of all windows.
type warmUpCalls struct {
	byAll      float64       // ratio of the calls of all relays to the bound
	byInformed float64       // ratio of the calls of relays that knew of the outage to the bound
	worstAt    time.Duration // time of byAll since the recovery
	calls      int
	exceeded   bool // a window exceeded the bound
	violated   bool // informed relays made over two thirds of the calls of the first such window: a violation
}

// kept reports whether the relays that knew of the outage kept the bound, and violated is not set.
func (c warmUpCalls) kept() bool { return c.byInformed <= 1 && !c.violated }

func worse(a, b warmUpCalls) warmUpCalls {
	if b.byAll > a.byAll {
		a.byAll, a.worstAt = b.byAll, b.worstAt
	}
	a.byInformed = max(a.byInformed, b.byInformed)
	a.calls += b.calls
	a.exceeded = a.exceeded || b.exceeded
	a.violated = a.violated || b.violated
	return a
}

// count compares the calls in each window that ends with a call in the warm-up of a service with the bound at the end
// of the window.
func (r *warmUpRun) count(s *Service) (counted warmUpCalls) {
	type arrival struct {
		at       time.Duration
		informed bool
	}
	var window []arrival
	for _, e := range r.events {
		if e.Kind != eventlog.CallReceived || r.World.endpoints[e.Endpoint].service != s ||
			e.At < r.recoveredAt() || e.At >= r.end() {
			continue
		}
		counted.calls++
		informedAt := r.informedAt[s][r.relay(e.Relay).index]
		window = append(window, arrival{at: e.At, informed: informedAt > 0 && informedAt <= e.At})
		for window[0].at <= e.At-r.window {
			window = window[1:]
		}
		all, informed := float64(len(window)), 0.0
		for _, a := range window {
			if a.informed {
				informed++
			}
		}
		sinceRecovery := e.At - r.recoveredAt()
		bound := r.bound(sinceRecovery)
		if all/bound > counted.byAll {
			counted.byAll, counted.worstAt = all/bound, sinceRecovery
		}
		counted.byInformed = max(counted.byInformed, informed/bound)
		if all > bound && !counted.exceeded {
			counted.exceeded = true
			counted.violated = informed > all*2/3
		}
	}
	return counted
}
