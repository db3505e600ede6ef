package explain

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// sample attributes the time since the last sample to the causes found by that sample. Then it records the engine's
// state and finds the cause that blocks each waiting message.
func (b *builder) sample(engine *policy.Engine, now time.Duration) {
	b.attributeWaits(now)
	views, inFlight := engine.Views()
	if b.report.inRange(now) {
		bin := b.report.bin(now)
		b.report.InFlightCalls[bin] = max(b.report.InFlightCalls[bin], float64(inFlight))
		b.report.Queued[bin] = max(b.report.Queued[bin], float64(queuedMessages(views)))
	}
	b.updateEndpoints(now, views)
	b.sampledAt = now
	b.sampled = true
	b.blockers = nil
	waiting := slices.ContainsFunc(views, func(v policy.EndpointView) bool { return v.Queued > 0 })
	if !waiting && len(b.destinations) > 0 && len(views) > 0 {
		return
	}
	// Blockers may change the state of the engine, as a dispatch does. It is called on a copy, because the replayed
	// engine must stay in the recorded state.
	copied, err := policy.Restore(b.settings, engine.Snapshot(nil))
	if err != nil {
		b.err = cmp.Or(b.err, fmt.Errorf("explain: copy the engine for inspection: %w", err))
		return
	}
	b.blockers = earliestBlockers(copied.Blockers())
}

// queuedMessages returns the number of messages waiting at all destinations. It counts each destination once, because
// each view of its endpoints holds the number for the whole destination.
func queuedMessages(views []policy.EndpointView) (queued int) {
	counted := map[policy.DestinationID]bool{}
	for i := range views {
		if id := views[i].Destination; !counted[id] {
			counted[id] = true
			queued += views[i].Queued
		}
	}
	return queued
}

// earliestBlockers returns, for each message, the blocker that ends first. Its endpoint is the one that the message
// is expected to be sent to. The result reuses the memory of the argument.
func earliestBlockers(blockers []policy.Blocker) []policy.Blocker {
	kept := blockers[:0]
	for _, blocker := range blockers {
		n := len(kept)
		if n == 0 || kept[n-1].MessageID != blocker.MessageID {
			kept = append(kept, blocker)
			continue
		}
		last := &kept[n-1]
		if blocker.Until < last.Until || blocker.Until == last.Until && blocker.Cause == policy.NotBlocked {
			*last = blocker
		}
	}
	return kept
}

// attributeWaits adds the time since the last sample to the waits for the causes found by that sample.
func (b *builder) attributeWaits(now time.Duration) {
	from, to := max(b.sampledAt, b.report.From), min(now, b.report.To)
	if !b.sampled || to <= from {
		return
	}
	for _, blocker := range b.blockers {
		id, known := b.destinationOf[blocker.MessageID]
		if !known { // accepted before the start of the recording
			if endpoint := b.endpoints[blocker.Endpoint]; endpoint != nil {
				id = endpoint.Destination
			}
		}
		b.destination(id).Waits[blocker.Cause] += (to - from).Seconds()
		if message := b.report.Messages[blocker.MessageID]; message != nil {
			b.addSpan(message, Span{
				From:     from,
				To:       to,
				Cause:    blocker.Cause,
				Endpoint: blocker.Endpoint,
				Until:    blocker.Until,
			})
		}
	}
}

// addSpan adds a span to a message. If the message's last span ends where the new one starts, with the same cause and
// endpoint, it is extended instead.
func (b *builder) addSpan(message *Message, span Span) {
	n := len(message.Spans)
	if n > 0 {
		last := &message.Spans[n-1]
		if last.To == span.From && last.Cause == span.Cause && last.Endpoint == span.Endpoint {
			last.To = span.To
			last.Until = span.Until
			return
		}
	}
	if n >= maxSpans {
		b.report.Truncated = true
		return
	}
	message.Spans = append(message.Spans, span)
}

// updateEndpoints records the state of the endpoints, and the transitions since the last call.
func (b *builder) updateEndpoints(now time.Duration, views []policy.EndpointView) {
	firstOfDestination := map[policy.DestinationID]string{} // first endpoint that shares the destination's limit
	for i := range views {
		view := &views[i]
		endpoint := b.endpoint(*view)
		endpoint.LimitScope = view.ID
		if b.sharesLimit(view) {
			if firstOfDestination[view.Destination] == "" {
				firstOfDestination[view.Destination] = view.ID
			}
			endpoint.LimitScope = firstOfDestination[view.Destination]
		}
		if b.report.inRange(now) {
			b.fillBins(endpoint, now, view)
			destination := b.destination(view.Destination)
			destination.MaxQueued = max(destination.MaxQueued, view.Queued)
			if endpoint.seen {
				b.addTransitions(now, endpoint, view)
			}
		}
		endpoint.last = *view
		endpoint.lastAt = now
		endpoint.seen = true
	}
}

// sharesLimit reports whether an endpoint shares its destination's limit with others.
func (b *builder) sharesLimit(view *policy.EndpointView) bool {
	return !b.settings.DestinationKind(view.Kind).LimitPerEndpoint
}

// fillBins fills an endpoint's series up to the current bin: the bins since the last call with the last state, the
// current bin with the current state. On the first call, all of these bins get the current state.
func (b *builder) fillBins(endpoint *Endpoint, now time.Duration, view *policy.EndpointView) {
	first, current := 0, b.report.bin(now)
	if endpoint.seen {
		first = b.report.bin(endpoint.lastAt)
	}
	for bin := first; bin <= current; bin++ {
		state := &endpoint.last
		if bin == current || !endpoint.seen {
			state = view
		}
		start := b.report.From + time.Duration(bin)*b.report.Bin
		endpoint.PacingRate[bin] = state.PacingRate
		endpoint.LastRejectedRate[bin] = state.LastRejectedRate
		endpoint.EstimatedLimit[bin] = state.Limit
		endpoint.Queued[bin] = max(endpoint.Queued[bin], float64(state.Queued))
		endpoint.Ejected[bin] = endpoint.Ejected[bin] || state.Ejected && state.EjectedUntil > start
		endpoint.WarmingUp[bin] = endpoint.WarmingUp[bin] || state.WarmingUp
		endpoint.RetryAfter[bin] = endpoint.RetryAfter[bin] || state.RetryAfterUntil > start
	}
}

// addTransitions adds a transition for each difference between an endpoint's last state and its current state.
func (b *builder) addTransitions(now time.Duration, endpoint *Endpoint, view *policy.EndpointView) {
	last := &endpoint.last
	if view.InService != last.InService {
		if view.InService {
			b.addTransition(now, view, "in service")
		} else {
			b.addTransition(now, view, "drains")
		}
	}
	if endpoint.LimitScope == view.ID { // transitions of a scope are added once, for its first endpoint
		b.addScopeTransitions(now, last, view)
	}
	switch {
	case view.EjectedUntil > last.EjectedUntil && view.Ejected:
		b.addTransition(now, view, "skipped until %v", view.EjectedUntil)
	case last.Ejected && !view.Ejected:
		b.addTransition(now, view, "answers again: pace restarts at %.2f", view.PacingRate)
	}
	switch {
	case view.WarmingUp && !last.WarmingUp:
		b.addTransition(now, view, "in doubt: under the recovery budget")
	case last.WarmingUp && !view.WarmingUp:
		b.addTransition(now, view, "no longer in doubt")
	case view.WarmingUp && view.RecoveredAt == 0 && last.RecoveredAt != 0:
		b.addTransition(now, view, "in doubt anew")
	}
}

// addScopeTransitions adds the transitions of an endpoint's rate-limit scope.
func (b *builder) addScopeTransitions(now time.Duration, last, view *policy.EndpointView) {
	if view.DecreasedAt != last.DecreasedAt {
		b.addTransition(
			now, view, "pace halved from %s to %.2f a second (limit believed %.2f)",
			formatRate(last.PacingRate), view.PacingRate, view.Limit,
		)
	}
	if view.RetryAfterUntil > last.RetryAfterUntil && view.RetryAfterUntil > now {
		b.addTransition(now, view, "told to wait until %v", view.RetryAfterUntil)
	}
	if view.Limit != last.Limit {
		b.addTransition(now, view, "limit believed %.2f, was %.2f", view.Limit, last.Limit)
	}
}

func (b *builder) addTransition(now time.Duration, view *policy.EndpointView, format string, args ...any) {
	if len(b.report.Transitions) >= maxTransitions {
		b.report.Truncated = true
		return
	}
	b.report.Transitions = append(b.report.Transitions, Transition{
		At:          now,
		Destination: view.Destination,
		Endpoint:    view.ID,
		Text:        fmt.Sprintf(format, args...),
		Outcome:     b.outcomes[view.ID],
	})
}

// formatRate returns the text of a pacing rate, which is 0 if the scope is not paced.
func formatRate(rate float64) string {
	if rate == 0 {
		return "free"
	}
	return fmt.Sprintf("%.2f", rate)
}
