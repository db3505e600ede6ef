package egress

import (
	"encoding/json"

	"cherrytrestle.example/cherrytrestle/policy"
)

// States of a message in the response to a batch.
const (
	stateOK        = "ok"
	stateError     = "error"     // it may have run
	stateLater     = "later"     // it never ran
	stateGone      = "gone"      // it never ran and needs no further attempts
	stateExhausted = "exhausted" // it never ran, because it had all its attempts
)

// batchState is the end of a message in the response to a batch.
type batchState struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// parseBatchStates returns the states in the response to a batch, in their order. It skips unreadable items.
func parseBatchStates(body []byte) []batchState {
	var items []json.RawMessage
	if json.Unmarshal(body, &items) != nil {
		return nil
	}
	states := make([]batchState, 0, len(items))
	for _, text := range items {
		var item batchState
		if json.Unmarshal(text, &item) == nil {
			states = append(states, item)
		}
	}
	return states
}

// namesMessages reports whether states name each message of a call once and no other message.
func namesMessages(states []batchState, call *Call) bool {
	if len(states) != len(call.Attempts) {
		return false
	}
	named := make(map[string]bool, len(states))
	for _, s := range states {
		named[s.ID] = true
	}
	for _, a := range call.Attempts {
		if !named[a.TraceID] {
			return false
		}
	}
	return true
}

// batchResults returns the result of each message of a batch. common holds the fields that all results share. A
// message may have run, so that its outcome is policy.Error, if its state is missing, unknown or contradictory.
func batchResults(call *Call, common Result, states []batchState) []Result {
	common.Outcome = policy.Error
	results := sameResults(call, common)
	for i, a := range call.Attempts {
		results[i].Outcome, results[i].MessageEnded = stateOutcome(stateOf(states, a.TraceID))
	}
	return results
}

// stateOf returns the state of a message, or "" if the states do not name it or contradict each other.
func stateOf(states []batchState, id string) string {
	state := ""
	for _, s := range states {
		switch {
		case s.ID != id:
		case state == "":
			state = s.State
		case state != s.State:
			return ""
		}
	}
	return state
}

// stateOutcome returns the outcome for a state, and whether the message needs no further attempts.
func stateOutcome(state string) (outcome policy.Outcome, messageEnded bool) {
	switch state {
	case stateOK:
		return policy.OK, false
	case stateLater:
		return policy.Overloaded, false
	case stateGone:
		return policy.NotSent, true
	case stateExhausted:
		return policy.NotSent, false
	}
	return policy.Error, false // stateError or an unknown state: it may have run
}
