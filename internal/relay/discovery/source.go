package discovery

import (
	"bytes"
	"io"
)

// MaxEntrySize bounds the size of one entry of a list, and of any other single value in it, in bytes. An entry usually
// has about 150 bytes.
const MaxEntrySize = 16 << 10

// boundedSource is the source that a JSON decoder reads lists from. It limits how many bytes the decoder reads for one
// value.
type boundedSource struct {
	src       io.Reader
	listBytes int    // bytes read for the current list
	remaining int    // bytes that may still be read for the current value; data that is only white space does not count
	onLine    func() // called after a read that contains the end of a line, even of a blank one; nil: no callback
	// skipBlanks makes Read drop data that is only white space. It is set until a list begins. Otherwise the decoder
	// would keep in its buffer all the blank lines that arrive while the watch has no changes.
	skipBlanks bool
}

// allowValue resets the limit, so that the decoder can read one more value.
func (s *boundedSource) allowValue() { s.remaining = MaxEntrySize }

// Read reads from the source. The error is errEntryTooLong if a value exceeds MaxEntrySize.
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
