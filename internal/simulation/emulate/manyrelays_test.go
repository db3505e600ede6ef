package emulate

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// sharedRate is the limit of the destination in most tests of fleets, in calls a second.
	sharedRate = 40.0
	// smallRate is a limit in calls a second at which each of 300 relays may make one call in eleven seconds.
	smallRate = 27.0
)

// sharedLimit returns a kind of destination with a rate limit that rejected calls count against, too.
func sharedLimit() scenario.DestinationKind {
	return scenario.DestinationKind{
		ServiceTime:        scenario.Duration(200 * time.Millisecond),
		MaxConcurrentCalls: 8,
		Limit:              upstream.TokenBucket,
		CountsRejected:     true,
	}
}

// startFleet starts a fleet with one destination of the kind sharedLimit. The endpoints' weights state the limit.
func startFleet(t testing.TB, relays int, seed uint64, limitRate float64, options Options) *testWorld {
	t.Helper()
	return worldSpec{
		relays:      relays,
		seed:        seed,
		kind:        sharedLimit(),
		destination: scenario.Destination{LimitRate: limitRate},
		options:     options,
	}.start(t)
}

// knownQuota sets the number of messages a second that all tenants submit in the relays' settings.
func knownQuota(quota float64) Options {
	return Options{ChangeSettings: func(s *policy.Settings) { s.Tenants = []policy.Tenant{{Quota: quota}} }}
}

// crashServices crashes the endpoints of all services at one time, and restores them at another.
func crashServices(w *testWorld, from, to time.Duration) {
	atEachService(w, from, func(s *Service) { w.BeginOutage(s.Name, scenario.OpCrash, 0, 0) })
	atEachService(w, to, func(s *Service) { w.EndOutage(s.Name) })
}

// TestThreeHundredRelaysAtSmallLimit: the demand of 300 relays is below, near or above a small limit, the limit is
// lowered to a third for nine seconds, or the destination has an outage of five seconds. The whole fleet sends little
// more than the limit in any ten seconds, and the destination serves a minimum part of the demand. If relays do not
// pace their calls from the start, all cases but the first fail.
func TestThreeHundredRelaysAtSmallLimit(t *testing.T) {
	const relays, seeds = 300, 3
	for _, c := range []struct {
		name      string
		demand    float64 // ratio to the limit
		minServed float64 // ratio to the lesser of the demand and the limit, from 10 s on
		maxSent   float64 // ratio of the calls sent in ten seconds to the limit
		fault     func(w *testWorld)
	}{
		{"half", 0.5, 0.9, 0.75, nil},
		{"near", 0.8, 0.75, 1.1, nil},
		{"over", 1.3, 0.5, 1.2, nil},
		{"lowered to a third for nine seconds", 0.8, 0.5, 1.1, func(w *testWorld) {
			w.Schedule(20*time.Second, func() { w.serviceOrder[0].LimitRate /= 3 })
			w.Schedule(29*time.Second, func() { w.serviceOrder[0].LimitRate *= 3 })
		}},
		{"down for five seconds and cold", 0.8, 0.5, 1.2, func(w *testWorld) {
			crashServices(w, 20*time.Second, 25*time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			served, maxSent := 0.0, 0.0
			for seed := range uint64(seeds) {
				w := startFleet(t, relays, seed, smallRate, knownQuota(c.demand*smallRate))
				submitRandomly(w, time.Second, 60*time.Second, c.demand*smallRate)
				if c.fault != nil {
					c.fault(w)
				}
				sentBefore := 0
				for at := 10 * time.Second; at <= 60*time.Second; at += 10 * time.Second {
					w.run(t, at)
					sent := w.CallsServed + w.CallsRejected
					maxSent = max(maxSent, float64(sent-sentBefore)/(10*smallRate))
					sentBefore = sent
				}
				rate := w.deliveryRate(10*time.Second, 60*time.Second)
				served += rate / (smallRate * min(1, c.demand)) / seeds
				if w.serviceOrder[0].Overloaded() {
					t.Errorf("seed %d: the service was overloaded", seed)
				}
			}
			t.Logf("%.2f served, at most %.2f of the limit sent in ten seconds", served, maxSent)
			if served < c.minServed || maxSent > c.maxSent {
				t.Errorf("%.2f served, want at least %.2f; %.2f of the limit sent in ten seconds, want at most %.2f",
					served, c.minServed, maxSent, c.maxSent)
			}
		})
	}
}

// TestBusyRelayAmongThreeHundred: one of 300 relays has twenty times the mean traffic. About a third of its messages
// are delivered, and at least a quarter must be. When all relays had equal pacing rates, only a seventh was
// delivered.
func TestBusyRelayAmongThreeHundred(t *testing.T) {
	const relays, busy = 300, 17
	w := startFleet(t, relays, 1, smallRate, knownQuota(0.7*smallRate))
	submitRandomly(w, time.Second, 60*time.Second, 0.65*smallRate)
	submitted := 0
	w.ScheduleRandomly(time.Second, 45*time.Second, 20*0.7*smallRate/relays, func() {
		submitted++
		w.Submit(scenario.Arrival{Relay: busy, Destination: 1})
	})
	delivered := countDeliveriesBy(w, busy)
	w.run(t, 60*time.Second)
	t.Logf("%d of %d delivered", *delivered, submitted)
	if *delivered < submitted/4 {
		t.Errorf("%d of %d delivered, want at least a quarter", *delivered, submitted)
	}
}

// TestManyRelaysShareLimit: fleets of all sizes use most of a limit that rejected calls count against, and few of
// their calls are rejected, with a demand below the limit and above it. When relays did not pace their calls from the
// start, 80 relays with a demand of 1.3 times the limit had 37 % of their calls rejected, and 0.57 of the limit was
// served.
func TestManyRelaysShareLimit(t *testing.T) {
	const seeds = 5
	for _, c := range []struct {
		relays      int
		demand      float64 // ratio to the limit
		minServed   float64 // ratio to the lesser of the demand and the limit, mean over the seeds
		maxRejected float64 // ratio of the rejected calls to all calls
	}{
		{2, 0.8, 0.9, 0.1},
		{20, 0.8, 0.9, 0.1},
		{80, 0.8, 0.85, 0.15},
		{80, 1.3, 0.6, 0.3},
		{300, 0.8, 0.9, 0.1},
	} {
		served, rejected := 0.0, 0.0
		for seed := range uint64(seeds) {
			w := startFleet(t, c.relays, seed, sharedRate, Options{})
			submitRandomly(w, time.Second, 40*time.Second, c.demand*sharedRate)
			w.run(t, 41*time.Second)
			served += w.deliveryRate(5*time.Second, 40*time.Second) / (sharedRate * min(1, c.demand)) / seeds
			rejected += float64(w.CallsRejected) / float64(w.CallsRejected+w.CallsServed) / seeds
		}
		t.Logf("%d relays, demand of %.1f of the limit: %.2f served, %.2f of the calls rejected",
			c.relays, c.demand, served, rejected)
		if served < c.minServed || rejected > c.maxRejected {
			t.Errorf("%d relays, demand of %.1f of the limit: %.2f served, want at least %.2f; "+
				"%.2f of the calls rejected, want at most %.2f",
				c.relays, c.demand, served, c.minServed, rejected, c.maxRejected)
		}
	}
}

// TestManyRelaysLimitLoweredForAWhile: the limit is lowered to a quarter for nine seconds. Within 20 s of the end of
// the fault, the effects of the rejections end and 80 % of the demand is delivered.
func TestManyRelaysLimitLoweredForAWhile(t *testing.T) {
	const seeds, demand = 5, 0.7 * sharedRate
	for _, relays := range []int{2, 20, 80} {
		slowest, rejected := time.Duration(0), 0
		for seed := range uint64(seeds) {
			w := startFleet(t, relays, seed, sharedRate, Options{})
			submitRandomly(w, time.Second, 70*time.Second, demand)
			lowerLimit(w, 20*time.Second, 29*time.Second)
			w.run(t, 75*time.Second)
			slowest = max(slowest, recoveryTime(w, 29*time.Second, 35*time.Second, 0.8*demand))
			rejected += w.CallsRejected
		}
		t.Logf("%d relays: recovered at most %v after the fault, %d calls rejected per run",
			relays, slowest, rejected/seeds)
		if slowest > 20*time.Second {
			t.Errorf("%d relays: recovered %v after the fault, want at most 20s", relays, slowest)
		}
	}
}

// TestManyRelaysLimitLoweredForGood: the limit is lowered to a quarter permanently, but the endpoint list still
// states the old limit. The pacing rates stay low, and at least a fifth of the lowered limit is used.
func TestManyRelaysLimitLoweredForGood(t *testing.T) {
	const seeds, loweredRate = 5, sharedRate / 4
	for _, relays := range []int{2, 20, 80} {
		used := 0.0
		for seed := range uint64(seeds) {
			w := startFleet(t, relays, seed, sharedRate, Options{})
			submitRandomly(w, time.Second, 90*time.Second, 0.7*sharedRate)
			w.Schedule(20*time.Second, func() { w.serviceOrder[0].LimitRate /= 4 })
			w.run(t, 90*time.Second)
			used += w.deliveryRate(40*time.Second, 90*time.Second) / loweredRate / seeds
		}
		// With 80 relays it was 0.12 when relays did not pace their calls from the start, and the pacing rate of a
		// relay was at least half an equal part.
		t.Logf("%d relays: %.2f of the lowered limit used", relays, used)
		if used < 0.2 {
			t.Errorf("%d relays: %.2f of the lowered limit used, want at least 0.2", relays, used)
		}
	}
}

// TestManyRelaysAfterOutage: a destination has an outage of five seconds, which is shorter than many of the pauses
// between a relay's calls. After it, the calls of all relays do not overload the destination, and 80 % of the demand
// is delivered within 20 s.
func TestManyRelaysAfterOutage(t *testing.T) {
	const demand = 0.7 * sharedRate
	for _, relays := range []int{2, 20, 80, 300} {
		slowest := time.Duration(0)
		for seed := range uint64(5) {
			w := startFleet(t, relays, seed, sharedRate, Options{})
			submitRandomly(w, time.Second, 70*time.Second, demand)
			crashServices(w, 20*time.Second, 25*time.Second)
			w.run(t, 75*time.Second)
			slowest = max(slowest, recoveryTime(w, 25*time.Second, 40*time.Second, 0.8*demand))
			if w.serviceOrder[0].Overloaded() {
				t.Errorf("%d relays, seed %d: the service was overloaded", relays, seed)
			}
		}
		t.Logf("%d relays: recovered at most %v after the outage", relays, slowest)
		if slowest > 20*time.Second {
			t.Errorf("%d relays: recovered %v after the outage, want at most 20s", relays, slowest)
		}
	}
}

// TestQuietRelayAmongBusyRelays: all relays but one have a backlog. The quiet relay delivers at least three quarters
// of its messages, and the whole fleet uses at least half of the limit.
func TestQuietRelayAmongBusyRelays(t *testing.T) {
	const relays, quiet = 80, 79
	w := startFleet(t, relays, 1, sharedRate, Options{})
	n := 0
	w.ScheduleRandomly(time.Second, 40*time.Second, 1.1*sharedRate, func() {
		n++
		w.Submit(scenario.Arrival{Relay: n % quiet, Destination: 1})
	})
	submitted := 0
	w.ScheduleRandomly(10*time.Second, 40*time.Second, 0.1, func() {
		submitted++
		w.Submit(scenario.Arrival{Relay: quiet, Destination: 1})
	})
	delivered := countDeliveriesBy(w, quiet)
	w.run(t, 55*time.Second)
	rate := w.deliveryRate(10*time.Second, 40*time.Second)
	if submitted == 0 || *delivered < submitted*3/4 || rate < 0.5*sharedRate {
		t.Errorf("%d of %d messages of the quiet relay delivered; %.1f messages a second of all relays, limit %.0f",
			*delivered, submitted, rate, sharedRate)
	}
}

// TestOnlyBusyRelayAmongMany: one relay has all the traffic of a fleet. It may exceed its equal part of the limit,
// and at least half of its demand is delivered after 40 s.
func TestOnlyBusyRelayAmongMany(t *testing.T) {
	const demand = sharedRate / 4
	w := startFleet(t, 80, 1, sharedRate, Options{})
	w.ScheduleRandomly(time.Second, 60*time.Second, demand, func() {
		w.Submit(scenario.Arrival{Relay: 7, Destination: 1})
	})
	w.run(t, 61*time.Second)
	early := w.deliveryRate(5*time.Second, 20*time.Second) / demand
	late := w.deliveryRate(40*time.Second, 60*time.Second) / demand
	t.Logf("served %.2f of the demand at first, %.2f after 40 s", early, late)
	if late < 0.5 {
		t.Errorf("served %.2f of the demand after 40 s, want at least 0.5", late)
	}
}

// TestManyRelaysRestartTogether: all relays are killed within a second, half of them with a backlog of messages in
// their journals, and restart together. They send the recovered messages at the pacing rates of a fleet, not all at
// once.
func TestManyRelaysRestartTogether(t *testing.T) {
	const seeds, demand = 5, 0.7 * sharedRate
	served, rejected := 0.0, 0
	for seed := range uint64(seeds) {
		w := startFleet(t, 80, seed, sharedRate, Options{Record: true})
		submitRandomly(w, time.Second, 40*time.Second, demand)
		w.Schedule(19500*time.Millisecond, func() { // four messages at once to every second relay
			for relay := 0; relay < len(w.relays); relay += 2 {
				for range 4 {
					w.Submit(scenario.Arrival{Relay: relay, Destination: 1})
				}
			}
		})
		for relay := range w.relays {
			w.Schedule(20*time.Second+time.Duration(relay)*5*time.Millisecond, func() { w.Kill(relay, false) })
		}
		w.run(t, 20*time.Second)
		rejectedBefore := w.CallsRejected
		w.run(t, 26*time.Second)
		rejected += w.CallsRejected - rejectedBefore
		w.run(t, 45*time.Second)
		served += w.deliveryRate(26*time.Second, 40*time.Second) / demand / seeds
		w.run(t, 60*time.Second) // all deadlines have passed
		if rules := violatedRules(checkRecord(t, w.World)); len(rules) > 0 {
			t.Errorf("seed %d: violated: %v", seed, rules)
		}
	}
	t.Logf("%d calls rejected per run in the six seconds from the kill, "+
		"%.2f of the demand served in the next fourteen", rejected/seeds, served)
	if rejected/seeds > 50 || served < 0.85 {
		t.Errorf("%d calls rejected per run, want at most 50; %.2f served, want at least 0.85", rejected/seeds, served)
	}
}

// TestManyRelaysWithFewConnections: endpoints accept fewer connections than there are relays. They refuse further
// connections, close them on their first request, or never answer them. Relays close idle connections early, so that
// nearly as many messages are delivered as without a limit on connections. The test also checks that some connections
// are refused, which shows that the limit has an effect, and that no endpoint exceeds the limit.
func TestManyRelaysWithFewConnections(t *testing.T) {
	for _, c := range []struct {
		relays         int
		maxConnections int
		maxLoss        float64 // decrease in the ratio of messages that are delivered
	}{
		{20, 10, 0.05},
		{80, 40, 0.05},
		{300, 120, 0.1},
	} {
		unbounded := servedWithConnections(t, c.relays, 0, ExcessRefused)
		for _, excess := range []ExcessConnections{ExcessRefused, ExcessClosed, ExcessUnanswered} {
			served := servedWithConnections(t, c.relays, c.maxConnections, excess)
			t.Logf("%d relays, excess connections %s: %.3f of the messages served, %.3f without a limit",
				c.relays, excess, served, unbounded)
			if served < unbounded-c.maxLoss {
				t.Errorf("%d relays, excess connections %s: %.3f of the messages served, %.3f without a limit",
					c.relays, excess, served, unbounded)
			}
		}
	}
}

// servedWithConnections returns the ratio of the messages that are delivered if endpoints accept up to maxConnections
// connections, and checks the number of connections. 0: no limit.
func servedWithConnections(t *testing.T, relays, maxConnections int, excess ExcessConnections) (served float64) {
	t.Helper()
	const seeds = 5
	for seed := range uint64(seeds) {
		options := Options{MaxConnections: maxConnections, ExcessConnections: excess}
		w := startFleet(t, relays, seed, sharedRate, options)
		submitRandomly(w, time.Second, 40*time.Second, 0.5*sharedRate)
		w.run(t, 55*time.Second)
		served += (1 - float64(w.Undelivered())/float64(w.Submitted)) / seeds
		binds := maxConnections > 0 && relays > 20
		if w.ConnectionsRefused == 0 && binds || w.ConnectionsRefused > 0 && maxConnections == 0 {
			t.Errorf("%d relays, limit of %d connections to an endpoint, excess %s, seed %d: %d of %d refused",
				relays, maxConnections, excess, seed, w.ConnectionsRefused, w.ConnectionsOpened+w.ConnectionsRefused)
		}
		for _, e := range w.endpoints {
			// Connections that are being established at the same time do not count against each other.
			if n := w.connectionCount(e); maxConnections > 0 && n > maxConnections+relays/10 {
				t.Errorf("%d relays, seed %d: %d connections to an endpoint that accepts %d",
					relays, seed, n, maxConnections)
			}
		}
	}
	return served
}

// TestManyRelaysWithLateLists: endpoints are replaced in batches and 80 relays restarted, while each change of the
// endpoint list, including drains, reaches the relays six seconds late. No rule is violated. In particular, no call
// is sent to an endpoint more than a second after the relay was notified of its drain. Relays that ignore drains
// violate this rule.
func TestManyRelaysWithLateLists(t *testing.T) {
	file := loadExperiment(t, "fleet-roll")
	file.Relays = 80
	for i := range file.Faults {
		switch fault := &file.Faults[i]; fault.Kind {
		case scenario.FaultDiscoveryDelay:
			fault.Start = scenario.Duration(2 * time.Second)
			fault.Duration = scenario.Duration(14 * time.Second)
			fault.Delay = scenario.Duration(6 * time.Second)
		case scenario.FaultDrain:
			fault.DrainTime = scenario.Duration(12 * time.Second) // the endpoints still run when the list arrives
		}
	}
	ignoredDrain := false
	for seed := range uint64(2) {
		if _, rules := playAndCheck(t, file.Draw(seed+1), Options{}); len(rules) > 0 {
			t.Errorf("seed %d: violated: %v", seed+1, rules)
		}
		_, rules := playAndCheck(t, file.Draw(seed+1), Options{Mutant: FindMutant("drains-ignored")})
		ignoredDrain = ignoredDrain || slices.Contains(rules, checker.DrainRespected)
	}
	if !ignoredDrain {
		t.Errorf("relays that ignore drains do not violate the rule %q", checker.DrainRespected)
	}
}
