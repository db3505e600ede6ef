package policy

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// referenceModel is what an Engine knows of destinations, by the plain rule: at every list event all without endpoints are
// looked at.
type referenceModel struct {
	warmUp     time.Duration
	endpoints  map[string]int // destinations
	known      map[int]bool
	emptySince map[int]time.Duration
	empty      []int
}

func (model *referenceModel) hasEndpoints(destinationID int) bool {
	for _, d := range model.endpoints {
		if d == destinationID {
			return true
		}
	}
	return false
}

func (model *referenceModel) remove(now time.Duration, endpointID string) {
	d, is := model.endpoints[endpointID]
	delete(model.endpoints, endpointID)
	if is && model.emptySince[d] == 0 && !model.hasEndpoints(d) {
		model.emptySince[d] = now
		model.empty = append(model.empty, d)
	}
}

func (model *referenceModel) update(now time.Duration, event Event, held map[int]int) {
	if event.Kind == EndpointSnapshot {
		byDestination := func(x, y string) int { return model.endpoints[x] - model.endpoints[y] }
		for _, id := range slices.SortedFunc(maps.Keys(model.endpoints), byDestination) {
			if !slices.ContainsFunc(event.Endpoints, func(entry Endpoint) bool { return entry.ID == id }) {
				model.remove(now, id)
			}
		}
	}
	for _, entry := range event.Endpoints {
		if entry.Removed {
			model.remove(now, entry.ID)
		} else if _, is := model.endpoints[entry.ID]; !is {
			model.endpoints[entry.ID] = entry.Destination
			model.known[entry.Destination] = true
		}
	}
	model.empty = slices.DeleteFunc(model.empty, func(d int) bool {
		if model.hasEndpoints(d) {
			delete(model.emptySince, d)
			return true
		}
		if held[d] > 0 || now < model.emptySince[d]+model.warmUp {
			return false
		}
		delete(model.known, d)
		delete(model.emptySince, d)
		return true
	})
}

// simulateChurn plays random lists, changes, messages and pauses. After each step check is told of the list event, if there
// was one. It returns a sum of all actions, to compare with another Engine's.
func simulateChurn(t *testing.T, seed uint64, check func(engine *Engine, now time.Duration, event *Event, held map[int]int)) uint64 {
	rng := rand.New(rand.NewPCG(seed, 11))
	settings := testSettings()
	settings.FleetSize = []int{1, 300}[rng.IntN(2)]
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	now, id := time.Minute, uint32(0)
	sum := fnv.New64a()
	var out []Event
	listed := map[int]bool{}
	newEntry := func(i int) Endpoint {
		return Endpoint{
			ID:          fmt.Sprint("r", i),
			Destination: i / 2,
			Kind:        i / 2 % 3,
			Zone:        i % 2,
			Weight:      20,
			InService:   rng.IntN(9) > 0,
		}
	}
	for range 1200 {
		now += time.Duration(rng.IntN(4)*rng.IntN(4)*rng.IntN(400)) * ms
		var events []Event
		var list *Event
		switch n := rng.IntN(10); {
		case n == 0: // some of a few destinations go and come, most wholly
			event := Event{Kind: EndpointDelta}
			for range 1 + rng.IntN(4) {
				d := rng.IntN(12)
				for i := 2 * d; i < 2*d+2; i++ {
					entry := newEntry(i)
					entry.Removed = listed[i] && rng.IntN(8) > 0
					listed[i] = !entry.Removed
					event.Endpoints = append(event.Endpoints, entry)
				}
			}
			list = &event
		case n == 1 && rng.IntN(4) == 0:
			event := Event{Kind: EndpointSnapshot}
			clear(listed)
			for i := range 24 {
				if listed[i] = rng.IntN(3) > 0; listed[i] {
					event.Endpoints = append(event.Endpoints, newEntry(i))
				}
			}
			list = &event
		case n < 5:
			id++
			events = append(
				events,
				Event{
					Kind:        MessageAccepted,
					MessageID:   id,
					Destination: rng.IntN(12),
					TimeLeft:    time.Duration(1+rng.IntN(20)) * time.Second,
				},
			)
		case n < 8 && len(out) > 0:
			i := rng.IntN(len(out))
			event := out[i]
			out = slices.Delete(out, i, i+1)
			event.Outcome = []Outcome{OK, OK, Error, Overloaded, Timeout, Reset}[rng.IntN(6)]
			event.MessageEnded, event.Latency = event.Outcome == OK, 50*ms
			events = append(events, event)
		default:
			events = append(events, Event{Kind: TimerFired})
		}
		held := map[int]int{}
		for _, dest := range engine.sortedDestinations {
			held[dest.id] = dest.messageCount
		}
		if list != nil {
			events = append([]Event{*list}, events...)
		}
		for _, a := range engine.Step(now, events) {
			fmt.Fprintln(sum, now, a)
			if a.Kind == Send {
				n := 0
				for _, x := range engine.messages[a.MessageID].inFlight {
					n = max(n, x.number)
				}
				out = append(
					out,
					Event{Kind: AttemptFinished, MessageID: a.MessageID, Attempt: n, Endpoint: a.Endpoint},
				)
			}
		}
		check(engine, now, list, held)
	}
	return sum.Sum64()
}

// emptyDestinationsOf are the destinations without endpoints that an Engine still knows, in their order.
func emptyDestinationsOf(engine *Engine) (all []*destination) {
	for dest := engine.emptyDestinations.first; dest != nil; dest = dest.nextEmpty {
		all = append(all, dest)
	}
	return all
}

// What an Engine still knows after every step is what the plain rule says.
func TestEmptyDestinationsAreRemovedAsInTheModel(t *testing.T) {
	removed := 0
	for seed := range uint64(30) {
		model := referenceModel{
			warmUp:     testSettings().WarmUpDuration,
			endpoints:  map[string]int{},
			known:      map[int]bool{},
			emptySince: map[int]time.Duration{},
		}
		sum := simulateChurn(t, seed, func(engine *Engine, now time.Duration, event *Event, held map[int]int) {
			if t.Failed() {
				return
			}
			if event != nil {
				was := len(model.known)
				model.update(now, *event, held)
				removed += max(0, was-len(model.known))
			}
			for d := range engine.destinations {
				if !model.known[d] && engine.destinations[d].messageCount > 0 {
					model.known[d] = true // taken for a destination that no list named
				}
			}
			got, want := slices.Sorted(maps.Keys(engine.destinations)), slices.Sorted(maps.Keys(model.known))
			if !slices.Equal(got, want) {
				t.Errorf("seed %d, at %v: knows %v, by the plain rule %v", seed, now, got, want)
			}
			var bare []int
			for _, dest := range emptyDestinationsOf(engine) {
				bare = append(bare, dest.id)
			}
			if !slices.Equal(bare, model.empty) {
				t.Errorf("seed %d, at %v: without endpoints %v, by the plain rule %v", seed, now, bare, model.empty)
			}
		})
		t.Logf("seed %d: the actions' sum is %x", seed, sum)
	}
	if removed < 100 {
		t.Errorf("%d destinations forgotten: the plays show too little", removed)
	}
}
