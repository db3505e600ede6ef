package relay

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// applyLongList applies a list in parts, as the loop does with a long list, and runs a step after some of them.
func applyLongList(r *Relay, full bool, version int64, entries []discovery.Entry) {
	sendPart := func(p *discovery.SnapshotPart) bool {
		p.Reply = make(chan bool, 1)
		if p.Kind == discovery.PartBegin {
			r.step([]event{partEvent{p}})
		} else {
			r.collect(nil, partEvent{p})
		}
		return <-p.Reply
	}
	sendPart(&discovery.SnapshotPart{Kind: discovery.PartBegin})
	for chunk := range slices.Chunk(entries, 7) {
		sendPart(&discovery.SnapshotPart{Kind: discovery.PartEntries, Entries: chunk})
		if len(chunk)%2 == 0 {
			r.step(nil)
		}
	}
	for full && !sendPart(&discovery.SnapshotPart{Kind: discovery.PartSweep}) {
	}
	sendPart(&discovery.SnapshotPart{Kind: discovery.PartEnd, Version: version})
	r.step(nil)
}

// policyEndpoints returns the endpoints that the policy holds, by destination and in the order of their ids.
func policyEndpoints(r *Relay) map[policy.DestinationID][]policy.Endpoint {
	known := map[policy.DestinationID][]policy.Endpoint{}
	views, _ := r.engine.Views()
	for _, v := range views {
		known[v.Destination] = append(known[v.Destination], v.Endpoint)
	}
	return sortedByID(known)
}

// workingSetEndpoints returns the endpoints that the policy must hold, in the same form as policyEndpoints: all
// endpoints that the catalog has for the working set's destinations.
func workingSetEndpoints(r *Relay) map[policy.DestinationID][]policy.Endpoint {
	known := map[policy.DestinationID][]policy.Endpoint{}
	for e := range r.catalog.All() {
		if r.workingSet.Contains(e.Destination) {
			known[e.Destination] = append(known[e.Destination], e.Endpoint)
		}
	}
	return sortedByID(known)
}

func sortedByID(known map[policy.DestinationID][]policy.Endpoint) map[policy.DestinationID][]policy.Endpoint {
	for _, endpoints := range known {
		slices.SortFunc(endpoints, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return known
}

func sameEndpoints(a, b map[policy.DestinationID][]policy.Endpoint) bool {
	return maps.EqualFunc(a, b, slices.Equal[[]policy.Endpoint])
}

// After any sequence of lists, changes, messages and evictions, the policy holds all endpoints of the working set's
// destinations, and no others. The catalog holds the same endpoints as a model that keeps all of them in a map.
func TestPolicyHoldsTheWorkingSet(t *testing.T) {
	const idleTime = 40 * time.Millisecond
	for seed := range uint64(20) {
		r := newTestRelay(t)
		r.switchToLargeList()
		r.workingSet = catalog.NewWorkingSet(idleTime)
		r.workingSet.Activate(7, r.now())
		m := workingSetModel{rng: rand.New(rand.NewPCG(seed, 11)), relay: r, entries: map[string]discovery.Entry{}}
		for e := range r.catalog.All() {
			m.entries[e.ID] = discovery.Entry{Endpoint: e}
		}
		for step := range 60 {
			switch m.rng.IntN(4) {
			case 0, 1:
				m.applyRandomList(int64(step))
			case 2:
				m.submitRandom(fmt.Sprint(seed, "-", step))
			case 3:
				m.stepRandom()
			}
			m.check(t, seed, step)
		}
	}
}

// workingSetModel passes random input to a relay, and keeps the relay's endpoint list in a map for comparison.
type workingSetModel struct {
	rng     *rand.Rand
	relay   *Relay
	entries map[string]discovery.Entry
}

const (
	modelDestinations = 12
	modelEndpoints    = 40
)

// applyRandomList applies a random list, either a complete one or changes, to the relay and to the model.
func (m *workingSetModel) applyRandomList(version int64) {
	full := m.rng.IntN(3) == 0
	var entries []discovery.Entry
	named := map[string]bool{}
	for range m.rng.IntN(modelEndpoints) {
		e := m.randomEntry()
		entries = append(entries, e)
		named[e.ID] = true
		if e.Removed {
			delete(m.entries, e.ID)
		} else {
			m.entries[e.ID] = e
		}
	}
	if full {
		maps.DeleteFunc(m.entries, func(id string, _ discovery.Entry) bool { return !named[id] })
	}
	applyLongList(m.relay, full, version, entries)
}

func (m *workingSetModel) randomEntry() discovery.Entry {
	k := m.rng.IntN(modelEndpoints)
	e := discovery.Entry{Endpoint: catalog.Endpoint{Addr: fmt.Sprintf("127.0.0.1:%d", 1+m.rng.IntN(2))}}
	e.Endpoint.Endpoint = policy.Endpoint{
		ID:          fmt.Sprint("h-", k),
		Destination: policy.DestinationID(100 + m.rng.IntN(modelDestinations)),
		Kind:        1,
		Zone:        k % 2,
		Weight:      50,
		InService:   m.rng.IntN(3) > 0,
	}
	if m.rng.IntN(6) == 0 {
		e.Endpoint = catalog.Endpoint{Endpoint: policy.Endpoint{ID: e.ID, Removed: true}}
	}
	return e
}

// submitRandom submits some messages that expire after at most 30 ms.
func (m *workingSetModel) submitRandom(prefix string) {
	for range m.rng.IntN(4) {
		id := fmt.Sprint(prefix, "-", m.rng.Uint64())
		destination := policy.DestinationID(100 + m.rng.IntN(modelDestinations))
		timeLeft := time.Duration(1+m.rng.IntN(30)) * time.Millisecond
		submission := newSubmission(id, destination, timeLeft)
		m.relay.step([]event{submission})
		<-submission.reply
	}
}

// stepRandom runs some steps, each with an event that waits in the relay's queue, if there is one.
func (m *workingSetModel) stepRandom() {
	r := m.relay
	for range m.rng.IntN(3) {
		select {
		case e := <-r.events:
			r.step(r.collect(nil, e))
		case <-time.After(20 * time.Millisecond):
			r.step(nil)
		}
	}
}

// check compares the relay with the model.
func (m *workingSetModel) check(t *testing.T, seed uint64, step int) {
	t.Helper()
	r := m.relay
	if got, want := policyEndpoints(r), workingSetEndpoints(r); !sameEndpoints(got, want) {
		t.Fatalf("seed %d, step %d: the policy holds\n%v\nthe working set is\n%v", seed, step, got, want)
	}
	if r.catalog.EndpointCount() != len(m.entries) {
		t.Fatalf("seed %d, step %d: %d endpoints, want %d", seed, step, r.catalog.EndpointCount(), len(m.entries))
	}
	for id, want := range m.entries {
		if got, ok := r.catalog.Endpoint(id); !ok || got != want.Endpoint {
			t.Fatalf("seed %d, step %d: %s is %+v, want %+v", seed, step, id, got, want.Endpoint)
		}
	}
}

// Applying the same complete list again gives the policy no updates. A list with a change inside the working set
// gives the policy only the update for that change.
func TestUnchangedListGivesNoUpdates(t *testing.T) {
	r := newTestRelay(t)
	entries := entriesOf(
		r,
		endpointText("s-a", "127.0.0.1:1", 50, "ready"),
		endpointText("s-b", "127.0.0.1:1", 50, "ready"),
		endpointText("s-c", "127.0.0.1:1", 51, "ready"),
	)
	applyLongList(r, true, 2, entries)
	a := submitAll(r, newSubmission("m", 50, 9*time.Second))[0]
	if a.Status != http.StatusAccepted || !r.workingSet.Contains(50) || r.workingSet.Contains(51) {
		t.Fatalf("response %+v; want destination 50 alone in the working set", a)
	}
	updatesOf := func(entries []discovery.Entry) (updates []policy.Endpoint) {
		r.catalog.BeginSnapshot()
		for _, p := range []*discovery.SnapshotPart{
			{Kind: discovery.PartEntries, Entries: entries},
			{Kind: discovery.PartSweep},
			{Kind: discovery.PartEnd, Version: 3},
		} {
			p.Reply = make(chan bool, 1)
			r.collect(nil, partEvent{p})
			<-p.Reply
		}
		for _, e := range r.deferredEvents {
			updates = append(updates, e.Endpoints...)
		}
		r.deferredEvents = nil
		return updates
	}
	if updates := updatesOf(entries); len(updates) != 0 {
		t.Errorf("updates of an unchanged list: %+v", updates)
	}
	entries[1].InService = false
	entries[2].InService = false
	if updates := updatesOf(entries); len(updates) != 1 || updates[0] != entries[1].Endpoint.Endpoint {
		t.Errorf("updates of a drain inside the working set and one outside: %+v", updates)
	}
	if updates := updatesOf(entries[1:]); len(updates) != 1 || updates[0].ID != "s-a" || !updates[0].Removed {
		t.Errorf("updates of a list that no longer names an endpoint of the working set: %+v", updates)
	}
}
