package policy

import (
	"testing"
	"time"
)

// sharingRelay is one of 40 relays that share a limit of 40 calls a second, with a backlog. Without quota of other
// relays, it makes about one call a second. Its calls are answered in the next step.
type sharingRelay struct {
	*Engine
	events []Event
}

func newSharingRelay(t *testing.T) *sharingRelay {
	t.Helper()
	engine, err := New(Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 5 * time.Second, Deadline: 100 * time.Second, Weight: 1},
		},
		DestinationKinds: []DestinationKind{{MaxBatch: 1}},
		FleetSize:        40,
		Tenants:          []Tenant{{Quota: 4000}}, // only little of this traffic arrives at this relay
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := []Endpoint{{ID: "a", Destination: 5, Weight: 40, InService: true}}
	relay := &sharingRelay{engine, []Event{{Kind: EndpointSnapshot, Endpoints: endpoints}}}
	for id := range MessageID(200) {
		accepted := Event{Kind: MessageAccepted, MessageID: id + 1, Destination: 5, TimeLeft: 100 * time.Second}
		relay.events = append(relay.events, accepted)
	}
	relay.runFor(time.Second, 9*time.Second)
	return relay
}

// runFor steps the relay for some time, with the given events in the first step. It returns the number of calls,
// the number of requests for quota, and the number of calls that the last request asked for.
func (relay *sharingRelay) runFor(from, length time.Duration, events ...Event) (calls, requests, requested int) {
	relay.events = append(relay.events, events...)
	for now := from; now < from+length; now += 10 * time.Millisecond {
		actions := relay.Step(now, relay.events)
		relay.events = relay.events[:0]
		for _, a := range actions {
			switch a.Kind {
			case Send:
				calls++
				relay.events = append(relay.events, Event{
					Kind:         AttemptFinished,
					MessageID:    a.MessageID,
					Endpoint:     a.Endpoint,
					Outcome:      OK,
					Latency:      time.Millisecond,
					MessageEnded: true,
				})
			case RequestQuota:
				requests++
				requested = a.Calls
			}
		}
	}
	return calls, requests, requested
}

// granted returns a grant for destination 5.
func granted(reservedFraction float64, calls int, left time.Duration) Event {
	return Event{
		Kind:             QuotaGranted,
		Destination:      5,
		ReservedFraction: reservedFraction,
		GrantedCalls:     calls,
		TimeLeft:         left,
	}
}

// A grant allows a relay some calls beyond its own pacing rate, for a limited time. Lending lowers that rate. A
// relay requests quota only for shared limits, and shortly before its calls may be sent.
func TestQuotaGrants(t *testing.T) {
	const length = 10 * time.Second
	rejected := func(retryAfter time.Duration) Event {
		return Event{Kind: HealthChecked, Endpoint: "a", Outcome: Overloaded, RetryAfter: retryAfter}
	}
	elsewhere := granted(0.2, 9, length)
	elsewhere.Destination = 6
	draining := Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Destination: 5, Weight: 40}}}
	for name, test := range map[string]struct {
		events                   []Event
		minCalls, maxCalls       int
		minRequests, maxRequests int
	}{
		"nothing is shared":         {nil, 3, 9, 0, 0},
		"nothing is lent":           {[]Event{granted(1, 0, 0)}, 3, 9, 50, 100},
		"a fifth is reserved":       {[]Event{granted(0.2, 0, 0)}, 0, 2, 50, 100},
		"nine calls are granted":    {[]Event{granted(0.2, 9, length)}, 9, 11, 50, 100},
		"the grant expires at once": {[]Event{granted(0.2, 9, 0)}, 0, 2, 50, 100},
		"for another destination":   {[]Event{elsewhere}, 3, 9, 0, 0},
		"during a Retry-After":      {[]Event{rejected(length), granted(0.2, 9, length)}, 0, 0, 0, 10},
		"while the endpoint drains": {[]Event{draining, granted(0.2, 9, length)}, 0, 0, 0, 0},
		"two grants expire with the first": {
			[]Event{rejected(time.Second), granted(0.2, 5, length/20), granted(0.2, 5, length)}, 0, 2, 0, 100,
		},
		"the grant ends with a Retry-After": {[]Event{rejected(time.Second), granted(0, 9, 500*ms)}, 0, 1, 0, 100},
	} {
		t.Run(name, func(t *testing.T) {
			calls, requests, requested := newSharingRelay(t).runFor(length, length, test.events...)
			if calls < test.minCalls || calls > test.maxCalls {
				t.Errorf("%d calls, want %d to %d", calls, test.minCalls, test.maxCalls)
			}
			if requests < test.minRequests || requests > test.maxRequests {
				t.Errorf("%d requests, want %d to %d", requests, test.minRequests, test.maxRequests)
			}
			if requests > 0 && requested < 100 {
				t.Errorf("the last request was for %d calls, want at least 100", requested)
			}
		})
	}
}

// A relay that lends and borrows quota behaves the same after it was restored from its snapshot.
func TestQuotaGrantsSurviveSnapshots(t *testing.T) {
	original := newSharingRelay(t)
	original.runFor(10*time.Second, time.Second,
		Event{Kind: HealthChecked, Endpoint: "a", Outcome: Overloaded, RetryAfter: time.Second},
		granted(0.2, 4, 5*time.Second))
	restoredEngine, err := Restore(original.settings, original.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	restored := &sharingRelay{restoredEngine, nil}
	calls, requests, _ := original.runFor(11*time.Second, 3*time.Second)
	restoredCalls, restoredRequests, _ := restored.runFor(11*time.Second, 3*time.Second)
	if calls != restoredCalls || requests != restoredRequests || calls < 4 {
		t.Errorf("%d calls and %d requests, restored %d and %d", calls, requests, restoredCalls, restoredRequests)
	}
}
