package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/netconn"
	"cherrytrestle.example/cherrytrestle/internal/simwire"
	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

const settingsJSON = `{"bounds":{"cancel":true,"connect_timeout_ms":1500.0,"keepalive_ms":15000.0,"max_retry_after_ms":3000.0,
	"may_duplicate":true,"open_cap":438,"retry_after":true,"send_cap":8},
	"extra":{"call_slots":38,"carriage":[0.0,0.03],"per_call":[10,1,1],"separate_routes":[false,true,false]},
	"fleet_size":2,"kinds":["platform","gateway","store"],"membership_mode":"push",
	"realms":[{"name":"acme","quota_per_s":52.5,"share":0.66},{"name":"bolt","quota_per_s":15.0,"share":0.34}],
	"rules":{"cold_from":0.18,"fall_ms":3000.0,"overload_factor":2.0,"warm_within_ms":14000.0},
	"services":[{"name":"order","semantics":"idempotency_key","group":"zone","goal_time_ms":3000.0,"give_up_ms":16000.0,
	"repeat_window_ms":10000.0,"value":1.0,"by_arrival":true}],
	"stats":{"fields":[],"how":"none"},"tick_ms":5.0,"weight_kind":"nominal","zones":["a","b"],"zone":0,"novel":[[1,2],null]}`

const configure = "bounds.cancel=true bounds.connect_timeout_ms=1500.0 bounds.max_retry_after_ms=3000.0 bounds.open_cap=438 " +
	"bounds.retry_after=true bounds.send_cap=8 extra.call_slots=38 extra.carriage=0.0,0.03 extra.per_call=10,1,1 " +
	"extra.separate_routes=false,true,false fleet_size=2 kinds=platform,gateway,store membership_mode=push realms.count=2 " +
	"realms.0.name=acme realms.0.quota_per_s=52.5 realms.0.share=0.66 realms.1.name=bolt realms.1.quota_per_s=15.0 " +
	"realms.1.share=0.34 rules.cold_from=0.18 rules.fall_ms=3000.0 rules.overload_factor=2.0 rules.warm_within_ms=14000.0 " +
	"services.count=1 services.0.name=order services.0.semantics=idempotency_key services.0.group=zone " +
	"services.0.goal_time_ms=3000.0 services.0.give_up_ms=16000.0 services.0.repeat_window_ms=10000.0 services.0.value=1.0 " +
	"services.0.by_arrival=true weight_kind=nominal"

// The relay's configuration and the simulator's wire give the module the same settings.
func TestConfigMapsAsTheWireDoes(t *testing.T) {
	c, err := parseConfig(
		[]byte(`{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964","settings":` + settingsJSON + `}`),
	)
	if err != nil {
		t.Fatal(err)
	}
	var b simwire.Batch
	in := "MARK 1.0 1\nCONFIGURE 0 7 " + configure + "\nGO\n"
	if err := simwire.NewReader(strings.NewReader(in)).Next(&b); err != nil {
		t.Fatal(err)
	}
	if want := b.Items[0].Settings; !reflect.DeepEqual(c.Settings, want) {
		t.Errorf("from JSON\n%+v\non the wire\n%+v", c.Settings, want)
	}
	if c.ConnectTimeout != 1500*time.Millisecond || c.KeepAlive != 15*time.Second || c.Tick != 5*time.Millisecond ||
		c.Seed != 0x8c1f30d27a5be964 || !reflect.DeepEqual(c.TenantNames, []string{"acme", "bolt"}) {
		t.Errorf("the relay's own part: %+v", c)
	}
}

// parseConfig reads a configuration that is all there.
func parseConfig(data []byte) (Config, error) {
	return parseConfigFile(bytes.NewReader(data), keepKnown)
}

// parseList reads a list that is all there.
func parseList(c *Config, data []byte) (l discovery.List, err error) {
	var head discovery.ListHead
	err = discovery.NewListReader(bytes.NewReader(data), c.parser()).Next(&head, func(e discovery.Entry) error {
		l.Entries = append(l.Entries, e)
		return nil
	})
	l.Version, l.Full = head.Version, head.Full
	return l, err
}

// entriesOf are entries as a relay reads them.
func entriesOf(r *Relay, texts ...string) []discovery.Entry {
	l, err := parseList(&r.cfg, []byte(`{"servers":[`+strings.Join(texts, ",")+`]}`))
	if err != nil {
		panic(err)
	}
	return l.Entries
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

// newTestRelay is a relay whose loop is not running: the test takes its part.
func newTestRelay(t *testing.T) *Relay {
	t.Helper()
	c, err := parseConfig(
		[]byte(`{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settingsJSON +
			`,"known":{"version":1,"full":true,"servers":[
		{"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"gateway","cell":7,"state":"ready","weight":50}]}}`),
	)
	if err != nil {
		t.Fatal(err)
	}
	c.StateDir = t.TempDir()
	r, err := New(c, quiet(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.egress.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); r.calls.Wait() })
	r.callCtx = ctx
	r.recoverState()
	return r
}

// door lets clients in.
func door(t *testing.T, r *Relay) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	doorAt(t, r, l)
	return l.Addr().String()
}

// doorAt lets clients in at a listener.
func doorAt(t *testing.T, r *Relay, l net.Listener) {
	t.Helper()
	t.Cleanup(func() { l.Close(); r.ingress.Close(time.Now()) })
	go r.ingress.Serve(l)
}

// handInText is a hand-in as it stands on the wire; edit may spoil it.
func handInText(id string, edit ...string) string {
	text := "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Qos: order\r\nX-Customer: bolt\r\n" +
		"Idempotency-Key: k\r\nEnvelope: dest=7\r\nX-Expires-In-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"
	return strings.NewReplacer(edit...).Replace(text)
}

// post hands a message in and has the loop decide on it.
func post(t *testing.T, r *Relay, addr, id string) *http.Response {
	t.Helper()
	c := nettest.Dial(t, addr, handInText(id))
	for {
		if _, ok := r.next().(*submitEvent); ok {
			break
		}
	}
	return nettest.ReadResponse(t, bufio.NewReader(c))
}

// next takes the loop's next event and decides on it.
func (r *Relay) next() event {
	e := <-r.events
	r.step([]event{e})
	return e
}

// settle has the loop decide until ok holds.
func settle(t *testing.T, r *Relay, what string, ok func() bool) {
	t.Helper()
	nettest.Eventually(t, what, func() bool {
		select {
		case e := <-r.events:
			r.step([]event{e})
		default:
			r.step(nil)
		}
		return ok()
	})
}

// A client that gave up waiting hands the message in anew, under another id: the first must not be sent again.
func TestAClientThatLeftWithoutAnAnswerTakesItsMessageAlong(t *testing.T) {
	r := newTestRelay(t)
	listener := nettest.Listen(t)
	doorAt(t, r, listener)
	c := nettest.Dial(t, listener.Addr().String(), handInText("m1"))
	served := listener.Accepted(t)
	e := <-r.events
	c.Close()
	nettest.Eventually(t, "the client is seen to leave", func() bool { return served.FailedReads() > 0 })
	r.step([]event{e})
	for {
		if _, ok := r.next().(cancelEvent); ok {
			break
		}
	}
	settle(t, r, "forgotten", func() bool { return len(r.messages) == 0 && r.pending == 0 }) // its call may still be out
}

// A message that comes once more because its connection closed crosswise is the same message.
func TestAMessageHandedInTwiceUnderOneIDIsTakenOnce(t *testing.T) {
	r := newTestRelay(t)
	addr := door(t, r)
	for range 2 {
		if res := post(t, r, addr, "m1"); res.StatusCode != http.StatusAccepted {
			t.Errorf("status %d", res.StatusCode)
		}
	}
	if len(r.messages) != 1 {
		t.Errorf("%d messages held", len(r.messages))
	}
}

// With the log's folder gone, as with a full disk, new work is refused and nothing is sent unrecorded.
func TestAFullDiskRefusesNewWork(t *testing.T) {
	r := newTestRelay(t)
	if err := r.journal.Close(); err != nil { // every write fails from here on
		t.Fatal(err)
	}
	res := post(t, r, door(t, r), "m1")
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, advice %q", res.StatusCode, res.Header.Get("Retry-After"))
	}
	if len(r.messages) != 0 || r.pending != 0 || r.callsInFlight != 0 {
		t.Errorf("%d held, %d out", r.pending, r.callsInFlight)
	}
}

func TestUnreadableEntriesSpoilNoOther(t *testing.T) {
	r := newTestRelay(t)
	l, err := parseList(
		&r.cfg,
		[]byte(`{"version":2,"full":true,"servers":[7,{"id":"s-1","state":"asleep"},{"id":"s-8","zone":"x"},
		{"id":"s-2","addr":"127.0.0.1:2","zone":"b","kind":"store","cell":3,"state":"ready","weight":5}]}`),
	)
	if err != nil {
		t.Fatal(err)
	}
	e := r.applyList(l)
	one, _ := r.catalog.Endpoint("s-1")
	two, _ := r.catalog.Endpoint("s-2")
	if r.catalog.EndpointCount() != 2 || one.Addr != "127.0.0.1:1" || two.Zone != 1 || len(e) != 1 ||
		len(e[0].Endpoints) != 2 {
		t.Errorf("hosts %+v, %+v, told %+v", one, two, e)
	}
}

// Together the messages of a bundle may be larger than any body may.
func TestABundleIsNoLargerThanABodyMayBe(t *testing.T) {
	r := newTestRelay(t)
	r.catalog.Upsert(
		catalog.Endpoint{Endpoint: policy.Endpoint{ID: "s-1", Kind: 0, InService: true}, Addr: "127.0.0.1:1"},
	)
	var calls []*call
	for i, size := range []int{20_000, 20_000, 20_000, 0, 64 << 10, 5} {
		m := &message{
			Message: &journal.Message{
				TraceID:        fmt.Sprint("<", i, ">"),
				IdempotencyKey: "&&&&",
				Body:           make([]byte, size),
			},
		}
		calls = r.addToCalls(calls, m, &policy.Action{Kind: policy.Send, Endpoint: "s-1", TimeoutAt: time.Minute})
	}
	sent := 0
	for _, c := range calls {
		sent += len(c.attempts)
		if body := (&egress.Call{Attempts: c.outgoing()}).Body(); len(c.attempts) > 1 && (len(body) > netconn.MaxBodySize || len(body) > c.size) {
			t.Errorf("%d messages in %d bytes, %d counted", len(c.attempts), len(body), c.size)
		}
	}
	if sent != 6 || len(calls) != 3 {
		t.Errorf("%d messages in %d calls", sent, len(calls))
	}
}

// A damaged journal may lack sends. What they may be about is ended, not repeated, and it alone: what was taken on
// behind the damage goes on.
func TestADamagedJournalRepeatsNothing(t *testing.T) {
	r := newTestRelay(t)
	addr := door(t, r)
	for i := range 200 { // over several blocks of the store: damage in the last one looks like a torn write
		post(t, r, addr, fmt.Sprint("m", 100+i))
	}
	if err := r.journal.Close(); err != nil {
		t.Fatal(err)
	}
	folder := journal.Folder(r.cfg.StateDir)
	paths, err := filepath.Glob(filepath.Join(folder, "*.seg"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("%v, %v", paths, err)
	}
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	data[strings.Index(string(data), "m110")] ^= 0x55
	if err := os.WriteFile(paths[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	again, err := New(r.cfg, quiet(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	again.callCtx = t.Context()
	again.recoverState()
	t.Cleanup(func() { again.calls.Wait() })
	doubtful := map[string]bool{}
	for _, n := range again.finals.Pending() {
		doubtful[n.TraceID] = n.Status == "undeliverable"
	}
	if !doubtful["m100"] || !doubtful["m109"] || doubtful["m299"] {
		t.Errorf("notices %+v", again.finals.Pending())
	}
	if m := again.messagesByTrace["m299"]; again.pending < 10 || m == nil || m.completed {
		t.Errorf("%d held: what stands behind the damage is to go on", again.pending)
	}
}

func FuzzConfig(f *testing.F) {
	f.Add([]byte(`{"name":"n3","limits":{"sockets":-1},"settings":` + settingsJSON + `}`))
	f.Add([]byte(`{"settings":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := parseConfig(data)
		if err == nil && (c.Limits.Sockets <= 0 || c.ConnectTimeout <= 0 || c.KeepAlive <= 0) {
			t.Errorf("%s passes as %+v", data, c)
		}
	})
}

// With the clock set back between two processes a message that may have run is not repeated: how long its host drops
// repeats cannot be told. One that never ran goes on, with no more time than its class gives.
func TestAClockThatWasSetBack(t *testing.T) {
	for _, back := range []time.Duration{0, time.Minute} {
		r := newTestRelay(t)
		at := time.Now().Add(back)
		class := r.cfg.Settings.Classes[0]
		ran := &journal.Message{
			ID:                1,
			TraceID:           "ran",
			IdempotencyKey:    "k",
			OrderingKey:       "a",
			Destination:       7,
			Deadline:          at.Add(10 * time.Second),
			Attempts:          1,
			UncertainAttempts: []journal.Attempt{{Endpoint: "s-1", SentAt: at}},
		}
		new := &journal.Message{
			ID:             2,
			TraceID:        "new",
			IdempotencyKey: "k",
			OrderingKey:    "b",
			Destination:    7,
			Deadline:       at.Add(class.Deadline),
		}
		if err := r.journal.Accept(ran, new); err != nil {
			t.Fatal(err)
		}
		r.recovery = &journal.Recovery{Messages: []*journal.Message{ran, new}, Store: &store.Recovery{}}
		if left := r.acceptedEvent(&message{Message: new}).TimeLeft; left > class.Deadline {
			t.Errorf("back by %v: %v left", back, left)
		}
		r.recoverState()
		if given := len(r.finals.Pending()) == 1 && r.finals.Pending()[0].TraceID == "ran"; given != (back > 0) ||
			r.messages[2] == nil ||
			r.messages[2].completed {
			t.Errorf("back by %v: notices %+v", back, r.finals.Pending())
		}
		r.calls.Wait()
	}
}

// reopen opens a relay's journal as a process would that begins at now.
func reopen(t *testing.T, r *Relay, now bootclock.Reading) *journal.Recovery {
	t.Helper()
	if err := r.journal.Close(); err != nil {
		t.Fatal(err)
	}
	opt := r.cfg.Operator.Journal.Options(3e6)
	opt.Clock = func() bootclock.Reading { return now }
	j, found, err := journal.OpenFolder(r.cfg.StateDir, opt)
	if err != nil {
		t.Fatal(err)
	}
	r.journal = j
	return found
}

// The wall clock is set while no process runs. A message that was sent before the window in which its host drops
// repeats is not repeated, one sent within it is, and each keeps the time that it truly has left: the boot's clock
// tells.
func TestTheWindowGoesByTheBootsClock(t *testing.T) {
	for _, step := range []time.Duration{0, -7 * time.Second, -time.Hour, 7 * time.Second, time.Hour} {
		r := newTestRelay(t)
		now := bootclock.Now()
		if now.BootID == "" {
			now.BootID = "a boot"
		}
		class := r.cfg.Settings.Classes[0]
		away := class.DedupWindow / 2
		// The process before: it ran until away ago, when the wall clock was step ahead of what it is now.
		was := bootclock.Reading{Wall: now.Wall.Add(-away - step), BootID: now.BootID, Uptime: now.Uptime - away}
		reopen(t, r, was)
		for id, sent := range map[uint32]time.Duration{1: away + time.Second, 2: away - time.Second} {
			m := &journal.Message{
				ID:             id,
				TraceID:        fmt.Sprint("m", id),
				IdempotencyKey: "k",
				OrderingKey:    fmt.Sprint(id),
				Destination:    7,
				Deadline:       was.Wall.Add(away + 9*time.Second),
			}
			if err := r.journal.Accept(m); err != nil {
				t.Fatal(err)
			}
			if err := r.journal.RecordSends(journal.Send{Message: m, Attempt: journal.Attempt{Endpoint: "s-1", SentAt: was.Wall.Add(-sent)}}); err != nil {
				t.Fatal(err)
			}
		}
		r.recovery = reopen(t, r, now)
		if d := (r.recovery.ClockStep - step).Abs(); d > time.Millisecond {
			t.Errorf("step %v: taken for %v", step, r.recovery.ClockStep)
		}
		for _, m := range r.recovery.Messages {
			if left := time.Until(m.Deadline); left < 8*time.Second || left > 9*time.Second {
				t.Errorf("step %v: %v left of 9 s", step, left)
			}
		}
		r.recoverState()
		if len(r.finals.Pending()) != 1 || r.finals.Pending()[0].TraceID != "m1" || r.messages[2] == nil || r.messages[2].completed {
			t.Errorf("step %v: notices %+v", step, r.finals.Pending())
		}
		r.calls.Wait()
	}
}

// The machine was started anew while a call was out, and its clock set: whatever the wall clock says, what may have run
// is not repeated, since nobody can tell how long its host drops repeats. So over the next process of the new boot,
// too.
func TestAfterANewBootNothingThatMayHaveRunIsRepeated(t *testing.T) {
	for _, step := range []time.Duration{0, -7 * time.Second, 7 * time.Second} {
		r := newTestRelay(t)
		now := bootclock.Now()
		was := bootclock.Reading{Wall: now.Wall.Add(-6*time.Second - step), BootID: "before", Uptime: time.Hour}
		later := bootclock.Reading{Wall: now.Wall, BootID: "after", Uptime: 6 * time.Second}
		reopen(t, r, was)
		m := &journal.Message{
			ID:             1,
			TraceID:        "m1",
			IdempotencyKey: "k",
			OrderingKey:    "1",
			Destination:    7,
			Deadline:       was.Wall.Add(15 * time.Second),
		}
		if err := r.journal.Accept(m); err != nil {
			t.Fatal(err)
		}
		if err := r.journal.RecordSends(journal.Send{Message: m, Attempt: journal.Attempt{Endpoint: "s-1", SentAt: was.Wall.Add(time.Second)}}); err != nil {
			t.Fatal(err)
		}
		reopen(t, r, bootclock.Reading{Wall: now.Wall, BootID: "after", Uptime: 5 * time.Second})
		if r.recovery = reopen(t, r, later); len(r.recovery.Messages) != 1 {
			t.Fatalf("%d messages", len(r.recovery.Messages))
		}
		r.recoverState()
		if len(r.finals.Pending()) != 1 || r.finals.Pending()[0].TraceID != "m1" {
			t.Errorf("step %v: notices %+v", step, r.finals.Pending())
		}
		r.calls.Wait()
	}
}

// heldUp has connections to hosts come up only once up is closed. dialled tells of each that is asked for, came of each
// request.
func heldUp(t *testing.T, r *Relay, up <-chan struct{}) (dialled <-chan struct{}, came <-chan string) {
	t.Helper()
	asked, requests := make(chan struct{}, 16), make(chan string, 16)
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, req *http.Request) bool {
		body, _ := io.ReadAll(req.Body)
		requests <- req.URL.Path + " " + req.Header.Get("X-Trace-Id") + string(body)
		fmt.Fprint(conn, nettest.OKResponse)
		return true
	})
	config := r.egressConfig()
	config.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		asked <- struct{}{}
		select {
		case <-up:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		var d net.Dialer
		return d.DialContext(ctx, network, addr)
	}
	r.egress = egress.New(config)
	return asked, requests
}

// run has the relay's loop run until the test ends.
func run(t *testing.T, r *Relay) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); <-r.loopDone })
	go r.loop(ctx)
}

// The connection of a call with several messages comes up late: one of them has had its final answer meanwhile, since
// its time was up. It must not leave with the others.
func TestAMessageThatEndedMeanwhileDoesNotLeaveWithOthers(t *testing.T) {
	r := newTestRelay(t)
	up := make(chan struct{})
	dialled, came := heldUp(t, r, up)
	r.cfg.Known.Entries = entriesOf(
		r,
		`{"id":"s-9","addr":"127.0.0.1:1","zone":"a","kind":"platform","cell":9,"state":"ready","weight":50}`,
	)
	r.recovery = &journal.Recovery{Store: &store.Recovery{}}
	for i, left := range []time.Duration{10 * time.Second, 500 * time.Millisecond, 10 * time.Second} {
		m := &journal.Message{
			ID:             uint32(i + 1),
			TraceID:        fmt.Sprint("m", i),
			IdempotencyKey: "k",
			Destination:    9,
			Deadline:       time.Now().Add(left),
		}
		if err := r.journal.Accept(m); err != nil {
			t.Fatal(err)
		}
		r.recovery.Messages = append(r.recovery.Messages, m)
	}
	r.recoverState()
	run(t, r)
	<-dialled
	nettest.Eventually(t, "the one whose time is up has its final answer", func() bool {
		notices := r.finals.Pending()
		return len(notices) == 1 && notices[0].TraceID == "m1"
	})
	close(up)
	select {
	case got := <-came:
		if !strings.Contains(got, `"m0"`) || !strings.Contains(got, `"m2"`) || strings.Contains(got, `"m1"`) {
			t.Error("the host was sent", got)
		}
	case <-time.After(nettest.Patience):
		t.Error("the others do not leave")
	}
}

// A repeat that was decided inside its window waits for a connection that comes up only after it, as from a machine
// that is back. It must not leave then: no host drops it any more.
func TestARepeatHeldUpPastItsWindowDoesNotLeave(t *testing.T) {
	r := newTestRelay(t)
	window := r.cfg.Settings.Classes[0].DedupWindow
	ends := time.Now().Add(300 * time.Millisecond)
	up := make(chan struct{})
	time.AfterFunc(time.Until(ends), func() { close(up) })
	dialled, came := heldUp(t, r, up)
	m := &journal.Message{
		ID: 1, TraceID: "m", IdempotencyKey: "k", Destination: 7, Deadline: time.Now().Add(10 * time.Second), Attempts: 1,
		UncertainAttempts: []journal.Attempt{{Endpoint: "s-1", SentAt: ends.Add(-window)}},
	}
	if err := r.journal.Accept(m); err != nil {
		t.Fatal(err)
	}
	// as an earlier process left it
	r.recovery = &journal.Recovery{Messages: []*journal.Message{m}, Store: &store.Recovery{}}
	r.recoverState()
	run(t, r)
	<-dialled
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		notices := r.finals.Pending()
		if len(notices) == 1 && notices[0].Status == "undeliverable" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("never ended")
		}
	}
	select {
	case <-came:
		t.Error("it left")
	default:
	}
}
