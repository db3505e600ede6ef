package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartMessage is a message that a restart recovers, and its fate after the restart.
type restartMessage struct {
	id          MessageID
	destination DestinationID
	untried     bool // no attempt was made before the restart
	timeLeft    time.Duration
	sentAfter   time.Duration // time from the restart to the first attempt; -1: never
	endedAfter  time.Duration // time from the restart to a rejection or failure; -1: never
	rejected    bool
}

// restartCase is a random restart: settings, endpoint list, endpoint health and messages.
type restartCase struct {
	settings      Settings
	initialEvents []Event
	endpoints     []Endpoint
	lateEndpoints []Endpoint // those listed only after lateAfter
	lateAfter     time.Duration
	messages      []*restartMessage
	inService     map[DestinationID]bool   // destinations with an endpoint in service
	listedLate    map[DestinationID]bool   // destinations whose endpoints are listed late
	impaired      map[DestinationID]bool   // destinations with a known failure, rejection or Retry-After
	retryAfter    map[string]time.Duration // by endpoint
}

func randomRestart(seed uint64, recovered bool) *restartCase {
	rng := rand.New(rand.NewPCG(seed, 11))
	settings := randomSettings(rng)
	settings.Classes = slices.Clone(settings.Classes[:3]) // ordering has its own tests
	settings.FleetSize = []int{1, 2, 6, 7, 80, 300}[rng.IntN(6)]
	settings.IgnoreWeights = rng.IntN(3) == 0
	settings.ApproximateWeights = rng.IntN(3) == 0
	settings.MaxInFlightCalls = 20 + rng.IntN(100)
	settings.MaxPendingMessages = 0
	restart := &restartCase{
		settings:   settings,
		inService:  map[DestinationID]bool{},
		listedLate: map[DestinationID]bool{},
		impaired:   map[DestinationID]bool{},
		retryAfter: map[string]time.Duration{},
	}
	restart.lateAfter = time.Duration(rng.IntN(2000)) * ms
	restart.addEndpoints(rng)
	restart.addMessages(rng, recovered)
	if len(restart.messages) > 10 && rng.IntN(3) == 0 {
		restart.settings.MaxPendingMessages = len(restart.messages) // the relay starts at this maximum
	}
	return restart
}

// addEndpoints draws the endpoint list and the health of the endpoints.
func (restart *restartCase) addEndpoints(rng *rand.Rand) {
	snapshot := Event{Kind: EndpointSnapshot}
	var health []Event
	for destinationID := range DestinationID(1 + rng.IntN(5)) {
		late := rng.IntN(5) == 0
		restart.listedLate[destinationID] = late
		for i := range 1 + rng.IntN(3) {
			entry := Endpoint{
				ID:          fmt.Sprintf("r%d-%d", destinationID, i),
				Destination: destinationID,
				Kind:        int(destinationID % 2),
				Zone:        i % 2,
				Weight:      1 + float64(rng.IntN(60)),
				InService:   rng.IntN(6) > 0,
			}
			restart.endpoints = append(restart.endpoints, entry)
			restart.inService[destinationID] = restart.inService[destinationID] || entry.InService
			if late {
				restart.lateEndpoints = append(restart.lateEndpoints, entry)
				continue
			}
			snapshot.Endpoints = append(snapshot.Endpoints, entry)
			health = append(health, restart.randomHealth(rng, entry)...)
		}
	}
	restart.initialEvents = append([]Event{snapshot}, health...)
}

// randomHealth draws the health checks of an endpoint: in most cases none.
func (restart *restartCase) randomHealth(rng *rand.Rand, entry Endpoint) (events []Event) {
	checked := Event{Kind: HealthChecked, Endpoint: entry.ID}
	switch rng.IntN(8) {
	case 0:
		checked.Outcome = Overloaded
		events = append(events, checked)
	case 1:
		checked.Outcome = Error
		for range 1 + rng.IntN(3) {
			events = append(events, checked)
		}
	case 2:
		checked.Outcome = NotSent
		checked.RetryAfter = time.Duration(100+rng.IntN(15_000)) * ms
		restart.retryAfter[entry.ID] = checked.RetryAfter
		events = append(events, checked)
	}
	if len(events) > 0 {
		restart.impaired[entry.Destination] = true
	}
	return events
}

// addMessages draws the messages that the relay starts with. If recovered is set, an earlier process accepted them.
func (restart *restartCase) addMessages(rng *rand.Rand, recovered bool) {
	for id := range MessageID(1 + rng.IntN(60)) {
		classIndex := rng.IntN(len(restart.settings.Classes))
		msg := &restartMessage{
			id:          id + 1,
			destination: DestinationID(rng.IntN(len(restart.listedLate))),
			sentAfter:   -1,
			endedAfter:  -1,
			untried:     true,
		}
		deadline := restart.settings.Classes[classIndex].Deadline
		msg.timeLeft = deadline * time.Duration([]int{1, 3, 5, 10}[rng.IntN(4)]) / 10
		restart.messages = append(restart.messages, msg)
		event := Event{
			Kind:        MessageAccepted,
			MessageID:   msg.id,
			Class:       classIndex,
			Destination: msg.destination,
			TimeLeft:    msg.timeLeft,
		}
		if recovered {
			event.Recovered = &RecoveredMessage{}
			if rng.IntN(6) == 0 {
				msg.untried = false
				event.Recovered.Attempts = 1
				event.Recovered.MayHaveRun = rng.IntN(2) == 0
				event.Recovered.SinceFirstRun = time.Second
			}
		}
		restart.initialEvents = append(restart.initialEvents, event)
	}
}

// restartRun is a relay after a restart, with endpoints that deliver every call.
type restartRun struct {
	restart  *restartCase
	engine   *Engine
	now      time.Duration
	messages map[MessageID]*restartMessage
	answers  []pendingEvent
	calls    map[DestinationID]int // by destination
	listed   bool                  // the late endpoints are listed
}

const (
	restartedAt    = time.Second
	restartLatency = 40 * ms
)

// run runs a relay until all messages have passed their deadlines. It returns the number of calls to each
// destination.
func (restart *restartCase) run(t *testing.T, seed uint64) (calls map[DestinationID]int) {
	t.Helper()
	engine, err := New(restart.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	run := &restartRun{
		restart:  restart,
		engine:   engine,
		now:      restartedAt,
		messages: map[MessageID]*restartMessage{},
		calls:    map[DestinationID]int{},
		listed:   len(restart.lateEndpoints) == 0,
	}
	for _, msg := range restart.messages {
		run.messages[msg.id] = msg
	}
	events := restart.initialEvents
	for run.now < restartedAt+12*time.Second {
		next := run.step(events)
		if !run.listed {
			next = min(next, max(run.now, restartedAt+restart.lateAfter))
		}
		if len(run.answers) > 0 {
			next = min(next, run.answers[0].at)
		}
		run.now = max(next, run.now+time.Millisecond)
		events = run.dueEvents()
	}
	return run.calls
}

// step applies events and returns the time of the next step that the relay needs, half a second from now at most.
func (run *restartRun) step(events []Event) (next time.Duration) {
	next = run.now + 500*ms
	called := map[string]bool{} // by endpoint
	for _, a := range run.engine.Step(run.now, events) {
		msg := run.messages[a.MessageID]
		switch a.Kind {
		case Send:
			if msg.sentAfter < 0 {
				msg.sentAfter = run.now - restartedAt
			}
			if !called[a.Endpoint] {
				called[a.Endpoint] = true
				run.calls[msg.destination]++
			}
			run.answers = append(run.answers, pendingEvent{at: run.now + restartLatency, event: Event{
				Kind:         AttemptFinished,
				MessageID:    a.MessageID,
				Attempt:      run.engine.messages[a.MessageID].attempts - 1,
				Endpoint:     a.Endpoint,
				Outcome:      OK,
				Latency:      restartLatency,
				MessageEnded: true,
			}})
		case Reject, Fail:
			msg.endedAfter = run.now - restartedAt
			msg.rejected = a.Kind == Reject
		case SetTimer:
			next = min(next, run.now+a.Delay)
		}
	}
	return next
}

// dueEvents returns the answers that are due and, at their time, the event that lists the late endpoints.
func (run *restartRun) dueEvents() (events []Event) {
	for len(run.answers) > 0 && run.answers[0].at <= run.now {
		events = append(events, run.answers[0].event)
		run.answers = run.answers[1:]
	}
	if !run.listed && run.now >= restartedAt+run.restart.lateAfter {
		events = append(events, Event{Kind: EndpointDelta, Endpoints: run.restart.lateEndpoints})
		run.listed = true
	}
	return events
}

// blockedBeyond reports whether a Retry-After of at least d blocks every endpoint of a destination.
func (restart *restartCase) blockedBeyond(destinationID DestinationID, d time.Duration) bool {
	longest, all := time.Duration(0), true
	for _, entry := range restart.endpoints {
		if entry.Destination == destinationID {
			longest = max(longest, restart.retryAfter[entry.ID])
			all = all && restart.retryAfter[entry.ID] >= d-deadlineMargin
		}
	}
	sharedScope := !restart.settings.DestinationKinds[destinationID%2].LimitPerEndpoint
	return all || sharedScope && longest >= d-deadlineMargin
}

// faults describes what is wrong with the fates of the messages, given the number of calls to each destination.
func (restart *restartCase) faults(calls map[DestinationID]int) (faults []string) {
	for _, msg := range restart.messages {
		if !msg.untried || msg.sentAfter >= 0 {
			continue
		}
		if fault := restart.faultOf(msg, calls); fault != "" {
			faults = append(faults, fault)
		}
	}
	return faults
}

// faultOf describes what is wrong with the fate of a message that had no attempt before or after the restart. It
// returns "" if nothing is wrong.
func (restart *restartCase) faultOf(msg *restartMessage, calls map[DestinationID]int) string {
	const spread = MaxInitialSpread + 200*ms // the first calls of a large fleet come within this
	listedAfter := time.Duration(0)
	if restart.listedLate[msg.destination] {
		listedAfter = restart.lateAfter
	}
	early := msg.endedAfter < msg.timeLeft-50*ms
	switch {
	case msg.endedAfter < 0:
		return fmt.Sprintf("message %d has no final answer", msg.id)
	case !msg.rejected:
		return fmt.Sprintf("message %d failed, though it has not run", msg.id)
	case early && !restart.blockedBeyond(msg.destination, msg.timeLeft):
		return fmt.Sprintf("message %d rejected untried after %v, deadline %v", msg.id, msg.endedAfter, msg.timeLeft)
	case !restart.inService[msg.destination] || restart.impaired[msg.destination]:
		return "" // no endpoint in service, or known failures: a missing call is no fault
	case msg.timeLeft-listedAfter < spread:
		return "" // too little time
	case calls[msg.destination] == 0:
		return fmt.Sprintf("message %d: no call to a healthy endpoint in %v", msg.id, msg.timeLeft)
	case restart.settings.IgnoreWeights && listedAfter == 0:
		return fmt.Sprintf("message %d not tried in %v, though nothing blocks it", msg.id, msg.timeLeft)
	}
	return ""
}

// With random settings, endpoint lists and health, a message that a restart recovers without an attempt gets one
// before its deadline. It may get none if a Retry-After blocks all endpoints beyond the deadline, or if capacity is
// lacking, in which case other messages were sent to the destination. Only such a Retry-After may end the message
// early.
func TestRecoveredMessagesAreTriedOrKept(t *testing.T) {
	sent, all := 0, 0
	for seed := range uint64(1500) {
		restart := randomRestart(seed, true)
		faults := restart.faults(restart.run(t, seed))
		if len(faults) > 0 {
			t.Errorf("seed %d, %d relays, weights ignored %v: %d of %d: %s", seed, restart.settings.FleetSize,
				restart.settings.IgnoreWeights, len(faults), len(restart.messages), faults[0])
		}
		for _, msg := range restart.messages {
			all++
			if msg.sentAfter >= 0 {
				sent++
			}
		}
	}
	t.Logf("%d of %d sent", sent, all)
	if sent < all/4 {
		t.Error("too few messages were sent: the test checks too little")
	}
	// The same check must find faults with messages that no earlier process accepted, since these may be rejected
	// early. This verifies that the check can fail.
	found := 0
	for seed := range uint64(200) {
		restart := randomRestart(seed, false)
		found += len(restart.faults(restart.run(t, seed)))
	}
	if found == 0 {
		t.Error("no fault was found with messages that no earlier process accepted")
	}
}
