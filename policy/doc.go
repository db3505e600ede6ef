// Package policy decides for one relay which endpoint each message is sent to, when it is retried, and when it is
// delayed, rejected or failed.
//
// An Engine is a pure state machine. Step takes the events that were observed up to a time and returns the actions
// to take, in order. The Engine reads no clock, does no input or output, and draws its random numbers from one
// seeded generator. Equal settings, seeds and events give equal actions, which makes recordings replayable.
//
// Selection is tiered: a message tries the endpoints of its destination in a fixed order. When an attempt fails,
// the first failure rule that matches the outcome decides how the Engine responds. Some rules eject the endpoint:
// messages skip it until its ejection expires. (The paper that describes this selector calls an ejection a "skip".)
// An endpoint that may be in an outage, or is recovering from one, is warming up: it gets calls from a small
// recovery budget only, so that the fleet as a whole does not overload it. Endpoints that share a rate limit, a
// Retry-After time and their health form a limit scope. A token bucket paces the calls to each limit scope. Its
// rate is halved by a rejection and grows with successes.
//
// The files are divided by concern. State and its maintenance: scope.go, endpoints.go, emptylist.go, call.go,
// message.go, queue.go. Decisions about a message: admission.go, ordering.go, selection.go, dispatch.go, retry.go,
// deadline.go, restart.go. Decisions about an endpoint or a scope: outcome.go, ejection.go, connect.go,
// suspicion.go, slowstart.go, latency.go, capacity.go, traffic.go, pacing.go, fleetpacing.go, quota.go. Recordings
// and explanations: snapshot.go, inspect.go, names.go, revision.go. Destinations that a caller may evict:
// eviction.go.
package policy
