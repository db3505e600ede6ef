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

// applyLongList applies a list as the loop does with a long one, with a step after some of its parts.
func applyLongList(r *Relay, full bool, version int64, entries []discovery.Entry) {
	give := func(p *discovery.SnapshotPart) bool {
		p.Reply = make(chan bool, 1)
		if p.Kind == discovery.PartBegin {
			r.step([]event{partEvent{p}})
		} else {
			r.collect(nil, partEvent{p})
		}
		return <-p.Reply
	}
	give(&discovery.SnapshotPart{Kind: discovery.PartBegin})
	for some := range slices.Chunk(entries, 7) {
		give(&discovery.SnapshotPart{Kind: discovery.PartEntries, Entries: some})
		if len(some)%2 == 0 {
			r.step(nil)
		}
	}
	for full && !give(&discovery.SnapshotPart{Kind: discovery.PartSweep}) {
	}
	give(&discovery.SnapshotPart{Kind: discovery.PartEnd, Version: version})
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

// workingSetEndpoints returns those that it must hold: all that the catalog has of the working set's destinations.
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
	for _, ls := range known {
		slices.SortFunc(ls, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return known
}

func sameEndpoints(a, b map[policy.DestinationID][]policy.Endpoint) bool {
	return maps.EqualFunc(a, b, slices.Equal[[]policy.Endpoint])
}

// Whatever lists, changes and messages come, and whichever destinations are evicted: the policy holds all endpoints of
// the working set's destinations, and no others. The list itself is that of a relay which keeps all in a map.
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

// workingSetModel drives a relay at random and keeps its list in a map.
type workingSetModel struct {
	rng     *rand.Rand
	relay   *Relay
	entries map[string]discovery.Entry
}

const (
	modelDestinations = 12
	modelEndpoints    = 40
)

// applyRandomList applies a complete list, or changes.
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

// submitRandom submits some messages with little time.
func (m *workingSetModel) submitRandom(prefix string) {
	for range m.rng.IntN(4) {
		id := fmt.Sprint(prefix, "-", m.rng.Uint64())
		destination := policy.DestinationID(100 + m.rng.IntN(modelDestinations))
		timeLeft := time.Duration(1+m.rng.IntN(30)) * time.Millisecond
		in := newSubmission(id, destination, timeLeft)
		m.relay.step([]event{in})
		<-in.reply
	}
}

// stepRandom takes some events of the relay.
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

// The same complete list once more gives the policy no updates, and one with one change gives it that one alone.
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
		t.Fatalf("%+v", a)
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
		t.Errorf("the same list: %+v", updates)
	}
	entries[1].InService = false
	entries[2].InService = false
	if updates := updatesOf(entries); len(updates) != 1 || updates[0] != entries[1].Endpoint.Endpoint {
		t.Errorf("a drain inside the working set, and one outside: %+v", updates)
	}
	if updates := updatesOf(entries[1:]); len(updates) != 1 || updates[0].ID != "s-a" || !updates[0].Removed {
		t.Errorf("an endpoint of the working set is not named: %+v", updates)
	}
}
