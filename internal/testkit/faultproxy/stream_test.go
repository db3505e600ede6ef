package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// faultInput is the text that clients send in the tests of faults.
const faultInput = "abcdefabcdef"

// pieceLengths are the sizes of the writes that faultInput is divided into. The offset at which a rule triggers must
// not depend on the division.
var pieceLengths = []int{len(faultInput), 1, 5}

func TestFaultsTriggerAtTheirByte(t *testing.T) {
	for _, test := range []struct{ rule, want, end string }{
		{"dir=up at=4 do=close", "abcd", endFIN},
		{"dir=up at=4 do=halfclose", "abcd", endFIN},
		{"dir=up at=0 do=halfclose", "", endFIN},
		{`dir=up match="cd" do=halfclose`, "abcd", endFIN},
		{`dir=up match="cd" at=2 do=halfclose`, "abcdef", endFIN},
		{`dir=up match="ab" nth=2 do=halfclose`, "abcdefab", endFIN},
		{"dir=up at=4 do=truncate", "abcd", endFIN},
		{`dir=up match="cd" with="XY" do=garble`, "abcdXYabcdef", endFIN},
		{"dir=up at=2 bytes=3 do=drop", "abfabcdef", endFIN},
		{"dir=up at=2 bytes=2 do=double", "abcdcdefabcdef", endFIN},
		{"dir=up at=2 for=30ms do=stall", "abcdefabcdef", endFIN},
		{"dir=up at=2 for=30ms do=delay", "abcdefabcdef", endFIN},
		{"dir=up at=2 rate=1000 do=trickle", "abcdefabcdef", endFIN},
		{"dir=down at=2 do=halfclose", "abcdefabcdef", endFIN}, // the rule is for the other direction
		{"conn=2 dir=up at=2 do=reset", "abcdefabcdef", endFIN},
	} {
		for _, length := range pieceLengths {
			t.Run(fmt.Sprintf("%s/pieces of %d", test.rule, length), func(t *testing.T) {
				h := newHarness(t, test.rule)
				h.connect()
				for rest := faultInput; rest != ""; {
					n := min(length, len(rest))
					if _, err := io.WriteString(h.client, rest[:n]); err != nil {
						break // the rule has triggered
					}
					rest = rest[n:]
				}
				nettest.CloseWrite(h.client)
				if text, end := readAll(h.server); text != test.want || end != test.end {
					t.Errorf("the server reads %q and %s, want %q and %s", text, end, test.want, test.end)
				}
			})
		}
	}
}

// Bytes that pass before a reset are lost if the server has not read them when the reset arrives. The server may thus
// read fewer bytes than the rule lets pass, but never more.
func TestResetTriggersAtItsByte(t *testing.T) {
	const want = "abcd"
	for range pieceLengths {
		h := newHarness(t, "dir=up at=4 do=reset")
		h.connect()
		var sender sync.WaitGroup
		sender.Go(func() {
			for _, b := range []byte(faultInput) {
				if _, err := h.client.Write([]byte{b}); err != nil {
					return
				}
			}
		})
		text, end := readAll(h.server)
		if end != endRST || !strings.HasPrefix(want, text) {
			t.Errorf("the server reads %q and %s, want a prefix of %q and %s", text, end, want, endRST)
		}
		sender.Wait()
	}
}

func TestCorruptReplacesBytesRepeatably(t *testing.T) {
	for _, rule := range []string{"dir=down at=3 bytes=4 do=garble", `dir=down at=3 bytes=4 with="" do=garble`} {
		t.Run(rule, func(t *testing.T) {
			run := func() string {
				h := newHarness(t, rule)
				h.connect()
				h.send(h.server, "0123456789")
				nettest.CloseWrite(h.server)
				text, _ := readAll(h.client)
				return text
			}
			first := run()
			if len(first) != 10 || first[:3] != "012" || first[7:] != "789" {
				t.Fatalf("the client reads %q, want only bytes 3 to 6 replaced", first)
			}
			for i := 3; i < 7; i++ {
				if first[i] == "0123456789"[i] {
					t.Errorf("byte %d is unchanged: %q", i, first)
				}
			}
			if second := run(); second != first {
				t.Errorf("the same seed gives %q, then %q", first, second)
			}
		})
	}
}

func TestStallHoldsOneDirectionOnly(t *testing.T) {
	h := newHarness(t, "dir=up at=2 do=stall")
	h.connect()
	h.send(h.client, "abcd")
	h.expect(h.server, "ab")
	h.send(h.server, "down")
	h.expect(h.client, "down")
	setDeadline(t, h.server, time.Now().Add(50*time.Millisecond))
	var timeout net.Error
	if n, err := h.server.Read(make([]byte, 1)); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read %d bytes of a stalled direction, error %v; want a timeout", n, err)
	}
}

func TestDelayAndThrottleTakeTheirTime(t *testing.T) {
	for _, test := range []struct {
		rule string
		min  time.Duration
	}{
		{rule: "dir=up for=80ms do=delay", min: 80 * time.Millisecond},
		{rule: "dir=up rate=100 do=trickle", min: 75 * time.Millisecond},
	} {
		t.Run(test.rule, func(t *testing.T) {
			h := newHarness(t, test.rule)
			h.connect()
			startedAt := time.Now()
			h.send(h.client, "0123456789")
			h.expect(h.server, "0123456789")
			if took := time.Since(startedAt); took < test.min {
				t.Errorf("the bytes passed in %v, want at least %v", took, test.min)
			}
		})
	}
}

func TestTimeAloneEndsIdleConnections(t *testing.T) {
	h := newHarness(t, "dir=up after=30ms do=reset")
	h.connect()
	if _, end := readAll(h.client); end != endRST {
		t.Errorf("the client's connection ended with %s, want %s", end, endRST)
	}
	h = newHarness(t)
	h.connect()
	h.addRule("dir=down after=10ms do=halfclose") // the connection is already open
	if _, end := readAll(h.client); end != endFIN {
		t.Errorf("the client's connection ended with %s, want %s", end, endFIN)
	}
	h.send(h.client, "upstream goes on")
	h.expect(h.server, "upstream goes on")
}

func TestRefuseAppliesToItsConnectionOnly(t *testing.T) {
	h := newHarness(t, "conn=1 do=refuse")
	conn, err := net.Dial("tcp", h.Addr())
	switch {
	case err == nil:
		defer nettest.Close(conn)
		setDeadline(t, conn, time.Now().Add(nettest.Patience))
		if _, end := readAll(conn); end != endRST {
			t.Errorf("the first connection ended with %s, want %s", end, endRST)
		}
	case !errors.Is(err, syscall.ECONNRESET):
		t.Errorf("dialing the first connection: %v, want a reset", err)
	}
	h.connect()
	h.send(h.client, "the second passes")
	h.expect(h.server, "the second passes")
}
