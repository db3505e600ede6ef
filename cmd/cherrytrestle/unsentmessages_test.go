package main

import (
	"cmp"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// unsentCase is a restart with messages that were accepted and not sent.
type unsentCase struct {
	name       string
	fleetSize  int
	weightKind string // of the settings
	kind       string // of the destination
	known      bool   // the next process knows the endpoint from its start; otherwise discovery adds it
	messages   int    // 0: eight
	maxPending int    // of the next process; 0: as before
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

// TestUnsentMessagesSurviveARestart restarts a relay that has accepted messages for a draining endpoint: the next
// process sends all of them once the endpoint is in service.
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
			t.Fatalf("m%d: status %d", i, status)
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
			t.Errorf("%s was never sent: %v", id, platform.notification(id))
		}
	}
}
