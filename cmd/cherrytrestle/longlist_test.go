package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// idleEntries are endpoints at which nobody answers, two of each destination from a number on.
func idleEntries(n, from int) []listEntry {
	members := make([]listEntry, 0, 2*n)
	for i := range 2 * n {
		m := newEntry(
			fmt.Sprint("rest-", from, "-", i),
			fmt.Sprintf("127.9.%d.%d:1", i>>8&255, i&255),
			"a",
			"gateway",
			"ready",
		)
		m["cell"] = from + i/2
		members = append(members, m)
	}
	return members
}

// A relay ends, in order or not, in the middle of a full list without the endpoint that a message waits for and that of
// another destination. The part of the list that was applied does not matter to the next process, which starts from its
// stored list: each accepted message is delivered, once.
func TestTerminatedDuringALongList(t *testing.T) {
	const dests = 3000
	for name, signal := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			endpoint := newEndpoint(t, answerStatus(http.StatusOK))
			live := func(state string) []listEntry {
				return append(idleEntries(dests, 1000), newEntry("s-1", endpoint.addr(), "a", singleKind, state))
			}
			r := newRelay(t, platform, live("draining"), nil)
			r.mustAccept("waits", 12*time.Second)
			whole := fmt.Appendf(nil, `{"version":50,"full":true,"servers":[`)
			for i, m := range idleEntries(dests, 100_000) {
				if i > 0 {
					whole = append(whole, ',')
				}
				whole = fmt.Appendf(
					whole,
					`{"id":%q,"addr":%q,"zone":"a","kind":"gateway","cell":%d,"state":"ready"}`,
					m["id"],
					m["addr"],
					m["cell"],
				)
			}
			platform.lines <- string(bytes.TrimRight(whole, "}")) // and a line's end, and never more
			eventually(t, "the list is being applied", func() bool {
				res, err := r.client.Do(
					r.request(
						"probe",
						50*time.Millisecond,
						func(req *http.Request) { req.Header.Set("Envelope", "dest=100001") },
					),
				)
				if err == nil {
					closeQuietly(res.Body)
				}
				return err == nil && res.StatusCode != http.StatusBadRequest
			})
			r.mustAccept("after", 12*time.Second)
			must(t, r.cmd.Process.Signal(signal))
			_ = r.cmd.Wait() // the signal is its error
			r.config["known"] = map[string]any{"version": 2, "full": true, "servers": live("ready")}
			r.writeConfig()
			r.start(platform)
			for _, id := range []string{"waits", "after"} {
				eventually(t, id+" is delivered", func() bool { return endpoint.count(id) > 0 })
			}
			time.Sleep(100 * time.Millisecond)
			for _, id := range []string{"waits", "after"} {
				if n := endpoint.count(id); n != 1 || platform.notification(id) != nil {
					t.Errorf("%s: %d times, notification %v", id, n, platform.notification(id))
				}
			}
		})
	}
}
