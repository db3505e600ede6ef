package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// expectClosed reads what is left on a connection, to its end; a reset fails the test.
func expectClosed(t *testing.T, what string, r *bufio.Reader) {
	t.Helper()
	if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
		t.Errorf("%s: %d more bytes, then %v", what, len(rest), err)
	}
}

// What cannot be read, or cannot be, is answered and goes no further.
func TestBadRequestsAreRejected(t *testing.T) {
	hidden := requestText("hidden")
	chunked := func(proto string) string {
		body := "0\r\n\r\n" + hidden
		return fmt.Sprintf("POST /order %s\r\nHost: x\r\nConnection: keep-alive\r\nX-Trace-Id: a\r\nX-Qos: order\r\n"+
			"X-Customer: bolt\r\nIdempotency-Key: k\r\nEnvelope: dest=7\r\nX-Expires-In-Ms: 5000\r\n"+
			"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", proto, len(body), body)
	}
	good := requestText("a")
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"both lengths":            {chunked("HTTP/1.1"), 400},
		"both lengths, old":       {chunked("HTTP/1.0"), 400},
		"a length in two ways":    {requestText("a", "Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400},
		"noise":                   {"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400},
		"half a head":             {good[:60], 400},
		"half a body":             {good[:len(good)-2], 400},
		"a head without end":      {"POST /order HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-More: and more\r\n", 4000), 431},
		"a line without end":      {"POST /" + strings.Repeat("o", 100_000), 431},
		"negative length":         {requestText("a", "Length: 4", "Length: -4"), 400},
		"huge length":             {requestText("a", "Length: 4", "Length: 99999999999999999999"), 400},
		"large length":            {requestText("a", "Length: 4", "Length: 3000000000"), 413},
		"short length":            {requestText("a", "Length: 4", "Length: 3"), 400},
		"no such class":           {requestText("a", "/order", "/other", "Qos: order", "Qos: other"), 400},
		"no id":                   {requestText(""), 400},
		"two ids":                 {requestText("a", "X-Qos", "X-Trace-Id: b\r\nX-Qos"), 400},
		"a deadline in words":     {requestText("a", "5000", "soon"), 400},
		"more time than there is": {requestText("a", "5000", "5000000"), 400},
		"no length":               {requestText("a", "Content-Length: 4\r\n", ""), 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestRelay(t)
			conn := dial(t, serveClients(t, r), "")
			go func() { // the relay may refuse before all is written
				io.WriteString(conn, c.text)
				conn.(*net.TCPConn).CloseWrite()
			}()
			answers := bufio.NewReader(conn)
			if res := readResponse(t, answers); res.StatusCode != c.want {
				t.Errorf("status %d, want %d", res.StatusCode, c.want)
			}
			expectClosed(t, name, answers)
			if n := len(r.events); n > 0 {
				t.Errorf("%d messages went on", n)
			}
		})
	}
}

// A destination that no list has named never reaches the module, which would keep it.
func TestUnknownDestinationsAreRejected(t *testing.T) {
	r := newTestRelay(t)
	answers := bufio.NewReader(dial(t, serveClients(t, r), requestText("a", "dest=7", "dest=8")))
	r.next()
	if res := readResponse(t, answers); res.StatusCode != http.StatusBadRequest || len(r.messages) > 0 {
		t.Errorf("status %d, %d messages", res.StatusCode, len(r.messages))
	}
}

// The answer is not lost with a connection that is reset under it, however much is still on its way.
func TestErrorResponsePrecedesClose(t *testing.T) {
	const size = 60 << 20
	addr := serveClients(t, newTestRelay(t))
	for _, length := range []string{fmt.Sprint(size), "x"} {
		conn := dial(t, addr, requestText("a", "Length: 4", "Length: "+length))
		for chunk := make([]byte, 1<<20); ; {
			n, err := conn.Write(chunk)
			if err != nil {
				t.Fatalf("after %d bytes: %v", n, err)
			}
			if length = length[min(len(length), 1):]; length == "" {
				break
			}
		}
		if _, err := io.CopyN(conn, zeros{}, size); err != nil {
			t.Fatalf("not read to its end: %v", err)
		}
		conn.(*net.TCPConn).CloseWrite()
		answers := bufio.NewReader(conn)
		if res := readResponse(t, answers); res.StatusCode != http.StatusRequestEntityTooLarge &&
			res.StatusCode != http.StatusBadRequest {
			t.Errorf("status %d", res.StatusCode)
		}
		expectClosed(t, "the rest", answers)
	}
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { clear(b); return len(b), nil }

// A bad request that has come whole costs a client no connection.
func TestConnectionSurvivesBadRequest(t *testing.T) {
	r := newTestRelay(t)
	conn := dial(t, serveClients(t, r), requestText("a", "X-Qos: order", "X-Qos: what"))
	answers := bufio.NewReader(conn)
	if res := readResponse(t, answers); res.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d", res.StatusCode)
	}
	io.WriteString(conn, requestText("b"))
	stepUntil(t, r, "taken on", func() bool { return r.messagesByTrace["b"] != nil })
	if res := readResponse(t, answers); res.StatusCode != http.StatusAccepted {
		t.Errorf("status %d", res.StatusCode)
	}
}

// A connection on which nothing comes is closed within the 3 s that such a client is owed.
func TestSilentConnectionIsClosedInTime(t *testing.T) {
	began := time.Now()
	expectClosed(t, "silent", bufio.NewReader(dial(t, serveClients(t, newTestRelay(t)), "")))
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("closed after %v", took)
	}
}

// submitAll has the loop take all of these hand-ins in one step.
func submitAll(r *Relay, ins ...*submitEvent) (answers []ingress.Response) {
	batch := make([]event, len(ins))
	for i, in := range ins {
		batch[i] = in
	}
	r.step(batch)
	for _, in := range ins {
		answers = append(answers, <-in.reply)
	}
	return answers
}

func newSubmission(id string, dest int, left time.Duration) *submitEvent {
	m := &journal.Message{TraceID: id, IdempotencyKey: "k", Destination: dest, Deadline: time.Now().Add(left)}
	return &submitEvent{message: m, reply: make(chan ingress.Response, 1)}
}

// A second copy of what is refused in the same step is not told that it is taken on.
func TestDuplicatesInOneStepShareTheResponse(t *testing.T) {
	r := newTestRelay(t)
	for i, a := range submitAll(r, newSubmission("m1", 7, -time.Second), newSubmission("m1", 7, time.Second)) {
		if a.Status != http.StatusServiceUnavailable {
			t.Errorf("copy %d: %+v", i, a)
		}
	}
	r.journal.Close()
	for i, a := range submitAll(r, newSubmission("m2", 7, time.Second), newSubmission("m2", 7, time.Second)) {
		if a.Status != http.StatusServiceUnavailable {
			t.Errorf("copy %d, no log: %+v", i, a)
		}
	}
}

// The client that handed a message in first may leave: the one that was told the same of the same id is still owed it.
func TestMessageWithDuplicatesIsNotCancelled(t *testing.T) {
	r := newTestRelay(t)
	first := newSubmission("m1", 7, 5*time.Second)
	submitAll(r, first)
	submitAll(r, newSubmission("m1", 7, 5*time.Second))
	r.step([]event{cancelEvent{first.message.ID}})
	if m := r.messages[first.message.ID]; m == nil || m.completed {
		t.Errorf("withdrawn: %+v", m)
	}
}

// What was given up on, and only waits for its notice, is owed no more than that.
func TestDuplicateOfFailedMessageHasItsResponse(t *testing.T) {
	r := newTestRelay(t)
	in := newSubmission("m1", 7, 5*time.Second)
	submitAll(r, in)
	m := r.messages[in.message.ID]
	r.execute([]policy.Action{{Kind: policy.Reject, MessageID: m.ID, Delay: 700 * time.Millisecond}}, nil)
	if a := submitAll(r, newSubmission("m1", 7, 5*time.Second))[0]; a.Status != http.StatusServiceUnavailable ||
		a.RetryAfter != 700*time.Millisecond {
		t.Errorf("answer %+v", a)
	}
}

// A withdrawn message that may have run keeps its attempts, its window and its zone when it comes once more under its
// id, also when the process ends in between, before or after.
func TestResubmittedMessageKeepsItsAttempts(t *testing.T) {
	for restart := range 3 {
		const dest = 8 // listed once, and without a host now: nothing is sent but what the test says
		r := newTestRelay(t)
		r.catalog.RememberDestination(dest)
		in := newSubmission("m1", dest, 5*time.Second)
		submitAll(r, in)
		m := r.messages[in.message.ID]
		sent := journal.Attempt{Number: 0, Endpoint: "s-8", Zone: 1, SentAt: time.Now().Add(-time.Second).Round(0)}
		if err := r.journal.RecordSends(journal.Send{Message: m.Message, Attempt: sent}); err != nil {
			t.Fatal(err)
		}
		r.step([]event{cancelEvent{m.ID}})
		if restart == 1 {
			r = restartRelay(t, r)
			r.catalog.RememberDestination(dest)
		}
		if a := submitAll(r, newSubmission("m1", dest, 5*time.Second))[0]; a.Status != http.StatusAccepted {
			t.Fatalf("answer %+v", a)
		}
		if restart == 2 {
			r = restartRelay(t, r)
		}
		again := r.messagesByTrace["m1"]
		if again == nil || again.completed || again.ID == m.ID {
			t.Fatalf("restart %d: %+v", restart, again)
		}
		e := r.recoveredEvent(again).Recovered
		if e.Attempts != 1 || !e.MayHaveRun || e.FirstRunZone != 1 || e.SinceFirstRun < time.Second ||
			!again.UncertainAttempts[0].SentAt.Equal(sent.SentAt) {
			t.Errorf("restart %d: resumed as %+v, may have run %+v", restart, e, again.UncertainAttempts)
		}
	}
}

// restartRelay is a relay on what another left behind.
func restartRelay(t *testing.T, old *Relay) *Relay {
	t.Helper()
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := New(old.cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	r.callCtx = old.callCtx
	r.recoverState()
	return r
}

// A Send of a message that is not held must not end the loop.
func TestSendOfUnknownMessageIsIgnored(t *testing.T) {
	r := newTestRelay(t)
	r.execute([]policy.Action{{Kind: policy.Send, MessageID: 4711, Endpoint: "s-1", TimeoutAt: time.Minute}}, nil)
	if r.callsInFlight != 0 {
		t.Errorf("%d calls", r.callsInFlight)
	}
}
