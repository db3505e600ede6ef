package upstream

import (
	"testing"
	"time"
)

// The text form must stay what fmt printed for the struct before String existed: the digests of plans in stored records
// depend on it.
func TestSpecTextIsStable(t *testing.T) {
	every := Spec{
		ServiceTime:            1500 * time.Microsecond,
		ServiceTimeVariation:   0.25,
		ExponentialServiceTime: true,
		MaxConcurrentCalls:     3,
		MaxQueueTime:           time.Minute,
		ExtraMessageCost:       1e-9,
		Limit:                  TokenBucket,
		LimitRate:              1e21,
		LimitWindow:            2 * time.Second,
		RetryAfterRatio:        0.5,
		MinRetryAfter:          time.Millisecond,
		CountsRejected:         true,
		MaxDebt:                4 * time.Second,
		WarmUpInitialCapacity:  0.2,
		WarmUpDuration:         10 * time.Second,
		OverloadFactor:         2,
		OverloadWindow:         3 * time.Second,
	}
	cases := []struct {
		name string
		spec Spec
		want string
	}{
		{
			name: "zero",
			want: "{Pace:0s Spread:0 Exponential:false Slots:0 Queue:0s ItemCost:0 Limit: Rate:0 Window:0s " +
				"TellsWait:0 LeastWait:0s Counts:false ColdShare:0 Warm:0s FallMultiple:0 FallWindow:0s}",
		},
		{
			name: "every field",
			spec: every,
			want: "{Pace:1.5ms Spread:0.25 Exponential:true Slots:3 Queue:1m0s ItemCost:1e-09 Limit:rate Rate:1e+21 " +
				"Window:2s TellsWait:0.5 LeastWait:1ms Counts:true Debt:4s ColdShare:0.2 Warm:10s FallMultiple:2 " +
				"FallWindow:3s}",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.spec.String(); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

func TestValidateRejectsInvalidValues(t *testing.T) {
	if err := testSpec().Validate(); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name   string
		mutate func(*Spec)
	}{
		{"no service time", func(s *Spec) { s.ServiceTime = 0 }},
		{"no concurrent calls", func(s *Spec) { s.MaxConcurrentCalls = 0 }},
		{"large variation", func(s *Spec) { s.ServiceTimeVariation = 4 }},
		{"negative queue time", func(s *Spec) { s.MaxQueueTime = -1 }},
		{"unknown limit", func(s *Spec) { s.Limit = "x" }},
		{"limit without a rate", func(s *Spec) { s.Limit = TokenBucket }},
		{"window that admits nothing", func(s *Spec) { s.Limit, s.LimitRate, s.LimitWindow = FixedWindow, 1, 1 }},
		{"Retry-After ratio above 1", func(s *Spec) { s.RetryAfterRatio = 2 }},
		{"no initial capacity", func(s *Spec) { s.WarmUpInitialCapacity = 0 }},
		{"negative warm-up", func(s *Spec) { s.WarmUpDuration = -1 }},
		{"no overload window", func(s *Spec) { s.OverloadWindow = 0 }},
		{"debt without a limit", func(s *Spec) { s.MaxDebt = 1 }},
		{"negative debt", func(s *Spec) {
			s.Limit, s.LimitRate, s.CountsRejected, s.MaxDebt = TokenBucket, 1, true, -1
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			spec := testSpec()
			c.mutate(&spec)
			if spec.Validate() == nil {
				t.Errorf("no error for %+v", spec)
			}
		})
	}
}
