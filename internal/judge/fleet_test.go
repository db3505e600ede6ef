package judge

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/record"
)

// What relays believe is judged by what they can know at best: directly, or over others, and nothing over a cut.
func TestBeliefs(t *testing.T) {
	const s = time.Second
	h := record.Header{Format: record.Format, Length: 100 * s, Relays: []string{"a", "b", "c"}}
	start := func(at time.Duration, r string) record.Event {
		return record.Event{At: at, Kind: record.Process, Relay: r, State: record.StateStart}
	}
	process := func(at time.Duration, r, state string) record.Event {
		return record.Event{At: at, Kind: record.Process, Relay: r, State: state}
	}
	link := func(at time.Duration, from, to, state string) record.Event {
		return record.Event{At: at, Kind: record.Link, Relay: from, Name: to, State: state}
	}
	belief := func(at time.Duration, r, of string, age time.Duration) record.Event {
		return record.Event{At: at, Kind: record.Belief, Relay: r, Name: of, For: age}
	}
	offer := func(at time.Duration, r string) record.Event {
		return record.Event{At: at, Kind: record.Offer, Relay: r, ID: "x"}
	}
	up := []record.Event{start(0, "a"), start(0, "b"), start(0, "c")}
	for name, c := range map[string]struct {
		events      []record.Event
		young, deaf int
	}{
		"fresh over sound links": {[]record.Event{offer(29*s, "b"), belief(30*s, "a", "b", s)}, 0, 0},
		"over a third, past a cut": {[]record.Event{
			link(s, "b", "a", record.LinkCut), link(s, "a", "b", record.LinkCut), belief(30*s, "a", "b", s)}, 0, 0},
		"younger than a cut": {[]record.Event{
			link(5*s, "b", "a", record.LinkCut), link(5*s, "b", "c", record.LinkCut), belief(10*s, "a", "b", 5*s), belief(10*s, "a", "b", 4*s)}, 1, 0},
		"one way is cut, the other is not": {[]record.Event{
			link(5*s, "b", "a", record.LinkCut), link(5*s, "b", "c", record.LinkCut), belief(10*s, "b", "a", 0)}, 0, 0},
		"of one that is stopped": {[]record.Event{process(5*s, "b", record.StateStop), belief(10*s, "a", "b", 2*s),
			process(11*s, "b", record.StateCont), belief(12*s, "a", "b", s/10)}, 1, 0},
		"of one that ended":            {[]record.Event{process(5*s, "b", record.StateKill), belief(10*s, "a", "b", s)}, 1, 0},
		"never heard":                  {[]record.Event{offer(19*s, "b"), belief(19*s, "a", "b", -1), offer(21*s, "b"), belief(21*s, "a", "b", -1)}, 0, 1},
		"heard long ago":               {[]record.Event{offer(39*s, "b"), belief(40*s, "a", "b", 20*s)}, 0, 1},
		"with nothing to be told":      {[]record.Event{belief(40*s, "a", "b", 20*s)}, 0, 0},
		"over a link that loses much":  {[]record.Event{link(5*s, "b", "a", record.LinkFaulty), offer(39*s, "b"), belief(40*s, "a", "b", 20*s)}, 0, 0},
		"soon after the links healed":  {[]record.Event{link(5*s, "b", "a", record.LinkCut), link(30*s, "b", "a", record.LinkSound), offer(39*s, "b"), belief(40*s, "a", "b", 20*s)}, 0, 0},
		"what waited came when it did": {[]record.Event{link(5*s, "b", "a", record.LinkCut), link(5*s, "b", "c", record.LinkCut), link(30*s, "b", "c", record.LinkSound), belief(31*s, "a", "b", s/2)}, 0, 0},
	} {
		v := Judge(h, append(append(append([]record.Event(nil), up...), c.events...), record.Event{At: 90 * s, Kind: record.End}))
		if v.Beliefs == nil || v.Beliefs.Young.Count != c.young || v.Beliefs.Deaf.Count != c.deaf {
			t.Errorf("%s: %+v", name, v.Beliefs)
		}
		if wrong := c.young+c.deaf > 0; wrong != v.Beliefs.wrong() || wrong && v.State() != Broken {
			t.Errorf("%s: %s", name, v.State())
		}
	}
	if v := Judge(h, up); v.Beliefs != nil {
		t.Error("beliefs of relays that were not asked")
	}
}
