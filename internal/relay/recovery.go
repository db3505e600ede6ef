package relay

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// clockTolerance is by how much a clock that is only slewed may appear to run backwards between two readings. A
	// larger difference shows that the clock was set.
	clockTolerance = 10 * time.Millisecond
	// unknownRunAge is the assumed age of an attempt whose time is unknown. It is longer than the usual deduplication
	// windows, so that the message is not sent again on the assumption that the endpoint drops duplicates.
	unknownRunAge = 24 * time.Hour
	// unknownIndex is the index of a zone or tenant that the configuration does not have. No endpoint is in that zone,
	// and no quota is that tenant's.
	unknownIndex = -1
)

// recoverState passes the endpoint list of the configuration, and what an earlier process left in the journal, to the
// policy in one step.
func (r *Relay) recoverState() {
	found := r.recovery
	r.recovery = nil
	r.continueFromRules(found.Rules)
	r.saveRules()
	var events []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		events = append(events, r.applyList(known)...)
	}
	events = append(events, r.recoveredHealth(found)...)
	for _, record := range found.Messages {
		if m := r.recoverMessage(record); !m.completed() {
			events = append(events, r.recoveredEvent(m))
		}
	}
	r.logRecovery(found)
	if found.ClockStep != 0 {
		const text = "the wall clock was set since the journal was last open; times of messages go by the boot clock"
		r.log.Warn(text, "by", found.ClockStep)
	}
	r.execute(r.decide(r.now(), events), nil)
}

// recoveredHealth returns the events that restore the endpoint health of an earlier process in a new engine.
func (r *Relay) recoveredHealth(found *journal.Recovery) []policy.Event {
	health := endpointhealth.Decode(found.EndpointHealth)
	now := r.journal.Stamp(time.Now())
	return endpointhealth.Events(health, now, r.activeConfig.Settings.WarmUpDuration)
}

// logRecovery logs what was recovered. Of the messages that may have run it logs which effect the rules for repeats
// assume, and at level debug each of these messages.
func (r *Relay) logRecovery(found *journal.Recovery) {
	if len(found.Messages) == 0 && found.Intact() {
		return
	}
	mayHaveRun := map[policy.Effect]int{}
	for _, record := range found.Messages {
		if len(record.UncertainAttempts) == 0 {
			continue
		}
		effect := r.effectOf(record)
		mayHaveRun[effect]++
		r.log.Debug("recovered message may have run", "message_id", record.TraceID, "class", record.ClassName,
			"effect", effect, "attempts", record.Attempts, "endpoint", record.UncertainAttempts[0].Endpoint,
			"ended", record.Final != nil || record.Cancelled)
	}
	r.log.Info("state recovered from the journal", "messages", len(found.Messages), "intact", found.Intact(),
		"may_have_run_idempotent", mayHaveRun[policy.Idempotent],
		"may_have_run_by_key", mayHaveRun[policy.IdempotentByKey],
		"may_have_run_non_idempotent", mayHaveRun[policy.NonIdempotent])
}

// recoverMessage restores the state of a message that an earlier process accepted. If the message is not completed, the
// caller passes it to the policy.
func (r *Relay) recoverMessage(record *journal.Message) *message {
	r.resolveIndexes(record)
	if record.Uncertain && r.effectOf(record) == policy.Idempotent {
		record.Uncertain = false // the message may run any number of times
	}
	m := &message{Message: record, attemptsStarted: record.Attempts, result: recordedResult(record)}
	r.trackRestored(m)
	r.messagesByTrace[m.TraceID] = m
	r.lastMessageID = max(r.lastMessageID, m.ID)
	switch {
	case record.Cancelled:
		r.keepRecovered(m)
	case record.Final != nil:
		r.queueNotification(m)
	case record.Uncertain:
		// Attempts of the message may be missing from the journal: one more attempt could make the message run twice.
		m.result = resultFailed
		r.journal.RecordFinal(record, journal.FinalAnswer{})
		r.countResult(record, metrics.Failed)
		r.queueNotification(m)
	default:
		r.pending++
		r.recorder.Label(m.ID, m.TraceID)
	}
	return m
}

// resolveIndexes sets the indexes in a message that an earlier process wrote to those of this process's configuration.
func (r *Relay) resolveIndexes(record *journal.Message) {
	r.resolveClassIndex(record)
	record.Tenant = indexOf(r.activeConfig.TenantNames, record.TenantName)
	for i := range record.UncertainAttempts {
		attempt := &record.UncertainAttempts[i]
		attempt.Zone = indexOf(r.cfg.Zones, attempt.ZoneName)
	}
}

// indexOf returns the index of a name in a list of the configuration, or unknownIndex if the name is unknown or is not
// in the list.
func indexOf(names []string, name string) int {
	if name == "" {
		return unknownIndex
	}
	return slices.Index(names, name)
}

// nameAt returns the name at an index of a list of the configuration, or "" if the list has no such index.
func nameAt(names []string, index int) string {
	if index < 0 || index >= len(names) {
		return ""
	}
	return names[index]
}

// recoveredEvent returns the policy's event for a message that may have had attempts before, in an earlier process or
// until it was cancelled.
func (r *Relay) recoveredEvent(m *message) policy.Event {
	terms := m.Terms
	if terms == nil {
		strictest := r.termsOf(m.Message)
		terms = &strictest
	}
	e := r.acceptedEvent(m)
	e.Recovered = &policy.RecoveredMessage{Attempts: m.Attempts, Terms: terms}
	if len(m.UncertainAttempts) > 0 {
		first := m.UncertainAttempts[0]
		e.Recovered.MayHaveRun = true
		e.Recovered.FirstRunZone = first.Zone
		e.Recovered.SinceFirstRun = timeSinceRun(terms.Class, first)
	}
	return e
}

// resumedEvent returns the policy's event for a message of the predecessor that this process's policy does not have.
// The policy counts only attempts that were made, and so does the relay from then on.
func (r *Relay) resumedEvent(m *message) policy.Event {
	m.attemptsStarted = m.Attempts
	return r.recoveredEvent(m)
}

// timeSinceRun returns how long ago an attempt of a message was sent, to be compared with the deduplication window of
// its class. If that is unknown, the result is outside the window.
func timeSinceRun(class policy.Class, a journal.Attempt) time.Duration {
	since := time.Since(a.SentAt)
	if a.Undated || since < -clockTolerance {
		// The clock was set, or may have been: it is unknown how long the endpoint still recognizes a duplicate.
		return max(unknownRunAge, class.DedupWindow)
	}
	return max(0, since)
}

// acceptedEvent returns the policy's event for a new message.
func (r *Relay) acceptedEvent(m *message) policy.Event {
	class := r.termsOf(m.Message).Class
	// A clock that was set back must not extend the time.
	timeLeft := min(time.Until(m.Deadline), maxTimeLeft(class))
	return policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   m.ID,
		Key:         m.OrderingKey,
		Class:       m.Class,
		Tenant:      m.Tenant,
		Destination: m.Destination,
		TimeLeft:    timeLeft,
	}
}
