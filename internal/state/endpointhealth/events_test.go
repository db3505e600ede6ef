package endpointhealth

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/policy"
)

func testSettings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{Effect: policy.Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second, Weight: 1},
		},
		DestinationKinds:      []policy.DestinationKind{{MaxBatch: 10}, {MaxBatch: 1, LimitPerEndpoint: true}},
		FleetSize:             2,
		MaxInFlightCalls:      20,
		WarmUpInitialCapacity: 0.2,
		WarmUpDuration:        14 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        3 * time.Second,
	}
}

// endpointSnapshot lists two endpoints of a destination that share a rate limit, and two of a destination whose
// endpoints have a limit each.
func endpointSnapshot() policy.Event {
	return policy.Event{Kind: policy.EndpointSnapshot, Endpoints: []policy.Endpoint{
		{ID: "a", Destination: 1, Kind: 0, InService: true, Weight: 20},
		{ID: "b", Destination: 1, Kind: 0, InService: true, Weight: 20},
		{ID: "c", Destination: 2, Kind: 1, InService: true, Weight: 20},
		{ID: "d", Destination: 2, Kind: 1, InService: true, Weight: 20},
	}}
}

func findView(e *policy.Engine, endpoint string) policy.EndpointView {
	views, _ := e.Views()
	return views[slices.IndexFunc(views, func(v policy.EndpointView) bool { return v.ID == endpoint })]
}

// drawHealthCheck draws an event that changes the health of an endpoint.
func drawHealthCheck(t *rapid.T) policy.Event {
	outcomes := []policy.Outcome{
		policy.OK, policy.OK, policy.Error, policy.Timeout, policy.Overloaded, policy.Reset,
	}
	event := policy.Event{
		Kind:     policy.HealthChecked,
		Endpoint: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "endpoint"),
	}
	event.Outcome = rapid.SampledFrom(outcomes).Draw(t, "outcome")
	if event.Outcome == policy.Overloaded && rapid.Bool().Draw(t, "with Retry-After") {
		event.RetryAfter = time.Duration(rapid.IntRange(1, 4000).Draw(t, "Retry-After")) * time.Millisecond
	}
	return event
}

// After any history, a restored engine holds back each endpoint that the former one held back because of an outage or a
// Retry-After, and for at least the same time. The endpoints of a destination without records are healthy.
func TestRestoredEngineKeepsEndpointHealth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		former, err := policy.New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		wall := observedAt
		former.Step(now, []policy.Event{endpointSnapshot()})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			d := time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			now += d
			wall = wall.Add(d)
			former.Step(now, []policy.Event{drawHealthCheck(t)})
		}
		views, _ := former.Views()
		records := Decode(Encode(FromViews(views, now, wall)))

		restored, err := policy.New(testSettings(), 2)
		if err != nil {
			t.Fatal(err)
		}
		downtime := time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms down")) * time.Millisecond
		const restoredAt = time.Second
		events := Events(records, wall.Add(downtime), testSettings().WarmUpDuration)
		restored.Step(restoredAt, append([]policy.Event{endpointSnapshot()}, events...))
		for _, before := range views {
			after := findView(restored, before.ID)
			checkHeldBack(t, before, after, before.RetryAfterUntil-now-downtime, restoredAt)
			if destinationIsHealthy(restored, records, before) {
				checkHealthy(t, after, restoredAt)
			}
		}
	})
}

// checkHeldBack fails the test if an endpoint that was held back before the restart is not held back after it, or for a
// shorter time. left is the time until the end of its Retry-After.
func checkHeldBack(t *rapid.T, before, after policy.EndpointView, left, now time.Duration) {
	if before.Ejected && !after.Ejected || before.WarmingUp && !after.WarmingUp {
		t.Fatalf("%s: %+v before the restart, %+v after it", before.ID, before, after)
	}
	if left > 0 && after.RetryAfterUntil < now+left {
		t.Fatalf("%s: Retry-After ends in %v, want at least %v", before.ID, after.RetryAfterUntil-now, left)
	}
}

// destinationIsHealthy reports whether no endpoint in the destination of view has a record.
func destinationIsHealthy(e *policy.Engine, records []Record, view policy.EndpointView) bool {
	return !slices.ContainsFunc(records, func(r Record) bool {
		return r.Endpoint == view.ID || findView(e, r.Endpoint).Destination == view.Destination
	})
}

func checkHealthy(t *rapid.T, view policy.EndpointView, now time.Duration) {
	if view.Ejected || view.WarmingUp || view.RetryAfterUntil > now || view.PacingRate > 0 {
		t.Fatalf("%s was healthy before the restart, and is %+v after it", view.ID, view)
	}
}

func TestOldRecordsExpire(t *testing.T) {
	records := []Record{
		{
			Endpoint:         "a",
			ObservedAt:       observedAt,
			Ejected:          true,
			WarmingUp:        true,
			RecentlyRejected: true,
			RetryAfterUntil:  observedAt.Add(time.Second),
		},
		{Endpoint: "c", ObservedAt: observedAt, WarmingUp: true},
	}
	const failures = failuresToEject + failuresToSuspect
	for name, c := range map[string]struct {
		age  time.Duration
		want int // number of events
	}{
		"at once":                        {0, 1 + failures + 1},
		"Retry-After has ended":          {2 * time.Second, 1 + failures},
		"rejection has expired":          {12 * time.Second, failures},
		"warm-up has ended":              {14 * time.Second, 0},
		"clock set back":                 {-time.Minute, 1 + failures + 1},
		"clock set back beyond any wait": {-2 * time.Hour, 1 + failures},
	} {
		t.Run(name, func(t *testing.T) {
			events := Events(records, observedAt.Add(c.age), 14*time.Second)
			if len(events) != c.want {
				t.Errorf("%d events, want %d: %+v", len(events), c.want, events)
			}
		})
	}
}

// recentlyHealthyCase holds the records to restore, and whether they make the engine suspect endpoint "a".
type recentlyHealthyCase struct {
	records     []Record
	downtime    time.Duration // between the processes
	wantSuspect bool          // with at least one seed
}

// An endpoint that delivered shortly before the restart is restored as healthy. If it also rejected messages, the
// restored engine takes the rejection for one by a rate limit, as the former engine did, and not for a sign of an
// outage. An unhealthy endpoint of the same destination does not make it suspect either. Neither holds if the last
// delivery was too long ago, or if the former engine saw none.
func TestRecentlyHealthyEndpointIsRestored(t *testing.T) {
	healthy := Record{Endpoint: "a", ObservedAt: observedAt, RecentlyHealthy: true}
	rejected := Record{Endpoint: "a", ObservedAt: observedAt, RecentlyRejected: true}
	warmingUp := Record{Endpoint: "a", ObservedAt: observedAt, WarmingUp: true}
	besideWarmingUp := Record{Endpoint: "b", ObservedAt: observedAt, WarmingUp: true}
	rejectedHealthy := rejected
	rejectedHealthy.RecentlyHealthy = true

	for name, c := range map[string]recentlyHealthyCase{
		"rejected, healthy":     {records: []Record{rejectedHealthy}, downtime: time.Second, wantSuspect: false},
		"rejected, not healthy": {records: []Record{rejected}, downtime: time.Second, wantSuspect: true},
		"rejected, healthy long ago": {
			records:     []Record{rejectedHealthy},
			downtime:    4 * time.Second,
			wantSuspect: true,
		},
		"beside one that is warming up, healthy": {
			records:     []Record{healthy, besideWarmingUp},
			downtime:    time.Second,
			wantSuspect: false,
		},
		"beside one that is warming up, no record": {
			records:     []Record{besideWarmingUp},
			downtime:    time.Second,
			wantSuspect: true,
		},
		"warming up": {records: []Record{warmingUp}, downtime: time.Second, wantSuspect: true},
	} {
		t.Run(name, func(t *testing.T) { checkRecentlyHealthy(t, c) })
	}
}

func checkRecentlyHealthy(t *testing.T, c recentlyHealthyCase) {
	t.Helper()
	otherWarmsUp := slices.ContainsFunc(c.records, func(r Record) bool { return r.Endpoint == "b" })
	suspect := false
	for seed := range uint64(40) {
		engine := restoreEngine(t, seed, c)
		suspect = suspect || findView(engine, "a").WarmingUp
		if otherWarmsUp && !findView(engine, "b").WarmingUp {
			t.Fatal("endpoint b was warming up before the restart, but not after it")
		}
	}
	if suspect != c.wantSuspect {
		t.Errorf("endpoint a is suspect: %v, want %v", suspect, c.wantSuspect)
	}
}

// restoreEngine restores an engine of a large fleet, and passes it a message so that it evaluates the endpoints.
func restoreEngine(t *testing.T, seed uint64, c recentlyHealthyCase) *policy.Engine {
	t.Helper()
	const now = time.Second
	settings := testSettings()
	settings.FleetSize = 300
	engine, err := policy.New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	events := Events(c.records, observedAt.Add(c.downtime), settings.WarmUpDuration)
	engine.Step(now, append([]policy.Event{endpointSnapshot()}, events...))
	engine.Step(now, []policy.Event{
		{Kind: policy.MessageAccepted, MessageID: 1, Destination: 1, TimeLeft: 10 * time.Second},
	})
	return engine
}
