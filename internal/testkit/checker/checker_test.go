package checker

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

// The classes of the scripted runs, by index.
const (
	keyed = iota
	unsafe
	safe
	ordered
	keyedAll
)

func header() eventlog.Header {
	class := func(name string, e eventlog.Effect) eventlog.Class {
		return eventlog.Class{Name: name, Effect: e, LatencyObjective: 3 * second, Deadline: 16 * second, Weight: 1, LateWeightRatio: 0.4}
	}
	h := eventlog.Header{
		Format: eventlog.FormatVersion, Scenario: "scripted", Duration: 60 * second, Relays: []string{"r1", "r2"},
		Rules: eventlog.Rules{
			DrainGrace:           second,
			OverloadFactor:       2,
			OverloadWindow:       3 * second,
			OrderingPause:        second,
			DuplicatesAllowed:    true,
			OverShareWeightRatio: 0.2,
		},
		Classes: []eventlog.Class{
			class("keyed", eventlog.IdempotentByKey), class("unsafe", eventlog.NonIdempotent), class("safe", eventlog.Idempotent),
			class("ordered", eventlog.Idempotent), class("keyedAll", eventlog.IdempotentByKey),
		},
		Customers: []eventlog.Customer{{Name: "acme"}, {Name: "bolt"}},
	}
	h.Classes[keyed].DedupWindow, h.Classes[keyedAll].DedupWindow = 10*second, 10*second
	h.Classes[keyedAll].DedupAcrossZones, h.Classes[ordered].Ordered = true, true
	return h
}

// script is a run as a scripted relay has it. Times are given; events are put in order at the end.
type script struct {
	h      eventlog.Header
	events []eventlog.Event
	calls  uint64
}

// newScript lists a1 and a2 of destination 7 in zones a and b, and b1 of destination 8.
func newScript() *script {
	s := &script{h: header()}
	for _, x := range []struct {
		host, zone string
		dest       int
	}{{"a1", "a", 7}, {"a2", "b", 7}, {"b1", "a", 8}} {
		s.add(
			eventlog.Event{Kind: eventlog.EndpointChanged, Host: x.host, Zone: x.zone, Destination: x.dest, State: eventlog.StateReady},
		)
	}
	s.process("r1", 0, eventlog.StateStart)
	s.process("r1", 0, eventlog.StateUp)
	return s
}

func (s *script) add(e eventlog.Event) { s.events = append(s.events, e) }

func (s *script) process(relay string, at time.Duration, state string) {
	s.add(eventlog.Event{At: at, Kind: eventlog.ProcessChanged, Relay: relay, State: state})
}

// offer hands a message in that is heard 1 ms later; status 0: nothing is heard.
func (s *script) offer(id string, class int, at, left time.Duration, status int) {
	s.add(
		eventlog.Event{
			At:          at,
			Kind:        eventlog.MessageSubmitted,
			ID:          id,
			FirstID:     id,
			Relay:       "r1",
			Class:       class,
			Destination: 7,
			For:         left,
			OrderingKey: "k",
		},
	)
	if status != 0 {
		s.add(eventlog.Event{At: at + ms, Kind: eventlog.SubmissionAnswered, ID: id, Relay: "r1", Status: status})
	}
}

// call is one call with a message; status 0: no answer comes.
func (s *script) call(relay, host, id string, first, replied time.Duration, status int, wait time.Duration) uint64 {
	s.calls++
	s.add(
		eventlog.Event{
			At:          first + ms,
			FirstByteAt: first,
			Kind:        eventlog.CallReceived,
			Call:        s.calls,
			Relay:       relay,
			Host:        host,
			IDs:         []string{id},
			Weight:      1,
		},
	)
	if status != 0 {
		s.add(
			eventlog.Event{
				At:         replied,
				Kind:       eventlog.CallAnswered,
				Call:       s.calls,
				Relay:      relay,
				Host:       host,
				Status:     status,
				RetryAfter: wait,
			},
		)
	}
	return s.calls
}

func (s *script) ended(call uint64, at time.Duration) {
	s.add(eventlog.Event{At: at, Kind: eventlog.CallAborted, Call: call, Relay: "r1", Cause: eventlog.CauseRelay})
}

func (s *script) notice(id, state string, at time.Duration) {
	s.add(eventlog.Event{At: at, Kind: eventlog.MessageNotice, Relay: "r1", ID: id, State: state})
}

func (s *script) told(host, state string, at time.Duration) {
	s.add(eventlog.Event{At: at, Kind: eventlog.RelayNotified, Relay: "r1", Host: host, State: state})
}

// judge ends the run at 60 s.
func (s *script) judge() Result {
	events := slices.Clone(s.events)
	slices.SortStableFunc(events, func(a, b eventlog.Event) int { return int(a.At - b.At) })
	return Check(s.h, append(events, eventlog.Event{At: 60 * second, Kind: eventlog.RunEnded}))
}

// want checks that a run breaks one rule and no other; "" : none.
func want(t *testing.T, s *script, broken Rule) Result {
	t.Helper()
	v := s.judge()
	for _, f := range v.Rules {
		if (f.State == Violated) != (f.Rule == broken) {
			t.Errorf("%s: %s %+v; want only %q broken", f.Rule, f.State, f.Violations, broken)
		}
		for _, b := range f.Violations {
			if b.Text == "" || len(b.Evidence) < 2 && f.Rule != RetryAfterRespected {
				t.Errorf("%s: a break with no proof: %+v", f.Rule, b)
			}
		}
	}
	if len(v.RunErrors)+len(v.InconclusiveReasons) > 0 {
		t.Errorf("faults %v, doubts %v", v.RunErrors, v.InconclusiveReasons)
	}
	return v
}

// Each case is a relay that is bad in one way, by so much, and good otherwise. by < 0 is a hair's breadth inside the
// figure, which must be acquitted; by > 0 a hair's breadth outside it, which must be convicted, and of that rule alone.
func TestBadRelaysAreConvictedAndGoodOnesAcquitted(t *testing.T) {
	for _, c := range []struct {
		name string
		rule Rule
		run  func(s *script, by time.Duration)
	}{
		{"a message without an end", NoMessageLost, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 5*second, 202)
			s.notice("m", eventlog.StateUndeliverable, 6*second+350*ms+by)
		}},
		{"a delivery too late", NoMessageLost, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 5*second, 202)
			s.call("r1", "a1", "m", 2*second, 6*second+350*ms+by, 200, 0)
		}},
		{"overdue after a restart", NoMessageLost, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 5*second, 202)
			s.process("r1", 6*second, eventlog.StateKill)
			s.process("r1", 6*second+ms, eventlog.StateExit)
			s.process("r1", 7*second, eventlog.StateStart)
			s.process("r1", 8*second, eventlog.StateUp)
			s.notice("m", eventlog.StateUndeliverable, 9500*ms+by)
		}},
		{"sent after it was refused", NoMessageLost, func(s *script, by time.Duration) {
			s.offer("m", unsafe, second, 5*second, 503)
			s.call("r1", "a1", "m", second+ms+50*ms+by, 2*second, 200, 0)
		}},
		{"sent after its notice", NoMessageLost, func(s *script, by time.Duration) {
			s.offer("m", safe, second, 5*second, 202)
			s.notice("m", eventlog.StateDeferred, 2*second)
			s.call("r1", "a1", "m", 2*second+50*ms+by, 3*second, 200, 0)
		}},
		{"a keyed repeat past its window", NoDuplicateEffect, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 15*second, 202)
			s.call("r1", "a1", "m", 2*second, 3*second, 500, 0)
			s.call("r1", "a1", "m", 12*second+50*ms+by, 13*second, 200, 0)
		}},
		{"a keyed repeat in another zone, a refusal not told yet", NoDuplicateEffect, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 15*second, 202)
			s.call("r1", "a1", "m", 2*second, 3*second, 429, 0)
			s.call("r1", "a2", "m", 3*second-by, 4*second, 200, 0)
		}},
		{"an unsafe repeat", NoDuplicateEffect, func(s *script, by time.Duration) {
			s.offer("m", unsafe, second, 15*second, 202)
			s.call("r1", "a1", "m", 2*second, 3*second, 503, 0)
			s.call("r1", "a1", "m", 3*second-by, 4*second, 200, 0)
		}},
		{"an unsafe message refused while it may run", NoDuplicateEffect, func(s *script, by time.Duration) {
			s.offer("m", unsafe, second, 15*second, 202)
			s.call("r1", "a1", "m", 2*second, 3*second, 429, 0)
			s.notice("m", eventlog.StateDeferred, 3*second-by)
		}},
		{"sent to a host that drains", DrainRespected, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 15*second, 202)
			s.told("a1", eventlog.StateDraining, 2*second)
			s.call("r1", "a1", "m", 3*second+50*ms+by, 4*second, 200, 0)
		}},
		{"sent to a host that is gone, told as draining before", DrainRespected, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 15*second, 202)
			s.told("a1", eventlog.StateDraining, 2*second)
			s.told("a1", eventlog.StateGone, 2900*ms)
			s.call("r1", "a1", "m", 3*second+50*ms+by, 4*second, 200, 0)
		}},
		{"called while it is to wait", RetryAfterRespected, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 15*second, 202)
			s.call("r1", "a1", "m", 2*second, 3*second, 429, 2*second)
			s.call("r1", "a2", "m", 5*second-ms-ms-by, 6*second, 200, 0)
		}},
		{"called when calls are let through no more", RetryAfterRespected, func(s *script, by time.Duration) {
			s.offer("m", keyed, second, 15*second, 202)
			s.call("r1", "a1", "m", 2*second, 3*second, 429, 2*second)
			s.call("r1", "a1", "m", 3*second+100*ms-ms+by, 6*second, 200, 0)
		}},
		{"out of turn while an earlier one runs", OrderKept, func(s *script, by time.Duration) {
			s.offer("m1", ordered, second, 15*second, 202)
			s.offer("m2", ordered, second+10*ms, 15*second, 202)
			s.call("r1", "a1", "m1", 2*second, 3*second, 200, 0)
			s.call("r1", "a1", "m2", 3*second-by, 4*second, 200, 0)
		}},
		{"out of turn before the key has rested", OrderKept, func(s *script, by time.Duration) {
			s.offer("m1", ordered, second, 15*second, 202)
			s.offer("m2", ordered, second+10*ms, 15*second, 202)
			first := s.call("r1", "a1", "m1", 2*second, 0, 0, 0)
			s.ended(first, 2500*ms)
			s.call("r1", "a1", "m1", 2600*ms, 2700*ms, 200, 0)
			s.call("r1", "a1", "m2", 3500*ms-by, 4*second, 200, 0)
		}},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			s := newScript()
			c.run(s, -time.Microsecond)
			v := want(t, s, "")
			if f := v.ForRule(c.rule); f.State != Held {
				t.Errorf("inside the figure: %s, want held", f.State)
			}
			s = newScript()
			c.run(s, time.Microsecond)
			want(t, s, c.rule)
		})
	}
}

// A place that comes back able to do 4 of its 20 calls a second bears 24 in 3 s, and the slack for chance. Load by
// relays that had not seen it fail breaks nothing.
func TestAReturningPlacePushedOver(t *testing.T) {
	run := func(calls int, knowing int) *script {
		s := newScript()
		s.add(
			eventlog.Event{At: second, Kind: eventlog.OutageStarted, Place: "7", Hosts: []string{"a1", "a2"}, Cause: "silent"},
		)
		s.offer("seen", safe, second, 15*second, 202)
		s.ended(s.call("r1", "a1", "seen", 1500*ms, 0, 0, 0), 4*second)
		s.add(
			eventlog.Event{
				At:    10 * second,
				Kind:  eventlog.OutageEnded,
				Place: "7",
				Hosts: []string{"a1", "a2"},
				Rate:  20,
				Share: 0.2,
				For:   14 * second,
			},
		)
		for i := range calls {
			id := fmt.Sprint("m", i)
			relay := "r1"
			if i >= knowing {
				relay = "r2"
			}
			s.add(
				eventlog.Event{
					At:          10 * second,
					Kind:        eventlog.MessageSubmitted,
					ID:          id,
					FirstID:     id,
					Relay:       relay,
					Class:       safe,
					Destination: 7,
					For:         15 * second,
				},
			)
			s.add(eventlog.Event{At: 10*second + ms, Kind: eventlog.SubmissionAnswered, ID: id, Relay: relay, Status: 202})
			s.call(relay, "a1", id, 10*second+2*ms, 11*second, 200, 0)
		}
		s.call("r1", "a1", "seen", 11*second+500*ms, 12*second, 200, 0)
		return s
	}
	rate := 4 + 16.0*3/14000 // 3 ms after its return
	budget := int(2*rate*3 + math.Sqrt(2*rate*3))
	if v := want(t, run(budget, budget), ""); v.ForRule(RecoveryNotOverloaded).State != Held {
		t.Errorf("%+v", v.ForRule(RecoveryNotOverloaded))
	}
	want(t, run(budget+1, budget+1), RecoveryNotOverloaded)
	most := (budget + 1) * 2 / 3 // of budget+1, so many are under two thirds of the load
	for float64(most) >= MinInformedRatio*float64(budget+1) {
		most--
	}
	want(t, run(budget+1, most), "")
	want(t, run(budget+1, most+1), RecoveryNotOverloaded)
}

// Connections that do not come up leave no trace at the host: what a relay had for it tells that it knew.
func TestRefusedConnectionsCountAsSeen(t *testing.T) {
	for cause, state := range map[string]State{eventlog.OutageDown: Violated, "silent": NotExercised} {
		s := newScript()
		s.add(
			eventlog.Event{At: second, Kind: eventlog.OutageStarted, Place: "7", Destination: 7, Hosts: []string{"a1"}, Cause: cause},
		)
		s.offer("m", safe, 2*second, 15*second, 202)
		s.add(
			eventlog.Event{
				At:          10 * second,
				Kind:        eventlog.OutageEnded,
				Place:       "7",
				Destination: 7,
				Hosts:       []string{"a1"},
				Rate:        2,
				Share:       0.2,
				For:         14 * second,
			},
		)
		for range 10 {
			s.call("r1", "a1", "m", 10*second, 11*second, 500, 0)
		}
		s.call("r1", "a1", "m", 12*second, 12*second+ms, 200, 0)
		if f := s.judge().ForRule(RecoveryNotOverloaded); f.State != state {
			t.Errorf("%s: %s, want %s", cause, f.State, state)
		}
	}
}

// What is told in a bundle is told of each message in it.
func TestBundlesAreJudgedByMessage(t *testing.T) {
	s := newScript()
	for _, id := range []string{"m1", "m2", "m3"} {
		s.offer(id, unsafe, second, 15*second, 202)
	}
	s.add(
		eventlog.Event{
			At:          2 * second,
			FirstByteAt: 2 * second,
			Kind:        eventlog.CallReceived,
			Call:        1,
			Relay:       "r1",
			Host:        "a1",
			IDs:         []string{"m1", "m2", "m3"},
		},
	)
	s.add(
		eventlog.Event{
			At:     3 * second,
			Kind:   eventlog.CallAnswered,
			Call:   1,
			Relay:  "r1",
			Host:   "a1",
			Status: 200,
			States: []string{"ok", "later", "error"},
		},
	)
	s.calls = 1
	s.call("r1", "a1", "m2", 4*second, 5*second, 200, 0)
	s.notice("m3", eventlog.StateUndeliverable, 4*second)
	want(t, s, "")
	s.call("r1", "a1", "m3", 3500*ms, 3600*ms, 200, 0)
	want(t, s, NoDuplicateEffect)
}

// One message of a bundle may be cut off alone, while its call is still out for the others: its key rests from then,
// and no host sees when that was. Of a call of its own the host sees the end.
func TestAMessageThatIsGivenUpInABundle(t *testing.T) {
	run := func(after time.Duration, ids ...string) *script {
		s := newScript()
		s.offer("m1", ordered, second, 3*second, 202)
		s.offer("other", safe, second, 15*second, 202)
		s.offer("m2", ordered, second+10*ms, 15*second, 202)
		s.add(
			eventlog.Event{
				At:          2 * second,
				FirstByteAt: 2 * second,
				Kind:        eventlog.CallReceived,
				Call:        1,
				Relay:       "r1",
				Host:        "a1",
				IDs:         ids,
			},
		)
		s.calls = 1
		s.ended(1, 4*second)
		s.notice("m1", eventlog.StateDeferred, 4*second)
		s.call("r1", "a1", "m2", 4*second+after, 6*second, 200, 0)
		s.call("r1", "a1", "other", 8*second, 9*second, 200, 0)
		return s
	}
	want(t, run(0, "m1", "other"), "")
	want(t, run(second, "m1"), "")
	want(t, run(second-1, "m1"), OrderKept)
}

func TestOutcomesOfAConnection(t *testing.T) {
	// Cut before its last byte, it never ran, and may be sent anywhere; cut after it, it may have.
	s := newScript()
	s.offer("m", unsafe, second, 15*second, 202)
	s.add(eventlog.Event{At: 2 * second, FirstByteAt: 2 * second, Kind: eventlog.CallTruncated, Call: 9, Relay: "r1", Host: "a1"})
	s.call("r1", "a2", "m", 3*second, 4*second, 200, 0)
	want(t, s, "")
	s = newScript()
	s.offer("m", unsafe, second, 15*second, 202)
	s.ended(s.call("r1", "a1", "m", 2*second, 0, 0, 0), 2500*ms)
	s.call("r1", "a2", "m", 3*second, 4*second, 200, 0)
	want(t, s, NoDuplicateEffect)
	// And no drain is kept by a call that was cut.
	s = newScript()
	s.offer("m", unsafe, second, 15*second, 202)
	s.told("a1", eventlog.StateGone, 2*second)
	s.add(eventlog.Event{At: 4 * second, FirstByteAt: 4 * second, Kind: eventlog.CallTruncated, Call: 9, Relay: "r1", Host: "a1"})
	s.notice("m", eventlog.StateDeferred, 5*second)
	want(t, s, DrainRespected)
}

func TestAnEndedConnection(t *testing.T) {
	unheard := func(cause string, kill bool) *script {
		s := newScript()
		s.offer("m", keyed, second, 5*second, 0)
		if kill {
			s.process("r1", second+100*ms, eventlog.StateKill)
			s.process("r1", second+101*ms, eventlog.StateExit)
		}
		s.add(eventlog.Event{At: second + 200*ms, Kind: eventlog.SubmissionUnanswered, ID: "m", Relay: "r1", Cause: cause})
		return s
	}
	want(t, unheard(eventlog.CauseClosed, false), NoMessageLost)
	want(t, unheard(eventlog.CauseClosed, true), "")
	want(t, unheard(eventlog.CauseTimeout, false), "")
	want(t, unheard(eventlog.CauseNotSent, false), "")
}

func TestTwoEndsThatDiffer(t *testing.T) {
	s := newScript()
	s.offer("m", safe, second, 5*second, 202)
	s.notice("m", eventlog.StateDeferred, 2*second)
	s.notice("m", eventlog.StateDeferred, 3*second) // told again: no harm
	want(t, s, "")
	s.notice("m", eventlog.StateUndeliverable, 4*second)
	want(t, s, NoMessageLost)
}

func TestWhereRepeatsAreFree(t *testing.T) {
	s := newScript()
	for _, class := range []int{safe, keyedAll} {
		id := fmt.Sprint("m", class)
		s.offer(id, class, second, 15*second, 202)
		s.call("r1", "a1", id, 2*second, 3*second, 500, 0)
		s.call("r1", "a2", id, 4*second, 5*second, 500, 0)
		s.notice(id, eventlog.StateDeferred, 6*second)
	}
	want(t, s, "")
	s.h.Rules.DuplicatesAllowed = false
	want(t, s, "") // they were not out together
	s.call("r1", "a2", "m2", 4*second+10*ms, 5*second, 500, 0)
	want(t, s, NoDuplicateEffect)
}

func TestARestartEndsWaitsAndOrder(t *testing.T) {
	s := newScript()
	s.offer("m1", ordered, second, 15*second, 202)
	s.offer("m2", ordered, second+10*ms, 15*second, 202)
	s.call("r1", "a1", "m1", 2*second, 3*second, 429, 10*second)
	s.process("r1", 4*second, eventlog.StateKill)
	s.process("r1", 4*second+ms, eventlog.StateExit)
	s.process("r1", 5*second, eventlog.StateStart)
	s.process("r1", 5*second+ms, eventlog.StateUp)
	s.call("r1", "a1", "m2", 6*second, 7*second, 200, 0)
	s.call("r1", "a1", "m1", 8*second, 9*second, 200, 0)
	want(t, s, "")
}

func TestRoutesApartWaitAndDestinationsWaitWhole(t *testing.T) {
	run := func(place1, place2 string) *script {
		s := newScript()
		s.add(eventlog.Event{Kind: eventlog.EndpointChanged, Host: "a1", Zone: "a", Destination: 7, Place: place1})
		s.add(eventlog.Event{Kind: eventlog.EndpointChanged, Host: "a2", Zone: "b", Destination: 7, Place: place2})
		s.offer("m", safe, second, 15*second, 202)
		s.call("r1", "a1", "m", 2*second, 3*second, 503, 5*second)
		s.call("r1", "a2", "m", 4*second, 5*second, 200, 0)
		return s
	}
	want(t, run("", ""), RetryAfterRespected)
	want(t, run("a1", "a2"), "")
}

// A rule that nothing put to the test is never told as held.
func TestAnIdleRunExercisesNothing(t *testing.T) {
	for _, f := range newScript().judge().Rules {
		if f.State != NotExercised {
			t.Errorf("%s: %s", f.Rule, f.State)
		}
	}
	s := newScript()
	s.offer("m", keyed, second, 5*second, 202)
	s.call("r1", "a1", "m", 2*second, 3*second, 200, 0)
	v := s.judge()
	for _, f := range v.Rules {
		if want := map[bool]State{true: Held, false: NotExercised}[f.Rule == NoMessageLost]; f.State != want {
			t.Errorf("%s: %s, want %s", f.Rule, f.State, want)
		}
	}
	if !v.OK() {
		t.Error("not OK")
	}
}

func TestDoubtfulRunsAreNotJudged(t *testing.T) {
	cut := newScript()
	cut.offer("m", keyed, second, 5*second, 202)
	v := Check(cut.h, cut.events)
	if v.OK() || v.ForRule(NoMessageLost).State != Inconclusive || !strings.Contains(v.InconclusiveReasons[0], "no end") {
		t.Errorf("no end: %+v", v)
	}
	v = Check(
		cut.h,
		append(slices.Clone(cut.events), eventlog.Event{At: 2 * second, Kind: eventlog.RunEnded, Cause: "interrupted"}),
	)
	if v.OK() || v.ForRule(NoMessageLost).State != Inconclusive || !strings.Contains(v.InconclusiveReasons[0], "interrupted") {
		t.Errorf("cut short: %+v", v)
	}
	late := func(by time.Duration) Result {
		s := newScript()
		s.add(
			eventlog.Event{
				At:          second,
				Kind:        eventlog.MessageSubmitted,
				ID:          "m",
				FirstID:     "m",
				Relay:       "r1",
				Destination: 7,
				For:         second,
				Delay:       by,
			},
		)
		s.add(eventlog.Event{At: second, Kind: eventlog.SubmissionAnswered, ID: "m", Relay: "r1", Status: 503})
		return s.judge()
	}
	if v := late(maxLoadLag + 1); v.OK() || v.ForRule(NoMessageLost).State != Inconclusive {
		t.Errorf("late load: %+v", v)
	}
	if v := late(maxLoadLag); !v.OK() {
		t.Errorf("load in time: %+v", v)
	}
	// What was seen broken stays broken.
	cut.notice("m", eventlog.StateDeferred, 2*second)
	cut.call("r1", "a1", "m", 3*second, 4*second, 200, 0)
	if v := Check(cut.h, cut.events); v.ForRule(NoMessageLost).State != Violated {
		t.Errorf("broken in a run that was cut short: %+v", v.ForRule(NoMessageLost))
	}
}

func TestWhatVoidsARun(t *testing.T) {
	for name, spoil := range map[string]func(*script){
		"nobody handed in":  func(s *script) { s.call("r1", "a1", "ghost", 2*second, 3*second, 200, 0) },
		"notice for ghost":  func(s *script) { s.notice("ghost", eventlog.StateDeferred, 2*second) },
		"wrong destination": func(s *script) { s.call("r1", "b1", "m", 2*second, 3*second, 200, 0) },
		"wrong relay":       func(s *script) { s.call("r2", "a1", "m", 2*second, 3*second, 200, 0) },
		"crashed":           func(s *script) { s.process("r1", 2*second, eventlog.StateExit) },
		"seen by a host":    func(s *script) { s.add(eventlog.Event{At: second, Kind: eventlog.RunInvalid, Cause: "unreadable"}) },
	} {
		s := newScript()
		s.offer("m", safe, second, 5*second, 202)
		s.call("r1", "a1", "m", 2*second, 3*second, 200, 0)
		spoil(s)
		if v := s.judge(); len(v.RunErrors) == 0 || v.OK() {
			t.Errorf("%s: %+v", name, v.RunErrors)
		}
	}
}

// A step of the machine's wall clock moves nothing: events carry the time of one monotonic clock.
func TestStepsOfTheWallClockMoveNothing(t *testing.T) {
	s := newScript()
	s.offer("m", keyed, second, 5*second, 202)
	s.call("r1", "a1", "m", 2*second, 3*second, 200, 0)
	before := s.judge()
	s.add(eventlog.Event{At: 1500 * ms, Kind: eventlog.ClockStepped, For: -time.Hour})
	s.h.StartedAt = s.h.StartedAt.Add(time.Hour)
	after := s.judge()
	if after.ClockSteps != 1 {
		t.Errorf("%d steps", after.ClockSteps)
	}
	after.ClockSteps = 0
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%+v\n%+v", before, after)
	}
}

func TestService(t *testing.T) {
	s := newScript()
	s.h.Duration = 30 * second
	s.h.Customers[1].RateShare = 1
	s.offer("full", keyed, second, 16*second, 202)
	s.call("r1", "a1", "full", 2*second, 4*second, 200, 0)
	s.offer("part", keyed, 2*second, 16*second, 202)
	s.call("r1", "a1", "part", 3*second, 2*second+9500*ms, 200, 0) // half-way from the aim to the end: 0.7
	s.offer("none", keyed, 25*second, 5*second, 202)
	s.notice("none", eventlog.StateUndeliverable, 27*second)
	// A refusal that comes again belongs to its first try.
	s.offer("first", keyed, 3*second, 16*second, 503)
	s.add(
		eventlog.Event{
			At:          4 * second,
			Kind:        eventlog.MessageSubmitted,
			ID:          "again",
			FirstID:     "first",
			Relay:       "r1",
			Destination: 7,
			For:         15 * second,
		},
	)
	s.add(eventlog.Event{At: 4 * second, Kind: eventlog.SubmissionAnswered, ID: "again", Relay: "r1", Status: 202})
	s.call("r1", "a1", "again", 5*second, 6*second-ms, 200, 0)
	// The second customer asks for more than its share of one a second.
	for i := range 3 {
		id := fmt.Sprint("b", i)
		s.add(
			eventlog.Event{
				At:          5 * second,
				Kind:        eventlog.MessageSubmitted,
				ID:          id,
				FirstID:     id,
				Relay:       "r1",
				Destination: 7,
				For:         5 * second,
				Customer:    1,
			},
		)
		s.add(eventlog.Event{At: 5 * second, Kind: eventlog.SubmissionAnswered, ID: id, Relay: "r1", Status: 202})
		if i == 0 {
			s.call("r1", "a1", id, 6*second, 6*second+ms, 200, 0)
		} else {
			s.notice(id, eventlog.StateDeferred, 6*second)
		}
	}
	v := s.judge().Service
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	near("whole", v.Overall, (1+0.7+0+1+1)/(5+2*0.2))
	near("worst 10 s", v.WorstWindow, 0)
	near("worst customer", v.WorstCustomerService, 2.7/4)
	near("second customer", v.Customers[1].Service, 1)
	if v.WorstCustomer != "acme" || v.Customers[1].OverShare != 2 || v.WorstWindowAt < 16*second || v.Submitted != 7 || v.DeliveredInTime != 3 || v.DeliveredLate != 1 ||
		v.Undelivered != 3 || v.Rejected != 1 ||
		v.Deferred != 2 ||
		v.Failed != 1 {
		t.Errorf("%+v", v)
	}
}

// A relay that keeps to the rules, whatever its hosts do, is convicted of nothing: the model sends a message again only
// when it may, and ends each one in time.
func TestALawfulRelayIsNeverConvicted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScript()
		waitTill := time.Duration(0)
		at := second
		for i := range rapid.IntRange(1, 12).Draw(t, "messages") {
			id := fmt.Sprint("m", i)
			class := rapid.SampledFrom([]int{keyed, unsafe, safe, keyedAll}).Draw(t, "class")
			at += time.Duration(rapid.Int64Range(0, int64(second)).Draw(t, "gap"))
			s.offer(id, class, at, 16*second, 202)
			now, firstMay, mayZone := at+2*ms, never, ""
			done := false
			for range rapid.IntRange(0, 4).Draw(t, "tries") {
				now = max(now, waitTill)
				host := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "host")
				zone := map[string]string{"a1": "a", "a2": "b"}[host]
				if firstMay != never &&
					(class == unsafe || class == keyed && zone != mayZone || class != safe && now > firstMay+10*second) ||
					now > at+10*second {
					break
				}
				status := rapid.SampledFrom([]int{0, 200, 429, 500, 503}).Draw(t, "status")
				took := time.Duration(rapid.Int64Range(int64(2*ms), int64(second)).Draw(t, "took"))
				wait := time.Duration(0)
				if status == 429 {
					wait = time.Duration(rapid.Int64Range(0, int64(second)).Draw(t, "wait"))
					waitTill = max(waitTill, now+took+wait)
				}
				n := s.call("r1", host, id, now, now+took, status, wait)
				if status == 0 {
					s.ended(n, now+took)
				}
				if (status == 0 || status == 500) && firstMay == never {
					firstMay, mayZone = now, zone
				}
				now += took + ms
				if done = status == 200; done {
					break
				}
			}
			at = max(at, now) // one at a time: waits told to one must not cut across the next
			switch {
			case done:
			case firstMay == never || class == safe || class == keyedAll:
				s.notice(id, eventlog.StateDeferred, now)
			default:
				s.notice(id, eventlog.StateUndeliverable, now)
			}
		}
		for _, f := range s.judge().Rules {
			if f.State == Violated {
				t.Fatalf("%s: %+v", f.Rule, f.Violations)
			}
		}
	})
}

// Judging takes time in proportion to the run.
func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		s := newScript()
		for i := range n {
			id, at := fmt.Sprint("m", i), time.Duration(i)*ms/4
			s.offer(id, keyed, at, 16*second, 202)
			s.call("r1", "a1", id, at+2*ms, at+100*ms, 200, 0)
		}
		events := slices.Clone(s.events)
		slices.SortStableFunc(events, func(a, b eventlog.Event) int { return int(a.At - b.At) })
		b.Run(fmt.Sprint("messages=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Check(s.h, events)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/message")
		})
	}
}
