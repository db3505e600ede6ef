package faultproxy

import (
	"context"
	"net"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

func TestProxyPassesBothDirections(t *testing.T) {
	h := newHarness(t)
	h.connect()
	h.send(h.client, "hello")
	h.expect(h.server, "hello")
	h.send(h.server, "good day")
	h.expect(h.client, "good day")
	nettest.CloseWrite(h.client) // the proxy passes a half-close on as a half-close
	if text, end := readAll(h.server); text != "" || end != endFIN {
		t.Errorf("the server reads %q and %s, want a FIN only", text, end)
	}
	h.send(h.server, "still here")
	nettest.Close(h.server)
	if text, end := readAll(h.client); text != "still here" || end != endFIN {
		t.Errorf("the client reads %q and %s", text, end)
	}
	stats := h.Stats()
	if stats.UpstreamBytes != 5 || stats.DownstreamBytes != 18 || stats.Accepted != 1 || stats.Triggered != 0 {
		t.Errorf("stats %+v, want 1 connection, 5 bytes up and 18 down", stats)
	}
}

func TestProxyPassesResets(t *testing.T) {
	h := newHarness(t)
	h.connect()
	h.send(h.client, "x")
	h.expect(h.server, "x")
	nettest.Reset(h.client)
	if _, end := readAll(h.server); end != endRST {
		t.Errorf("the server's connection ended with %s, want %s", end, endRST)
	}
}

func TestProxyResetsClientIfTargetRefuses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nettest.Close(listener)
	proxy, err := Start("127.0.0.1:0", listener.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer nettest.Close(proxy)
	conn, err := net.Dial("tcp", proxy.Addr())
	if err != nil {
		return // the connection was reset before Dial returned
	}
	defer nettest.Close(conn)
	setDeadline(t, conn, time.Now().Add(nettest.Patience))
	if _, end := readAll(conn); end != endRST {
		t.Errorf("the client's connection ended with %s, want %s", end, endRST)
	}
}

func TestProxyAddsAndRemovesRulesOfOpenConnections(t *testing.T) {
	h := newHarness(t)
	h.connect()
	h.send(h.client, "12345")
	h.expect(h.server, "12345")
	removed := h.addRule(`dir=up match="b" do=reset`)
	if !h.RemoveRule(removed) || h.RemoveRule(removed) {
		t.Error("RemoveRule must return true only the first time")
	}
	id := h.addRule("dir=up at=7 do=halfclose") // counted from the start of the connection
	h.send(h.client, "abcd")
	if text, _ := readAll(h.server); text != "ab" {
		t.Errorf("the server reads %q, want %q", text, "ab")
	}
	ctx, cancel := context.WithTimeout(context.Background(), nettest.Patience)
	defer cancel()
	if err := h.WaitTriggered(ctx, id); err != nil || h.TriggerCount(id) != 1 || h.TriggerCount(removed) != 0 {
		t.Errorf("rule triggered %d times, want 1; removed rule %d times, want 0; error %v",
			h.TriggerCount(id), h.TriggerCount(removed), err)
	}
	h.ClearRules()
	if len(h.Rules()) != 0 {
		t.Errorf("rules after ClearRules: %v", h.Rules())
	}
}
