package checker

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// recovery is the time after an outage of a service, until the service is warm or its next outage begins.
type recovery struct {
	outageStart, outageEnd eventlog.Event
	startIndex, endIndex   int            // indexes of these two events
	until                  time.Duration  // when the recovery ends
	informedBy             map[string]int // by relay: the event by which it observed the outage, or noEvent
}

// checkRecoveryNotOverloaded checks that no service that warms up after an outage is overloaded by relays that had
// observed the outage.
func checkRecoveryNotOverloaded(r *record, result *RuleResult) {
	if r.Rules.OverloadFactor <= 0 {
		return
	}
	for i, e := range r.events {
		if e.Kind != eventlog.OutageEnded {
			continue
		}
		if v, ok := r.recovery(i); ok {
			r.checkRecovery(result, v)
		}
	}
}

// recovery returns the recovery after an OutageEnded event. It reports false if the record lacks the start of the
// outage.
func (r *record) recovery(index int) (recovery, bool) {
	v := recovery{outageEnd: r.events[index], endIndex: index, startIndex: noEvent}
	v.until = v.outageEnd.At + v.outageEnd.Duration
	isOutage := func(e eventlog.Event) bool {
		return e.Kind == eventlog.OutageStarted && e.Service == v.outageEnd.Service
	}
	for i := index - 1; i >= 0 && v.startIndex == noEvent; i-- {
		if isOutage(r.events[i]) {
			v.startIndex = i
		}
	}
	if v.startIndex == noEvent {
		return v, false
	}
	v.outageStart = r.events[v.startIndex]
	if next := slices.IndexFunc(r.events[index+1:], isOutage); next >= 0 {
		v.until = min(v.until, r.events[index+1+next].At)
	}
	v.informedBy = r.informedRelays(v)
	return v, true
}

// receives reports whether a call reaches the service while it warms up.
func (v recovery) receives(c *call) bool {
	return c.At >= v.outageEnd.At && c.At <= v.until && slices.Contains(v.outageEnd.Endpoints, c.Endpoint)
}

// isInformed reports whether a relay observed the outage. A relay that the header does not list counts as informed.
func (v recovery) isInformed(relay string) bool {
	event, listed := v.informedBy[relay]
	return !listed || event != noEvent
}

// checkRecovery checks the load during a recovery, up to the first overload.
func (r *record) checkRecovery(result *RuleResult, v recovery) {
	var calls []*call
	informed := false
	for _, c := range r.received {
		if v.receives(c) {
			calls = append(calls, c)
			informed = informed || v.isInformed(c.Relay)
		}
	}
	if informed {
		result.Exercised++
	}
	window, load := r.firstOverload(v, calls)
	if len(window) == 0 {
		return
	}
	informedLoad := 0.0
	evidence := []int{v.startIndex, v.endIndex}
	for _, c := range window {
		evidence = append(evidence, c.index)
		if v.isInformed(c.Relay) {
			informedLoad += c.load()
		}
	}
	if informedLoad < MinInformedRatio*load {
		return
	}
	for _, event := range v.informedBy {
		if event != noEvent {
			evidence = append(evidence, event)
		}
	}
	at := window[len(window)-1].At
	result.addViolation(at, evidence,
		"%s, back since %v and able to do %.1f calls a second, "+
			"was sent %.1f in %v, %.0f%% by relays that had seen it fail",
		v.outageEnd.Service, (at - v.outageEnd.At).Round(time.Millisecond), v.warmUp().CapacityAt(at),
		load, r.Rules.OverloadWindow, 100*informedLoad/load)
}

// firstOverload returns the calls of the first window in which their load overloads the service, and that load. It
// returns no calls if the service is never overloaded.
func (r *record) firstOverload(v recovery, calls []*call) (window []*call, load float64) {
	length := r.Rules.OverloadWindow
	warmUp := v.warmUp()
	for _, c := range calls {
		window = append(window, c)
		load += c.load()
		for window[0].At <= c.At-length {
			load -= window[0].load()
			window = window[1:]
		}
		if load > upstream.OverloadBudget(r.Rules.OverloadFactor, warmUp.CapacityAt(c.At), length) {
			return window, load
		}
	}
	return nil, 0
}

func (v recovery) warmUp() upstream.WarmUp {
	return upstream.WarmUp{
		StartedAt:       v.outageEnd.At,
		FullCapacity:    v.outageEnd.Rate,
		InitialCapacity: v.outageEnd.Share,
		Duration:        v.outageEnd.Duration,
	}
}

// load returns the load that a call puts on a service: its weight, or 1 if the event has none.
func (c *call) load() float64 { return cmp.Or(c.Weight, 1) }

// informedRelays returns, for each relay of the header, the index of the event by which the relay observed an
// outage, or noEvent.
func (r *record) informedRelays(v recovery) map[string]int {
	informedBy := map[string]int{}
	for _, relay := range r.Relays {
		informedBy[relay] = noEvent
	}
	inform := func(relay string, event int) {
		if first, listed := informedBy[relay]; listed && first == noEvent {
			informedBy[relay] = event
		}
	}
	duringOutage := func(at time.Duration) bool { return at >= v.outageStart.At && at <= v.outageEnd.At }
	for _, c := range r.allCalls {
		if !slices.Contains(v.outageEnd.Endpoints, c.Endpoint) {
			continue
		}
		if event := r.failure(c); event != noEvent && duringOutage(r.events[event].At) {
			inform(c.Relay, event)
		}
	}
	if v.outageStart.Cause != eventlog.OutageDown {
		return informedBy
	}
	// Connections that are not accepted leave no event at the endpoints. Instead, a relay that accepted a message
	// for the destination during the outage counts as having observed it.
	for _, m := range r.submissions {
		if duringOutage(m.At) && m.Destination == v.outageEnd.Destination && r.accepted(m) {
			inform(m.Relay, m.index)
		}
	}
	return informedBy
}

// failure returns the index of the event by which the relay observes that a call failed, or noEvent.
func (r *record) failure(c *call) int {
	switch {
	case !c.complete:
		return c.index
	case c.reply == noEvent:
		return c.aborted
	case r.events[c.reply].Status != http.StatusOK:
		return c.reply
	default:
		return noEvent
	}
}
