package policy

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestLoadIsShedFromTheLongestQueue(t *testing.T) {
	settings := testSettings()
	settings.MaxPendingMessages = 10
	h := newHarness(t, settings)
	for id := range MessageID(9) {
		h.accept(id, 0)
	}
	actions := h.step(Event{Kind: MessageAccepted, MessageID: 20, Destination: 4, TimeLeft: 60 * time.Second})
	if len(actions) != 1 || actions[0].Kind != Reject || actions[0].MessageID == 20 {
		t.Errorf("near the limit of pending messages: %+v, want one rejection of an earlier message", actions)
	}
}

// Load shedding inspects a bounded number of messages to find one to reject. After a restart, MaxPendingMessages
// messages may be pending, none of which may be rejected. Without the bound, all of them would be inspected for
// each recovered and each new message.
func TestLoadSheddingScansABoundedQueue(t *testing.T) {
	for _, test := range []struct {
		name     string
		behind   int // number of messages that may not be rejected, queued behind one that may
		rejected bool
	}{
		{"near the end", maxQueueScan - 1, true},
		{"beyond the bound", maxQueueScan, false},
	} {
		engine, err := New(Settings{
			Classes: []Class{
				{Effect: Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second},
			},
			MaxPendingMessages: (test.behind*10 + 8) / 9, // only the last message exceeds maxPendingRatio
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{{Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: 8 * time.Second}}
		for i := range test.behind {
			events = append(events, Event{
				Kind:        MessageAccepted,
				MessageID:   MessageID(i + 2),
				Destination: 5,
				TimeLeft:    9 * time.Second,
				Recovered:   &RecoveredMessage{},
			})
		}
		rejected := false
		for _, a := range engine.Step(time.Second, events) {
			rejected = rejected || a.Kind == Reject && a.MessageID == 1
		}
		if rejected != test.rejected {
			t.Errorf("%s: rejected %v, want %v", test.name, rejected, test.rejected)
		}
	}
}

// A message of an unknown class gets one final answer under the strictest rules: it fails after a timeout instead
// of being retried. A weight that is not a number is ignored.
func TestUnknownClassAndWeight(t *testing.T) {
	for _, classIndex := range []int{-1, 99} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a", Weight: math.NaN()}, Endpoint{ID: "b", Kind: 77})
		if got := firstSend(h.accept(1, classIndex)); got == "" {
			t.Fatalf("class %d: not sent", classIndex)
		}
		if actions := h.finish(1, "a", Timeout, time.Second, 0); !hasAction(actions, Fail) || hasAction(actions, Send) {
			t.Errorf("class %d: %+v after a timeout, want a failure and no retry", classIndex, actions)
		}
	}
}

// Messages beyond a tenant's quota are sent after messages within it. Messages of a tenant without a quota are
// always within it. A burst of two seconds' traffic is within the quota.
func TestMessagesBeyondTheQuotaGoLater(t *testing.T) {
	settings := testSettings()
	settings.Tenants = []Tenant{{Quota: 1}, {}}
	h := newHarness(t, settings)
	accept := func(tenant int, ids ...MessageID) {
		for _, id := range ids {
			h.step(Event{Kind: MessageAccepted, MessageID: id, Tenant: tenant, TimeLeft: 60 * time.Second})
		}
	}
	accept(0, 1, 2, 3, 4, 5)
	accept(1, 6, 7, 8, 9, 10)
	var got []MessageID
	for _, a := range h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", InService: true}}}) {
		if a.Kind != Send {
			t.Errorf("%+v, want sends only", a)
		}
		got = append(got, a.MessageID)
	}
	if want := []MessageID{1, 2, 3, 6, 7, 8, 9, 10, 4, 5}; !slices.Equal(got, want) {
		t.Errorf("messages are sent in the order %v, want %v", got, want)
	}
}
