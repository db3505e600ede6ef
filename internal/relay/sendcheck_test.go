package relay

import (
	"slices"
	"testing"
	"time"
)

// TestDelayedCallFitsItsEndpoint guards against a call that is delayed by its connection and then made in a form that
// the endpoint no longer takes: a reload allows fewer messages in a call, or the endpoint is of another kind now.
func TestDelayedCallFitsItsEndpoint(t *testing.T) {
	reload := func(batch int) stateChange {
		return func(r *Relay, _ *stepState) {
			cfg := r.cfg.Config
			cfg.Settings.DestinationKinds = slices.Clone(cfg.Settings.DestinationKinds)
			cfg.Settings.DestinationKinds[0].MaxBatch = batch
			r.changeConfig(configChange{config: cfg})
		}
	}
	for name, c := range map[string]struct {
		change event
		want   int // attempts that may still be sent
	}{
		"no change":          {listChange(entryText("127.0.0.1:1", "platform", "ready")), 3},
		"as many as allowed": {reload(3), 3},
		"fewer allowed":      {reload(2), 0},
		"one allowed":        {reload(1), 0},
		"another kind":       {listChange(entryText("127.0.0.1:1", "store", "ready")), 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			release := occupyCallMemory(r)
			messages := submitWaiting(t, r, "platform", "m1", "m2", "m3")
			delayed := r.waitingCalls[0]
			r.waitingCalls = nil // as if it had its memory, and waited for a connection
			release()
			r.step([]event{c.change})
			if sendable := r.sendableAttempts(delayed); len(sendable) != c.want {
				t.Errorf("%d of %d attempts may be sent, want %d", len(sendable), len(messages), c.want)
			}
		})
	}
}

// TestSendCheckOmitsEndedMessages guards against a delayed call with a message that has ended meanwhile.
func TestSendCheckOmitsEndedMessages(t *testing.T) {
	r := newTestRelay(t)
	release := occupyCallMemory(r)
	messages := submitWaiting(t, r, "platform", "m1", "m2")
	delayed := r.waitingCalls[0]
	r.waitingCalls = nil
	release()
	r.step([]event{cancelEvent{messages[0].ID}})
	sendable := r.sendableAttempts(delayed)
	if len(sendable) != 1 || sendable[0].message != messages[1] {
		t.Fatalf("%d attempts may be sent, want that of the second message", len(sendable))
	}
	sendable[0].Deadline = time.Now()
	if len(r.sendableAttempts(delayed)) != 0 {
		t.Error("an attempt that has timed out may be sent")
	}
}
