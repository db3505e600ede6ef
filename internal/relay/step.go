package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/policy"
)

// step takes a batch of events to the module and carries out what it decides.
func (r *Relay) step(batch []any) {
	if r.handed {
		r.forwardEvents(batch)
		return
	}
	now := r.now()
	if !r.timerAt.IsZero() && !time.Now().Before(r.timerAt) {
		r.timerAt = time.Time{}
	}
	evs := append([]policy.Event(nil), r.deferredEvents...)
	r.deferredEvents = r.deferredEvents[:0]
	var asked []sendCheck
	var fetches []metricsRequest
	var ins []*submitEvent
	var handing *handOff
	for _, e := range batch {
		switch e := e.(type) {
		case *submitEvent:
			ins = append(ins, e)
		case cancelEvent:
			evs = r.cancel(evs, e.messageID)
		case *callFinished:
			evs = r.callEnded(evs, e)
		case attemptTimeout:
			evs = r.attemptEnded(evs, e.attempt, result{outcome: policy.Timeout, took: time.Since(e.attempt.sent)})
		case discovery.List:
			evs = append(evs, r.applyList(e)...)
		case *discovery.SnapshotPart:
			r.applyPart(e)
			evs = append(evs, r.deferredEvents...)
			r.deferredEvents = r.deferredEvents[:0]
		case sendCheck:
			asked = append(asked, e)
		case notificationsAcked:
			for _, id := range e.messageIDs {
				if m := r.messages[id]; m != nil {
					r.journal.Remove(m.Message)
					r.remove(m)
				}
			}
		case stopAccepting:
			r.stopping = true
		case stopSending:
			r.sendingStopped = true
		case configChange:
			r.changeConfig(e)
		case remoteOutcome:
			evs = r.remoteEnded(evs, e)
		case beforeGone:
			evs = r.remoteGone(evs)
		case successorCame:
			r.follow(e.conn)
		case successorGone:
			r.unfollow(e.conn)
		case handOff:
			handing = &e
		case metricsRequest:
			fetches = append(fetches, e)
		}
	}
	r.expire()
	waiting := r.accept(ins)
	if !r.sendingStopped {
		for _, in := range waiting {
			switch m := in.acceptedAs; {
			case m.Message != in.message: // a twin of one before it
			case m.Attempts > 0:
				evs = append(evs, r.recoveredEvent(m))
			default:
				evs = append(evs, r.acceptedEvent(m))
			}
		}
		r.execute(r.decide(now, evs), waiting)
	} else {
		r.execute(nil, waiting)
	}
	r.saveEndpointHealth()
	for _, c := range asked {
		c.reply <- r.sendableAttempts(c.call)
	}
	for _, g := range fetches {
		r.updateGauges()
		close(g.done)
	}
	if handing != nil {
		handing.done <- r.handOff()
	}
	if r.stopping && !r.drainedClosed && (r.allFinished() || r.sendingStopped && r.callsInFlight == 0) {
		r.drainedClosed = true
		close(r.drained)
	}
}

// decide has the module take a step, and records it.
func (r *Relay) decide(now time.Duration, events []policy.Event) []policy.Action {
	if r.largeList.Load() {
		events = r.wakeDestinations(now, events)
	}
	acts := r.engine.Step(now, events)
	if r.fleet == nil {
		r.recorder.Step(now, events, acts)
		return acts
	}
	beside, told := r.fleet.Step(
		now,
		events,
		acts,
		func() []policy.EndpointView { views, _ := r.engine.Views(); return views },
	)
	if r.recorder.Recorder != nil {
		r.recorder.StepWithFleet(now, events, acts, beside.Append(nil))
	}
	if r.deferredEvents = append(r.deferredEvents, told...); len(told) > 0 {
		r.requestStep() // the module hears it in a step of its own, soon
	}
	return acts
}
