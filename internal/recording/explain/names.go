package explain

import (
	"fmt"

	"cherrytrestle.example/cherrytrestle/policy"
)

// causeNames are the names of the causes that block a message. They are keys and values in the JSON form.
var causeNames = [...]string{
	policy.NotBlocked:        "its turn in the queue",
	policy.AttemptsExhausted: "no attempt or time left",
	policy.EndpointDraining:  "no route in service",
	policy.WaitingForKey:     "an earlier message of its key",
	policy.WrongDedupZone:    "a repeat is bound to another zone",
	policy.InsufficientTime:  "no time left for an answer",
	policy.TrialInFlight:     "a trial call is out",
	policy.EndpointSaturated: "too many calls out or overdue",
	policy.OrderingPause:     "its key rests",
	policy.RetryAfterPending: "told to wait",
	policy.EndpointEjected:   "skipped",
	policy.WarmUpBudget:      "recovery budget",
	policy.Paced:             "pace",
	policy.ConcurrencyLimit:  "no slot free",
	policy.NoEndpoint:        "no route listed",
}

// CauseName returns the name of a cause in reports.
func CauseName(cause policy.BlockCause) string {
	if cause < 0 || int(cause) >= len(causeNames) {
		return fmt.Sprintf("cause %d", int(cause))
	}
	return causeNames[cause]
}

// outcomeNames are the names of the outcomes of attempts. They are keys and values in the JSON form.
var outcomeNames = [...]string{
	policy.OK:            "delivered",
	policy.Error:         "error",
	policy.Overloaded:    "refused",
	policy.Timeout:       "timed out",
	policy.ConnectFailed: "not connected",
	policy.Reset:         "reset",
	policy.Cancelled:     "cancelled",
	policy.NotSent:       "not sent",

	policy.UnprovenRejection: "refused, may have run",
}

// OutcomeName returns the name of an outcome in reports.
func OutcomeName(outcome policy.Outcome) string {
	if outcome < 0 || int(outcome) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(outcome))
	}
	return outcomeNames[outcome]
}
