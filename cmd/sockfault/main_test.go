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

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// program is a running sockfault.
type program struct {
	t      *testing.T
	output *bufio.Reader
	cancel context.CancelFunc
	ended  chan error
}

func start(t *testing.T, args ...string) *program {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	reader, writer := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		var messages strings.Builder
		var err error
		if run(ctx, args, writer, &messages) != 0 {
			err = errors.New(messages.String())
		}
		nettest.Close(writer)
		ended <- err
	}()
	return &program{t: t, output: bufio.NewReader(reader), cancel: cancel, ended: ended}
}

// value reads the next line of output, which must begin with this name, and returns the value after it.
func (p *program) value(name string) string {
	p.t.Helper()
	line, err := p.output.ReadString('\n')
	value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" ")
	if err != nil || !ok {
		p.t.Fatalf("%q, %v; want %s", line, err, name)
	}
	return value
}

// stop ends the program and returns its error.
func (p *program) stop() error {
	p.cancel()
	if _, err := io.Copy(io.Discard, p.output); err != nil {
		return err
	}
	return <-p.ended
}

func dialControl(t *testing.T, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	nettest.CloseAtEnd(t, conn)
	if err := conn.SetDeadline(time.Now().Add(nettest.Patience)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestRulesFromCommandLineAndControlSocket(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control")
	program := start(t, "--target", nettest.EchoServer(t), "--control", path, `dir=down match="c" do=halfclose`)
	addr := program.value("listening")
	if got := program.value("control"); got != path {
		t.Errorf("control at %s", got)
	}
	const text = "abcdef"
	if got, err := io.ReadAll(nettest.Dial(t, addr, text)); string(got) != "abc" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	control := dialControl(t, path)
	if _, err := fmt.Fprintln(control, "clear"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(control).ReadString('\n'); line != "ok\n" || err != nil {
		t.Errorf("%q, %v", line, err)
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(nettest.Dial(t, addr, text), got); string(got) != text || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	if err := program.stop(); err != nil {
		t.Errorf("ended: %v", err)
	}
}

func TestFailedScriptEndsProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "script")
	if err := os.WriteFile(path, []byte("add do=refuse\nnonsense\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), nettest.Patience)
	defer cancel()
	var stdout, stderr strings.Builder
	status := run(ctx, []string{"--target", "127.0.0.1:1", "--script", path}, &stdout, &stderr)
	if status != 1 || !strings.Contains(stderr.String(), "line 2: unknown command") ||
		!strings.Contains(stdout.String(), "add do=refuse: 1") {
		t.Errorf("%d, %s, %s", status, stderr.String(), stdout.String())
	}
}

func TestErrorsAreReported(t *testing.T) {
	for _, test := range []struct {
		name string
		args []string
		want string
	}{
		{"no target", nil, "missing flags: --target"},
		{"rule", []string{"--target", "127.0.0.1:1", "do=melt"}, "unknown fault"},
		{"address", []string{"--target", "127.0.0.1:1", "--listen", "nowhere"}, "nowhere"},
		{"control address", []string{"--target", "127.0.0.1:1", "--control", "0.0.0.0:0"}, "not a loopback address"},
		{"script", []string{"--target", "127.0.0.1:1", "--script", "/nonexistent"}, "no such file"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var stderr strings.Builder
			status := run(context.Background(), test.args, io.Discard, &stderr)
			if status == 0 || !strings.Contains(stderr.String(), test.want) {
				t.Errorf("%d, %s, want %q", status, stderr.String(), test.want)
			}
		})
	}
}
