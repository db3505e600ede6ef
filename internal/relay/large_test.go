package relay

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// tellLong has the loop's part take a list as a long one comes, with a step after every few slices.
func tellLong(r *Relay, full bool, version int64, entries []discovery.Entry) {
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

// ofModule is what a module knows of the list, by destination and route.
func ofModule(r *Relay) map[int][]policy.Endpoint {
	known := map[int][]policy.Endpoint{}
	views, _ := r.engine.Views()
	for _, v := range views {
		known[v.Destination] = append(known[v.Destination], v.Endpoint)
	}
	return byRoute(known)
}

// ofAwake is what it must know: all that the catalog has of the destinations that are awake.
func ofAwake(r *Relay) map[int][]policy.Endpoint {
	known := map[int][]policy.Endpoint{}
	for e := range r.catalog.All() {
		if r.workingSet.Contains(e.Destination) {
			known[e.Destination] = append(known[e.Destination], e.Endpoint)
		}
	}
	return byRoute(known)
}

func byRoute(known map[int][]policy.Endpoint) map[int][]policy.Endpoint {
	for _, ls := range known {
		slices.SortFunc(ls, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return known
}

func sameListings(a, b map[int][]policy.Endpoint) bool {
	return maps.EqualFunc(a, b, func(x, y []policy.Endpoint) bool { return slices.Equal(x, y) })
}

// Whatever lists, changes and messages come, and whichever destinations are put to rest: the module knows of those that
// are awake all that the list says, and of the others nothing. The list itself is that of a relay which keeps all in a
// map.
func TestTheModuleKnowsWhatIsAwake(t *testing.T) {
	const dests, hosts, restFor = 12, 40, 40 * time.Millisecond
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 11))
		r := newTestRelay(t)
		r.switchToLargeList()
		r.workingSet = catalog.NewWorkingSet(restFor)
		r.workingSet.Activate(7, r.now())
		model := map[string]discovery.Entry{}
		for e := range r.catalog.All() {
			model[e.ID] = discovery.Entry{Endpoint: e}
		}
		for step := range 60 {
			switch rng.IntN(4) {
			case 0, 1:
				full := rng.IntN(3) == 0
				var entries []discovery.Entry
				named := map[string]bool{}
				for range rng.IntN(hosts) {
					k := rng.IntN(hosts)
					e := discovery.Entry{Endpoint: catalog.Endpoint{Addr: fmt.Sprintf("127.0.0.1:%d", 1+rng.IntN(2))}}
					e.Endpoint.Endpoint = policy.Endpoint{
						ID:          fmt.Sprint("h-", k),
						Destination: 100 + rng.IntN(dests),
						Kind:        1,
						Zone:        k % 2,
						Weight:      50,
						InService:   rng.IntN(3) > 0,
					}
					if rng.IntN(6) == 0 {
						e.Endpoint = catalog.Endpoint{Endpoint: policy.Endpoint{ID: e.ID, Removed: true}}
					}
					entries, named[e.ID] = append(entries, e), true
					if e.Removed {
						delete(model, e.ID)
					} else {
						model[e.ID] = e
					}
				}
				if full {
					maps.DeleteFunc(model, func(id string, _ discovery.Entry) bool { return !named[id] })
				}
				tellLong(r, full, int64(step), entries)
			case 2:
				for range rng.IntN(4) {
					in := newHandIn(
						fmt.Sprint(seed, "-", step, "-", rng.Uint64()),
						100+rng.IntN(dests),
						time.Duration(1+rng.IntN(30))*time.Millisecond,
					)
					r.step([]event{in})
					<-in.reply
				}
			case 3:
				for range rng.IntN(3) {
					select {
					case e := <-r.events:
						r.step(r.collect(nil, e))
					case <-time.After(20 * time.Millisecond):
						r.step(nil)
					}
				}
			}
			if got, want := ofModule(r), ofAwake(r); !sameListings(got, want) {
				t.Fatalf("seed %d, step %d: the module knows\n%v\nawake\n%v", seed, step, got, want)
			}
			if r.catalog.EndpointCount() != len(model) {
				t.Fatalf("seed %d, step %d: %d hosts, want %d", seed, step, r.catalog.EndpointCount(), len(model))
			}
			for id, want := range model {
				if got, ok := r.catalog.Endpoint(id); !ok || got != want.Endpoint {
					t.Fatalf("seed %d, step %d: %s is %+v, want %+v", seed, step, id, got, want.Endpoint)
				}
			}
		}
	}
}

// A whole list once more is no news to the module, and of a list with one change it hears that one alone: neither asks
// for a step.
func TestTheSameListOnceMoreIsNoNews(t *testing.T) {
	r := newTestRelay(t)
	entries := entriesOf(
		r,
		liveText("s-a", "127.0.0.1:1", 50, "ready"),
		liveText("s-b", "127.0.0.1:1", 50, "ready"),
		liveText("s-c", "127.0.0.1:1", 51, "ready"),
	)
	tellLong(r, true, 2, entries)
	if a := decide(r, newHandIn("m", 50, 9*time.Second))[0]; a.Status != 202 || !r.workingSet.Contains(50) ||
		r.workingSet.Contains(51) {
		t.Fatalf("%+v", a)
	}
	news := func(entries []discovery.Entry) (told []policy.Endpoint) {
		r.catalog.BeginSnapshot()
		for _, p := range []*discovery.SnapshotPart{{Kind: discovery.PartEntries, Entries: entries}, {Kind: discovery.PartSweep}, {Kind: discovery.PartEnd, Version: 3}} {
			p.Reply = make(chan bool, 1)
			r.collect(nil, partEvent{p})
			<-p.Reply
		}
		for _, e := range r.deferredEvents {
			told = append(told, e.Endpoints...)
		}
		r.deferredEvents = nil
		return told
	}
	if told := news(entries); len(told) != 0 {
		t.Errorf("the same list: told %+v", told)
	}
	entries[1].InService, entries[2].InService = false, false
	if told := news(entries); len(told) != 1 || told[0] != entries[1].Endpoint.Endpoint {
		t.Errorf("a drain of what is awake, and one of what is at rest: told %+v", told)
	}
	if told := news(entries[1:]); len(told) != 1 || told[0].ID != "s-a" || !told[0].Removed {
		t.Errorf("a host that is awake is not named: told %+v", told)
	}
}
