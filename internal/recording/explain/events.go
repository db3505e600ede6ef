package explain

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

func (b *builder) event(now time.Duration, event *policy.Event) {
	switch event.Kind {
	case policy.MessageAccepted:
		b.messageAccepted(now, event)
	case policy.AttemptFinished:
		b.attemptFinished(now, event)
	case policy.MessageCancelled:
		endMessage(b.report.Messages[event.MessageID], now, "withdrawn")
	}
}

func (b *builder) messageAccepted(now time.Duration, event *policy.Event) {
	b.destinationOf[event.MessageID] = event.Destination
	if b.report.inRange(now) {
		b.destination(event.Destination).Accepted++
	}
	if b.options.Messages {
		message := &Message{
			ID:          event.MessageID,
			Trace:       b.traces[event.MessageID],
			Destination: event.Destination,
			Class:       event.Class,
			AcceptedAt:  now,
			TimeLeft:    event.TimeLeft,
			Recovered:   event.Recovered != nil,
		}
		if message.Recovered {
			message.EarlierAttempts = event.Recovered.Attempts
		}
		b.report.Messages[event.MessageID] = message
	}
	delete(b.traces, event.MessageID)
}

func (b *builder) attemptFinished(now time.Duration, event *policy.Event) {
	b.addOutcome(event)
	if b.report.inRange(now) {
		if id, known := b.destinationOf[event.MessageID]; known {
			b.destination(id).Calls[event.Outcome]++
		}
		if endpoint := b.endpoints[event.Endpoint]; endpoint != nil {
			endpoint.outcomeSeries(event.Outcome)[b.report.bin(now)]++
		}
	}
	message := b.report.Messages[event.MessageID]
	if message == nil {
		return
	}
	for i := range message.Attempts {
		attempt := &message.Attempts[i]
		if attempt.Number == event.Attempt && attempt.EndedAt == 0 {
			attempt.EndedAt = now
			attempt.Outcome = event.Outcome
			attempt.Latency = event.Latency
			attempt.RetryAfter = event.RetryAfter
		}
	}
	if !event.MessageEnded {
		return
	}
	end := "delivered"
	if event.Outcome != policy.OK {
		end = "over: " + OutcomeName(event.Outcome)
	}
	endMessage(message, now, end)
}

// addOutcome adds an outcome to the text of its endpoint's outcomes in this step, unless the text consists of this
// outcome already. The text is reported with the endpoint's transitions in this step.
func (b *builder) addOutcome(event *policy.Event) {
	text := OutcomeName(event.Outcome)
	if event.RetryAfter > 0 {
		text += fmt.Sprintf(", wait %v", event.RetryAfter)
	}
	if earlier := b.outcomes[event.Endpoint]; earlier != "" && earlier != text {
		text = earlier + "; " + text
	}
	b.outcomes[event.Endpoint] = text
}

// endMessage records the end of a message and reports whether it did. It ignores a message that has ended before, and
// nil, which means that the message's history is not kept.
func endMessage(message *Message, now time.Duration, end string) bool {
	if message == nil || message.ended() {
		return false
	}
	message.EndedAt = now
	message.End = end
	return true
}

func (b *builder) action(now time.Duration, action *policy.Action) {
	switch action.Kind {
	case policy.Send:
		b.messageSent(now, action)
	case policy.Reject:
		if destination := b.countingDestination(now, action); destination != nil {
			destination.Rejected++
		}
		b.endUndelivered(now, action, "refused")
	case policy.Fail:
		if destination := b.countingDestination(now, action); destination != nil {
			destination.Failed++
		}
		b.endUndelivered(now, action, "failed")
	}
}

// countingDestination returns the destination whose counts include an action, or nil if the message's destination is
// unknown or the time is outside the report's interval.
func (b *builder) countingDestination(now time.Duration, action *policy.Action) *Destination {
	id, known := b.destinationOf[action.MessageID]
	if !known || !b.report.inRange(now) {
		return nil
	}
	return b.destination(id)
}

func (b *builder) messageSent(now time.Duration, action *policy.Action) {
	if destination := b.countingDestination(now, action); destination != nil {
		destination.Sent++
	}
	if endpoint := b.endpoints[action.Endpoint]; endpoint != nil && b.report.inRange(now) {
		endpoint.Sent[b.report.bin(now)]++
	}
	if message := b.report.Messages[action.MessageID]; message != nil {
		message.Attempts = append(message.Attempts, Attempt{
			Number:    message.EarlierAttempts + len(message.Attempts),
			Endpoint:  action.Endpoint,
			SentAt:    now,
			TimeoutAt: action.TimeoutAt,
		})
	}
}

// endUndelivered records the final answer of a message that was not delivered.
func (b *builder) endUndelivered(now time.Duration, action *policy.Action, end string) {
	message := b.report.Messages[action.MessageID]
	if endMessage(message, now, end) {
		message.RetryAfter = action.Delay
	}
}
