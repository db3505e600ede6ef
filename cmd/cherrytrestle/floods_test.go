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
	"cherrytrestle.example/cherrytrestle/policy"
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

// Many connections at once that say nothing, stop half way, send much and go, or read nothing of their answers: who
// submits a whole message is answered and it is delivered, and descriptors and memory stay inside their limits.
func TestFloodsBlockNobody(t *testing.T) {
	const headers = "POST /order HTTP/1.1\r\nHost: x\r\nX-Trace-Id: flood\r\nContent-Length: 60000\r\n\r\n"
	for _, c := range []struct {
		name string
		act  func(conn net.Conn)
	}{
		{"say nothing", func(net.Conn) {}},
		{"stop half way", func(conn net.Conn) { writeQuietly(conn, headers+"half") }},
		{"send much and go", func(conn net.Conn) {
			writeQuietly(conn, strings.Repeat("\x00", 1<<20))
			closeQuietly(conn)
		}},
		{"read nothing of their answers", sendRequestsOnly},
		{"bad requests that go on", func(conn net.Conn) {
			writeQuietly(conn, strings.Repeat("NONSENSE\r\n\r\n", 2000))
		}},
	} {
		t.Run(c.name, func(t *testing.T) { testFlood(t, c.act) })
	}
}

// sendRequestsOnly sends requests and reads no answers.
func sendRequestsOnly(conn net.Conn) {
	for range 200 {
		if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return
		}
	}
}

func testFlood(t *testing.T, act func(conn net.Conn)) {
	const (
		sockets  = 192
		memoryMB = 64
	)
	platform := newPlatform(t)
	endpoint := newEndpoint(t, nil)
	r := prepareRelay(t, endpoint.list(singleKind, "ready"), nil)
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets, "disk_mb": 3}
	r.writeConfig()
	r.start(platform)
	conns, over := startFlood(t, r.addr, act)
	peakDescriptors := 0
	peakMemory := int64(0)
	flooding := true
	for i := 0; flooding || i < 40; i++ {
		select {
		case <-over:
			flooding = false
		default:
		}
		id := fmt.Sprint("m", i)
		// A client that is rejected with its connection closed tries again.
		eventually(t, id+" accepted", func() bool { return r.accepts(id) })
		peakDescriptors = max(peakDescriptors, r.descriptors())
		peakMemory = max(peakMemory, r.resident())
	}
	eventually(t, "the last is delivered", func() bool { return endpoint.count("m39") > 0 })
	if peakDescriptors > sockets || peakMemory > memoryTimes*memoryMB<<20 {
		t.Errorf("%d descriptors of %d, %d MB of %d", peakDescriptors, sockets, peakMemory>>20, memoryMB)
	}
	close(conns)
	for conn := range conns {
		closeQuietly(conn)
	}
	t.Logf("%d descriptors, %d MB", peakDescriptors, peakMemory>>20)
}

// startFlood opens many connections that act. over is closed when the last one is open.
func startFlood(t *testing.T, addr string, act func(conn net.Conn)) (conns chan net.Conn, over chan struct{}) {
	const flood = 400
	conns = make(chan net.Conn, flood)
	over = make(chan struct{})
	go func() {
		defer close(over)
		for range flood {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				continue
			}
			if err := conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
				t.Error(err)
			}
			conns <- conn
			go act(conn)
		}
	}()
	return conns, over
}

// accepts submits a message, and reports whether it was accepted.
func (r *relayProcess) accepts(id string) bool {
	response, err := r.client.Do(r.request(id, 12*time.Second, nil))
	if err != nil {
		return false
	}
	drain(response.Body)
	closeQuietly(response.Body)
	return response.StatusCode == http.StatusAccepted
}

// fillDisk writes messages into a relay's journal until it takes no more, and returns how many.
func fillDisk(t testing.TB, r *relayProcess, diskMB float64, body int) (taken int) {
	t.Helper()
	j, _, err := journal.OpenFolder(filepath.Join(r.dir, "state"), journal.Options{Limit: int64(diskMB * 1e6)})
	must(t, err)
	for {
		m := &journal.Message{
			ID:             policy.MessageID(taken + 1),
			TraceID:        fmt.Sprint("m", taken),
			IdempotencyKey: "k",
			ClassName:      "order",
			Destination:    7,
			Body:           make([]byte, body),
			Deadline:       time.Now().Add(14 * time.Second),
		}
		if err := j.Accept(m); errors.Is(err, journal.ErrFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		taken++
	}
	must(t, closeForChild(j))
	return taken
}

// Told to end at any moment of its start, recovery included, a relay forgets nothing.
func TestTerminatedInRecovery(t *testing.T) {
	for _, delayMS := range []int{0, 2, 5, 10, 20, 60} {
		after := time.Duration(delayMS) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			platform := newPlatform(t)
			endpoint := newEndpoint(t, nil)
			r := prepareRelay(t, endpoint.list(batchKind, "draining"), nil)
			n := fillDisk(t, r, 3, 2000)
			for range 2 {
				r.launch(platform)
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
			defer closeQuietly(j)
			if len(found.Messages) != n || !found.Intact() {
				t.Errorf("%d messages of %d, sound %v", len(found.Messages), n, found.Intact())
			}
		})
	}
}
