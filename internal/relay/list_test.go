package relay

import (
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
)

// A host goes and comes back in one list, or the other way round: the last entry holds, for the relay and for its
// module.
func TestAHostThatGoesAndComesBackInOneList(t *testing.T) {
	const gone, back = `{"id":"s-1","state":"gone"}`, `{"id":"s-1","addr":"127.0.0.1:7","zone":"b","kind":"gateway","cell":7,"state":"ready","weight":50}`
	for _, c := range []struct {
		full    bool
		entries []string
		listed  bool
	}{
		{false, []string{gone, back}, true}, {false, []string{back, gone}, false}, {true, []string{gone, back}, true}, {true, []string{back, gone}, false},
	} {
		r := newTestRelay(t)
		r.step([]event{listEvent{discovery.List{Version: 5, Full: c.full, Entries: entriesOf(r, c.entries...)}}})
		known, ok := r.catalog.Endpoint("s-1")
		views, _ := r.engine.Views()
		if ok != c.listed || len(views) != r.catalog.EndpointCount() ||
			c.listed && (known.Addr != "127.0.0.1:7" || !views[0].InService || views[0].Zone != 1) {
			t.Errorf("%v, whole %v: listed %v %+v, in the module %+v", c.entries, c.full, ok, known, views)
		}
	}
}
