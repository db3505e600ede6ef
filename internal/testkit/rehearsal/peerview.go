package rehearsal

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	peerViewInterval = 500 * time.Millisecond // between two queries of a relay
	// peerViewTimeout bounds a query. A relay that does not answer in time, such as a stalled one, is skipped until the
	// next interval.
	peerViewTimeout = 250 * time.Millisecond
	maxPeerViewSize = 1 << 20 // bytes
)

// watchPeerViews records what a relay reports about the other members of its fleet, until ctx ends.
func (r *runner) watchPeerViews(ctx context.Context, relay *relay) {
	client := &http.Client{Timeout: peerViewTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for sleepUntil(ctx, time.Now().Add(peerViewInterval)) {
		status, delay, err := queryFleetStatus(ctx, client, relay.fleet.adminAddr)
		if err != nil || status.Status == nil {
			continue // the relay is down, stalled or not listening yet
		}
		for _, member := range status.Members {
			r.record.Add(eventlog.Event{
				Kind:     eventlog.PeerView,
				Relay:    relay.name,
				Name:     member.Name,
				State:    member.State,
				Duration: member.Age,
				Delay:    delay,
				Status:   int(member.Incarnation.Generation),
			})
		}
	}
}

// queryFleetStatus requests a relay's view of its fleet. The returned status is at most delay old.
func queryFleetStatus(
	ctx context.Context, client *http.Client, addr string,
) (status fleet.Status, delay time.Duration, err error) {
	startedAt := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/fleet", nil)
	if err != nil {
		return fleet.Status{}, 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return fleet.Status{}, 0, err
	}
	defer func() { _ = response.Body.Close() }() // the body was only read
	err = json.NewDecoder(io.LimitReader(response.Body, maxPeerViewSize)).Decode(&status)
	return status, time.Since(startedAt), err
}
