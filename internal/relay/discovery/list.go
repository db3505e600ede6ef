package discovery

import (
	"errors"
	"fmt"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Why an entry is unusable.
var (
	errNoID      = errors.New("no id")
	errNoAddress = errors.New("no address or no cell")
)

// List is an endpoint list, or changes of it.
type List struct {
	Version int64
	Full    bool    // it names all endpoints
	Entries []Entry // each is read by itself: an unreadable one does not affect the others
}

// Entry is one entry of a list as it was read.
type Entry struct {
	catalog.Endpoint
	Err  error  // why the entry is unreadable; then nothing else of it counts, except its id where there is one
	Text string // what was read of an unreadable entry
}

// EndpointRecord is an entry of a list as it stands on the wire.
type EndpointRecord struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   *int    `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// Parser interprets the entries of lists.
type Parser struct {
	Zones []string // names of zones, in the order of their numbers
	Kinds []string // names of destination kinds, likewise
}

// Parse returns the endpoint of an entry and its address. The endpoint has its id also if there is an error.
func (p *Parser) Parse(record *EndpointRecord) (endpoint policy.Endpoint, addr string, err error) {
	endpoint = policy.Endpoint{
		ID:     record.ID,
		Zone:   slices.Index(p.Zones, record.Zone),
		Kind:   slices.Index(p.Kinds, record.Kind),
		Weight: record.Weight,
	}
	switch record.State {
	case "ready":
		endpoint.InService = true
	case "draining":
	case "gone":
		endpoint.Removed = true
	default:
		return endpoint, "", fmt.Errorf("unknown state %q", record.State)
	}
	switch {
	case record.ID == "":
		return endpoint, "", errNoID
	case endpoint.Removed:
		return endpoint, "", nil
	case record.Addr == "" || record.Cell == nil:
		return endpoint, "", errNoAddress
	case endpoint.Zone < 0 || endpoint.Kind < 0:
		return endpoint, "", fmt.Errorf("unknown zone %q or kind %q", record.Zone, record.Kind)
	}
	endpoint.Destination = policy.DestinationID(*record.Cell)
	return endpoint, record.Addr, nil
}
