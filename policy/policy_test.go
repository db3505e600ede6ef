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
	t     *testing.T
	engine     *Engine
	now   time.Duration
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

func newHarness(t *testing.T, set Settings, list ...Endpoint) *harness {
	t.Helper()
	engine, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	d := &harness{t: t, engine: engine, now: time.Minute, attempts: map[uint32]int{}}
	for i := range list {
		list[i].InService = true
	}
	d.step(Event{Kind: EndpointSnapshot, Endpoints: list})
	return d
}

// step gives events at the present time and keeps the actions other than wakes.
func (d *harness) step(evs ...Event) []Action {
	var acts []Action
	for _, a := range d.engine.Step(d.now, evs) {
		if a.Kind != SetTimer {
			acts = append(acts, a)
		}
	}
	return acts
}

func (d *harness) accept(id uint32, classIndex int) []Action {
	return d.step(Event{Kind: MessageAccepted, MessageID: id, Class: classIndex, TimeLeft: 60 * time.Second})
}

func (d *harness) finish(id uint32, route string, outcome Outcome, after, wait time.Duration) []Action {
	d.now += after
	n := d.attempts[id]
	d.attempts[id]++
	return d.step(Event{
		Kind: AttemptFinished, MessageID: id, Attempt: n, Endpoint: route, Outcome: outcome, Latency: after, RetryAfter: wait,
		MessageEnded: outcome == OK,
	})
}

// advance lets time pass and wakes the Sender.
func (d *harness) advance(after time.Duration) []Action {
	d.now += after
	return d.step(Event{Kind: TimerFired})
}

// firstSend tells where the first Send of the actions goes; "" if none.
func firstSend(acts []Action) string {
	for _, a := range acts {
		if a.Kind == Send {
			return a.Endpoint
		}
	}
	return ""
}

func hasAction(acts []Action, k ActionKind) bool {
	return slices.ContainsFunc(acts, func(a Action) bool { return a.Kind == k })
}

func TestEndpointsAreOrderedByWeightCostAndTieBreaker(t *testing.T) {
	set := testSettings()
	set.ZoneCosts = []float64{0, 0.03}
	d := newHarness(t, set, Endpoint{ID: "a", Kind: 1, Zone: 1, Weight: 5}, Endpoint{ID: "c", Kind: 1, Weight: 5},
		Endpoint{ID: "b", Kind: 1, Weight: 5}, Endpoint{ID: "z", Kind: 1, Zone: 1, Weight: 9})
	var got []string
	got = append(got, firstSend(d.accept(1, 0)))
	for range 3 {
		got = append(got, firstSend(d.finish(1, got[len(got)-1], Overloaded, 10*ms, 0)))
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
		set := testSettings()
		set.FleetSize = 60
		engine, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := engine.Step(time.Minute, []Event{
			{Kind: EndpointSnapshot, Endpoints: []Endpoint{
				{ID: "a", InService: true},
				{ID: "b", InService: true},
				{ID: "c", InService: true},
			}},
			{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second},
		})
		first[firstSend(acts)]++
	}
	if first["a"] < 10 || first["b"] < 10 || first["c"] < 10 {
		t.Errorf("first choices of 60 senders: %v", first)
	}
}

func TestFailureRules(t *testing.T) {
	now := time.Minute
	for _, c := range []struct {
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
		ep := &c.r
		i := slices.IndexFunc(failureRules, func(rule failureRule) bool { return rule.matches(engine, ep, c.o) })
		if i < 0 || failureRules[i].name != c.rule || failureRules[i].ejects != c.skip {
			t.Errorf("%+v, %+v: rule %d, want %q with skip %v", c.r, c.o, i, c.rule, c.skip)
		}
	}
}

func TestEjectionExpires(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 9}, Endpoint{ID: "b", Kind: 1, Weight: 5})
	for id := range uint32(3) {
		d.now += time.Second // the recovery budget of a route in doubt
		if got := firstSend(d.accept(id, 0)); got != "a" {
			t.Fatalf("message %d to %q before the skip", id, got)
		}
		d.finish(id, "a", Error, 10*ms, 0)
		d.step(Event{Kind: MessageCancelled, MessageID: id})
	}
	if got := firstSend(d.accept(10, 0)); got != "b" {
		t.Errorf("message to %q while a is skipped", got)
	}
	d.now += time.Duration(float64(initialEjectionTime) * (1 + ejectionJitter))
	if got := firstSend(d.accept(11, 0)); got != "a" {
		t.Errorf("message to %q after the skip", got)
	}
	if got := firstSend(d.accept(12, 0)); got != "b" {
		t.Errorf("second message to %q during the trial", got)
	}
	if got := firstSend(d.accept(13, 2)); got != "b" {
		t.Errorf("unsafe message to %q during the trial", got)
	}
}

func TestPacingDecreasesIncreasesAndRestarts(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 2})
	for id := range uint32(8) {
		d.accept(id, 0)
	}
	scope := d.engine.endpoints["a"].scope
	if scope.pacingRate != 0 {
		t.Fatalf("the pace starts at %v, want free", scope.pacingRate)
	}
	d.finish(0, "a", Overloaded, 100*ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pace %v after a refusal at 8 in the last second, want 4", scope.pacingRate)
	}
	d.finish(1, "a", Overloaded, ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pace %v after a refusal of the same burst, want 4", scope.pacingRate)
	}
	d.finish(2, "a", OK, ms, 0)
	if want := 4 * (1 + pacingGrowth); scope.pacingRate != want {
		t.Errorf("pace %v after a delivery, want %v", scope.pacingRate, want)
	}
	for id := uint32(3); id < 6; id++ {
		d.finish(id, "a", Error, ms, 0)
	}
	ep := d.engine.endpoints["a"]
	if !ep.ejected {
		t.Fatal("three failures in a row did not skip the route")
	}
	d.engine.observeOutcome(ep, observation{outcome: OK, sentAt: d.now}, ms)
	if want := pacingRestartRate * (1 + pacingGrowth); ep.ejected || scope.pacingRate != want {
		t.Errorf("pace %v at the end of a skip, want %v", scope.pacingRate, want)
	}
}

// Halving counts of few calls a second again and again starved gates whose limit was known.
func TestPacingKeepsHalfTheEvenShare(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 20})
	ep := d.engine.endpoints["a"]
	for range 5 {
		d.now += time.Second
		d.engine.now = d.now
		d.engine.decreasePacing(ep, observation{outcome: Overloaded, sentAt: d.now})
	}
	if want := 20 * minPacingShareRatio; ep.scope.pacingRate != want {
		t.Errorf("pace %v after five refusals, want %v", ep.scope.pacingRate, want)
	}
}

func TestFinalAnswers(t *testing.T) {
	for _, c := range []struct {
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
		d := newHarness(t, testSettings(), Endpoint{ID: "a"})
		d.accept(1, c.class)
		d.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Removed: true}}})
		d.finish(1, "a", c.outcome, time.Second, 0)
		if acts := d.advance(58900 * ms); hasAction(acts, c.want) != c.early || !c.early && len(acts) != 0 {
			t.Errorf("%+v: %+v before the deadline", c, acts)
		}
		if c.early {
			continue
		}
		if acts := d.advance(90 * ms); len(acts) != 1 || acts[0].Kind != c.want {
			t.Errorf("%+v: %+v at the deadline", c, acts)
		}
	}
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	d.accept(1, 2)
	if acts := d.finish(1, "a", Timeout, time.Second, 0); !hasAction(acts, Fail) || hasAction(acts, Send) {
		t.Errorf("an unsafe message that may have run: %+v", acts)
	}
}

func TestDrainingEndpointTakesNothing(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	acts := d.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a"}}},
		Event{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second})
	if hasAction(acts, Send) {
		t.Errorf("sent to a draining route: %+v", acts)
	}
}

func TestRetryAfterBlocksTheScope(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b"})
	d.accept(1, 0)
	d.finish(1, "a", Overloaded, 10*ms, 700*ms)
	if acts := d.accept(2, 0); hasAction(acts, Send) {
		t.Errorf("sent during a wait: %+v", acts)
	}
	if acts := d.advance(699 * ms); hasAction(acts, Send) {
		t.Errorf("sent during a wait: %+v", acts)
	}
	if acts := d.advance(2 * time.Second); !hasAction(acts, Send) {
		t.Error("nothing sent after the wait")
	}
}

// A wait told to one message of a call whose others were delivered was once lost.
func TestRetryAfterOfAPartlyDeliveredCall(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 2})
	d.step(
		Event{Kind: MessageAccepted, MessageID: 1, TimeLeft: 9 * time.Second},
		Event{Kind: MessageAccepted, MessageID: 2, TimeLeft: 9 * time.Second},
	)
	d.step(Event{Kind: AttemptFinished, MessageID: 1, Endpoint: "a", Outcome: OK, MessageEnded: true},
		Event{Kind: AttemptFinished, MessageID: 2, Endpoint: "a", Outcome: Overloaded, RetryAfter: time.Second})
	if got := d.engine.endpoints["a"].scope.retryAfterUntil; got != d.now+time.Second {
		t.Errorf("wait until %v, want %v", got, d.now+time.Second)
	}
}

func TestRecoveryBudgetSpacesCalls(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 5})
	ep := d.engine.endpoints["a"]
	d.engine.now = d.now
	d.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	// 2/3 of what topples at the window's end, 2*0.36*5*2 calls, less half a call, in a window that lapses late.
	rate := (recoveryPushRatio*2*0.36*5*2 - 0.5) / (2 * (1 + recoveryLapseRatio)) * (1 - ownDeliveryRatio)
	if got, want := d.engine.recoveryBudgetAt(ep), d.now+callInterval(rate); got != want {
		t.Errorf("next call at %v, want %v", got, want)
	}
	ep.recoveredAt, d.engine.now = d.now, d.now+10*time.Second
	if got := d.engine.recoveryBudgetAt(ep); got != 0 || ep.warmingUp {
		t.Errorf("after the warm-up: next call at %v", got)
	}
}

// Senders told to wait until a destination opens once all called as it did: their budget had filled meanwhile.
func TestRetryAfterSavesNoRecoveryTokens(t *testing.T) {
	set := testSettings()
	set.FleetSize = 400
	open := 0
	for seed := range uint64(400) {
		engine, err := New(set, seed)
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
	for _, c := range []struct {
		senders int
		cold    bool
	}{{1, false}, {3, false}, {100, true}, {400, true}} {
		set := testSettings()
		set.FleetSize = c.senders
		d := newHarness(t, set, Endpoint{ID: "a", Weight: 4})
		ep := d.engine.endpoints["a"]
		d.engine.now = d.now
		d.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: d.now}, time.Second)
		if ep.warmingUp != c.cold {
			t.Errorf("%d senders: in doubt %v after one failure", c.senders, ep.warmingUp)
		}
		d.engine.observeOutcome(ep, observation{outcome: OK, sentAt: d.now}, ms)
		if ep.warmingUp {
			t.Errorf("%d senders: in doubt after a delivery", c.senders)
		}
	}
}

// A shut destination was pushed over by hundreds of senders that it had refused twice each.
func TestSparseShareSuspectsOnTwoRejections(t *testing.T) {
	for _, c := range []struct {
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
		set := testSettings()
		set.FleetSize = c.senders
		d := newHarness(t, set, Endpoint{ID: "a", Weight: 4})
		ep := d.engine.endpoints["a"]
		d.engine.now = d.now
		d.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: d.now, retryAfter: c.wait}, ms)
		d.engine.now += c.gap
		d.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: d.engine.now, retryAfter: c.wait}, ms)
		if ep.warmingUp != c.cold {
			t.Errorf("%+v: in doubt %v", c, ep.warmingUp)
		}
	}
}

// Hundreds of senders refused once by a shut destination, or told by one failed connection of a crashed one,
// pushed it over together as it came back. Most of them doubt now; where each sees more of a route, none does yet.
func TestWeakSignalsSuspectByChance(t *testing.T) {
	for _, c := range []struct {
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
		set := testSettings()
		set.FleetSize = c.senders
		n := 0
		for seed := range uint64(200) {
			engine, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			engine.Step(
				time.Minute,
				[]Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: 4, InService: true}}}},
			)
			ep := engine.endpoints["a"]
			engine.connectShortageUntil[0] = engine.now + time.Minute
			if c.alive {
				engine.recordSuccess(ep, engine.now, ms)
			}
			engine.observeOutcome(ep, observation{outcome: c.outcome, sentAt: engine.now}, ms)
			if ep.warmingUp {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("%+v: %d of 200 in doubt", c, n)
		}
	}
}

// Short-lived messages once had two tries of half their time each, both cut off before the answer.
func TestShortTimeLeftGoesToOneAttempt(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for _, c := range []struct{ left, want time.Duration }{
		{1200 * ms, 1200*ms - deadlineMargin},
		{8 * time.Second, 1600 * ms}, // what an answer not measured yet may take
	} {
		acts := d.step(Event{Kind: MessageAccepted, MessageID: uint32(c.left), TimeLeft: c.left})
		if len(acts) != 1 || acts[0].Kind != Send || acts[0].TimeoutAt-d.now != c.want {
			t.Errorf("%v left: %+v, want one try cut after %v", c.left, acts, c.want)
		}
	}
}

// Messages once waited to their deadlines at destinations that would open after them.
func TestUnservableMessagesAreRejected(t *testing.T) {
	set := testSettings()
	set.FleetSize = 400
	d := newHarness(t, set, Endpoint{ID: "a", Weight: 4})
	ep := d.engine.endpoints["a"]
	d.engine.now = d.now
	d.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	if acts := d.accept(1, 0); !hasAction(acts, Reject) {
		t.Errorf("opens in %v: %+v, want a refusal", d.engine.recoveryBudgetAt(ep)-d.now, acts)
	}
	if acts := d.accept(2, 2); hasAction(acts, Reject) != d.engine.mayReject(&message{class: &set.Classes[2]}) {
		t.Errorf("unsafe, nothing sent: %+v", acts)
	}
	ep.scope.recoveryTokens = 1 - d.engine.recoveryRate(ep) // opens in a second
	d.engine.recheck(ep.scope.destination)
	if acts := d.accept(3, 0); hasAction(acts, Reject) {
		t.Errorf("opens in a second: %+v, want it held", acts)
	}
}

// Calls saved up by hundreds of senders through a long outage once went out together at its end.
func TestDueRecoveryCallsLapse(t *testing.T) {
	set := testSettings()
	d := newHarness(t, set, Endpoint{ID: "a", Kind: 1, Weight: 4})
	ep := d.engine.endpoints["a"]
	d.engine.now = d.now
	d.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	rate := d.engine.recoveryRate(ep)
	open := 0
	const steps = 10000
	for range steps {
		d.engine.now += 10 * ms
		if d.engine.recoveryBudgetAt(ep) <= d.engine.now {
			open++
		}
	}
	want := rate * recoveryLapseRatio * set.OverloadWindow.Seconds()
	if got := float64(open) / steps; math.Abs(got-want) > 0.1*want {
		t.Errorf("a call is due %.3f of the time, want %.3f", got, want)
	}
}

// A wake that came a fraction early was taken as still to come, and the message it was for had no answer.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	d := newHarness(t, testSettings())
	d.accept(1, 0)
	d.now += 1500 * ms
	at := d.now
	d.engine.requestTimer(at + 500*time.Nanosecond)
	d.engine.timerAt, d.engine.requestedTimerAt = d.engine.requestedTimerAt, 0
	acts := d.engine.Step(at, []Event{{Kind: TimerFired}})
	if !hasAction(acts, SetTimer) {
		t.Errorf("no wake asked for: %+v", acts)
	}
}

// Idle connections of hundreds of senders once filled the tables of destinations.
func TestScarceConnectionsAreClosedAfterUse(t *testing.T) {
	for _, c := range []struct {
		senders int
		want    bool
	}{{smallFleetSize, false}, {100, true}} {
		set := testSettings()
		set.FleetSize = c.senders
		d := newHarness(t, set, Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
		other := func(id uint32) bool {
			d.step(Event{Kind: MessageAccepted, MessageID: id, Destination: 1, TimeLeft: 9 * time.Second})
			return hasAction(d.finish(id, "b", OK, 10*ms, 0), CloseIdle)
		}
		d.accept(1, 0)
		d.finish(1, "a", OK, 10*ms, 0)
		d.accept(2, 0)
		d.finish(2, "a", ConnectFailed, 10*ms, 0)
		if other(3) {
			t.Errorf("%d senders: closed after a connection of the kind that failed: it may be an outage's", c.senders)
		}
		d.advance(time.Second)
		d.finish(2, "a", OK, 10*ms, 0)
		if got := other(4); got != c.want {
			t.Errorf("%d senders: closed %v after a failed connection and an answer of the kind", c.senders, got)
		}
	}
}

// Two failed connections at a full table once put a destination in doubt for its whole warm-up.
func TestFullConnectionTableIsNoOutage(t *testing.T) {
	for _, c := range []struct {
		senders, fails int
		took           time.Duration
		cold           bool
	}{
		{20, 2, 10 * ms, false},                         // a full table
		{100, maxConnectExhaustions + 3, 10 * ms, true}, // an outage after all
		{100, 3, time.Second, true},                     // not at once: silence
		{3, 3, 10 * ms, true},                           // few senders fill no table
	} {
		set := testSettings()
		set.FleetSize = c.senders
		d := newHarness(t, set, Endpoint{ID: "a", Weight: 4}, Endpoint{ID: "b", Weight: 4})
		d.engine.now = d.now
		d.engine.connectShortageUntil[0] = d.now + time.Minute
		for range c.fails {
			d.engine.observeOutcome(d.engine.endpoints["a"], observation{outcome: ConnectFailed, sentAt: d.now - c.took}, c.took)
		}
		if got := d.engine.endpoints["a"].warmingUp; got != c.cold {
			t.Errorf("%+v: in doubt %v", c, got)
		}
	}
}

// At a call in some seconds a pace once recovered thirty times slower than at ten a second.
func TestPacingGrowsWithTimeBetweenSuccesses(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1})
	scope := d.engine.endpoints["a"].scope
	scope.pacingRate, scope.decreasedAt, scope.tokensUpdatedAt = 0.1, d.now, d.now
	d.engine.now = d.now + 4*time.Second
	d.engine.increasePacing(scope)
	if want := 0.1 * math.Pow(1+pacingGrowth, 4); math.Abs(scope.pacingRate-want) > 1e-9 {
		t.Errorf("pace %v after a success in 4 s, want %v", scope.pacingRate, want)
	}
}

// A replacement listed during an outage was once sent to at full pace.
func TestReplacementInheritsSuspicion(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for id := range uint32(3) {
		d.accept(id, 0)
		d.finish(id, "a", ConnectFailed, time.Second, 0)
		d.step(Event{Kind: MessageCancelled, MessageID: id})
	}
	d.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Removed: true}, {ID: "n", InService: true}}})
	if d.engine.recoveryBudgetAt(d.engine.endpoints["n"]) == 0 {
		t.Error("the replacement of a failing route is not under the recovery budget")
	}
}

func TestOrderingKeySerializesAndPauses(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	d.step(Event{Kind: MessageAccepted, MessageID: 1, Key: "k", Class: 2, TimeLeft: 9 * time.Second},
		Event{Kind: MessageAccepted, MessageID: 2, Key: "k", Class: 2, TimeLeft: 9 * time.Second})
	if acts := d.finish(1, "a", Timeout, time.Second, 0); hasAction(acts, Send) {
		t.Errorf("sent while the key rests: %+v", acts)
	}
	if acts := d.advance(99 * ms); hasAction(acts, Send) {
		t.Errorf("sent while the key rests: %+v", acts)
	}
	if acts := d.advance(ms); !hasAction(acts, Send) {
		t.Error("the next message of the key was not sent after the rest")
	}
}

// Time-outs of calls that later ones overtook once skipped routes that lost single calls.
func TestLostCallIsNoEvidence(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := d.engine.endpoints["a"]
	d.engine.now = d.now
	d.engine.observeOutcome(ep, observation{outcome: OK, sentAt: d.now}, ms)
	for range 5 {
		d.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: d.now - time.Second}, time.Second)
	}
	if ep.ejected || ep.warmingUp || ep.consecutiveFailures != 0 {
		t.Errorf("down %v, cold %v, streak %d after lost calls", ep.ejected, ep.warmingUp, ep.consecutiveFailures)
	}
}

// Scattered resets once put living routes under the recovery budget.
func TestResetAtAHealthyEndpointIsNoEvidence(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := d.engine.endpoints["a"]
	d.engine.now = d.now
	d.engine.observeOutcome(ep, observation{outcome: OK, sentAt: d.now}, ms)
	d.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: d.now + 1}, ms)
	d.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: d.now + 1}, ms)
	if ep.warmingUp {
		t.Error("in doubt after two resets within 3 s of an answer")
	}
	d.engine.now += recentlyHealthyWindow
	for range 3 {
		d.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: d.now + 1}, ms)
	}
	if !ep.ejected {
		t.Error("not skipped after three resets in a row and no answer for 3 s")
	}
}

// Under loss without resets, each time-out once restarted the warm-up of a route that went on answering.
func TestTimeoutsBetweenAnswersKeepTheWarmUp(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := d.engine.endpoints["a"]
	d.engine.now = d.now
	d.engine.suspect(ep)
	d.engine.observeOutcome(ep, observation{outcome: OK, sentAt: d.now}, ms)
	back := ep.recoveredAt
	for range 6 {
		d.engine.now += time.Second
		d.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: d.engine.now - ms}, time.Second)
		d.engine.observeOutcome(ep, observation{outcome: OK, sentAt: d.engine.now}, ms)
	}
	if back == 0 || ep.recoveredAt != back || ep.ejected {
		t.Errorf("back at %v, then %v, down %v", back, ep.recoveredAt, ep.ejected)
	}
	d.engine.now += time.Second
	for range 2 {
		d.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: d.engine.now}, time.Second)
	}
	if ep.recoveredAt != 0 {
		t.Error("two time-outs in a row did not restart the warm-up")
	}
}

// Calls cut off after milliseconds once kept recovered routes skipped.
func TestTruncatedAttemptEjectsNothing(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := d.engine.endpoints["a"]
	d.engine.now = d.now
	for range 5 {
		d.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: d.now, truncated: true}, ms)
	}
	if ep.ejected || !ep.warmingUp {
		t.Errorf("down %v, cold %v after short calls", ep.ejected, ep.warmingUp)
	}
}

// Calls of a route whose last call failed carry one message: ten once shared each failed trial.
func TestBatches(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 2})
	three := func(first uint32) int {
		var evs []Event
		for i := range uint32(3) {
			evs = append(evs, Event{Kind: MessageAccepted, MessageID: first + i, TimeLeft: 9 * time.Second})
		}
		before := len(d.engine.endpoints["a"].calls)
		d.step(evs...)
		return len(d.engine.endpoints["a"].calls) - before
	}
	if n := three(1); n != 1 {
		t.Errorf("three messages in %d calls, want 1", n)
	}
	d.engine.endpoints["a"].consecutiveFailures = 1
	if n := three(4); n != 3 {
		t.Errorf("three messages in %d calls after a failure, want 3", n)
	}
}

func TestOverdueCallsSaturateAnEndpoint(t *testing.T) {
	set := testSettings()
	set.MaxInFlightCalls = 8
	d := newHarness(t, set, Endpoint{ID: "a", Kind: 1})
	d.accept(1, 0)
	d.accept(2, 0)
	d.now += 5 * time.Second
	if acts := d.accept(3, 0); hasAction(acts, Send) {
		t.Errorf("a third call to a silent route: %+v", acts)
	}
}

func TestLoadIsShedFromTheLongestQueue(t *testing.T) {
	set := testSettings()
	set.MaxPendingMessages = 10
	d := newHarness(t, set)
	for id := range uint32(9) {
		d.accept(id, 0)
	}
	acts := d.step(Event{Kind: MessageAccepted, MessageID: 20, Destination: 4, TimeLeft: 60 * time.Second})
	if len(acts) != 1 || acts[0].Kind != Reject || acts[0].MessageID == 20 {
		t.Errorf("with little room left: %+v", acts)
	}
}

func TestLateMessagesAreDeprioritized(t *testing.T) {
	d := newHarness(t, testSettings())
	d.accept(1, 0)
	d.advance(3 * time.Second)
	d.accept(2, 0)
	acts := d.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", InService: true}}})
	if len(acts) != 2 || acts[0].MessageID != 2 || acts[1].MessageID != 1 {
		t.Errorf("order of sends: %+v", acts)
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
		set := testSettings()
		spoil(&set)
		if _, err := New(set, 1); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A message of no known class ends once, under the strictest rules; a weight that is no number tells nothing.
func TestUnknownClassAndWeight(t *testing.T) {
	for _, classIndex := range []int{-1, 99} {
		d := newHarness(t, testSettings(), Endpoint{ID: "a", Weight: math.NaN()}, Endpoint{ID: "b", Kind: 77})
		if got := firstSend(d.accept(1, classIndex)); got == "" {
			t.Fatalf("class %d: not sent", classIndex)
		}
		if acts := d.finish(1, "a", Timeout, time.Second, 0); !hasAction(acts, Fail) || hasAction(acts, Send) {
			t.Errorf("class %d: %+v after a time-out", classIndex, acts)
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
	for d := engine.emptyDestinations.first; d != nil; d = d.nextEmpty {
		all = append(all, d)
	}
	return all
}

// Turns were once kept for good when their rest outlasted their last message, and destinations always.
func TestNothingIsRetainedAfterRemoval(t *testing.T) {
	set := testSettings()
	set.MaxInFlightCalls, set.MaxPendingMessages = 50, 100
	d := newHarness(t, set)
	for i := range 300 {
		id, name := uint32(i), fmt.Sprint("r", i)
		d.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: i, InService: true}}})
		d.step(
			Event{Kind: MessageAccepted, MessageID: id, Key: name, Class: 2, Destination: i, TimeLeft: 9 * time.Second},
		)
		d.finish(id, name, Timeout, time.Second, 0)
		d.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: name, Destination: i, Removed: true}}})
	}
	d.now += time.Minute
	d.step(Event{Kind: TimerFired}, Event{Kind: EndpointDelta})
	engine := d.engine
	if n := len(engine.keyQueues) + len(engine.destinations) + len(engine.sortedDestinations) + len(engine.endpoints) + len(engine.messages) + len(engine.active) + len(emptyDestinationsOf(engine)); n != 0 {
		t.Errorf("held: %d turns, %d destinations (%d in order), %d routes, %d messages, %d active, %d bare",
			len(engine.keyQueues), len(engine.destinations), len(engine.sortedDestinations), len(engine.endpoints), len(engine.messages), len(engine.active), len(emptyDestinationsOf(engine)))
	}
}

// Destinations with nothing to do are not looked at: the next dispatch once walked them all.
func TestBlockedDestinationsAreNotRechecked(t *testing.T) {
	d := newHarness(t, testSettings(), Endpoint{ID: "a"}, Endpoint{ID: "b", Destination: 1})
	d.accept(1, 0)
	d.finish(1, "a", Overloaded, ms, 5*time.Second)
	if len(d.engine.active) != 1 || d.engine.active[0].blockedUntil <= d.now {
		t.Fatalf("active %d, want the one destination that waits, closed", len(d.engine.active))
	}
	opens := d.engine.active[0].blockedUntil
	d.step(Event{Kind: MessageAccepted, MessageID: 2, Destination: 1, TimeLeft: 9 * time.Second})
	if len(d.engine.active) != 1 || d.engine.active[0].blockedUntil != opens {
		t.Error("a message for another destination had the closed one looked at again")
	}
}

// A told wait that means shut, at one route, puts all routes of its limit in doubt: at its end none of them is free.
func TestOutageSuspectsTheWholeScope(t *testing.T) {
	set := testSettings()
	set.WarmUpDuration = 20 * time.Second
	d := newHarness(t, set, Endpoint{ID: "a", Weight: 8}, Endpoint{ID: "b", Weight: 8})
	d.engine.observeOutcome(d.engine.endpoints["a"], observation{outcome: Overloaded, retryAfter: 2 * outageRetryAfter, sentAt: d.engine.now}, 0)
	for _, name := range []string{"a", "b"} {
		if !d.engine.endpoints[name].warmingUp {
			t.Errorf("route %s is not in doubt", name)
		}
	}
}

// The answer to a call that was sent before one that failed at once begins no warm-up; that to a later call does, and
// to any after a loss.
func TestAnswersToEarlierCallsStartNoWarmUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		sent    time.Duration // of the answered call, after the failed ones
		begins  bool
	}{{"error", Error, -time.Second, false}, {"error", Error, time.Second, true}, {"refused connection", ConnectFailed, -time.Second, false}, {"lost", Reset, -time.Second, true}} {
		d := newHarness(t, testSettings(), Endpoint{ID: "a", Weight: 8})
		ep, failed := d.engine.endpoints["a"], d.engine.now+time.Minute
		d.engine.now = failed
		for range suspectAfterFailures {
			d.engine.observeOutcome(ep, observation{outcome: c.outcome, sentAt: failed}, 0)
		}
		if d.engine.now += 2 * time.Second; !ep.warmingUp {
			t.Fatalf("%s: not in doubt", c.name)
		}
		if d.engine.recordSuccess(ep, failed+c.sent, time.Second); (ep.recoveredAt > 0) != c.begins {
			t.Errorf("%s, an answer to a call sent %v after it: warm-up began %v", c.name, c.sent, ep.recoveredAt > 0)
		}
	}
}

// One delivery clears the slight doubt of a sender whose part is under a call in a warm-up; of others it begins the
// warm-up.
func TestOneDeliveryClearsWeakSuspicion(t *testing.T) {
	for _, c := range []struct {
		limit float64
		cold  bool
	}{{2, false}, {40, true}} {
		set := testSettings()
		set.FleetSize, set.WarmUpDuration, set.OverloadWindow = 300, 20*time.Second, 3*time.Second
		d := newHarness(t, set, Endpoint{ID: "a", Weight: c.limit})
		ep := d.engine.endpoints["a"]
		d.engine.now += time.Minute
		d.engine.observeOutcome(ep, observation{outcome: Error, sentAt: d.engine.now}, 0)
		d.engine.now += time.Second
		if d.engine.recordSuccess(ep, d.engine.now, time.Second); ep.warmingUp != c.cold {
			t.Errorf("limit %v: in doubt after a delivery %v", c.limit, ep.warmingUp)
		}
	}
}
