package catalog

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/policy"
)

// model is a catalog as one would write it that has room and time.
type model struct {
	all    []Endpoint
	fresh  map[string]bool // named by the whole list that is being read; nil: none is
	listed map[int]bool
}

func (m *model) find(id string) int {
	return slices.IndexFunc(m.all, func(e Endpoint) bool { return e.ID == id })
}

func (m *model) name(i int) {
	if m.fresh != nil {
		e := m.all[i]
		m.all = append(slices.Delete(m.all, i, i+1), e)
		m.fresh[e.ID] = true
	}
}

func (m *model) put(e Endpoint) Change {
	i := m.find(e.ID)
	switch {
	case e.Removed && i < 0:
		return Change{e, e, Unchanged}
	case e.Removed:
		was := m.all[i]
		m.all = slices.Delete(m.all, i, i+1)
		return Change{was, e, Removed}
	}
	m.listed[e.Destination] = true
	if i < 0 {
		m.all = append(m.all, e)
		m.name(len(m.all) - 1)
		return Change{New: e, Kind: Added}
	}
	was := m.all[i]
	m.all[i] = e
	kind := Updated
	switch {
	case was == e:
		kind = Unchanged
	case was.Destination != e.Destination:
		m.all = append(slices.Delete(m.all, i, i+1), e)
		i = len(m.all) - 1
		kind = Moved
	case was.Addr != e.Addr:
		kind = Moved
	}
	m.name(i)
	return Change{was, e, kind}
}

func (m *model) sweep() (removed []Endpoint) {
	m.all = slices.DeleteFunc(m.all, func(e Endpoint) bool {
		if !m.fresh[e.ID] {
			removed = append(removed, e)
		}
		return !m.fresh[e.ID]
	})
	m.fresh = nil
	return removed
}

func (m *model) of(dest int) (es []Endpoint) {
	for _, e := range m.all {
		if e.Destination == dest {
			es = append(es, e)
		}
	}
	return es
}

func drawEndpoint(t *rapid.T, ids int) Endpoint {
	return Endpoint{policy.Endpoint{
		ID: rapid.SampledFrom([]string{"", "ep-", "a long name with a number behind it, "}).
			Draw(t, "name") +
			fmt.Sprint(
				rapid.IntRange(0, ids).Draw(t, "id"),
			),
		Destination: rapid.OneOf(rapid.IntRange(-3, 12), rapid.Int()).Draw(t, "destination"),
		Kind:        rapid.OneOf(rapid.IntRange(0, 2), rapid.Int()).Draw(t, "kind"),
		Zone:        rapid.IntRange(-1, 3).Draw(t, "zone"),
		Weight:      rapid.SampledFrom([]float64{0, 1, 27, 0.1, math.MaxFloat64, -2}).Draw(t, "weight"),
		InService:   rapid.Bool().Draw(t, "in service"),
		Removed:     rapid.IntRange(0, 5).Draw(t, "gone") == 0,
	}, rapid.SampledFrom([]string{"127.0.0.1:80", "10.255.0.1:65535", "host-1:80", "[::1]:80", "", "1.2.3.4:080", "999.1.1.1:1", "1.2.3.4"}).Draw(t, "address")}
}

// A catalog does what the model does, over changes, whole lists, such as break off, and sweeps in pieces with changes
// between.
func TestCatalogIsTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, m := New(), &model{listed: map[int]bool{}}
		ids := rapid.SampledFrom([]int{4, 30, 1000}).Draw(t, "ids")
		put := func(t *rapid.T) {
			e := drawEndpoint(t, ids)
			if got, want := c.Upsert(e), m.put(e); got != want {
				t.Fatalf("Put(%+v) = %+v, the model %+v", e, got, want)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": put,
			"put several": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "n") {
					put(t)
				}
			},
			"again": func(t *rapid.T) { // what is known, word for word
				if len(m.all) > 0 {
					e := rapid.SampledFrom(m.all).Draw(t, "known")
					if got, want := c.Upsert(e), m.put(e); got != want || got.Kind != Unchanged {
						t.Fatalf("Put(%+v) = %+v, the model %+v", e, got, want)
					}
				}
			},
			"begin": func(*rapid.T) {
				c.BeginSnapshot()
				m.fresh = map[string]bool{}
			},
			"keep": func(t *rapid.T) {
				id := drawEndpoint(t, ids).ID
				e, ok := c.MarkSeen(id)
				i := m.find(id)
				if ok != (i >= 0) || ok && e != m.all[i] {
					t.Fatalf("Keep(%q) = %+v, %t", id, e, ok)
				}
				if ok {
					m.name(i)
				}
			},
			"sweep": func(t *rapid.T) {
				if m.fresh == nil {
					return
				}
				removed, done := c.Sweep(rapid.IntRange(0, 20).Draw(t, "most"))
				for !done {
					var more []Endpoint
					more, done = c.Sweep(7)
					if removed = append(removed, more...); len(more) > 7 || len(more) == 0 && !done {
						t.Fatalf("a sweep of 7 removed %d", len(more))
					}
				}
				if want := m.sweep(); !slices.Equal(removed, want) {
					t.Fatalf("swept %v, the model %v", removed, want)
				}
			},
			"": func(t *rapid.T) { compare(t, c, m) },
		})
	})
}

func compare(t *rapid.T, c *Catalog, m *model) {
	if all := slices.Collect(c.All()); !slices.Equal(all, m.all) {
		t.Fatalf("all are %v, the model's %v", all, m.all)
	}
	if c.EndpointCount() != len(m.all) {
		t.Fatalf("%d endpoints, the model has %d", c.EndpointCount(), len(m.all))
	}
	filled, without := 0, 0
	for dest := range m.listed {
		want := m.of(dest)
		if got := c.AppendEndpoints(dest, nil); !slices.Equal(got, want) {
			t.Fatalf("destination %d has %v, the model %v", dest, got, want)
		}
		if !c.HasDestination(dest) {
			t.Fatalf("destination %d is not named", dest)
		}
		if len(want) > 0 {
			filled++
		} else {
			without++
		}
	}
	if c.DestinationCount() != filled || c.HasDestination(-100) && !m.listed[-100] {
		t.Fatalf("%d destinations, the model has %d", c.DestinationCount(), filled)
	}
	remembered := slices.Collect(c.RememberedDestinations())
	if len(remembered) != without ||
		slices.ContainsFunc(remembered, func(d int) bool { return !m.listed[d] || len(m.of(d)) > 0 }) {
		t.Fatalf("remembers %v, the model has named %v", remembered, slices.Collect(maps.Keys(m.listed)))
	}
	for _, e := range m.all {
		if got, ok := c.Endpoint(e.ID); !ok || got != e {
			t.Fatalf("Endpoint(%q) = %+v, %t; the model has %+v", e.ID, got, ok, e)
		}
	}
	if _, ok := c.Endpoint("never listed"); ok {
		t.Fatal("an endpoint that no list named")
	}
}
