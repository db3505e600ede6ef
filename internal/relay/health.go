package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
)

const (
	// healthSaveInterval is the minimum time between two saves of endpoint health.
	healthSaveInterval = 250 * time.Millisecond
	// healthSaveCostRatio bounds the cost of saves, which examine all endpoints: saves take at most
	// 1/healthSaveCostRatio of the loop's time.
	healthSaveCostRatio = 50
)

// healthState controls how the health of endpoints is saved in the journal.
type healthState struct {
	saved         []endpointhealth.Record // the records that the journal holds
	nextSave      time.Time               // the earliest time of the next save
	saveScheduled bool                    // a step at nextSave was requested
}

// saveEndpointHealth writes the health of unhealthy endpoints to the journal, for the next process after a restart.
// It writes only if something has changed, and at most once in healthSaveInterval.
func (r *Relay) saveEndpointHealth() {
	now := time.Now()
	if now.Before(r.health.nextSave) {
		// The next step may be far off, so a step is requested to save what changed in this one.
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
			// Only the next process is affected: it has less information. Messages have precedence for the space in
			// the journal.
			r.log.Debug("endpoint health not saved", "err", err)
		} else {
			r.health.saved = records
		}
	}
	r.health.nextSave = now.Add(max(healthSaveInterval, healthSaveCostRatio*time.Since(now)))
}
