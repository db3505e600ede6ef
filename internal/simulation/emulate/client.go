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
	statusTaken   = 202
	statusFailed  = 500
	statusRefused = 503
)

const (
	againAfter   = 50 * time.Millisecond  // after a connection that did not come up
	anewAfter    = 100 * time.Millisecond // after an answer that did not come
	refusalsMost = 1                      // after which a client comes again
	unheardMost  = 1
)

// try is one hand-in of a client.
type try struct {
	scenario.Arrival
	w          *World
	ask        *ask
	origin     string
	deadline   time.Duration
	n          int
	refusals   int
	unanswered int
	over       bool // answered, or broken off
}

// Offer has a client hand a message in, and come again as clients do. The relay and the class are counted from 0.
func (w *World) Submit(a scenario.Arrival) {
	a.Relay %= len(w.relays)
	x := &ask{at: w.Now(), class: a.Class, cust: a.Customer, dest: a.Destination, over: w.shares.Exceeded(a.Customer, w.Now())}
	w.asked(x)
	if w.opts.OnSubmission != nil {
		w.opts.OnSubmission(a.Relay, a.Destination)
	}
	if a.ID == "" && w.opts.Record {
		w.ids++
		a.ID = fmt.Sprintf("m%d", w.ids)
	}
	t := &try{Arrival: a, w: w, ask: x, origin: a.ID, deadline: w.Now() + w.plan.File.Classes[a.Class].Deadline.AsDuration()}
	t.offer()
}

// next is the client's next try, unless its time is up.
func (t *try) next() {
	if t.w.Now() >= t.deadline {
		return
	}
	again := *t
	again.n, again.over = t.n+1, false
	if t.w.opts.Record {
		again.ID = fmt.Sprintf("%s-%d", t.origin, again.n)
	}
	again.offer()
}

// offer hands the message in.
func (t *try) offer() {
	w := t.w
	r := w.relays[t.Relay]
	w.see(eventlog.Event{
		Kind: eventlog.MessageSubmitted, ID: t.ID, FirstID: t.origin, Relay: r.name, Class: t.Class, Customer: t.Customer, Destination: t.Destination, OrderingKey: t.OrderingKey,
		For: t.deadline - w.Now(),
	})
	if !r.takes {
		w.Unanswered++
		w.see(eventlog.Event{Kind: eventlog.SubmissionUnanswered, ID: t.ID, Relay: r.name, Cause: eventlog.CauseNotSent})
		r.waiting = append(r.waiting, t)
		return
	}
	life := r.life
	w.ScheduleAfter(w.opts.Latency, func() {
		if r.life != life || !r.up {
			t.broken(r)
			return
		}
		r.ins = append(r.ins, &handIn{t: t})
		r.plan()
	})
}

// broken is the end of a connection whose request was written, with no answer: it may have been taken on.
func (t *try) broken(r *relay) {
	w := t.w
	if t.over {
		return
	}
	t.over = true
	w.Unanswered++
	w.see(eventlog.Event{Kind: eventlog.SubmissionUnanswered, ID: t.ID, Relay: r.name, Cause: eventlog.CauseClosed})
	if t.unanswered++; t.unanswered > unheardMost || w.set.Classes[t.Class].Effect == policy.NonIdempotent {
		return
	}
	w.ScheduleAfter(anewAfter, t.next)
}

// answer is what the relay tells the client.
func (t *try) answer(r *relay, status int, advice time.Duration) {
	t.over = true
	w := t.w
	w.ScheduleAfter(w.opts.Latency, func() {
		w.see(eventlog.Event{Kind: eventlog.SubmissionAnswered, ID: t.ID, Relay: r.name, Status: status, RetryAfter: advice})
		switch status {
		case statusFailed:
			w.Failed++
		case statusRefused:
			w.Rejected++
			if t.refusals++; t.refusals > refusalsMost || t.RetryDelay == 0 {
				return
			}
			w.ScheduleAfter(max(t.RetryDelay, min(advice, w.plan.File.Settings.MaxRetryAfter.AsDuration())), t.next)
		}
	})
}
