package fake

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 10 * time.Second

const world = `
name = "test"
length = "10s"

[settings]
slots = 4

[[class]]
name = "order"
effect = "keyed"
window = "10s"
aim = "3s"
give_up = "8s"

[[kind]]
name = "store"
pace = "10ms"
slots = 2
per_call = 10

[[destination]]
kind = "store"

[[traffic]]
rate = 1
`

// rig is a world with its first hosts, and a record.
type rig struct {
	*World
	t    testing.TB
	plan scenario.Plan
	rec  *eventlog.Writer
}

func newRig(t testing.TB, more string) *rig {
	t.Helper()
	f, err := scenario.Parse("test", []byte(strings.Replace(world, "[settings]", more+"\n[settings]", 1)))
	if err != nil {
		t.Fatal(err)
	}
	plan := f.Draw(1)
	rec, err := eventlog.NewWriter(io.Discard, time.Now(), f.RecordHeader(1))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{World: NewWorld(plan, rec), t: t, plan: plan, rec: rec}
	t.Cleanup(r.World.Close)
	for _, e := range plan.Endpoints {
		if !e.AddedLater {
			if _, err := r.AddEndpoint(e); err != nil {
				t.Fatal(err)
			}
		}
	}
	return r
}

func (r *rig) first() *Endpoint { return r.Endpoint(r.plan.Endpoints[0].ID) }

func (r *rig) dial(addr string) net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return c
}

func callText(id string) string {
	return fmt.Sprintf("POST /events HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nContent-Length: 4\r\n\r\nbody", id)
}

func (r *rig) ask(c net.Conn, text string) *http.Response {
	r.t.Helper()
	io.WriteString(c, text)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.t.Fatalf("%.40q: %v", text, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		r.t.Fatal(err)
	}
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res
}

func (r *rig) handIn(ids ...string) {
	for _, id := range ids {
		r.RegisterMessage(id, 1, time.Now().Add(5*time.Second))
	}
}

// seen waits for an event of a kind that fits.
func (r *rig) seen(kind eventlog.Kind, fits func(eventlog.Event) bool) eventlog.Event {
	r.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range r.rec.Snapshot() {
			if e.Kind == kind && (fits == nil || fits(e)) {
				return e
			}
		}
	}
	r.t.Fatalf("never seen: %s", kind)
	return eventlog.Event{}
}

func TestAHostAnswersAndRecords(t *testing.T) {
	r := newRig(t, "")
	r.handIn("m1", "m2")
	c := r.dial(r.first().Addr("r1"))
	if res := r.ask(c, callText("m1")); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	if res := r.ask(c, callText("m2")); res.StatusCode != 200 { // on the same connection
		t.Errorf("status %d", res.StatusCode)
	}
	call := r.seen(eventlog.CallReceived, func(e eventlog.Event) bool { return slices.Equal(e.IDs, []string{"m2"}) })
	reply := r.seen(eventlog.CallAnswered, func(e eventlog.Event) bool { return e.Call == call.Call })
	if call.Relay != "r1" || call.Host != r.first().ID || call.FirstByteAt > call.At ||
		reply.At-call.At < 9*time.Millisecond ||
		reply.Status != 200 {
		t.Errorf("%+v %+v", call, reply)
	}
}

func TestWhatAHostRefuses(t *testing.T) {
	r := newRig(t, "")
	r.handIn("over", "late")
	r.WithdrawMessage("over")
	r.RegisterMessage("late", 1, time.Now().Add(-time.Second))
	post := func(path, head, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, head, len(body), body)
	}
	for _, c := range []struct {
		text   string
		status int
	}{
		{callText("over"), 410},
		{callText("late"), 410},
		{callText("nobody's"), 400},
		{post("/events", "", "x"), 400},
		{post("/other", "", "x"), 404},
		{post("/events/bundle", "", "{"), 400},
		{post("/events/bundle", "", "[]"), 400},
		{post("/events/bundle", "", `[{"id":"late"},{"id":"late"}]`), 400},
		{"GET /events HTTP/1.1\r\nHost: x\r\n\r\n", 405},
	} {
		if res := r.ask(r.dial(r.first().Addr("r1")), c.text); res.StatusCode != c.status {
			t.Errorf("%.60q: status %d, want %d", c.text, res.StatusCode, c.status)
		}
	}
	for n := range 10 {
		r.handIn("often")
		w := r.msgs["often"]
		w.calls = n
		res := r.ask(r.dial(r.first().Addr("r1")), callText("often"))
		if (res.StatusCode == 504) != (n >= 8) {
			t.Errorf("call %d: status %d", n+1, res.StatusCode)
		}
	}
}

func TestBundlesTellOfEachMessage(t *testing.T) {
	r := newRig(t, "")
	r.handIn("a", "b", "c")
	r.WithdrawMessage("b")
	body := `[{"id":"a","body":""},{"id":"b","body":""},{"id":"c","body":""}]`
	res := r.ask(
		r.dial(r.first().Addr("r1")),
		fmt.Sprintf("POST /events/bundle HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
	)
	var got []struct{ ID, State string }
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil || res.StatusCode != 200 ||
		fmt.Sprint(got) != "[{a ok} {b gone} {c ok}]" {
		t.Errorf("%d %v, %v", res.StatusCode, got, err)
	}
}

// Slots are the relay's: a call beyond them is told so, and one given up frees its own.
// Of a limit of a thousand a second that is lowered by a million no second call is left; restored, there is room again.
// An answer that is lost: the call has come whole and ran, its connection breaks, and the next one answers.
func TestAnAnswerIsLost(t *testing.T) {
	r := newRig(t, "")
	r.handIn("m1", "m2")
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(r.SetResponseLossRatio(r.first().Service, 1))
	c := r.dial(r.first().Addr("r1"))
	_, err := io.WriteString(c, callText("m1"))
	must(err)
	must(c.SetReadDeadline(time.Now().Add(patience)))
	if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", n, err)
	}
	call := r.seen(eventlog.CallReceived, nil)
	if e := r.seen(eventlog.CallAborted, nil); e.Call != call.Call || e.Cause != eventlog.CauseHost {
		t.Errorf("%+v", e)
	}
	must(r.SetResponseLossRatio(r.first().Service, 0))
	if res := r.ask(r.dial(r.first().Addr("r1")), callText("m2")); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
}

func TestALimitIsLowered(t *testing.T) {
	r := newRig(
		t,
		"[[kind]]\nname = \"limited\"\npace = \"1ms\"\nslots = 2\nlimit = \"rate\"\n[[destination]]\nkind = \"limited\"\nrate = 1000\n",
	)
	r.handIn("m1", "m2", "m3", "m4")
	c := r.dial(r.first().Addr("r1"))
	status := func(id string) int { return r.ask(c, callText(id)).StatusCode }
	if got := [2]int{status("m1"), status("m2")}; got != [2]int{200, 200} {
		t.Errorf("at its limit: %v", got)
	}
	if err := r.SetLimitDivisor("d1", 1e6); err != nil {
		t.Fatal(err)
	}
	status("m3") // what may come at once
	if got := status("m4"); got != 503 {
		t.Errorf("lowered: %d", got)
	}
	if err := r.SetLimitDivisor("d1", 1); err != nil {
		t.Fatal(err)
	}
	r.handIn("m5")
	time.Sleep(5 * time.Millisecond) // the limit's own time
	if got := status("m5"); got != 200 {
		t.Errorf("restored: %d", got)
	}
	if err := r.SetLimitDivisor("none", 2); err == nil {
		t.Error("a place that is not there is lowered")
	}
}

func TestSlots(t *testing.T) {
	r := newRig(t, "")
	if err := r.StartOutage("d1", scenario.OpSilence, 0, 0); err != nil {
		t.Fatal(err)
	}
	var conns []net.Conn
	for i := range 4 {
		id := fmt.Sprint("m", i)
		r.handIn(id)
		c := r.dial(r.first().Addr("r1"))
		io.WriteString(c, callText(id))
		conns = append(conns, c)
		r.seen(eventlog.CallReceived, func(e eventlog.Event) bool { return e.IDs[0] == id })
	}
	r.handIn("more")
	if res := r.ask(r.dial(r.first().Addr("r1")), callText("more")); res.StatusCode != 503 ||
		res.Header.Get("Slots-Taken") != "1" {
		t.Errorf("beyond the slots: %d %v", res.StatusCode, res.Header)
	}
	conns[0].Close()
	r.seen(eventlog.CallAborted, func(e eventlog.Event) bool { return e.Cause == eventlog.CauseRelay })
	c := r.dial(r.first().Addr("r1"))
	io.WriteString(c, callText("more"))
	r.seen(eventlog.CallReceived, func(e eventlog.Event) bool { return e.IDs[0] == "more" && e.Call == 6 })
	c.SetDeadline(time.Now().Add(60 * time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a silent host: %v", err)
	}
}

// What ends before its last byte is no call; what ends its sending behind it is one that was given up.
func TestCutAndHalfClosed(t *testing.T) {
	r := newRig(t, "")
	r.handIn("m1", "m2")
	c := r.dial(r.first().Addr("r1"))
	io.WriteString(c, callText("m1")[:50])
	c.Close()
	if e := r.seen(eventlog.CallTruncated, nil); len(e.IDs) > 0 {
		t.Errorf("%+v", e)
	}
	c = r.dial(r.first().Addr("r1"))
	io.WriteString(c, callText("m2"))
	c.(*net.TCPConn).CloseWrite()
	if e := r.seen(eventlog.CallAborted, nil); e.Cause != eventlog.CauseRelay {
		t.Errorf("%+v", e)
	}
	for _, e := range r.rec.Snapshot() {
		if e.Kind == eventlog.CallReceived && e.IDs[0] == "m1" || e.Kind == eventlog.RunInvalid {
			t.Errorf("%+v", e)
		}
	}
}

func TestDeathAndReturn(t *testing.T) {
	r := newRig(t, "")
	addr := r.first().Addr("r1")
	open := r.dial(addr)
	io.WriteString(open, "P") // it is accepted by now, or will be
	r.seen(eventlog.CapacityChanged, nil)
	if err := r.StartOutage("d1", scenario.OpCrash, 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("an open connection: %v", err)
	}
	if c, err := net.DialTimeout("tcp", addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new one: %v %v", c, err)
	}
	if err := r.EndOutage("d1"); err != nil {
		t.Fatal(err)
	}
	r.handIn("m")
	if res := r.ask(r.dial(addr), callText("m")); res.StatusCode != 200 {
		t.Errorf("back: %d", res.StatusCode)
	}
	out, back := r.seen(eventlog.OutageStarted, nil), r.seen(eventlog.OutageEnded, nil)
	if out.Place != "d1" || out.Cause != "down" || len(out.Hosts) != 2 || back.Rate != 400 || back.Share != 0.2 ||
		back.For != 12*time.Second {
		t.Errorf("%+v %+v", out, back)
	}
}

// A machine that is cut off is silent on what is open, and nothing new comes up; what was sent to it never reached it.
func TestCutOffAndReturn(t *testing.T) {
	r := newRig(t, "")
	addr := r.first().Addr("r1")
	open := r.dial(addr)
	r.handIn("before", "meanwhile", "after")
	if res := r.ask(open, callText("before")); res.StatusCode != 200 {
		t.Fatal(res.StatusCode)
	}
	if err := r.StartOutage("d1", scenario.OpCutOff, 0, 0); err != nil {
		t.Fatal(err)
	}
	io.WriteString(open, callText("meanwhile"))
	open.SetDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("an open connection: %v", err)
	}
	c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a new one: %v %v", c, err)
	}
	if err := r.EndOutage("d1"); err != nil {
		t.Fatal(err)
	}
	open.SetDeadline(time.Now().Add(patience))
	if _, err := open.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the open connection, after: %v", err)
	}
	if res := r.ask(r.dial(addr), callText("after")); res.StatusCode != 200 {
		t.Errorf("after: %d", res.StatusCode)
	}
	for _, e := range r.rec.Snapshot() {
		if e.Kind == eventlog.CallReceived && e.IDs[0] == "meanwhile" {
			t.Error("a call reached a machine that is cut off")
		}
	}
}

func TestANewHostTakesAnOldAddress(t *testing.T) {
	r := newRig(t, "")
	old := r.first()
	addr := old.Addr("r1")
	next := old.Endpoint
	next.ID, next.ReusesAddressOf = "s-new", old.ID
	if _, err := r.AddEndpoint(next); err == nil {
		t.Fatal("two hosts at one address")
	}
	old.Stop()
	if _, err := net.DialTimeout("tcp", addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("stopped: %v", err)
	}
	h, err := r.AddEndpoint(next)
	if err != nil || h.Addr("r1") != addr {
		t.Fatalf("%v", err)
	}
	r.handIn("m")
	if res := r.ask(r.dial(addr), callText("m")); res.StatusCode != 200 {
		t.Errorf("status %d", res.StatusCode)
	}
	r.seen(eventlog.CallReceived, func(e eventlog.Event) bool { return e.Host == "s-new" })
}

// A reserved address refuses connections, is found by nobody who asks for any, and serves who asks for it.
func TestReserve(t *testing.T) {
	addr, release, err := ReserveAddress("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if _, err := net.DialTimeout("tcp", addr, patience); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialled: %v", err)
	}
	for range 2 { // a relay, and the one that comes after it
		l, err := net.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := ReserveAddress(addr); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("reserved what is listened on: %v", err)
		}
		l.Close()
	}
}

func newAgent(t *testing.T, r *rig) *DiscoveryAgent {
	t.Helper()
	a, err := NewDiscoveryAgent("r1", r.rec, r.World, []ListedEndpoint{{ID: "s-1", Addr: "x:1", State: eventlog.StateReady, Destination: 1}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	a.SetRelayRunning(true)
	return a
}

func watch(t *testing.T, a *DiscoveryAgent, index int) (next func() EndpointList) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodGet,
		fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", a.Addr(), index),
		nil,
	)
	if err != nil {
		t.Fatal(err)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	lines := make(chan EndpointList, 16)
	go func() {
		defer close(lines)
		res, err := tr.RoundTrip(req)
		if err != nil {
			return
		}
		defer res.Body.Close()
		for d := json.NewDecoder(res.Body); ; {
			var m EndpointList
			if d.Decode(&m) != nil {
				return
			}
			lines <- m
		}
	}()
	return func() EndpointList {
		select {
		case m := <-lines:
			return m
		case <-ctx.Done():
			t.Fatal("no line")
			return EndpointList{}
		}
	}
}

func TestAWatchTellsChangesAndIsHushed(t *testing.T) {
	r := newRig(t, "")
	a := newAgent(t, r)
	next := watch(t, a, 0)
	if m := next(); !m.Full || m.Version != 1 || len(m.Endpoints) != 1 {
		t.Errorf("%+v", m)
	}
	a.Update(ListedEndpoint{ID: "s-2", State: eventlog.StateReady})
	if m := next(); m.Full || m.Version != 2 || m.Endpoints[0].ID != "s-2" {
		t.Errorf("%+v", m)
	}
	// A line counts as told once the agent has written it, which may be after a client has read it.
	r.seen(eventlog.RelayNotified, func(e eventlog.Event) bool { return e.Host == "s-2" })
	a.SetSilent(true)
	a.Update(ListedEndpoint{ID: "s-1", State: eventlog.StateDraining})
	told := func(state string) bool {
		return slices.ContainsFunc(
			r.rec.Snapshot(),
			func(e eventlog.Event) bool { return e.Kind == eventlog.RelayNotified && e.State == state },
		)
	}
	if told(eventlog.StateDraining) || a.NotifiedList().Version != 2 {
		t.Error("told while it was silent")
	}
	late := watch(t, a, 1) // and a watch that begins then waits, too
	a.SetSilent(false)
	if m := next(); m.Version != 3 || m.Endpoints[0].State != eventlog.StateDraining {
		t.Errorf("%+v", m)
	}
	if m := late(); m.Full || m.Version != 3 || len(m.Endpoints) != 2 {
		t.Errorf("a watch from version 1: %+v", m)
	}
	r.seen(eventlog.RelayNotified, func(e eventlog.Event) bool { return e.State == eventlog.StateDraining })
	if m := watch(t, a, 99)(); !m.Full || m.Version != 3 {
		t.Errorf("a watch from a version that is not: %+v", m)
	}
	a.Update(ListedEndpoint{ID: "s-1", State: eventlog.StateGone})
	next()
	r.seen(eventlog.RelayNotified, func(e eventlog.Event) bool { return e.State == eventlog.StateGone })
	if k := a.NotifiedList(); k.Version != 4 || len(k.Endpoints) != 1 || k.Endpoints[0].ID != "s-2" {
		t.Errorf("known: %+v", k)
	}
}

func TestNoticesAreTakenAlsoWhileItIsSilent(t *testing.T) {
	r := newRig(t, "")
	a := newAgent(t, r)
	a.SetSilent(true)
	r.handIn("m1", "m2")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	post := func(body string) int {
		res, err := client.Post("http://"+a.Addr()+"/v2/finals", "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	if s := post("{\"id\":\"m1\",\"status\":\"undeliverable\"}\n{\"id\":\"m2\",\"status\":\"deferred\",\"again_ms\":500}\n"); s != 204 {
		t.Errorf("status %d", s)
	}
	if e := r.seen(eventlog.MessageNotice, func(e eventlog.Event) bool { return e.ID == "m2" }); e.State != eventlog.StateDeferred ||
		e.RetryAfter != 500*time.Millisecond {
		t.Errorf("%+v", e)
	}
	if r.UnresolvedMessages() != 0 {
		t.Errorf("%d owed", r.UnresolvedMessages())
	}
	if s := post("{\"id\":\"m1\",\"status\":\"lost\"}"); s != 400 {
		t.Errorf("status %d", s)
	}
	r.seen(eventlog.RunInvalid, nil)
}

// relayStub answers what clients hand in.
func relayStub(t testing.TB, answer func(n int, c net.Conn, req *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					answer(n, c, req)
				}
			}()
		}
	}()
	return l.Addr().String()
}

const took = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"

func newClients(r *rig, addr string) *Clients {
	c := NewClients("r1", addr, r.plan.File, r.rec, r.World)
	c.SetAccepting(true)
	r.t.Cleanup(c.Close)
	return c
}

func (r *rig) heardBy(c *Clients, a scenario.Arrival) (events []eventlog.Event) {
	c.Submit(context.Background(), a, 0)
	c.Wait()
	for _, e := range r.rec.Snapshot() {
		if e.Kind == eventlog.MessageSubmitted || e.Kind == eventlog.SubmissionAnswered || e.Kind == eventlog.SubmissionUnanswered {
			events = append(events, e)
		}
	}
	return events
}

func kinds(events []eventlog.Event) (text string) {
	for _, e := range events {
		text += fmt.Sprintf("%s %d %s,", e.Kind, e.Status, e.Cause)
	}
	return text
}

func TestClientsComeAgainOnceAfterARefusal(t *testing.T) {
	r := newRig(t, "")
	var ids, marks []string
	addr := relayStub(t, func(_ int, c net.Conn, req *http.Request) {
		ids, marks = append(ids, req.Header.Get("X-Trace-Id")), append(marks, req.Header.Get("X-Second-Try"))
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.050\r\nContent-Length: 0\r\n\r\n")
	})
	events := r.heardBy(newClients(r, addr), scenario.Arrival{ID: "m", Destination: 1, RetryDelay: time.Millisecond, BodySize: 10})
	if got := kinds(events); got != "offer 0 ,heard 503 ,offer 0 ,heard 503 ," {
		t.Errorf("%s", got)
	}
	if events[2].FirstID != "m" || events[2].ID == "m" || events[2].At-events[1].At < 50*time.Millisecond ||
		marks[1] != "1" {
		t.Errorf("%+v %v", events[2], marks)
	}
}

func TestClientsLeaveAfterTheirTimeAndComeAgain(t *testing.T) {
	r := newRig(t, "")
	addr := relayStub(t, func(n int, c net.Conn, _ *http.Request) {
		if n > 1 {
			io.WriteString(c, took)
		}
	})
	events := r.heardBy(newClients(r, addr), scenario.Arrival{ID: "m", Destination: 1, BodySize: 10})
	if got := kinds(events); got != "offer 0 ,unheard 0 timeout,offer 0 ,heard 202 ," ||
		events[1].At-events[0].At < 390*time.Millisecond {
		t.Errorf("%s", got)
	}
}

func TestACloseThatCrossesARequestIsNoLoss(t *testing.T) {
	r := newRig(t, "")
	var answered atomic.Bool
	addr := relayStub(t, func(n int, c net.Conn, _ *http.Request) {
		if n == 1 && answered.Swap(true) {
			c.Close() // between two requests, as the client sees it
			return
		}
		io.WriteString(c, took)
	})
	c := newClients(r, addr)
	r.heardBy(c, scenario.Arrival{ID: "m1", Destination: 1, BodySize: 10})
	events := r.heardBy(c, scenario.Arrival{ID: "m2", Destination: 1, BodySize: 10})
	if got := kinds(events); got != "offer 0 ,heard 202 ,offer 0 ,heard 202 ," {
		t.Errorf("%s", got)
	}
}

func TestAnAnswerThatNeverComesOnANewConnectionIsALoss(t *testing.T) {
	r := newRig(t, "")
	addr := relayStub(t, func(_ int, c net.Conn, _ *http.Request) { c.Close() })
	events := r.heardBy(newClients(r, addr), scenario.Arrival{ID: "m", Destination: 1, BodySize: 10})
	if got := kinds(events); got != "offer 0 ,unheard 0 closed,offer 0 ,unheard 0 closed," {
		t.Errorf("%s", got)
	}
}

func TestClientsWaitForARelayThatIsAway(t *testing.T) {
	r := newRig(t, "")
	addr := relayStub(t, func(_ int, c net.Conn, _ *http.Request) { io.WriteString(c, took) })
	c := newClients(r, addr)
	c.SetAccepting(false)
	c.Submit(context.Background(), scenario.Arrival{ID: "m", Destination: 1, BodySize: 10}, 0)
	r.seen(eventlog.SubmissionUnanswered, func(e eventlog.Event) bool { return e.Cause == eventlog.CauseNotSent })
	c.SetAccepting(true)
	r.seen(eventlog.SubmissionAnswered, nil)
	c.Wait()
}

// What one core can hand in: messages a second of the load side alone, against a stub that answers at once.
func BenchmarkHandIn(b *testing.B) {
	r := newRig(b, "")
	addr := relayStub(b, func(_ int, c net.Conn, _ *http.Request) { io.WriteString(c, took) })
	c := newClients(r, addr)
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		c.try(context.Background(), try{
			Arrival: scenario.Arrival{
				ID:             fmt.Sprint("m", n),
				IdempotencyKey: "k",
				Destination:    1,
				BodySize:       200,
			}, deadline: time.Now().Add(time.Minute),
		}, 0)
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "messages/s")
}
