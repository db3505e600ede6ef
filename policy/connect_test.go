package policy

import (
	"testing"
	"time"
)

// A relay of a large fleet closes connections after use once a connection table was full. Guards against idle
// connections of hundreds of relays that fill the connection tables of destinations.
func TestScarceConnectionsAreClosedAfterUse(t *testing.T) {
	for _, test := range []struct {
		relays int
		want   bool
	}{{smallFleetSize, false}, {100, true}} {
		settings := testSettings()
		settings.FleetSize = test.relays
		h := newHarness(t, settings, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
		deliveryClosesIdle := func(id MessageID) bool {
			h.step(Event{Kind: MessageAccepted, MessageID: id, Destination: 1, TimeLeft: 9 * time.Second})
			return hasAction(h.finish(id, "b", OK, 10*ms, 0), CloseIdle)
		}
		h.accept(1, 0)
		h.finish(1, "a", OK, 10*ms, 0)
		h.accept(2, 0)
		h.finish(2, "a", ConnectFailed, 10*ms, 0)
		if deliveryClosesIdle(3) {
			t.Errorf("%d relays: connections closed after a failed connection, which may be due to an outage",
				test.relays)
		}
		h.advance(time.Second)
		h.finish(2, "a", OK, 10*ms, 0)
		if got := deliveryClosesIdle(4); got != test.want {
			t.Errorf("%d relays: connections closed %v after a failed connection and then a delivery, want %v",
				test.relays, got, test.want)
		}
	}
}

// Guards against two failed connections at a full connection table that make a destination suspect for its whole
// warm-up.
func TestFullConnectionTableIsNoOutage(t *testing.T) {
	for _, test := range []struct {
		relays, fails int
		took          time.Duration
		suspect       bool
	}{
		{20, 2, 10 * ms, false},                         // a full table
		{100, maxConnectExhaustions + 3, 10 * ms, true}, // too many failures for a full table: an outage
		{100, 3, time.Second, true},                     // connections that do not fail at once: no full table
		{3, 3, 10 * ms, true},                           // too few relays to fill a table
	} {
		settings := testSettings()
		settings.FleetSize = test.relays
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4}, Endpoint{ID: "b", Weight: 4})
		h.engine.now = h.now
		h.engine.connectShortageUntil[0] = h.now + time.Minute
		for range test.fails {
			obs := observation{outcome: ConnectFailed, sentAt: h.now - test.took}
			h.engine.observeOutcome(h.engine.endpoints["a"], obs, test.took)
		}
		if got := h.engine.endpoints["a"].warmingUp; got != test.suspect {
			t.Errorf("%+v: suspect %v, want %v", test, got, test.suspect)
		}
	}
}
