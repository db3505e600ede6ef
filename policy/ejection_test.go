package policy

import (
	"slices"
	"testing"
	"time"
)

func TestFailureRules(t *testing.T) {
	now := time.Minute
	for _, test := range []struct {
		rule string
		r    endpoint
		o    observation
		skip bool
	}{
		{"outage", endpoint{}, observation{outcome: Overloaded, retryAfter: 5 * time.Second}, true},
		{"outage", endpoint{consecutiveRejections: outageRejections, firstRejectedAt: now - minOutageRejectionTime}, observation{outcome: Overloaded}, true},
		{"rejected", endpoint{consecutiveRejections: outageRejections, firstRejectedAt: now - minOutageRejectionTime + 1}, observation{outcome: Overloaded, retryAfter: time.Second}, false},
		{"trial failed", endpoint{ejected: true}, observation{outcome: Error}, true},
		{"connect exhausted", endpoint{consecutiveFailures: 1}, observation{outcome: ConnectFailed, connectExhausted: true}, false},
		{"failed", endpoint{consecutiveFailures: 1}, observation{outcome: ConnectFailed}, false},
		{"consecutive failures", endpoint{consecutiveFailures: 3, lastSuccessAt: now - time.Second}, observation{outcome: ConnectFailed}, true},
		{"mostly failing", endpoint{consecutiveFailures: 1, recentFailures: 0b10111010}, observation{outcome: Error}, true},
		{"failed", endpoint{consecutiveFailures: 1, recentFailures: 0b1011010}, observation{outcome: Error}, false},
		{"failed", endpoint{consecutiveFailures: 2}, observation{outcome: Timeout}, false},
	} {
		engine := &Engine{now: now}
		ep := &test.r
		i := slices.IndexFunc(failureRules, func(rule failureRule) bool { return rule.matches(engine, ep, test.o) })
		if i < 0 || failureRules[i].name != test.rule || failureRules[i].ejects != test.skip {
			t.Errorf("%+v, %+v: rule %d, want %q with skip %v", test.r, test.o, i, test.rule, test.skip)
		}
	}
}

func TestEjectionExpires(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 9}, Endpoint{ID: "b", Kind: 1, Weight: 5})
	for id := range uint32(3) {
		h.now += time.Second // the recovery budget of a route in doubt
		if got := firstSend(h.accept(id, 0)); got != "a" {
			t.Fatalf("message %d to %q before the skip", id, got)
		}
		h.finish(id, "a", Error, 10*ms, 0)
		h.step(Event{Kind: MessageCancelled, MessageID: id})
	}
	if got := firstSend(h.accept(10, 0)); got != "b" {
		t.Errorf("message to %q while a is skipped", got)
	}
	h.now += time.Duration(float64(initialEjectionTime) * (1 + ejectionJitter))
	if got := firstSend(h.accept(11, 0)); got != "a" {
		t.Errorf("message to %q after the skip", got)
	}
	if got := firstSend(h.accept(12, 0)); got != "b" {
		t.Errorf("second message to %q during the trial", got)
	}
	if got := firstSend(h.accept(13, 2)); got != "b" {
		t.Errorf("unsafe message to %q during the trial", got)
	}
}

// Calls cut off after milliseconds once kept recovered routes skipped.
func TestTruncatedAttemptEjectsNothing(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	for range 5 {
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now, truncated: true}, ms)
	}
	if ep.ejected || !ep.warmingUp {
		t.Errorf("down %v, cold %v after short calls", ep.ejected, ep.warmingUp)
	}
}

// A class with less time than an answer of most hosts may take has all its calls cut before that. A host that hangs is
// skipped all the same; a call of a class with more time that was cut as early, for want of time left, still skips
// none.
func TestHangingEndpointIsEjectedWithShortDeadlines(t *testing.T) {
	hasty := Class{
		Effect:           Idempotent,
		LatencyObjective: 350 * time.Millisecond,
		Deadline:         900 * time.Millisecond,
		Weight:           1,
	}
	for _, test := range []struct {
		name  string
		class Class
		left  time.Duration
		skips bool
	}{
		{"short times", hasty, 600 * time.Millisecond, true},
		{"long times, little left", Class{Effect: Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second, Weight: 1}, 600 * time.Millisecond, false},
		{"short times, hardly any left", hasty, 300 * time.Millisecond, false},
	} {
		engine, err := New(
			Settings{Classes: []Class{test.class}, DestinationKinds: []DestinationKind{{MaxBatch: 1}}, FleetSize: 2},
			1,
		)
		if err != nil {
			t.Fatal(err)
		}
		type out struct {
			at time.Duration
			ev Event
		}
		var outs []out
		events := []Event{
			{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "hangs", Destination: 5, Weight: 30, InService: true}}},
		}
		now, id, cut := time.Second, uint32(0), 0
		for now < 9*time.Second && (engine.endpoints["hangs"] == nil || !engine.endpoints["hangs"].ejected) {
			id++
			events = append(events, Event{Kind: MessageAccepted, MessageID: id, Destination: 5, TimeLeft: test.left})
			for _, a := range engine.Step(now, events) {
				if a.Kind == Send {
					outs = append(outs, out{a.TimeoutAt, Event{
						Kind: AttemptFinished, MessageID: a.MessageID, Attempt: engine.messages[a.MessageID].attempts - 1, Endpoint: a.Endpoint, Outcome: Timeout, Latency: a.TimeoutAt - now,
					}})
				}
			}
			now, events = now+50*time.Millisecond, nil
			for len(outs) > 0 && outs[0].at <= now {
				events, outs, cut = append(events, outs[0].ev), outs[1:], cut+1
			}
		}
		if down := engine.endpoints["hangs"].ejected; down != test.skips || cut < ejectAfterFailures {
			t.Errorf("%s: skipped %v after %d calls, want %v", test.name, down, cut, test.skips)
		}
	}
}
