package discovery

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/relay/jsonstream"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
)

const (
	// MaxEntries bounds a list, and all that is kept of lists: some hundred bytes each. Several times what the largest
	// sites have.
	MaxEntries = 1 << 20
	// MaxEntrySize bounds one entry, in bytes, and any one value beside the entries: some 150 are usual.
	MaxEntrySize = 16 << 10
)

var (
	ErrTooLong        = errors.New("list too long")
	errEntryTooLong   = fmt.Errorf("%w: one entry is over %d bytes", ErrTooLong, MaxEntrySize)
	errTooManyEntries = fmt.Errorf("%w: over %d entries", ErrTooLong, MaxEntries)
	errNotAList       = errors.New("not a list")
)

// Entry is one entry of discovery's list as it was read.
type Entry struct {
	catalog.Endpoint
	Err  error  // why it cannot be read: but for its id perhaps, nothing else of it counts
	Text string // what was read of one that cannot be
}

// boundedSource is what lists are read from. It bounds how far a decoder reads on for one value.
type boundedSource struct {
	src       io.Reader
	listBytes int    // bytes of the list that is read
	remaining int    // bytes that may still come; blanks are not counted
	onLine    func() // a line has ended: a sign of life; nil: nobody asks
	// between has blanks passed over: no list has begun. Guards against a decoder that keeps all blank lines of a quiet
	// day.
	skipBlanks bool
}

// allow lets one more value come.
func (s *boundedSource) allow() { s.remaining = MaxEntrySize }

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
		if blank := len(bytes.TrimSpace(b[:n])) == 0; !blank {
			s.skipBlanks, s.remaining = false, s.remaining-n
		} else if s.skipBlanks && err == nil {
			continue
		}
		return n, err
	}
}

// ListHead is what a list tells beside its entries, as far as it has been read.
type ListHead struct {
	Version    int64
	Full       bool
	hasVersion bool // its version has come
}

// ListReader reads lists as they come, one entry at a time: no more of one is in memory than an entry.
type ListReader struct {
	src *boundedSource
	dec *json.Decoder
	// listing reads an entry; nil: entries are not looked into.
	parser  *Parser
	onBegin func() (stop func() bool) // called when a list has begun; stop when it is over; nil: nobody asks
	resumed bool
}

func NewListReader(src io.Reader, parser *Parser) *ListReader {
	return newListReader(&boundedSource{src: src}, parser)
}

func newListReader(src *boundedSource, parser *Parser) *ListReader {
	return &ListReader{src: src, dec: json.NewDecoder(src), parser: parser}
}

// Next reads one list. Its keys may come in any order: head is filled in as they do. Each entry is handed to take,
// whose error ends the reading. The error is io.EOF where no list comes any more; one that is none of reading tells
// that what has come is no list, see resume.
func (r *ListReader) Next(head *ListHead, take func(Entry) error) error {
	if !r.resumed {
		ahead, _ := io.ReadAll(r.dec.Buffered()) // cannot fail
		r.src.skipBlanks = len(bytes.TrimSpace(ahead)) == 0
	}
	r.src.listBytes = 0
	r.src.allow()
	t, err := r.dec.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return errNotAList
	}
	if r.onBegin != nil {
		defer r.onBegin()()
	}
	for r.src.allow(); r.dec.More(); r.src.allow() {
		key, err := r.dec.Token()
		if err != nil {
			return jsonstream.NoEOF(err)
		}
		switch name, _ := key.(string); {
		case strings.EqualFold(name, "version"):
			head.hasVersion, err = true, r.dec.Decode(&head.Version)
		case strings.EqualFold(name, "full"):
			err = r.dec.Decode(&head.Full)
		case strings.EqualFold(name, "servers"):
			err = r.entries(take)
		default:
			_, err = jsonstream.SkipValue(r.dec, r.src.allow)
		}
		if err != nil {
			return jsonstream.NoEOF(err)
		}
	}
	_, err = r.dec.Token()
	return jsonstream.NoEOF(err)
}

// entries reads the array of them.
func (r *ListReader) entries(take func(Entry) error) error {
	t, err := r.dec.Token()
	switch {
	case err != nil:
		return err
	case t == nil:
		return nil
	case t != json.Delim('['):
		return errNotAList
	}
	var m EndpointRecord
	n := 0
	for r.src.allow(); r.dec.More(); r.src.allow() {
		if n++; n > MaxEntries {
			return errTooManyEntries
		}
		if r.parser == nil {
			err = r.dec.Decode(&jsonstream.Ignored{})
		} else {
			m = EndpointRecord{}
			if err = r.dec.Decode(&m); err == nil || isTypeError(err) {
				err = take(r.parseEntry(&m, err))
			}
		}
		if err != nil {
			return err
		}
	}
	_, err = r.dec.Token()
	return err
}

// parseEntry is an entry as it was decoded, with what kept it from being.
func (r *ListReader) parseEntry(m *EndpointRecord, err error) Entry {
	l, addr, unusable := r.parser.Parse(m)
	e := Entry{Endpoint: catalog.Endpoint{Endpoint: l, Addr: addr}, Err: cmp.Or(err, unusable)}
	if e.Err != nil {
		e.Text = fmt.Sprintf("%+v", *m)
	}
	return e
}

// resume goes on behind what was no list, at the next line that begins one: those inside a list are indented.
func (r *ListReader) resume() error {
	rest := bufio.NewReader(io.MultiReader(r.dec.Buffered(), r.src))
	for {
		for more := true; more; {
			r.src.allow()
			_, err := rest.ReadSlice('\n')
			if more = errors.Is(err, bufio.ErrBufferFull); err != nil && !more {
				return err
			}
		}
		r.src.allow()
		if first, err := rest.Peek(1); err != nil {
			return err
		} else if first[0] == '{' {
			r.dec, r.resumed = json.NewDecoder(rest), true
			return nil
		}
	}
}

// isUnreadable tells whether an error of next says that what came is no list, and not that nothing more came.
func isUnreadable(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax) || isTypeError(err) || errors.Is(err, errNotAList)
}

// isTypeError tells whether a value was read whole, and is none of what was looked for.
func isTypeError(err error) bool {
	var kind *json.UnmarshalTypeError
	return errors.As(err, &kind)
}
