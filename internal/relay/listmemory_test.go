package relay

import (
	"fmt"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// TestEndpointListIsBoundedInBytes applies a long list whose entries are as long as they may be. The catalog stops at
// its part of the memory limit, and endpoints that it has can still be drained.
func TestEndpointListIsBoundedInBytes(t *testing.T) {
	r := newTestRelay(t)
	r.switchToLargeList()
	r.budget.Scale(0.05)
	entry := func(i int, inService bool) discovery.Entry {
		id := fmt.Sprint(i, strings.Repeat("i", 500))
		e := policy.Endpoint{ID: id, Destination: policy.DestinationID(i), InService: inService}
		return discovery.Entry{Endpoint: catalog.Endpoint{Endpoint: e, Addr: strings.Repeat("a", 500)}}
	}
	limit := r.budget.Limit(memory.EndpointList)
	for i := range 20_000 {
		r.applyEntries([]discovery.Entry{entry(i, true)})
	}
	if !r.snapshotTruncated || r.catalog.Size() > limit+limit/10 || r.catalog.EndpointCount() < 1000 {
		t.Errorf("%d endpoints, %d bytes, limit %d", r.catalog.EndpointCount(), r.catalog.Size(), limit)
	}
	r.applyEntries([]discovery.Entry{entry(7, false)})
	if e, _ := r.catalog.Endpoint(entry(7, false).ID); e.InService {
		t.Error("an endpoint of a full catalog cannot be drained")
	}
}
