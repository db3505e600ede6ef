package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep is one message taken and delivered by a relay of 400 destinations and 1,000 endpoints; with
// backlog, 200 more wait at destinations that none of their endpoints takes.
func BenchmarkStep(b *testing.B) {
	for _, backlog := range []int{0, 200} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) { benchmarkStep(b, backlog) })
	}
}

func benchmarkStep(b *testing.B, backlog int) {
	settings := testSettings()
	settings.FleetSize, settings.MaxInFlightCalls, settings.MaxPendingMessages = 400, 8, 1000
	engine, err := New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 1000 {
		// no pacing rate holds up what is measured
		list = append(list, Endpoint{
			ID: fmt.Sprint("r", i), Destination: i % 400, Kind: i % 2, Weight: 5e5,
			InService: i%400 < 200,
		})
	}
	now := time.Minute
	events := []Event{{Kind: EndpointSnapshot, Endpoints: list}}
	for i := range backlog {
		events = append(
			events,
			Event{Kind: MessageAccepted, MessageID: uint32(1e9) + uint32(i), Destination: 200 + i, TimeLeft: time.Hour},
		)
	}
	engine.Step(now, events)
	now += time.Second // first calls of many spread over a while after the list
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		id := uint32(i)
		endpointID := ""
		for _, a := range engine.Step(now, []Event{{Kind: MessageAccepted, MessageID: id, Destination: i % 200, TimeLeft: time.Minute}}) {
			if a.Kind == Send {
				endpointID = a.Endpoint
			}
		}
		if endpointID == "" {
			b.Fatalf("message %d was not sent", i)
		}
		now += 10 * ms
		engine.Step(
			now,
			[]Event{
				{
					Kind:         AttemptFinished,
					MessageID:    id,
					Endpoint:     endpointID,
					Outcome:      OK,
					Latency:      10 * ms,
					MessageEnded: true,
				},
			},
		)
	}
}

// BenchmarkListsAndTimers is what one of 300 relays does at 31 endpoints of 15 destinations: with a whole list that changes
// nothing, with a change of one endpoint, and with a timer for which nothing is due while ten messages wait.
func BenchmarkListsAndTimers(b *testing.B) {
	var list []Endpoint
	for i := range 31 {
		list = append(
			list,
			Endpoint{ID: fmt.Sprint("r", i), Destination: i % 15, Kind: i % 2, Weight: 50, InService: true},
		)
	}
	for _, test := range []struct {
		name string
		evs  []Event
	}{
		{"list", []Event{{Kind: EndpointSnapshot, Endpoints: list}}},
		{"change", []Event{{Kind: EndpointDelta, Endpoints: list[3:4]}}},
		{"wake", []Event{{Kind: TimerFired}}},
	} {
		b.Run(test.name, func(b *testing.B) {
			settings := testSettings()
			settings.FleetSize, settings.MaxInFlightCalls, settings.MaxPendingMessages = 300, 5, 60
			engine, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Minute
			events := []Event{{Kind: EndpointSnapshot, Endpoints: list}}
			for i := range 10 {
				events = append(
					events,
					Event{Kind: MessageAccepted, MessageID: uint32(i), Destination: i, TimeLeft: 1000 * time.Hour},
				)
			}
			engine.Step(now, events)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				engine.Step(now, test.evs)
			}
		})
	}
}

// BenchmarkListAndEvict is one destination of two endpoints that is told of and another that is put to rest, of so many
// told of; as many were put to rest within the last warm-up.
func BenchmarkListAndEvict(b *testing.B) {
	for _, awake := range []int{1000, 10000, 50000, 140000} {
		b.Run(fmt.Sprintf("awake=%d", awake), func(b *testing.B) {
			settings := testSettings()
			settings.FleetSize = 400
			engine, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			entries := func(destinationID int, removed bool) Event {
				destinationID = destinationID * 7919 % (4 * awake) // not in the order of their numbers
				event := Event{Kind: EndpointDelta, Endpoints: make([]Endpoint, 2)}
				for i := range event.Endpoints {
					event.Endpoints[i] = Endpoint{
						ID:          fmt.Sprint("ep-", destinationID, "-", i),
						Destination: destinationID,
						Kind:        destinationID % 3,
						Weight:      20,
						InService:   true,
						Removed:     removed,
					}
				}
				return event
			}
			now := time.Minute
			turn := func(i int) {
				now += settings.WarmUpDuration / time.Duration(awake)
				if id := i - awake; id >= 0 && engine.Evictable(id*7919%(4*awake)) {
					engine.Step(now, []Event{entries(id, true)})
				}
				engine.Step(now, []Event{entries(i, false)})
			}
			i := 0
			for ; i < 3*awake; i++ {
				turn(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				turn(i)
				i++
			}
			if n := len(engine.endpoints); n < 2*awake || n > 2*awake+4 {
				b.Fatalf("%d endpoints", n)
			}
		})
	}
}
