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
	// eventQueueSize is the number of events that can wait for the loop. While the queue is full, post blocks.
	eventQueueSize = 1024
	// maxBatchEvents bounds the events of one step, so that no step takes long.
	maxBatchEvents = 512
	// initialClock is the time on the policy's clock when the relay starts. It is not 0, because the policy
	// interprets a time of 0 as "never".
	initialClock = time.Second
)

// loopState is the state that only the loop's goroutine may access. Before the loop runs, New, recovery and hot restart
// initialize it.
type loopState struct {
	engine         *policy.Engine
	started        time.Time // when the policy's clock read 0
	recorder       *recording
	journal        *journal.Journal
	recovery       *journal.Recovery // what the journal held at the start; nil once it is restored
	health         healthState
	rules          rulesState
	timerAt        time.Time      // the policy's timer: when the next step is due at the latest; zero: none is set
	deferredEvents []policy.Event // for the policy's next step
	current        stepState      // state of the step in progress

	activeConfig     reload.Config
	activeGeneration int                   // generation of activeConfig: see configChange
	activeTerms      []policy.MessageTerms // of new messages, by class of activeConfig; never changed in place

	endpointState
	messageState
	callState

	stopping       bool // clients submit no more messages
	sendingStopped bool // the policy takes no more decisions; outcomes are still recorded
	drainedClosed  bool // Relay.drained is closed
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

// post queues an event for the loop, and waits while the queue is full. It returns false if the loop has ended.
func (r *Relay) post(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.loopDone:
		return false
	}
}

// now returns the time on the policy's clock.
func (r *Relay) now() time.Duration { return time.Since(r.started) }

// loop runs steps until ctx ends. Each step handles the events since the previous one. Steps start at least one tick
// apart, so that messages which arrive shortly after one another can share a call.
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
				continue // a part of a long list without changes for the policy
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

// collectQueued adds the events that are already queued to a batch, up to maxBatchEvents.
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

// drainEvents handles the events that are still queued when the loop ends. Submissions are answered and outcomes are
// recorded, but the policy takes no more decisions.
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

// requestStep requests a step from the loop. It never blocks: while the queue is full, the loop runs a step anyway.
func (r *Relay) requestStep() {
	select {
	case r.events <- tick{}:
	default:
	}
}

// requestStepAfter requests a step from the loop after a delay.
func (r *Relay) requestStepAfter(delay time.Duration) {
	time.AfterFunc(delay, func() { r.post(tick{}) })
}

// collect adds an event to a step's batch. A part of a long list is applied immediately instead, unless it is the first
// one. The parts still take effect in order: their sender waits for the reply to each part before it sends the next, so
// no earlier part can be in the batch.
func (r *Relay) collect(batch []event, e event) []event {
	if p, ok := e.(partEvent); ok && p.part.Kind != discovery.PartBegin && !r.handedOver {
		r.applyPart(p.part)
		return batch
	}
	return append(batch, e)
}

// waitForTick waits for the remaining time until the next step. While a long list is being received, it also collects
// events, so that the parts of the list need not wait for the step.
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
