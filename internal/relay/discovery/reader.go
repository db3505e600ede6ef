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

// MaxEntries bounds the entries of a list, and the endpoints that are held of all lists: some hundred bytes each.
// Several times what the largest sites have.
const MaxEntries = 1 << 20

// ErrTooLong reports that a list, or an entry of it, is beyond its bound.
var ErrTooLong = errors.New("list too long")

var (
	errEntryTooLong   = fmt.Errorf("%w: one entry is over %d bytes", ErrTooLong, MaxEntrySize)
	errTooManyEntries = fmt.Errorf("%w: over %d entries", ErrTooLong, MaxEntries)
	errNotAList       = errors.New("not a list")
)

// ListHead is what a list holds beside its entries, as far as it has been read.
type ListHead struct {
	Version    int64
	Full       bool
	hasVersion bool // its version has been read
}

// ListReader reads lists as they come, one entry at a time: no more of a list than one entry is in memory.
type ListReader struct {
	src     *boundedSource
	dec     *json.Decoder
	parser  *Parser
	onBegin func() (stop func() bool) // called when a list has begun; stop when it is over; nil: nobody asks
	resumed bool                      // resume has found the beginning of a list
}

// NewListReader returns a reader of the lists in src. Without a parser entries are skipped.
func NewListReader(src io.Reader, parser *Parser) *ListReader {
	return newListReader(&boundedSource{src: src}, parser)
}

func newListReader(src *boundedSource, parser *Parser) *ListReader {
	return &ListReader{src: src, dec: json.NewDecoder(src), parser: parser}
}

// Next reads one list. Its keys may come in any order: head is filled in as they do. Each entry goes to take, whose
// error ends the reading. The error is io.EOF if no other list follows. Errors of which isUnreadable holds say that
// what was read is no list; see resume.
func (r *ListReader) Next(head *ListHead, take func(Entry) error) error {
	if !r.resumed {
		buffered, _ := io.ReadAll(r.dec.Buffered()) // a reader of bytes in memory: it cannot fail
		r.src.skipBlanks = len(bytes.TrimSpace(buffered)) == 0
	}
	r.src.listBytes = 0
	r.src.allowValue()
	token, err := r.dec.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		return errNotAList
	}
	if r.onBegin != nil {
		defer r.onBegin()()
	}
	for r.src.allowValue(); r.dec.More(); r.src.allowValue() {
		if err := r.readField(head, take); err != nil {
			return jsonstream.NoEOF(err)
		}
	}
	_, err = r.dec.Token()
	return jsonstream.NoEOF(err)
}

// readField reads a key of a list and its value.
func (r *ListReader) readField(head *ListHead, take func(Entry) error) error {
	key, err := r.dec.Token()
	if err != nil {
		return err
	}
	name, _ := key.(string) // the decoder lets no other key pass
	switch {
	case strings.EqualFold(name, "version"):
		head.hasVersion = true
		return r.dec.Decode(&head.Version)
	case strings.EqualFold(name, "full"):
		return r.dec.Decode(&head.Full)
	case strings.EqualFold(name, "servers"):
		return r.readEntries(take)
	}
	_, err = jsonstream.SkipValue(r.dec, r.src.allowValue)
	return err
}

// readEntries reads the array of entries.
func (r *ListReader) readEntries(take func(Entry) error) error {
	token, err := r.dec.Token()
	switch {
	case err != nil:
		return err
	case token == nil:
		return nil
	case token != json.Delim('['):
		return errNotAList
	}
	var record EndpointRecord
	count := 0
	for r.src.allowValue(); r.dec.More(); r.src.allowValue() {
		count++
		if count > MaxEntries {
			return errTooManyEntries
		}
		if err := r.readEntry(&record, take); err != nil {
			return err
		}
	}
	_, err = r.dec.Token()
	return err
}

// readEntry reads an entry by way of record, which is reused.
func (r *ListReader) readEntry(record *EndpointRecord, take func(Entry) error) error {
	if r.parser == nil {
		return r.dec.Decode(&jsonstream.Ignored{})
	}
	*record = EndpointRecord{}
	err := r.dec.Decode(record)
	if err != nil && !isTypeError(err) {
		return err
	}
	return take(r.parseEntry(record, err))
}

// parseEntry returns the entry of a record. decodeErr is what kept the record from being read in full.
func (r *ListReader) parseEntry(record *EndpointRecord, decodeErr error) Entry {
	endpoint, addr, err := r.parser.Parse(record)
	e := Entry{Endpoint: catalog.Endpoint{Endpoint: endpoint, Addr: addr}, Err: cmp.Or(decodeErr, err)}
	if e.Err != nil {
		e.Text = fmt.Sprintf("%+v", *record)
	}
	return e
}

// resume skips what was no list, to the next line that begins one: lines inside a list are indented.
func (r *ListReader) resume() error {
	rest := bufio.NewReader(io.MultiReader(r.dec.Buffered(), r.src))
	for {
		if err := r.skipLine(rest); err != nil {
			return err
		}
		r.src.allowValue()
		first, err := rest.Peek(1)
		if err != nil {
			return err
		}
		if first[0] == '{' {
			r.dec = json.NewDecoder(rest)
			r.resumed = true
			return nil
		}
	}
}

// skipLine skips the rest of a line, however long it is.
func (r *ListReader) skipLine(rest *bufio.Reader) error {
	for {
		r.src.allowValue()
		_, err := rest.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// isUnreadable reports whether an error of Next says that what was read is no list, and not that reading ended.
func isUnreadable(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax) || isTypeError(err) || errors.Is(err, errNotAList)
}

// isTypeError reports whether a value was read in full, and has another type than the one that it was decoded to.
func isTypeError(err error) bool {
	var mismatch *json.UnmarshalTypeError
	return errors.As(err, &mismatch)
}
