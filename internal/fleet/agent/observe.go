package agent

import (
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

// endpointInfo is what the agent uses of an endpoint's entry in the endpoint list.
type endpointInfo struct {
	_           struct{} `cbor:",toarray"`
	Destination policy.DestinationID
	Kind        int     // index into Settings.DestinationKinds
	Limit       float64 // calls a second from all relays together; 0: not known
}

// pendingMessage is a message that the engine has accepted and that has not ended yet.
type pendingMessage struct {
	_           struct{} `cbor:",toarray"`
	Destination policy.DestinationID
	Waiting     bool // counted in the backlog, because no call with the message is in flight
}

func (a *Agent) observeEvent(event *policy.Event) {
	switch event.Kind {
	case policy.MessageAccepted:
		a.removeMessage(event.MessageID)
		if event.Recovered == nil {
			a.counter(quota.Scope{Destination: event.Destination}).Demand++
		}
		a.setWaiting(event.MessageID, pendingMessage{Destination: event.Destination}, true)
	case policy.MessageCancelled:
		a.removeMessage(event.MessageID)
	case policy.AttemptFinished:
		a.countOutcome(event)
		a.attemptFinished(event)
	case policy.HealthChecked:
		a.countOutcome(event)
	case policy.EndpointSnapshot:
		clear(a.Endpoints)
		a.updateEndpoints(event.Endpoints)
	case policy.EndpointDelta:
		a.updateEndpoints(event.Endpoints)
	}
}

func (a *Agent) observeAction(action *policy.Action) {
	switch action.Kind {
	case policy.Send:
		if message, ok := a.Pending[action.MessageID]; ok {
			a.setWaiting(action.MessageID, message, false)
		}
		if _, ok := a.Endpoints[action.Endpoint]; ok {
			a.sentMessages[action.Endpoint]++
		}
	case policy.Reject, policy.Fail:
		a.removeMessage(action.MessageID)
	case policy.RequestQuota:
		if a.quota != nil {
			a.quota.Request(a.Now, a.scopeOf(action.Endpoint), action.Calls)
		}
	}
}

// countOutcome counts the outcome of an attempt or a health check for its endpoint's limit scope.
func (a *Agent) countOutcome(event *policy.Event) {
	if _, ok := a.Endpoints[event.Endpoint]; !ok {
		return
	}
	counter := a.counter(a.scopeOf(event.Endpoint))
	switch event.Outcome {
	case policy.OK:
		counter.Deliveries++
		a.recordOutcome(event.Endpoint, false)
	case policy.Overloaded, policy.UnprovenRejection:
		counter.Rejections++
		a.recordOutcome(event.Endpoint, true)
	case policy.Error, policy.Timeout, policy.ConnectFailed, policy.Reset:
		counter.Failures++
	}
	if event.RetryAfter > 0 {
		counter.RetryAfterUntil = max(counter.RetryAfterUntil, a.Now+event.RetryAfter)
	}
}

// attemptFinished removes the attempt's message if the message has ended, and otherwise adds it to the backlog again.
func (a *Agent) attemptFinished(event *policy.Event) {
	message, ok := a.Pending[event.MessageID]
	if !ok {
		return
	}
	if event.MessageEnded {
		a.removeMessage(event.MessageID)
		return
	}
	a.setWaiting(event.MessageID, message, true)
}

// setWaiting records whether a message waits, and adjusts the backlog of its destination. The backlog is not counted
// by endpoint, because the endpoint that a message will be sent to is not known in advance.
func (a *Agent) setWaiting(id policy.MessageID, message pendingMessage, waiting bool) {
	if message.Waiting == waiting {
		return
	}
	counter := a.counter(quota.Scope{Destination: message.Destination})
	if waiting {
		counter.Backlog++
	} else {
		counter.Backlog = max(0, counter.Backlog-1)
	}
	message.Waiting = waiting
	a.Pending[id] = message
}

func (a *Agent) removeMessage(id policy.MessageID) {
	message, ok := a.Pending[id]
	if !ok {
		return
	}
	a.setWaiting(id, message, false)
	delete(a.Pending, id)
}

func (a *Agent) updateEndpoints(endpoints []policy.Endpoint) {
	for _, endpoint := range endpoints {
		if endpoint.Removed {
			delete(a.Endpoints, endpoint.ID)
			continue
		}
		a.Endpoints[endpoint.ID] = endpointInfo{
			Destination: endpoint.Destination,
			Kind:        endpoint.Kind,
			Limit:       endpoint.Weight,
		}
	}
	limits := a.Limits()
	a.reports.SetLimits(limits)
	if a.quota != nil {
		a.quota.SetLimits(a.Now, limits)
	}
}

// Limits returns the limits of the endpoint list, by destination and endpoint as in loadreport.ScopeLoad.
func (a *Agent) Limits() loadreport.Limits {
	limits := loadreport.Limits{}
	for endpoint, info := range a.Endpoints {
		if info.Limit <= 0 {
			continue
		}
		byEndpoint := limits[info.Destination]
		if byEndpoint == nil {
			byEndpoint = map[string]float64{}
			limits[info.Destination] = byEndpoint
		}
		scope := a.scopeOf(endpoint)
		byEndpoint[scope.Endpoint] = max(byEndpoint[scope.Endpoint], info.Limit)
		if scope.Endpoint != "" {
			// Demand and backlog are reported for the destination instead of the endpoints. The limit of the
			// destination is the sum of the endpoints' limits.
			byEndpoint[""] += info.Limit
		}
	}
	return limits
}

// updateWarmingUp marks the scopes of endpoints that, according to the engine, are warming up or ejected.
func (a *Agent) updateWarmingUp(views []policy.EndpointView) {
	for _, counter := range a.Counters {
		counter.WarmingUp = false
	}
	for _, view := range views {
		if _, ok := a.Endpoints[view.ID]; ok && (view.WarmingUp || view.Ejected) {
			a.counter(a.scopeOf(view.ID)).WarmingUp = true
		}
	}
}
