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

// referenceModel is what a Sender knows of destinations, by the plain rule: at every list event all without routes are
// looked at.
type referenceModel struct {
	warmUp   time.Duration
	endpoints map[string]int // destinations
	known  map[int]bool
	emptySince map[int]time.Duration
	empty   []int
}

func (b *referenceModel) hasEndpoints(dest int) bool {
	for _, d := range b.endpoints {
		if d == dest {
			return true
		}
	}
	return false
}

func (b *referenceModel) remove(now time.Duration, route string) {
	d, is := b.endpoints[route]
	delete(b.endpoints, route)
	if is && b.emptySince[d] == 0 && !b.hasEndpoints(d) {
		b.emptySince[d] = now
		b.empty = append(b.empty, d)
	}
}

func (b *referenceModel) update(now time.Duration, event Event, held map[int]int) {
	if event.Kind == EndpointSnapshot {
		byDestination := func(x, y string) int { return b.endpoints[x] - b.endpoints[y] }
		for _, id := range slices.SortedFunc(maps.Keys(b.endpoints), byDestination) {
			if !slices.ContainsFunc(event.Endpoints, func(l Endpoint) bool { return l.ID == id }) {
				b.remove(now, id)
			}
		}
	}
	for _, l := range event.Endpoints {
		if l.Removed {
			b.remove(now, l.ID)
		} else if _, is := b.endpoints[l.ID]; !is {
			b.endpoints[l.ID] = l.Destination
			b.known[l.Destination] = true
		}
	}
	b.empty = slices.DeleteFunc(b.empty, func(d int) bool {
		if b.hasEndpoints(d) {
			delete(b.emptySince, d)
			return true
		}
		if held[d] > 0 || now < b.emptySince[d]+b.warmUp {
			return false
		}
		delete(b.known, d)
		delete(b.emptySince, d)
		return true
	})
}

// simulateChurn plays random lists, changes, messages and pauses. After each step check is told of the list event, if there
// was one. It returns a sum of all actions, to compare with another Sender's.
func simulateChurn(t *testing.T, seed uint64, check func(engine *Engine, now time.Duration, event *Event, held map[int]int)) uint64 {
	rng := rand.New(rand.NewPCG(seed, 11))
	set := testSettings()
	set.FleetSize = []int{1, 300}[rng.IntN(2)]
	engine, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	now, id := time.Minute, uint32(0)
	sum := fnv.New64a()
	var out []Event
	listed := map[int]bool{}
	entry := func(i int) Endpoint {
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
		var evs []Event
		var list *Event
		switch n := rng.IntN(10); {
		case n == 0: // some of a few destinations go and come, most wholly
			event := Event{Kind: EndpointDelta}
			for range 1 + rng.IntN(4) {
				d := rng.IntN(12)
				for i := 2 * d; i < 2*d+2; i++ {
					l := entry(i)
					l.Removed = listed[i] && rng.IntN(8) > 0
					listed[i] = !l.Removed
					event.Endpoints = append(event.Endpoints, l)
				}
			}
			list = &event
		case n == 1 && rng.IntN(4) == 0:
			event := Event{Kind: EndpointSnapshot}
			clear(listed)
			for i := range 24 {
				if listed[i] = rng.IntN(3) > 0; listed[i] {
					event.Endpoints = append(event.Endpoints, entry(i))
				}
			}
			list = &event
		case n < 5:
			id++
			evs = append(
				evs,
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
			evs = append(evs, event)
		default:
			evs = append(evs, Event{Kind: TimerFired})
		}
		held := map[int]int{}
		for _, d := range engine.sortedDestinations {
			held[d.id] = d.messageCount
		}
		if list != nil {
			evs = append([]Event{*list}, evs...)
		}
		for _, a := range engine.Step(now, evs) {
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

// What a Sender still knows after every step is what the plain rule says.
func TestEmptyDestinationsAreRemovedAsInTheModel(t *testing.T) {
	forgotten := 0
	for seed := range uint64(30) {
		b := referenceModel{
			warmUp:   testSettings().WarmUpDuration,
			endpoints: map[string]int{},
			known:  map[int]bool{},
			emptySince: map[int]time.Duration{},
		}
		sum := simulateChurn(t, seed, func(engine *Engine, now time.Duration, event *Event, held map[int]int) {
			if t.Failed() {
				return
			}
			if event != nil {
				was := len(b.known)
				b.update(now, *event, held)
				forgotten += max(0, was-len(b.known))
			}
			for d := range engine.destinations {
				if !b.known[d] && engine.destinations[d].messageCount > 0 {
					b.known[d] = true // taken for a destination that no list named
				}
			}
			got, want := slices.Sorted(maps.Keys(engine.destinations)), slices.Sorted(maps.Keys(b.known))
			if !slices.Equal(got, want) {
				t.Errorf("seed %d, at %v: knows %v, by the plain rule %v", seed, now, got, want)
			}
			var bare []int
			for _, d := range emptyDestinationsOf(engine) {
				bare = append(bare, d.id)
			}
			if !slices.Equal(bare, b.empty) {
				t.Errorf("seed %d, at %v: without routes %v, by the plain rule %v", seed, now, bare, b.empty)
			}
		})
		t.Logf("seed %d: the actions' sum is %x", seed, sum)
	}
	if forgotten < 100 {
		t.Errorf("%d destinations forgotten: the plays show too little", forgotten)
	}
}
