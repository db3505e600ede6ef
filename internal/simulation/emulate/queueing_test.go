package emulate

import (
	"math"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// arrivalRate and serviceRate are the rates of arrivals and of services in a queue, per second and server.
const arrivalRate, serviceRate = 8.0, 10.0

// TestQueueingTheory compares the mean waiting times of services with the theoretical values for M/M/1, M/D/1 and
// M/M/3 queues: the mean of 30 runs is within four standard errors of the theoretical value.
func TestQueueingTheory(t *testing.T) {
	const runs, load = 30, arrivalRate / serviceRate
	for _, c := range []struct {
		name        string
		servers     int
		exponential bool
		want        float64 // seconds
	}{
		{"M/M/1", 1, true, load / (serviceRate - arrivalRate)},
		{"M/D/1", 1, false, load / (2 * (serviceRate - arrivalRate))},
		{"M/M/3", 3, true, erlangC(3, 3*load) / (3*serviceRate - 3*arrivalRate)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var means []float64
			mean, variance := 0.0, 0.0
			for run := range runs {
				means = append(means, meanWait(c.name, run, c.servers, c.exponential))
				mean += means[run] / runs
			}
			for _, m := range means {
				variance += (m - mean) * (m - mean) / (runs - 1)
			}
			standardError := math.Sqrt(variance / runs)
			if math.Abs(mean-c.want) > 4*standardError || standardError > 0.05*c.want {
				t.Errorf("mean wait %.4f s, theory %.4f, standard error %.4f", mean, c.want, standardError)
			}
		})
	}
}

// erlangC returns the probability that a call must wait, for a number of servers and the load offered to all of them
// (Erlang C formula).
func erlangC(servers int, load float64) float64 {
	sum, term := 0.0, 1.0
	for k := range servers {
		sum += term
		term *= load / float64(k+1)
	}
	last := term / (1 - load/float64(servers))
	return last / (sum + last)
}

// meanWait returns the mean waiting time of the calls to a service in one run, in seconds.
func meanWait(stream string, run, servers int, exponential bool) float64 {
	const calls, warmUpCalls = 30_000, 5000
	rng := engine.NewRandom(7, stream, run)
	service := upstream.New(upstream.Spec{
		ServiceTime:            time.Second / serviceRate,
		ExponentialServiceTime: exponential,
		MaxConcurrentCalls:     servers,
		MaxQueueTime:           time.Hour,
		Limit:                  upstream.NoLimit,
		WarmUpInitialCapacity:  1,
	}, rng.Uint64())
	service.AddEndpoint("e")
	at, sum := 0.0, 0.0
	for i := range calls {
		at += rng.ExpFloat64() / (arrivalRate * float64(servers))
		response := service.HandleCall(time.Duration(at*1e9), "e", 1)
		if i >= warmUpCalls {
			sum += response.Latency.Seconds() - 1/serviceRate
		}
	}
	return sum / (calls - warmUpCalls)
}

// TestTokenBucketRate: in the long run, a token bucket admits calls at its rate.
func TestTokenBucketRate(t *testing.T) {
	const rate, seconds, callRate = 20, 1000, 60
	service := upstream.New(upstream.Spec{
		ServiceTime:           time.Millisecond,
		MaxConcurrentCalls:    100,
		MaxQueueTime:          time.Hour,
		Limit:                 upstream.TokenBucket,
		LimitRate:             rate,
		WarmUpInitialCapacity: 1,
	}, 1)
	service.AddEndpoint("e")
	served := 0
	for i := range seconds * callRate {
		if service.HandleCall(time.Duration(i)*time.Second/callRate, "e", 1).Result == upstream.Served {
			served++
		}
	}
	if got := float64(served) / seconds; math.Abs(got-rate) > 0.2 {
		t.Errorf("a token bucket of %d calls a second admits %.2f", rate, got)
	}
}
