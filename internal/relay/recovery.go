package relay

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recoverState hands the module the known list and what an earlier process left, in one step.
func (r *Relay) recoverState() {
	found := r.recovery
	r.recovery = nil
	var evs []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		evs = append(evs, r.applyList(known)...)
	}
	evs = append(
		evs,
		endpointhealth.Events(
			endpointhealth.Decode(found.EndpointHealth),
			r.journal.Stamp(time.Now()),
			r.activeConfig.Settings.WarmUpDuration,
		)...)
	for _, w := range found.Messages {
		if w.ClassName != "" {
			// the module takes one that is not named for the strictest
			w.Class = slices.Index(r.activeConfig.ClassNames, w.ClassName)
		}
		m := &message{Message: w, attemptsStarted: w.Attempts}
		if w.Uncertain && r.isIdempotent(w) {
			w.Uncertain = false // whatever it has done may be done once more
		}
		r.messages[m.ID], r.messagesByTrace[m.TraceID] = m, m
		r.lastMessageID = max(r.lastMessageID, m.ID)
		switch {
		case w.Cancelled:
			m.completed = true
			r.cancelled = append(r.cancelled, m)
		case w.Final != nil:
			m.completed = true
			r.queueNotification(m)
		case w.Uncertain:
			// What it has sent may be missing from the journal: nothing can be promised.
			m.completed = true
			r.journal.RecordFinal(w, journal.FinalAnswer{})
			r.countResult(w, metrics.Failed)
			r.queueNotification(m)
		default:
			r.pending++
			r.recorder.Label(m.ID, m.TraceID)
			evs = append(evs, r.recoveredEvent(m))
		}
	}
	if len(found.Messages) > 0 || !found.Intact() {
		r.log.Info("recovered", "messages", len(found.Messages), "sound", found.Intact())
	}
	if found.ClockStep != 0 {
		r.log.Warn(
			"the wall clock was set since the journal was last open; times of messages go by the boot's clock",
			"by",
			found.ClockStep,
		)
	}
	r.execute(r.decide(r.now(), evs), nil)
}

// recoveredEvent tells the module of a message of an earlier process, in the module's own time.
func (r *Relay) recoveredEvent(m *message) policy.Event {
	e := r.acceptedEvent(m)
	e.Recovered = &policy.RecoveredMessage{Attempts: m.Attempts}
	if len(m.UncertainAttempts) > 0 {
		first := m.UncertainAttempts[0]
		e.Recovered.MayHaveRun, e.Recovered.FirstRunZone = true, first.Zone
		if e.Recovered.SinceFirstRun = time.Since(first.SentAt); first.Undated ||
			e.Recovered.SinceFirstRun < -clockTolerance {
			// The clock was set, or may have been: nobody can tell how long its host still drops a repeat.
			class, _ := r.classOf(m.Message)
			e.Recovered.SinceFirstRun = max(unknownRunAge, class.DedupWindow)
		}
		e.Recovered.SinceFirstRun = max(0, e.Recovered.SinceFirstRun)
	}
	return e
}

func (r *Relay) acceptedEvent(m *message) policy.Event {
	left := time.Until(m.Deadline)
	if class, known := r.classOf(m.Message); known {
		left = min(left, maxTimeLeft(class)) // a clock that was set back gives no more time
	}
	return policy.Event{
		Kind: policy.MessageAccepted, MessageID: m.ID, Key: m.OrderingKey, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination, TimeLeft: left,
	}
}
