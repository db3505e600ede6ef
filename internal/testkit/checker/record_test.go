package checker

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

func TestInconclusiveRecords(t *testing.T) {
	s := newScript()
	s.submit("m", keyed, second, 5*second, 202)
	cut := eventlog.Event{At: 2 * second, Kind: eventlog.RunEnded, Cause: "interrupted"}
	cases := []struct {
		name   string
		events []eventlog.Event
		reason string
	}{
		{"no end", s.events, "no end"},
		{"cut short", append(slices.Clone(s.events), cut), "interrupted"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := Check(s.header, c.events)
			if result.OK() || result.ForRule(NoMessageLost).State != Inconclusive ||
				!strings.Contains(result.InconclusiveReasons[0], c.reason) {
				t.Errorf("%+v", result)
			}
		})
	}
	t.Run("violations remain", func(t *testing.T) {
		s.notice("m", eventlog.StateDeferred, 2*second)
		s.call("a1", "m", 3*second, 4*second, 200)
		if r := Check(s.header, s.events).ForRule(NoMessageLost); r.State != Violated {
			t.Errorf("%+v", r)
		}
	})
}

func TestLateLoadIsInconclusive(t *testing.T) {
	check := func(lag time.Duration) Result {
		s := newScript()
		e := submission("m", keyed, second, second)
		e.Delay = lag
		s.add(e)
		s.answer("m", second, 503)
		return s.check()
	}
	if result := check(maxLoadLag + 1); result.OK() || result.ForRule(NoMessageLost).State != Inconclusive {
		t.Errorf("late load: %+v", result)
	}
	if result := check(maxLoadLag); !result.OK() {
		t.Errorf("load in time: %+v", result)
	}
}

func TestRunErrors(t *testing.T) {
	for name, addError := range map[string]func(*script){
		"call with an unknown message": func(s *script) { s.call("a1", "unknown", 2*second, 3*second, 200) },
		"notice of an unknown message": func(s *script) { s.notice("unknown", eventlog.StateDeferred, 2*second) },
		"call to another destination":  func(s *script) { s.call("b1", "m", 2*second, 3*second, 200) },
		"call by another relay": func(s *script) {
			s.callWith(eventlog.Event{Relay: "r2", Endpoint: "a1", IDs: []string{"m"}}, 2*second,
				eventlog.Event{At: 3 * second, Status: 200})
		},
		"crash": func(s *script) { s.process(2*second, eventlog.StateExit) },
		"error of an endpoint": func(s *script) {
			s.add(eventlog.Event{At: second, Kind: eventlog.RunInvalid, Cause: "unreadable"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScript()
			s.submit("m", idempotent, second, 5*second, 202)
			s.call("a1", "m", 2*second, 3*second, 200)
			addError(s)
			if result := s.check(); len(result.RunErrors) == 0 || result.OK() {
				t.Errorf("%+v", result.RunErrors)
			}
		})
	}
}

// Steps of the wall clock change no result: the times of events are those of a monotonic clock.
func TestClockStepsChangeNothing(t *testing.T) {
	s := newScript()
	s.submit("m", keyed, second, 5*second, 202)
	s.call("a1", "m", 2*second, 3*second, 200)
	before := s.check()
	s.add(eventlog.Event{At: 1500 * ms, Kind: eventlog.ClockStepped, Duration: -time.Hour})
	s.header.StartedAt = s.header.StartedAt.Add(time.Hour)
	after := s.check()
	if after.ClockSteps != 1 {
		t.Errorf("%d steps", after.ClockSteps)
	}
	after.ClockSteps = 0
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%+v\n%+v", before, after)
	}
}
