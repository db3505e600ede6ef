package main

import (
	"net/http"
	"testing"
	"time"
)

// TestReloadThenKillRepeatsNoUnsafeMessage makes a class idempotent by SIGHUP while calls of its messages are out, and
// then kills the relay: these messages, accepted as non-idempotent, must not run again.
func TestReloadThenKillRepeatsNoUnsafeMessage(t *testing.T) {
	endpoint := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request, _ []string) { <-r.Context().Done() })
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), withPayments)
	r.config["discovery"] = platform.addr()
	management := r.setManagement()
	r.kill()
	r.start(platform)
	status, _ := r.submit("m1", 10*time.Second, withClass("pay"))
	if status != http.StatusAccepted {
		t.Fatalf("status %d, want %d", status, http.StatusAccepted)
	}
	eventually(t, "the call", func() bool { return endpoint.count("m1") == 1 })

	next := deepCopy(t, r.config)
	serviceSettings(next, 1)["semantics"] = "read_like"
	r.config = next
	r.reload(encodeConfig(t, next))
	waitMetric(t, management, "config_reloads", "1")
	r.kill()
	r.start(platform)
	eventually(t, "a final answer of m1, or another call", func() bool {
		return platform.notification("m1") != nil || endpoint.count("m1") > 1
	})
	if n := endpoint.count("m1"); n != 1 {
		t.Errorf("a message that must not run twice was sent %d times", n)
	}
}

// TestKilledSoonAfterReloadKeepsTheEarlierRules makes a class idempotent by SIGHUP and kills the relay at once. Clients
// still name the class as it was when the next process begins: their messages must not run twice.
func TestKilledSoonAfterReloadKeepsTheEarlierRules(t *testing.T) {
	endpoint := newEndpoint(t, failBadMessages)
	platform := newPlatform(t)
	r := newRelay(t, platform, endpoint.list(singleKind, "ready"), withPayments)
	r.config["discovery"] = platform.addr()
	r.mustAccept("m1", 10*time.Second)
	next := deepCopy(t, r.config)
	serviceSettings(next, 1)["semantics"] = "read_like"
	r.config = next
	r.reload(encodeConfig(t, next))
	r.kill()
	r.start(platform)
	status, _ := r.submit("bad1", 10*time.Second, withClass("pay"))
	if status != http.StatusAccepted {
		t.Fatalf("status %d, want %d", status, http.StatusAccepted)
	}
	eventually(t, "a final answer of bad1, or another call", func() bool {
		return platform.notification("bad1") != nil || endpoint.count("bad1") > 1
	})
	if n := endpoint.count("bad1"); n != 1 {
		t.Errorf("a message that must not run twice was sent %d times", n)
	}
}
