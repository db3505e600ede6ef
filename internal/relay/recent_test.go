package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A message is handed in once more under its id when it was just forgotten, as after an answer that was lost with its
// connection: what has run, or may have, does not run again; what surely never ran, or was put off, is a new one.
func TestAnIDThatWasJustForgotten(t *testing.T) {
	const dest = 8 // listed once, and without a host now: nothing is sent but what the test says
	for _, c := range []struct {
		name   string
		result *result        // of its one attempt; nil: none was made
		final  *policy.Action // after that; nil: none
		status int
		taken  bool // as a new one
		left   bool // its client left with the call out
	}{
		{"delivered", &result{outcome: policy.OK}, nil, http.StatusAccepted, false, false},
		{"delivered when its client had left", &result{outcome: policy.OK}, nil, http.StatusAccepted, false, true},
		{"refused when its client had left", &result{outcome: policy.Overloaded}, nil, http.StatusAccepted, true, true},
		{"failed, may have run", &result{outcome: policy.Reset}, &policy.Action{Kind: policy.Fail}, http.StatusInternalServerError, false, false},
		{"put off", &result{outcome: policy.Overloaded}, &policy.Action{Kind: policy.Reject, Delay: time.Second}, http.StatusAccepted, true, false},
		{"failed, never tried", nil, &policy.Action{Kind: policy.Fail}, http.StatusAccepted, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestRelay(t)
			r.catalog.RememberDestination(dest)
			in := newHandIn("m1", dest, 5*time.Second)
			decide(r, in)
			m := r.msgs[in.m.ID]
			if c.result != nil {
				at := journal.Attempt{Number: 0, Endpoint: "s-8", SentAt: time.Now()}
				if err := r.journal.RecordSends(journal.Send{Message: m.Message, Attempt: at}); err != nil {
					t.Fatal(err)
				}
				m.sends, m.out = 1, 1
				a := &attempt{call: &call{route: "s-8", sent: at.SentAt}, m: m}
				r.out++
				a.call.attempts = []*attempt{a}
				if c.left {
					r.step([]any{withdrawal{m.ID}})
				}
				r.step([]any{&callEnd{a.call, []result{*c.result}}})
			}
			if c.final != nil {
				act := *c.final
				act.MessageID = m.ID
				r.carryOut([]policy.Action{act}, nil)
				r.step([]any{confirmed{[]uint32{m.ID}}})
			}
			if r.msgs[m.ID] != nil || r.traces["m1"] != nil {
				t.Fatal("it is not forgotten")
			}
			again := newHandIn("m1", dest, 5*time.Second)
			if a := decide(r, again)[0]; a.status != c.status {
				t.Errorf("answer %+v, want %d", a, c.status)
			}
			if _, old := r.recent.again("m1", m.Deadline); old {
				t.Error("remembered past its time")
			}
			if taken := r.traces["m1"] != nil; taken != c.taken {
				t.Errorf("taken as a new one: %v", taken)
			}
		})
	}
}

// What is remembered is bounded, in number and time.
func TestWhatIsRememberedIsBounded(t *testing.T) {
	var r recent
	now := time.Now()
	for i := range 3 * recentMost {
		r.add(
			&message{
				Message: &journal.Message{
					TraceID:           fmt.Sprint(i),
					Deadline:          now.Add(time.Hour),
					UncertainAttempts: []journal.Attempt{{}},
				},
			},
		)
		r.forget(now)
	}
	if _, last := r.ended[fmt.Sprint(3*recentMost-1)]; len(r.ended) != recentMost || len(r.order) != recentMost ||
		!last {
		t.Errorf("%d ended, %d in order, the last among them: %v", len(r.ended), len(r.order), last)
	}
	if r.forget(now.Add(2 * time.Hour)); len(r.ended) != 0 || r.order != nil {
		t.Errorf("%d ended after their time", len(r.ended))
	}
}

// A restart that cannot tell how long ago a message ran takes it for longer than any window, also one of more than a
// day.
func TestWhatCannotBeDatedRanBeforeAnyWindow(t *testing.T) {
	r := newTestRelay(t)
	for _, window := range []time.Duration{0, time.Second, 72 * time.Hour} {
		r.terms.Settings.Classes[0].DedupWindow = window
		m := &message{
			Message: &journal.Message{
				Deadline:          time.Now(),
				Attempts:          1,
				UncertainAttempts: []journal.Attempt{{SentAt: time.Now(), Undated: true}},
			},
		}
		if ago := r.resumed(m).Recovered.SinceFirstRun; ago < max(longAgoRan, window) {
			t.Errorf("window %v: ran %v ago", window, ago)
		}
	}
}
