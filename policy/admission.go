package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxPendingRatio is the fraction of Settings.MaxPendingMessages above which load is shed. The remaining fraction
// is left for messages that may not be rejected.
const maxPendingRatio = 0.9

// acceptMessage enqueues a message that a client has submitted, and sheds load if too many messages are pending.
func (e *Engine) acceptMessage(event *Event) {
	msg := e.newMessage(event)
	if e.exceedsQuota(event.Tenant) {
		msg.queueRank += time.Duration(overQuotaDelayRatio * float64(event.TimeLeft))
	}
	e.messages[msg.id] = msg
	e.countAccepted()
	e.pendingMessages++
	msg.destination.messageCount++
	if msg.class.Ordered && event.Key != "" {
		e.joinKeyQueue(msg, event.Key)
	}
	e.recoverMessage(msg, event.Recovered)
	e.addDeadline(msg.deadline, msg)
	e.addDeadline(msg.objectiveAt, msg)
	e.enqueue(msg)
	e.shedLoad()
}

// newMessage returns the message of a MessageAccepted event. A lower class weight places it further back in the
// queue.
func (e *Engine) newMessage(event *Event) *message {
	class, maxAttempts := e.termsOf(event)
	msg := &message{
		id:          event.MessageID,
		class:       class,
		maxAttempts: maxAttempts,
		destination: e.ensureDestination(event.Destination),
	}
	msg.deadline = e.now + event.TimeLeft - deadlineMargin
	msg.objectiveAt = e.now + class.LatencyObjective - max(0, class.Deadline-event.TimeLeft)
	delay := float64(msg.objectiveAt-e.now) / math.Max(class.Weight, minClassWeight)
	msg.queueRank = e.now + time.Duration(delay)
	return msg
}

// termsOf returns the class and the maximum number of attempts of a message. They are those under which an earlier
// process accepted it, if they are known, or else those of the settings. A message whose class is not configured is
// treated as non-idempotent and ordered, which are the strictest rules.
func (e *Engine) termsOf(event *Event) (class *Class, maxAttempts int) {
	if event.Recovered != nil && event.Recovered.Terms != nil {
		terms := event.Recovered.Terms
		if i := slices.Index(e.settings.Classes, terms.Class); i >= 0 {
			return &e.settings.Classes[i], terms.MaxAttempts
		}
		return &terms.Class, terms.MaxAttempts
	}
	if event.Class >= 0 && event.Class < len(e.settings.Classes) {
		return &e.settings.Classes[event.Class], e.settings.MaxAttempts
	}
	strictest := strictestClass(event.TimeLeft)
	return &strictest, e.settings.MaxAttempts
}

// exceedsQuota counts a message against this relay's even share of the tenant's quota, and reports whether the
// message exceeds that share. A burst of two seconds' traffic is within the quota.
func (e *Engine) exceedsQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(e.tenantTraffic) || e.settings.Tenants[tenant].Quota <= 0 {
		return false
	}
	meter := &e.tenantTraffic[tenant]
	rate := e.settings.Tenants[tenant].Quota / float64(e.settings.FleetSize)
	meter.level = math.Max(0, meter.level-rate*(e.now-meter.updatedAt).Seconds()) + 1
	meter.updatedAt = e.now
	if meter.level > 1+2*rate {
		meter.level--
		return true
	}
	return false
}

// shedLoad rejects one message if too many messages are pending: in the longest queue, the last message that may be
// rejected. It inspects at most maxQueueScan messages.
func (e *Engine) shedLoad() {
	limit := e.settings.MaxPendingMessages
	if limit <= 0 || e.pendingMessages <= int(maxPendingRatio*float64(limit)) {
		return
	}
	longest := slices.MaxFunc(e.active, func(a, b *destination) int {
		return cmp.Or(len(a.queue)-len(b.queue), int(b.id-a.id))
	})
	for i := len(longest.queue) - 1; i >= max(0, len(longest.queue)-maxQueueScan); i-- {
		if msg := longest.queue[i]; e.mayShed(msg) {
			e.reject(msg)
			return
		}
	}
}

// mayShed reports whether a message may be rejected for lack of capacity. A recovered message without an attempt
// may not be rejected, because it was accepted and nothing has been tried for it yet. Such a message may be
// rejected nevertheless if a Retry-After blocks every scope of its destination until its deadline or longer.
func (e *Engine) mayShed(msg *message) bool {
	if !e.mayReject(msg) {
		return false
	}
	if !msg.recovered || msg.attempts > 0 {
		return true
	}
	scopes := msg.destination.scopes
	deliverable := len(scopes) == 0 || slices.ContainsFunc(scopes, func(scope *limitScope) bool {
		return scope.retryAfterUntil < msg.deadline
	})
	return !deliverable
}
