// Package fake provides fakes of the systems around a relay: endpoints, discovery agents and clients. They implement
// the platform's protocol on loopback sockets and record events in an event log. Package upstream determines how a
// service responds to a call.
package fake

import (
	"math/rand/v2"
	"sync"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// World holds the services with their endpoints, and the messages that clients submitted.
type World struct {
	events     *eventlog.Writer
	random     *rand.Rand // guarded by mu
	settings   scenario.Settings
	relays     []string // names
	goroutines sync.WaitGroup

	mu          sync.Mutex // guards the fields below, and the state of services and endpoints
	services    map[string]*service
	endpoints   map[string]*Endpoint
	messages    map[string]*message
	activeCalls map[string]int // by relay
	lastCall    uint64         // number of the newest call
	closed      bool
}

// NewWorld returns a World with the services of a plan and without endpoints.
func NewWorld(plan scenario.Plan, events *eventlog.Writer) *World {
	w := &World{
		events:      events,
		random:      rand.New(rand.NewPCG(plan.Seed, answerFaultStream)),
		settings:    plan.File.Settings,
		services:    map[string]*service{},
		endpoints:   map[string]*Endpoint{},
		messages:    map[string]*message{},
		activeCalls: map[string]int{},
	}
	for i := range plan.File.Relays {
		w.relays = append(w.relays, scenario.RelayName(i+1))
	}
	for _, planned := range plan.Services {
		w.services[planned.Name] = &service{
			model:       upstream.New(planned.Spec, planned.Seed),
			name:        planned.Name,
			destination: planned.Destination,
			slowdown:    1,

			answerFaults: map[scenario.Op]answerFault{},
		}
	}
	return w
}

// Endpoint returns an endpoint by its id; nil if there is none.
func (w *World) Endpoint(id string) *Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[id]
}

// Close stops all endpoints and waits for the goroutines that serve their connections.
func (w *World) Close() {
	for _, e := range w.close() {
		e.Stop()
		for _, p := range e.ports {
			p.close() // also the ports of endpoints that had stopped already
		}
	}
	w.goroutines.Wait()
}

// close makes all endpoints accept no more connections, and returns the endpoints.
func (w *World) close() []*Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	endpoints := make([]*Endpoint, 0, len(w.endpoints))
	for _, e := range w.endpoints {
		endpoints = append(endpoints, e)
	}
	return endpoints
}
