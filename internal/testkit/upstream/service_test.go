package upstream

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testSpec specifies a service without a limit, whose endpoints serve 20 calls a second each.
func testSpec() Spec {
	return Spec{
		ServiceTime:           100 * time.Millisecond,
		MaxConcurrentCalls:    2,
		MaxQueueTime:          200 * time.Millisecond,
		Limit:                 NoLimit,
		WarmUpInitialCapacity: 0.2,
		WarmUpDuration:        10 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        3 * time.Second,
	}
}

// newTestService returns a service with the one endpoint "a".
func newTestService(spec Spec) *Service {
	service := New(spec, 1)
	service.AddEndpoint("a")
	return service
}

func TestServesWithinSlotsAndQueueTime(t *testing.T) {
	service := newTestService(testSpec())
	var got []Response
	for range 8 {
		got = append(got, service.HandleCall(0, "a", 1))
	}
	ms := time.Millisecond
	for i, want := range []time.Duration{100 * ms, 100 * ms, 200 * ms, 200 * ms, 300 * ms, 300 * ms} {
		if got[i].Result != Served || got[i].Latency != want {
			t.Errorf("call %d: %+v, want served after %v", i, got[i], want)
		}
	}
	if got[6].Result != Rejected || got[7].Result != Rejected {
		t.Errorf("beyond the queue time: %+v", got[6:])
	}
}

func TestServiceFaults(t *testing.T) {
	spec := testSpec()
	spec.RetryAfterRatio = 1
	service := newTestService(spec)
	service.Suspend(5 * time.Second)
	if r := service.HandleCall(2*time.Second, "a", 1); r.Result != Rejected || r.RetryAfter != 3*time.Second {
		t.Errorf("suspended: %+v", r)
	}
	service.Resume()
	service.SetFailureRatio(1)
	if r := service.HandleCall(6*time.Second, "a", 1); r.Result != Failed {
		t.Errorf("failing: %+v", r)
	}
	service.SetFailureRatio(0)
	service.SetSlowdown(10)
	if r := service.HandleCall(7*time.Second, "a", 1); r.Result != Served || r.Latency != time.Second {
		t.Errorf("slow: %+v", r)
	}
	service.SetSlowdown(1)
	service.SetSilent(true)
	if r := service.HandleCall(9*time.Second, "a", 1); r.Result != Unanswered {
		t.Errorf("silent: %+v", r)
	}
	service.SetSilent(false)
	service.RemoveEndpoint("a")
	if r := service.HandleCall(10*time.Second, "a", 1); r.Result != Rejected {
		t.Errorf("after the endpoint was removed: %+v", r)
	}
}

func TestServiceLosesResponses(t *testing.T) {
	service := newTestService(testSpec())
	service.SetResponseLossRatio(0.25)
	lost := 0
	for i := range 1000 {
		r := service.HandleCall(time.Duration(10+i)*time.Second, "a", 1)
		if r.Result != Served {
			t.Fatalf("a call while responses are lost: %+v, want served", r)
		}
		if r.ResponseLost {
			lost++
		}
	}
	if lost < 200 || lost > 300 { // four standard deviations are 55
		t.Errorf("%d of 1000 responses lost, want 250", lost)
	}
	service.SetResponseLossRatio(0)
	if r := service.HandleCall(1011*time.Second, "a", 1); r.ResponseLost {
		t.Errorf("response lost after the end of the fault: %+v", r)
	}
	service.RemoveEndpoint("a")
	if r := service.HandleCall(1012*time.Second, "a", 1); r.Result != Rejected {
		t.Errorf("after the endpoint was removed: %+v", r)
	}
}

// For any sequence of calls: the service serves no more calls than the limit allows, a single caller that waits for
// Retry-After is served, and the same calls get the same responses.
func TestServiceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := drawSpec(t)
		gaps := rapid.SliceOfN(rapid.Int64Range(0, int64(time.Second)), 1, 100).Draw(t, "gaps")
		seed := rapid.Uint64().Draw(t, "seed")
		responses, end := playCalls(t, spec, seed, gaps)
		if again, _ := playCalls(t, spec, seed, gaps); !reflect.DeepEqual(responses, again) {
			t.Fatal("the same calls got different responses")
		}
		served := 0
		for _, r := range responses {
			if r.Result == Served {
				served++
			}
		}
		if float64(served) > maxServed(spec, end) {
			t.Fatalf("%d calls served in %v, with a limit of %v a second", served, end, spec.LimitRate)
		}
	})
}

func drawSpec(t *rapid.T) Spec {
	spec := testSpec()
	spec.Limit = rapid.SampledFrom([]LimitKind{NoLimit, TokenBucket, FixedWindow}).Draw(t, "limit")
	spec.LimitRate = rapid.Float64Range(1, 50).Draw(t, "rate")
	spec.LimitWindow = time.Second
	spec.RetryAfterRatio = rapid.Float64Range(0, 1).Draw(t, "Retry-After ratio")
	spec.ServiceTimeVariation = rapid.Float64Range(0, 1).Draw(t, "service time variation")
	spec.OverloadFactor = 0
	if err := spec.Validate(); err != nil {
		t.Skip(err)
	}
	return spec
}

// playCalls makes calls with the given gaps between them, and returns the responses and the time of the last call.
func playCalls(t *rapid.T, spec Spec, seed uint64, gaps []int64) (responses []Response, end time.Duration) {
	service := New(spec, seed)
	service.AddEndpoint("a")
	for _, gap := range gaps {
		end += time.Duration(gap)
		r := service.HandleCall(end, "a", 1)
		responses = append(responses, r)
		if r.Result == Rejected && spec.Limit == TokenBucket && r.RetryAfter > max(0, spec.MinRetryAfter) {
			checkRetryAfter(t, *service, end, r)
		}
	}
	return responses, end
}

// checkRetryAfter checks, on a copy of the service, that a call is served once Retry-After is over.
func checkRetryAfter(t *rapid.T, service Service, at time.Duration, rejection Response) {
	service.endpoints = map[string][]time.Duration{"a": make([]time.Duration, 1)}
	retry := service.HandleCall(at+rejection.RetryAfter+time.Microsecond, "a", 1)
	if retry.Result != Served {
		t.Fatalf("Retry-After %v, then %+v", rejection.RetryAfter, retry)
	}
}

// maxServed returns the number of calls that a limit admits from time 0 to end.
func maxServed(spec Spec, end time.Duration) float64 {
	switch spec.Limit {
	case TokenBucket:
		return max(1, spec.LimitRate/4) + spec.LimitRate*end.Seconds() + 1e-6
	case FixedWindow:
		return math.Floor(spec.LimitRate) * (math.Floor(end.Seconds()) + 1)
	case NoLimit:
	}
	return math.Inf(1)
}
