package emulate

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The statuses that a client hears.
const (
	statusAccepted    = 202
	statusError       = 500
	statusUnavailable = 503
)

const (
	reconnectDelay = 50 * time.Millisecond  // after a connection that did not come up
	retryDelay     = 100 * time.Millisecond // after an answer that did not come
	maxRejections  = 1                      // after which a client comes again
	maxUnanswered  = 1
)

// try is one hand-in of a client.
type submission struct {
	scenario.Arrival
	world      *World
	message    *clientMessage
	firstID    string
	deadline   time.Duration
	retries    int
	rejections int
	unanswered int
	ended      bool // answered, or broken off
}

// Offer has a client hand a message in, and come again as clients do. The relay and the class are counted from 0.
func (w *World) Submit(a scenario.Arrival) {
	a.Relay %= len(w.relays)
	x := &clientMessage{submittedAt: w.Now(), class: a.Class, customer: a.Customer, destination: a.Destination, overShare: w.shares.Exceeded(a.Customer, w.Now())}
	w.recordSubmission(x)
	if w.options.OnSubmission != nil {
		w.options.OnSubmission(a.Relay, a.Destination)
	}
	if a.ID == "" && w.options.Record {
		w.lastMessageNumber++
		a.ID = fmt.Sprintf("m%d", w.lastMessageNumber)
	}
	t := &submission{Arrival: a, world: w, message: x, firstID: a.ID, deadline: w.Now() + w.plan.File.Classes[a.Class].Deadline.AsDuration()}
	t.send()
}

// next is the client's next try, unless its time is up.
func (t *submission) retry() {
	if t.world.Now() >= t.deadline {
		return
	}
	again := *t
	again.retries, again.ended = t.retries+1, false
	if t.world.options.Record {
		again.ID = fmt.Sprintf("%s-%d", t.firstID, again.retries)
	}
	again.send()
}

// offer hands the message in.
func (t *submission) send() {
	w := t.world
	r := w.relays[t.Relay]
	w.record(eventlog.Event{
		Kind: eventlog.MessageSubmitted, ID: t.ID, FirstID: t.firstID, Relay: r.name, Class: t.Class, Customer: t.Customer, Destination: t.Destination, OrderingKey: t.OrderingKey,
		Duration: t.deadline - w.Now(),
	})
	if !r.accepting {
		w.Unanswered++
		w.record(eventlog.Event{Kind: eventlog.SubmissionUnanswered, ID: t.ID, Relay: r.name, Cause: eventlog.CauseNotSent})
		r.waitingClients = append(r.waitingClients, t)
		return
	}
	life := r.process
	w.ScheduleAfter(w.options.Latency, func() {
		if r.process != life || !r.running {
			t.connectionClosed(r)
			return
		}
		r.submissions = append(r.submissions, &pendingSubmission{submission: t})
		r.scheduleStep()
	})
}

// broken is the end of a connection whose request was written, with no answer: it may have been taken on.
func (t *submission) connectionClosed(r *relay) {
	w := t.world
	if t.ended {
		return
	}
	t.ended = true
	w.Unanswered++
	w.record(eventlog.Event{Kind: eventlog.SubmissionUnanswered, ID: t.ID, Relay: r.name, Cause: eventlog.CauseClosed})
	if t.unanswered++; t.unanswered > maxUnanswered || w.settings.Classes[t.Class].Effect == policy.NonIdempotent {
		return
	}
	w.ScheduleAfter(retryDelay, t.retry)
}

// answer is what the relay tells the client.
func (t *submission) answer(r *relay, status int, advice time.Duration) {
	t.ended = true
	w := t.world
	w.ScheduleAfter(w.options.Latency, func() {
		w.record(eventlog.Event{Kind: eventlog.SubmissionAnswered, ID: t.ID, Relay: r.name, Status: status, RetryAfter: advice})
		switch status {
		case statusError:
			w.Failed++
		case statusUnavailable:
			w.Rejected++
			if t.rejections++; t.rejections > maxRejections || t.RetryDelay == 0 {
				return
			}
			w.ScheduleAfter(max(t.RetryDelay, min(advice, w.plan.File.Settings.MaxRetryAfter.AsDuration())), t.retry)
		}
	})
}
