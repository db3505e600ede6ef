package faultproxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// controlClient is a client of the control protocol.
type controlClient struct {
	t     *testing.T
	conn  net.Conn
	lines *bufio.Reader
}

func dialControl(t *testing.T, addr net.Addr) *controlClient {
	t.Helper()
	conn, err := net.Dial(addr.Network(), addr.String())
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, conn)
	setDeadline(t, conn, time.Now().Add(nettest.Patience))
	return &controlClient{t: t, conn: conn, lines: bufio.NewReader(conn)}
}

// command sends a command and checks the lines that it receives in response.
func (c *controlClient) command(line string, want ...string) {
	c.t.Helper()
	if _, err := fmt.Fprintln(c.conn, line); err != nil {
		c.t.Fatal(err)
	}
	for _, wanted := range want {
		if got, err := c.lines.ReadString('\n'); err != nil || strings.TrimSpace(got) != wanted {
			c.t.Fatalf("response to %q: %q, %v; want %q", line, got, err, wanted)
		}
	}
}

func TestServeControl(t *testing.T) {
	h := newHarness(t)
	listener, err := net.Listen("unix", filepath.Join(t.TempDir(), "control"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.ServeControl(ctx, listener) }()
	client := dialControl(t, listener.Addr())
	client.command(`add dir=up match="b" do=halfclose`, "1", "ok")
	client.command("add do=melt", "error: sockfault: unknown fault \"melt\", one of "+fmt.Sprint(faults))
	client.command("list", `1 dir=up match="b" do=halfclose`, "ok")
	h.connect()
	h.send(h.client, "abc")
	client.command("wait 1 5s", "ok")
	client.command("struck 1", "1", "ok")
	client.command("stats", "made=1 open=1 up=3 down=0 struck=1", "ok")
	client.command("wait 2 1ms", "error: sockfault: rule 2 has not struck: context deadline exceeded")
	client.command("remove 1", "ok")
	client.command("remove 1", "error: no rule 1")
	client.command("target nowhere", "error: target: address nowhere: missing port in address")
	client.command("target 127.0.0.1:1", "ok")
	client.command("sleep 1ms", "ok")
	client.command("sing", `error: unknown command "sing"`)
	client.command("clear", "ok")
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("ServeControl returned %v after its context ended", err)
	}
}

func TestRunScript(t *testing.T) {
	h := newHarness(t)
	const script = "# first\nadd do=refuse\n\nsleep 1ms\nlist\nnonsense\nclear\n"
	var answers []string
	err := h.RunScript(context.Background(), strings.NewReader(script), func(line, answer string) {
		answers = append(answers, line+": "+answer)
	})
	if err == nil || !strings.Contains(err.Error(), "line 6") {
		t.Errorf("RunScript returned %v, want an error in line 6", err)
	}
	if len(answers) != 3 || answers[2] != "list: 1 dir=up do=refuse" {
		t.Errorf("answers %q, want three, the last one the list of rules", answers)
	}
}
