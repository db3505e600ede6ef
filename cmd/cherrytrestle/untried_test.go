package main

import (
	"cmp"
	"fmt"
	"net/http"
	"testing"
	"time"
)

// What a restart finds taken on and untried is still tried, whatever is told of limits and whenever its host is listed.
func TestUntriedMessagesSurviveARestart(t *testing.T) {
	for _, c := range []struct {
		name    string
		senders int
		weights string
		kind    string
		known   bool // the next process knows the host from its start; else it is told of it

		messages int    // 0: eight
		room     int    // for messages; 0: 50
		class    string // "": order
		term     bool   // told to end, and not killed
	}{
		{name: "nothing tells of limits, 300 relays", senders: 300, weights: "none", kind: "gateway", known: true},
		{name: "nothing tells of limits, 300 relays, several in a call", senders: 300, weights: "none", kind: "platform", known: true},
		{name: "nothing tells of limits, 2 relays", senders: 2, weights: "none", kind: "gateway", known: true},
		{name: "nothing tells of limits, the host is listed late", senders: 300, weights: "none", kind: "gateway", known: false},
		{name: "limits are listed, 300 relays", senders: 300, weights: "nominal", kind: "gateway", known: true},
		{name: "limits are listed, the host is listed late", senders: 300, weights: "nominal", kind: "gateway", known: false},
		{name: "told to end", senders: 300, weights: "nominal", kind: "gateway", known: true, term: true},
		{name: "may not be repeated", senders: 300, weights: "none", kind: "gateway", known: true, class: "pay"},
		{name: "may not be repeated, told to end, listed late", senders: 2, weights: "nominal", kind: "gateway", class: "pay", term: true},
		{name: "a full house", senders: 2, weights: "nominal", kind: "gateway", known: true, messages: 60, room: 64},
		{name: "more than there is room for now", senders: 2, weights: "nominal", kind: "platform", known: true, messages: 60, room: 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t)
			h := newEndpoint(t, nil)
			host := func(state string) []listEntry { return []listEntry{newEntry("s-1", h.addr(), "a", c.kind, state)} }
			r := newRelay(t, p, host("draining"), func(settings map[string]any) {
				settings["fleet_size"], settings["weight_kind"] = c.senders, c.weights
				settings["rules"].(map[string]any)["overload_factor"] = 2.5
				settings["bounds"].(map[string]any)["open_cap"] = max(50, c.messages*2)
				withPayments(settings)
			})
			messages := cmp.Or(c.messages, 8)
			for i := range messages {
				if status, _ := r.submit(fmt.Sprint("m", i), 12*time.Second, withClass(cmp.Or(c.class, "order"))); status != http.StatusAccepted {
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
				r.config["known"] = map[string]any{"version": 2, "full": true, "servers": host("ready")}
			}
			r.writeConfig()
			r.start(p)
			if !c.known {
				p.publish(false, host("ready")...)
			}
			for i := range messages {
				id := fmt.Sprint("m", i)
				eventually(t, id+" tried or ended", func() bool { return h.count(id) > 0 || p.notification(id) != nil })
				if final := p.notification(id); h.count(id) == 0 {
					t.Errorf("%s was never called for: %v", id, final)
				}
			}
		})
	}
}
