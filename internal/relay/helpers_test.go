package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// settingsJSON is the settings object of a configuration file.
const settingsJSON = `{"bounds":{"cancel":true,"connect_timeout_ms":1500.0,"keepalive_ms":15000.0,
	"max_retry_after_ms":3000.0,"may_duplicate":true,"open_cap":438,"retry_after":true,"send_cap":8},
	"extra":{"call_slots":38,"carriage":[0.0,0.03],"per_call":[10,1,1],"separate_routes":[false,true,false]},
	"fleet_size":2,"kinds":["platform","gateway","store"],"membership_mode":"push",
	"realms":[{"name":"acme","quota_per_s":52.5,"share":0.66},{"name":"bolt","quota_per_s":15.0,"share":0.34}],
	"rules":{"cold_from":0.18,"fall_ms":3000.0,"overload_factor":2.0,"warm_within_ms":14000.0},
	"services":[{"name":"order","semantics":"idempotency_key","group":"zone","goal_time_ms":3000.0,"give_up_ms":16000.0,
	"repeat_window_ms":10000.0,"value":1.0,"by_arrival":true}],
	"stats":{"fields":[],"how":"none"},"tick_ms":5.0,"weight_kind":"nominal","zones":["a","b"],"zone":0,
	"novel":[[1,2],null]}`

// parseConfig parses a configuration file that is held in memory.
func parseConfig(data []byte) (Config, error) {
	return parseConfigFile(bytes.NewReader(data), keepKnown)
}

// parseList parses an endpoint list that is held in memory.
func parseList(c *Config, data []byte) (l discovery.List, err error) {
	var head discovery.ListHead
	err = discovery.NewListReader(bytes.NewReader(data), c.parser()).Next(&head, func(e discovery.Entry) error {
		l.Entries = append(l.Entries, e)
		return nil
	})
	l.Version, l.Full = head.Version, head.Full
	return l, err
}

// entriesOf parses entries of an endpoint list as the relay does.
func entriesOf(r *Relay, texts ...string) []discovery.Entry {
	l, err := parseList(&r.cfg, []byte(`{"servers":[`+strings.Join(texts, ",")+`]}`))
	if err != nil {
		panic(err)
	}
	return l.Entries
}

func discardLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

// newTestConfig returns a configuration with one endpoint, at whose address nothing listens.
func newTestConfig(t *testing.T) Config {
	t.Helper()
	const text = `{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settingsJSON +
		`,"known":{"version":1,"full":true,"servers":[
		{"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"gateway","cell":7,"state":"ready","weight":50}]}}`
	c, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c.StateDir = t.TempDir()
	return c
}

// newTestRelay returns a relay whose loop does not run: the test runs the steps itself.
func newTestRelay(t *testing.T) *Relay {
	t.Helper()
	return newTestRelayWith(t, newTestConfig(t))
}

// newTestRelayWith returns a relay with a configuration, whose loop does not run.
func newTestRelayWith(t *testing.T, cfg Config) *Relay {
	t.Helper()
	r, err := New(cfg, discardLog(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.egress.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		r.calls.Wait()
	})
	r.callCtx = ctx
	r.recoverState()
	return r
}

// recoverAccepted has a relay recover messages, as from an earlier process that accepted them.
func recoverAccepted(t *testing.T, r *Relay, messages ...*journal.Message) {
	t.Helper()
	if err := r.journal.Accept(messages...); err != nil {
		t.Fatal(err)
	}
	r.recovery = &journal.Recovery{Messages: messages, Store: &store.Recovery{}}
	r.recoverState()
}

// serveClients serves clients at a new address until the test ends.
func serveClients(t *testing.T, r *Relay) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveClientsAt(t, r, l)
	return l.Addr().String()
}

// serveClientsAt serves clients of a listener until the test ends.
func serveClientsAt(t *testing.T, r *Relay, l net.Listener) {
	t.Helper()
	t.Cleanup(func() {
		_ = l.Close()
		r.ingress.Close(time.Now())
	})
	go r.ingress.Serve(l)
}

// firstTerms returns the terms of a message that is accepted in the first class of a configuration.
func firstTerms(c *Config) *policy.MessageTerms { return &termsOfClasses(&c.Settings)[0] }

// requestText returns the text of a client's request. edit holds pairs of an old string and its replacement, with
// which the request can be made invalid.
func requestText(id string, edit ...string) string {
	text := "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Qos: order\r\nX-Customer: bolt\r\n" +
		"Idempotency-Key: k\r\nEnvelope: dest=7\r\nX-Expires-In-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody"
	return strings.NewReplacer(edit...).Replace(text)
}

// submit submits a message, runs steps until the message is handled, and returns the response.
func submit(t *testing.T, r *Relay, addr, id string) *http.Response {
	t.Helper()
	c := nettest.Dial(t, addr, requestText(id))
	for {
		if _, ok := nextEvent(t, r).(*submitEvent); ok {
			break
		}
	}
	return nettest.ReadResponse(t, bufio.NewReader(c))
}

// nextEvent waits for the next event, runs a step with it, and returns the event.
func nextEvent(t *testing.T, r *Relay) event {
	t.Helper()
	select {
	case e := <-r.events:
		r.step([]event{e})
		return e
	case <-time.After(nettest.Patience):
		t.Fatal("no event was posted")
		return nil
	}
}

// stepUntil runs steps until ok returns true.
func stepUntil(t *testing.T, r *Relay, what string, ok func() bool) {
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

// isDelivered reports whether a message that was accepted was delivered: it is kept as such, or gone.
func isDelivered(r *Relay, trace string) bool {
	m := r.messagesByTrace[trace]
	return m == nil || m.Delivered
}
