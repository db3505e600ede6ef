package relay

import (
	"context"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// eventQueueSize is how many events may wait for the loop before those who post them wait, too.
	eventQueueSize = 1024
	// maxBatchEvents bounds the events of one step, so that no step takes long.
	maxBatchEvents = 512
	// initialClock keeps the policy's clock away from 0, which it takes for never.
	initialClock = time.Second
)

// loopState is the state that the loop owns. Until the loop runs, New, recovery and hot restart set it.
type loopState struct {
	engine         *policy.Engine
	started        time.Time // when the policy's clock stood at 0
	recorder       *recording
	journal        *journal.Journal
	recovery       *journal.Recovery // what the journal held at the start, until it is restored
	health         healthState
	timerAt        time.Time      // when the policy wants a step at the latest; zero: it wants none
	deferredEvents []policy.Event // for the next step
	current        stepState      // of the step that runs

	activeConfig     reload.Config
	activeGeneration int // of activeConfig, see configChange

	endpointState
	messageState
	callState

	stopping       bool // no more messages come
	sendingStopped bool // no more decisions are taken
	drainedClosed  bool
}

func newLoopState(engine *policy.Engine) loopState {
	return loopState{
		engine:        engine,
		started:       time.Now().Add(-initialClock),
		endpointState: newEndpointState(),
		messageState:  newMessageState(),
		callState:     newCallState(),
	}
}

// post hands an event to the loop; false if that has ended.
func (r *Relay) post(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.loopDone:
		return false
	}
}

// now is the time on the policy's clock.
func (r *Relay) now() time.Duration { return time.Since(r.started) }

// loop runs the steps, until ctx ends. A step takes the events since the last one, no more often than the settings'
// tick: messages that come together can then share a call.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.loopDone)
	defer r.dumpOnPanic()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []event
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drainEvents()
			return
		case e := <-r.events:
			if batch = r.collect(batch, e); len(batch) == 0 && len(r.deferredEvents) == 0 {
				continue // a part of a long list that changes nothing for the policy
			}
		case <-timer.C:
		}
		batch = r.waitForTick(batch, r.cfg.Tick-time.Since(last))
		batch = r.collectQueued(batch)
		last = time.Now()
		r.step(batch)
		clear(batch)
		if !r.timerAt.IsZero() {
			timer.Reset(time.Until(r.timerAt))
		}
	}
}

// collectQueued adds the events that are there already to a batch.
func (r *Relay) collectQueued(batch []event) []event {
	for len(batch) < maxBatchEvents {
		select {
		case e := <-r.events:
			batch = r.collect(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// drainEvents answers and records what came before the end, without any further decision.
func (r *Relay) drainEvents() {
	r.sendingStopped = true
	for {
		select {
		case e := <-r.events:
			r.step([]event{e})
		default:
			return
		}
	}
}

// requestStep asks the loop for a step. It never waits: a loop whose queue is full takes its steps anyway.
func (r *Relay) requestStep() {
	select {
	case r.events <- tick{}:
	default:
	}
}

// requestStepAfter asks the loop for a step after a delay.
func (r *Relay) requestStepAfter(delay time.Duration) {
	time.AfterFunc(delay, func() { r.post(tick{}) })
}

// collect adds an event to a step's batch. All parts of a long list but the first are applied at once: their sender
// waits for the reply to each part, so that no earlier one can be in the batch.
func (r *Relay) collect(batch []event, e event) []event {
	if p, ok := e.(partEvent); ok && p.part.Kind != discovery.PartBegin && !r.handedOver {
		r.applyPart(p.part)
		return batch
	}
	return append(batch, e)
}

// waitForTick waits for the next step's time. Parts of a long list are taken meanwhile.
func (r *Relay) waitForTick(batch []event, remaining time.Duration) []event {
	if remaining <= 0 {
		return batch
	}
	if !r.receivingSnapshot {
		time.Sleep(remaining)
		return batch
	}
	due := time.NewTimer(remaining)
	defer due.Stop()
	for len(batch) < maxBatchEvents {
		select {
		case e := <-r.events:
			batch = r.collect(batch, e)
		case <-due.C:
			return batch
		}
	}
	<-due.C
	return batch
}
