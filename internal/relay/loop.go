package relay

import (
	"context"
	"time"
)

// post hands an event to the loop; false if that has ended.
func (r *Relay) post(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.loopDone:
		return false
	}
}

func (r *Relay) now() time.Duration { return time.Since(r.started) }

// loop is the one goroutine that decides. A step takes what has come in since the last one, no more often than
// the settings' tick: what comes together can then travel together.
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
				continue // a part of a long list of which the module need not hear
			}
		case <-timer.C:
		}
		batch = r.waitForTick(batch, r.cfg.Tick-time.Since(last))
	more:
		for len(batch) < maxBatchEvents {
			select {
			case e := <-r.events:
				batch = r.collect(batch, e)
			default:
				break more
			}
		}
		last = time.Now()
		r.step(batch)
		clear(batch)
		if !r.timerAt.IsZero() {
			timer.Reset(time.Until(r.timerAt))
		}
	}
}

// drainEvents answers and notes what came before the end, without deciding anything more.
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

// requestStep asks the loop for a step. It waits for nothing: a loop that has much to do takes its steps anyway.
func (r *Relay) requestStep() {
	select {
	case r.events <- tick{}:
	default:
	}
}

// collect takes an event into a step's batch. Of a long list all parts but the first are taken at once: nothing that
// came before it waits in the batch.
func (r *Relay) collect(batch []event, e event) []event {
	if p, ok := e.(partEvent); ok && p.part.Kind != PartBegin && !r.handed {
		r.applyPart(p.part)
		return batch
	}
	return append(batch, e)
}

// waitForTick waits for the next step's time. Parts of a long list are taken meanwhile.
func (r *Relay) waitForTick(batch []event, rest time.Duration) []event {
	if rest <= 0 {
		return batch
	}
	if !r.receivingSnapshot {
		time.Sleep(rest)
		return batch
	}
	due := time.NewTimer(rest)
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
