package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	maxPendingRatio     = 0.9 // share of the room beyond which held messages are refused
	overQuotaDelayRatio = 0.5 // of its time left: how much later traffic over its share queues
)

func (e *Engine) acceptMessage(event *Event) {
	// the strictest
	class := &Class{Effect: NonIdempotent, Ordered: true, LatencyObjective: event.TimeLeft / 2, Deadline: event.TimeLeft, Weight: 1}
	if event.Class >= 0 && event.Class < len(e.settings.Classes) {
		class = &e.settings.Classes[event.Class]
	}
	msg := &message{id: event.MessageID, class: class, maxAttempts: e.settings.MaxAttempts, destination: e.ensureDestination(event.Destination)}
	msg.deadline = e.now + event.TimeLeft - deadlineMargin
	msg.objectiveAt = e.now + class.LatencyObjective - max(0, class.Deadline-event.TimeLeft)
	msg.queueRank = e.now + time.Duration(float64(msg.objectiveAt-e.now)/math.Max(class.Weight, 0.01))
	if e.exceedsQuota(event.Tenant) {
		msg.queueRank += time.Duration(overQuotaDelayRatio * float64(event.TimeLeft))
	}
	e.messages[msg.id] = msg
	e.countAccepted()
	e.pendingMessages++
	msg.destination.messageCount++
	if class.Ordered && event.Key != "" {
		e.joinKeyQueue(msg, event.Key)
	}
	e.recoverMessage(msg, event.Recovered)
	e.deadlines.push(deadlineEntry{msg.deadline, msg})
	e.deadlines.push(deadlineEntry{msg.objectiveAt, msg})
	e.enqueue(msg)
	e.shedLoad()
}

// exceedsQuota counts a message against its customer's share and tells whether it lies beyond.
func (e *Engine) exceedsQuota(c int) bool {
	if c < 0 || c >= len(e.tenantTraffic) || e.settings.Tenants[c].Quota <= 0 {
		return false
	}
	meter, rate := &e.tenantTraffic[c], e.settings.Tenants[c].Quota/float64(e.settings.FleetSize)
	meter.level, meter.updatedAt = math.Max(0, meter.level-rate*(e.now-meter.updatedAt).Seconds())+1, e.now
	if meter.level > 1+2*rate {
		meter.level--
		return true
	}
	return false
}

// shedLoad refuses the last message of the longest queue while little room is left.
func (e *Engine) shedLoad() {
	if e.settings.MaxPendingMessages <= 0 || e.pendingMessages <= int(maxPendingRatio*float64(e.settings.MaxPendingMessages)) {
		return
	}
	longest := slices.MaxFunc(e.active, func(a, b *destination) int {
		return cmp.Or(len(a.queue)-len(b.queue), b.id-a.id)
	})
	for i := len(longest.queue) - 1; i >= max(0, len(longest.queue)-maxQueueScan); i-- {
		if msg := longest.queue[i]; e.mayShed(msg) {
			e.reject(msg)
			return
		}
	}
}

// mayShed tells whether m may be refused for want of room or pace: not where a restart found it untried.
func (e *Engine) mayShed(msg *message) bool {
	open := func(scope *limitScope) bool { return scope.retryAfterUntil < msg.deadline }
	owed := len(msg.destination.scopes) == 0 || slices.ContainsFunc(msg.destination.scopes, open)
	return e.mayReject(msg) && !(owed && msg.recovered && msg.attempts == 0)
}
