package emulate

import (
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// message is a message that a relay accepted. Its fields are in the relay's journal, unless their comments say
// otherwise.
type message struct {
	id              policy.MessageID
	clientID        string // ID of the submission
	origin          *clientMessage
	class           int
	customer        int
	destination     policy.DestinationID
	orderingKey     string
	deadline        time.Duration // in virtual time
	journalDeadline int64         // on the journal's timeline
	attemptCount    int
	mayHaveRun      []attemptRecord
	final           *finalDecision // nil: none yet
	released        bool           // the client got the final answer; kept because attempts may have run

	receivedCalls int // calls with the message that reached an endpoint; only the endpoints use the count

	openAttempts int  // attempts without an outcome; not in the journal
	ended        bool // the engine has ended the message; not in the journal, where final is set or the message is gone
}

// attemptRecord is the journal's record of an attempt that may have run.
type attemptRecord struct {
	number    int
	zone      int
	startedAt int64 // on the journal's timeline
	epoch     int64 // epoch of the timeline at startedAt
}

// finalDecision is how a message ended that was not delivered.
type finalDecision struct {
	deferred   bool // the client is to submit the message again; false: the message failed
	retryAfter time.Duration
}

// accept journals the messages of submissions, and returns the accepted submissions. A submission that exceeds the
// limit on pending messages is rejected.
func (r *relay) accept(received []*receivedSubmission) (accepted []*receivedSubmission) {
	for _, in := range received {
		s := in.submission
		if r.settings.MaxPendingMessages > 0 && r.pendingCount >= r.settings.MaxPendingMessages {
			s.answer(r, http.StatusServiceUnavailable, policy.MinRetryAfter)
			continue
		}
		r.lastMessageID++
		m := &message{
			id:              r.lastMessageID,
			clientID:        s.ID,
			origin:          s.message,
			class:           s.Class,
			customer:        s.Customer,
			destination:     policy.DestinationID(s.Destination),
			orderingKey:     s.OrderingKey,
			deadline:        s.deadline,
			journalDeadline: r.clocks.stamp(s.deadline),
		}
		in.message = m
		r.messages[m.id] = m
		if r.journal.undoable {
			r.journal.written(func() { delete(r.messages, m.id) })
		}
		r.pendingCount++
		accepted = append(accepted, in)
	}
	return accepted
}

// acceptedEvent returns the event that passes a message to the engine.
func (r *relay) acceptedEvent(m *message) policy.Event {
	return policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   m.id,
		Key:         m.orderingKey,
		Class:       m.class,
		Tenant:      m.customer,
		Destination: m.destination,
		TimeLeft:    r.timeLeft(m),
	}
}

// timeLeft returns the time until a message's deadline, as far as the process can determine it from the journal: at
// most the deadline of the message's class.
func (r *relay) timeLeft(m *message) time.Duration {
	left := r.clocks.time(m.journalDeadline) - r.world.Now()
	if m.class >= 0 && m.class < len(r.settings.Classes) {
		left = min(left, r.settings.Classes[m.class].Deadline)
	}
	return left
}

// endMessage marks a message as ended by the engine. The message is then no longer pending.
func (r *relay) endMessage(m *message) {
	if !m.ended {
		m.ended = true
		r.pendingCount--
	}
}

// releaseMessage removes a message whose client got the final answer. A message that may have run is kept until its
// deadline.
func (r *relay) releaseMessage(m *message) {
	if len(m.mayHaveRun) == 0 {
		r.removeMessage(m)
		return
	}
	m.released = true
	r.world.ScheduleAfter(max(0, r.timeLeft(m)), func() { delete(r.messages, m.id) })
}

// removeMessage removes a message from the journal.
func (r *relay) removeMessage(m *message) {
	if r.messages[m.id] != m {
		return
	}
	delete(r.messages, m.id)
	if r.journal.undoable {
		r.journal.written(func() { r.messages[m.id] = m })
	}
}

// notify sends the platform a notice of a message's final decision. The message is removed when the platform
// acknowledges the notice.
func (r *relay) notify(m *message) {
	if m.final.deferred {
		r.world.Deferred++
	} else {
		r.world.Failed++
	}
	latency := r.world.options.Latency
	r.schedule(latency, func() {
		if r.mutant.dropsNotice(m.id) {
			return
		}
		state := eventlog.StateUndeliverable
		if m.final.deferred {
			state = eventlog.StateDeferred
		}
		r.world.record(eventlog.Event{
			Kind:       eventlog.MessageNotice,
			Relay:      r.name,
			ID:         m.clientID,
			State:      state,
			RetryAfter: m.final.retryAfter,
		})
		r.schedule(latency, func() { r.removeMessage(m) })
	})
}

// attemptStarted journals an attempt of a call. From now on the attempt may have run.
func (r *relay) attemptStarted(c *call, a *attempt) {
	m := a.message
	m.mayHaveRun = append(m.mayHaveRun, attemptRecord{
		number:    a.number,
		zone:      c.endpoint.zone,
		startedAt: r.clocks.stamp(r.world.Now()),
		epoch:     r.clocks.timeline.Epoch,
	})
	if r.journal.undoable {
		r.journal.written(func() {
			m.attemptNeverRan(a.number)
			m.attemptCount--
		})
	}
}

// attemptNeverRan removes an attempt from those that may have run.
func (m *message) attemptNeverRan(number int) {
	m.mayHaveRun = slices.DeleteFunc(m.mayHaveRun, func(a attemptRecord) bool { return a.number == number })
}
