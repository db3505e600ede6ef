package relay

import (
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
)

// One list may both remove and add an endpoint, in either order. The last entry applies, to the catalog and to the
// policy.
func TestEndpointRemovedAndAddedInOneList(t *testing.T) {
	const gone = `{"id":"s-1","state":"gone"}`
	const back = `{"id":"s-1","addr":"127.0.0.1:7","zone":"b","kind":"gateway","cell":7,"state":"ready","weight":50}`
	for _, c := range []struct {
		full    bool
		entries []string
		listed  bool
	}{
		{false, []string{gone, back}, true},
		{false, []string{back, gone}, false},
		{true, []string{gone, back}, true},
		{true, []string{back, gone}, false},
	} {
		r := newTestRelay(t)
		r.step([]event{listEvent{discovery.List{Version: 5, Full: c.full, Entries: entriesOf(r, c.entries...)}}})
		known, ok := r.catalog.Endpoint("s-1")
		views, _ := r.engine.Views()
		if ok != c.listed || len(views) != r.catalog.EndpointCount() ||
			c.listed && (known.Addr != "127.0.0.1:7" || !views[0].InService || views[0].Zone != 1) {
			t.Errorf("%v, complete %v: in the catalog %v, %+v; in the policy %+v", c.entries, c.full, ok, known, views)
		}
	}
}

func TestUnreadableEntriesAreSkipped(t *testing.T) {
	r := newTestRelay(t)
	l, err := parseList(
		&r.cfg,
		[]byte(`{"version":2,"full":true,"servers":[7,{"id":"s-1","state":"asleep"},{"id":"s-8","zone":"x"},
		{"id":"s-2","addr":"127.0.0.1:2","zone":"b","kind":"store","cell":3,"state":"ready","weight":5}]}`),
	)
	if err != nil {
		t.Fatal(err)
	}
	events := r.applyList(l)
	one, _ := r.catalog.Endpoint("s-1")
	two, _ := r.catalog.Endpoint("s-2")
	if r.catalog.EndpointCount() != 2 || one.Addr != "127.0.0.1:1" || two.Zone != 1 {
		t.Errorf("%d endpoints, s-1 %+v, s-2 %+v", r.catalog.EndpointCount(), one, two)
	}
	if len(events) != 1 || len(events[0].Endpoints) != 2 {
		t.Errorf("events for the policy %+v, want one with 2 endpoints", events)
	}
}
