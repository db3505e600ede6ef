package scenario

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// The names of the random streams of a plan. Each part of the plan draws from a stream of its own, so that a change of
// one part leaves the other parts as they are.
const (
	streamDelays  = "delays"
	streamIDs     = "ids"
	streamFault   = "trouble"
	streamRelays  = "relays"
	streamService = "places"
	streamTraffic = "traffic"
)

// minIDLength is the number of hash bytes in the id of an endpoint, unless that id is taken.
const minIDLength = 4

// planner draws the parts of a plan and adds them to it.
type planner struct {
	Plan

	endpointCount int
	endpointIDs   map[string]bool
	removed       map[string]bool          // ids of the endpoints that a fault removes
	specs         map[string]upstream.Spec // by service; nil until the first call of specOf
}

// Draw returns the plan of the scenario for a seed. Seed 0 selects the seed of the scenario.
func (f File) Draw(seed uint64) Plan {
	p := newPlanner(f, seed)
	p.addArrivals()
	return p.Plan
}

// DrawWithoutArrivals returns the plan without its arrivals. The caller draws them with TrafficGenerators while the
// plan runs, so that the arrivals of a large plan are never all in memory.
func (f File) DrawWithoutArrivals(seed uint64) Plan { return newPlanner(f, seed).Plan }

// newPlanner returns a planner that has drawn everything but the arrivals.
func newPlanner(f File, seed uint64) *planner {
	p := &planner{
		Plan:        Plan{File: f, Seed: cmp.Or(seed, f.Seed)},
		endpointIDs: map[string]bool{},
		removed:     map[string]bool{},
	}
	p.DiscoverySeed = engine.NewRandom(p.Seed, streamDelays, 0).Uint64()
	p.addServices()
	for i, fault := range f.Faults {
		p.addFault(i, fault)
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return p
}

// addArrivals draws the messages of all traffic.
func (p *planner) addArrivals() {
	for i := range p.File.Traffic {
		generator := p.File.NewTrafficGenerator(p.Seed, i)
		for group, ok := generator.Next(); ok; group, ok = generator.Next() {
			p.Arrivals = append(p.Arrivals, group...)
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	ids := engine.NewRandom(p.Seed, streamIDs, 0)
	for i := range p.Arrivals {
		arrival := &p.Arrivals[i]
		arrival.ID = fmt.Sprintf("%016x", ids.Uint64())
		arrival.IdempotencyKey = fmt.Sprintf("%016x%016x", ids.Uint64(), ids.Uint64())
	}
}

// addServices adds the services and endpoints that exist from the start.
func (p *planner) addServices() {
	seeds := engine.NewRandom(p.Seed, streamService, 0)
	number := 0
	for _, d := range p.File.Destinations {
		for range d.Count {
			number++
			p.addDestination(d, number, seeds.Uint64)
		}
	}
}

func (p *planner) addDestination(d Destination, number int, nextSeed func() uint64) {
	kind, _ := p.File.kindOf(d) // a valid scenario defines the kind
	spec := p.File.UpstreamSpec(kind, d.LimitRate)
	name := fmt.Sprintf("d%d", number)
	if !kind.SeparateEndpoints {
		p.addService(Service{Name: name, Destination: number, Spec: spec, Seed: nextSeed()})
	}
	for i := range d.Endpoints {
		endpoint := p.addEndpoint(Endpoint{
			Service:     name,
			Destination: number,
			Zone:        d.Zones[i%len(d.Zones)],
			Kind:        kind.Name,
			Weight:      listedWeight(d, kind, spec),
		})
		if kind.SeparateEndpoints {
			endpoint.Service = endpoint.ID
			p.addService(Service{Name: endpoint.ID, Destination: number, Spec: spec, Seed: nextSeed()})
		}
	}
}

// listedWeight returns the weight of an endpoint in the endpoint list: what its service can serve, in calls a second.
func listedWeight(d Destination, kind DestinationKind, spec upstream.Spec) float64 {
	switch {
	case kind.Limit != upstream.NoLimit:
		return d.LimitRate
	case kind.SeparateEndpoints:
		return spec.EndpointCapacity()
	default:
		return spec.EndpointCapacity() * float64(d.Endpoints)
	}
}

func (p *planner) addService(s Service) {
	p.Services = append(p.Services, s)
	if p.specs != nil {
		p.specs[s.Name] = s.Spec
	}
}

// specOf returns the specification of a service that was added.
func (p *planner) specOf(service string) upstream.Spec {
	if p.specs == nil {
		p.specs = make(map[string]upstream.Spec, len(p.Services))
		for _, s := range p.Services {
			p.specs[s.Name] = s.Spec
		}
	}
	return p.specs[service]
}

// addEndpoint adds an endpoint with a new id, a hash that reveals nothing about the endpoint. The returned pointer is
// valid until the next endpoint is added.
func (p *planner) addEndpoint(e Endpoint) *Endpoint {
	p.endpointCount++
	hash := sha256.Sum256(fmt.Appendf(nil, "%d/endpoint/%d", p.Seed, p.endpointCount))
	// An id that is taken is extended by more bytes of the hash: among 280,000 endpoints, about ten pairs have the same
	// first four bytes.
	for length := minIDLength; e.ID == "" || p.endpointIDs[e.ID]; length++ {
		e.ID = "s-" + hex.EncodeToString(hash[:length])
	}
	p.endpointIDs[e.ID] = true
	p.Endpoints = append(p.Endpoints, e)
	return &p.Endpoints[len(p.Endpoints)-1]
}

func (p *planner) addStep(s Step) { p.Steps = append(p.Steps, s) }

// addStepPair adds one step at the beginning of a time span and one at its end.
func (p *planner) addStepPair(begin, end time.Duration, first, last Step) {
	first.At, last.At = begin, end
	p.addStep(first)
	p.addStep(last)
}
