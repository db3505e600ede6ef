package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	standingEvery = 250 * time.Millisecond
	standingShare = 50 // a look at all routes may take one part in so many of the loop's time
)

// standingState is what the journal holds of the hosts' standing.
type standingState struct {
	kept []endpointhealth.Record
	next time.Time // looked at again then
	due  bool      // a step then is asked for
}

// keepStanding notes in the journal what a restarted relay must know of hosts that are in trouble.
func (r *Relay) keepStanding() {
	now := time.Now()
	if now.Before(r.standing.next) {
		// What this step has learned must not wait for another one, which may be long in coming.
		if !r.standing.due {
			r.standing.due = true
			time.AfterFunc(r.standing.next.Sub(now), func() { r.post(nudge{}) })
		}
		return
	}
	r.standing.due = false
	views, _ := r.sender.Views()
	recs := endpointhealth.FromViews(views, r.now(), r.journal.Stamp(now))
	if endpointhealth.Changed(r.standing.kept, recs) {
		if err := r.journal.SaveEndpointHealth(endpointhealth.Encode(recs)); err != nil {
			r.log.Debug("standing of hosts not kept", "err", err) // a restart knows less; the messages have the room
		} else {
			r.standing.kept = recs
		}
	}
	r.standing.next = now.Add(max(standingEvery, standingShare*time.Since(now)))
}

// bears tells whether a message may run any number of times.
func (r *Relay) bears(m *journal.Message) bool {
	class, known := r.classOf(m)
	return known && class.Effect == policy.Idempotent
}

// unreadable ends a message whose body the disk no longer gives.
func (r *Relay) unreadable(m *message, err error) {
	r.log.Error("a message's body cannot be read: it is given up", "trace", m.TraceID, "err", err)
	if m.ended {
		return
	}
	r.done(m)
	final := journal.FinalAnswer{}
	r.count(m.Message, finalEnd(final))
	r.journal.RecordFinal(m.Message, final)
	r.notify(m)
	// The module has booked an attempt that never leaves.
	r.later = append(
		r.later,
		policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID},
		policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    m.ID,
			Attempt:      m.sends,
			Outcome:      policy.NotSent,
			MessageEnded: true,
		},
	)
	time.AfterFunc(r.cfg.Tick, func() { r.post(nudge{}) })
}
