package netconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// receive returns a connection that receives a text, and then the end of the stream.
func receive(t *testing.T, text string) *Conn {
	t.Helper()
	tested, peer := nettest.Pair(t)
	go func(peer net.Conn) {
		nettest.Send(peer, text)
		nettest.CloseWrite(peer)
	}(peer)
	c := New(tested)
	c.AllowBytes(MaxHeaderSize)
	return c
}

func unlimited(int) bool { return true }

// TestPeekedHeaderIsReadAgain peeks at headers that fit in the read buffer, fill it, and exceed it. The parser then
// reads each header, the body and nothing else.
func TestPeekedHeaderIsReadAgain(t *testing.T) {
	for _, padding := range []int{0, 100, readBufferSize - 60, readBufferSize, 3 * readBufferSize} {
		header := "POST /a HTTP/1.1\r\nHost: x\r\nX-Pad: " + strings.Repeat("p", padding) +
			"\r\nContent-Length: 4\r\n\r\n"
		c := receive(t, header+"body")
		peeked, err := c.PeekHeader(unlimited)
		if err != nil || string(peeked.Text) != header || peeked.Fields != 3 {
			t.Fatalf("padding %d: %d bytes, %d fields, %v", padding, len(peeked.Text), peeked.Fields, err)
		}
		request, err := http.ReadRequest(c.Reader)
		if err != nil {
			t.Fatalf("padding %d: %v", padding, err)
		}
		body, err := ReadBody(request.Body, request.ContentLength, unlimited)
		if err != nil || string(body) != "body" || c.Buffered() != 0 {
			t.Errorf("padding %d: body %q, %v, %d bytes left", padding, body, err, c.Buffered())
		}
	}
}

// TestHeaderErrors checks what is refused before it is parsed, and that no memory is taken without a reservation.
func TestHeaderErrors(t *testing.T) {
	const line = "POST /a HTTP/1.1\r\n"
	refuse := func(int) bool { return false }
	for _, c := range []struct {
		name, text string
		reserve    func(int) bool
		want       error
	}{
		{"most fields", line + strings.Repeat("a:\r\n", MaxHeaderFields) + "\r\n", unlimited, nil},
		{"too many fields", line + strings.Repeat("a:\r\n", MaxHeaderFields+1), unlimited, ErrTooManyFields},
		{"too large", line + "a: " + strings.Repeat("b", MaxHeaderSize), unlimited, ErrReadBudget},
		{"no memory", line + "a: " + strings.Repeat("b", MaxHeaderSize/2), refuse, ErrNoMemory},
		{"cut off", line + "a: b\r\n", unlimited, io.EOF},
		{"no request", "noise\r\n", unlimited, nil},
		{"no field", line + "noise\r\n", unlimited, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := receive(t, c.text).PeekHeader(c.reserve); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// TestBodyGrowsAsItArrives checks that a large announced length takes no memory without bytes, and that a body within
// the limit is read whole.
func TestBodyGrowsAsItArrives(t *testing.T) {
	reserved := 0
	count := func(n int) bool { reserved += n; return true }
	if _, err := ReadBody(strings.NewReader("short"), MaxBodySize, count); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a short body: %v", err)
	}
	if reserved > minBodyBuffer {
		t.Errorf("%d bytes reserved for 5", reserved)
	}
	for _, c := range []struct {
		size   int
		length int64
		want   error
	}{
		{0, 0, nil},
		{0, -1, nil},
		{MaxBodySize, MaxBodySize, nil},
		{MaxBodySize, -1, nil},
		{MaxBodySize + 1, MaxBodySize + 1, ErrBodyTooLarge},
		{MaxBodySize + 1, -1, ErrBodyTooLarge},
	} {
		body, err := ReadBody(io.LimitReader(bufio.NewReader(ones{}), int64(c.size)), c.length, unlimited)
		if !errors.Is(err, c.want) || err == nil && len(body) != c.size {
			t.Errorf("%d bytes, announced %d: %d bytes, %v", c.size, c.length, len(body), err)
		}
	}
	if _, err := ReadBody(ones{}, 10, func(int) bool { return false }); !errors.Is(err, ErrNoMemory) {
		t.Errorf("without memory: %v", err)
	}
}

// ones is an endless stream of the byte 1.
type ones struct{}

func (ones) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 1
	}
	return len(b), nil
}
