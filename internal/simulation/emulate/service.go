package emulate

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// Service is a unit that has one rate limit, and that an outage affects as a whole: a destination, or an endpoint
// with limits of its own. It consists of the model of package upstream, the endpoints, and the faults of the network
// to them.
type Service struct {
	*upstream.Service
	Name        string
	Destination int
	// ResetRatio returns the ratio of a relay's calls that run, but whose connections break before the answer. nil:
	// none.
	ResetRatio func(relay int) float64

	slowdown    float64
	outageCause string // an Outage constant of package eventlog; "": in service
	endpoints   []*endpoint
}

// runningEndpoints returns the endpoints whose processes run, sorted by ID.
func (s *Service) runningEndpoints() (running []*endpoint) {
	for _, e := range s.endpoints {
		if !e.stopped {
			running = append(running, e)
		}
	}
	sortByID(running)
	return running
}

// recordCapacity records the capacity of each endpoint of a service from now on. After an outage the capacity starts
// at the ratio "initial" of the full capacity, and grows to it over the warm-up time.
func (w *World) recordCapacity(s *Service, initial float64, warmUp time.Duration) {
	if !w.options.Record {
		return
	}
	rate := s.EndpointCapacity() / s.slowdown
	if s.outageCause != "" || s.Overloaded() {
		rate = 0
	}
	for _, e := range s.runningEndpoints() {
		w.record(eventlog.Event{
			Kind:        eventlog.CapacityChanged,
			Endpoint:    e.ID,
			Destination: s.Destination,
			Rate:        rate,
			Share:       initial,
			Duration:    warmUp,
		})
	}
}

// SetSlowdown multiplies the service times of a service by a factor; 1 ends the fault.
func (w *World) SetSlowdown(name string, factor float64) {
	s := w.services[name]
	s.slowdown = factor
	s.SetSlowdown(factor)
	w.recordCapacity(s, 1, 0)
}

// BeginOutage begins an outage of a service, like a scenario step with this operation. A service has one outage at a
// time: a second outage has no effect, and the first EndOutage ends both.
func (w *World) BeginOutage(name string, op scenario.Op, failureRatio float64, duration time.Duration) {
	s := w.services[name]
	if s.outageCause != "" {
		return
	}
	s.outageCause = op.OutageCause()
	running := s.runningEndpoints()
	w.record(eventlog.Event{
		Kind:        eventlog.OutageStarted,
		Service:     name,
		Destination: s.Destination,
		Endpoints:   endpointIDs(running),
		Cause:       s.outageCause,
	})
	w.recordCapacity(s, 1, 0)
	switch op {
	case scenario.OpFailCalls:
		s.SetFailureRatio(failureRatio)
	case scenario.OpSuspend:
		s.Suspend(w.Now() + duration)
	case scenario.OpSilence:
		s.SetSilent(true)
	case scenario.OpCrash:
		for _, e := range running {
			e.down = true
			w.resetConnections(e)
		}
	case scenario.OpCutOff:
		for _, e := range running {
			e.unreachable = true
		}
	}
}

// EndOutage ends the outage of a service, which then warms up. A service that was overloaded stays out of service.
func (w *World) EndOutage(name string) {
	s := w.services[name]
	cause := s.outageCause
	s.outageCause = ""
	if s.Overloaded() {
		return
	}
	s.SetFailureRatio(0)
	s.Resume()
	s.SetSilent(false)
	running := s.runningEndpoints()
	if len(running) == 0 {
		return // all endpoints were replaced during the outage
	}
	warmUp := s.Recover(w.Now())
	w.record(eventlog.Event{
		Kind:        eventlog.OutageEnded,
		Service:     name,
		Destination: s.Destination,
		Endpoints:   endpointIDs(running),
		Rate:        warmUp.FullCapacity,
		Share:       warmUp.InitialCapacity,
		Duration:    warmUp.Duration,
	})
	w.recordCapacity(s, warmUp.InitialCapacity, warmUp.Duration)
	if cause != eventlog.OutageSilent && cause != eventlog.OutageDown {
		return
	}
	for _, e := range running { // the endpoints' processes have restarted
		e.down, e.unreachable = false, false
		w.resetConnections(e)
	}
}
