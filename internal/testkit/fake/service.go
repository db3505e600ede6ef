package fake

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// service is a destination, or an endpoint with its own limits: the model of its behaviour, and its current faults.
type service struct {
	model       *upstream.Service
	name        string
	destination int
	outageCause string  // an Outage constant of package eventlog; "": no outage
	slowdown    float64 // factor on service times; 1: none

	answerFaults map[scenario.Op]answerFault // on the wire
}

// SetSlowdown multiplies the service times of a service by a factor; 1 ends the fault.
func (w *World) SetSlowdown(name string, factor float64) error {
	return w.updateService(name, func(s *service) {
		s.slowdown = factor
		s.model.SetSlowdown(factor)
		w.recordCapacity(s, 1, 0)
	})
}

// SetLimitDivisor divides the rate limit of a service; 1 ends the fault.
func (w *World) SetLimitDivisor(name string, divisor float64) error {
	return w.updateService(name, func(s *service) { s.model.SetLimitDivisor(divisor) })
}

// SetResponseLossRatio sets the ratio of a service's answers that are lost; 0 ends the fault.
func (w *World) SetResponseLossRatio(name string, ratio float64) error {
	return w.updateService(name, func(s *service) { s.model.SetResponseLossRatio(ratio) })
}

// StartOutage starts an outage of a service. failureRatio is the ratio of calls that OpFailCalls makes fail. duration
// determines the Retry-After of OpSuspend. An outage that starts during another one has no effect, and the first
// EndOutage ends both.
func (w *World) StartOutage(name string, op scenario.Op, failureRatio float64, duration time.Duration) error {
	var affected []*Endpoint
	err := w.updateService(name, func(s *service) {
		if s.outageCause != "" {
			return
		}
		s.outageCause = op.OutageCause()
		affected = w.runningEndpoints(s)
		w.events.Add(eventlog.Event{
			Kind:        eventlog.OutageStarted,
			Service:     name,
			Destination: s.destination,
			Endpoints:   endpointIDs(affected),
			Cause:       s.outageCause,
		})
		w.recordCapacity(s, 1, 0)
		switch op {
		case scenario.OpFailCalls:
			s.model.SetFailureRatio(failureRatio)
		case scenario.OpSuspend:
			s.model.Suspend(w.events.Now() + duration)
		case scenario.OpSilence:
			s.model.SetSilent(true)
		}
	})
	for _, e := range affected {
		switch op {
		case scenario.OpCrash:
			e.crash()
		case scenario.OpCutOff:
			err = errors.Join(err, e.isolate())
		}
	}
	return err
}

// EndOutage ends the outage of a service. Unless the service is overloaded, it recovers and warms up.
func (w *World) EndOutage(name string) error {
	var recovered []*Endpoint
	var cause string
	err := w.updateService(name, func(s *service) {
		cause = s.outageCause
		s.outageCause = ""
		if !s.model.Overloaded() {
			recovered = w.runningEndpoints(s)
			w.recoverService(s, recovered)
		}
	})
	if err != nil {
		return err
	}
	if cause != eventlog.OutageSilent && cause != eventlog.OutageDown {
		return nil
	}
	for _, e := range recovered {
		if err := e.restart(); err != nil {
			return err
		}
	}
	return nil
}

// recoverService ends the faults of a service and starts its warm-up. The caller holds mu.
func (w *World) recoverService(s *service, endpoints []*Endpoint) {
	s.model.SetFailureRatio(0)
	s.model.Resume()
	s.model.SetSilent(false)
	if len(endpoints) == 0 {
		return // all endpoints of the service have stopped
	}
	warmUp := s.model.Recover(w.events.Now())
	w.events.Add(eventlog.Event{
		Kind:        eventlog.OutageEnded,
		Service:     s.name,
		Destination: s.destination,
		Endpoints:   endpointIDs(endpoints),
		Rate:        warmUp.FullCapacity,
		Share:       warmUp.InitialCapacity,
		Duration:    warmUp.Duration,
	})
	w.recordCapacity(s, warmUp.InitialCapacity, warmUp.Duration)
}

// updateService finds a service by its name and calls update with it, while holding mu.
func (w *World) updateService(name string, update func(*service)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[name]
	if s == nil {
		return fmt.Errorf("fake: no service %q", name)
	}
	update(s)
	return nil
}

// recordCapacity records the capacity of each endpoint of a service: initialRatio of its full capacity now, and all of
// it after the warm-up. The capacity is 0 during an outage or overload. The caller holds mu.
func (w *World) recordCapacity(s *service, initialRatio float64, warmUp time.Duration) {
	rate := s.model.EndpointCapacity() / s.slowdown
	if s.outageCause != "" || s.model.Overloaded() {
		rate = 0
	}
	for _, e := range w.runningEndpoints(s) {
		w.events.Add(eventlog.Event{
			Kind:        eventlog.CapacityChanged,
			Endpoint:    e.spec.ID,
			Destination: s.destination,
			Rate:        rate,
			Share:       initialRatio,
			Duration:    warmUp,
		})
	}
}

// runningEndpoints returns the endpoints of a service that have not stopped, sorted by id. The caller holds mu.
func (w *World) runningEndpoints(s *service) []*Endpoint {
	var endpoints []*Endpoint
	for _, e := range w.endpoints {
		if e.service == s && !e.stopped {
			endpoints = append(endpoints, e)
		}
	}
	slices.SortFunc(endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return endpoints
}

func endpointIDs(endpoints []*Endpoint) []string {
	ids := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		ids = append(ids, e.spec.ID)
	}
	return ids
}

// handleCall passes a call to the model of the endpoint's service. If the call overloads the service, it records the
// overload. The caller holds mu.
func (w *World) handleCall(e *Endpoint, messages int) upstream.Response {
	response := e.service.model.HandleCall(w.events.Now(), e.spec.ID, messages)
	if response.CausedOverload {
		w.events.Add(eventlog.Event{
			Kind:        eventlog.ServiceOverloaded,
			Service:     e.spec.Service,
			Destination: e.spec.Destination,
			Endpoints:   endpointIDs(w.runningEndpoints(e.service)),
		})
		w.recordCapacity(e.service, 0, 0)
	}
	return response
}
