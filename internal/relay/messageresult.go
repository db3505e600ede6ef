package relay

import "cherrytrestle.example/cherrytrestle/internal/state/journal"

// messageResult is how a message has ended. It decides the answer to another submission under the same id.
type messageResult int

const (
	resultPending   messageResult = iota // it has not ended: the policy still decides on it
	resultCancelled                      // nobody waits for it: its client left, or had a rejection as its answer
	resultDelivered
	resultFailed // it has a final answer: journal.Message.Final
)

// String returns the result as it appears in logs.
func (result messageResult) String() string {
	switch result {
	case resultCancelled:
		return "cancelled"
	case resultDelivered:
		return "delivered"
	case resultFailed:
		return "failed"
	case resultPending:
	}
	return "pending"
}

// recordedResult returns the result of a message as far as the journal has it.
func recordedResult(record *journal.Message) messageResult {
	switch {
	case record.Delivered:
		return resultDelivered
	case record.Cancelled:
		return resultCancelled
	case record.Final != nil:
		return resultFailed
	}
	return resultPending
}

// completed reports whether a message has its result: the policy takes no more decisions on it.
func (m *message) completed() bool { return m.result != resultPending }

// markCompleted records the result of a message, so that it no longer counts as pending. Its attempts in calls that
// wait for memory are withdrawn. The first result stays, unless the message turns out to be delivered later.
func (r *Relay) markCompleted(m *message, result messageResult) {
	r.withdrawWaitingAttempts(m)
	if !m.completed() {
		r.pending--
		m.result = result
	}
	if result == resultDelivered {
		m.result = resultDelivered
	}
}
