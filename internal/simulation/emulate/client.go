package emulate

import (
	"fmt"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The clients behave like those of the rehearsals.
const (
	// reconnectDelay is from the start of a relay to the submissions of clients that could not connect before.
	reconnectDelay = 50 * time.Millisecond
	// resubmitDelay is from a lost answer to the next submission.
	resubmitDelay = 100 * time.Millisecond
	// maxRejections is after how many rejections a client submits once more.
	maxRejections = 1
	// maxUnanswered is after how many lost answers a client submits once more.
	maxUnanswered = 1
)

// clientMessage is a message of a client, over all its submissions.
type clientMessage struct {
	submittedAt time.Duration // for the first time
	class       int
	customer    int
	destination int
	overShare   bool // its customer exceeded its share then
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
	rejections int  // of them and this one
	unanswered int  // likewise
	ended      bool // answered, or its connection closed
}

// Submit has a client submit a message, and again as clients do. Relays and classes are counted from 0.
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

// answer is the relay's answer to the client: an HTTP status, and a Retry-After if it is above 0.
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

// rejected takes a rejection: clients that retry submit again after their own delay or the Retry-After.
func (s *submission) rejected(retryAfter time.Duration) {
	s.world.Rejected++
	s.rejections++
	if s.rejections > maxRejections || s.RetryDelay == 0 {
		return
	}
	maxRetryAfter := s.world.plan.File.Settings.MaxRetryAfter.AsDuration()
	s.world.ScheduleAfter(max(s.RetryDelay, min(retryAfter, maxRetryAfter)), s.resubmit)
}
