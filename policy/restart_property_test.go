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
	id        uint32
	destination      int
	untried   bool
	timeLeft      time.Duration // that it has
	sentAfter, endedAfter time.Duration // since the restart; -1: never
	rejected   bool
}

// restartCase is a restart drawn by a seed: settings, list, standing of hosts and messages.
type restartCase struct {
	settings     Settings
	initialEvents   []Event
	lateEndpoints    []Endpoint // listed at lateAfter only
	lateAfter  time.Duration
	messages    []*restartMessage
	inService  map[int]bool             // destinations with a host in service, in time
	retryAfter   map[string]time.Duration // told, by route
	impaired     map[int]bool             // something was told of a host of this destination
	endpoints  []Endpoint
	listedLate map[int]bool // by destination: a host is listed late
}

func randomRestart(seed uint64, resumed bool) *restartCase {
	rng := rand.New(rand.NewPCG(seed, 11))
	set := randomSettings(rng)
	set.Classes = slices.Clone(set.Classes[:3]) // order has rows of its own
	set.FleetSize = []int{1, 2, 6, 7, 80, 300}[rng.IntN(6)]
	set.IgnoreWeights, set.ApproximateWeights = rng.IntN(3) == 0, rng.IntN(3) == 0
	set.MaxInFlightCalls, set.MaxPendingMessages = 20+rng.IntN(100), 0
	f := &restartCase{
		settings:     set,
		inService:  map[int]bool{},
		retryAfter:   map[string]time.Duration{},
		impaired:     map[int]bool{},
		listedLate: map[int]bool{},
	}
	f.lateAfter = time.Duration(rng.IntN(2000)) * time.Millisecond
	whole := Event{Kind: EndpointSnapshot}
	var told []Event
	for d := range 1 + rng.IntN(5) {
		late := rng.IntN(5) == 0
		f.listedLate[d] = late
		for i := range 1 + rng.IntN(3) {
			l := Endpoint{
				ID: fmt.Sprintf(
					"r%d-%d",
					d,
					i,
				), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 1 + float64(rng.IntN(60)), InService: rng.IntN(6) > 0,
			}
			f.endpoints = append(f.endpoints, l)
			f.inService[d] = f.inService[d] || l.InService
			if late {
				f.lateEndpoints = append(f.lateEndpoints, l)
				continue
			}
			whole.Endpoints = append(whole.Endpoints, l)
			switch rng.IntN(8) {
			case 0:
				told, f.impaired[d] = append(told, Event{Kind: HealthChecked, Endpoint: l.ID, Outcome: Overloaded}), true
			case 1:
				for range 1 + rng.IntN(3) {
					told = append(told, Event{Kind: HealthChecked, Endpoint: l.ID, Outcome: Error})
				}
				f.impaired[d] = true
			case 2:
				wait := time.Duration(100+rng.IntN(15_000)) * time.Millisecond
				told, f.impaired[d] = append(
					told,
					Event{Kind: HealthChecked, Endpoint: l.ID, Outcome: NotSent, RetryAfter: wait},
				), true
				f.retryAfter[l.ID] = wait
			}
		}
	}
	f.initialEvents = append([]Event{whole}, told...)
	for id := range uint32(1 + rng.IntN(60)) {
		classIndex := rng.IntN(len(set.Classes))
		m := &restartMessage{id: id + 1, destination: rng.IntN(len(f.listedLate)), sentAfter: -1, endedAfter: -1, untried: true}
		m.timeLeft = set.Classes[classIndex].Deadline * time.Duration([]int{1, 3, 5, 10}[rng.IntN(4)]) / 10
		f.messages = append(f.messages, m)
		event := Event{Kind: MessageAccepted, MessageID: m.id, Class: classIndex, Destination: m.destination, TimeLeft: m.timeLeft}
		if resumed {
			event.Recovered = &RecoveredMessage{}
			if rng.IntN(6) == 0 {
				m.untried, event.Recovered.Attempts, event.Recovered.MayHaveRun, event.Recovered.SinceFirstRun = false, 1, rng.IntN(
					2,
				) == 0, time.Second
			}
		}
		f.initialEvents = append(f.initialEvents, event)
	}
	if len(f.messages) > 10 && rng.IntN(3) == 0 {
		f.settings.MaxPendingMessages = len(f.messages) // no room
	}
	return f
}

// run has a sender go on from what a restart finds, at hosts that deliver all, until nobody's time is left. It counts
// the calls of each destination.
func (f *restartCase) run(t *testing.T, seed uint64) (calls map[int]int) {
	t.Helper()
	engine, err := New(f.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	byID := map[uint32]*restartMessage{}
	for _, m := range f.messages {
		byID[m.id] = m
	}
	const began, answer = time.Second, 40 * time.Millisecond
	calls = map[int]int{}
	type end struct {
		at time.Duration
		ev Event
	}
	var ends []end
	now, evs, lateTold := began, f.initialEvents, false
	for now < began+12*time.Second {
		wake := now + 500*time.Millisecond
		routes := map[string]bool{}
		for _, a := range engine.Step(now, evs) {
			m := byID[a.MessageID]
			switch a.Kind {
			case Send:
				if m.sentAfter < 0 {
					m.sentAfter = now - began
				}
				if !routes[a.Endpoint] {
					routes[a.Endpoint] = true
					calls[m.destination]++
				}
				ends = append(
					ends,
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
				m.endedAfter, m.rejected = now-began, a.Kind == Reject
			case SetTimer:
				wake = min(wake, now+a.Delay)
			}
		}
		evs = nil
		if !lateTold && len(f.lateEndpoints) > 0 {
			wake = min(wake, max(now, began+f.lateAfter))
		}
		if len(ends) > 0 {
			wake = min(wake, ends[0].at)
		}
		now = max(wake, now+time.Millisecond)
		for len(ends) > 0 && ends[0].at <= now {
			evs, ends = append(evs, ends[0].ev), ends[1:]
		}
		if !lateTold && len(f.lateEndpoints) > 0 && now >= began+f.lateAfter {
			evs, lateTold = append(evs, Event{Kind: EndpointDelta, Endpoints: f.lateEndpoints}), true
		}
	}
	return calls
}

// blockedBeyond tells whether every host of a destination was told to wait for d or more.
func (f *restartCase) blockedBeyond(dest int, d time.Duration) bool {
	shared, all := time.Duration(0), true
	for _, l := range f.endpoints {
		if l.Destination == dest {
			shared = max(shared, f.retryAfter[l.ID])
			all = all && f.retryAfter[l.ID] >= d-deadlineMargin
		}
	}
	return all || !f.settings.DestinationKinds[dest%2].LimitPerEndpoint && shared >= d-deadlineMargin
}

// faults judges what became of the messages.
func (f *restartCase) faults(calls map[int]int) (faults []string) {
	const spread = MaxInitialSpread + 200*time.Millisecond // first calls of many come within this
	for _, m := range f.messages {
		listed := time.Duration(0)
		if f.listedLate[m.destination] {
			listed = f.lateAfter
		}
		switch {
		case !m.untried || m.sentAfter >= 0:
		case m.endedAfter >= 0 && !m.rejected:
			faults = append(faults, fmt.Sprintf("message %d failed, though it never ran", m.id))
		case m.endedAfter >= 0 && m.endedAfter < m.timeLeft-50*time.Millisecond && !f.blockedBeyond(m.destination, m.timeLeft):
			faults = append(faults, fmt.Sprintf("message %d refused untried after %v of %v", m.id, m.endedAfter, m.timeLeft))
		case m.endedAfter < 0:
			faults = append(faults, fmt.Sprintf("message %d has no end", m.id))
		case !f.inService[m.destination] || f.impaired[m.destination] || m.timeLeft-listed < spread:
			// No host, or one of which something was told, or no time: its destination may have had no call.
		case calls[m.destination] == 0:
			faults = append(faults, fmt.Sprintf("message %d: a host that stands well had no call in %v", m.id, m.timeLeft))
		case f.settings.IgnoreWeights && listed == 0:
			faults = append(faults, fmt.Sprintf("message %d not tried in %v, where nothing bars it", m.id, m.timeLeft))
		}
	}
	return faults
}

// Over any settings, lists and standings: what a restart finds untried gets a call before its time, unless all hosts
// are told to wait past it, or capacity bars it, which the calls made show; and it never ends early without one.
func TestRecoveredMessagesAreTriedOrKept(t *testing.T) {
	sent, all := 0, 0
	for seed := range uint64(1500) {
		f := randomRestart(seed, true)
		if wrong := f.faults(f.run(t, seed)); len(wrong) > 0 {
			t.Errorf(
				"seed %d, %d senders, no weights %v: %d of %d: %s",
				seed,
				f.settings.FleetSize,
				f.settings.IgnoreWeights,
				len(wrong),
				len(f.messages),
				wrong[0],
			)
		}
		for _, m := range f.messages {
			if all++; m.sentAfter >= 0 {
				sent++
			}
		}
	}
	if t.Logf("%d of %d sent", sent, all); sent < all/4 {
		t.Error("the test shows little")
	}
	// The same with messages that no earlier process took on: refused early, as they may be. It shows that the test can
	// fail.
	found := 0
	for seed := range uint64(200) {
		f := randomRestart(seed, false)
		found += len(f.faults(f.run(t, seed)))
	}
	if found == 0 {
		t.Error("nothing is ever found wrong")
	}
}
