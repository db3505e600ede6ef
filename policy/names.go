package policy

import "fmt"

// The names of the enumeration values, for logs and test output. Stored data does not contain them.
var (
	outcomeNames = [...]string{
		OK:            "ok",
		Error:         "error",
		Overloaded:    "overloaded",
		Timeout:       "timeout",
		ConnectFailed: "connect failed",
		Reset:         "reset",
		Cancelled:     "cancelled",
		NotSent:       "not sent",

		UnprovenRejection: "unproven rejection",
	}
	eventKindNames = [...]string{
		MessageAccepted:  "message accepted",
		AttemptFinished:  "attempt finished",
		MessageCancelled: "message cancelled",
		EndpointSnapshot: "endpoint snapshot",
		EndpointDelta:    "endpoint delta",
		WatchFailed:      "watch failed",
		TimerFired:       "timer fired",
		HealthChecked:    "health checked",
		QuotaGranted:     "quota granted",
	}
	actionKindNames = [...]string{
		Send:           "send",
		Reject:         "reject",
		Fail:           "fail",
		SetTimer:       "set timer",
		CloseIdle:      "close idle",
		WatchEndpoints: "watch endpoints",
		RequestQuota:   "request quota",
	}
	effectNames = [...]string{
		Idempotent:      "idempotent",
		IdempotentByKey: "idempotent by key",
		NonIdempotent:   "non-idempotent",
	}
	blockCauseNames = [...]string{
		NotBlocked:        "not blocked",
		AttemptsExhausted: "attempts exhausted",
		EndpointDraining:  "endpoint draining",
		WaitingForKey:     "waiting for key",
		WrongDedupZone:    "wrong dedup zone",
		InsufficientTime:  "insufficient time",
		TrialInFlight:     "trial in flight",
		EndpointSaturated: "endpoint saturated",
		OrderingPause:     "ordering pause",
		RetryAfterPending: "retry-after pending",
		EndpointEjected:   "endpoint ejected",
		WarmUpBudget:      "warm-up budget",
		Paced:             "paced",
		ConcurrencyLimit:  "concurrency limit",
		NoEndpoint:        "no endpoint",
	}
)

// String returns the outcome's name.
func (outcome Outcome) String() string { return nameOf(outcomeNames[:], "outcome", int(outcome)) }

// String returns the kind's name.
func (kind EventKind) String() string { return nameOf(eventKindNames[:], "event", int(kind)) }

// String returns the kind's name.
func (kind ActionKind) String() string { return nameOf(actionKindNames[:], "action", int(kind)) }

// String returns the effect's name.
func (effect Effect) String() string { return nameOf(effectNames[:], "effect", int(effect)) }

// String returns the cause's name.
func (cause BlockCause) String() string { return nameOf(blockCauseNames[:], "cause", int(cause)) }

// nameOf returns the name of an enumeration value, or the enumeration and the number if the value has no name.
func nameOf(names []string, enumeration string, value int) string {
	if value < 0 || value >= len(names) {
		return fmt.Sprintf("%s(%d)", enumeration, value)
	}
	return names[value]
}
