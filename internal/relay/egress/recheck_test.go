package egress

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func TestCheckAfterDial(t *testing.T) {
	addr, requests := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	client := newTestClient(t, testConfig())
	r := client.Do(t.Context(), newCall(addr, "a"), func() []*Attempt { return nil })
	if r[0].Outcome != policy.NotSent {
		t.Errorf("outcome %v", r[0].Outcome)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("the endpoint received %d requests", n)
	}
	// The connection is idle now, so the next call is sent without a check.
	r = client.Do(t.Context(), newCall(addr, "b"), func() []*Attempt {
		t.Error("the call on the idle connection was checked again")
		return nil
	})
	if r[0].Outcome != policy.OK {
		t.Errorf("outcome on the idle connection %v", r[0].Outcome)
	}
}

// A call that is delayed before it uses an idle connection, for example by a slow journal, is checked again before
// it is sent.
func TestCheckAfterDelay(t *testing.T) {
	addr, requests := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		nettest.Send(conn, okBatch(t, r))
		return true
	})
	client := newTestClient(t, testConfig())
	if r := doCall(t, client, newBatchCall(addr, "a")); r[0].Outcome != policy.OK {
		t.Fatalf("the first call: %v", r[0].Outcome)
	}
	for _, c := range []struct {
		delay   time.Duration
		checked bool
		outcome policy.Outcome
	}{
		{-time.Hour, false, policy.OK},
		{time.Second, true, policy.NotSent},
	} {
		checked := false
		again := newBatchCall(addr, "after "+c.delay.String())
		again.SentAt = time.Now().Add(-c.delay)
		r := client.Do(t.Context(), again, func() []*Attempt {
			checked = true
			return nil
		})
		if checked != c.checked {
			t.Errorf("delayed by %v: check called: %v", c.delay, checked)
		}
		if r[0].Outcome != c.outcome {
			t.Errorf("delayed by %v: %v, want %v", c.delay, r[0].Outcome, c.outcome)
		}
	}
	if n := requests.Load(); n != 2 {
		t.Errorf("%d requests at the endpoint", n)
	}
}

// The message with the latest deadline may be dropped while the connection is opened. The deadline of the call is
// then the latest of the remaining messages.
func TestDeadlineOfRemainingAttempts(t *testing.T) {
	expires := make(chan string, 1)
	addr, _ := nettest.RawServer(t, func(_ int, _ net.Conn, req *http.Request) bool {
		expires <- req.Header.Get("X-Expires-In-Ms")
		return true
	})
	c := newCall(addr, "long", "short", "shorter")
	c.Attempts[1].Deadline = time.Now().Add(400 * time.Millisecond)
	c.Attempts[2].Deadline = time.Now().Add(200 * time.Millisecond)
	results := newTestClient(t, testConfig()).Do(t.Context(), c, func() []*Attempt { return c.Attempts[1:] })
	if ms, err := strconv.Atoi(<-expires); err != nil || ms > 400 {
		t.Errorf("X-Expires-In-Ms: %d, %v; want at most 400", ms, err)
	}
	for i, want := range []policy.Outcome{policy.NotSent, policy.Timeout, policy.Timeout} {
		if results[i].Outcome != want {
			t.Errorf("%s: %v, want %v", c.Attempts[i].TraceID, results[i].Outcome, want)
		}
	}
}
