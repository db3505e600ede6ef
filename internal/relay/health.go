package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
)

const (
	// healthSaveInterval is how often the health of endpoints is saved at most.
	healthSaveInterval = 250 * time.Millisecond
	// healthSaveCostRatio bounds the cost of looking at all endpoints: one part in so many of the loop's time.
	healthSaveCostRatio = 50
)

// healthState is what the journal holds of the endpoints' health.
type healthState struct {
	saved         []endpointhealth.Record
	nextSave      time.Time // not before this
	saveScheduled bool      // a step at nextSave is asked for
}

// saveEndpointHealth saves in the journal what a restarted relay must know of endpoints with faults.
func (r *Relay) saveEndpointHealth() {
	now := time.Now()
	if now.Before(r.health.nextSave) {
		// What this step has learned must not wait for the next one, which may be long in coming.
		if !r.health.saveScheduled {
			r.health.saveScheduled = true
			r.requestStepAfter(r.health.nextSave.Sub(now))
		}
		return
	}
	r.health.saveScheduled = false
	views, _ := r.engine.Views()
	records := endpointhealth.FromViews(views, r.now(), r.journal.Stamp(now))
	if endpointhealth.Changed(r.health.saved, records) {
		if err := r.journal.SaveEndpointHealth(endpointhealth.Encode(records)); err != nil {
			// A restart knows less. The room goes to the messages first.
			r.log.Debug("endpoint health not saved", "err", err)
		} else {
			r.health.saved = records
		}
	}
	r.health.nextSave = now.Add(max(healthSaveInterval, healthSaveCostRatio*time.Since(now)))
}
