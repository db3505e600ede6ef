package main

import (
	"cmp"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// unsentCase is a restart of a relay that has accepted messages but not sent them.
type unsentCase struct {
	name       string
	fleetSize  int
	weightKind string // "none": the endpoints' weights are not used as limits
	kind       string // the kind of the destination
	known      bool   // the next process has the endpoint in its configuration; otherwise discovery adds it
	messages   int    // 0: eight
	maxPending int    // maximum of pending messages in the next process; 0: unchanged
	class      string // "": order
	sigterm    bool   // the first process is terminated; otherwise it is killed
}

var unsentCases = []unsentCase{
	{
		name:       "no limits known, 300 relays",
		fleetSize:  300,
		weightKind: "none",
		kind:       singleKind,
		known:      true,
	},
	{
		name:       "no limits known, several in a call",
		fleetSize:  300,
		weightKind: "none",
		kind:       batchKind,
		known:      true,
	},
	{
		name:       "no limits known, 2 relays",
		fleetSize:  2,
		weightKind: "none",
		kind:       singleKind,
		known:      true,
	},
	{
		name:       "no limits known, the endpoint is listed late",
		fleetSize:  300,
		weightKind: "none",
		kind:       singleKind,
	},
	{
		name:       "limits are listed, 300 relays",
		fleetSize:  300,
		weightKind: "nominal",
		kind:       singleKind,
		known:      true,
	},
	{
		name:       "limits are listed, the endpoint is listed late",
		fleetSize:  300,
		weightKind: "nominal",
		kind:       singleKind,
	},
	{
		name:       "terminated",
		fleetSize:  300,
		weightKind: "nominal",
		kind:       singleKind,
		known:      true,
		sigterm:    true,
	},
	{
		name:       "may not be repeated",
		fleetSize:  300,
		weightKind: "none",
		kind:       singleKind,
		known:      true,
		class:      "pay",
	},
	{
		name:       "may not be repeated, terminated, listed late",
		fleetSize:  2,
		weightKind: "nominal",
		kind:       singleKind,
		class:      "pay",
		sigterm:    true,
	},
	{
		name:       "nearly as many as may be pending",
		fleetSize:  2,
		weightKind: "nominal",
		kind:       singleKind,
		known:      true,
		messages:   60,
		maxPending: 64,
	},
	{
		name:       "more than may be pending",
		fleetSize:  2,
		weightKind: "nominal",
		kind:       batchKind,
		known:      true,
		messages:   60,
		maxPending: 10,
	},
}

// TestUnsentMessagesSurviveARestart restarts a relay that has accepted messages for a draining endpoint. The next
// process sends all of them when the endpoint is in service.
func TestUnsentMessagesSurviveARestart(t *testing.T) {
	for _, c := range unsentCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testUnsent(t, c)
		})
	}
}

func testUnsent(t *testing.T, c unsentCase) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	list := func(state string) []listEntry {
		return []listEntry{newEntry("s-1", endpoint.addr(), "a", c.kind, state)}
	}
	r := newRelay(t, platform, list("draining"), func(settings map[string]any) {
		settings["fleet_size"] = c.fleetSize
		settings["weight_kind"] = c.weightKind
		settings["rules"].(map[string]any)["overload_factor"] = 2.5
		setMaxPending(settings, max(50, c.messages*2))
		withPayments(settings)
	})
	messages := cmp.Or(c.messages, 8)
	for i := range messages {
		status, _ := r.submit(fmt.Sprint("m", i), 12*time.Second, withClass(cmp.Or(c.class, "order")))
		if status != http.StatusAccepted {
			t.Fatalf("submission of m%d: status %d, want %d", i, status, http.StatusAccepted)
		}
	}
	if c.sigterm {
		must(t, r.terminate())
	} else {
		r.kill()
	}
	if c.maxPending > 0 {
		setMaxPending(r.config["settings"].(map[string]any), c.maxPending)
	}
	if c.known {
		r.setKnown(2, list("ready")...)
	}
	r.writeConfig()
	r.start(platform)
	if !c.known {
		platform.publish(false, list("ready")...)
	}
	for i := range messages {
		id := fmt.Sprint("m", i)
		waitSentOrEnded(t, endpoint, platform, id)
		if endpoint.count(id) == 0 {
			t.Errorf("%s was never sent, notification: %v", id, platform.notification(id))
		}
	}
}
