package main

import (
	"cmp"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// untriedCase is a restart with messages that were accepted and not sent.
type untriedCase struct {
	name    string
	senders int
	weights string
	kind    string
	known   bool // the next process lists the endpoint from its start; otherwise discovery adds it

	messages int    // 0: eight
	room     int    // for messages; 0: 50
	class    string // "": order
	term     bool   // ended by SIGTERM, and not killed
}

func untriedCases() []untriedCase {
	return []untriedCase{
		{name: "no limits known, 300 relays", senders: 300, weights: "none", kind: singleKind, known: true},
		{name: "no limits known, several in a call", senders: 300, weights: "none", kind: batchKind, known: true},
		{name: "no limits known, 2 relays", senders: 2, weights: "none", kind: singleKind, known: true},
		{name: "no limits known, the endpoint is listed late", senders: 300, weights: "none", kind: singleKind},
		{name: "limits are listed, 300 relays", senders: 300, weights: "nominal", kind: singleKind, known: true},
		{name: "limits are listed, the endpoint is listed late", senders: 300, weights: "nominal", kind: singleKind},
		{name: "terminated", senders: 300, weights: "nominal", kind: singleKind, known: true, term: true},
		{name: "may not be repeated", senders: 300, weights: "none", kind: singleKind, known: true, class: "pay"},
		{
			name:    "may not be repeated, terminated, listed late",
			senders: 2, weights: "nominal", kind: singleKind, class: "pay", term: true,
		},
		{
			name:    "nearly no room",
			senders: 2, weights: "nominal", kind: singleKind, known: true, messages: 60, room: 64,
		},
		{
			name:    "more than there is room for now",
			senders: 2, weights: "nominal", kind: batchKind, known: true, messages: 60, room: 10,
		},
	}
}

// Messages that a restart finds accepted and not sent are still sent, whatever is known of limits and whenever their
// endpoint is listed.
func TestUntriedMessagesSurviveARestart(t *testing.T) {
	for _, c := range untriedCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testUntried(t, c)
		})
	}
}

func testUntried(t *testing.T, c untriedCase) {
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	list := func(state string) []listEntry {
		return []listEntry{newEntry("s-1", endpoint.addr(), "a", c.kind, state)}
	}
	r := newRelay(t, platform, list("draining"), func(settings map[string]any) {
		settings["fleet_size"] = c.senders
		settings["weight_kind"] = c.weights
		settings["rules"].(map[string]any)["overload_factor"] = 2.5
		settings["bounds"].(map[string]any)["open_cap"] = max(50, c.messages*2)
		withPayments(settings)
	})
	messages := cmp.Or(c.messages, 8)
	for i := range messages {
		status, _ := r.submit(fmt.Sprint("m", i), 12*time.Second, withClass(cmp.Or(c.class, "order")))
		if status != http.StatusAccepted {
			t.Fatalf("m%d: status %d", i, status)
		}
	}
	if c.term {
		must(t, r.terminate())
	} else {
		r.kill()
	}
	if c.room > 0 {
		r.config["settings"].(map[string]any)["bounds"].(map[string]any)["open_cap"] = c.room
	}
	if c.known {
		r.config["known"] = map[string]any{"version": 2, "full": true, "servers": list("ready")}
	}
	r.writeConfig()
	r.start(platform)
	if !c.known {
		platform.publish(false, list("ready")...)
	}
	for i := range messages {
		id := fmt.Sprint("m", i)
		eventually(t, id+" sent or ended", func() bool { return endpoint.count(id) > 0 || platform.notification(id) != nil })
		if endpoint.count(id) == 0 {
			t.Errorf("%s was never sent: %v", id, platform.notification(id))
		}
	}
}
