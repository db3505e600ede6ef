package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// unreachableEntries returns the entries of n destinations, whose numbers begin at from. Each destination has two
// endpoints, with addresses at which nothing listens.
func unreachableEntries(n, from int) []listEntry {
	entries := make([]listEntry, 0, 2*n)
	for i := range 2 * n {
		id := fmt.Sprint("rest-", from, "-", i)
		entry := newEntry(id, fmt.Sprintf("127.9.%d.%d:1", i>>8&255, i&255), "a", singleKind, "ready")
		entry["cell"] = from + i/2
		entries = append(entries, entry)
	}
	return entries
}

// incompleteList returns the JSON of a full list of n destinations, whose numbers begin at from. The text breaks off
// before the end of the last entry.
func incompleteList(n, from int) string {
	text := fmt.Appendf(nil, `{"version":50,"full":true,"servers":[`)
	for i, entry := range unreachableEntries(n, from) {
		if i > 0 {
			text = append(text, ',')
		}
		const format = `{"id":%q,"addr":%q,"zone":"a","kind":%q,"cell":%d,"state":"ready"}`
		text = fmt.Appendf(text, format, entry["id"], entry["addr"], singleKind, entry["cell"])
	}
	return string(bytes.TrimRight(text, "}"))
}

// TestTerminatedDuringALongList ends a relay by a signal while it applies a full list that lacks the endpoint of the
// accepted messages. The next process starts from the list in its configuration, not from the part of the full list
// that was applied: each message is delivered once.
func TestTerminatedDuringALongList(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testEndedDuringALongList(t, signal)
		})
	}
}

func testEndedDuringALongList(t *testing.T, signal syscall.Signal) {
	const destinations = 3000
	platform := newPlatform(t)
	endpoint := newEndpoint(t, answerStatus(http.StatusOK))
	knownList := func(state string) []listEntry {
		return append(unreachableEntries(destinations, 1000), endpoint.list(singleKind, state)...)
	}
	r := newRelay(t, platform, knownList("draining"), nil)
	r.mustAccept("before", 12*time.Second)
	platform.lines <- incompleteList(destinations, 100_000)
	eventually(t, "the list is being applied", func() bool {
		response, err := r.client.Do(r.request("probe", 50*time.Millisecond, toDestination(100_001)))
		if err == nil {
			closeQuietly(response.Body)
		}
		return err == nil && response.StatusCode != http.StatusBadRequest
	})
	r.mustAccept("after", 12*time.Second)
	r.signal(signal)
	_ = r.cmd.Wait() // an error is expected if the signal ends the process
	r.setKnown(2, knownList("ready")...)
	r.start(platform)
	for _, id := range []string{"before", "after"} {
		eventually(t, id+" is delivered", func() bool { return endpoint.count(id) > 0 })
	}
	time.Sleep(100 * time.Millisecond) // a repeated call would arrive within this time
	for _, id := range []string{"before", "after"} {
		if n := endpoint.count(id); n != 1 || platform.notification(id) != nil {
			t.Errorf("%s was sent %d times, notification %v; want once and none", id, n, platform.notification(id))
		}
	}
}
