package fake

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// receive sends a call and returns what arrives until wanted does, or until the connection ends.
func receive(t *testing.T, conn net.Conn, request, wanted string) string {
	t.Helper()
	nettest.Send(conn, request)
	var received strings.Builder
	buffer := make([]byte, 1)
	for wanted == "" || !strings.HasSuffix(received.String(), wanted) {
		if _, err := conn.Read(buffer); err != nil {
			break
		}
		received.Write(buffer)
	}
	return received.String()
}

func TestFaultsOnTheWireOfAnswers(t *testing.T) {
	for _, c := range []struct {
		op     scenario.Op
		wanted string // what arrives ends with this
	}{
		{scenario.OpCopyAnswers, okAnswer + okAnswer},
		{scenario.OpInformational, informationalText + okAnswer + informationalText},
		{scenario.OpTrickleAnswers, okAnswer},
		{scenario.OpJunkAnswers, okAnswer + junkText},
	} {
		t.Run(string(c.op), func(t *testing.T) {
			h := newHarness(t)
			h.register("m")
			h.must(h.SetAnswerFault(testService, c.op, 1, 5*time.Millisecond))
			if got := receive(t, h.dialEndpoint(), callText("m"), c.wanted); !strings.HasSuffix(got, c.wanted) {
				t.Errorf("received %q, want it to end with %q", got, c.wanted)
			}
		})
	}
}

func TestStrayAnswerFollowsTheAnswer(t *testing.T) {
	h := newHarness(t)
	h.register("m")
	h.must(h.SetAnswerFault(testService, scenario.OpStrayAnswers, 1, 0))
	conn := h.dialEndpoint()
	receive(t, conn, callText("m"), okAnswer)
	if stray := receive(t, conn, "", "\r\n\r\n"); !strings.HasPrefix(stray, "HTTP/1.1 ") {
		t.Errorf("received %q, want a second answer", stray)
	}
}

// A cut answer to a single message counts if its first line was written whole.
func TestCutAnswerCountsWithItsStatusLine(t *testing.T) {
	h := newHarness(t)
	h.must(h.SetAnswerFault(testService, scenario.OpCutAnswers, 1, 0))
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		h.register(id)
		got := receive(t, h.dialEndpoint(), callText(id), "")
		if strings.Contains(got, okAnswer) {
			t.Errorf("the whole answer %q arrived", got)
		}
		call := h.waitFor(eventlog.CallReceived, withMessage(id)).Call
		ofCall := func(e eventlog.Event) bool { return e.Call == call }
		_, counts := h.find(eventlog.CallAnswered, ofCall)
		if _, aborted := h.find(eventlog.CallAborted, ofCall); aborted == counts {
			t.Errorf("answered %v, aborted %v", counts, aborted)
		}
		if !counts && strings.Contains(got, "200 OK\r\n") {
			t.Errorf("%q does not count as an answer", got)
		}
	}
}

// A broken idle connection answers no call.
func TestBrokenIdleConnectionAnswersNothing(t *testing.T) {
	h := newHarness(t)
	h.register("first", "second")
	h.must(h.SetAnswerFault(testService, scenario.OpBreakIdle, 1, 0))
	for range 8 {
		conn := h.dialEndpoint()
		receive(t, conn, callText("first"), okAnswer)
		time.Sleep(20 * time.Millisecond) // the connection breaks as soon as it is idle
		h.setDeadline(conn, 50*time.Millisecond)
		if got := receive(t, conn, callText("second"), ""); got != "" {
			t.Errorf("received %q", got)
		}
	}
}

func TestEndpointAnnouncesTheEndThatARelayAsksFor(t *testing.T) {
	h := newHarness(t)
	h.register("m")
	conn := h.dialEndpoint()
	nettest.Send(conn, postText("/events", "X-Trace-Id: m\r\nConnection: close\r\n", "body"))
	got, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(got), "\r\nConnection: close\r\n") {
		t.Errorf("received %q, %v", got, err)
	}
}

// An answer counts as far as the platform's rules ask, also if junk behind it is cut.
func TestWhatIsWrittenOfACutAnswerCounts(t *testing.T) {
	delivered := answer{status: 200, states: []string{messageDelivered}}
	rejected := answer{status: 503}
	own := len(okAnswer)
	for _, c := range []struct {
		answer  answer
		isBatch bool
		written int
		counts  bool
	}{
		{delivered, true, own - 1, false},
		{delivered, true, own, true},
		{delivered, true, own + 2, true},
		{answer{status: 200}, false, len("HTTP/1.1 200 OK\r\n") - 1, false},
		{answer{status: 200}, false, len("HTTP/1.1 200 OK\r\n"), true},
		{rejected, false, own - 1, false},
		{rejected, false, own, true},
	} {
		s := spoiltAnswer{ownLength: own, text: (okAnswer + junkText)[:c.written], cut: true}
		if got := s.counts(c.answer, c.isBatch); got != c.counts {
			t.Errorf("%d bytes, status %d, batch %v: counts %v", c.written, c.answer.status, c.isBatch, got)
		}
		s.preceding, s.text = len(informationalText), informationalText+s.text
		if got := s.counts(c.answer, c.isBatch); got != c.counts {
			t.Errorf("%d bytes behind a 1xx answer, batch %v: counts %v", c.written, c.isBatch, got)
		}
	}
}

// byteCounter counts the bytes that are written to a connection.
type byteCounter struct {
	net.Conn
	written int
}

func (c *byteCounter) Write(b []byte) (int, error) {
	c.written += len(b)
	return len(b), nil
}

// A Retry-After binds from when its answer is written, not from when the endpoint begins to write it byte by byte.
func TestTrickledAnswerIsRecordedWithItsLastByte(t *testing.T) {
	counter := &byteCounter{}
	recordedAt := -1
	conn := &endpointConn{Conn: counter}
	record := func() { recordedAt = counter.written }
	spoilt := spoiltAnswer{text: okAnswer, ownLength: len(okAnswer), trickled: true, beforeLastByte: record}
	if !conn.write(spoilt) {
		t.Error("not written")
	}
	if recordedAt != len(okAnswer)-1 || counter.written != len(okAnswer) {
		t.Errorf("recorded after %d bytes of %d", recordedAt, counter.written)
	}
}

// closedAfter is a connection that its peer closes after it has received a number of bytes.
type closedAfter struct {
	byteCounter
	limit int
}

func (c *closedAfter) Write(b []byte) (int, error) {
	if c.written+len(b) > c.limit {
		return 0, net.ErrClosed
	}
	return c.byteCounter.Write(b)
}

// A relay has the whole of a trickled answer, acts on it, and closes the connection at the junk behind it. The answer
// is recorded, since the relay knows its Retry-After and the call's end.
func TestTrickledAnswerIsRecordedBeforeJunkBehindIt(t *testing.T) {
	for _, preceding := range []string{"", informationalText} {
		peer := &closedAfter{limit: len(preceding) + len(okAnswer)}
		recordedAt := -1
		conn := &endpointConn{Conn: peer}
		written := conn.write(spoiltAnswer{
			preceding:      len(preceding),
			ownLength:      len(okAnswer),
			text:           preceding + okAnswer + junkText,
			trickled:       true,
			beforeLastByte: func() { recordedAt = peer.written },
		})
		if written || recordedAt != peer.limit-1 {
			t.Errorf("all written: %t, recorded after %d bytes, want %d", written, recordedAt, peer.limit-1)
		}
	}
}
