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

// MaxEntries bounds the number of entries in a list and the number of endpoints that the relay holds. It limits memory:
// an endpoint takes some hundred bytes. The bound is several times the number of endpoints of the largest sites.
const MaxEntries = 1 << 20

// ErrTooLong reports that a list exceeds MaxEntries, or that a value in it exceeds MaxEntrySize.
var ErrTooLong = errors.New("list too long")

var (
	errEntryTooLong   = fmt.Errorf("%w: one entry is over %d bytes", ErrTooLong, MaxEntrySize)
	errTooManyEntries = fmt.Errorf("%w: over %d entries", ErrTooLong, MaxEntries)
	errNotAList       = errors.New("endpoint list is not an object, or its \"servers\" is not an array")
)

// ListHead holds the fields of a list other than its entries, as far as they have been read.
type ListHead struct {
	Version    int64
	Full       bool
	hasVersion bool // Version has been read
}

// ListReader reads a stream of lists entry by entry. It holds no more than one entry of a list in memory.
type ListReader struct {
	src     *boundedSource
	dec     *json.Decoder
	parser  *Parser
	onBegin func() (stop func() bool) // called when a list begins, stop when it ends; nil: no callback

	// resumed reports that resume has put another buffer between src and dec. Next cannot see whether that buffer is
	// empty, and leaves src.skipBlanks as it is.
	resumed bool
}

// NewListReader returns a reader of the lists in src. If parser is nil, entries are skipped.
func NewListReader(src io.Reader, parser *Parser) *ListReader {
	return newListReader(&boundedSource{src: src}, parser)
}

func newListReader(src *boundedSource, parser *Parser) *ListReader {
	return &ListReader{src: src, dec: json.NewDecoder(src), parser: parser}
}

// Next reads one list. The keys of a list may come in any order: Next sets each field of head as soon as it has read
// the field. It passes each entry to onEntry and stops if that returns an error. Next returns io.EOF if no other list
// follows. If isUnreadable holds for the error, the input is not a list, and resume can skip it.
func (r *ListReader) Next(head *ListHead, onEntry func(Entry) error) error {
	if !r.resumed {
		buffered, _ := io.ReadAll(r.dec.Buffered()) // cannot fail: the bytes are in memory
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
		if err := r.readField(head, onEntry); err != nil {
			return jsonstream.NoEOF(err)
		}
	}
	_, err = r.dec.Token()
	return jsonstream.NoEOF(err)
}

// readField reads one key of a list and its value.
func (r *ListReader) readField(head *ListHead, onEntry func(Entry) error) error {
	key, err := r.dec.Token()
	if err != nil {
		return err
	}
	name, _ := key.(string) // the decoder rejects all keys that are not strings
	switch {
	case strings.EqualFold(name, "version"):
		head.hasVersion = true
		return r.dec.Decode(&head.Version)
	case strings.EqualFold(name, "full"):
		return r.dec.Decode(&head.Full)
	case strings.EqualFold(name, "servers"):
		return r.readEntries(onEntry)
	}
	_, err = jsonstream.SkipValue(r.dec, r.src.allowValue)
	return err
}

// readEntries reads the array of entries, or null in its place.
func (r *ListReader) readEntries(onEntry func(Entry) error) error {
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
		if err := r.readEntry(&record, onEntry); err != nil {
			return err
		}
	}
	_, err = r.dec.Token()
	return err
}

// readEntry decodes one entry into record, which is reused from entry to entry, and passes the entry to onEntry.
func (r *ListReader) readEntry(record *EndpointRecord, onEntry func(Entry) error) error {
	if r.parser == nil {
		return r.dec.Decode(&jsonstream.Ignored{})
	}
	*record = EndpointRecord{}
	err := r.dec.Decode(record)
	if err != nil && !isTypeError(err) {
		return err
	}
	return onEntry(r.parseEntry(record, err))
}

// parseEntry returns the entry of a record. decodeErr is the error if some field of the record has the wrong type.
func (r *ListReader) parseEntry(record *EndpointRecord, decodeErr error) Entry {
	endpoint, addr, err := r.parser.Parse(record)
	e := Entry{Endpoint: catalog.Endpoint{Endpoint: endpoint, Addr: addr}, Err: cmp.Or(decodeErr, err)}
	if e.Err != nil {
		text := fmt.Sprintf("%+v", *record)
		e.Text = strings.Clone(text[:min(len(text), maxLoggedSize)])
	}
	return e
}

// resume skips an unreadable list, up to the next line that starts with '{'. Such a line begins a list, since the lines
// inside a list are indented.
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

// skipLine skips the rest of a line of any length.
func (r *ListReader) skipLine(rest *bufio.Reader) error {
	for {
		r.src.allowValue()
		_, err := rest.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// isUnreadable reports whether an error of Next means that the input is not a list, rather than that the input ended or
// could not be read.
func isUnreadable(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax) || isTypeError(err) || errors.Is(err, errNotAList)
}

// isTypeError reports whether err means that a value was read in full but has the wrong JSON type for its Go type.
func isTypeError(err error) bool {
	var mismatch *json.UnmarshalTypeError
	return errors.As(err, &mismatch)
}
