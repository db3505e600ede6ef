package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
)

const (
	healthSaveInterval  = 250 * time.Millisecond
	healthSaveCostRatio = 50 // a look at all routes may take one part in so many of the loop's time
)

// healthState is what the journal holds of the hosts' standing.
type healthState struct {
	saved         []endpointhealth.Record
	nextSave      time.Time // looked at again then
	saveScheduled bool      // a step then is asked for
}

// saveEndpointHealth notes in the journal what a restarted relay must know of hosts that are in trouble.
func (r *Relay) saveEndpointHealth() {
	now := time.Now()
	if now.Before(r.health.nextSave) {
		// What this step has learned must not wait for another one, which may be long in coming.
		if !r.health.saveScheduled {
			r.health.saveScheduled = true
			time.AfterFunc(r.health.nextSave.Sub(now), func() { r.post(tick{}) })
		}
		return
	}
	r.health.saveScheduled = false
	views, _ := r.engine.Views()
	recs := endpointhealth.FromViews(views, r.now(), r.journal.Stamp(now))
	if endpointhealth.Changed(r.health.saved, recs) {
		if err := r.journal.SaveEndpointHealth(endpointhealth.Encode(recs)); err != nil {
			r.log.Debug("standing of hosts not kept", "err", err) // a restart knows less; the messages have the room
		} else {
			r.health.saved = recs
		}
	}
	r.health.nextSave = now.Add(max(healthSaveInterval, healthSaveCostRatio*time.Since(now)))
}
