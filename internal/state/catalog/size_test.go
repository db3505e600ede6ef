package catalog

import (
	"fmt"
	"testing"

	"cherrytrestle.example/cherrytrestle/policy"
)

// TestSizeFollowsTheEndpoints checks that the size grows with the endpoints and falls again with their removal.
func TestSizeFollowsTheEndpoints(t *testing.T) {
	const endpoints = 50_000
	c := New()
	empty := c.Size()
	upsert := func(removed bool) {
		for i := range endpoints {
			e := policy.Endpoint{ID: fmt.Sprint("endpoint-", i), Destination: policy.DestinationID(i), Removed: removed}
			c.Upsert(Endpoint{Endpoint: e, Addr: fmt.Sprintf("10.0.%d.%d:80", i>>8, i&255)})
		}
	}
	upsert(false)
	full := c.Size()
	if perEndpoint := (full - empty) / endpoints; perEndpoint < 50 || perEndpoint > 500 {
		t.Errorf("%d bytes for an endpoint", perEndpoint)
	}
	upsert(true)
	if after := c.Size(); after > full/2 {
		t.Errorf("%d bytes after the removal, %d before", after, full)
	}
}
