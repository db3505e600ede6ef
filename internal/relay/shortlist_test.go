package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/policy"
)

// referenceEndpoint is an endpoint of a referenceList.
type referenceEndpoint struct {
	policy.Endpoint
	addr string
}

// referenceList applies lists with a plain map, as the relay did before it had a catalog. It is the model with
// which the handling of short lists is compared.
type referenceList struct {
	cfg       Config
	endpoints map[string]referenceEndpoint
}

// apply applies a list and returns the resulting event for the policy.
func (r *referenceList) apply(full bool, entries []string) policy.Event {
	e := policy.Event{Kind: policy.EndpointDelta}
	if full {
		e.Kind = policy.EndpointSnapshot
	}
	endpoints := map[string]referenceEndpoint{}
	for _, raw := range entries {
		var m discovery.EndpointRecord
		decoded := json.Unmarshal([]byte(raw), &m)
		entry, addr, err := r.cfg.parser().Parse(&m)
		if decoded != nil || err != nil {
			if known, ok := r.endpoints[entry.ID]; ok {
				endpoints[entry.ID] = known
				e.Endpoints = append(e.Endpoints, known.Endpoint)
			}
			continue
		}
		e.Endpoints = append(e.Endpoints, entry)
		if entry.Removed {
			delete(r.endpoints, entry.ID)
			delete(endpoints, entry.ID)
		} else {
			endpoints[entry.ID] = referenceEndpoint{entry, addr}
		}
	}
	if full {
		r.endpoints = endpoints
	} else {
		for id, t := range endpoints {
			r.endpoints[id] = t
		}
	}
	return e
}

// randomLists returns short lists, complete ones and changes, and the texts of their entries. Endpoints drain, are
// removed, are listed again, move to other addresses, are named twice or have unreadable entries. None moves to
// another destination, because there the relay differs from the model: a relay that applied lists like
// referenceList never sent messages to such an endpoint again.
func randomLists(rng *rand.Rand) (lists []discovery.List, texts [][]string) {
	for range 1 + rng.IntN(20) {
		l := discovery.List{Version: rng.Int64N(50), Full: rng.IntN(4) == 0}
		var entries []string
		for range rng.IntN(30) {
			k := rng.IntN(25)
			text := fmt.Sprintf(
				`{"id":"s-%d","addr":"127.0.0.%d:1","zone":%q,"kind":%q,"cell":%d,"state":%q,"weight":%d}`,
				k,
				1+rng.IntN(2),
				[]string{"a", "b"}[rng.IntN(2)],
				[]string{"platform", "gateway", "store"}[k%3],
				k/3,
				[]string{"ready", "ready", "draining", "gone"}[rng.IntN(4)],
				rng.IntN(3)*25,
			)
			if rng.IntN(12) == 0 && !strings.Contains(strings.Join(entries, " "), fmt.Sprintf("\"s-%d\"", k)) {
				text = fmt.Sprintf(`{"id":"s-%d","state":"asleep"}`, k)
			}
			entries = append(entries, text)
		}
		lists = append(lists, l)
		texts = append(texts, entries)
	}
	return lists, texts
}

// With short lists, the policy receives the same events as from referenceList, and the relay has the same
// addresses.
func TestShortListsGiveTheSameEventsAsBefore(t *testing.T) {
	r := newTestRelay(t)
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		r.endpointState = endpointState{}
		r.loadKnownEndpoints()
		old := referenceList{cfg: r.cfg, endpoints: map[string]referenceEndpoint{}}
		lists, texts := randomLists(rng)
		for i, l := range lists {
			l.Entries = entriesOf(r, texts[i]...)
			want := old.apply(l.Full, texts[i])
			if got := r.applyList(l); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
				t.Fatalf("seed %d, list %d of %v: events\n%+v\nwant\n%+v", seed, i, texts[i], got, want)
			}
			if r.catalog.EndpointCount() != len(old.endpoints) {
				n := r.catalog.EndpointCount()
				t.Fatalf("seed %d, list %d: %d endpoints, want %d", seed, i, n, len(old.endpoints))
			}
			draining := 0
			for id, want := range old.endpoints {
				if got, ok := r.catalog.Endpoint(id); !ok || got.Endpoint != want.Endpoint || got.Addr != want.addr {
					t.Fatalf("seed %d, list %d: %s is %+v, want %+v", seed, i, id, got, want)
				}
				if !want.InService {
					draining++
				}
			}
			if r.drainingEndpoints != draining {
				t.Fatalf("seed %d, list %d: %d drain, want %d", seed, i, r.drainingEndpoints, draining)
			}
		}
	}
}
