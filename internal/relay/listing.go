package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// entriesMost bounds a list, and all that is kept of lists: some hundred bytes each. Several times what the largest
	// sites have.
	entriesMost = 1 << 20
	// entryMost bounds one entry, in bytes, and any one value beside the entries: some 150 are usual.
	entryMost = 16 << 10
)

var (
	errTooLong  = errors.New("list too long")
	errEntry    = fmt.Errorf("%w: one entry is over %d bytes", errTooLong, entryMost)
	errEntries  = fmt.Errorf("%w: over %d entries", errTooLong, entriesMost)
	errNoList   = errors.New("not a list")
	errTrailing = errors.New("more behind the end")
)

// entry is one entry of discovery's list as it was read.
type entry struct {
	catalog.Endpoint
	err  error  // why it cannot be read: but for its id perhaps, nothing else of it counts
	text string // what was read of one that cannot be
}

// listSource is what lists are read from. It bounds how far a decoder reads on for one value.
type listSource struct {
	from  io.Reader
	came  int    // bytes of the list that is read
	left  int    // bytes that may still come; blanks are not counted
	lines func() // a line has ended: a sign of life; nil: nobody asks
	// between has blanks passed over: no list has begun. Guards against a decoder that keeps all blank lines of a quiet
	// day.
	between bool
}

// allow lets one more value come.
func (s *listSource) allow() { s.left = entryMost }

func (s *listSource) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, errEntry
	}
	for {
		n, err := s.from.Read(b[:min(len(b), s.left)])
		s.came += n
		if s.lines != nil && bytes.IndexByte(b[:n], '\n') >= 0 {
			s.lines()
		}
		if blank := len(bytes.TrimSpace(b[:n])) == 0; !blank {
			s.between, s.left = false, s.left-n
		} else if s.between && err == nil {
			continue
		}
		return n, err
	}
}

// listHead is what a list tells beside its entries, as far as it has been read.
type listHead struct {
	Version   int64
	Full      bool
	versioned bool // its version has come
}

// listReader reads lists as they come, one entry at a time: no more of one is in memory than an entry.
type listReader struct {
	src *listSource
	dec *json.Decoder
	// listing reads an entry; nil: entries are not looked into.
	listing func(*member) (policy.Endpoint, string, error)
	begun   func() (stop func() bool) // called when a list has begun; stop when it is over; nil: nobody asks
	resumed bool
}

func newListReader(src *listSource, listing func(*member) (policy.Endpoint, string, error)) *listReader {
	return &listReader{src: src, dec: json.NewDecoder(src), listing: listing}
}

// next reads one list. Its keys may come in any order: head is filled in as they do. Each entry is handed to take,
// whose error ends the reading. The error is io.EOF where no list comes any more; one that is none of reading tells
// that what has come is no list, see resume.
func (r *listReader) next(head *listHead, take func(entry) error) error {
	if !r.resumed {
		ahead, _ := io.ReadAll(r.dec.Buffered()) // cannot fail
		r.src.between = len(bytes.TrimSpace(ahead)) == 0
	}
	r.src.came = 0
	r.src.allow()
	t, err := r.dec.Token()
	if err != nil {
		return err
	}
	if t != json.Delim('{') {
		return errNoList
	}
	if r.begun != nil {
		defer r.begun()()
	}
	for r.src.allow(); r.dec.More(); r.src.allow() {
		key, err := r.dec.Token()
		if err != nil {
			return unfinished(err)
		}
		switch name, _ := key.(string); {
		case strings.EqualFold(name, "version"):
			head.versioned, err = true, r.dec.Decode(&head.Version)
		case strings.EqualFold(name, "full"):
			err = r.dec.Decode(&head.Full)
		case strings.EqualFold(name, "servers"):
			err = r.entries(take)
		default:
			_, err = skipValue(r.dec, r.src.allow)
		}
		if err != nil {
			return unfinished(err)
		}
	}
	_, err = r.dec.Token()
	return unfinished(err)
}

// entries reads the array of them.
func (r *listReader) entries(take func(entry) error) error {
	t, err := r.dec.Token()
	switch {
	case err != nil:
		return err
	case t == nil:
		return nil
	case t != json.Delim('['):
		return errNoList
	}
	var m member
	n := 0
	for r.src.allow(); r.dec.More(); r.src.allow() {
		if n++; n > entriesMost {
			return errEntries
		}
		if r.listing == nil {
			err = r.dec.Decode(&ignored{})
		} else {
			m = member{}
			if err = r.dec.Decode(&m); err == nil || wrongType(err) {
				err = take(r.entry(&m, err))
			}
		}
		if err != nil {
			return err
		}
	}
	_, err = r.dec.Token()
	return err
}

// entry is an entry as it was decoded, with what kept it from being.
func (r *listReader) entry(m *member, err error) entry {
	l, addr, unusable := r.listing(m)
	e := entry{Endpoint: catalog.Endpoint{Endpoint: l, Addr: addr}, err: cmp.Or(err, unusable)}
	if e.err != nil {
		e.text = fmt.Sprintf("%+v", *m)
	}
	return e
}

// resume goes on behind what was no list, at the next line that begins one: those inside a list are indented.
func (r *listReader) resume() error {
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

// unread tells whether an error of next says that what came is no list, and not that nothing more came.
func unread(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax) || wrongType(err) || errors.Is(err, errNoList)
}

// wrongType tells whether a value was read whole, and is none of what was looked for.
func wrongType(err error) bool {
	var kind *json.UnmarshalTypeError
	return errors.As(err, &kind)
}

// unfinished is the error for a list that ends in its middle.
func unfinished(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ignored is a value of which nothing is kept.
type ignored struct{}

// UnmarshalJSON takes anything.
func (*ignored) UnmarshalJSON([]byte) error { return nil }

// skipValue reads over a value, and is never further ahead than an entry of an array. before is called before each
// read. It returns the value's first token: nil for null.
func skipValue(dec *json.Decoder, before func()) (first json.Token, err error) {
	before()
	if first, err = dec.Token(); err != nil {
		return nil, err
	}
	switch first {
	case json.Delim('{'):
		for before(); dec.More(); before() {
			if _, err := dec.Token(); err != nil {
				return nil, err
			}
			if _, err := skipValue(dec, before); err != nil {
				return nil, err
			}
		}
	case json.Delim('['):
		for before(); dec.More(); before() {
			if err := dec.Decode(&ignored{}); err != nil {
				return nil, err
			}
		}
	default:
		return first, nil
	}
	_, err = dec.Token()
	return first, err
}
