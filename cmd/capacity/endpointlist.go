package main

import (
	"context"
	"encoding/json"
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
)

const (
	endpointsPerDestination = 2
	listedWeight            = 5000
	listedStartMS           = 1_780_000_000_000 // milliseconds since 1970

	// closedAddr is an address that refuses connections.
	closedAddr = "127.0.0.1:9"
	// exampleAddr has the length of a production address. The size of an endpoint snapshot depends on the length.
	exampleAddr = "10.20.30.40:8080"
)

// States of listed endpoints.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// listedEndpoints returns two endpoints for each destination, all at one address.
func listedEndpoints(destinations int, addr, state string) []fake.ListedEndpoint {
	zones := []string{"a", "b"}
	endpoints := make([]fake.ListedEndpoint, 0, endpointsPerDestination*destinations)
	for i := range endpointsPerDestination * destinations {
		endpoints = append(endpoints, fake.ListedEndpoint{
			ID:          fmt.Sprintf("s-%08x", i),
			Addr:        addr,
			Zone:        zones[i%endpointsPerDestination],
			Kind:        "platform",
			Destination: i / endpointsPerDestination,
			State:       state,
			Weight:      listedWeight,
			StartedMS:   listedStartMS,
		})
	}
	return endpoints
}

// measureSnapshot measures the size of an endpoint snapshot on the wire.
func measureSnapshot(_ context.Context, b *bench) ([]capacity.Series, error) {
	size := newSeries(capacity.SnapshotBytes, "destinations", capacity.Bytes)
	for _, destinations := range b.sizes([]int{100, 1000, 3000}, []int{1000, 5000, 20_000, 50_000, 140_000}) {
		data, err := json.Marshal(fake.EndpointList{
			Version:   int64(endpointsPerDestination * destinations),
			Full:      true,
			Endpoints: listedEndpoints(destinations, exampleAddr, stateReady),
		})
		if err != nil {
			return nil, err
		}
		size.add(destinations, float64(len(data)))
	}
	return collect(size), nil
}
