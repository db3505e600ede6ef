package policy

import (
	"testing"
	"time"
)

// restartSettings have one idempotent-by-key class whose repeats are dropped in a zone for 10 s.
func restartSettings() Settings {
	return Settings{
		Classes: []Class{{
			Effect: IdempotentByKey, DedupWindow: 10 * time.Second, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second, Weight: 1,
		}},
		DestinationKinds: []DestinationKind{
			{LimitPerEndpoint: true, MaxBatch: 1},
		}, MaxAttempts: 8, MaxRetryAfter: 3 * time.Second,
	}
}

// twoZoneList is a list of a better endpoint in zone 1 and another in zone 0.
func twoZoneList() Event {
	return Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{
		{ID: "best", Destination: 5, Zone: 1, Weight: 50, InService: true},
		{ID: "other", Destination: 5, Zone: 0, Weight: 20, InService: true},
	}}
}

func stepRecovered(t *testing.T, recovered *RecoveredMessage) []Action {
	t.Helper()
	engine, err := New(restartSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	return engine.Step(time.Second, []Event{
		twoZoneList(), {Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: 8 * time.Second, Recovered: recovered},
	})
}

func TestRecoveredMessagesKeepZoneAndWindow(t *testing.T) {
	for _, test := range []struct {
		name    string
		resumed RecoveredMessage
		route   string // "" if none may be tried
	}{
		{"nothing ran", RecoveredMessage{Attempts: 1}, "best"},
		{"one may have run in zone 0", RecoveredMessage{Attempts: 1, MayHaveRun: true, SinceFirstRun: 5 * time.Second}, "other"},
		{"too long ago", RecoveredMessage{Attempts: 1, MayHaveRun: true, SinceFirstRun: 11 * time.Second}, ""},
		{"no attempts left", RecoveredMessage{Attempts: 8}, ""},
	} {
		endpointID := ""
		for _, a := range stepRecovered(t, &test.resumed) {
			if a.Kind == Send {
				endpointID = a.Endpoint
			}
		}
		if endpointID != test.route {
			t.Errorf("%s: sent to %q, want %q", test.name, endpointID, test.route)
		}
	}
}

func TestOverdueRecoveredMessagesEndAtOnce(t *testing.T) {
	for _, test := range []struct {
		resumed RecoveredMessage
		want    ActionKind
	}{{RecoveredMessage{}, Reject}, {RecoveredMessage{Attempts: 1, MayHaveRun: true}, Fail}} {
		engine, err := New(restartSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		actions := engine.Step(
			time.Second,
			[]Event{
				twoZoneList(),
				{Kind: MessageAccepted, MessageID: 1, Destination: 5, TimeLeft: -time.Second, Recovered: &test.resumed},
			},
		)
		if len(actions) == 0 || actions[0].Kind != test.want {
			t.Errorf("%+v: %+v", test.resumed, actions)
		}
	}
}

func TestRecoveredBacklogIsPaced(t *testing.T) {
	engine, err := New(restartSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{twoZoneList()}
	for i := range uint32(40) {
		events = append(
			events,
			Event{
				Kind:        MessageAccepted,
				MessageID:   i,
				Destination: 5,
				TimeLeft:    8 * time.Second,
				Recovered:   &RecoveredMessage{},
			},
		)
	}
	sends := 0
	for _, a := range engine.Step(time.Second, events) {
		if a.Kind == Send {
			sends++
		}
	}
	if sends == 0 || sends > 4 { // one for each endpoint, and what rounding adds
		t.Errorf("%d sends at once", sends)
	}
}

// recoveredOutcome plays a relay of many that resumes messages nobody has tried, for as long as they have; what becomes of
// each.
type recoveredOutcome struct {
	sent, rejected map[uint32]time.Duration // when
}

func runRecovered(t *testing.T, settings Settings, first []Event, n int, left time.Duration) recoveredOutcome {
	t.Helper()
	engine, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	u := recoveredOutcome{map[uint32]time.Duration{}, map[uint32]time.Duration{}}
	began := time.Second
	now, events := began, first
	for id := range uint32(n) {
		events = append(
			events,
			Event{
				Kind:        MessageAccepted,
				MessageID:   id + 1,
				Destination: 5,
				TimeLeft:    left,
				Recovered:   &RecoveredMessage{},
			},
		)
	}
	for now < began+left+time.Second {
		wake := now + time.Second
		var next []Event
		for _, a := range engine.Step(now, events) {
			switch a.Kind {
			case Send:
				u.sent[a.MessageID] = now - began
				next = append(
					next,
					Event{
						Kind:         AttemptFinished,
						MessageID:    a.MessageID,
						Endpoint:     a.Endpoint,
						Outcome:      OK,
						Latency:      50 * time.Millisecond,
						MessageEnded: true,
					},
				)
			case Reject:
				u.rejected[a.MessageID] = now - began
			case Fail:
				t.Errorf("message %d failed", a.MessageID)
			case SetTimer:
				wake = min(wake, now+a.Delay)
			}
		}
		if events = next; len(events) > 0 {
			wake = min(wake, now+50*time.Millisecond)
		}
		now = wake
	}
	return u
}

// Where nothing tells of limits a part of them tells nothing either: what waits is tried in half of its time. Where a
// limit bars some of it, or no room is left, it is kept until its time is up; it ends early only where a wait is told
// beyond that.
func TestUntriedMessagesAreTriedOrKept(t *testing.T) {
	const left = 10 * time.Second
	plain := restartSettings()
	plain.DestinationKinds, plain.FleetSize, plain.WarmUpDuration, plain.OverloadWindow = []DestinationKind{
		{MaxBatch: 1},
	}, 300, 14*time.Second, 3*time.Second
	untold := plain
	untold.IgnoreWeights = true
	few := untold
	few.FleetSize = 2
	full := plain
	full.MaxPendingMessages = 20
	list := func(weight float64) []Event {
		return []Event{
			{
				Kind:      EndpointSnapshot,
				Endpoints: []Endpoint{{ID: "only", Destination: 5, Weight: weight, InService: true}},
			},
		}
	}
	told := append(list(500), Event{Kind: HealthChecked, Endpoint: "only", Outcome: NotSent, RetryAfter: time.Minute})
	for _, test := range []struct {
		name         string
		set          Settings
		first        []Event
		n            int
		sent         int           // at least
		sentBy       time.Duration // all of these
		rejectedFrom time.Duration // none before; the rest
	}{
		{"limits not told", untold, list(0), 20, 20, left/2 + time.Second, left},
		{"limits not told, one message", untold, list(0), 1, 1, left / 2, left},
		{"limits not told, few relays", few, list(0), 20, 20, left/2 + time.Second, left},
		{"a limit that bars most", plain, list(3), 20, 1, left, left - 50*time.Millisecond},
		{"no room", full, list(3), 20, 1, left, left - 50*time.Millisecond},
		{"a wait beyond their time", plain, told, 20, 0, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			u := runRecovered(t, test.set, test.first, test.n, left)
			if len(u.sent) < test.sent || len(u.sent)+len(u.rejected) != test.n {
				t.Errorf("%d sent, %d rejected of %d", len(u.sent), len(u.rejected), test.n)
			}
			for id, at := range u.sent {
				if at > test.sentBy {
					t.Errorf("message %d sent after %v", id, at)
				}
			}
			for id, at := range u.rejected {
				if at < test.rejectedFrom {
					t.Errorf("message %d rejected after %v", id, at)
				}
				if test.rejectedFrom == 0 && at > 0 {
					t.Errorf("message %d, told to wait beyond its time, rejected after %v only", id, at)
				}
			}
		})
	}
}
