package discovery

import (
	"bytes"
	"io"
)

// MaxEntrySize bounds one entry of a list, and any other single value in it, in bytes. Some 150 are usual.
const MaxEntrySize = 16 << 10

// boundedSource is what a decoder reads lists from. It bounds how far the decoder reads on for one value.
type boundedSource struct {
	src       io.Reader
	listBytes int    // bytes of the list that is being read
	remaining int    // bytes that may still be read for a value; blanks do not count
	onLine    func() // is called when a line has ended: a sign of life; nil: nobody asks
	// skipBlanks has blanks dropped: no list has begun. Without it a decoder keeps all blank lines of a quiet day.
	skipBlanks bool
}

// allowValue lets the decoder read one more value.
func (s *boundedSource) allowValue() { s.remaining = MaxEntrySize }

// Read reads from the source. The error is errEntryTooLong where a value has no end within its bound.
func (s *boundedSource) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, errEntryTooLong
	}
	for {
		n, err := s.src.Read(b[:min(len(b), s.remaining)])
		s.listBytes += n
		if s.onLine != nil && bytes.IndexByte(b[:n], '\n') >= 0 {
			s.onLine()
		}
		blank := len(bytes.TrimSpace(b[:n])) == 0
		if !blank {
			s.skipBlanks = false
			s.remaining -= n
		} else if s.skipBlanks && err == nil {
			continue
		}
		return n, err
	}
}
