package policy

import (
	"slices"
	"testing"
	"time"
)

func TestFailureRules(t *testing.T) {
	now := time.Minute
	for _, test := range []struct {
		rule   string
		ep     endpoint
		obs    observation
		ejects bool
	}{
		{"outage", endpoint{}, observation{outcome: Overloaded, retryAfter: 5 * time.Second}, true},
		{
			"outage",
			endpoint{consecutiveRejections: outageRejections, firstRejectedAt: now - minOutageRejectionTime},
			observation{outcome: Overloaded},
			true,
		},
		{
			"rejected",
			endpoint{consecutiveRejections: outageRejections, firstRejectedAt: now - minOutageRejectionTime + 1},
			observation{outcome: Overloaded, retryAfter: time.Second},
			false,
		},
		{"trial failed", endpoint{ejected: true}, observation{outcome: Error}, true},
		{
			"connect exhausted",
			endpoint{consecutiveFailures: 1},
			observation{outcome: ConnectFailed, connectExhausted: true},
			false,
		},
		{"failed", endpoint{consecutiveFailures: 1}, observation{outcome: ConnectFailed}, false},
		{
			"consecutive failures",
			endpoint{consecutiveFailures: 3, lastSuccessAt: now - time.Second},
			observation{outcome: ConnectFailed},
			true,
		},
		{
			"mostly failing",
			endpoint{consecutiveFailures: 1, recentFailures: 0b10111010},
			observation{outcome: Error},
			true,
		},
		{"failed", endpoint{consecutiveFailures: 1, recentFailures: 0b1011010}, observation{outcome: Error}, false},
		{"failed", endpoint{consecutiveFailures: 2}, observation{outcome: Timeout}, false},
	} {
		engine := &Engine{now: now}
		ep := &test.ep
		i := slices.IndexFunc(failureRules, func(rule failureRule) bool { return rule.matches(engine, ep, test.obs) })
		if i < 0 || failureRules[i].name != test.rule || failureRules[i].ejects != test.ejects {
			t.Errorf("%+v, %+v: rule %d, want %q that ejects: %v", test.ep, test.obs, i, test.rule, test.ejects)
		}
	}
}

func TestEjectionExpires(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 9}, Endpoint{ID: "b", Kind: 1, Weight: 5})
	for id := range MessageID(3) {
		h.now += time.Second // the recovery budget allows the next call to a suspect endpoint
		if got := firstSend(h.accept(id, 0)); got != "a" {
			t.Fatalf("message %d sent to %q before the ejection, want a", id, got)
		}
		h.finish(id, "a", Error, 10*ms, 0)
		h.step(Event{Kind: MessageCancelled, MessageID: id})
	}
	if got := firstSend(h.accept(10, 0)); got != "b" {
		t.Errorf("message sent to %q while a is ejected, want b", got)
	}
	h.now += time.Duration(float64(initialEjectionTime) * (1 + ejectionJitter))
	if got := firstSend(h.accept(11, 0)); got != "a" {
		t.Errorf("message sent to %q after the ejection, want a", got)
	}
	if got := firstSend(h.accept(12, 0)); got != "b" {
		t.Errorf("second message sent to %q during the trial, want b", got)
	}
	if got := firstSend(h.accept(13, 2)); got != "b" {
		t.Errorf("non-idempotent message sent to %q during the trial, want b", got)
	}
}

// Guards against attempts that time out after milliseconds and so keep recovered endpoints ejected.
func TestTruncatedAttemptEjectsNothing(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	for range 5 {
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now, truncated: true}, ms)
	}
	if ep.ejected || !ep.warmingUp {
		t.Errorf("ejected %v, suspect %v after truncated attempts; want suspect only", ep.ejected, ep.warmingUp)
	}
}

// In a class whose deadline is shorter than the time that most endpoints may take to answer, all attempts time out
// early. An endpoint that hangs must still be ejected. In a class with a longer deadline, an attempt that times out
// as early because little time was left ejects no endpoint.
func TestHangingEndpointIsEjectedWithShortDeadlines(t *testing.T) {
	short := Class{Effect: Idempotent, LatencyObjective: 350 * ms, Deadline: 900 * ms, Weight: 1}
	long := Class{Effect: Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second, Weight: 1}
	for _, test := range []struct {
		name   string
		class  Class
		left   time.Duration
		ejects bool
	}{
		{"short deadline", short, 600 * ms, true},
		{"long deadline, little time left", long, 600 * ms, false},
		{"short deadline, hardly any time left", short, 300 * ms, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			ejected, timeouts := callHangingEndpoint(t, test.class, test.left)
			if ejected != test.ejects || timeouts < ejectAfterFailures {
				t.Errorf("ejected %v after %d timeouts, want %v after at least %d",
					ejected, timeouts, test.ejects, ejectAfterFailures)
			}
		})
	}
}

// callHangingEndpoint sends messages with little time left to an endpoint that never answers, until the endpoint is
// ejected or eight seconds have passed, and counts the attempts that time out.
func callHangingEndpoint(t *testing.T, class Class, left time.Duration) (ejected bool, timeouts int) {
	t.Helper()
	settings := Settings{Classes: []Class{class}, DestinationKinds: []DestinationKind{{MaxBatch: 1}}, FleetSize: 2}
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	engine.Step(now, []Event{
		{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "hangs", Destination: 5, Weight: 30, InService: true}}},
	})
	ep := engine.endpoints["hangs"]
	var pending []pendingEvent
	var events []Event
	for id := MessageID(1); now < 9*time.Second && !ep.ejected; id++ {
		events = append(events, Event{Kind: MessageAccepted, MessageID: id, Destination: 5, TimeLeft: left})
		for _, a := range engine.Step(now, events) {
			if a.Kind != Send {
				continue
			}
			pending = append(pending, pendingEvent{at: a.TimeoutAt, event: Event{
				Kind:      AttemptFinished,
				MessageID: a.MessageID,
				Attempt:   engine.messages[a.MessageID].attempts - 1,
				Endpoint:  a.Endpoint,
				Outcome:   Timeout,
				Latency:   a.TimeoutAt - now,
			}})
		}
		now += 50 * ms
		events = nil
		for len(pending) > 0 && pending[0].at <= now {
			events = append(events, pending[0].event)
			pending = pending[1:]
			timeouts++
		}
	}
	return ep.ejected, timeouts
}
