package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

// startProxy starts a proxy to addr. The proxy injects faults into connections according to the rules.
func startProxy(t testing.TB, addr string, rules ...string) *faultproxy.Proxy {
	t.Helper()
	proxy, err := faultproxy.Start("127.0.0.1:0", addr, 1)
	must(t, err)
	t.Cleanup(func() { closeQuietly(proxy) })
	for _, text := range rules {
		rule, err := faultproxy.ParseRule(text)
		must(t, err)
		_, err = proxy.AddRule(rule)
		must(t, err)
	}
	return proxy
}

// Expected ends of a message that must never run twice. The value of failed is also the status in notifications.
const (
	delivered         = "delivered"
	failed            = "undeliverable"
	deliveredOrNotRun = "delivered, or undeliverable without a call"
	deliveredOrFailed = "delivered, or undeliverable though it may have run"
)

// wireFault is a fault of the first connection to an endpoint, with its expected effect on a message of each class.
type wireFault struct {
	name          string
	rule          string
	paymentEnd    string // expected end of the message of the class "pay", which must never run twice
	maxCalls      int    // highest allowed number of calls with the message of the class "pay"
	keyedCalls    int    // expected calls with the message of the class "order", which is always delivered; -n: 1 to n
	chunkedAnswer bool   // the endpoint's answer is chunked and has no Content-Length
}

func wireFaults() []wireFault {
	return []wireFault{
		// The endpoint receives the complete request, but the relay receives no answer: the message may have run.
		{"half-closed after the body", `dir=down do=halfclose`, failed, 1, 2, false},
		{"reset instead of an answer", `dir=down do=reset`, failed, 1, 2, false},
		{"closed instead of an answer", `dir=down do=close`, failed, 1, 2, false},
		// A reset may arrive before the endpoint has read the body, and the unread part of the body is then lost. The
		// answer of a fast endpoint may arrive before the reset or the close.
		{"reset after the body", `dir=up match="\r\n\r\nbody" do=reset`, deliveredOrFailed, 1, -2, false},
		{"closed after the body", `dir=up match="\r\n\r\nbody" do=close`, deliveredOrFailed, 1, -2, false},
		{"silent after the body", `dir=down do=stall`, failed, 1, 2, false},
		{"no answer before the end", `dir=down do=truncate`, failed, 1, 2, false},
		{"cut in the status line", `dir=down match="HTTP/1.1 2" do=close`, failed, 1, 2, false},
		{"garbled status", `dir=down match="HTTP/1.1 " with="x9" do=garble`, failed, 1, 2, false},
		// Only the direction to the endpoint is closed: the answer still arrives.
		{"half-closed towards the endpoint", `dir=up match="\r\n\r\nbody" do=halfclose`, delivered, 1, 1, false},
		// The endpoint never receives the last byte of the request. If the relay wrote that byte before it noticed the
		// reset, it must assume that the message may have run.
		{"cut before the last byte", `dir=up match="\r\n\r\nbod" do=reset`, deliveredOrNotRun, 1, 1, false},
		{"connection refused", `do=refuse`, deliveredOrNotRun, 1, 1, false},
		{"a byte of the body lost", `dir=up match="\r\n\r\nbod" do=drop`, failed, 0, 1, false},
		// A status line with 200 arrives: the message counts as delivered, whatever follows.
		{"garbled chunk header", `dir=down match="\r\n\r\n" with="Z!" do=garble`, delivered, 1, 1, true},
		{"garbled length", `dir=down match="Content-Length: " with="?" do=garble`, delivered, 1, 1, false},
		{"bytes doubled in an answer", `dir=down match="\r\n\r\n" bytes=2 do=double`, delivered, 1, 1, false},
		{"cut in the answer's body", `dir=down match="\r\n\r\no" do=reset`, delivered, 1, 1, false},
		// A slow answer or request is no failure before the timeout.
		{"late answer", `dir=down for=300ms do=delay`, delivered, 1, 1, false},
		{"slow answer", `dir=down rate=400 do=trickle`, delivered, 1, 1, false},
		{"late request", `dir=up for=200ms do=delay`, delivered, 1, 1, false},
	}
}

// keyedCallRange returns the lowest and the highest expected number of calls with the message of the class "order".
func (f wireFault) keyedCallRange() (low, high int) {
	if f.keyedCalls < 0 {
		return 1, -f.keyedCalls
	}
	return f.keyedCalls, f.keyedCalls
}

// TestEachFaultOnTheWireEndsInOneFinalAnswer injects a fault into the first connection to an endpoint. Each message
// must get exactly one final answer. A message that may have run may be repeated only if its class allows repeats.
func TestEachFaultOnTheWireEndsInOneFinalAnswer(t *testing.T) {
	t.Parallel()
	for _, fault := range wireFaults() {
		t.Run(strings.ReplaceAll(fault.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ []string) {
				if fault.chunkedAnswer {
					w.(http.Flusher).Flush()
				}
				writeQuietly(w, "ok")
			})
			// Each class has a proxy and a relay of its own.
			for _, class := range []string{"pay", "order"} {
				sendOverFault(t, platform, endpoint, fault, class)
				checkFaultEnd(t, platform, endpoint, fault, class)
			}
		})
	}
}

// sendOverFault submits a message of the class to a relay with a faulty connection to its endpoint, waits until the
// message has ended and terminates the relay.
func sendOverFault(t *testing.T, platform *fakePlatform, endpoint *fakeEndpoint, fault wireFault, class string) {
	t.Helper()
	wire := startProxy(t, endpoint.addr(), "conn=1 "+fault.rule)
	r := newRelay(t, platform, []listEntry{newEntry("s-"+class, wire.Addr(), "a", singleKind, "ready")}, withPayments)
	id := "m-" + class
	if status, _ := r.submit(id, 5*time.Second, withClass(class)); status != http.StatusAccepted {
		t.Fatalf("%s: status %d", class, status)
	}
	// Later messages, on connections without a fault, are delivered.
	eventually(t, "the fault is triggered", func() bool { return wire.Stats().Triggered > 0 })
	eventually(t, "a later message is delivered", func() bool {
		next := fmt.Sprintf("%s-%d", class, time.Now().UnixNano())
		r.mustAccept(next, 10*time.Second)
		eventually(t, next, func() bool { return endpoint.count(next) > 0 || platform.notification(next) != nil })
		return endpoint.count(next) > 0
	})
	low, _ := fault.keyedCallRange()
	eventually(t, "the message has ended", func() bool {
		if len(platform.statuses(id)) > 0 {
			return true
		}
		calls := endpoint.count(id)
		return calls > 0 && (class == "order" && calls >= low || fault.paymentEnd != failed)
	})
	if err := r.terminate(); err != nil {
		t.Fatalf("the relay ended with an error: %v", err)
	}
}

// checkFaultEnd checks the calls and the final answer of a message that was sent over a faulty connection.
func checkFaultEnd(t *testing.T, platform *fakePlatform, endpoint *fakeEndpoint, fault wireFault, class string) {
	t.Helper()
	id := "m-" + class
	ends := platform.statuses(id)
	if len(ends) > 1 {
		t.Errorf("%s: several final answers: %v", class, ends)
	}
	want := delivered
	low, high := fault.keyedCallRange()
	if class == "pay" {
		want = fault.paymentEnd
		low = 0
		high = fault.maxCalls
	}
	calls := endpoint.count(id)
	if calls > high || calls < low {
		t.Errorf("%s: %d calls, want %d to %d", class, calls, low, high)
	}
	switch {
	case want == delivered && len(ends) > 0:
		t.Errorf("%s: final answers %v, want only the delivery", class, ends)
	case want == failed && !slices.Equal(ends, []string{failed}):
		t.Errorf("%s: ended as %v, want %s", class, ends, failed)
	case want == deliveredOrNotRun && (calls == 1) == (len(ends) == 1):
		t.Errorf("%s: %d calls and final answers %v, want either a call or a final answer", class, calls, ends)
	case want == deliveredOrFailed && calls+len(ends) == 0:
		t.Errorf("%s: neither a call nor a final answer", class)
	}
}

// TestKilledBetweenTheAnswerAndItsRecord kills a relay after its endpoint has answered 200, but before the relay
// could read the answer. The next process reports a payment as undeliverable and does not send it again. It repeats
// an order, but only in the zone of the first call, in which endpoints drop repeats.
func TestKilledBetweenTheAnswerAndItsRecord(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"pay", "order"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			endpoint := newEndpoint(t, nil)
			other := newEndpoint(t, nil)
			wire := startProxy(t, endpoint.addr())
			rule, err := faultproxy.ParseRule("conn=1 dir=down do=stall") // the relay never receives the answer
			must(t, err)
			id, err := wire.AddRule(rule)
			must(t, err)
			elsewhere := newEntry("s-2", other.addr(), "b", singleKind, "ready")
			elsewhere["weight"] = 1.0
			here := newEntry("s-1", wire.Addr(), "a", singleKind, "ready")
			r := newRelay(t, platform, []listEntry{here, elsewhere}, withPayments)
			if status, _ := r.submit("m", 8*time.Second, withClass(class)); status != http.StatusAccepted {
				t.Fatalf("status %d", status)
			}
			ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
			defer cancel()
			must(t, wire.WaitTriggered(ctx, id))
			r.kill()
			r.start(platform)
			if class == "pay" {
				eventually(t, "a notification", func() bool { return platform.notification("m") != nil })
			} else {
				eventually(t, "repeated", func() bool { return endpoint.count("m") == 2 })
			}
			must(t, r.terminate())
			if ends := platform.statuses("m"); class == "pay" &&
				(endpoint.count("m") != 1 || !slices.Equal(ends, []string{"undeliverable"})) ||
				class == "order" && (endpoint.count("m") != 2 || len(ends) > 0) {
				t.Errorf("%d calls, final answers %v", endpoint.count("m"), ends)
			}
			if other.count("m") != 0 {
				t.Error("the message was sent to the other zone, where a repeat is not dropped")
			}
		})
	}
}

// TestFaultsOnTheClientsSide injects faults between a client and the relay. A message that is answered with 202 is
// delivered once. A message that arrives in part is not delivered. A message whose answer is lost is delivered at
// most once.
func TestFaultsOnTheClientsSide(t *testing.T) {
	t.Parallel()
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	for i, c := range []struct {
		rule     string
		maxCalls int
	}{
		{`dir=up match="\r\n\r\nbod" do=reset`, 0},
		{`dir=up match="\r\n\r\nbod" do=halfclose`, 0},
		{`dir=up match="Content-Length: " with="x" do=garble`, 0},
		{`dir=up match="POST" with="\x00" do=garble`, 0},
		{`dir=down do=close`, 1},
		{`dir=down at=5 do=reset`, 1},
		{`dir=up match="\r\n\r\n" for=100ms do=stall`, 1},
	} {
		proxy := startProxy(t, r.addr, c.rule)
		id := fmt.Sprint("m", i)
		req := r.request(id, 10*time.Second, nil)
		req.URL.Host = proxy.Addr()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
		status := 0
		if res, err := client.Do(req); err == nil {
			closeQuietly(res.Body)
			status = res.StatusCode
		}
		if status == http.StatusAccepted {
			eventually(t, id, func() bool { return endpoint.count(id) == 1 })
		}
		closeQuietly(proxy)
		next := fmt.Sprint("next", i)
		r.mustAccept(next, 10*time.Second)
		eventually(t, next, func() bool { return endpoint.count(next) == 1 })
		if calls := endpoint.count(id); calls > c.maxCalls {
			t.Errorf("%s: %d calls, want at most %d", c.rule, calls, c.maxCalls)
		}
	}
}
