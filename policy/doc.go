// Package policy decides for one relay which endpoint each message is sent to, when it is retried, and when it is
// delayed, rejected or failed.
//
// An Engine is a pure state machine. Step takes the events that were observed up to a time and returns the actions to
// take, in order. It reads no clock and does no input or output, and its random numbers come from one seeded generator:
// equal settings, seeds and events give equal actions, which makes recordings replayable.
//
// Selection is tiered. A message tries the endpoints of its destination in a fixed order. The first failure rule that
// matches an outcome decides what follows, and an endpoint that fails is ejected: later messages pass it by until its
// ejection expires. (The paper that describes this selector calls an ejection a "skip".) An endpoint that may be in an
// outage, or is coming back from one, is warming up and takes calls from a small recovery budget only, so that the
// fleet as a whole does not overload it. Endpoints that share a rate limit, a Retry-After time and their health form a
// limit scope, which is paced by a token bucket: its rate falls by half with a rejection and grows with successes.
//
// Files follow the concerns. Records and their upkeep: scope.go, endpoints.go, emptylist.go, call.go, message.go,
// queue.go. Decisions about a message: admission.go, ordering.go, selection.go, dispatch.go, retry.go, deadline.go,
// restart.go. Decisions about an endpoint or a scope: outcome.go, ejection.go, connect.go, suspicion.go, slowstart.go,
// latency.go, capacity.go, traffic.go, pacing.go, fleetpacing.go, quota.go. For recordings and explanations:
// snapshot.go, inspect.go, names.go, revision.go. Which destinations a caller may forget: eviction.go.
package policy
