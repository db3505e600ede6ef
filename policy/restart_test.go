package policy

import (
	"slices"
	"testing"
	"time"
)

// restartSettings returns settings with one class, whose messages have an idempotency key. The endpoints of one
// zone drop repeats for 10 s.
func restartSettings() Settings {
	return Settings{
		Classes: []Class{{
			Effect:           IdempotentByKey,
			DedupWindow:      10 * time.Second,
			LatencyObjective: 3 * time.Second,
			Deadline:         16 * time.Second,
			Weight:           1,
		}},
		DestinationKinds: []DestinationKind{{LimitPerEndpoint: true, MaxBatch: 1}},
		MaxAttempts:      8,
		MaxRetryAfter:    3 * time.Second,
	}
}

// twoZoneList returns a list with an endpoint in zone 1 and another, of lower weight, in zone 0.
func twoZoneList() Event {
	return Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{
		{ID: "best", Destination: 5, Zone: 1, Weight: 50, InService: true},
		{ID: "other", Destination: 5, Zone: 0, Weight: 20, InService: true},
	}}
}

// acceptRecovered returns the actions of a new Engine that accepts one recovered message.
func acceptRecovered(t *testing.T, recovered RecoveredMessage, left time.Duration) []Action {
	t.Helper()
	engine, err := New(restartSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return engine.Step(time.Second, []Event{
		twoZoneList(),
		{Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: left, Recovered: &recovered},
	})
}

func TestRecoveredMessagesKeepZoneAndWindow(t *testing.T) {
	for _, test := range []struct {
		name      string
		recovered RecoveredMessage
		endpoint  string // "" if none may be tried
	}{
		{"has not run", RecoveredMessage{Attempts: 1}, "best"},
		{
			"may have run in zone 0",
			RecoveredMessage{Attempts: 1, MayHaveRun: true, SinceFirstRun: 5 * time.Second},
			"other",
		},
		{"too long ago", RecoveredMessage{Attempts: 1, MayHaveRun: true, SinceFirstRun: 11 * time.Second}, ""},
		{"no attempts left", RecoveredMessage{Attempts: 8}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := firstSend(acceptRecovered(t, test.recovered, 8*time.Second))
			if got != test.endpoint {
				t.Errorf("sent to %q, want %q", got, test.endpoint)
			}
		})
	}
}

// A message that an earlier process accepted under other settings keeps its class and its maximum number of attempts.
func TestRecoveredMessageKeepsTermsThatSettingsLack(t *testing.T) {
	class := restartSettings().Classes[0]
	for _, test := range []struct {
		name        string
		change      func(*Class)
		maxAttempts int
		attempts    int
		want        ActionKind
	}{
		{"unchanged", func(*Class) {}, 8, 1, Send},
		{"non-idempotent", func(class *Class) { class.Effect = NonIdempotent }, 8, 1, Fail},
		{"shorter window", func(class *Class) { class.DedupWindow = 4 * time.Second }, 8, 1, Fail},
		{"fewer attempts", func(*Class) {}, 2, 2, Fail},
		{"more attempts", func(*Class) {}, 10, 9, Send},
	} {
		t.Run(test.name, func(t *testing.T) {
			terms := MessageTerms{Class: class, MaxAttempts: test.maxAttempts}
			test.change(&terms.Class)
			actions := acceptRecovered(t, RecoveredMessage{
				Attempts:      test.attempts,
				MayHaveRun:    true,
				SinceFirstRun: 5 * time.Second,
				Terms:         &terms,
			}, 8*time.Second)
			isEnd := func(a Action) bool { return a.Kind == Send || a.Kind == Fail || a.Kind == Reject }
			if i := slices.IndexFunc(actions, isEnd); i < 0 || actions[i].Kind != test.want {
				t.Errorf("actions %+v, want %v", actions, test.want)
			}
		})
	}
}

func TestOverdueRecoveredMessagesEndAtOnce(t *testing.T) {
	for _, test := range []struct {
		recovered RecoveredMessage
		want      ActionKind
	}{{RecoveredMessage{}, Reject}, {RecoveredMessage{Attempts: 1, MayHaveRun: true}, Fail}} {
		actions := acceptRecovered(t, test.recovered, -time.Second)
		if len(actions) == 0 || actions[0].Kind != test.want {
			t.Errorf("%+v: %+v", test.recovered, actions)
		}
	}
}

func TestRecoveredBacklogIsPaced(t *testing.T) {
	engine, err := New(restartSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	sends := 0
	events := append([]Event{twoZoneList()}, untriedMessages(40, 8*time.Second)...)
	for _, a := range engine.Step(time.Second, events) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends == 0 || sends > 4 { // one for each endpoint, plus some for rounding
		t.Errorf("%d sends at once", sends)
	}
}

// untriedMessages returns events of n recovered messages without an attempt, all for destination 5.
func untriedMessages(n int, left time.Duration) (events []Event) {
	for id := range MessageID(n) {
		events = append(events, Event{
			Kind:        MessageAccepted,
			MessageID:   id + 1,
			Destination: 5,
			TimeLeft:    left,
			Recovered:   &RecoveredMessage{},
		})
	}
	return events
}

// recoveredOutcome holds the times since the restart at which recovered messages were sent or rejected.
type recoveredOutcome struct {
	sent, rejected map[MessageID]time.Duration
}

// runRecovered runs a relay that recovers n messages without an attempt, until they have passed their deadlines.
func runRecovered(t *testing.T, settings Settings, initial []Event, n int, left time.Duration) recoveredOutcome {
	t.Helper()
	engine, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	const startedAt = time.Second
	const latency = 50 * ms
	outcome := recoveredOutcome{sent: map[MessageID]time.Duration{}, rejected: map[MessageID]time.Duration{}}
	now := startedAt
	events := slices.Concat(initial, untriedMessages(n, left))
	for now < startedAt+left+time.Second {
		next := now + time.Second
		var answers []Event
		for _, a := range engine.Step(now, events) {
			switch a.Kind {
			case Send:
				outcome.sent[a.MessageID] = now - startedAt
				answers = append(answers, Event{
					Kind:         AttemptFinished,
					MessageID:    a.MessageID,
					Endpoint:     a.Endpoint,
					Outcome:      OK,
					Latency:      latency,
					MessageEnded: true,
				})
			case Reject:
				outcome.rejected[a.MessageID] = now - startedAt
			case Fail:
				t.Errorf("message %d failed", a.MessageID)
			case SetTimer:
				next = min(next, now+a.Delay)
			}
		}
		events = answers
		if len(events) > 0 {
			next = min(next, now+latency)
		}
		now = next
	}
	return outcome
}

// If no limit is known, this relay's share is not known either, and recovered messages are tried within half of
// their time left. If a limit blocks some of them, or the relay is at its maximum of pending messages, they wait
// until their deadlines. They end early only if a Retry-After blocks all endpoints beyond their deadlines.
func TestUntriedMessagesAreTriedOrKept(t *testing.T) {
	const left = 10 * time.Second
	limited := restartSettings()
	limited.DestinationKinds = []DestinationKind{{MaxBatch: 1}}
	limited.FleetSize = 300
	limited.WarmUpDuration = 14 * time.Second
	limited.OverloadWindow = 3 * time.Second
	unlimited := limited
	unlimited.IgnoreWeights = true
	smallFleet := unlimited
	smallFleet.FleetSize = 2
	full := limited
	full.MaxPendingMessages = 20
	list := func(weight float64) []Event {
		endpoints := []Endpoint{{ID: "only", Destination: 5, Weight: weight, InService: true}}
		return []Event{{Kind: EndpointSnapshot, Endpoints: endpoints}}
	}
	retryAfter := Event{Kind: HealthChecked, Endpoint: "only", Outcome: NotSent, RetryAfter: time.Minute}
	blocked := append(list(500), retryAfter)
	for _, test := range []struct {
		name         string
		settings     Settings
		initial      []Event
		n            int
		sent         int           // minimum number of sent messages
		sentBy       time.Duration // latest time of a first attempt
		rejectedFrom time.Duration // earliest time of a rejection; 0: at once
	}{
		{"no limit known", unlimited, list(0), 20, 20, left/2 + time.Second, left},
		{"no limit known, one message", unlimited, list(0), 1, 1, left / 2, left},
		{"no limit known, small fleet", smallFleet, list(0), 20, 20, left/2 + time.Second, left},
		{"a limit that blocks most", limited, list(3), 20, 1, left, left - 50*ms},
		{"at the maximum of pending messages", full, list(3), 20, 1, left, left - 50*ms},
		{"a Retry-After beyond their time", limited, blocked, 20, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			outcome := runRecovered(t, test.settings, test.initial, test.n, left)
			if len(outcome.sent) < test.sent || len(outcome.sent)+len(outcome.rejected) != test.n {
				t.Errorf("%d sent, %d rejected of %d", len(outcome.sent), len(outcome.rejected), test.n)
			}
			for id, at := range outcome.sent {
				if at > test.sentBy {
					t.Errorf("message %d sent after %v", id, at)
				}
			}
			for id, at := range outcome.rejected {
				if at < test.rejectedFrom {
					t.Errorf("message %d rejected after %v", id, at)
				}
				if test.rejectedFrom == 0 && at > 0 {
					t.Errorf("message %d, blocked beyond its deadline, rejected only after %v", id, at)
				}
			}
		})
	}
}
