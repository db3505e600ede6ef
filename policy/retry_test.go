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
		{0, Timeout, Reject, false},    // idempotent: the client may retry
		{1, Overloaded, Reject, false}, // idempotent by key, has not run
		{1, Timeout, Fail, true},       // idempotent by key, may have run: no repeat is dropped after 10 s
		{1, UnprovenRejection, Fail, true},
		{2, ConnectFailed, Reject, false},
	} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a"})
		h.accept(1, test.class)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Removed: true}}})
		h.finish(1, "a", test.outcome, time.Second, 0)
		actions := h.advance(58900 * ms)
		if hasAction(actions, test.want) != test.early || !test.early && len(actions) != 0 {
			t.Errorf("%+v: %+v before the deadline", test, actions)
		}
		if test.early {
			continue
		}
		if actions := h.advance(90 * ms); len(actions) != 1 || actions[0].Kind != test.want {
			t.Errorf("%+v: %+v at the deadline", test, actions)
		}
	}
	for _, outcome := range []Outcome{Timeout, UnprovenRejection} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a"})
		h.accept(1, 2)
		if actions := h.finish(1, "a", outcome, time.Second, 0); !hasAction(actions, Fail) || hasAction(actions, Send) {
			t.Errorf("a non-idempotent message that may have run, %v: %+v", outcome, actions)
		}
	}
}

// An unproven rejection has the effect of a rejection on its endpoint's limit scope.
func TestUnprovenRejectionPacesLikeARejection(t *testing.T) {
	var rates [2]float64
	for i, outcome := range []Outcome{Overloaded, UnprovenRejection} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a"})
		for id := MessageID(1); id <= 5; id++ {
			h.accept(id, 0)
			h.finish(id, "a", OK, 10*ms, 0)
		}
		h.accept(6, 0)
		h.finish(6, "a", outcome, 10*ms, 700*ms)
		scope := h.engine.endpoints["a"].scope
		rates[i] = scope.pacingRate
		if scope.retryAfterUntil != h.now+700*ms {
			t.Errorf("%v: Retry-After until %v, want %v", outcome, scope.retryAfterUntil, h.now+700*ms)
		}
	}
	if rates[0] != rates[1] || rates[0] == 0 {
		t.Errorf("pacing rates %v, want the same", rates)
	}
}

func TestRetryAfterBlocksTheScope(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	h.accept(1, 0)
	h.finish(1, "a", Overloaded, 10*ms, 700*ms)
	if actions := h.accept(2, 0); hasAction(actions, Send) {
		t.Errorf("sent during a Retry-After: %+v", actions)
	}
	if actions := h.advance(699 * ms); hasAction(actions, Send) {
		t.Errorf("sent during a Retry-After: %+v", actions)
	}
	if actions := h.advance(2 * time.Second); !hasAction(actions, Send) {
		t.Error("nothing sent after the Retry-After")
	}
}

// Guards against losing the Retry-After for one message of a call whose other messages were delivered.
func TestRetryAfterOfAPartlyDeliveredCall(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 2})
	h.step(
		Event{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second},
		Event{Kind: MessageAccepted, MessageID: 2, TimeLeft: 9 * time.Second},
	)
	h.step(Event{Kind: AttemptFinished, MessageID: 1, Endpoint: "a", Outcome: OK, MessageEnded: true},
		Event{Kind: AttemptFinished, MessageID: 2, Endpoint: "a", Outcome: Overloaded, RetryAfter: time.Second})
	if got := h.engine.endpoints["a"].scope.retryAfterUntil; got != h.now+time.Second {
		t.Errorf("Retry-After until %v, want %v", got, h.now+time.Second)
	}
}

// A message that can have no further attempt gets its final answer at once, not at its deadline.
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
	recovered := func(id MessageID, attempts int) Event {
		return Event{
			Kind:        MessageAccepted,
			MessageID:   id,
			Destination: 5,
			TimeLeft:    14 * time.Second,
			Recovered:   &RecoveredMessage{Attempts: attempts, MayHaveRun: true, FirstRunZone: 2},
		}
	}
	got := ends(time.Second, twoZoneList(), recovered(1, 8), recovered(2, 2))
	if len(got) != 1 || got[0] != Fail {
		t.Errorf("final answers to a message with no attempts left: %v", got)
	}
	// Message 2 may have run in zone 2, which has no endpoint. It waits for one until its dedup window ends.
	if got := ends(10900 * time.Millisecond); len(got) != 0 {
		t.Errorf("final answers inside the dedup window: %v", got)
	}
	if got := ends(11 * time.Second); len(got) != 1 || got[0] != Fail {
		t.Errorf("final answers after the dedup window: %v", got)
	}
}

func TestStillAllowed(t *testing.T) {
	engine, err := New(restartSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	check := func(endpointID string, now time.Duration, want bool) {
		t.Helper()
		if got := engine.StillAllowed(endpointID, nil, now); got != want {
			t.Errorf("a call to %s at %v: %v, want %v", endpointID, now, got, want)
		}
	}
	engine.Step(time.Second, []Event{
		twoZoneList(), {Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: 8 * time.Second},
	})
	check("best", time.Second, true)
	check("other", time.Second, true)
	check("none", time.Second, false)
	// A Retry-After that comes with a delivery, as in the answer to a batch, also applies.
	engine.Step(2*time.Second, []Event{{
		Kind:         AttemptFinished,
		MessageID:    1,
		Endpoint:     "best",
		Outcome:      OK,
		MessageEnded: true,
		RetryAfter:   time.Second,
	}})
	check("best", 2900*ms, false)
	check("best", 3*time.Second, true)
	engine.Step(4*time.Second, []Event{{Kind: EndpointDelta, Endpoints: []Endpoint{
		{ID: "best", Destination: 5, Zone: 1, Weight: 50}, {ID: "other", Removed: true},
	}}})
	check("best", 4*time.Second, false)  // draining
	check("other", 4*time.Second, false) // removed
}

// A retry that was delayed by a slow connection must not be sent after the dedup window, when endpoints no longer
// drop it. A message that has not run may still be sent, and so may an idempotent message.
func TestStillAllowedWithinDedupWindow(t *testing.T) {
	settings := restartSettings()
	idempotent := settings.Classes[0]
	idempotent.Effect = Idempotent
	settings.Classes = append(settings.Classes, idempotent)
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
	windowEnd := 2*time.Second - deadlineMargin
	for _, test := range []struct {
		ids  []MessageID
		at   time.Duration
		want bool
	}{
		{[]MessageID{1}, windowEnd - 1, true},
		{[]MessageID{1}, windowEnd, false},
		{[]MessageID{2, 1}, windowEnd, false},
		{[]MessageID{2}, 9 * time.Second, true},
		{[]MessageID{3}, 9 * time.Second, true},
		{[]MessageID{77}, 9 * time.Second, true},
	} {
		if got := engine.StillAllowed("best", test.ids, test.at); got != test.want {
			t.Errorf("messages %v at %v: still allowed %v", test.ids, test.at, got)
		}
	}
}
