package relay

import (
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A predecessor hands over zones and kinds as indexes of its own configuration. Its endpoints show whether the indexes
// mean the same here, because this process's configuration lists endpoints with the names of their zones and kinds.

// configuredEndpoints returns a function that looks up an endpoint of this process's configuration by its id.
func (r *Relay) configuredEndpoints() func(id string) (endpoint policy.Endpoint, known bool) {
	configured := make(map[string]policy.Endpoint, len(r.cfg.Known.Entries))
	for i := range r.cfg.Known.Entries {
		if entry := &r.cfg.Known.Entries[i]; entry.Err == nil {
			configured[entry.ID] = entry.Endpoint.Endpoint
		}
	}
	return func(id string) (policy.Endpoint, bool) {
		if endpoint, known := configured[id]; known {
			return endpoint, true
		}
		listed, known := r.catalog.Endpoint(id) // a long list
		return listed.Endpoint, known
	}
}

// hasIndexesOf reports whether the zones and kinds of the predecessor's endpoints have the same indexes as in this
// process's configuration. An endpoint that the configuration does not list shows nothing.
func (r *Relay) hasIndexesOf(s *hotrestart.State) bool {
	configured := r.configuredEndpoints()
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		own, known := configured(e.ID)
		if known && (own.Zone != e.Zone || own.Kind != e.Kind) {
			return false
		}
	}
	return true
}

// discardIndexes removes from the state all that depends on the predecessor's indexes. Of its endpoints there remain
// those that this process's configuration lists, with the indexes of that configuration. The others come from the
// endpoint list, which is fetched in full.
func (r *Relay) discardIndexes(s *hotrestart.State) {
	configured := r.configuredEndpoints()
	endpoints := s.Endpoints[:0]
	for _, e := range s.Endpoints {
		if own, known := configured(e.ID); known {
			e.Zone = own.Zone
			e.Kind = own.Kind
			endpoints = append(endpoints, e)
		}
	}
	s.Endpoints = endpoints
	s.Snapshot = nil
	r.snapshotNeeded = true
}
