package faultproxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = 10 * time.Second

// server takes connections and hands them over.
func server(t testing.TB) (addr string, conns chan *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns = make(chan *net.TCPConn, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() { l.Close(); <-done })
	return l.Addr().String(), conns
}

// rig is a connection through a proxy.
type rig struct {
	*Proxy
	t      testing.TB
	conns  chan *net.TCPConn
	client *net.TCPConn
	server *net.TCPConn
}

func newRig(t testing.TB, rules ...string) *rig {
	t.Helper()
	addr, conns := server(t)
	p, err := Start("127.0.0.1:0", addr, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	r := &rig{Proxy: p, t: t, conns: conns}
	for _, text := range rules {
		r.rule(text)
	}
	return r
}

func (r *rig) rule(text string) int {
	r.t.Helper()
	rule, err := ParseRule(text)
	if err != nil {
		r.t.Fatal(err)
	}
	id, err := r.AddRule(rule)
	if err != nil {
		r.t.Fatal(err)
	}
	return id
}

func (r *rig) connect() {
	r.t.Helper()
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.client = c.(*net.TCPConn)
	select {
	case r.server = <-r.conns:
	case <-time.After(patience):
		r.t.Fatal("the target has no connection")
	}
	r.client.SetDeadline(time.Now().Add(patience))
	r.server.SetDeadline(time.Now().Add(patience))
	client, server := r.client, r.server
	r.t.Cleanup(func() { client.Close(); server.Close() })
}

// all reads to the end and says how that came.
func all(c net.Conn) (string, string) {
	data, err := io.ReadAll(c)
	switch {
	case err == nil:
		return string(data), "fin"
	case errors.Is(err, syscall.ECONNRESET):
		return string(data), "rst"
	}
	return string(data), err.Error()
}

func (r *rig) send(c net.Conn, text string) {
	r.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) expect(c net.Conn, want string) {
	r.t.Helper()
	buf := make([]byte, len(want))
	if n, err := io.ReadFull(c, buf); err != nil || string(buf) != want {
		r.t.Fatalf("%q, %v; want %q", buf[:n], err, want)
	}
}

func TestPassesAllThrough(t *testing.T) {
	r := newRig(t)
	r.connect()
	r.send(r.client, "hello")
	r.expect(r.server, "hello")
	r.send(r.server, "good day")
	r.expect(r.client, "good day")
	r.client.CloseWrite() // a half-close goes on as one
	if text, end := all(r.server); text != "" || end != "fin" {
		t.Errorf("%q, %s", text, end)
	}
	r.send(r.server, "still here")
	r.server.Close()
	if text, end := all(r.client); text != "still here" || end != "fin" {
		t.Errorf("%q, %s", text, end)
	}
	if s := r.Stats(); s.UpstreamBytes != 5 || s.DownstreamBytes != 18 || s.Accepted != 1 || s.Triggered != 0 {
		t.Errorf("%+v", s)
	}
}

func TestAResetGoesOnAsOne(t *testing.T) {
	r := newRig(t)
	r.connect()
	r.send(r.client, "x")
	r.expect(r.server, "x")
	r.client.SetLinger(0)
	r.client.Close()
	if _, end := all(r.server); end != "rst" {
		t.Errorf("the server sees %s", end)
	}
}

// Each fault strikes at its byte, no sooner and no later.
func TestFaultsStrikeAtTheirByte(t *testing.T) {
	for _, c := range []struct{ rule, want, end string }{
		{"dir=up at=4 do=reset", "abcd", "rst"},
		{"dir=up at=4 do=close", "abcd", "fin"},
		{"dir=up at=4 do=halfclose", "abcd", "fin"},
		{"dir=up at=0 do=halfclose", "", "fin"},
		{`dir=up match="cd" do=halfclose`, "abcd", "fin"},
		{`dir=up match="cd" at=2 do=halfclose`, "abcdef", "fin"},
		{`dir=up match="ab" nth=2 do=halfclose`, "abcdefab", "fin"},
		{"dir=up at=4 do=truncate", "abcd", "fin"},
		{`dir=up match="cd" with="XY" do=garble`, "abcdXYabcdef", "fin"},
		{"dir=up at=2 bytes=3 do=drop", "abfabcdef", "fin"},
		{"dir=up at=2 bytes=2 do=double", "abcdcdefabcdef", "fin"},
		{"dir=up at=2 for=30ms do=stall", "abcdefabcdef", "fin"},
		{"dir=up at=2 for=30ms do=delay", "abcdefabcdef", "fin"},
		{"dir=up at=2 rate=1000 do=trickle", "abcdefabcdef", "fin"},
		{"dir=down at=2 do=halfclose", "abcdefabcdef", "fin"}, // not its direction
		{"conn=2 dir=up at=2 do=reset", "abcdefabcdef", "fin"},
	} {
		// In one piece, and byte by byte: a trigger must not depend on how the bytes come.
		for _, piece := range []int{12, 1, 5} {
			r := newRig(t, c.rule)
			r.connect()
			if strings.Contains(c.rule, "reset") && c.end == "rst" {
				go func() { // its bytes arrive before the reset only if they are read before
					for _, b := range []byte("abcdefabcdef") {
						if _, err := r.client.Write([]byte{b}); err != nil {
							return
						}
					}
				}()
				buf, got := make([]byte, 64), ""
				for {
					n, err := r.server.Read(buf)
					got += string(buf[:n])
					if err != nil {
						if !errors.Is(err, syscall.ECONNRESET) || !strings.HasPrefix(c.want, got) {
							t.Errorf("%s: %q, %v", c.rule, got, err)
						}
						break
					}
				}
				r.Close()
				continue
			}
			for rest := "abcdefabcdef"; rest != ""; {
				n := min(piece, len(rest))
				if _, err := io.WriteString(r.client, rest[:n]); err != nil {
					break // it has struck
				}
				rest = rest[n:]
			}
			r.client.CloseWrite()
			if text, end := all(r.server); text != c.want || end != c.end {
				t.Errorf("%s, pieces of %d: %q, %s; want %q, %s", c.rule, piece, text, end, c.want, c.end)
			}
			r.Close()
		}
	}
}

func TestGarbledBytesAreOthersAndAlwaysTheSame(t *testing.T) {
	run := func() string {
		r := newRig(t, "dir=down at=3 bytes=4 do=garble")
		r.connect()
		r.send(r.server, "0123456789")
		r.server.CloseWrite()
		text, _ := all(r.client)
		r.Close()
		return text
	}
	one := run()
	if len(one) != 10 || one[:3] != "012" || one[7:] != "789" {
		t.Fatalf("%q", one)
	}
	for i := 3; i < 7; i++ {
		if one[i] == "0123456789"[i] {
			t.Errorf("byte %d is as it was: %q", i, one)
		}
	}
	if two := run(); two != one {
		t.Errorf("%q, then %q", one, two)
	}
}

func TestStallHoldsOneDirectionOnly(t *testing.T) {
	r := newRig(t, "dir=up at=2 do=stall")
	r.connect()
	r.send(r.client, "abcd")
	r.expect(r.server, "ab")
	r.send(r.server, "down")
	r.expect(r.client, "down")
	r.server.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	var timeout net.Error
	if n, err := r.server.Read(make([]byte, 1)); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("%d bytes, %v", n, err)
	}
}

func TestDelayAndTrickleTakeTheirTime(t *testing.T) {
	for _, c := range []struct {
		rule  string
		least time.Duration
	}{{"dir=up for=80ms do=delay", 80 * time.Millisecond}, {"dir=up rate=100 do=trickle", 75 * time.Millisecond}} {
		r := newRig(t, c.rule)
		r.connect()
		began := time.Now()
		r.send(r.client, "0123456789")
		r.expect(r.server, "0123456789")
		if took := time.Since(began); took < c.least {
			t.Errorf("%s: %v", c.rule, took)
		}
		r.Close()
	}
}

func TestTimeAloneEndsAnIdleConnection(t *testing.T) {
	r := newRig(t, "dir=up after=30ms do=reset")
	r.connect()
	if _, end := all(r.client); end != "rst" {
		t.Errorf("the client sees %s", end)
	}
	r = newRig(t)
	r.connect()
	r.rule("dir=down after=10ms do=halfclose") // on one that is open already
	if _, end := all(r.client); end != "fin" {
		t.Errorf("the client sees %s", end)
	}
	r.send(r.client, "up goes on")
	r.expect(r.server, "up goes on")
}

func TestRefuse(t *testing.T) {
	r := newRig(t, "conn=1 do=refuse")
	c, err := net.Dial("tcp", r.Addr())
	if err == nil {
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		if _, end := all(c); end != "rst" {
			t.Errorf("the first sees %s", end)
		}
	}
	r.connect()
	r.send(r.client, "the second passes")
	r.expect(r.server, "the second passes")
}

func TestATargetThatRefuses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	p, err := Start("127.0.0.1:0", l.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		return // reset before it came up here
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if _, end := all(c); end != "rst" {
		t.Errorf("%s", end)
	}
}

func TestRulesComeAndGo(t *testing.T) {
	r := newRig(t)
	r.connect()
	r.send(r.client, "12345")
	r.expect(r.server, "12345")
	gone := r.rule(`dir=up match="b" do=reset`)
	if !r.RemoveRule(gone) || r.RemoveRule(gone) {
		t.Error("removed twice, or not at all")
	}
	id := r.rule("dir=up at=7 do=halfclose") // counted from the connection's start
	r.send(r.client, "abcd")
	if text, _ := all(r.server); text != "ab" {
		t.Errorf("%q", text)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := r.WaitTriggered(ctx, id); err != nil || r.TriggerCount(id) != 1 || r.TriggerCount(gone) != 0 {
		t.Errorf("%v, struck %d and %d", err, r.TriggerCount(id), r.TriggerCount(gone))
	}
	r.ClearRules()
	if len(r.Rules()) != 0 {
		t.Errorf("%v", r.Rules())
	}
}

// A trigger finds its byte however the data are cut up: the model looks at all of them at once.
func TestTriggersDoNotDependOnHowBytesCome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(rapid.StringMatching(`[ab]{0,40}`).Draw(t, "data"))
		rule := Rule{
			Match: []byte(
				rapid.StringMatching(`[ab]{0,4}`).Draw(t, "match"),
			), Offset: rapid.Int64Range(0, 10).Draw(t, "at"), Fault: Reset,
		}
		if len(rule.Match) > 0 {
			rule.Occurrence = rapid.IntRange(0, 3).Draw(t, "nth")
		}
		want := int64(0)
		for n := 0; len(rule.Match) > 0 && n < max(1, rule.Occurrence); n++ {
			i := bytes.Index(data[want:], rule.Match)
			if i < 0 {
				want = -1
				break
			}
			want += int64(i + len(rule.Match))
		}
		if want >= 0 {
			if want += rule.Offset; want > int64(len(data)) {
				want = -1
			}
		}
		trigger, got, passed := newTrigger(rule), int64(-1), int64(0)
		for rest := data; got < 0 && len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			if at := trigger.next(rest[:n]); at >= 0 {
				got = passed + at
			}
			trigger.passed(rest[:n])
			passed, rest = passed+int64(n), rest[n:]
		}
		if len(data) > 0 && got != want {
			t.Fatalf("%s strikes in %q at %d, want %d", rule, data, got, want)
		}
	})
}

func TestRulesReadBack(t *testing.T) {
	for _, text := range []string{
		`conn=2 dir=up after=1s at=5 match="\r\n\x00 \"" nth=3 do=reset`, "dir=down for=1.5s do=delay", "dir=up rate=10 do=trickle",
		`dir=down with="a b" do=garble`, "dir=up bytes=7 do=drop",
	} {
		r, err := ParseRule(text)
		if err != nil || r.String() != text {
			t.Errorf("%s: %s, %v", text, r, err)
		}
	}
	for text, want := range map[string]string{
		"":                       "unknown fault",
		"do=melt":                "unknown fault",
		"reset":                  "no key=value",
		"do=reset dir=left":      "neither up nor down",
		"do=reset at=x":          "at: ",
		"do=reset at=-1":         "below 0",
		"do=delay":               "needs for",
		"do=trickle":             "needs rate",
		"do=reset colour=red":    "unknown key",
		"do=reset do=close":      "stands twice",
		`do=reset match="a`:      "no end",
		`do=reset match="a"b`:    "behind its text",
		"do=refuse at=1":         "takes conn alone",
		"do=reset with=x":        "garble alone",
		"do=reset nth=2":         "match alone",
		"do=stall for=2h":        "at most",
		"do=drop bytes=99999999": "at most",
		"do=reset match=" + strings.Repeat("x", 5000): "at most",
	} {
		if _, err := ParseRule(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30s: %v, want %q", text, err, want)
		}
	}
}

func FuzzParseRule(f *testing.F) {
	f.Add(`conn=2 dir=up after=1s at=5 match="\r\n" nth=3 do=reset`)
	f.Add(`dir=down with="\"" do=garble`)
	f.Fuzz(func(t *testing.T, text string) {
		r, err := ParseRule(text)
		if err != nil {
			return
		}
		again, err := ParseRule(r.String())
		if err != nil || again.String() != r.String() {
			t.Errorf("%s becomes %s, %v", r, again, err)
		}
	})
}

func TestControl(t *testing.T) {
	r := newRig(t)
	l, err := net.Listen("unix", filepath.Join(t.TempDir(), "control"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.ServeControl(ctx, l) }()
	c, err := net.Dial("unix", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	lines := bufio.NewReader(c)
	say := func(line string, want ...string) {
		t.Helper()
		fmt.Fprintln(c, line)
		for _, w := range want {
			if got, err := lines.ReadString('\n'); err != nil || strings.TrimSpace(got) != w {
				t.Fatalf("%s: %q, %v; want %q", line, got, err, w)
			}
		}
	}
	say(`add dir=up match="b" do=halfclose`, "1", "ok")
	say("add do=melt", "error: sockfault: unknown fault \"melt\", one of "+fmt.Sprint(faults))
	say("list", `1 dir=up match="b" do=halfclose`, "ok")
	r.connect()
	r.send(r.client, "abc")
	say("wait 1 5s", "ok")
	say("struck 1", "1", "ok")
	say("stats", "made=1 open=1 up=3 down=0 struck=1", "ok")
	say("wait 2 1ms", "error: sockfault: rule 2 has not struck: context deadline exceeded")
	say("remove 1", "ok")
	say("remove 1", "error: no rule 1")
	say("target nowhere", "error: target: address nowhere: missing port in address")
	say("target 127.0.0.1:1", "ok")
	say("sleep 1ms", "ok")
	say("sing", `error: unknown command "sing"`)
	say("clear", "ok")
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("ended: %v", err)
	}
}

func TestScript(t *testing.T) {
	r := newRig(t)
	var told []string
	err := r.RunScript(
		context.Background(),
		strings.NewReader("# first\nadd do=refuse\n\nsleep 1ms\nlist\nnonsense\nclear\n"),
		func(line, answer string) { told = append(told, line+": "+answer) },
	)
	if err == nil || !strings.Contains(err.Error(), "line 6") || len(told) != 3 ||
		told[2] != "list: 1 dir=up do=refuse" {
		t.Errorf("%v, %v", told, err)
	}
}

// The added latency is the difference to a connection without it; both are measured in one run.
func BenchmarkRoundTrip(b *testing.B) {
	for _, via := range []string{"direct", "proxy", "proxy with 10 rules"} {
		b.Run(strings.ReplaceAll(via, " ", "-"), func(b *testing.B) {
			r := newRig(b)
			if strings.Contains(via, "rules") {
				for i := range 10 {
					r.rule(fmt.Sprintf(`dir=up match="never %d" do=reset`, i))
				}
			}
			if via == "direct" {
				c, err := net.Dial("tcp", r.target)
				if err != nil {
					b.Fatal(err)
				}
				r.client, r.server = c.(*net.TCPConn), <-r.conns
				b.Cleanup(func() { r.client.Close(); r.server.Close() })
			} else {
				r.connect()
				r.client.SetDeadline(time.Time{})
				r.server.SetDeadline(time.Time{})
			}
			go io.Copy(r.server, r.server)
			buf := make([]byte, 200)
			for b.Loop() {
				if _, err := r.client.Write(buf); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(r.client, buf); err != nil {
					b.Fatal(err)
				}
			}
			r.client.Close()
		})
	}
}

func BenchmarkThroughput(b *testing.B) {
	for _, rules := range []int{0, 10} {
		b.Run(fmt.Sprint("rules=", rules), func(b *testing.B) {
			r := newRig(b)
			for i := range rules {
				r.rule(fmt.Sprintf(`dir=up match="never %d" do=reset`, i))
			}
			r.connect()
			r.client.SetDeadline(time.Time{})
			r.server.SetDeadline(time.Time{})
			const chunk = 1 << 20
			b.SetBytes(chunk)
			got := make(chan int64)
			go func() {
				n, _ := io.Copy(io.Discard, r.server)
				got <- n
			}()
			buf := make([]byte, chunk)
			for b.Loop() {
				if _, err := r.client.Write(buf); err != nil {
					b.Fatal(err)
				}
			}
			r.client.CloseWrite()
			<-got
		})
	}
}
