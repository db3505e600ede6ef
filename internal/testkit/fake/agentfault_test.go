package fake

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const noticeText = `{"id":"m","status":"undeliverable"}` + "\n"

// newFaultyAgent starts the agent of the relay, with a list of one endpoint.
func newFaultyAgent(h *harness) *DiscoveryAgent {
	h.t.Helper()
	agent, err := NewDiscoveryAgent(testRelay, h.events, h.World, []ListedEndpoint{{ID: "s-1", State: "ready"}})
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { nettest.Close(agent) })
	return agent
}

func TestCopiedReplyFollowsTheReply(t *testing.T) {
	h := newHarness(t)
	agent := newFaultyAgent(h)
	agent.SetFault(scenario.OpCopyReplies, 1, 5*time.Millisecond)
	conn := h.dial(agent.Addr())
	h.send(conn, postText("/v2/finals", "", noticeText))
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusNoContent {
			t.Fatalf("%v, %v", response, err)
		}
	}
	agent.SetFault(scenario.OpCopyReplies, 0, 0)
	h.send(conn, postText("/v2/finals", "Connection: close\r\n", noticeText))
	rest, err := io.ReadAll(reader)
	if err != nil || strings.Count(string(rest), "HTTP/1.1 204") != 1 {
		t.Errorf("after the fault's end received %q, %v", rest, err)
	}
}

func TestRefusedNoticesAreNotTaken(t *testing.T) {
	h := newHarness(t)
	agent := newFaultyAgent(h)
	h.register("m")
	agent.SetFault(scenario.OpRefuseNotices, 1, 0)
	response := h.call(h.dial(agent.Addr()), postText("/v2/finals", "", noticeText))
	if response.StatusCode != http.StatusInternalServerError || h.UnresolvedMessages() != 1 {
		t.Errorf("status %d, %d messages unresolved", response.StatusCode, h.UnresolvedMessages())
	}
	agent.SetFault(scenario.OpRefuseNotices, 0, 0)
	response = h.call(h.dial(agent.Addr()), postText("/v2/finals", "", noticeText))
	if response.StatusCode != http.StatusNoContent || h.UnresolvedMessages() != 0 {
		t.Errorf("status %d, %d messages unresolved", response.StatusCode, h.UnresolvedMessages())
	}
}

func TestRepeatedEntriesNameEachEndpointTwice(t *testing.T) {
	h := newHarness(t)
	agent := newFaultyAgent(h)
	agent.SetFault(scenario.OpRepeatEntries, 1, 0)
	response := h.call(h.dial(agent.Addr()), "GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n")
	var list EndpointList
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil || len(list.Endpoints) != 2 {
		t.Errorf("%+v, %v", list, err)
	}
}
