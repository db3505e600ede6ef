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

// plainBook is what a Sender knows of destinations, by the plain rule: at every list event all without routes are
// looked at.
type plainBook struct {
	warm   time.Duration
	routes map[string]int // destinations
	known  map[int]bool
	bareAt map[int]time.Duration
	bare   []int
}

func (b *plainBook) routed(dest int) bool {
	for _, d := range b.routes {
		if d == dest {
			return true
		}
	}
	return false
}

func (b *plainBook) drop(now time.Duration, route string) {
	d, is := b.routes[route]
	delete(b.routes, route)
	if is && b.bareAt[d] == 0 && !b.routed(d) {
		b.bareAt[d] = now
		b.bare = append(b.bare, d)
	}
}

func (b *plainBook) list(now time.Duration, event Event, held map[int]int) {
	if event.Kind == EndpointSnapshot {
		byDestination := func(x, y string) int { return b.routes[x] - b.routes[y] }
		for _, id := range slices.SortedFunc(maps.Keys(b.routes), byDestination) {
			if !slices.ContainsFunc(event.Endpoints, func(l Endpoint) bool { return l.ID == id }) {
				b.drop(now, id)
			}
		}
	}
	for _, l := range event.Endpoints {
		if l.Removed {
			b.drop(now, l.ID)
		} else if _, is := b.routes[l.ID]; !is {
			b.routes[l.ID] = l.Destination
			b.known[l.Destination] = true
		}
	}
	b.bare = slices.DeleteFunc(b.bare, func(d int) bool {
		if b.routed(d) {
			delete(b.bareAt, d)
			return true
		}
		if held[d] > 0 || now < b.bareAt[d]+b.warm {
			return false
		}
		delete(b.known, d)
		delete(b.bareAt, d)
		return true
	})
}

// playBare plays random lists, changes, messages and pauses. After each step check is told of the list event, if there
// was one. It returns a sum of all actions, to compare with another Sender's.
func playBare(t *testing.T, seed uint64, check func(engine *Engine, now time.Duration, event *Event, held map[int]int)) uint64 {
	rng := rand.New(rand.NewPCG(seed, 11))
	set := settings()
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
func TestSweepForgetsAsThePlainRule(t *testing.T) {
	forgotten := 0
	for seed := range uint64(30) {
		b := plainBook{
			warm:   settings().WarmUpDuration,
			routes: map[string]int{},
			known:  map[int]bool{},
			bareAt: map[int]time.Duration{},
		}
		sum := playBare(t, seed, func(engine *Engine, now time.Duration, event *Event, held map[int]int) {
			if t.Failed() {
				return
			}
			if event != nil {
				was := len(b.known)
				b.list(now, *event, held)
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
			for _, d := range bares(engine) {
				bare = append(bare, d.id)
			}
			if !slices.Equal(bare, b.bare) {
				t.Errorf("seed %d, at %v: without routes %v, by the plain rule %v", seed, now, bare, b.bare)
			}
		})
		t.Logf("seed %d: the actions' sum is %x", seed, sum)
	}
	if forgotten < 100 {
		t.Errorf("%d destinations forgotten: the plays show too little", forgotten)
	}
}
