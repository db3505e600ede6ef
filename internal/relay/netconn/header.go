package netconn

import (
	"bufio"
	"bytes"
	"errors"
)

// MaxHeaderFields limits the number of fields in the header of a request or a response. A parsed field takes many times
// the memory of its text.
const MaxHeaderFields = 100

// Estimates of the memory that a parsed header takes, in bytes.
const (
	parsedFieldSize  = 128 // of a field, without its text
	parsedTextFactor = 2   // copies of the text
)

var (
	// ErrTooManyFields reports a header with more than MaxHeaderFields fields.
	ErrTooManyFields = errors.New("header has too many fields")
	// ErrNoMemory reports that the memory for what a peer sends could not be reserved.
	ErrNoMemory = errors.New("no memory for what the peer sends")
)

// Header is the header of an HTTP message as it was received. Its bytes are still to be read from the Reader of the
// connection, and Text is valid until that.
type Header struct {
	Text   []byte
	Fields int // lines behind the first one
}

// ParsedSize estimates how much memory the parsed header takes, in bytes.
func (h Header) ParsedSize() int { return parsedTextFactor*len(h.Text) + parsedFieldSize*h.Fields }

// PeekHeader reads up to the end of a header, or up to a line that cannot belong to one, without consuming it. It calls
// reserve before it allocates memory, and returns ErrNoMemory if reserve returns false. After an error the Header holds
// what was received.
func (c *Conn) PeekHeader(reserve func(bytes int) bool) (Header, error) {
	var scan headerScan
	for {
		buffered, _ := c.Reader.Peek(c.Reader.Buffered()) // cannot fail: these bytes are buffered
		ended, err := scan.advance(buffered)
		if ended || err != nil {
			return Header{buffered[:scan.size], scan.fields}, err
		}
		if len(buffered) >= readBufferSize {
			return c.peekLongHeader(reserve)
		}
		if _, err := c.Reader.Peek(len(buffered) + 1); err != nil {
			buffered, _ = c.Reader.Peek(c.Reader.Buffered())
			return Header{buffered, scan.fields}, err
		}
	}
}

// peekLongHeader does the work of PeekHeader for a header that does not fit in the buffer of Reader. It takes the
// header out of the buffer and puts it back, so that Reader reads it again.
func (c *Conn) peekLongHeader(reserve func(bytes int) bool) (Header, error) {
	const initialSize = 2 * readBufferSize // for what is buffered, and for what is put back
	if !reserve(initialSize) {
		buffered, _ := c.Reader.Peek(c.Reader.Buffered()) // cannot fail: these bytes are buffered
		return Header{Text: buffered}, ErrNoMemory
	}
	text := make([]byte, 0, initialSize)
	var scan headerScan
	var ended bool
	var err error
	for !ended && err == nil {
		var line []byte
		line, err = c.Reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			err = nil
		}
		if need := len(text) + len(line) + readBufferSize; need > cap(text) {
			size := max(need, min(2*need, MaxHeaderSize+readBufferSize))
			if !reserve(size) {
				return Header{text, scan.fields}, ErrNoMemory
			}
			text = append(make([]byte, 0, size), text...)
		}
		text = append(text, line...)
		if err == nil {
			ended, err = scan.advance(text)
		}
	}
	header := Header{text[:len(text):len(text)], scan.fields}
	rest, _ := c.Reader.Peek(c.Reader.Buffered()) // cannot fail: these bytes are buffered
	text = append(text, rest...)
	c.returned = text
	c.Reader.Reset(c)
	return header, err
}

// headerScan finds the end of a header in bytes that arrive bit by bit.
type headerScan struct {
	size   int // bytes of complete lines
	lines  int
	fields int
}

// advance scans what has been received of a message so far. ended is true if the header is complete, or if a line
// cannot belong to one: its parser then fails at that line, and waits for no more bytes.
func (s *headerScan) advance(received []byte) (ended bool, err error) {
	for {
		i := bytes.IndexByte(received[s.size:], '\n')
		if i < 0 {
			return false, nil
		}
		line := bytes.TrimRight(received[s.size:s.size+i], "\r")
		s.size += i + 1
		s.lines++
		switch {
		case len(line) == 0:
			return true, nil
		case s.lines == 1:
			if !bytes.Contains(line, []byte("HTTP/")) {
				return true, nil
			}
			continue
		case line[0] == ' ' || line[0] == '\t': // continues the line before
		case bytes.IndexByte(line, ':') <= 0:
			return true, nil
		}
		s.fields++
		if s.fields > MaxHeaderFields {
			return true, ErrTooManyFields
		}
	}
}

// Buffered returns the number of bytes that were received and are still to be read from Reader.
func (c *Conn) Buffered() int { return c.Reader.Buffered() + len(c.returned) }
