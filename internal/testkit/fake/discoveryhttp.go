package fake

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// heartbeatInterval is the time without a change after which a watch sends an empty line.
	heartbeatInterval = 2 * time.Second
	// maxNoticesSize bounds the body of a request with notices, in bytes.
	maxNoticesSize = 1 << 20
)

func (a *DiscoveryAgent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", a.serveList)
	mux.HandleFunc("POST /v2/finals", a.serveNotices)
	return mux
}

// serveList answers with a snapshot of the list, or serves a watch if the query has the parameter stream.
func (a *DiscoveryAgent) serveList(w http.ResponseWriter, r *http.Request) {
	if !a.waitWhileSilent(r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	query := r.URL.Query()
	if query.Get("stream") == "" {
		a.mu.Lock()
		line, version := a.snapshotLine()
		a.mu.Unlock()
		if _, err := w.Write(line); err == nil {
			a.setNotifiedUpTo(version)
		}
		return
	}
	version, err := strconv.Atoi(query.Get("index"))
	if err != nil {
		http.Error(w, "bad index", http.StatusBadRequest)
		return
	}
	a.serveWatch(w, r, version)
}

// waitWhileSilent waits until the agent is not silent. It returns false if ctx ends first.
func (a *DiscoveryAgent) waitWhileSilent(ctx context.Context) bool {
	for {
		a.mu.Lock()
		silent, changed := a.silent, a.changed
		a.mu.Unlock()
		if !silent {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// serveWatch sends a line with the updates since a version, and another line whenever the list changes. If the version
// is 0 or newer than the list, the first line is a snapshot.
func (a *DiscoveryAgent) serveWatch(w http.ResponseWriter, r *http.Request, version int) {
	controller := http.NewResponseController(w)
	if version == 0 {
		version = noVersion
	}
	for a.waitWhileSilent(r.Context()) {
		line, next, changed := a.watchLine(version)
		if _, err := w.Write(line); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		version = next
		a.setNotifiedUpTo(version)
		select {
		case <-changed:
		case <-time.After(heartbeatInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// noVersion is the version of a watch whose next line must be a snapshot.
const noVersion = -1

// watchLine returns the next line of a watch that has sent all updates up to a version. It also returns the version
// after this line, and a channel that is closed when there may be another line. The line is empty if the list has not
// changed.
func (a *DiscoveryAgent) watchLine(version int) (line []byte, next int, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next = len(a.updates)
	switch {
	case version < 0 || version > next:
		line, next = a.snapshotLine()
	case version < next:
		delta := EndpointList{Version: int64(next)}
		for _, u := range a.updates[version:] {
			delta.Endpoints = append(delta.Endpoints, u.ListedEndpoint)
		}
		line = encodeLine(a.faults.repeatEntries(delta))
	default:
		line = []byte("\n")
	}
	return line, next, a.changed
}

// snapshotLine returns the line with a snapshot of the list, and the list's version. The caller holds mu.
func (a *DiscoveryAgent) snapshotLine() (line []byte, version int) {
	version = len(a.updates)
	return encodeLine(a.faults.repeatEntries(snapshot(version, a.listed))), version
}

func encodeLine(list EndpointList) []byte {
	line, err := json.Marshal(list)
	if err != nil {
		panic(err) // cannot happen: the list holds only booleans, numbers and strings
	}
	return append(line, '\n')
}

// notice is a relay's report of how a message ended.
type notice struct {
	ID           string `json:"id"`
	Status       string `json:"status"`
	RetryAfterMS int64  `json:"again_ms"`
}

// serveNotices accepts notices, even while the agent is silent.
func (a *DiscoveryAgent) serveNotices(w http.ResponseWriter, r *http.Request) {
	if a.faults.refuseNotices(w) {
		return
	}
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxNoticesSize))
	for {
		var n notice
		err := decoder.Decode(&n)
		switch {
		case errors.Is(err, io.EOF):
			w.WriteHeader(http.StatusNoContent)
			return
		case err != nil || n.Status != eventlog.StateUndeliverable && n.Status != eventlog.StateDeferred:
			if r.Context().Err() == nil {
				a.recordInvalid(n.ID, fmt.Sprintf("unreadable notice %q: %v", n.Status, err))
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.acceptNotice(n)
	}
}

// acceptNotice marks the message of a notice as resolved and records the notice.
func (a *DiscoveryAgent) acceptNotice(n notice) {
	a.world.ResolveMessage(n.ID)
	a.events.Add(eventlog.Event{
		Kind:       eventlog.MessageNotice,
		Relay:      a.relay,
		ID:         n.ID,
		State:      n.Status,
		RetryAfter: time.Duration(n.RetryAfterMS) * time.Millisecond,
	})
}
