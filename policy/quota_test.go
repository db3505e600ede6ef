package policy

import (
	"testing"
	"time"
)

// sharingRelay is one of 40 relays that share a limit of 40 calls a second, with a backlog: of itself it makes a call a
// second, more or less. Its calls are answered with the next step.
type sharingRelay struct {
	*Engine
	events []Event
}

func newSharingRelay(t *testing.T) *sharingRelay {
	t.Helper()
	engine, err := New(Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 5 * time.Second, Deadline: 100 * time.Second, Weight: 1},
		}, DestinationKinds: []DestinationKind{{MaxBatch: 1}}, FleetSize: 40,
		Tenants: []Tenant{{Quota: 4000}}, // of which little comes here
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	relay := &sharingRelay{
		engine,
		[]Event{
			{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Destination: 5, Weight: 40, InService: true}}},
		},
	}
	for id := range uint32(200) {
		relay.events = append(
			relay.events,
			Event{Kind: MessageAccepted, MessageID: id + 1, Destination: 5, TimeLeft: 100 * time.Second},
		)
	}
	relay.runFor(time.Second, 9*time.Second)
	return relay
}

// runFor steps it over a span, with what it is told at its beginning, and counts calls and asks.
func (relay *sharingRelay) runFor(from, length time.Duration, events ...Event) (calls, asks, wanted int) {
	relay.events = append(relay.events, events...)
	for now := from; now < from+length; now += 10 * time.Millisecond {
		actions := relay.Step(now, relay.events)
		relay.events = relay.events[:0]
		for _, a := range actions {
			switch a.Kind {
			case Send:
				calls++
				relay.events = append(
					relay.events,
					Event{
						Kind:         AttemptFinished,
						MessageID:    a.MessageID,
						Endpoint:     a.Endpoint,
						Outcome:      OK,
						Latency:      time.Millisecond,
						MessageEnded: true,
					},
				)
			case RequestQuota:
				asks, wanted = asks+1, a.Calls
			}
		}
	}
	return calls, asks, wanted
}

// What others leave a relay lets it make so many calls beyond its own pacing rate, for so long; what it lends slows that; and
// it asks for calls only where limits are shared, shortly before they may leave.
func TestQuotaGrants(t *testing.T) {
	right := func(share float64, calls int, left time.Duration) Event {
		return Event{Kind: QuotaGranted, Destination: 5, ReservedFraction: share, GrantedCalls: calls, TimeLeft: left}
	}
	const span = 10 * time.Second
	for name, test := range map[string]struct {
		evs                   []Event
		callsLeast, callsMost int
		asksLeast, asksMost   int
	}{
		"nothing is shared":                    {nil, 3, 9, 0, 0},
		"nothing is lent":                      {[]Event{right(1, 0, 0)}, 3, 9, 50, 100},
		"a fifth is kept":                      {[]Event{right(0.2, 0, 0)}, 0, 2, 50, 100},
		"nine calls are given":                 {[]Event{right(0.2, 9, span)}, 9, 11, 50, 100},
		"and void at once":                     {[]Event{right(0.2, 9, 0)}, 0, 2, 50, 100},
		"of another destination":               {[]Event{{Kind: QuotaGranted, Destination: 6, ReservedFraction: 0.2, GrantedCalls: 9, TimeLeft: span}}, 3, 9, 0, 0},
		"while it waits as it was told":        {[]Event{{Kind: HealthChecked, Endpoint: "a", Outcome: Overloaded, RetryAfter: span}, right(0.2, 9, span)}, 0, 0, 0, 10},
		"while the endpoint drains":            {[]Event{{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Destination: 5, Weight: 40}}}, right(0.2, 9, span)}, 0, 0, 0, 0},
		"two at a time end with the first one": {[]Event{{Kind: HealthChecked, Endpoint: "a", Outcome: Overloaded, RetryAfter: time.Second}, right(0.2, 5, span/20), right(0.2, 5, span)}, 0, 2, 0, 100},
	} {
		relay := newSharingRelay(t)
		calls, asks, wanted := relay.runFor(span, span, test.evs...)
		if calls < test.callsLeast || calls > test.callsMost || asks < test.asksLeast || asks > test.asksMost ||
			asks > 0 && wanted < 100 {
			t.Errorf("%s: %d calls, %d asks for %d", name, calls, asks, wanted)
		}
	}
	// A call that comes too late for its right is not made by it.
	relay := newSharingRelay(t)
	if calls, _, _ := relay.runFor(span, 2*time.Second, Event{Kind: HealthChecked, Endpoint: "a", Outcome: Overloaded, RetryAfter: time.Second}, right(0, 9, 500*time.Millisecond)); calls > 1 {
		t.Errorf("%d calls by rights that were void", calls)
	}
}

// A relay that lends and borrows goes on from its snapshot as it was.
func TestQuotaGrantsSurviveSnapshots(t *testing.T) {
	original := newSharingRelay(t)
	original.runFor(
		10*time.Second,
		time.Second,
		Event{Kind: HealthChecked, Endpoint: "a", Outcome: Overloaded, RetryAfter: time.Second},
		Event{Kind: QuotaGranted, Destination: 5, ReservedFraction: 0.2, GrantedCalls: 4, TimeLeft: 5 * time.Second},
	)
	restoredEngine, err := Restore(original.settings, original.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	restored := &sharingRelay{restoredEngine, nil}
	callsA, asksA, _ := original.runFor(11*time.Second, 3*time.Second)
	callsB, asksB, _ := restored.runFor(11*time.Second, 3*time.Second)
	if callsA != callsB || asksA != asksB || callsA < 4 {
		t.Errorf("%d calls and %d asks, restored %d and %d", callsA, asksA, callsB, asksB)
	}
}
