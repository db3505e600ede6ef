package explain

import (
	"fmt"

	"cherrytrestle.example/cherrytrestle/policy"
)

// causeNames are the texts for the causes that block a message. They are keys in the JSON form.
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

// CauseName returns the text for a cause.
func CauseName(cause policy.BlockCause) string {
	if cause < 0 || int(cause) >= len(causeNames) {
		return fmt.Sprintf("cause %d", int(cause))
	}
	return causeNames[cause]
}

// outcomeNames are the texts for the outcomes of calls. They are keys and values in the JSON form.
var outcomeNames = [...]string{
	policy.OK:            "delivered",
	policy.Error:         "error",
	policy.Overloaded:    "refused",
	policy.Timeout:       "timed out",
	policy.ConnectFailed: "not connected",
	policy.Reset:         "reset",
	policy.Cancelled:     "cancelled",
	policy.NotSent:       "not sent",
}

// OutcomeName returns the text for an outcome.
func OutcomeName(outcome policy.Outcome) string {
	if outcome < 0 || int(outcome) >= len(outcomeNames) {
		return fmt.Sprintf("outcome %d", int(outcome))
	}
	return outcomeNames[outcome]
}
