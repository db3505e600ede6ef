package discovery

import (
	"errors"
	"fmt"
	"slices"

	"cherrytrestle.example/cherrytrestle/policy"
)

// List is discovery's list of hosts, whole or changes to it.
type List struct {
	Version int64
	Full    bool
	Entries []Entry // each is read by itself: one that cannot be read spoils no other
}

// EndpointRecord is one entry of the list.
type EndpointRecord struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   *int    `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// Parser reads the entries of a list.
type Parser struct {
	Zones []string // names, by number
	Kinds []string
}

// Parse is what an entry says. Its id is returned also where the rest cannot be used.
func (p *Parser) Parse(m *EndpointRecord) (l policy.Endpoint, addr string, err error) {
	l = policy.Endpoint{
		ID:     m.ID,
		Zone:   slices.Index(p.Zones, m.Zone),
		Kind:   slices.Index(p.Kinds, m.Kind),
		Weight: m.Weight,
	}
	switch m.State {
	case "ready":
		l.InService = true
	case "draining":
	case "gone":
		l.Removed = true
	default:
		return l, "", fmt.Errorf("unknown state %q", m.State)
	}
	switch {
	case m.ID == "":
		return l, "", errors.New("no id")
	case l.Removed:
		return l, "", nil
	case m.Addr == "" || m.Cell == nil:
		return l, "", errors.New("no address or no cell")
	case l.Zone < 0 || l.Kind < 0:
		return l, "", fmt.Errorf("unknown zone %q or kind %q", m.Zone, m.Kind)
	}
	l.Destination = *m.Cell
	return l, m.Addr, nil
}
