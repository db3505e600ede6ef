package fake

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

func TestEndpointAnswersAndRecordsCalls(t *testing.T) {
	h := newHarness(t)
	h.register("m1", "m2")
	conn := h.dialEndpoint()
	h.expectStatus(conn, "m1", http.StatusOK)
	h.expectStatus(conn, "m2", http.StatusOK) // on the same connection
	received := h.waitFor(eventlog.CallReceived, func(e eventlog.Event) bool {
		return slices.Equal(e.IDs, []string{"m2"})
	})
	answered := h.waitFor(eventlog.CallAnswered, func(e eventlog.Event) bool { return e.Call == received.Call })
	if received.Relay != testRelay || received.Endpoint != h.firstEndpoint().spec.ID ||
		received.FirstByteAt > received.At {
		t.Errorf("received call: %+v", received)
	}
	if answered.At-received.At < 9*time.Millisecond || answered.Status != http.StatusOK {
		t.Errorf("call received: %+v, answered: %+v; want status 200 after at least 9ms", received, answered)
	}
}

// A call whose answer is lost is received completely and executed, but its connection closes without an answer. When
// the fault has ended, the next call is answered.
func TestEndpointLosesAnswers(t *testing.T) {
	h := newHarness(t)
	h.register("m1", "m2")
	h.must(h.SetResponseLossRatio(testService, 1))
	conn := h.dialEndpoint()
	h.send(conn, callText("m1"))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes of a lost answer, error %v; want a closed connection", n, err)
	}
	received := h.waitFor(eventlog.CallReceived, anyEvent)
	aborted := h.waitFor(eventlog.CallAborted, anyEvent)
	if aborted.Call != received.Call || aborted.Cause != eventlog.CauseEndpoint {
		t.Errorf("aborted call: %+v, want call %d aborted by the endpoint", aborted, received.Call)
	}
	h.must(h.SetResponseLossRatio(testService, 0))
	h.expectStatus(h.dialEndpoint(), "m2", http.StatusOK)
}

// A limit of 1000 calls a second that is divided by a million admits no call beyond the burst. After the division ends,
// calls are admitted again.
func TestLimitDivisor(t *testing.T) {
	h := newHarnessWith(t, `
[[kind]]
name = "limited"
pace = "1ms"
slots = 2
limit = "rate"

[[destination]]
kind = "limited"
rate = 1000
`)
	h.register("m1", "m2", "m3", "m4")
	conn := h.dialEndpoint()
	h.expectStatus(conn, "m1", http.StatusOK)
	h.expectStatus(conn, "m2", http.StatusOK)
	h.must(h.SetLimitDivisor(testService, 1e6))
	h.call(conn, callText("m3")) // the burst may still admit this call
	h.expectStatus(conn, "m4", http.StatusServiceUnavailable)
	h.must(h.SetLimitDivisor(testService, 1))
	h.register("m5")
	time.Sleep(5 * time.Millisecond) // long enough for the limit to admit the next call
	h.expectStatus(conn, "m5", http.StatusOK)
	if err := h.SetLimitDivisor("none", 2); err == nil {
		t.Error("SetLimitDivisor of an unknown service returned no error")
	}
}

// Slots are counted per relay: a call without a free slot is rejected, and a call that the relay aborts frees its slot.
func TestSlots(t *testing.T) {
	h := newHarness(t)
	h.must(h.StartOutage(testService, scenario.OpSilence, 0, 0))
	var conns []net.Conn
	for _, id := range []string{"m0", "m1", "m2", "m3"} {
		h.register(id)
		conn := h.dialEndpoint()
		h.send(conn, callText(id))
		conns = append(conns, conn)
		h.waitFor(eventlog.CallReceived, withMessage(id))
	}
	h.register("more")
	response := h.call(h.dialEndpoint(), callText("more"))
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Slots-Taken") != "1" {
		t.Errorf("call without a free slot: status %d, header %v", response.StatusCode, response.Header)
	}
	nettest.Close(conns[0])
	h.waitFor(eventlog.CallAborted, withCause(eventlog.CauseRelay))
	conn := h.dialEndpoint()
	h.send(conn, callText("more"))
	h.waitFor(eventlog.CallReceived, func(e eventlog.Event) bool { return withMessage("more")(e) && e.Call == 6 })
	h.setDeadline(conn, 60*time.Millisecond)
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read from a silent endpoint: %v, want a timeout", err)
	}
}

// A call that ends before its last byte is recorded as truncated, not as received. A call is aborted if the relay
// half-closes the connection after sending it.
func TestTruncatedAndHalfClosedCalls(t *testing.T) {
	h := newHarness(t)
	h.register("m1", "m2")
	conn := h.dialEndpoint()
	h.send(conn, callText("m1")[:50])
	nettest.Close(conn)
	if e := h.waitFor(eventlog.CallTruncated, anyEvent); len(e.IDs) > 0 {
		t.Errorf("truncated call has message ids: %+v", e)
	}
	conn = h.dialEndpoint()
	h.send(conn, callText("m2"))
	nettest.CloseWrite(conn)
	if e := h.waitFor(eventlog.CallAborted, anyEvent); e.Cause != eventlog.CauseRelay {
		t.Errorf("aborted call: %+v, want cause %q", e, eventlog.CauseRelay)
	}
	if e, ok := h.find(eventlog.CallReceived, withMessage("m1")); ok {
		t.Errorf("truncated call recorded as received: %+v", e)
	}
	if e, ok := h.find(eventlog.RunInvalid, anyEvent); ok {
		t.Errorf("the run counts as invalid: %+v", e)
	}
}

func TestCrashedEndpointRecovers(t *testing.T) {
	h := newHarness(t)
	addr := h.firstEndpoint().Addr(testRelay)
	open := h.dial(addr)
	h.send(open, "P") // the crash resets the connection whether or not the endpoint has accepted it yet
	h.waitFor(eventlog.CapacityChanged, anyEvent)
	h.must(h.StartOutage(testService, scenario.OpCrash, 0, 0))
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from an open connection after the crash: %v, want a reset", err)
	}
	expectRefused(t, addr)
	h.must(h.EndOutage(testService))
	h.register("m")
	h.expectStatus(h.dial(addr), "m", http.StatusOK)
	started, ended := h.waitFor(eventlog.OutageStarted, anyEvent), h.waitFor(eventlog.OutageEnded, anyEvent)
	if started.Service != testService || started.Cause != eventlog.OutageDown || len(started.Endpoints) != 2 {
		t.Errorf("start of the outage: %+v", started)
	}
	if ended.Rate != 400 || ended.Share != 0.2 || ended.Duration != 12*time.Second {
		t.Errorf("end of the outage: %+v, want rate 400, share 0.2 and 12s", ended)
	}
}

// expectRefused checks that connections to an address are refused.
func expectRefused(t *testing.T, addr string) {
	t.Helper()
	if conn, err := net.DialTimeout("tcp", addr, nettest.Patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("new connection to %s: %v, %v; want a refusal", addr, conn, err)
	}
}

// While a machine is cut off, its open connections stay silent and new ones are not established. Data sent during that
// time never reaches the machine.
func TestIsolatedEndpointRecovers(t *testing.T) {
	h := newHarness(t)
	addr := h.firstEndpoint().Addr(testRelay)
	open := h.dial(addr)
	h.register("before", "meanwhile", "after")
	h.expectStatus(open, "before", http.StatusOK)
	h.must(h.StartOutage(testService, scenario.OpCutOff, 0, 0))
	h.send(open, callText("meanwhile"))
	h.setDeadline(open, 50*time.Millisecond)
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read from an open connection to an isolated machine: %v, want a timeout", err)
	}
	conn, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("new connection to an isolated machine: %v, %v; want a timeout", conn, err)
	}
	h.must(h.EndOutage(testService))
	h.setDeadline(open, nettest.Patience)
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read from the open connection after the outage: %v, want a reset", err)
	}
	h.expectStatus(h.dial(addr), "after", http.StatusOK)
	if e, ok := h.find(eventlog.CallReceived, withMessage("meanwhile")); ok {
		t.Errorf("a call reached a machine that was cut off: %+v", e)
	}
}

func TestEndpointReusesAddress(t *testing.T) {
	h := newHarness(t)
	stopped := h.firstEndpoint()
	addr := stopped.Addr(testRelay)
	spec := stopped.spec
	spec.ID = "s-new"
	spec.ReusesAddressOf = stopped.spec.ID
	if _, err := h.AddEndpoint(spec); err == nil {
		t.Fatal("an endpoint was added at the address of a running one")
	}
	stopped.Stop()
	expectRefused(t, addr)
	added, err := h.AddEndpoint(spec)
	if err != nil {
		t.Fatal(err)
	}
	if added.Addr(testRelay) != addr {
		t.Fatalf("address %s, want %s", added.Addr(testRelay), addr)
	}
	h.register("m")
	h.expectStatus(h.dial(addr), "m", http.StatusOK)
	h.waitFor(eventlog.CallReceived, func(e eventlog.Event) bool { return e.Endpoint == spec.ID })
}
