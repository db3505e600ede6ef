package upstream

import (
	"testing"
	"time"
)

// tokenBucketSpec limits the test service to 4 calls a second, with a token bucket of one call.
func tokenBucketSpec() Spec {
	spec := testSpec()
	spec.Limit = TokenBucket
	spec.LimitRate = 4
	return spec
}

func TestTokenBucketSendsTheTimeOfTheNextToken(t *testing.T) {
	spec := tokenBucketSpec()
	spec.RetryAfterRatio = 1
	spec.MaxConcurrentCalls = 100
	service := newTestService(spec)
	if r := service.HandleCall(0, "a", 1); r.Result != Served {
		t.Fatalf("the first call: %+v", r)
	}
	rejection := service.HandleCall(0, "a", 1)
	if rejection.Result != Rejected || rejection.RetryAfter != 250*time.Millisecond {
		t.Fatalf("the second call: %+v", rejection)
	}
	if r := service.HandleCall(rejection.RetryAfter-time.Millisecond, "a", 1); r.Result != Rejected {
		t.Errorf("before Retry-After is over: %+v", r)
	}
	if r := service.HandleCall(250*time.Millisecond, "a", 1); r.Result != Served {
		t.Errorf("after Retry-After: %+v", r)
	}
}

func TestRejectedCallsMayCountAgainstTheLimit(t *testing.T) {
	spec := tokenBucketSpec()
	spec.CountsRejected = true
	service := newTestService(spec)
	service.HandleCall(0, "a", 1)
	service.HandleCall(0, "a", 1) // rejected, and counts against the limit
	if r := service.HandleCall(250*time.Millisecond, "a", 1); r.Result != Rejected {
		t.Errorf("after a rejected call: %+v, want rejected", r)
	}
}

// Rejected calls may use up a limit in advance only up to a bound: the size of the bucket, or MaxDebt if it is set.
func TestRejectedCallsUseUpAtMostTheDebt(t *testing.T) {
	cases := []struct {
		name       string
		debt, wait time.Duration // MaxDebt, and the time until a call is served again
	}{
		{name: "bucket size", wait: 500 * time.Millisecond},
		{name: "debt", debt: 3 * time.Second, wait: 3250 * time.Millisecond},
	}
	for _, c := range cases {
		spec := tokenBucketSpec()
		spec.CountsRejected = true
		spec.MaxDebt = c.debt
		respondAt := func(at time.Duration) Response {
			service := newTestService(spec)
			for range 100 {
				service.HandleCall(0, "a", 1)
			}
			return service.HandleCall(at, "a", 1)
		}
		t.Run(c.name, func(t *testing.T) {
			if r := respondAt(c.wait + time.Millisecond); r.Result != Served {
				t.Errorf("debt %v: %+v after %v, want served", c.debt, r, c.wait+time.Millisecond)
			}
			if r := respondAt(c.wait - time.Millisecond); r.Result != Rejected {
				t.Errorf("debt %v: %+v after %v, want rejected", c.debt, r, c.wait-time.Millisecond)
			}
		})
	}
}

// A limit of either kind admits fewer calls while a divisor is set, and its full rate after that.
func TestLimitDivisor(t *testing.T) {
	for _, limit := range []LimitKind{TokenBucket, FixedWindow} {
		t.Run(string(limit), func(t *testing.T) {
			spec := testSpec()
			spec.Limit = limit
			spec.LimitRate = 40
			spec.LimitWindow = time.Second
			spec.MaxConcurrentCalls = 100
			service := newTestService(spec)
			served := func(from time.Duration) (n int) {
				for i := range 500 { // 100 a second
					at := from + time.Duration(i)*10*time.Millisecond
					if service.HandleCall(at, "a", 1).Result == Served {
						n++
					}
				}
				return n
			}
			checkServed(t, "before", served(0), 200, 211)
			service.SetLimitDivisor(4)
			checkServed(t, "with divisor", served(10*time.Second), 50, 64)
			service.SetLimitDivisor(1)
			checkServed(t, "after", served(20*time.Second), 200, 211)
		})
	}
}

// checkServed checks the number of calls that were served in five seconds.
func checkServed(t *testing.T, phase string, served, least, most int) {
	t.Helper()
	if served < least || served > most {
		t.Errorf("%s: %d calls served, want %d to %d", phase, served, least, most)
	}
}

func TestFixedWindowCountsEachWindow(t *testing.T) {
	spec := testSpec()
	spec.Limit = FixedWindow
	spec.LimitRate = 3
	spec.LimitWindow = time.Second
	spec.RetryAfterRatio = 1
	spec.MaxConcurrentCalls = 100
	service := newTestService(spec)
	for i := range 5 {
		r := service.HandleCall(400*time.Millisecond, "a", 1)
		if (r.Result == Served) != (i < 3) {
			t.Errorf("call %d: %+v", i, r)
		}
		if r.Result == Rejected && r.RetryAfter != 600*time.Millisecond {
			t.Errorf("Retry-After %v, want 600ms, the rest of the window", r.RetryAfter)
		}
	}
	if r := service.HandleCall(time.Second, "a", 1); r.Result != Served {
		t.Errorf("in the next window: %+v", r)
	}
}
