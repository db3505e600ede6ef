package policy

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures how long an Engine with 400 destinations and 1,000 endpoints takes to accept and deliver
// one message. With a backlog, 200 more messages wait for destinations without an endpoint in service.
func BenchmarkStep(b *testing.B) {
	for _, backlog := range []int{0, 200} {
		b.Run(fmt.Sprintf("backlog=%d", backlog), func(b *testing.B) { benchmarkStep(b, backlog) })
	}
}

func benchmarkStep(b *testing.B, backlog int) {
	settings := testSettings()
	settings.FleetSize = 400
	settings.MaxInFlightCalls = 8
	settings.MaxPendingMessages = 1000
	engine, err := New(settings, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Endpoint
	for i := range 1000 {
		list = append(list, Endpoint{
			ID:          fmt.Sprint("r", i),
			Destination: DestinationID(i % 400),
			Kind:        i % 2,
			Weight:      5e5, // so high that pacing delays none of the messages
			InService:   i%400 < 200,
		})
	}
	now := time.Minute
	events := []Event{{Kind: EndpointSnapshot, Endpoints: list}}
	for i := range backlog {
		events = append(events, Event{
			Kind:        MessageAccepted,
			MessageID:   MessageID(1e9) + MessageID(i),
			Destination: DestinationID(200 + i),
			TimeLeft:    time.Hour,
		})
	}
	engine.Step(now, events)
	now += time.Second // a large fleet spreads its first calls over some time after the first list
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		id := MessageID(i)
		endpointID := ""
		accepted := Event{
			Kind:        MessageAccepted,
			MessageID:   id,
			Destination: DestinationID(i % 200),
			TimeLeft:    time.Minute,
		}
		for _, a := range engine.Step(now, []Event{accepted}) {
			if a.Kind == Send {
				endpointID = a.Endpoint
			}
		}
		if endpointID == "" {
			b.Fatalf("message %d was not sent", i)
		}
		now += 10 * ms
		engine.Step(now, []Event{{
			Kind:         AttemptFinished,
			MessageID:    id,
			Endpoint:     endpointID,
			Outcome:      OK,
			Latency:      10 * ms,
			MessageEnded: true,
		}})
	}
}

// BenchmarkListsAndTimers measures one step of a relay in a fleet of 300, with 31 endpoints of 15 destinations and
// ten pending messages. The event of the step is a complete list without a change, an update of one endpoint, or a
// timer when nothing is due.
func BenchmarkListsAndTimers(b *testing.B) {
	var list []Endpoint
	for i := range 31 {
		list = append(list, Endpoint{
			ID:          fmt.Sprint("r", i),
			Destination: DestinationID(i % 15),
			Kind:        i % 2,
			Weight:      50,
			InService:   true,
		})
	}
	for _, test := range []struct {
		name   string
		events []Event
	}{
		{"list", []Event{{Kind: EndpointSnapshot, Endpoints: list}}},
		{"change", []Event{{Kind: EndpointDelta, Endpoints: list[3:4]}}},
		{"timer", []Event{{Kind: TimerFired}}},
	} {
		b.Run(test.name, func(b *testing.B) {
			settings := testSettings()
			settings.FleetSize = 300
			settings.MaxInFlightCalls = 5
			settings.MaxPendingMessages = 60
			engine, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Minute
			events := []Event{{Kind: EndpointSnapshot, Endpoints: list}}
			for i := range 10 {
				events = append(events, Event{
					Kind:        MessageAccepted,
					MessageID:   MessageID(i),
					Destination: DestinationID(i),
					TimeLeft:    1000 * time.Hour,
				})
			}
			engine.Step(now, events)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Microsecond
				engine.Step(now, test.events)
			}
		})
	}
}

// BenchmarkListAndEvict measures adding one destination with two endpoints and evicting another, while the given
// number of destinations is listed. As many destinations as are listed have been evicted within the last
// WarmUpDuration.
func BenchmarkListAndEvict(b *testing.B) {
	for _, listed := range []int{1000, 10000, 50000, 140000} {
		b.Run(fmt.Sprintf("listed=%d", listed), func(b *testing.B) {
			settings := testSettings()
			settings.FleetSize = 400
			engine, err := New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			destinationID := func(i int) DestinationID { // scattered, so that IDs are not added in order
				return DestinationID(i * 7919 % (4 * listed))
			}
			delta := func(i int, removed bool) Event {
				id := destinationID(i)
				event := Event{Kind: EndpointDelta, Endpoints: make([]Endpoint, 2)}
				for j := range event.Endpoints {
					event.Endpoints[j] = Endpoint{
						ID:          fmt.Sprint("ep-", id, "-", j),
						Destination: id,
						Kind:        int(id % 3),
						Weight:      20,
						InService:   true,
						Removed:     removed,
					}
				}
				return event
			}
			now := time.Minute
			replaceOne := func(i int) {
				now += settings.WarmUpDuration / time.Duration(listed)
				if oldest := i - listed; oldest >= 0 && engine.Evictable(destinationID(oldest)) {
					engine.Step(now, []Event{delta(oldest, true)})
				}
				engine.Step(now, []Event{delta(i, false)})
			}
			i := 0
			for ; i < 3*listed; i++ {
				replaceOne(i)
			}
			b.ReportAllocs()
			for b.Loop() {
				replaceOne(i)
				i++
			}
			if n := len(engine.endpoints); n < 2*listed || n > 2*listed+4 {
				b.Fatalf("%d endpoints in the Engine, want %d to %d", n, 2*listed, 2*listed+4)
			}
		})
	}
}
