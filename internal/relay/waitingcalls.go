package relay

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// callSize estimates the memory of a call without its messages, in bytes.
	callSize = 12 << 10
	// callCopies is how many copies of a message a call holds at most while its request is encoded and written.
	callCopies = 3
	// smallCallSize is the memory of a call up to which it counts as small, in bytes.
	smallCallSize = 64 << 10
	// largeCallsFraction is the fraction of the memory for calls that large ones may use.
	largeCallsFraction = 0.75
	// waitingCallsInterval is the time between two examinations of the calls that wait for memory.
	waitingCallsInterval = 20 * time.Millisecond
)

// waitingCallState is the loop's state of calls that wait for memory. Their sends are not in the journal yet, and the
// bodies of their messages are not loaded.
type waitingCallState struct {
	waitingCalls       []*call
	waitingCallsTimeAt time.Time // when the next step that examines them is due; zero: none is scheduled
}

// reserveCall reserves memory for a call that has got one more message. If there is none, the call will wait for it.
func (r *Relay) reserveCall(c *call, bytes int) (reserved bool) {
	if c.missingMemory == 0 && r.reserveCallMemory(c, int64(bytes)) {
		c.reservedMemory += int64(bytes)
		return true
	}
	c.missingMemory += int64(bytes)
	return false
}

// reserveCallMemory reserves memory for a call. Large calls leave a part of the account to small ones.
func (r *Relay) reserveCallMemory(c *call, bytes int64) bool {
	if c.reservedMemory+bytes <= smallCallSize {
		return r.budget.Reserve(memory.Calls, bytes)
	}
	return r.budget.ReserveWithin(memory.Calls, bytes, largeCallsFraction)
}

// releaseCall releases the memory of a call that has ended.
func (r *Relay) releaseCall(c *call) {
	r.budget.Release(memory.Calls, c.reservedMemory)
	c.reservedMemory = 0
}

// callsWithMemory returns the calls that may start now: those of calls that have their memory, after those that have
// waited for it and get it now. The others wait, until the time of their attempts is over.
func (r *Relay) callsWithMemory(calls []*call) (ready []*call) {
	r.returnExpiredAttempts()
	for len(r.waitingCalls) > 0 && r.reserveMissing(r.waitingCalls[0]) {
		c := r.waitingCalls[0]
		r.waitingCalls = r.waitingCalls[1:]
		if r.resumeCall(c) {
			ready = append(ready, c)
		}
	}
	for _, c := range calls {
		if c.missingMemory == 0 {
			ready = append(ready, c)
		} else {
			r.waitingCalls = append(r.waitingCalls, c)
		}
	}
	r.scheduleWaitingCalls()
	return ready
}

// reserveMissing reserves the memory that a call lacks.
func (r *Relay) reserveMissing(c *call) bool {
	if !r.reserveCallMemory(c, c.missingMemory) {
		return false
	}
	c.reservedMemory += c.missingMemory
	c.missingMemory = 0
	return true
}

// resumeCall prepares a call that has waited and has its memory now. What the decision on the call rested on may have
// changed meanwhile, so the attempts that may no longer be sent are returned. resumeCall returns false if that leaves
// none.
func (r *Relay) resumeCall(c *call) (ready bool) {
	resumable := r.resumableAttempts(c)
	r.keepAttempts(c, func(a *attempt) bool { return slices.Contains(resumable, a) && r.loadBody(a) })
	if len(c.attempts) == 0 {
		r.releaseCall(c)
		return false
	}
	r.logCallResumed(c)
	c.SentAt = time.Now()
	c.Deadline = r.callDeadline(c.attempts)
	return true
}

// resumableAttempts returns the attempts of a call that may be sent after the wait. All calls that have waited may
// reach an endpoint at once, so a suspect one gets only those within the recovery budget.
func (r *Relay) resumableAttempts(c *call) []*attempt {
	if r.engine.Suspect(c.EndpointID) && !r.withinRecoveryBudget(c) {
		return nil
	}
	return r.sendableAttempts(c)
}

// withinRecoveryBudget reports whether the recovery budget allowed a call, and the call has not lapsed since.
func (r *Relay) withinRecoveryBudget(c *call) bool {
	return c.toSuspect && time.Since(c.SentAt) <= r.engine.RecoveryLapse()
}

// loadBody loads the body of an attempt. If it cannot be read, its message fails.
func (r *Relay) loadBody(a *attempt) (loaded bool) {
	body, err := r.journal.Body(a.message.Message)
	if err != nil {
		r.failMessage(a.message, err)
		return false
	}
	a.Body = body
	return true
}

// keepAttempts reduces a call that was not made to the attempts that are to be kept, and returns the others.
func (r *Relay) keepAttempts(c *call, keep func(*attempt) bool) {
	c.attempts = slices.DeleteFunc(c.attempts, func(a *attempt) bool {
		if keep(a) {
			return false
		}
		r.returnAttempt(a)
		return true
	})
}

// returnExpiredAttempts returns the waiting attempts that have timed out, or all of them once nothing may be sent.
func (r *Relay) returnExpiredAttempts() {
	now := time.Now()
	r.keepWaitingAttempts(func(a *attempt) bool { return now.Before(a.Deadline) && !r.sendingStopped })
}

// withdrawWaitingAttempts returns the attempts of a message in waiting calls, since the message has ended.
func (r *Relay) withdrawWaitingAttempts(m *message) {
	if m.inFlight > 0 {
		r.keepWaitingAttempts(func(a *attempt) bool { return a.message != m })
	}
}

// keepWaitingAttempts returns the attempts in waiting calls that are not to be kept, and ends the calls that have none
// left.
func (r *Relay) keepWaitingAttempts(keep func(*attempt) bool) {
	r.waitingCalls = slices.DeleteFunc(r.waitingCalls, func(c *call) bool {
		r.keepAttempts(c, keep)
		if len(c.attempts) > 0 {
			return false
		}
		r.releaseCall(c)
		return true
	})
}

// returnWaitingCalls ends all waiting calls. Their messages were not sent.
func (r *Relay) returnWaitingCalls() {
	r.keepWaitingAttempts(func(*attempt) bool { return false })
}

// returnAttempt ends an attempt that was not sent. The policy is told in an additional step.
func (r *Relay) returnAttempt(a *attempt) {
	r.deferredEvents = r.attemptEnded(r.deferredEvents, a, egress.Result{Outcome: policy.NotSent})
	r.requestStepAfter(r.cfg.Tick)
}

// scheduleWaitingCalls requests a step after waitingCallsInterval if calls wait.
func (r *Relay) scheduleWaitingCalls() {
	now := time.Now()
	if len(r.waitingCalls) == 0 || now.Before(r.waitingCallsTimeAt) {
		return
	}
	r.waitingCallsTimeAt = now.Add(waitingCallsInterval)
	r.requestStepAfter(waitingCallsInterval)
}
