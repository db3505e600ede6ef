package emulate

import (
	"net/http"
	"slices"

	"cherrytrestle.example/cherrytrestle/policy"
)

// execute executes the actions of a step. It first journals their effects, and then answers clients, notifies the
// platform and starts calls.
func (r *relay) execute(actions []policy.Action, accepted []*receivedSubmission) {
	calls, ended := r.apply(actions, accepted)
	for _, c := range calls {
		for _, a := range c.attempts {
			r.attemptStarted(c, a)
		}
	}
	for _, in := range accepted {
		if in.message != nil {
			in.submission.answer(r, http.StatusAccepted, 0)
		}
	}
	for _, m := range ended {
		r.notify(m)
	}
	for _, c := range calls {
		r.startCall(c)
	}
}

// apply applies actions to the relay's state. It returns the calls to be made, and the messages that ended without
// delivery and for which the platform must be notified.
func (r *relay) apply(actions []policy.Action, accepted []*receivedSubmission) (calls []*call, ended []*message) {
	for _, a := range actions {
		m := r.messages[a.MessageID]
		switch a.Kind {
		case policy.Send:
			if m != nil {
				calls = r.addToCall(calls, m, a)
			}
		case policy.Reject, policy.Fail:
			if m != nil && !m.ended && r.decideFinal(m, a, accepted) {
				ended = append(ended, m)
			}
		case policy.SetTimer:
			r.setTimer(a)
		case policy.CloseIdle:
			if e := r.world.endpoints[a.Endpoint]; e != nil {
				r.dropPool(e)
			}
		}
	}
	return calls, ended
}

// decideFinal ends a message without delivery, and reports whether the platform must be notified. For a message that
// was accepted in this step, the final answer is the answer to its submission, and no notice is needed.
func (r *relay) decideFinal(m *message, a policy.Action, accepted []*receivedSubmission) (notify bool) {
	r.endMessage(m)
	decision := &finalDecision{deferred: a.Kind == policy.Reject, retryAfter: a.Delay}
	i := slices.IndexFunc(accepted, func(in *receivedSubmission) bool { return in.message == m })
	if i < 0 {
		m.final = decision
		if r.journal.undoable {
			r.journal.written(func() { m.final = nil })
		}
		return true
	}
	status := http.StatusInternalServerError
	if decision.deferred {
		status = http.StatusServiceUnavailable
	}
	accepted[i].submission.answer(r, status, decision.retryAfter)
	accepted[i].message = nil
	r.releaseMessage(m)
	return false
}

// setTimer sets the engine's only timer, in place of an earlier setting.
func (r *relay) setTimer(a policy.Action) {
	at := r.world.Now() + a.Delay
	r.timerAt = at
	r.schedule(a.Delay, func() {
		if r.timerAt == at {
			r.timerAt = 0
			r.postEvent(policy.Event{Kind: policy.TimerFired})
		}
	})
}

// addToCall adds an attempt to the calls of a step. Attempts at one endpoint share a call, up to the MaxBatch of its
// destination kind.
func (r *relay) addToCall(calls []*call, m *message, a policy.Action) []*call {
	e := r.world.endpoints[a.Endpoint]
	maxBatch := 1
	if kind := r.kindOf(e); kind >= 0 && kind < len(r.settings.DestinationKinds) {
		maxBatch = max(1, r.settings.DestinationKinds[kind].MaxBatch)
	}
	var c *call
	for _, other := range calls {
		if other.endpoint == e && len(other.attempts) < maxBatch {
			c = other
		}
	}
	if c == nil {
		r.world.lastCallNumber++
		c = &call{relay: r, endpoint: e, number: r.world.lastCallNumber, startedAt: r.world.Now()}
		calls = append(calls, c)
	}
	timeoutAt := a.TimeoutAt + r.engineEpoch
	c.attempts = append(c.attempts, &attempt{message: m, number: m.attemptCount, timeoutAt: timeoutAt})
	m.attemptCount++
	m.openAttempts++
	// The call lasts as long as its longest attempt if duplicates are allowed, otherwise as long as its shortest one.
	if len(c.attempts) == 1 || (timeoutAt > c.timeoutAt) == *r.world.plan.File.Settings.DuplicatesAllowed {
		c.timeoutAt = timeoutAt
	}
	return calls
}
