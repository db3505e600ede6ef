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
	peerViewInterval = 500 * time.Millisecond
	// A relay that does not answer by then, as one that is stalled, is passed over.
	peerViewTimeout = 250 * time.Millisecond
	maxPeerViewSize = 1 << 20 // bytes
)

// watchPeerViews records what a relay states of the others, until ctx ends.
func (r *runner) watchPeerViews(ctx context.Context, relay *relay) {
	client := &http.Client{Timeout: peerViewTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for sleepUntil(ctx, time.Now().Add(peerViewInterval)) {
		status, delay, err := queryFleetStatus(ctx, client, relay.fleet.adminAddr)
		if err != nil || status.Status == nil {
			continue // it is down or stalled, or does not listen yet
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

// queryFleetStatus queries a relay; delay bounds how old its answer is.
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
	defer func() { _ = response.Body.Close() }() // it was only read
	err = json.NewDecoder(io.LimitReader(response.Body, maxPeerViewSize)).Decode(&status)
	return status, time.Since(startedAt), err
}
