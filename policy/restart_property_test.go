package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// left is a message that a restart finds, and what became of it.
type left struct {
	id        uint32
	dest      int
	untried   bool
	time      time.Duration // that it has
	sent, end time.Duration // since the restart; -1: never
	refused   bool
}

// find is a restart drawn by a seed: settings, list, standing of hosts and messages.
type find struct {
	set     Settings
	first   []Event
	late    []Endpoint // listed at lateAt only
	lateAt  time.Duration
	msgs    []*left
	usable  map[int]bool             // destinations with a host in service, in time
	waits   map[string]time.Duration // told, by route
	ill     map[int]bool             // something was told of a host of this destination
	routes  []Endpoint
	waiting map[int]bool // by destination: a host is listed late
}

func drawFind(seed uint64, resumed bool) *find {
	rng := rand.New(rand.NewPCG(seed, 11))
	set := randomSettings(rng)
	set.Classes = slices.Clone(set.Classes[:3]) // order has rows of its own
	set.FleetSize = []int{1, 2, 6, 7, 80, 300}[rng.IntN(6)]
	set.IgnoreWeights, set.ApproximateWeights = rng.IntN(3) == 0, rng.IntN(3) == 0
	set.MaxInFlightCalls, set.MaxPendingMessages = 20+rng.IntN(100), 0
	f := &find{
		set:     set,
		usable:  map[int]bool{},
		waits:   map[string]time.Duration{},
		ill:     map[int]bool{},
		waiting: map[int]bool{},
	}
	f.lateAt = time.Duration(rng.IntN(2000)) * time.Millisecond
	whole := Event{Kind: EndpointSnapshot}
	var told []Event
	for d := range 1 + rng.IntN(5) {
		late := rng.IntN(5) == 0
		f.waiting[d] = late
		for i := range 1 + rng.IntN(3) {
			l := Endpoint{
				ID: fmt.Sprintf(
					"r%d-%d",
					d,
					i,
				), Destination: d, Kind: d % 2, Zone: i % 2, Weight: 1 + float64(rng.IntN(60)), InService: rng.IntN(6) > 0,
			}
			f.routes = append(f.routes, l)
			f.usable[d] = f.usable[d] || l.InService
			if late {
				f.late = append(f.late, l)
				continue
			}
			whole.Endpoints = append(whole.Endpoints, l)
			switch rng.IntN(8) {
			case 0:
				told, f.ill[d] = append(told, Event{Kind: HealthChecked, Endpoint: l.ID, Outcome: Overloaded}), true
			case 1:
				for range 1 + rng.IntN(3) {
					told = append(told, Event{Kind: HealthChecked, Endpoint: l.ID, Outcome: Error})
				}
				f.ill[d] = true
			case 2:
				wait := time.Duration(100+rng.IntN(15_000)) * time.Millisecond
				told, f.ill[d] = append(
					told,
					Event{Kind: HealthChecked, Endpoint: l.ID, Outcome: NotSent, RetryAfter: wait},
				), true
				f.waits[l.ID] = wait
			}
		}
	}
	f.first = append([]Event{whole}, told...)
	for id := range uint32(1 + rng.IntN(60)) {
		classIndex := rng.IntN(len(set.Classes))
		m := &left{id: id + 1, dest: rng.IntN(len(f.waiting)), sent: -1, end: -1, untried: true}
		m.time = set.Classes[classIndex].Deadline * time.Duration([]int{1, 3, 5, 10}[rng.IntN(4)]) / 10
		f.msgs = append(f.msgs, m)
		event := Event{Kind: MessageAccepted, MessageID: m.id, Class: classIndex, Destination: m.dest, TimeLeft: m.time}
		if resumed {
			event.Recovered = &RecoveredMessage{}
			if rng.IntN(6) == 0 {
				m.untried, event.Recovered.Attempts, event.Recovered.MayHaveRun, event.Recovered.SinceFirstRun = false, 1, rng.IntN(
					2,
				) == 0, time.Second
			}
		}
		f.first = append(f.first, event)
	}
	if len(f.msgs) > 10 && rng.IntN(3) == 0 {
		f.set.MaxPendingMessages = len(f.msgs) // no room
	}
	return f
}

// play has a sender go on from what a restart finds, at hosts that deliver all, until nobody's time is left. It counts
// the calls of each destination.
func (f *find) play(t *testing.T, seed uint64) (calls map[int]int) {
	t.Helper()
	engine, err := New(f.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	byID := map[uint32]*left{}
	for _, m := range f.msgs {
		byID[m.id] = m
	}
	const began, answer = time.Second, 40 * time.Millisecond
	calls = map[int]int{}
	type end struct {
		at time.Duration
		ev Event
	}
	var ends []end
	now, evs, lateTold := began, f.first, false
	for now < began+12*time.Second {
		wake := now + 500*time.Millisecond
		routes := map[string]bool{}
		for _, a := range engine.Step(now, evs) {
			m := byID[a.MessageID]
			switch a.Kind {
			case Send:
				if m.sent < 0 {
					m.sent = now - began
				}
				if !routes[a.Endpoint] {
					routes[a.Endpoint] = true
					calls[m.dest]++
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
				m.end, m.refused = now-began, a.Kind == Reject
			case SetTimer:
				wake = min(wake, now+a.Delay)
			}
		}
		evs = nil
		if !lateTold && len(f.late) > 0 {
			wake = min(wake, max(now, began+f.lateAt))
		}
		if len(ends) > 0 {
			wake = min(wake, ends[0].at)
		}
		now = max(wake, now+time.Millisecond)
		for len(ends) > 0 && ends[0].at <= now {
			evs, ends = append(evs, ends[0].ev), ends[1:]
		}
		if !lateTold && len(f.late) > 0 && now >= began+f.lateAt {
			evs, lateTold = append(evs, Event{Kind: EndpointDelta, Endpoints: f.late}), true
		}
	}
	return calls
}

// toldBeyond tells whether every host of a destination was told to wait for d or more.
func (f *find) toldBeyond(dest int, d time.Duration) bool {
	shared, all := time.Duration(0), true
	for _, l := range f.routes {
		if l.Destination == dest {
			shared = max(shared, f.waits[l.ID])
			all = all && f.waits[l.ID] >= d-deadlineMargin
		}
	}
	return all || !f.set.DestinationKinds[dest%2].LimitPerEndpoint && shared >= d-deadlineMargin
}

// wrong judges what became of the messages.
func (f *find) wrong(calls map[int]int) (faults []string) {
	const spread = MaxInitialSpread + 200*time.Millisecond // first calls of many come within this
	for _, m := range f.msgs {
		listed := time.Duration(0)
		if f.waiting[m.dest] {
			listed = f.lateAt
		}
		switch {
		case !m.untried || m.sent >= 0:
		case m.end >= 0 && !m.refused:
			faults = append(faults, fmt.Sprintf("message %d failed, though it never ran", m.id))
		case m.end >= 0 && m.end < m.time-50*time.Millisecond && !f.toldBeyond(m.dest, m.time):
			faults = append(faults, fmt.Sprintf("message %d refused untried after %v of %v", m.id, m.end, m.time))
		case m.end < 0:
			faults = append(faults, fmt.Sprintf("message %d has no end", m.id))
		case !f.usable[m.dest] || f.ill[m.dest] || m.time-listed < spread:
			// No host, or one of which something was told, or no time: its destination may have had no call.
		case calls[m.dest] == 0:
			faults = append(faults, fmt.Sprintf("message %d: a host that stands well had no call in %v", m.id, m.time))
		case f.set.IgnoreWeights && listed == 0:
			faults = append(faults, fmt.Sprintf("message %d not tried in %v, where nothing bars it", m.id, m.time))
		}
	}
	return faults
}

// Over any settings, lists and standings: what a restart finds untried gets a call before its time, unless all hosts
// are told to wait past it, or capacity bars it, which the calls made show; and it never ends early without one.
func TestWhatAnyRestartFindsIsTriedOrKept(t *testing.T) {
	sent, all := 0, 0
	for seed := range uint64(1500) {
		f := drawFind(seed, true)
		if wrong := f.wrong(f.play(t, seed)); len(wrong) > 0 {
			t.Errorf(
				"seed %d, %d senders, no weights %v: %d of %d: %s",
				seed,
				f.set.FleetSize,
				f.set.IgnoreWeights,
				len(wrong),
				len(f.msgs),
				wrong[0],
			)
		}
		for _, m := range f.msgs {
			if all++; m.sent >= 0 {
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
		f := drawFind(seed, false)
		found += len(f.wrong(f.play(t, seed)))
	}
	if found == 0 {
		t.Error("nothing is ever found wrong")
	}
}
