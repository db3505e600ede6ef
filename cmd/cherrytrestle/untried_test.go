package main

import (
	"fmt"
	"testing"
	"time"
)

// What a restart finds taken on and untried is still tried, whatever is told of limits and whenever its host is listed.
func TestWhatARestartFindsUntriedIsTried(t *testing.T) {
	const messages = 8
	for _, c := range []struct {
		name    string
		senders int
		weights string
		kind    string
		known   bool // the next process knows the host from its start; else it is told of it
	}{
		{"nothing tells of limits, 300 relays", 300, "none", "gateway", true},
		{"nothing tells of limits, 300 relays, several in a call", 300, "none", "platform", true},
		{"nothing tells of limits, 2 relays", 2, "none", "gateway", true},
		{"nothing tells of limits, the host is listed late", 300, "none", "gateway", false},
		{"limits are listed, 300 relays", 300, "nominal", "gateway", true},
		{"limits are listed, the host is listed late", 300, "nominal", "gateway", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t)
			h := newHost(t, nil)
			host := func(state string) []member { return []member{listed("s-1", h.addr(), "a", c.kind, state)} }
			r := newRelay(t, p, host("draining"), func(settings map[string]any) {
				settings["fleet_size"], settings["weight_kind"] = c.senders, c.weights
				settings["rules"].(map[string]any)["overload_factor"] = 2.5
			})
			for i := range messages {
				r.take(fmt.Sprint("m", i), 12*time.Second)
			}
			r.kill()
			if c.known {
				r.config["known"] = map[string]any{"version": 2, "full": true, "servers": host("ready")}
				r.writeConfig()
			}
			r.start(p)
			if !c.known {
				p.tell(false, host("ready")...)
			}
			for i := range messages {
				id := fmt.Sprint("m", i)
				eventually(t, id+" tried or ended", func() bool { return h.count(id) > 0 || p.final(id) != nil })
				if final := p.final(id); h.count(id) == 0 {
					t.Errorf("%s was never called for: %v", id, final)
				}
			}
		})
	}
}
