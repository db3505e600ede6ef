package discovery

import (
	"errors"
	"fmt"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Errors of Parser.Parse for a record that lacks a required field.
var (
	errNoID      = errors.New("entry has no \"id\"")
	errNoAddress = errors.New("entry has no \"addr\" or no \"cell\"")
	errTextSize  = fmt.Errorf("a text of an entry is over %d bytes", maxTextSize)
)

const (
	// maxTextSize bounds each text of an entry, in bytes. Entries and their errors keep these texts.
	maxTextSize = 512
	// maxLoggedSize bounds the text of an unreadable entry for the log, in bytes.
	maxLoggedSize = 1024
)

// List is a full endpoint list, or a set of changes to one.
type List struct {
	Version int64
	Full    bool    // the list names all endpoints; those that it omits are removed
	Entries []Entry // parsed independently: an unreadable entry does not affect the others
}

// Entry is one parsed entry of a list.
type Entry struct {
	catalog.Endpoint
	Err  error  // why the entry is unreadable; only its ID is valid then, if it has one
	Text string // the decoded fields of an unreadable entry, for the log
}

// EndpointRecord is the JSON form of a list entry.
type EndpointRecord struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   *int    `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// Parser converts the records of lists to endpoints.
type Parser struct {
	Zones []string // names of zones; the number of a zone is its index
	Kinds []string // names of destination kinds; the number of a kind is its index
}

// Parse returns the endpoint of a record and its address, which is empty for a removed endpoint. The endpoint has the
// record's ID even if Parse returns an error, except an ID that is too long.
func (p *Parser) Parse(record *EndpointRecord) (endpoint policy.Endpoint, addr string, err error) {
	if len(record.ID) > maxTextSize {
		return policy.Endpoint{}, "", errTextSize
	}
	if max(len(record.Addr), len(record.Zone), len(record.Kind), len(record.State)) > maxTextSize {
		return policy.Endpoint{ID: record.ID}, "", errTextSize
	}
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
