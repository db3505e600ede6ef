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

// referenceModel determines which destinations an Engine must have, by a simple method: each list event checks all
// destinations without endpoints.
type referenceModel struct {
	warmUp     time.Duration
	endpoints  map[string]DestinationID // destination by endpoint ID
	known      map[DestinationID]bool   // destinations that the Engine must have
	emptySince map[DestinationID]time.Duration
	empty      []DestinationID // destinations without endpoints, in the order in which they lost their last endpoint
}

func (model *referenceModel) hasEndpoints(destinationID DestinationID) bool {
	for _, id := range model.endpoints {
		if id == destinationID {
			return true
		}
	}
	return false
}

func (model *referenceModel) remove(now time.Duration, endpointID string) {
	id, listed := model.endpoints[endpointID]
	delete(model.endpoints, endpointID)
	if listed && model.emptySince[id] == 0 && !model.hasEndpoints(id) {
		model.emptySince[id] = now
		model.empty = append(model.empty, id)
	}
}

func (model *referenceModel) update(now time.Duration, event Event, messageCounts map[DestinationID]int) {
	if event.Kind == EndpointSnapshot {
		byDestination := func(a, b string) int { return int(model.endpoints[a] - model.endpoints[b]) }
		for _, id := range slices.SortedFunc(maps.Keys(model.endpoints), byDestination) {
			if !slices.ContainsFunc(event.Endpoints, func(entry Endpoint) bool { return entry.ID == id }) {
				model.remove(now, id)
			}
		}
	}
	for _, entry := range event.Endpoints {
		if entry.Removed {
			model.remove(now, entry.ID)
		} else if _, listed := model.endpoints[entry.ID]; !listed {
			model.endpoints[entry.ID] = entry.Destination
			model.known[entry.Destination] = true
		}
	}
	model.empty = slices.DeleteFunc(model.empty, func(id DestinationID) bool {
		if model.hasEndpoints(id) {
			delete(model.emptySince, id)
			return true
		}
		if messageCounts[id] > 0 || now < model.emptySince[id]+model.warmUp {
			return false
		}
		delete(model.known, id)
		delete(model.emptySince, id)
		return true
	})
}

// churn drives an Engine with random endpoint lists, changes to the list, messages and pauses.
type churn struct {
	rng      *rand.Rand
	engine   *Engine
	now      time.Duration
	nextID   MessageID
	listed   map[int]bool
	inFlight []Event // AttemptFinished events of the attempts in flight, without their outcomes
}

func newChurn(t *testing.T, seed uint64) *churn {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 11))
	settings := testSettings()
	settings.FleetSize = []int{1, 300}[rng.IntN(2)]
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	return &churn{rng: rng, engine: engine, now: time.Minute, nextID: 1, listed: map[int]bool{}}
}

func (c *churn) entry(i int) Endpoint {
	return Endpoint{
		ID:          fmt.Sprint("r", i),
		Destination: DestinationID(i / 2),
		Kind:        i / 2 % 3,
		Zone:        i % 2,
		Weight:      20,
		InService:   c.rng.IntN(9) > 0,
	}
}

// delta returns a list change that adds and removes endpoints of a few destinations, mostly all endpoints of a
// destination at once.
func (c *churn) delta() *Event {
	event := &Event{Kind: EndpointDelta}
	for range 1 + c.rng.IntN(4) {
		destinationID := c.rng.IntN(12)
		for i := 2 * destinationID; i < 2*destinationID+2; i++ {
			entry := c.entry(i)
			entry.Removed = c.listed[i] && c.rng.IntN(8) > 0
			c.listed[i] = !entry.Removed
			event.Endpoints = append(event.Endpoints, entry)
		}
	}
	return event
}

func (c *churn) snapshot() *Event {
	event := &Event{Kind: EndpointSnapshot}
	clear(c.listed)
	for i := range 24 {
		c.listed[i] = c.rng.IntN(3) > 0
		if c.listed[i] {
			event.Endpoints = append(event.Endpoints, c.entry(i))
		}
	}
	return event
}

// events returns the random events of one step: a list event, or nil if there is none, and other events.
func (c *churn) events() (list *Event, others []Event) {
	switch n := c.rng.IntN(10); {
	case n == 0:
		return c.delta(), nil
	case n == 1 && c.rng.IntN(4) == 0:
		return c.snapshot(), nil
	case n < 5:
		accepted := Event{
			Kind:        MessageAccepted,
			MessageID:   c.nextID,
			Destination: DestinationID(c.rng.IntN(12)),
			TimeLeft:    time.Duration(1+c.rng.IntN(20)) * time.Second,
		}
		c.nextID++
		return nil, []Event{accepted}
	case n < 8 && len(c.inFlight) > 0:
		i := c.rng.IntN(len(c.inFlight))
		finished := c.inFlight[i]
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
		finished.Outcome = []Outcome{OK, OK, Error, Overloaded, Timeout, Reset}[c.rng.IntN(6)]
		finished.MessageEnded = finished.Outcome == OK
		finished.Latency = 50 * ms
		return nil, []Event{finished}
	}
	return nil, []Event{{Kind: TimerFired}}
}

// simulateChurn runs an Engine under churn. After each step, it calls check with the list event, if there was one,
// and the numbers of messages by destination before the step. It returns a hash of all actions, which can be
// compared with the hash of another build.
func simulateChurn(
	t *testing.T,
	seed uint64,
	check func(engine *Engine, now time.Duration, list *Event, messageCounts map[DestinationID]int),
) uint64 {
	t.Helper()
	c := newChurn(t, seed)
	hash := fnv.New64a()
	for range 1200 {
		c.now += time.Duration(c.rng.IntN(4)*c.rng.IntN(4)*c.rng.IntN(400)) * ms
		list, events := c.events()
		if list != nil {
			events = append([]Event{*list}, events...)
		}
		messageCounts := map[DestinationID]int{}
		for _, dest := range c.engine.sortedDestinations {
			messageCounts[dest.id] = dest.messageCount
		}
		for _, a := range c.engine.Step(c.now, events) {
			_, _ = fmt.Fprintln(hash, c.now, a) // writing to a hash never fails
			if a.Kind == Send {
				c.inFlight = append(c.inFlight, c.outcomeOf(a))
			}
		}
		check(c.engine, c.now, list, messageCounts)
	}
	return hash.Sum64()
}

// outcomeOf returns the event that ends the attempt of a Send action, without its outcome.
func (c *churn) outcomeOf(a Action) Event {
	number := 0
	for _, inFlight := range c.engine.messages[a.MessageID].inFlight {
		number = max(number, inFlight.number)
	}
	return Event{Kind: AttemptFinished, MessageID: a.MessageID, Attempt: number, Endpoint: a.Endpoint}
}

// emptyDestinationsOf returns the destinations without endpoints that an Engine still has, in list order.
func emptyDestinationsOf(engine *Engine) (all []*destination) {
	for dest := engine.emptyDestinations.first; dest != nil; dest = dest.nextEmpty {
		all = append(all, dest)
	}
	return all
}

// After every step, an Engine has the same destinations as the reference model.
func TestEmptyDestinationsAreRemovedAsInTheModel(t *testing.T) {
	removed := 0
	for seed := range uint64(30) {
		model := referenceModel{
			warmUp:     testSettings().WarmUpDuration,
			endpoints:  map[string]DestinationID{},
			known:      map[DestinationID]bool{},
			emptySince: map[DestinationID]time.Duration{},
		}
		check := func(engine *Engine, now time.Duration, list *Event, messageCounts map[DestinationID]int) {
			if t.Failed() {
				return
			}
			if list != nil {
				before := len(model.known)
				model.update(now, *list, messageCounts)
				removed += max(0, before-len(model.known))
			}
			for id := range engine.destinations {
				if !model.known[id] && engine.destinations[id].messageCount > 0 {
					model.known[id] = true // created for a message, without an endpoint in the list
				}
			}
			got := slices.Sorted(maps.Keys(engine.destinations))
			want := slices.Sorted(maps.Keys(model.known))
			if !slices.Equal(got, want) {
				t.Errorf("seed %d, at %v: destinations %v, want %v as in the model", seed, now, got, want)
			}
			var empty []DestinationID
			for _, dest := range emptyDestinationsOf(engine) {
				empty = append(empty, dest.id)
			}
			if !slices.Equal(empty, model.empty) {
				t.Errorf("seed %d, at %v: destinations without endpoints %v, want %v as in the model",
					seed, now, empty, model.empty)
			}
		}
		t.Logf("seed %d: the hash of the actions is %x", seed, simulateChurn(t, seed, check))
	}
	if removed < 100 {
		t.Errorf("only %d destinations removed in all runs, want at least 100", removed)
	}
}
