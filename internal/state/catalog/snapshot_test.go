package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/policy"
)

// parseEntry parses an entry of the form "id@destination" or "id@destination=address". A leading "!" marks a removal.
func parseEntry(t *testing.T, text string) Endpoint {
	t.Helper()
	rest, removed := strings.CutPrefix(text, "!")
	rest, addr, hasAddr := strings.Cut(rest, "=")
	if !hasAddr {
		addr = "127.0.0.1:1"
	}
	id, destination, _ := strings.Cut(rest, "@")
	e := Endpoint{Endpoint: policy.Endpoint{ID: id, InService: !removed, Removed: removed}, Addr: addr}
	if _, err := fmt.Sscan(destination, &e.Destination); err != nil {
		t.Fatalf("entry %q: %v", text, err)
	}
	return e
}

func joinIDs(endpoints []Endpoint) string {
	var ids []string
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	return strings.Join(ids, " ")
}

// applyList applies a list of entries, which may begin with "snapshot:" or with "unfinished:" (a snapshot without a
// sweep). It returns the kinds of the entries' changes and the endpoints that were swept.
func applyList(t *testing.T, c *Catalog, list string) (kinds []ChangeKind, swept []Endpoint) {
	t.Helper()
	text, complete := strings.CutPrefix(list, "snapshot:")
	text, unfinished := strings.CutPrefix(text, "unfinished:")
	if complete || unfinished {
		c.BeginSnapshot()
	}
	for _, field := range strings.Fields(text) {
		kinds = append(kinds, c.Upsert(parseEntry(t, field)).Kind)
	}
	for done := !complete; !done; {
		var removed []Endpoint
		removed, done = c.Sweep(1)
		swept = append(swept, removed...)
	}
	return kinds, swept
}

// listTests are sequences of lists and the catalog's expected state after them.
var listTests = []struct {
	name            string
	lists           []string     // see applyList
	kinds           []ChangeKind // of the changes by all entries
	all             string       // ids of all endpoints, in list order
	destination1    string       // ids of the endpoints of destination 1, in list order
	swept           string       // ids of the endpoints that the sweeps removed
	hasDestination2 bool
}{
	{
		name:            "the same snapshot twice",
		lists:           []string{"snapshot: a@1 b@2", "snapshot: a@1 b@2"},
		kinds:           []ChangeKind{Added, Added, Unchanged, Unchanged},
		all:             "a b",
		destination1:    "a",
		hasDestination2: true,
	},
	{
		name:            "a smaller snapshot",
		lists:           []string{"snapshot: a@1 b@2 c@1", "snapshot: c@1"},
		kinds:           []ChangeKind{Added, Added, Added, Unchanged},
		all:             "c",
		destination1:    "c",
		swept:           "a b",
		hasDestination2: true,
	},
	{
		name:            "an empty snapshot",
		lists:           []string{"snapshot: a@1 b@2", "snapshot:"},
		kinds:           []ChangeKind{Added, Added},
		swept:           "a b",
		hasDestination2: true,
	},
	{
		name:         "another order",
		lists:        []string{"snapshot: a@1 b@1 c@1", "snapshot: c@1 a@1 b@1"},
		kinds:        []ChangeKind{Added, Added, Added, Unchanged, Unchanged, Unchanged},
		all:          "c a b",
		destination1: "c a b",
	},
	{
		name:         "an id twice, the last counts",
		lists:        []string{"snapshot: a@1 b@1 a@1=h:2"},
		kinds:        []ChangeKind{Added, Added, Moved},
		all:          "b a",
		destination1: "b a",
	},
	{
		name:         "an id twice, the first of the snapshot",
		lists:        []string{"snapshot: a@1 b@1", "snapshot: a@1 b@1 a@1"},
		kinds:        []ChangeKind{Added, Added, Unchanged, Unchanged, Unchanged},
		all:          "b a",
		destination1: "b a",
	},
	{
		name:            "another destination",
		lists:           []string{"snapshot: a@1 b@1", "a@2"},
		kinds:           []ChangeKind{Added, Added, Moved},
		all:             "b a",
		destination1:    "b",
		hasDestination2: true,
	},
	{
		name:            "another destination and back",
		lists:           []string{"snapshot: a@1 b@1", "a@2 a@1"},
		kinds:           []ChangeKind{Added, Added, Moved, Moved},
		all:             "b a",
		destination1:    "b a",
		hasDestination2: true,
	},
	{
		name:         "removed and added again in a snapshot",
		lists:        []string{"snapshot: a@1 b@1", "snapshot: !a@1 b@1 a@1"},
		kinds:        []ChangeKind{Added, Added, Removed, Unchanged, Added},
		all:          "b a",
		destination1: "b a",
	},
	{
		name:         "removed in a snapshot",
		lists:        []string{"snapshot: a@1 b@1", "snapshot: !a@1 b@1"},
		kinds:        []ChangeKind{Added, Added, Removed, Unchanged},
		all:          "b",
		destination1: "b",
	},
	{
		name:  "removal of an unknown endpoint",
		lists: []string{"!a@1"},
		kinds: []ChangeKind{Unchanged},
	},
	{
		name:         "an update keeps the order",
		lists:        []string{"snapshot: a@1 b@1", "a@1=h:2 c@1"},
		kinds:        []ChangeKind{Added, Added, Moved, Added},
		all:          "a b c",
		destination1: "a b c",
	},
	{
		name:            "an unfinished snapshot removes nothing",
		lists:           []string{"snapshot: a@1 b@1 c@2", "unfinished: b@1 d@1"},
		kinds:           []ChangeKind{Added, Added, Added, Unchanged, Added},
		all:             "a c b d",
		destination1:    "a b d",
		hasDestination2: true,
	},
	{
		name:            "an unfinished snapshot, then a complete one",
		lists:           []string{"snapshot: a@1 b@1 c@2", "unfinished: b@1 d@1", "snapshot: c@2 b@1"},
		kinds:           []ChangeKind{Added, Added, Added, Unchanged, Added, Unchanged, Unchanged},
		all:             "c b",
		destination1:    "b",
		swept:           "a d",
		hasDestination2: true,
	},
	{
		name:         "an unfinished snapshot without entries",
		lists:        []string{"snapshot: a@1", "unfinished:", "snapshot: b@1"},
		kinds:        []ChangeKind{Added, Added},
		all:          "b",
		destination1: "b",
		swept:        "a",
	},
}

func TestLists(t *testing.T) {
	for _, c := range listTests {
		t.Run(c.name, func(t *testing.T) {
			catalog := New()
			var kinds []ChangeKind
			var swept []Endpoint
			for _, list := range c.lists {
				listKinds, listSwept := applyList(t, catalog, list)
				kinds = append(kinds, listKinds...)
				swept = append(swept, listSwept...)
			}
			if !slices.Equal(kinds, c.kinds) {
				t.Errorf("changes %v, want %v", kinds, c.kinds)
			}
			if got := joinIDs(slices.Collect(catalog.All())); got != c.all {
				t.Errorf("All() = %q, want %q", got, c.all)
			}
			if got := joinIDs(catalog.AppendEndpoints(1, nil)); got != c.destination1 {
				t.Errorf("destination 1 has %q, want %q", got, c.destination1)
			}
			if got := joinIDs(swept); got != c.swept {
				t.Errorf("swept %q, want %q", got, c.swept)
			}
			if got := catalog.HasDestination(2); got != c.hasDestination2 {
				t.Errorf("HasDestination(2) = %t, want %t", got, c.hasDestination2)
			}
		})
	}
}
