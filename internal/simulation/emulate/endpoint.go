package emulate

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// endpoint is an endpoint of a service: its process, its connections and its entry in the endpoint list.
type endpoint struct {
	scenario.Endpoint
	index   int // position in the order in which endpoints were added
	zone    int // index of the scenario's Zones
	kind    int // index of the scenario's DestinationKinds
	service *Service

	down        bool // its process is down temporarily: connections are refused
	unreachable bool // its machine is cut off: nothing arrives there, and its connections do not break
	stopped     bool // its process has ended for good

	connectionEpoch int // incremented when all its connections are reset
	calls           map[*call]struct{}
	pools           map[*connectionPool]struct{} // those of all relays; kept only if Options.MaxConnections is set

	changes []entryChange // changes of its entry in the endpoint list, oldest first
}

func sortByID(endpoints []*endpoint) {
	slices.SortFunc(endpoints, func(a, b *endpoint) int { return strings.Compare(a.ID, b.ID) })
}

func endpointIDs(endpoints []*endpoint) (ids []string) {
	for _, e := range endpoints {
		ids = append(ids, e.ID)
	}
	return ids
}

// addEndpoint starts the process of an endpoint.
func (w *World) addEndpoint(spec scenario.Endpoint) (*endpoint, error) {
	service := w.services[spec.Service]
	if service == nil {
		return nil, fmt.Errorf("emulate: endpoint %s refers to unknown service %q", spec.ID, spec.Service)
	}
	e := &endpoint{
		Endpoint: spec,
		index:    len(w.endpoints),
		zone:     slices.Index(w.plan.File.Zones, spec.Zone),
		kind:     w.kindIndex(spec.Kind),
		service:  service,
	}
	w.endpoints[spec.ID] = e
	service.endpoints = append(service.endpoints, e)
	service.AddEndpoint(spec.ID)
	w.recordCapacity(service, 1, 0)
	return e, nil
}

// kindIndex returns the index of a destination kind by its name.
func (w *World) kindIndex(name string) int {
	kinds := w.plan.File.DestinationKinds
	return slices.IndexFunc(kinds, func(k scenario.DestinationKind) bool { return k.Name == name })
}

// AddEndpoint starts the process of an endpoint and adds it to the endpoint list. If its service does not exist yet,
// AddEndpoint creates it with the Spec of the service of the destination's first endpoint.
func (w *World) AddEndpoint(spec scenario.Endpoint) {
	if w.services[spec.Service] == nil {
		w.addService(scenario.Service{
			Name:        spec.Service,
			Destination: spec.Destination,
			Spec:        w.firstEndpoint(spec.Destination).service.Spec,
			Seed:        w.networkRandom.Uint64(),
		})
	}
	e, err := w.addEndpoint(spec)
	if err != nil {
		panic(err) // unreachable: the service exists
	}
	e.AddedLater = true
	w.ChangeEndpoint(spec.ID, eventlog.StateReady)
}

// firstEndpoint returns the first endpoint of a destination, even if it has stopped; nil if there is none.
func (w *World) firstEndpoint(destination int) *endpoint {
	for _, s := range w.Services(destination) {
		if len(s.endpoints) > 0 {
			return s.endpoints[0]
		}
	}
	return nil
}

// stopEndpoint ends the process of an endpoint for good.
func (w *World) stopEndpoint(e *endpoint) {
	if e.stopped {
		return
	}
	e.stopped = true
	e.service.RemoveEndpoint(e.ID)
	w.resetConnections(e)
	w.record(eventlog.Event{Kind: eventlog.CapacityChanged, Endpoint: e.ID, Destination: e.Destination})
}

// resetConnections breaks all connections of an endpoint.
func (w *World) resetConnections(e *endpoint) {
	e.connectionEpoch++
	calls := slices.SortedFunc(maps.Keys(e.calls), compareCalls)
	for _, c := range calls {
		c.breakConnection()
	}
}

// compareCalls orders calls by their numbers.
func compareCalls(a, b *call) int { return cmp.Compare(a.number, b.number) }
