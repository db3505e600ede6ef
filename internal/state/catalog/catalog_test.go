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

// model is a simple implementation of a catalog, which serves as the reference.
type model struct {
	all    []Endpoint                    // in list order
	seen   map[string]bool               // ids that the current snapshot has named; nil if there is none
	listed map[policy.DestinationID]bool // destinations that a list has named
}

func newModel() *model { return &model{listed: map[policy.DestinationID]bool{}} }

func (m *model) find(id string) int {
	return slices.IndexFunc(m.all, func(e Endpoint) bool { return e.ID == id })
}

func (m *model) beginSnapshot() { m.seen = map[string]bool{} }

func (m *model) markSeen(i int) {
	if m.seen != nil {
		e := m.all[i]
		m.all = append(slices.Delete(m.all, i, i+1), e)
		m.seen[e.ID] = true
	}
}

func (m *model) upsert(e Endpoint) Change {
	i := m.find(e.ID)
	switch {
	case e.Removed && i < 0:
		return Change{Old: e, New: e, Kind: Unchanged}
	case e.Removed:
		old := m.all[i]
		m.all = slices.Delete(m.all, i, i+1)
		return Change{Old: old, New: e, Kind: Removed}
	}
	m.listed[e.Destination] = true
	if i < 0 {
		m.all = append(m.all, e)
		m.markSeen(len(m.all) - 1)
		return Change{New: e, Kind: Added}
	}
	old := m.all[i]
	m.all[i] = e
	kind := Updated
	switch {
	case old == e:
		kind = Unchanged
	case old.Destination != e.Destination:
		m.all = append(slices.Delete(m.all, i, i+1), e)
		i = len(m.all) - 1
		kind = Moved
	case old.Addr != e.Addr:
		kind = Moved
	}
	m.markSeen(i)
	return Change{Old: old, New: e, Kind: kind}
}

func (m *model) sweep() (removed []Endpoint) {
	m.all = slices.DeleteFunc(m.all, func(e Endpoint) bool {
		if !m.seen[e.ID] {
			removed = append(removed, e)
		}
		return !m.seen[e.ID]
	})
	m.seen = nil
	return removed
}

func (m *model) endpointsOf(destination policy.DestinationID) (endpoints []Endpoint) {
	for _, e := range m.all {
		if e.Destination == destination {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// drawEndpoint draws a list entry. Its id is one of three prefixes, followed by a number up to maxID.
func drawEndpoint(t *rapid.T, maxID int) Endpoint {
	name := rapid.SampledFrom([]string{"", "ep-", "a long name with a number behind it, "}).Draw(t, "name")
	id := rapid.IntRange(0, maxID).Draw(t, "id")
	return Endpoint{
		Endpoint: policy.Endpoint{
			ID:          name + fmt.Sprint(id),
			Destination: policy.DestinationID(rapid.OneOf(rapid.IntRange(-3, 12), rapid.Int()).Draw(t, "destination")),
			Kind:        rapid.OneOf(rapid.IntRange(0, 2), rapid.Int()).Draw(t, "kind"),
			Zone:        rapid.IntRange(-1, 3).Draw(t, "zone"),
			Weight:      rapid.SampledFrom([]float64{0, 1, 27, 0.1, math.MaxFloat64, -2}).Draw(t, "weight"),
			InService:   rapid.Bool().Draw(t, "in service"),
			Removed:     rapid.IntRange(0, 5).Draw(t, "removed") == 0,
		},
		Addr: rapid.SampledFrom([]string{
			"127.0.0.1:80", "10.255.0.1:65535", "host-1:80", "[::1]:80", "", "1.2.3.4:080", "999.1.1.1:1", "1.2.3.4",
		}).Draw(t, "address"),
	}
}

// comparison holds a catalog and a model to which the same lists are applied.
type comparison struct {
	catalog *Catalog
	model   *model
	maxID   int // highest number in an endpoint's id
}

// The catalog returns the same as the model, over random sequences of entries, finished and unfinished snapshots, and
// sweeps in several parts.
func TestCatalogMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &comparison{
			catalog: New(),
			model:   newModel(),
			maxID:   rapid.SampledFrom([]int{4, 30, 1000}).Draw(t, "ids"),
		}
		t.Repeat(map[string]func(*rapid.T){
			"upsert": c.upsert,
			"upsert several": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "n") {
					c.upsert(t)
				}
			},
			"upsert known": c.upsertKnown,
			"begin snapshot": func(*rapid.T) {
				c.catalog.BeginSnapshot()
				c.model.beginSnapshot()
			},
			"mark seen": c.markSeen,
			"sweep":     c.sweep,
			"":          c.check,
		})
	})
}

func (c *comparison) upsert(t *rapid.T) {
	e := drawEndpoint(t, c.maxID)
	if got, want := c.catalog.Upsert(e), c.model.upsert(e); got != want {
		t.Fatalf("Upsert(%+v) = %+v, want %+v", e, got, want)
	}
}

// upsertKnown applies an entry that equals a known endpoint.
func (c *comparison) upsertKnown(t *rapid.T) {
	if len(c.model.all) == 0 {
		return
	}
	e := rapid.SampledFrom(c.model.all).Draw(t, "known")
	if got, want := c.catalog.Upsert(e), c.model.upsert(e); got != want || got.Kind != Unchanged {
		t.Fatalf("Upsert(%+v) = %+v, want %+v", e, got, want)
	}
}

func (c *comparison) markSeen(t *rapid.T) {
	id := drawEndpoint(t, c.maxID).ID
	e, ok := c.catalog.MarkSeen(id)
	i := c.model.find(id)
	if ok != (i >= 0) || ok && e != c.model.all[i] {
		t.Fatalf("MarkSeen(%q) = %+v, %t; the model has it at index %d", id, e, ok, i)
	}
	if ok {
		c.model.markSeen(i)
	}
}

func (c *comparison) sweep(t *rapid.T) {
	if c.model.seen == nil {
		return
	}
	const maxRemoved = 7
	removed, done := c.catalog.Sweep(rapid.IntRange(0, 20).Draw(t, "max removed"))
	for !done {
		var more []Endpoint
		more, done = c.catalog.Sweep(maxRemoved)
		if len(more) > maxRemoved || len(more) == 0 && !done {
			t.Fatalf("Sweep(%d) removed %d endpoints, done: %t", maxRemoved, len(more), done)
		}
		removed = append(removed, more...)
	}
	if want := c.model.sweep(); !slices.Equal(removed, want) {
		t.Fatalf("swept %v, want %v", removed, want)
	}
}

// check compares the whole content of the catalog with the model.
func (c *comparison) check(t *rapid.T) {
	if all := slices.Collect(c.catalog.All()); !slices.Equal(all, c.model.all) {
		t.Fatalf("All() = %v, want %v", all, c.model.all)
	}
	if got := c.catalog.EndpointCount(); got != len(c.model.all) {
		t.Fatalf("%d endpoints, want %d", got, len(c.model.all))
	}
	for _, e := range c.model.all {
		if got, ok := c.catalog.Endpoint(e.ID); !ok || got != e {
			t.Fatalf("Endpoint(%q) = %+v, %t; want %+v", e.ID, got, ok, e)
		}
	}
	if _, ok := c.catalog.Endpoint("never listed"); ok {
		t.Fatal("Endpoint returned an endpoint that no list has named")
	}
	c.checkDestinations(t)
}

func (c *comparison) checkDestinations(t *rapid.T) {
	nonEmpty := 0
	for destination := range c.model.listed {
		want := c.model.endpointsOf(destination)
		if got := c.catalog.AppendEndpoints(destination, nil); !slices.Equal(got, want) {
			t.Fatalf("destination %d has %v, want %v", destination, got, want)
		}
		if !c.catalog.HasDestination(destination) {
			t.Fatalf("HasDestination(%d) = false, but a list has named it", destination)
		}
		if len(want) > 0 {
			nonEmpty++
		}
	}
	if got := c.catalog.DestinationCount(); got != nonEmpty {
		t.Fatalf("%d destinations with endpoints, want %d", got, nonEmpty)
	}
	const unlisted = -100
	if c.catalog.HasDestination(unlisted) && !c.model.listed[unlisted] {
		t.Fatalf("HasDestination(%d) = true, but no list has named it", unlisted)
	}
	remembered := slices.Collect(c.catalog.RememberedDestinations())
	wrong := slices.ContainsFunc(remembered, func(destination policy.DestinationID) bool {
		return !c.model.listed[destination] || len(c.model.endpointsOf(destination)) > 0
	})
	if wrong || len(remembered) != len(c.model.listed)-nonEmpty {
		t.Fatalf("RememberedDestinations() = %v, want those without endpoints among %v",
			remembered, slices.Collect(maps.Keys(c.model.listed)))
	}
}
