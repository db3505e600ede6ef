package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo answers with what it is sent.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// start runs the program; lines are what it prints.
func start(t *testing.T, args ...string) (lines *bufio.Reader, end func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	done := make(chan error, 1)
	go func() {
		var errs strings.Builder
		var err error
		if run(ctx, args, w, &errs) != 0 {
			err = errors.New(errs.String())
		}
		w.Close()
		done <- err
	}()
	t.Cleanup(cancel)
	return bufio.NewReader(r), func() error {
		cancel()
		go io.Copy(io.Discard, r)
		return <-done
	}
}

func word(t *testing.T, lines *bufio.Reader, name string) string {
	t.Helper()
	line, err := lines.ReadString('\n')
	value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" ")
	if err != nil || !ok {
		t.Fatalf("%q, %v; want %s", line, err, name)
	}
	return value
}

func dial(t *testing.T, network, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

func TestRulesFromTheCommandLineAndTheControlSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control")
	lines, end := start(t, "--target", echo(t), "--control", path, `dir=down match="c" do=halfclose`)
	addr := word(t, lines, "listening")
	if got := word(t, lines, "control"); got != path {
		t.Errorf("control at %s", got)
	}
	c := dial(t, "tcp", addr)
	fmt.Fprint(c, "abcdef")
	if text, err := io.ReadAll(c); string(text) != "abc" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
	control := dial(t, "unix", path)
	fmt.Fprintln(control, "clear")
	if line, err := bufio.NewReader(control).ReadString('\n'); line != "ok\n" || err != nil {
		t.Errorf("%q, %v", line, err)
	}
	c = dial(t, "tcp", addr)
	fmt.Fprint(c, "abcdef")
	buf := make([]byte, 6)
	if _, err := io.ReadFull(c, buf); string(buf) != "abcdef" || err != nil {
		t.Errorf("%q, %v", buf, err)
	}
	if err := end(); err != nil {
		t.Errorf("ended: %v", err)
	}
}

func TestAScriptThatFailsEndsIt(t *testing.T) {
	path := filepath.Join(t.TempDir(), "script")
	if err := os.WriteFile(path, []byte("add do=refuse\nnonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var out, errs strings.Builder
	status := run(ctx, []string{"--target", "127.0.0.1:1", "--script", path}, &out, &errs)
	if status != 1 || !strings.Contains(errs.String(), "line 2: unknown command") ||
		!strings.Contains(out.String(), "add do=refuse: 1") {
		t.Errorf("%d, %s, %s", status, errs.String(), out.String())
	}
}

func TestWhatIsWrongIsSaid(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "missing flags: --target"},
		{[]string{"--target", "127.0.0.1:1", "do=melt"}, "unknown fault"},
		{[]string{"--target", "127.0.0.1:1", "--listen", "nowhere"}, "nowhere"},
		{[]string{"--target", "127.0.0.1:1", "--control", "0.0.0.0:0"}, "no loopback address"},
		{[]string{"--target", "127.0.0.1:1", "--script", "/nonexistent"}, "no such file"},
	} {
		var errs strings.Builder
		if status := run(context.Background(), c.args, io.Discard, &errs); status == 0 ||
			!strings.Contains(errs.String(), c.want) {
			t.Errorf("%v: %d, %s, want %q", c.args, status, errs.String(), c.want)
		}
	}
}
