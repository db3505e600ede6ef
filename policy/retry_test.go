package policy

import (
	"testing"
	"time"
)

func TestFinalAnswers(t *testing.T) {
	for _, test := range []struct {
		class   int
		outcome Outcome
		want    ActionKind
		early   bool
	}{
		{0, Timeout, Reject, false},    // safe: the client may come again
		{1, Overloaded, Reject, false}, // keyed, never ran
		{1, Timeout, Fail, true},       // keyed, may have run: no repeat is dropped after 10 s
		{2, ConnectFailed, Reject, false},
	} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a"})
		h.accept(1, test.class)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Removed: true}}})
		h.finish(1, "a", test.outcome, time.Second, 0)
		if actions := h.advance(58900 * ms); hasAction(actions, test.want) != test.early || !test.early && len(actions) != 0 {
			t.Errorf("%+v: %+v before the deadline", test, actions)
		}
		if test.early {
			continue
		}
		if actions := h.advance(90 * ms); len(actions) != 1 || actions[0].Kind != test.want {
			t.Errorf("%+v: %+v at the deadline", test, actions)
		}
	}
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	h.accept(1, 2)
	if actions := h.finish(1, "a", Timeout, time.Second, 0); !hasAction(actions, Fail) || hasAction(actions, Send) {
		t.Errorf("an unsafe message that may have run: %+v", actions)
	}
}

func TestRetryAfterBlocksTheScope(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	h.accept(1, 0)
	h.finish(1, "a", Overloaded, 10*ms, 700*ms)
	if actions := h.accept(2, 0); hasAction(actions, Send) {
		t.Errorf("sent during a wait: %+v", actions)
	}
	if actions := h.advance(699 * ms); hasAction(actions, Send) {
		t.Errorf("sent during a wait: %+v", actions)
	}
	if actions := h.advance(2 * time.Second); !hasAction(actions, Send) {
		t.Error("nothing sent after the wait")
	}
}

// A wait told to one message of a call whose others were delivered was once lost.
func TestRetryAfterOfAPartlyDeliveredCall(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 2})
	h.step(
		Event{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second},
		Event{Kind: MessageAccepted, MessageID: 2, TimeLeft: 9 * time.Second},
	)
	h.step(Event{Kind: AttemptFinished, MessageID: 1, Endpoint: "a", Outcome: OK, MessageEnded: true},
		Event{Kind: AttemptFinished, MessageID: 2, Endpoint: "a", Outcome: Overloaded, RetryAfter: time.Second})
	if got := h.engine.endpoints["a"].scope.retryAfterUntil; got != h.now+time.Second {
		t.Errorf("wait until %v, want %v", got, h.now+time.Second)
	}
}

// A message that no route may ever take again gets its answer then, not at its deadline.
func TestExhaustedMessagesEndAtOnce(t *testing.T) {
	engine, err := New(restartSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	ends := func(at time.Duration, events ...Event) (kinds []ActionKind) {
		for _, a := range engine.Step(at, events) {
			if a.Kind == Reject || a.Kind == Fail {
				kinds = append(kinds, a.Kind)
			}
		}
		return kinds
	}
	if got := ends(time.Second, twoZoneList(),
		Event{Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: 14 * time.Second, Recovered: &RecoveredMessage{Attempts: 8, MayHaveRun: true, FirstRunZone: 2}},
		Event{Kind: MessageAccepted, MessageID: 2, Destination: 5, TimeLeft: 14 * time.Second, Recovered: &RecoveredMessage{Attempts: 2, MayHaveRun: true, FirstRunZone: 2}},
	); len(got) != 1 || got[0] != Fail {
		t.Errorf("with no attempts left: %v", got)
	}
	// No route stands in zone 2, where the second may have run: it waits for one as long as repeats are dropped.
	if got := ends(10900 * time.Millisecond); len(got) != 0 {
		t.Errorf("inside the window: %v", got)
	}
	if got := ends(11 * time.Second); len(got) != 1 || got[0] != Fail {
		t.Errorf("after the window: %v", got)
	}
}

func TestStillAllowed(t *testing.T) {
	engine, err := New(restartSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	engine.Step(
		time.Second,
		[]Event{twoZoneList(), {Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: 8 * time.Second}},
	)
	if !engine.StillAllowed("best", nil, time.Second) || !engine.StillAllowed("other", nil, time.Second) ||
		engine.StillAllowed("none", nil, time.Second) {
		t.Error("routes in service may be called, others not")
	}
	// A wait that comes with a delivery, as in a bundle's answer, binds too.
	engine.Step(
		2*time.Second,
		[]Event{
			{
				Kind:         AttemptFinished,
				MessageID:    1,
				Endpoint:     "best",
				Outcome:      OK,
				MessageEnded: true,
				RetryAfter:   time.Second,
			},
		},
	)
	if engine.StillAllowed("best", nil, 2900*time.Millisecond) || !engine.StillAllowed("best", nil, 3*time.Second) {
		t.Error("the wait ends at 3 s")
	}
	engine.Step(4*time.Second, []Event{{Kind: EndpointDelta, Endpoints: []Endpoint{
		{ID: "best", Destination: 5, Zone: 1, Weight: 50}, {ID: "other", Removed: true},
	}}})
	if engine.StillAllowed("best", nil, 4*time.Second) || engine.StillAllowed("other", nil, 4*time.Second) {
		t.Error("one drains, one is gone")
	}
}

// A connection that was long in coming must not carry a repeat that is dropped no more. What never ran may go at any
// time, and so may what may be repeated for ever.
func TestStillAllowedWithinDedupWindow(t *testing.T) {
	settings := restartSettings()
	safe := settings.Classes[0]
	safe.Effect = Idempotent
	settings.Classes = append(settings.Classes, safe)
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	ran := &RecoveredMessage{Attempts: 1, MayHaveRun: true, FirstRunZone: 1, SinceFirstRun: 9 * time.Second}
	engine.Step(time.Second, []Event{
		twoZoneList(),
		{Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: 14 * time.Second, Recovered: ran},
		{Kind: MessageAccepted, MessageID: 2, Destination: 5, TimeLeft: 14 * time.Second},
		{Kind: MessageAccepted, MessageID: 3, Class: 1, Destination: 5, TimeLeft: 14 * time.Second, Recovered: ran},
	})
	expiresAt := 2*time.Second - deadlineMargin
	for _, test := range []struct {
		ids  []uint32
		at   time.Duration
		want bool
	}{
		{[]uint32{1}, expiresAt - 1, true},
		{[]uint32{1}, expiresAt, false},
		{[]uint32{2, 1}, expiresAt, false},
		{[]uint32{2}, 9 * time.Second, true},
		{[]uint32{3}, 9 * time.Second, true},
		{[]uint32{77}, 9 * time.Second, true},
	} {
		if got := engine.StillAllowed("best", test.ids, test.at); got != test.want {
			t.Errorf("messages %v at %v: %v", test.ids, test.at, got)
		}
	}
}
