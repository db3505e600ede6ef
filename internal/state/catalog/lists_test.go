package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"cherrytrestle.example/cherrytrestle/policy"
)

// ep reads "id@destination", with "!" in front of what is gone, and "=address" behind.
func ep(text string) Endpoint {
	rest, gone := strings.CutPrefix(text, "!")
	rest, addr, told := strings.Cut(rest, "=")
	if !told {
		addr = "127.0.0.1:1"
	}
	e := Endpoint{policy.Endpoint{InService: !gone, Removed: gone}, addr}
	e.ID, rest, _ = strings.Cut(rest, "@")
	fmt.Sscan(rest, &e.Destination)
	return e
}

func names(es []Endpoint) string {
	var all []string
	for _, e := range es {
		all = append(all, e.ID)
	}
	return strings.Join(all, " ")
}

func TestLists(t *testing.T) {
	for _, c := range []struct {
		name  string
		lists []string // "whole: …", "broken: …" (no sweep), or changes
		kinds []ChangeKind
		all   string
		of1   string
		swept string // by all of them
		named bool   // destination 2
	}{
		{"whole twice", []string{"whole: a@1 b@2", "whole: a@1 b@2"}, []ChangeKind{Added, Added, Unchanged, Unchanged}, "a b", "a", "", true},
		{"a version that begins again, with less", []string{"whole: a@1 b@2 c@1", "whole: c@1"}, []ChangeKind{Added, Added, Added, Unchanged}, "c", "c", "a b", true},
		{"an empty one", []string{"whole: a@1 b@2", "whole:"}, []ChangeKind{Added, Added}, "", "", "a b", true},
		{"in another order", []string{"whole: a@1 b@1 c@1", "whole: c@1 a@1 b@1"}, []ChangeKind{Added, Added, Added, Unchanged, Unchanged, Unchanged}, "c a b", "c a b", "", false},
		{"an id twice: the last counts", []string{"whole: a@1 b@1 a@1=h:2"}, []ChangeKind{Added, Added, Moved}, "b a", "b a", "", false},
		{"an id twice, the first of the list", []string{"whole: a@1 b@1", "whole: a@1 b@1 a@1"}, []ChangeKind{Added, Added, Unchanged, Unchanged, Unchanged}, "b a", "b a", "", false},
		{"another destination", []string{"whole: a@1 b@1", "a@2"}, []ChangeKind{Added, Added, Moved}, "b a", "b", "", true},
		{"another destination and back in one list", []string{"whole: a@1 b@1", "a@2 a@1"}, []ChangeKind{Added, Added, Moved, Moved}, "b a", "b a", "", true},
		{"gone and back in one list", []string{"whole: a@1 b@1", "whole: !a@1 b@1 a@1"}, []ChangeKind{Added, Added, Removed, Unchanged, Added}, "b a", "b a", "", false},
		{"gone and not back", []string{"whole: a@1 b@1", "whole: !a@1 b@1"}, []ChangeKind{Added, Added, Removed, Unchanged}, "b", "b", "", false},
		{"gone that never was", []string{"!a@1"}, []ChangeKind{Unchanged}, "", "", "", false},
		{"a change stays in place", []string{"whole: a@1 b@1", "a@1=h:2 c@1"}, []ChangeKind{Added, Added, Moved, Added}, "a b c", "a b c", "", false},
		{"broken off: all stays in force", []string{"whole: a@1 b@1 c@2", "broken: b@1 d@1"}, []ChangeKind{Added, Added, Added, Unchanged, Added}, "a c b d", "a b d", "", true},
		{"and then whole", []string{"whole: a@1 b@1 c@2", "broken: b@1 d@1", "whole: c@2 b@1"}, []ChangeKind{Added, Added, Added, Unchanged, Added, Unchanged, Unchanged}, "c b", "b", "a d", true},
		{"broken off before its first entry", []string{"whole: a@1", "broken:", "whole: b@1"}, []ChangeKind{Added, Added}, "b", "b", "a", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := New()
			var kinds []ChangeKind
			var swept []Endpoint
			for _, list := range c.lists {
				text, whole := strings.CutPrefix(list, "whole:")
				text, broken := strings.CutPrefix(text, "broken:")
				if whole || broken {
					x.BeginSnapshot()
				}
				for _, f := range strings.Fields(text) {
					kinds = append(kinds, x.Upsert(ep(f)).Kind)
				}
				for done := !whole; !done; {
					var more []Endpoint
					more, done = x.Sweep(1)
					swept = append(swept, more...)
				}
			}
			if !slices.Equal(kinds, c.kinds) {
				t.Errorf("changes %v, want %v", kinds, c.kinds)
			}
			if got := names(slices.Collect(x.All())); got != c.all {
				t.Errorf("all are %q, want %q", got, c.all)
			}
			if got := names(x.AppendEndpoints(1, nil)); got != c.of1 {
				t.Errorf("destination 1 has %q, want %q", got, c.of1)
			}
			if got := names(swept); got != c.swept {
				t.Errorf("swept %q, want %q", got, c.swept)
			}
			if x.HasDestination(2) != c.named {
				t.Errorf("destination 2 named: %t", x.HasDestination(2))
			}
		})
	}
}

// room is what a catalog's memory adds up to, in bytes: its texts, what of those is live, its destinations, and the
// rest.
type room struct{ texts, live, destinations, rest int }

func (c *Catalog) room() (r room) {
	for _, k := range c.texts.chunks {
		r.texts, r.live = r.texts+cap(k.data), r.live+k.live
	}
	r.destinations = tableChunkSize * len(c.destinations.chunks) * int(unsafe.Sizeof(destinationSlot{}))
	r.rest = tableChunkSize*len(
		c.endpoints.chunks,
	)*int(
		unsafe.Sizeof(endpointSlot{}),
	) + tableChunkSize*4*(len(c.endpointIndex.buckets.chunks)+len(c.destinationIndex.buckets.chunks)) +
		cap(
			c.texts.chunks,
		)*int(
			unsafe.Sizeof(textChunk{}),
		) + cap(
		c.texts.free,
	)*8
	return r
}

// Fifty whole lists with other ids, addresses and destinations each time take no more room than five, and one of ten
// endpoints gives that of endpoints and texts back. The records of destinations stay, for others. Half of what texts
// take is in use at least.
func TestRoomIsBounded(t *testing.T) {
	const n = 20000
	c := New()
	var early room
	check := func(after string) {
		t.Helper()
		r := c.room()
		live := 0
		for i := range c.endpoints.count - 1 {
			n := parseText(c.texts.bytesAt(c.endpoints.at(uint32(i + 1)).text)).length
			live += n
		}
		if r.live != live || r.texts > 2*r.live+4*textChunkSize || r.destinations > early.destinations ||
			r.rest > early.rest {
			t.Errorf("after %s: %+v bytes, %d of texts in use; after five lists %+v", after, r, live, early)
		}
	}
	for round := range 50 {
		c.BeginSnapshot()
		for i := range n {
			e := entry(i, round)
			e.Destination += round * n
			e.Addr = fmt.Sprintf("host-%d-%d:80", round, i)
			c.Upsert(e)
		}
		for done := false; !done; {
			_, done = c.Sweep(100)
		}
		if c.EndpointCount() != n || c.DestinationCount() != n/2 {
			t.Fatalf("round %d: %d endpoints, %d destinations", round, c.EndpointCount(), c.DestinationCount())
		}
		if round == 4 {
			early = c.room()
		}
	}
	check("fifty lists")
	// One at a time, too, in whatever order: an endpoint goes and another comes, every second time its destination with
	// it.
	rng := rand.New(rand.NewPCG(1, 2))
	ids := make([]string, n)
	for i := range ids {
		ids[i] = entry(i, 49).ID
	}
	for i := range 5 * n {
		old := &ids[rng.IntN(n)]
		if c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: *old, Removed: true}}).Kind != Removed {
			t.Fatal("not removed: ", *old)
		}
		*old = fmt.Sprint("once ", i)
		c.Upsert(Endpoint{policy.Endpoint{ID: *old, Destination: -i%(n/3) - 1}, "127.0.0.1:80"})
	}
	check("changes")
	for i := range n {
		c.Upsert(Endpoint{policy.Endpoint{ID: ids[i], Destination: -i%(n/3) - 1, Weight: float64(i)}, "127.0.0.1:80"})
		c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Destination: -1}})
		c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Removed: true}})
	}
	check("changes in place, and of one that comes and goes")
	for range n {
		c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Destination: -1}})
		c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Removed: true}})
	}
	check("one alone that comes and goes")
	if got := len(slices.Collect(c.RememberedDestinations())); got > n {
		t.Errorf("%d destinations without endpoints are remembered", got)
	}
	tell(c, entries(5, 0))
	check("a short list")
	if r := c.room(); r.rest > early.rest/3 || r.texts > 2*textChunkSize {
		t.Errorf("after a short list: %+v bytes; after five long ones %+v", r, early)
	}
	if c.EndpointCount() != 10 || len(c.AppendEndpoints(0, nil)) != 2 {
		t.Error("not the ten that were listed")
	}
}

func TestDestinationsLongestWithoutEndpointsAreForgotten(t *testing.T) {
	c := New()
	for i := range MaxEagerEndpoints + 3 {
		e := entry(2*i, 0)
		c.Upsert(e)
		e.Removed = true
		c.Upsert(e)
		if i == 1 {
			c.Upsert(entry(0, 1)) // destination 0 is back
		}
	}
	for dest, want := range map[int]bool{0: true, 1: false, 2: false, 3: true, MaxEagerEndpoints + 2: true, MaxEagerEndpoints + 3: false} {
		if c.HasDestination(dest) != want {
			t.Errorf("destination %d: named %t", dest, c.HasDestination(dest))
		}
	}
	if got := slices.Collect(c.RememberedDestinations()); len(got) != MaxEagerEndpoints || got[0] != 3 ||
		got[MaxEagerEndpoints-1] != MaxEagerEndpoints+2 {
		t.Errorf("%d remembered, from %d to %d", len(got), got[0], got[len(got)-1])
	}
	other := New()
	for d := range c.RememberedDestinations() {
		other.RememberDestination(d)
	}
	if !other.HasDestination(3) || other.HasDestination(0) || other.DestinationCount() != 0 {
		t.Error("another catalog does not remember the same")
	}
}

func TestWorkingSet(t *testing.T) {
	const s = time.Second
	w := NewWorkingSet(30 * s)
	bound := map[int]bool{}
	resting := func(d int) bool { return !bound[d] }
	rest := func(now time.Duration, most int, want ...int) {
		t.Helper()
		if got := w.EvictIdle(now, most, resting); !slices.Equal(got, want) {
			t.Errorf("at %v: put to rest %v, want %v", now, got, want)
		}
	}
	for i, d := range []int{7, -1, 3, 9} {
		if !w.Activate(d, time.Duration(i)*s) || w.Activate(d, time.Duration(i)*s) || !w.Contains(d) {
			t.Fatalf("destination %d does not wake once", d)
		}
	}
	bound[-1] = true
	rest(29*s, 9)
	rest(30*s, 9, 7)
	w.Touch(3, 31*s)
	w.Touch(7, 31*s) // at rest: stays so
	rest(33*s, 1)    // -1 was looked at, and stays
	rest(33*s, 9, 9)
	delete(bound, -1)
	rest(60*s, 9)
	rest(63*s, 9, 3, -1)
	if w.Len() != 0 || w.Contains(7) || !w.Activate(7, 64*s) || w.Len() != 1 {
		t.Error("not all at rest")
	}
	// Where all are bound and the rest is none, one step still ends.
	all := NewWorkingSet(0)
	all.Activate(1, 0)
	if got := all.EvictIdle(0, 100, func(int) bool { return false }); got != nil || !all.Contains(1) {
		t.Errorf("put to rest %v", got)
	}
}
