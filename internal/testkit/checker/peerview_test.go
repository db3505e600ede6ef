package checker

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// What relays believe is judged by what they can know at best: directly, or over others, and nothing over a cut.
func TestBeliefs(t *testing.T) {
	const s = time.Second
	h := eventlog.Header{Format: eventlog.FormatVersion, Duration: 100 * s, Relays: []string{"a", "b", "c"}}
	start := func(at time.Duration, r string) eventlog.Event {
		return eventlog.Event{At: at, Kind: eventlog.ProcessChanged, Relay: r, State: eventlog.StateStart}
	}
	process := func(at time.Duration, r, state string) eventlog.Event {
		return eventlog.Event{At: at, Kind: eventlog.ProcessChanged, Relay: r, State: state}
	}
	link := func(at time.Duration, from, to, state string) eventlog.Event {
		return eventlog.Event{At: at, Kind: eventlog.LinkChanged, Relay: from, Name: to, State: state}
	}
	belief := func(at time.Duration, r, of string, age time.Duration) eventlog.Event {
		return eventlog.Event{At: at, Kind: eventlog.PeerView, Relay: r, Name: of, For: age}
	}
	offer := func(at time.Duration, r string) eventlog.Event {
		return eventlog.Event{At: at, Kind: eventlog.MessageSubmitted, Relay: r, ID: "x"}
	}
	up := []eventlog.Event{start(0, "a"), start(0, "b"), start(0, "c")}
	for name, c := range map[string]struct {
		events      []eventlog.Event
		young, deaf int
	}{
		"fresh over sound links": {[]eventlog.Event{offer(29*s, "b"), belief(30*s, "a", "b", s)}, 0, 0},
		"over a third, past a cut": {[]eventlog.Event{
			link(s, "b", "a", eventlog.LinkCut), link(s, "a", "b", eventlog.LinkCut), belief(30*s, "a", "b", s),
		}, 0, 0},
		"younger than a cut": {[]eventlog.Event{
			link(5*s, "b", "a", eventlog.LinkCut), link(5*s, "b", "c", eventlog.LinkCut), belief(10*s, "a", "b", 5*s), belief(10*s, "a", "b", 4*s),
		}, 1, 0},
		"one way is cut, the other is not": {[]eventlog.Event{
			link(5*s, "b", "a", eventlog.LinkCut), link(5*s, "b", "c", eventlog.LinkCut), belief(10*s, "b", "a", 0),
		}, 0, 0},
		"of one that is stopped": {[]eventlog.Event{
			process(5*s, "b", eventlog.StateStop), belief(10*s, "a", "b", 2*s),
			process(11*s, "b", eventlog.StateCont), belief(12*s, "a", "b", s/10),
		}, 1, 0},
		"of one that ended":            {[]eventlog.Event{process(5*s, "b", eventlog.StateKill), belief(10*s, "a", "b", s)}, 1, 0},
		"never heard":                  {[]eventlog.Event{offer(19*s, "b"), belief(19*s, "a", "b", -1), offer(21*s, "b"), belief(21*s, "a", "b", -1)}, 0, 1},
		"heard long ago":               {[]eventlog.Event{offer(39*s, "b"), belief(40*s, "a", "b", 20*s)}, 0, 1},
		"with nothing to be told":      {[]eventlog.Event{belief(40*s, "a", "b", 20*s)}, 0, 0},
		"over a link that loses much":  {[]eventlog.Event{link(5*s, "b", "a", eventlog.LinkFaulty), offer(39*s, "b"), belief(40*s, "a", "b", 20*s)}, 0, 0},
		"soon after the links healed":  {[]eventlog.Event{link(5*s, "b", "a", eventlog.LinkCut), link(30*s, "b", "a", eventlog.LinkHealthy), offer(39*s, "b"), belief(40*s, "a", "b", 20*s)}, 0, 0},
		"what waited came when it did": {[]eventlog.Event{link(5*s, "b", "a", eventlog.LinkCut), link(5*s, "b", "c", eventlog.LinkCut), link(30*s, "b", "c", eventlog.LinkHealthy), belief(31*s, "a", "b", s/2)}, 0, 0},
	} {
		v := Check(
			h,
			append(
				append(append([]eventlog.Event(nil), up...), c.events...),
				eventlog.Event{At: 90 * s, Kind: eventlog.RunEnded},
			),
		)
		if v.PeerViews == nil || v.PeerViews.TooFresh.ViolationCount != c.young || v.PeerViews.Stale.ViolationCount != c.deaf {
			t.Errorf("%s: %+v", name, v.PeerViews)
		}
		if wrong := c.young+c.deaf > 0; wrong != v.PeerViews.violated() || wrong && v.State() != Violated {
			t.Errorf("%s: %s", name, v.State())
		}
	}
	if v := Check(h, up); v.PeerViews != nil {
		t.Error("beliefs of relays that were not asked")
	}
}
