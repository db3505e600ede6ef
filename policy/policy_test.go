package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one Sender with an explicit clock.
type harness struct {
	t        *testing.T
	engine   *Engine
	now      time.Duration
	attempts map[uint32]int
}

func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Effect: Idempotent, LatencyObjective: 2 * time.Second, Deadline: 60 * time.Second, Weight: 1},
			{
				Effect:           IdempotentByKey,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 2 * time.Second,
				Deadline:         60 * time.Second,
				Weight:           1,
			},
			{
				Effect:           NonIdempotent,
				Ordered:          true,
				LatencyObjective: 2 * time.Second,
				Deadline:         60 * time.Second,
				Weight:           1,
			},
		},
		DestinationKinds: []DestinationKind{{MaxBatch: 1}, {LimitPerEndpoint: true, MaxBatch: 1}, {MaxBatch: 3}},
		FleetSize:        1, WarmUpInitialCapacity: 0.2, WarmUpDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadWindow: 2 * time.Second, OrderingPause: 100 * ms,
	}
}

func newHarness(t *testing.T, settings Settings, list ...Endpoint) *harness {
	t.Helper()
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, engine: engine, now: time.Minute, attempts: map[uint32]int{}}
	for i := range list {
		list[i].InService = true
	}
	h.step(Event{Kind: EndpointSnapshot, Endpoints: list})
	return h
}

// step gives events at the present time and keeps the actions other than wakes.
func (h *harness) step(events ...Event) []Action {
	var actions []Action
	for _, a := range h.engine.Step(h.now, events) {
		if a.Kind != SetTimer {
			actions = append(actions, a)
		}
	}
	return actions
}

func (h *harness) accept(id uint32, classIndex int) []Action {
	return h.step(Event{Kind: MessageAccepted, MessageID: id, Class: classIndex, TimeLeft: 60 * time.Second})
}

func (h *harness) finish(id uint32, endpointID string, outcome Outcome, after, wait time.Duration) []Action {
	h.now += after
	n := h.attempts[id]
	h.attempts[id]++
	return h.step(Event{
		Kind: AttemptFinished, MessageID: id, Attempt: n, Endpoint: endpointID, Outcome: outcome, Latency: after, RetryAfter: wait,
		MessageEnded: outcome == OK,
	})
}

// advance lets time pass and wakes the Sender.
func (h *harness) advance(after time.Duration) []Action {
	h.now += after
	return h.step(Event{Kind: TimerFired})
}

// firstSend tells where the first Send of the actions goes; "" if none.
func firstSend(actions []Action) string {
	for _, a := range actions {
		if a.Kind == Send {
			return a.Endpoint
		}
	}
	return ""
}

func hasAction(actions []Action, k ActionKind) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == k })
}

func TestEndpointsAreOrderedByWeightCostAndTieBreaker(t *testing.T) {
	settings := testSettings()
	settings.ZoneCosts = []float64{0, 0.03}
	h := newHarness(t, settings, Endpoint{ID: "a", Kind: 1, Zone: 1, Weight: 5}, Endpoint{ID: "c", Kind: 1, Weight: 5},
		Endpoint{ID: "b", Kind: 1, Weight: 5}, Endpoint{ID: "z", Kind: 1, Zone: 1, Weight: 9})
	var got []string
	got = append(got, firstSend(h.accept(1, 0)))
	for range 3 {
		got = append(got, firstSend(h.finish(1, got[len(got)-1], Overloaded, 10*ms, 0)))
	}
	// Each refusal leaves its gate a pace with nothing saved, so the message moves on.
	slices.Sort(got[1:3]) // equal routes go by lot
	if want := []string{"z", "b", "c", "a"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// Hundreds of senders once loaded the first of several equal routes while the others idled.
func TestFleetSpreadsOverEqualEndpoints(t *testing.T) {
	first := map[string]int{}
	for seed := range uint64(60) {
		settings := testSettings()
		settings.FleetSize = 60
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		actions := engine.Step(time.Minute, []Event{
			{Kind: EndpointSnapshot, Endpoints: []Endpoint{
				{ID: "a", InService: true},
				{ID: "b", InService: true},
				{ID: "c", InService: true},
			}},
			{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second},
		})
		first[firstSend(actions)]++
	}
	if first["a"] < 10 || first["b"] < 10 || first["c"] < 10 {
		t.Errorf("first choices of 60 senders: %v", first)
	}
}

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

func TestPacingDecreasesIncreasesAndRestarts(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 2})
	for id := range uint32(8) {
		h.accept(id, 0)
	}
	scope := h.engine.endpoints["a"].scope
	if scope.pacingRate != 0 {
		t.Fatalf("the pace starts at %v, want free", scope.pacingRate)
	}
	h.finish(0, "a", Overloaded, 100*ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pace %v after a refusal at 8 in the last second, want 4", scope.pacingRate)
	}
	h.finish(1, "a", Overloaded, ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pace %v after a refusal of the same burst, want 4", scope.pacingRate)
	}
	h.finish(2, "a", OK, ms, 0)
	if want := 4 * (1 + pacingGrowth); scope.pacingRate != want {
		t.Errorf("pace %v after a delivery, want %v", scope.pacingRate, want)
	}
	for id := uint32(3); id < 6; id++ {
		h.finish(id, "a", Error, ms, 0)
	}
	ep := h.engine.endpoints["a"]
	if !ep.ejected {
		t.Fatal("three failures in a row did not skip the route")
	}
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	if want := pacingRestartRate * (1 + pacingGrowth); ep.ejected || scope.pacingRate != want {
		t.Errorf("pace %v at the end of a skip, want %v", scope.pacingRate, want)
	}
}

// Halving counts of few calls a second again and again starved gates whose limit was known.
func TestPacingKeepsHalfTheEvenShare(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 20})
	ep := h.engine.endpoints["a"]
	for range 5 {
		h.now += time.Second
		h.engine.now = h.now
		h.engine.decreasePacing(ep, observation{outcome: Overloaded, sentAt: h.now})
	}
	if want := 20 * minPacingShareRatio; ep.scope.pacingRate != want {
		t.Errorf("pace %v after five refusals, want %v", ep.scope.pacingRate, want)
	}
}

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

func TestDrainingEndpointTakesNothing(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	actions := h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a"}}},
		Event{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second})
	if hasAction(actions, Send) {
		t.Errorf("sent to a draining route: %+v", actions)
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

func TestRecoveryBudgetSpacesCalls(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 5})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	// 2/3 of what topples at the window's end, 2*0.36*5*2 calls, less half a call, in a window that lapses late.
	rate := (recoveryPushRatio*2*0.36*5*2 - 0.5) / (2 * (1 + recoveryLapseRatio)) * (1 - ownDeliveryRatio)
	if got, want := h.engine.recoveryBudgetAt(ep), h.now+callInterval(rate); got != want {
		t.Errorf("next call at %v, want %v", got, want)
	}
	ep.recoveredAt, h.engine.now = h.now, h.now+10*time.Second
	if got := h.engine.recoveryBudgetAt(ep); got != 0 || ep.warmingUp {
		t.Errorf("after the warm-up: next call at %v", got)
	}
}

// Senders told to wait until a destination opens once all called as it did: their budget had filled meanwhile.
func TestRetryAfterSavesNoRecoveryTokens(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 400
	open := 0
	for seed := range uint64(400) {
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		engine.Step(
			time.Minute,
			[]Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: 400, InService: true}}}},
		)
		ep := engine.endpoints["a"]
		ep.scope.retryAfterUntil = engine.now + 10*time.Second
		engine.observeOutcome(ep, observation{outcome: Overloaded, retryAfter: 10 * time.Second, sentAt: engine.now}, ms)
		engine.recoveryBudgetAt(ep)
		if engine.now = ep.scope.retryAfterUntil; engine.recoveryBudgetAt(ep) <= engine.now {
			open++
		}
	}
	if open > 4 {
		t.Errorf("%d of 400 senders call at the end of the wait", open)
	}
}

// A sender of hundreds may see one failure of an outage: that is enough to doubt, and one delivery to clear.
func TestSparseShareSuspectsOnOneFailure(t *testing.T) {
	for _, test := range []struct {
		senders int
		cold    bool
	}{{1, false}, {3, false}, {100, true}, {400, true}} {
		settings := testSettings()
		settings.FleetSize = test.senders
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
		ep := h.engine.endpoints["a"]
		h.engine.now = h.now
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now}, time.Second)
		if ep.warmingUp != test.cold {
			t.Errorf("%d senders: in doubt %v after one failure", test.senders, ep.warmingUp)
		}
		h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
		if ep.warmingUp {
			t.Errorf("%d senders: in doubt after a delivery", test.senders)
		}
	}
}

// A shut destination was pushed over by hundreds of senders that it had refused twice each.
func TestSparseShareSuspectsOnTwoRejections(t *testing.T) {
	for _, test := range []struct {
		senders   int
		gap, wait time.Duration
		cold      bool
	}{
		{20, minOutageRejectionTime, 0, true},
		{20, minOutageRejectionTime - ms, 0, false},  // a clump: over by then
		{20, minOutageRejectionTime, 500 * ms, true}, // waits are told by shut destinations too
		{10, minOutageRejectionTime, 0, true},        // its part is more than a call in the span of a fall: a warm-up follows
		{1, minOutageRejectionTime, 0, false},
	} {
		settings := testSettings()
		settings.FleetSize = test.senders
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
		ep := h.engine.endpoints["a"]
		h.engine.now = h.now
		h.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: h.now, retryAfter: test.wait}, ms)
		h.engine.now += test.gap
		h.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: h.engine.now, retryAfter: test.wait}, ms)
		if ep.warmingUp != test.cold {
			t.Errorf("%+v: in doubt %v", test, ep.warmingUp)
		}
	}
}

// Hundreds of senders refused once by a shut destination, or told by one failed connection of a crashed one,
// pushed it over together as it came back. Most of them doubt now; where each sees more of a route, none does yet.
func TestWeakSignalsSuspectByChance(t *testing.T) {
	for _, test := range []struct {
		senders     int
		outcome     Outcome
		alive       bool
		least, most int // in doubt, of 200
	}{
		{400, Overloaded, false, 100, 140},
		{400, ConnectFailed, false, 100, 140},
		{400, Overloaded, true, 0, 0}, // it answered within the last seconds
		{3, Overloaded, false, 0, 0},
		{20, Overloaded, false, 0, 0}, // its part is more than a call in a warm-up
	} {
		settings := testSettings()
		settings.FleetSize = test.senders
		n := 0
		for seed := range uint64(200) {
			engine, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			engine.Step(
				time.Minute,
				[]Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: 4, InService: true}}}},
			)
			ep := engine.endpoints["a"]
			engine.connectShortageUntil[0] = engine.now + time.Minute
			if test.alive {
				engine.recordSuccess(ep, engine.now, ms)
			}
			engine.observeOutcome(ep, observation{outcome: test.outcome, sentAt: engine.now}, ms)
			if ep.warmingUp {
				n++
			}
		}
		if n < test.least || n > test.most {
			t.Errorf("%+v: %d of 200 in doubt", test, n)
		}
	}
}

// Short-lived messages once had two tries of half their time each, both cut off before the answer.
func TestShortTimeLeftGoesToOneAttempt(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for _, test := range []struct{ left, want time.Duration }{
		{1200 * ms, 1200*ms - deadlineMargin},
		{8 * time.Second, 1600 * ms}, // what an answer not measured yet may take
	} {
		actions := h.step(Event{Kind: MessageAccepted, MessageID: uint32(test.left), TimeLeft: test.left})
		if len(actions) != 1 || actions[0].Kind != Send || actions[0].TimeoutAt-h.now != test.want {
			t.Errorf("%v left: %+v, want one try cut after %v", test.left, actions, test.want)
		}
	}
}

// Messages once waited to their deadlines at destinations that would open after them.
func TestUnservableMessagesAreRejected(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 400
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	if actions := h.accept(1, 0); !hasAction(actions, Reject) {
		t.Errorf("opens in %v: %+v, want a refusal", h.engine.recoveryBudgetAt(ep)-h.now, actions)
	}
	if actions := h.accept(2, 2); hasAction(actions, Reject) != h.engine.mayReject(&message{class: &settings.Classes[2]}) {
		t.Errorf("unsafe, nothing sent: %+v", actions)
	}
	ep.scope.recoveryTokens = 1 - h.engine.recoveryRate(ep) // opens in a second
	h.engine.recheck(ep.scope.destination)
	if actions := h.accept(3, 0); hasAction(actions, Reject) {
		t.Errorf("opens in a second: %+v, want it held", actions)
	}
}

// Calls saved up by hundreds of senders through a long outage once went out together at its end.
func TestDueRecoveryCallsLapse(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, Endpoint{ID: "a", Kind: 1, Weight: 4})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	rate := h.engine.recoveryRate(ep)
	open := 0
	const steps = 10000
	for range steps {
		h.engine.now += 10 * ms
		if h.engine.recoveryBudgetAt(ep) <= h.engine.now {
			open++
		}
	}
	want := rate * recoveryLapseRatio * settings.OverloadWindow.Seconds()
	if got := float64(open) / steps; math.Abs(got-want) > 0.1*want {
		t.Errorf("a call is due %.3f of the time, want %.3f", got, want)
	}
}

// A wake that came a fraction early was taken as still to come, and the message it was for had no answer.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	h.accept(1, 0)
	h.now += 1500 * ms
	at := h.now
	h.engine.requestTimer(at + 500*time.Nanosecond)
	h.engine.timerAt, h.engine.requestedTimerAt = h.engine.requestedTimerAt, 0
	actions := h.engine.Step(at, []Event{{Kind: TimerFired}})
	if !hasAction(actions, SetTimer) {
		t.Errorf("no wake asked for: %+v", actions)
	}
}

// Idle connections of hundreds of senders once filled the tables of destinations.
func TestScarceConnectionsAreClosedAfterUse(t *testing.T) {
	for _, test := range []struct {
		senders int
		want    bool
	}{{smallFleetSize, false}, {100, true}} {
		settings := testSettings()
		settings.FleetSize = test.senders
		h := newHarness(t, settings, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
		other := func(id uint32) bool {
			h.step(Event{Kind: MessageAccepted, MessageID: id, Destination: 1, TimeLeft: 9 * time.Second})
			return hasAction(h.finish(id, "b", OK, 10*ms, 0), CloseIdle)
		}
		h.accept(1, 0)
		h.finish(1, "a", OK, 10*ms, 0)
		h.accept(2, 0)
		h.finish(2, "a", ConnectFailed, 10*ms, 0)
		if other(3) {
			t.Errorf("%d senders: closed after a connection of the kind that failed: it may be an outage's", test.senders)
		}
		h.advance(time.Second)
		h.finish(2, "a", OK, 10*ms, 0)
		if got := other(4); got != test.want {
			t.Errorf("%d senders: closed %v after a failed connection and an answer of the kind", test.senders, got)
		}
	}
}

// Two failed connections at a full table once put a destination in doubt for its whole warm-up.
func TestFullConnectionTableIsNoOutage(t *testing.T) {
	for _, test := range []struct {
		senders, fails int
		took           time.Duration
		cold           bool
	}{
		{20, 2, 10 * ms, false},                         // a full table
		{100, maxConnectExhaustions + 3, 10 * ms, true}, // an outage after all
		{100, 3, time.Second, true},                     // not at once: silence
		{3, 3, 10 * ms, true},                           // few senders fill no table
	} {
		settings := testSettings()
		settings.FleetSize = test.senders
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4}, Endpoint{ID: "b", Weight: 4})
		h.engine.now = h.now
		h.engine.connectShortageUntil[0] = h.now + time.Minute
		for range test.fails {
			h.engine.observeOutcome(h.engine.endpoints["a"], observation{outcome: ConnectFailed, sentAt: h.now - test.took}, test.took)
		}
		if got := h.engine.endpoints["a"].warmingUp; got != test.cold {
			t.Errorf("%+v: in doubt %v", test, got)
		}
	}
}

// At a call in some seconds a pace once recovered thirty times slower than at ten a second.
func TestPacingGrowsWithTimeBetweenSuccesses(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1})
	scope := h.engine.endpoints["a"].scope
	scope.pacingRate, scope.decreasedAt, scope.tokensUpdatedAt = 0.1, h.now, h.now
	h.engine.now = h.now + 4*time.Second
	h.engine.increasePacing(scope)
	if want := 0.1 * math.Pow(1+pacingGrowth, 4); math.Abs(scope.pacingRate-want) > 1e-9 {
		t.Errorf("pace %v after a success in 4 s, want %v", scope.pacingRate, want)
	}
}

// A replacement listed during an outage was once sent to at full pace.
func TestReplacementInheritsSuspicion(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for id := range uint32(3) {
		h.accept(id, 0)
		h.finish(id, "a", ConnectFailed, time.Second, 0)
		h.step(Event{Kind: MessageCancelled, MessageID: id})
	}
	h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Removed: true}, {ID: "n", InService: true}}})
	if h.engine.recoveryBudgetAt(h.engine.endpoints["n"]) == 0 {
		t.Error("the replacement of a failing route is not under the recovery budget")
	}
}

func TestOrderingKeySerializesAndPauses(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	h.step(Event{Kind: MessageAccepted, MessageID: 1, Key: "k", Class: 2, TimeLeft: 9 * time.Second},
		Event{Kind: MessageAccepted, MessageID: 2, Key: "k", Class: 2, TimeLeft: 9 * time.Second})
	if actions := h.finish(1, "a", Timeout, time.Second, 0); hasAction(actions, Send) {
		t.Errorf("sent while the key rests: %+v", actions)
	}
	if actions := h.advance(99 * ms); hasAction(actions, Send) {
		t.Errorf("sent while the key rests: %+v", actions)
	}
	if actions := h.advance(ms); !hasAction(actions, Send) {
		t.Error("the next message of the key was not sent after the rest")
	}
}

// Time-outs of calls that later ones overtook once skipped routes that lost single calls.
func TestLostCallIsNoEvidence(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	for range 5 {
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now - time.Second}, time.Second)
	}
	if ep.ejected || ep.warmingUp || ep.consecutiveFailures != 0 {
		t.Errorf("down %v, cold %v, streak %d after lost calls", ep.ejected, ep.warmingUp, ep.consecutiveFailures)
	}
}

// Scattered resets once put living routes under the recovery budget.
func TestResetAtAHealthyEndpointIsNoEvidence(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	if ep.warmingUp {
		t.Error("in doubt after two resets within 3 s of an answer")
	}
	h.engine.now += recentlyHealthyWindow
	for range 3 {
		h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	}
	if !ep.ejected {
		t.Error("not skipped after three resets in a row and no answer for 3 s")
	}
}

// Under loss without resets, each time-out once restarted the warm-up of a route that went on answering.
func TestTimeoutsBetweenAnswersKeepTheWarmUp(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	back := ep.recoveredAt
	for range 6 {
		h.engine.now += time.Second
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.engine.now - ms}, time.Second)
		h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.engine.now}, ms)
	}
	if back == 0 || ep.recoveredAt != back || ep.ejected {
		t.Errorf("back at %v, then %v, down %v", back, ep.recoveredAt, ep.ejected)
	}
	h.engine.now += time.Second
	for range 2 {
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.engine.now}, time.Second)
	}
	if ep.recoveredAt != 0 {
		t.Error("two time-outs in a row did not restart the warm-up")
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

// Calls of a route whose last call failed carry one message: ten once shared each failed trial.
func TestBatches(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 2})
	three := func(first uint32) int {
		var events []Event
		for i := range uint32(3) {
			events = append(events, Event{Kind: MessageAccepted, MessageID: first + i, TimeLeft: 9 * time.Second})
		}
		before := len(h.engine.endpoints["a"].calls)
		h.step(events...)
		return len(h.engine.endpoints["a"].calls) - before
	}
	if n := three(1); n != 1 {
		t.Errorf("three messages in %d calls, want 1", n)
	}
	h.engine.endpoints["a"].consecutiveFailures = 1
	if n := three(4); n != 3 {
		t.Errorf("three messages in %d calls after a failure, want 3", n)
	}
}

func TestOverdueCallsSaturateAnEndpoint(t *testing.T) {
	settings := testSettings()
	settings.MaxInFlightCalls = 8
	h := newHarness(t, settings, Endpoint{ID: "a", Kind: 1})
	h.accept(1, 0)
	h.accept(2, 0)
	h.now += 5 * time.Second
	if actions := h.accept(3, 0); hasAction(actions, Send) {
		t.Errorf("a third call to a silent route: %+v", actions)
	}
}

func TestLoadIsShedFromTheLongestQueue(t *testing.T) {
	settings := testSettings()
	settings.MaxPendingMessages = 10
	h := newHarness(t, settings)
	for id := range uint32(9) {
		h.accept(id, 0)
	}
	actions := h.step(Event{Kind: MessageAccepted, MessageID: 20, Destination: 4, TimeLeft: 60 * time.Second})
	if len(actions) != 1 || actions[0].Kind != Reject || actions[0].MessageID == 20 {
		t.Errorf("with little room left: %+v", actions)
	}
}

func TestLateMessagesAreDeprioritized(t *testing.T) {
	h := newHarness(t, testSettings())
	h.accept(1, 0)
	h.advance(3 * time.Second)
	h.accept(2, 0)
	actions := h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", InService: true}}})
	if len(actions) != 2 || actions[0].MessageID != 2 || actions[1].MessageID != 1 {
		t.Errorf("order of sends: %+v", actions)
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no class":       func(s *Settings) { s.Classes = nil },
		"negative slots": func(s *Settings) { s.MaxInFlightCalls = -1 },
		"negative aim":   func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"negative pause": func(s *Settings) { s.OrderingPause = -1 },
		"no number":      func(s *Settings) { s.WarmUpInitialCapacity = math.NaN() },
		"endless value":  func(s *Settings) { s.Classes[0].Weight = math.Inf(1) },
	} {
		settings := testSettings()
		spoil(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A message of no known class ends once, under the strictest rules; a weight that is no number tells nothing.
func TestUnknownClassAndWeight(t *testing.T) {
	for _, classIndex := range []int{-1, 99} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a", Weight: math.NaN()}, Endpoint{ID: "b", Kind: 77})
		if got := firstSend(h.accept(1, classIndex)); got == "" {
			t.Fatalf("class %d: not sent", classIndex)
		}
		if actions := h.finish(1, "a", Timeout, time.Second, 0); !hasAction(actions, Fail) || hasAction(actions, Send) {
			t.Errorf("class %d: %+v after a time-out", classIndex, actions)
		}
	}
}

func TestCallIntervalIsBounded(t *testing.T) {
	if callInterval(0) != time.Hour || callInterval(1e-9) != time.Hour || callInterval(math.Inf(1)) != 0 || callInterval(4) != 250*ms {
		t.Errorf("spans %v %v %v", callInterval(0), callInterval(1e-9), callInterval(4))
	}
}

// emptyDestinationsOf are the destinations without routes that a Sender still knows, in their order.
func emptyDestinationsOf(engine *Engine) (all []*destination) {
	for dest := engine.emptyDestinations.first; dest != nil; dest = dest.nextEmpty {
		all = append(all, dest)
	}
	return all
}

// Turns were once kept for good when their rest outlasted their last message, and destinations always.
func TestNothingIsRetainedAfterRemoval(t *testing.T) {
	settings := testSettings()
	settings.MaxInFlightCalls, settings.MaxPendingMessages = 50, 100
	h := newHarness(t, settings)
	for i := range 300 {
		id, name := uint32(i), fmt.Sprint("r", i)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: i, InService: true}}})
		h.step(
			Event{Kind: MessageAccepted, MessageID: id, Key: name, Class: 2, Destination: i, TimeLeft: 9 * time.Second},
		)
		h.finish(id, name, Timeout, time.Second, 0)
		h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: i, Removed: true}}})
	}
	h.now += time.Minute
	h.step(Event{Kind: TimerFired}, Event{Kind: EndpointDelta})
	engine := h.engine
	if n := len(engine.keyQueues) + len(engine.destinations) + len(engine.sortedDestinations) + len(engine.endpoints) + len(engine.messages) + len(engine.active) + len(emptyDestinationsOf(engine)); n != 0 {
		t.Errorf("held: %d turns, %d destinations (%d in order), %d routes, %d messages, %d active, %d bare",
			len(engine.keyQueues), len(engine.destinations), len(engine.sortedDestinations), len(engine.endpoints), len(engine.messages), len(engine.active), len(emptyDestinationsOf(engine)))
	}
}

// Destinations with nothing to do are not looked at: the next dispatch once walked them all.
func TestBlockedDestinationsAreNotRechecked(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	h.accept(1, 0)
	h.finish(1, "a", Overloaded, ms, 5*time.Second)
	if len(h.engine.active) != 1 || h.engine.active[0].blockedUntil <= h.now {
		t.Fatalf("active %d, want the one destination that waits, closed", len(h.engine.active))
	}
	opens := h.engine.active[0].blockedUntil
	h.step(Event{Kind: MessageAccepted, MessageID: 2, Destination: 1, TimeLeft: 9 * time.Second})
	if len(h.engine.active) != 1 || h.engine.active[0].blockedUntil != opens {
		t.Error("a message for another destination had the closed one looked at again")
	}
}

// A told wait that means shut, at one route, puts all routes of its limit in doubt: at its end none of them is free.
func TestOutageSuspectsTheWholeScope(t *testing.T) {
	settings := testSettings()
	settings.WarmUpDuration = 20 * time.Second
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 8}, Endpoint{ID: "b", Weight: 8})
	h.engine.observeOutcome(h.engine.endpoints["a"], observation{outcome: Overloaded, retryAfter: 2 * outageRetryAfter, sentAt: h.engine.now}, 0)
	for _, name := range []string{"a", "b"} {
		if !h.engine.endpoints[name].warmingUp {
			t.Errorf("route %s is not in doubt", name)
		}
	}
}

// The answer to a call that was sent before one that failed at once begins no warm-up; that to a later call does, and
// to any after a loss.
func TestAnswersToEarlierCallsStartNoWarmUp(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
		sent    time.Duration // of the answered call, after the failed ones
		begins  bool
	}{{"error", Error, -time.Second, false}, {"error", Error, time.Second, true}, {"refused connection", ConnectFailed, -time.Second, false}, {"lost", Reset, -time.Second, true}} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a", Weight: 8})
		ep, failed := h.engine.endpoints["a"], h.engine.now+time.Minute
		h.engine.now = failed
		for range suspectAfterFailures {
			h.engine.observeOutcome(ep, observation{outcome: test.outcome, sentAt: failed}, 0)
		}
		if h.engine.now += 2 * time.Second; !ep.warmingUp {
			t.Fatalf("%s: not in doubt", test.name)
		}
		if h.engine.recordSuccess(ep, failed+test.sent, time.Second); (ep.recoveredAt > 0) != test.begins {
			t.Errorf("%s, an answer to a call sent %v after it: warm-up began %v", test.name, test.sent, ep.recoveredAt > 0)
		}
	}
}

// One delivery clears the slight doubt of a sender whose part is under a call in a warm-up; of others it begins the
// warm-up.
func TestOneDeliveryClearsWeakSuspicion(t *testing.T) {
	for _, test := range []struct {
		limit float64
		cold  bool
	}{{2, false}, {40, true}} {
		settings := testSettings()
		settings.FleetSize, settings.WarmUpDuration, settings.OverloadWindow = 300, 20*time.Second, 3*time.Second
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: test.limit})
		ep := h.engine.endpoints["a"]
		h.engine.now += time.Minute
		h.engine.observeOutcome(ep, observation{outcome: Error, sentAt: h.engine.now}, 0)
		h.engine.now += time.Second
		if h.engine.recordSuccess(ep, h.engine.now, time.Second); ep.warmingUp != test.cold {
			t.Errorf("limit %v: in doubt after a delivery %v", test.limit, ep.warmingUp)
		}
	}
}
