package emulate

import (
	"fmt"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The clients behave like the clients of rehearsals with real processes.
const (
	// reconnectDelay is the time from when a relay listens again until clients that could not connect submit again.
	reconnectDelay = 50 * time.Millisecond
	// resubmitDelay is the time from when a connection closes without an answer until the client submits again.
	resubmitDelay = 100 * time.Millisecond
	// maxRejections is how many rejected submissions a client retries, per message.
	maxRejections = 1
	// maxUnanswered is how many submissions without an answer a client retries, per message.
	maxUnanswered = 1
)

// clientMessage is a message of a client, with the state that its submissions share.
type clientMessage struct {
	submittedAt time.Duration // time of the first submission
	class       int
	customer    int
	destination int
	overShare   bool // the first submission exceeded the customer's share
	delivered   bool
}

// submission is one request of a client with a message.
type submission struct {
	scenario.Arrival
	world      *World
	message    *clientMessage
	firstID    string
	deadline   time.Duration
	retries    int  // submissions of the message before this one
	rejections int  // rejected submissions of the message so far, this one included
	unanswered int  // submissions whose connection closed without an answer, this one included
	ended      bool // this submission was answered, or its connection closed
}

// Submit has a client submit a message, with retries as the client makes them. Relays and classes are counted from 0.
func (w *World) Submit(a scenario.Arrival) {
	a.Relay %= len(w.relays)
	message := &clientMessage{
		submittedAt: w.Now(),
		class:       a.Class,
		customer:    a.Customer,
		destination: a.Destination,
		overShare:   w.shares.Exceeded(a.Customer, w.Now()),
	}
	w.countSubmission(message)
	if w.options.OnSubmission != nil {
		w.options.OnSubmission(a.Relay, a.Destination)
	}
	if a.ID == "" && w.options.Record {
		w.lastMessageNumber++
		a.ID = fmt.Sprintf("m%d", w.lastMessageNumber)
	}
	s := &submission{
		Arrival:  a,
		world:    w,
		message:  message,
		firstID:  a.ID,
		deadline: w.Now() + w.plan.File.Classes[a.Class].Deadline.AsDuration(),
	}
	s.send()
}

// resubmit submits the message again, unless its deadline has passed.
func (s *submission) resubmit() {
	if s.world.Now() >= s.deadline {
		return
	}
	next := *s
	next.retries++
	next.ended = false
	if s.world.options.Record {
		next.ID = fmt.Sprintf("%s-%d", s.firstID, next.retries)
	}
	next.send()
}

// send sends the request to the relay. If the relay does not listen, the client waits until it does.
func (s *submission) send() {
	w := s.world
	r := w.relays[s.Relay]
	w.record(eventlog.Event{
		Kind:        eventlog.MessageSubmitted,
		ID:          s.ID,
		FirstID:     s.firstID,
		Relay:       r.name,
		Class:       s.Class,
		Customer:    s.Customer,
		Destination: s.Destination,
		OrderingKey: s.OrderingKey,
		Duration:    s.deadline - w.Now(),
	})
	if !r.accepting {
		s.recordUnanswered(r, eventlog.CauseNotSent)
		r.waitingClients = append(r.waitingClients, s)
		return
	}
	process := r.process
	w.ScheduleAfter(w.options.Latency, func() {
		if r.process != process || !r.running {
			s.connectionClosed(r)
			return
		}
		r.receivedSubmissions = append(r.receivedSubmissions, &receivedSubmission{submission: s})
		r.scheduleStep()
	})
}

// connectionClosed ends a submission that was sent and got no answer. The relay may have accepted the message.
func (s *submission) connectionClosed(r *relay) {
	if s.ended {
		return
	}
	s.ended = true
	s.recordUnanswered(r, eventlog.CauseClosed)
	s.unanswered++
	if s.unanswered > maxUnanswered || s.world.settings.Classes[s.Class].Effect == policy.NonIdempotent {
		return
	}
	s.world.ScheduleAfter(resubmitDelay, s.resubmit)
}

func (s *submission) recordUnanswered(r *relay, cause string) {
	s.world.Unanswered++
	s.world.record(eventlog.Event{Kind: eventlog.SubmissionUnanswered, ID: s.ID, Relay: r.name, Cause: cause})
}

// answer sends the relay's answer to the client: an HTTP status, and a Retry-After header if retryAfter is above 0.
func (s *submission) answer(r *relay, status int, retryAfter time.Duration) {
	s.ended = true
	s.world.ScheduleAfter(s.world.options.Latency, func() {
		s.world.record(eventlog.Event{
			Kind:       eventlog.SubmissionAnswered,
			ID:         s.ID,
			Relay:      r.name,
			Status:     status,
			RetryAfter: retryAfter,
		})
		switch status {
		case http.StatusInternalServerError:
			s.world.Failed++
		case http.StatusServiceUnavailable:
			s.rejected(retryAfter)
		}
	})
}

// rejected handles a rejection. A client that retries waits for its own delay or for the Retry-After, whichever is
// longer. The Retry-After counts only up to the MaxRetryAfter setting.
func (s *submission) rejected(retryAfter time.Duration) {
	s.world.Rejected++
	s.rejections++
	if s.rejections > maxRejections || s.RetryDelay == 0 {
		return
	}
	maxRetryAfter := s.world.plan.File.Settings.MaxRetryAfter.AsDuration()
	s.world.ScheduleAfter(max(s.RetryDelay, min(retryAfter, maxRetryAfter)), s.resubmit)
}
