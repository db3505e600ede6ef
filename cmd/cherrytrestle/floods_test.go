package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
)

// descriptors is how many a process holds; resident its memory, in bytes.
func (r *relayProcess) descriptors() int {
	held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	must(r.t, err)
	return len(held)
}

func (r *relayProcess) resident() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", r.cmd.Process.Pid))
	must(r.t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	must(r.t, err)
	return pages * int64(os.Getpagesize())
}

// Many connections at once that say nothing, stop half way, send much and go, or read nothing of their answers: whoever
// hands a whole message in is answered and delivered, and descriptors and memory stay inside their limits.
func TestFloodsBlockNobody(t *testing.T) {
	const flood, sockets, memoryMB = 400, 192, 64
	whole := "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: flood\r\nContent-Length: 60000\r\n\r\n"
	for _, c := range []struct {
		name string
		act  func(conn net.Conn)
	}{
		{"say nothing", func(net.Conn) {}},
		{"stop half way", func(conn net.Conn) { io.WriteString(conn, whole+"half") }},
		{"send much and go", func(conn net.Conn) {
			conn.Write(make([]byte, 1<<20))
			conn.Close()
		}},
		{"read nothing of their answers", func(conn net.Conn) {
			for range 200 {
				if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
					return
				}
			}
		}},
		{"bad requests that go on", func(conn net.Conn) { io.WriteString(conn, strings.Repeat("NONSENSE\r\n\r\n", 2000)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, h := newPlatform(t), newEndpoint(t, nil)
			r := prepareRelay(t, []listEntry{newEntry("s-1", h.addr(), "a", "gateway", "ready")}, nil)
			r.config["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": 3}
			r.writeConfig()
			r.start(p)
			conns := make(chan net.Conn, flood)
			over := make(chan struct{})
			go func() {
				defer close(over)
				for range flood {
					conn, err := net.DialTimeout("tcp", r.addr, time.Second)
					if err != nil {
						continue
					}
					conn.SetDeadline(time.Now().Add(2 * time.Second))
					conns <- conn
					go c.act(conn)
				}
			}()
			most, memory := 0, int64(0)
			for i, flooding := 0, true; flooding || i < 40; i++ {
				select {
				case <-over:
					flooding = false
				default:
				}
				id := fmt.Sprint("m", i)
				// One that is turned away with its connection comes again, as clients do.
				eventually(t, id+" taken on", func() bool {
					res, err := r.client.Do(r.request(id, 12*time.Second, nil))
					if err != nil {
						return false
					}
					io.Copy(io.Discard, res.Body)
					res.Body.Close()
					return res.StatusCode == http.StatusAccepted
				})
				most, memory = max(most, r.descriptors()), max(memory, r.resident())
			}
			eventually(t, "the last is delivered", func() bool { return h.count("m39") > 0 })
			if most > sockets || memory > memoryTimes*memoryMB<<20 {
				t.Errorf("%d descriptors of %d, %d MB of %d", most, sockets, memory>>20, memoryMB)
			}
			close(conns)
			for conn := range conns {
				conn.Close()
			}
			t.Logf("%d descriptors, %d MB", most, memory>>20)
		})
	}
}

// fillDisk writes messages into a relay's journal until it takes no more, and returns how many.
func fillDisk(t testing.TB, r *relayProcess, diskMB float64, body int) (taken int) {
	t.Helper()
	j, _, err := journal.OpenFolder(filepath.Join(r.dir, "state"), journal.Options{Limit: int64(diskMB * 1e6)})
	must(t, err)
	for {
		m := &journal.Message{
			ID: uint32(
				taken + 1,
			), TraceID: fmt.Sprint("m", taken), IdempotencyKey: "k", ClassName: "order", Destination: 7, Body: make([]byte, body),
			Deadline: time.Now().Add(14 * time.Second),
		}
		if err := j.Accept(m); errors.Is(err, journal.ErrFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		taken++
	}
	must(t, j.Close())
	return taken
}

// Told to end at any moment of its start, recovery included, a relay forgets nothing.
func TestTerminatedInRecovery(t *testing.T) {
	for _, after := range []time.Duration{0, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			p, h := newPlatform(t), newEndpoint(t, nil)
			r := prepareRelay(t, []listEntry{newEntry("s-1", h.addr(), "a", "platform", "draining")}, nil)
			n := fillDisk(t, r, 3, 2000)
			for range 2 {
				r.launch(p)
				time.Sleep(after) // before its first instruction, or in or behind its recovery
				began := time.Now()
				err := r.terminate()
				if took := time.Since(began); took > 3700*time.Millisecond {
					t.Errorf("ended after %v", took)
				}
				var exit *exec.ExitError
				// else it had not come to catch the signal
				if !errors.As(err, &exit) || !exit.Sys().(syscall.WaitStatus).Signaled() {
					must(t, err)
				}
			}
			j, found, err := journal.OpenFolder(filepath.Join(r.dir, "state"), journal.Options{Limit: 3e6})
			must(t, err)
			defer j.Close()
			if len(found.Messages) != n || !found.Intact() {
				t.Errorf("%d messages of %d, sound %v", len(found.Messages), n, found.Intact())
			}
		})
	}
}
