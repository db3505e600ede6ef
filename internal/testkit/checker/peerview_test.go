package checker

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

func processEvent(at time.Duration, relay, state string) eventlog.Event {
	return eventlog.Event{At: at, Kind: eventlog.ProcessChanged, Relay: relay, State: state}
}

func linkEvent(at time.Duration, from, to, state string) eventlog.Event {
	return eventlog.Event{At: at, Kind: eventlog.LinkChanged, Relay: from, Name: to, State: state}
}

// viewEvent returns a peer view: the age of the newest report that a relay has of another; below 0: it has none.
func viewEvent(at time.Duration, relay, of string, age time.Duration) eventlog.Event {
	return eventlog.Event{At: at, Kind: eventlog.PeerView, Relay: relay, Name: of, Duration: age}
}

// submissionToB returns a submission to relay b, of which the other relays need recent reports for some seconds.
func submissionToB(at time.Duration) eventlog.Event {
	return eventlog.Event{At: at, Kind: eventlog.MessageSubmitted, Relay: "b", ID: "x"}
}

// peerViewCase holds the events of the three relays a, b and c, and the number of wrong peer views among them.
type peerViewCase struct {
	name            string
	events          []eventlog.Event
	tooFresh, stale int
}

// freshCases have reports that may be too fresh to have been received, directly or through a third relay.
var freshCases = []peerViewCase{
	{name: "fresh over healthy links", events: []eventlog.Event{
		submissionToB(29 * second),
		viewEvent(30*second, "a", "b", second),
	}},
	{name: "over a third relay around a cut", events: []eventlog.Event{
		linkEvent(second, "b", "a", eventlog.LinkCut),
		linkEvent(second, "a", "b", eventlog.LinkCut),
		viewEvent(30*second, "a", "b", second),
	}},
	{name: "younger than a cut", tooFresh: 1, events: []eventlog.Event{
		linkEvent(5*second, "b", "a", eventlog.LinkCut),
		linkEvent(5*second, "b", "c", eventlog.LinkCut),
		viewEvent(10*second, "a", "b", 5*second),
		viewEvent(10*second, "a", "b", 4*second),
	}},
	{name: "one direction is cut and the other is not", events: []eventlog.Event{
		linkEvent(5*second, "b", "a", eventlog.LinkCut),
		linkEvent(5*second, "b", "c", eventlog.LinkCut),
		viewEvent(10*second, "b", "a", 0),
	}},
	{name: "of a relay that is stopped and continues", tooFresh: 1, events: []eventlog.Event{
		processEvent(5*second, "b", eventlog.StateStop),
		viewEvent(10*second, "a", "b", 2*second),
		processEvent(11*second, "b", eventlog.StateCont),
		viewEvent(12*second, "a", "b", second/10),
	}},
	{name: "of a relay that was killed", tooFresh: 1, events: []eventlog.Event{
		processEvent(5*second, "b", eventlog.StateKill),
		viewEvent(10*second, "a", "b", second),
	}},
	{name: "passed on by a third relay after a cut", tooFresh: 1, events: []eventlog.Event{
		linkEvent(0, "b", "a", eventlog.LinkCut),
		linkEvent(0, "c", "a", eventlog.LinkCut),
		linkEvent(5*second, "b", "c", eventlog.LinkCut),
		linkEvent(8*second, "c", "a", eventlog.LinkHealthy),
		viewEvent(10*second, "a", "b", 5*second),
		viewEvent(10*second, "a", "b", 4*second),
	}},
	{name: "received when a cut healed", events: []eventlog.Event{
		linkEvent(5*second, "b", "a", eventlog.LinkCut),
		linkEvent(5*second, "b", "c", eventlog.LinkCut),
		linkEvent(30*second, "b", "c", eventlog.LinkHealthy),
		viewEvent(31*second, "a", "b", second/2),
	}},
}

// staleCases have reports that are old or missing.
var staleCases = []peerViewCase{
	{name: "never received", stale: 1, events: []eventlog.Event{
		submissionToB(19 * second),
		viewEvent(19*second, "a", "b", -1),
		submissionToB(21 * second),
		viewEvent(21*second, "a", "b", -1),
	}},
	{name: "received long ago", stale: 1, events: []eventlog.Event{
		submissionToB(39 * second),
		viewEvent(40*second, "a", "b", 20*second),
	}},
	{name: "of a relay without submissions", events: []eventlog.Event{
		viewEvent(40*second, "a", "b", 20*second),
	}},
	{name: "over a faulty link", events: []eventlog.Event{
		linkEvent(5*second, "b", "a", eventlog.LinkFaulty),
		submissionToB(39 * second),
		viewEvent(40*second, "a", "b", 20*second),
	}},
	{name: "soon after a cut healed", events: []eventlog.Event{
		linkEvent(5*second, "b", "a", eventlog.LinkCut),
		linkEvent(30*second, "b", "a", eventlog.LinkHealthy),
		submissionToB(39 * second),
		viewEvent(40*second, "a", "b", 20*second),
	}},
}

func TestPeerViews(t *testing.T) {
	h := eventlog.Header{
		Format:   eventlog.FormatVersion,
		Duration: 100 * second,
		Relays:   []string{"a", "b", "c"},
	}
	starts := []eventlog.Event{
		processEvent(0, "a", eventlog.StateStart),
		processEvent(0, "b", eventlog.StateStart),
		processEvent(0, "c", eventlog.StateStart),
	}
	end := eventlog.Event{At: 90 * second, Kind: eventlog.RunEnded}
	for _, c := range slices.Concat(freshCases, staleCases) {
		t.Run(c.name, func(t *testing.T) {
			result := Check(h, slices.Concat(starts, c.events, []eventlog.Event{end}))
			views := result.PeerViews
			if views == nil || views.TooFresh.ViolationCount != c.tooFresh || views.Stale.ViolationCount != c.stale {
				t.Errorf("%+v", views)
			}
			violated := c.tooFresh+c.stale > 0
			if violated != views.violated() || violated && result.State() != Violated {
				t.Errorf("%s", result.State())
			}
		})
	}
	t.Run("no queries", func(t *testing.T) {
		if result := Check(h, starts); result.PeerViews != nil {
			t.Errorf("%+v", result.PeerViews)
		}
	})
}
