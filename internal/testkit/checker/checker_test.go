package checker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// A rule that could not have been violated is not reported as held.
func TestAnIdleRunExercisesNothing(t *testing.T) {
	for _, r := range newScript().check().Rules {
		if r.State != NotExercised {
			t.Errorf("%s: %s", r.Rule, r.State)
		}
	}
}

func TestADeliveryExercisesOneRule(t *testing.T) {
	s := newScript()
	s.submit("m", keyed, second, 5*second, 202)
	s.call("a1", "m", 2*second, 3*second, 200)
	result := s.check()
	for _, r := range result.Rules {
		want := NotExercised
		if r.Rule == NoMessageLost {
			want = Held
		}
		if r.State != want {
			t.Errorf("%s: %s, want %s", r.Rule, r.State, want)
		}
	}
	if !result.OK() {
		t.Error("not OK")
	}
}

// conformingRelay simulates a relay that keeps the rules whatever the endpoints answer: it sends a message again
// only if the message's class allows it, and ends each message in time.
type conformingRelay struct {
	*script
	now          time.Duration
	blockedUntil time.Duration // end of the latest Retry-After
}

// testMessage is a message of a conforming relay.
type testMessage struct {
	id          string
	class       int
	submittedAt time.Duration
	firstRisk   time.Duration // when the first attempt that may have run was sent, or never
	riskZone    string        // the zone that this attempt was sent to
}

// mayRepeat reports whether a message may be sent now to a zone.
func (r *conformingRelay) mayRepeat(m *testMessage, zone string) bool {
	switch {
	case r.now > m.submittedAt+10*second:
		return false
	case m.firstRisk == never || m.class == idempotent:
		return true
	case m.class == nonIdempotent || m.class == keyed && zone != m.riskZone:
		return false
	default:
		return r.now <= m.firstRisk+10*second
	}
}

// attempt sends a message once if it may be sent. It reports whether another attempt may follow, and whether the
// message was delivered.
func (r *conformingRelay) attempt(t *rapid.T, m *testMessage) (again, delivered bool) {
	r.now = max(r.now, r.blockedUntil)
	endpoint := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "endpoint")
	zone := map[string]string{"a1": "a", "a2": "b"}[endpoint]
	if !r.mayRepeat(m, zone) {
		return false, false
	}
	status := rapid.SampledFrom([]int{0, 200, 429, 500, 503}).Draw(t, "status")
	answeredAt := r.now + time.Duration(rapid.Int64Range(int64(2*ms), int64(second)).Draw(t, "latency"))
	answer := eventlog.Event{At: answeredAt, Status: status}
	if status == 429 {
		answer.RetryAfter = time.Duration(rapid.Int64Range(0, int64(second)).Draw(t, "Retry-After"))
		r.blockedUntil = max(r.blockedUntil, answeredAt+answer.RetryAfter)
	}
	call := r.callWith(eventlog.Event{Relay: "r1", Endpoint: endpoint, IDs: []string{m.id}}, r.now, answer)
	if status == 0 {
		r.abort(call, answeredAt)
	}
	if (status == 0 || status == 500) && m.firstRisk == never {
		m.firstRisk, m.riskZone = r.now, zone
	}
	r.now = answeredAt + ms
	return status != 200, status == 200
}

// send makes a random number of attempts of a message, and sends a notice if none delivers the message.
func (r *conformingRelay) send(t *rapid.T, m *testMessage) {
	again, delivered := true, false
	for range rapid.IntRange(0, 4).Draw(t, "attempts") {
		if again {
			again, delivered = r.attempt(t, m)
		}
	}
	switch {
	case delivered:
	case m.firstRisk == never || m.class == idempotent || m.class == keyedAcrossZones:
		r.notice(m.id, eventlog.StateDeferred, r.now)
	default:
		r.notice(m.id, eventlog.StateUndeliverable, r.now)
	}
}

func TestAConformingRelayViolatesNothing(t *testing.T) {
	classes := []int{keyed, nonIdempotent, idempotent, keyedAcrossZones}
	rapid.Check(t, func(t *rapid.T) {
		r := conformingRelay{script: newScript(), now: second}
		for i := range rapid.IntRange(1, 12).Draw(t, "messages") {
			m := &testMessage{
				id:        fmt.Sprint("m", i),
				class:     rapid.SampledFrom(classes).Draw(t, "class"),
				firstRisk: never,
			}
			// Messages are sent one after another, so that no call is under way when a Retry-After is sent.
			m.submittedAt = r.now + time.Duration(rapid.Int64Range(0, int64(second)).Draw(t, "gap"))
			r.submit(m.id, m.class, m.submittedAt, 16*second, 202)
			r.now = m.submittedAt + 2*ms
			r.send(t, m)
		}
		for _, rule := range r.check().Rules {
			if rule.State == Violated {
				t.Fatalf("%s: %+v", rule.Rule, rule.Violations)
			}
		}
	})
}

// BenchmarkCheck reports the time per message at three lengths of a run. The time per message should stay constant.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		s := newScript()
		for i := range n {
			id, at := fmt.Sprint("m", i), time.Duration(i)*ms/4
			s.submit(id, keyed, at, 16*second, 202)
			s.call("a1", id, at+2*ms, at+100*ms, 200)
		}
		events := s.sorted()
		b.Run(fmt.Sprint("messages=", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Check(s.header, events)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/message")
		})
	}
}
