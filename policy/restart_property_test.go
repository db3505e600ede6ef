package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// restartMessage is a message that a restart finds, and what became of it.
type restartMessage struct {
	id                    uint32
	destination           int
	untried               bool
	timeLeft              time.Duration // that it has
	sentAfter, endedAfter time.Duration // since the restart; -1: never
	rejected              bool
}

// restartCase is a restart drawn by a seed: settings, list, standing of endpoints and messages.
type restartCase struct {
	settings      Settings
	initialEvents []Event
	lateEndpoints []Endpoint // listed at lateAfter only
	lateAfter     time.Duration
	messages      []*restartMessage
	inService     map[int]bool             // destinations with an endpoint in service, in time
	retryAfter    map[string]time.Duration // told, by endpoint
	impaired      map[int]bool             // something was told of an endpoint of this destination
	endpoints     []Endpoint
	listedLate    map[int]bool // by destination: an endpoint is listed late
}

func randomRestart(seed uint64, resumed bool) *restartCase {
	rng := rand.New(rand.NewPCG(seed, 11))
	settings := randomSettings(rng)
	settings.Classes = slices.Clone(settings.Classes[:3]) // order has rows of its own
	settings.FleetSize = []int{1, 2, 6, 7, 80, 300}[rng.IntN(6)]
	settings.IgnoreWeights, settings.ApproximateWeights = rng.IntN(3) == 0, rng.IntN(3) == 0
	settings.MaxInFlightCalls, settings.MaxPendingMessages = 20+rng.IntN(100), 0
	restart := &restartCase{
		settings:   settings,
		inService:  map[int]bool{},
		retryAfter: map[string]time.Duration{},
		impaired:   map[int]bool{},
		listedLate: map[int]bool{},
	}
	restart.lateAfter = time.Duration(rng.IntN(2000)) * time.Millisecond
	whole := Event{Kind: EndpointSnapshot}
	var told []Event
	for d := range 1 + rng.IntN(5) {
		late := rng.IntN(5) == 0
		restart.listedLate[d] = late
		for i := range 1 + rng.IntN(3) {
			entry := Endpoint{
				ID: fmt.Sprintf(
					"r%d-%d",
					d,
					i,
				), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 1 + float64(rng.IntN(60)), InService: rng.IntN(6) > 0,
			}
			restart.endpoints = append(restart.endpoints, entry)
			restart.inService[d] = restart.inService[d] || entry.InService
			if late {
				restart.lateEndpoints = append(restart.lateEndpoints, entry)
				continue
			}
			whole.Endpoints = append(whole.Endpoints, entry)
			switch rng.IntN(8) {
			case 0:
				told, restart.impaired[d] = append(told, Event{Kind: HealthChecked, Endpoint: entry.ID, Outcome: Overloaded}), true
			case 1:
				for range 1 + rng.IntN(3) {
					told = append(told, Event{Kind: HealthChecked, Endpoint: entry.ID, Outcome: Error})
				}
				restart.impaired[d] = true
			case 2:
				wait := time.Duration(100+rng.IntN(15_000)) * time.Millisecond
				told, restart.impaired[d] = append(
					told,
					Event{Kind: HealthChecked, Endpoint: entry.ID, Outcome: NotSent, RetryAfter: wait},
				), true
				restart.retryAfter[entry.ID] = wait
			}
		}
	}
	restart.initialEvents = append([]Event{whole}, told...)
	for id := range uint32(1 + rng.IntN(60)) {
		classIndex := rng.IntN(len(settings.Classes))
		msg := &restartMessage{id: id + 1, destination: rng.IntN(len(restart.listedLate)), sentAfter: -1, endedAfter: -1, untried: true}
		msg.timeLeft = settings.Classes[classIndex].Deadline * time.Duration([]int{1, 3, 5, 10}[rng.IntN(4)]) / 10
		restart.messages = append(restart.messages, msg)
		event := Event{Kind: MessageAccepted, MessageID: msg.id, Class: classIndex, Destination: msg.destination, TimeLeft: msg.timeLeft}
		if resumed {
			event.Recovered = &RecoveredMessage{}
			if rng.IntN(6) == 0 {
				msg.untried, event.Recovered.Attempts, event.Recovered.MayHaveRun, event.Recovered.SinceFirstRun = false, 1, rng.IntN(
					2,
				) == 0, time.Second
			}
		}
		restart.initialEvents = append(restart.initialEvents, event)
	}
	if len(restart.messages) > 10 && rng.IntN(3) == 0 {
		restart.settings.MaxPendingMessages = len(restart.messages) // no room
	}
	return restart
}

// run has a relay go on from what a restart finds, at endpoints that deliver all, until nobody's time is left. It counts
// the calls of each destination.
func (restart *restartCase) run(t *testing.T, seed uint64) (calls map[int]int) {
	t.Helper()
	engine, err := New(restart.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	byID := map[uint32]*restartMessage{}
	for _, msg := range restart.messages {
		byID[msg.id] = msg
	}
	const began, answer = time.Second, 40 * time.Millisecond
	calls = map[int]int{}
	type end struct {
		at time.Duration
		ev Event
	}
	var scheduled []end
	now, events, lateTold := began, restart.initialEvents, false
	for now < began+12*time.Second {
		wake := now + 500*time.Millisecond
		routes := map[string]bool{}
		for _, a := range engine.Step(now, events) {
			msg := byID[a.MessageID]
			switch a.Kind {
			case Send:
				if msg.sentAfter < 0 {
					msg.sentAfter = now - began
				}
				if !routes[a.Endpoint] {
					routes[a.Endpoint] = true
					calls[msg.destination]++
				}
				scheduled = append(
					scheduled,
					end{
						now + answer,
						Event{
							Kind:         AttemptFinished,
							MessageID:    a.MessageID,
							Attempt:      engine.messages[a.MessageID].attempts - 1,
							Endpoint:     a.Endpoint,
							Outcome:      OK,
							Latency:      answer,
							MessageEnded: true,
						},
					},
				)
			case Reject, Fail:
				msg.endedAfter, msg.rejected = now-began, a.Kind == Reject
			case SetTimer:
				wake = min(wake, now+a.Delay)
			}
		}
		events = nil
		if !lateTold && len(restart.lateEndpoints) > 0 {
			wake = min(wake, max(now, began+restart.lateAfter))
		}
		if len(scheduled) > 0 {
			wake = min(wake, scheduled[0].at)
		}
		now = max(wake, now+time.Millisecond)
		for len(scheduled) > 0 && scheduled[0].at <= now {
			events, scheduled = append(events, scheduled[0].ev), scheduled[1:]
		}
		if !lateTold && len(restart.lateEndpoints) > 0 && now >= began+restart.lateAfter {
			events, lateTold = append(events, Event{Kind: EndpointDelta, Endpoints: restart.lateEndpoints}), true
		}
	}
	return calls
}

// blockedBeyond tells whether every endpoint of a destination was told to wait for d or more.
func (restart *restartCase) blockedBeyond(destinationID int, d time.Duration) bool {
	shared, all := time.Duration(0), true
	for _, entry := range restart.endpoints {
		if entry.Destination == destinationID {
			shared = max(shared, restart.retryAfter[entry.ID])
			all = all && restart.retryAfter[entry.ID] >= d-deadlineMargin
		}
	}
	return all || !restart.settings.DestinationKinds[destinationID%2].LimitPerEndpoint && shared >= d-deadlineMargin
}

// faults judges what became of the messages.
func (restart *restartCase) faults(calls map[int]int) (faults []string) {
	const spread = MaxInitialSpread + 200*time.Millisecond // first calls of many come within this
	for _, msg := range restart.messages {
		listed := time.Duration(0)
		if restart.listedLate[msg.destination] {
			listed = restart.lateAfter
		}
		switch {
		case !msg.untried || msg.sentAfter >= 0:
		case msg.endedAfter >= 0 && !msg.rejected:
			faults = append(faults, fmt.Sprintf("message %d failed, though it never ran", msg.id))
		case msg.endedAfter >= 0 && msg.endedAfter < msg.timeLeft-50*time.Millisecond && !restart.blockedBeyond(msg.destination, msg.timeLeft):
			faults = append(faults, fmt.Sprintf("message %d rejected untried after %v of %v", msg.id, msg.endedAfter, msg.timeLeft))
		case msg.endedAfter < 0:
			faults = append(faults, fmt.Sprintf("message %d has no end", msg.id))
		case !restart.inService[msg.destination] || restart.impaired[msg.destination] || msg.timeLeft-listed < spread:
			// No endpoint, or one of which something was told, or no time: its destination may have had no call.
		case calls[msg.destination] == 0:
			faults = append(faults, fmt.Sprintf("message %d: an endpoint that stands well had no call in %v", msg.id, msg.timeLeft))
		case restart.settings.IgnoreWeights && listed == 0:
			faults = append(faults, fmt.Sprintf("message %d not tried in %v, where nothing bars it", msg.id, msg.timeLeft))
		}
	}
	return faults
}

// Over any settings, lists and standings: what a restart finds untried gets a call before its time, unless all endpoints
// are told to wait past it, or capacity bars it, which the calls made show; and it never ends early without one.
func TestRecoveredMessagesAreTriedOrKept(t *testing.T) {
	sent, all := 0, 0
	for seed := range uint64(1500) {
		restart := randomRestart(seed, true)
		if wrong := restart.faults(restart.run(t, seed)); len(wrong) > 0 {
			t.Errorf(
				"seed %d, %d relays, no weights %v: %d of %d: %s",
				seed,
				restart.settings.FleetSize,
				restart.settings.IgnoreWeights,
				len(wrong),
				len(restart.messages),
				wrong[0],
			)
		}
		for _, msg := range restart.messages {
			if all++; msg.sentAfter >= 0 {
				sent++
			}
		}
	}
	if t.Logf("%d of %d sent", sent, all); sent < all/4 {
		t.Error("the test shows little")
	}
	// The same with messages that no earlier process took on: rejected early, as they may be. It shows that the test can
	// fail.
	found := 0
	for seed := range uint64(200) {
		restart := randomRestart(seed, false)
		found += len(restart.faults(restart.run(t, seed)))
	}
	if found == 0 {
		t.Error("nothing is ever found wrong")
	}
}
