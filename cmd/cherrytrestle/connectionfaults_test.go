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

// withPayments adds a class that must never run twice.
func withPayments(settings map[string]any) {
	settings["services"] = append(settings["services"].([]map[string]any), map[string]any{
		"name": "pay", "semantics": "non_idempotent", "goal_time_ms": 1000, "give_up_ms": 16000, "value": 1,
	})
}

// withClass submits a message under a class.
func withClass(class string) func(*http.Request) {
	return func(req *http.Request) {
		req.URL.Path = "/" + class
		req.Header.Set("X-Qos", class)
	}
}

func faultyEndpoint(t testing.TB, endpoint *fakeEndpoint, rules ...string) *faultproxy.Proxy {
	t.Helper()
	proxy, err := faultproxy.Start("127.0.0.1:0", endpoint.addr(), 1)
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

// statuses are the statuses of a message's notifications, each once.
func (p *fakePlatform) statuses(id string) (all []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range p.notifications {
		if s := fmt.Sprint(f["status"]); f["id"] == id && !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

// Ends of a message that must never run twice.
const (
	delivered        = "delivered"
	failed           = "undeliverable"
	eitherEnd        = "" // delivered, or failed without having run
	deliveredOrMayBe = "delivered, or undeliverable though it may have run"
)

// wireFault is a fault that strikes the first connection to an endpoint.
type wireFault struct {
	name, rule string
	nonRepeat  string // the end of a message that must never run twice
	calls      int    // the endpoint's calls for that, at most
	keyed      int    // calls for one with a key, which is always delivered; below 0: so many at most
	first      string // the endpoint's first answer; "": a plain 200
}

func wireFaults() []wireFault {
	return []wireFault{
		// The endpoint has all of the request, and the relay learns nothing: it may have run.
		{"half-closed behind the body", `dir=down do=halfclose`, failed, 1, 2, ""},
		{"reset instead of an answer", `dir=down do=reset`, failed, 1, 2, ""},
		{"closed instead of an answer", `dir=down do=close`, failed, 1, 2, ""},
		// A reset may overtake the body in front of it: the endpoint drops what it has not read yet. And the answer of
		// an endpoint that is quick may come through before either.
		{"reset behind the body", `dir=up match="\r\n\r\nbody" do=reset`, deliveredOrMayBe, 1, -2, ""},
		{"closed behind the body", `dir=up match="\r\n\r\nbody" do=close`, deliveredOrMayBe, 1, -2, ""},
		{"silent behind the body", `dir=down do=stall`, failed, 1, 2, ""},
		{"the answer left out", `dir=down do=truncate`, failed, 1, 2, ""},
		{"cut in the status line", `dir=down match="HTTP/1.1 2" do=close`, failed, 1, 2, ""},
		{"garbled status", `dir=down match="HTTP/1.1 " with="x9" do=garble`, failed, 1, 2, ""},
		// Half-closed by the relay's side of the wire only: the answer still comes.
		{"half-closed upwards", `dir=up match="\r\n\r\nbody" do=halfclose`, delivered, 1, 1, ""},
		// The endpoint never has the last byte. Whether the relay wrote it before it noticed the break is open.
		{"cut before the last byte", `dir=up match="\r\n\r\nbod" do=reset`, eitherEnd, 1, 1, ""},
		{"refused", `do=refuse`, eitherEnd, 1, 1, ""},
		{"a byte of the body left out", `dir=up match="\r\n\r\nbod" do=drop`, failed, 0, 1, ""},
		// A first line of 200 came: it is delivered, whatever follows.
		{"garbled chunk header", `dir=down match="\r\n\r\n" with="Z!" do=garble`, delivered, 1, 1, "chunked"},
		{"garbled length", `dir=down match="Content-Length: " with="?" do=garble`, delivered, 1, 1, ""},
		{"bytes behind a good answer", `dir=down match="\r\n\r\n" bytes=2 do=double`, delivered, 1, 1, ""},
		{"cut in the answer's body", `dir=down match="\r\n\r\no" do=reset`, delivered, 1, 1, ""},
		// Slow is no fault, as long as there is time.
		{"late", `dir=down for=300ms do=delay`, delivered, 1, 1, ""},
		{"a trickle", `dir=down rate=400 do=trickle`, delivered, 1, 1, ""},
		{"late requests", `dir=up for=200ms do=delay`, delivered, 1, 1, ""},
	}
}

// keyedCalls is the range of calls for a message with a key.
func (f wireFault) keyedCalls() (least, most int) {
	if f.keyed < 0 {
		return 1, -f.keyed
	}
	return f.keyed, f.keyed
}

// Whatever happens to the bytes between the relay and an endpoint, each message has one final answer, and none that may
// have run is repeated beyond its class's allowance. The first connection is struck, the others are sound.
func TestEachFaultOnTheWireEndsInOneFinalAnswer(t *testing.T) {
	t.Parallel()
	for _, fault := range wireFaults() {
		t.Run(strings.ReplaceAll(fault.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			endpoint := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request, _ []string) {
				if fault.first == "chunked" {
					w.(http.Flusher).Flush()
				}
				writeQuietly(w, "ok")
			})
			// Each class has a wire of its own, whose first connection is struck.
			for _, class := range []string{"pay", "order"} {
				sendOverFault(t, platform, endpoint, fault, class)
				checkFaultEnd(t, platform, endpoint, fault, class)
			}
		})
	}
}

// sendOverFault sends a message of the class over a faulty wire, waits until it has ended and terminates the relay.
func sendOverFault(t *testing.T, platform *fakePlatform, endpoint *fakeEndpoint, fault wireFault, class string) {
	t.Helper()
	wire := faultyEndpoint(t, endpoint, "conn=1 "+fault.rule)
	r := newRelay(t, platform, []listEntry{newEntry("s-"+class, wire.Addr(), "a", singleKind, "ready")}, withPayments)
	id := "m-" + class
	if status, _ := r.submit(id, 5*time.Second, withClass(class)); status != http.StatusAccepted {
		t.Fatalf("%s: status %d", class, status)
	}
	// Later messages on sound connections are delivered.
	eventually(t, "the fault", func() bool { return wire.Stats().Triggered > 0 })
	eventually(t, "another one delivered", func() bool {
		next := fmt.Sprintf("%s-%d", class, time.Now().UnixNano())
		r.mustAccept(next, 10*time.Second)
		eventually(t, next, func() bool { return endpoint.count(next) > 0 || platform.notification(next) != nil })
		return endpoint.count(next) > 0
	})
	least, _ := fault.keyedCalls()
	eventually(t, "the message has ended", func() bool {
		if len(platform.statuses(id)) > 0 {
			return true
		}
		ran := endpoint.count(id)
		return ran > 0 && (class == "order" && ran >= least || fault.nonRepeat != failed)
	})
	if err := r.terminate(); err != nil {
		t.Fatalf("ended: %v", err)
	}
}

// checkFaultEnd checks the calls and the final answer of a message that was sent over a faulty wire.
func checkFaultEnd(t *testing.T, platform *fakePlatform, endpoint *fakeEndpoint, fault wireFault, class string) {
	t.Helper()
	id := "m-" + class
	ends := platform.statuses(id)
	if len(ends) > 1 {
		t.Errorf("%s: ends %v", class, ends)
	}
	want := delivered
	least, most := fault.keyedCalls()
	if class == "pay" {
		want = fault.nonRepeat
		least = 0
		most = fault.calls
	}
	calls := endpoint.count(id)
	if calls > most || calls < least {
		t.Errorf("%s: %d calls, want %d to %d", class, calls, least, most)
	}
	switch {
	case want == delivered && len(ends) > 0:
		t.Errorf("%s: delivered, and then %v", class, ends)
	case want == failed && !slices.Equal(ends, []string{failed}):
		t.Errorf("%s: ended as %v, want %s", class, ends, failed)
	case want == eitherEnd && (calls == 1) == (len(ends) == 1):
		t.Errorf("%s: %d calls and ends %v", class, calls, ends)
	case want == deliveredOrMayBe && calls+len(ends) == 0:
		t.Errorf("%s: neither delivered nor ended", class)
	}
}

// An endpoint has answered 200, and the relay is killed before it could read, or record, that. What must not run twice
// is not sent again, and ends as failed; what may is repeated where its repeat is dropped.
func TestKilledBetweenTheAnswerAndItsRecord(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"pay", "order"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			endpoint := newEndpoint(t, nil)
			other := newEndpoint(t, nil)
			wire := faultyEndpoint(t, endpoint)
			rule, err := faultproxy.ParseRule("conn=1 dir=down do=stall") // the answer is on its way, and stays there
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
				t.Errorf("%d calls, ends %v", endpoint.count("m"), ends)
			}
			if other.count("m") != 0 {
				t.Error("sent to the other zone, where its repeat is not dropped")
			}
		})
	}
}

// Faults between a client and the relay: a message of which all came has one answer or, without one, is not the
// relay's to deliver twice under its id.
func TestFaultsOnTheClientsSide(t *testing.T) {
	t.Parallel()
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), nil)
	for i, c := range []struct {
		rule  string
		calls int // at most
	}{
		{`dir=up match="\r\n\r\nbod" do=reset`, 0},
		{`dir=up match="\r\n\r\nbod" do=halfclose`, 0},
		{`dir=up match="Content-Length: " with="x" do=garble`, 0},
		{`dir=up match="POST" with="\x00" do=garble`, 0},
		{`dir=down do=close`, 1},
		{`dir=down at=5 do=reset`, 1},
		{`dir=up match="\r\n\r\n" for=100ms do=stall`, 1},
	} {
		proxy, err := faultproxy.Start("127.0.0.1:0", r.addr, 1)
		must(t, err)
		rule, err := faultproxy.ParseRule(c.rule)
		must(t, err)
		_, err = proxy.AddRule(rule)
		must(t, err)
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
		if n := endpoint.count(id); n > c.calls {
			t.Errorf("%s: %d calls", c.rule, n)
		}
	}
}
