// Package wire reads and writes the bench's dialect: text lines in, text lines out, nothing else.
package simwire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// ItemKind names what an Item of a batch is.
type ItemKind int

// The kinds of item.
const (
	Start ItemKind = iota // a fresh instance, with its settings and seed
	Stop                  // the instance dies
	Event                 // something that the instance observes
)

// Item is one event of a batch, for one instance.
type Item struct {
	Kind     ItemKind
	Instance int
	Settings policy.Settings // Start
	Seed     uint64          // Start
	Event    policy.Event    // Event
}

// Batch is what comes in at one time.
type Batch struct {
	Now    time.Duration
	Number string
	Items  []Item
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]policy.Endpoint
	cells map[int]*schema
	pool  struct{ number, left int }
	buf   []byte
}

// schema is what an instance's settings say of its events.
type schema struct{ left, limit string }

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in: bufio.NewReaderSize(in, 1<<16), lists: map[int][]policy.Endpoint{}, cells: map[int]*schema{},
	}
}

// Next reads one batch into b, reusing its room. It returns io.EOF when the input ends between batches.
func (r *Reader) Next(b *Batch) error {
	b.Items = b.Items[:0]
	open := false
	for {
		text, err := r.readLine()
		if err == io.EOF && !open && text == "" {
			return io.EOF
		}
		if err != nil && err != io.EOF {
			return err
		}
		if err == io.EOF {
			return fmt.Errorf("line %d: the input ends inside a batch", r.line)
		}
		if text == "" && !open {
			continue
		}
		f := fields{text: text}
		done, err := r.parse(&f, b, &open)
		if err == nil {
			err = f.err
		}
		if err != nil {
			return fmt.Errorf("line %d: %v: %q", r.line, err, clip(text))
		}
		if done {
			return nil
		}
	}
}

func clip(s string) string {
	if len(s) > 120 {
		return s[:120] + "..."
	}
	return s
}

func (r *Reader) readLine() (string, error) {
	r.line++
	r.buf = r.buf[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		return string(bytes.TrimRight(r.buf, "\r\n")), err
	}
}

// parse takes one line of a batch; done tells that it was the last.
func (r *Reader) parse(f *fields, b *Batch, open *bool) (done bool, err error) {
	name := f.word()
	if name == "MARK" {
		if *open {
			return false, fmt.Errorf("MARK inside a batch")
		}
		*open = true
		b.Now = f.ms()
		b.Number = f.word()
		if _, err := strconv.ParseUint(b.Number, 10, 64); err != nil {
			return false, fmt.Errorf("bad batch number")
		}
		return false, f.end()
	}
	if !*open {
		return false, fmt.Errorf("a line outside a batch")
	}
	if (name == "HOST") != (r.pool.left > 0) {
		return false, fmt.Errorf("POOL and its HOST lines do not match")
	}
	switch name {
	case "GO":
		return true, f.end()
	case "POOL":
		r.pool.number = f.integer()
		r.pool.left = f.integer()
		if r.pool.left < 0 {
			return false, fmt.Errorf("bad number of entries")
		}
		r.lists[r.pool.number] = make([]policy.Endpoint, 0, min(r.pool.left, 1024))
		return false, f.end()
	case "HOST":
		r.pool.left--
		l, err := parseHost(f)
		r.lists[r.pool.number] = append(r.lists[r.pool.number], l)
		return false, err
	case "CONFIGURE":
		it := Item{Kind: Start, Instance: f.integer()}
		it.Seed = f.unsigned()
		set, sc, err := parseSettings(f.rest())
		it.Settings = set
		r.cells[it.Instance] = sc
		b.Items = append(b.Items, it)
		return false, err
	case "RETIRE":
		b.Items = append(b.Items, Item{Kind: Stop, Instance: f.integer()})
		return false, f.end()
	}
	it := Item{Kind: Event, Instance: f.integer()}
	sc := r.cells[it.Instance]
	if sc == nil {
		return false, fmt.Errorf("no such instance")
	}
	known, err := r.parseEvent(name, f, &it.Event, sc)
	if known {
		b.Items = append(b.Items, it)
	}
	return false, err
}

// parseEvent fills e; known is false for an event that no decision uses.
func (r *Reader) parseEvent(name string, f *fields, e *policy.Event, sc *schema) (known bool, err error) {
	switch name {
	case "KNOCK":
		e.Kind = policy.MessageAccepted
		e.MessageID = f.id()
		e.Key = f.optional()
		f.integer()
		e.Tenant = f.optionalInteger()
		f.optional()
		e.Class = f.integer()
		e.TimeLeft = f.ms()
		e.Destination = f.integer()
	case "FINISHED":
		e.Kind = policy.AttemptFinished
		e.MessageID = f.id()
		e.Attempt = f.integer()
		e.Endpoint = f.word()
		e.Outcome = f.outcome()
		e.Latency = f.ms()
		e.MessageEnded = f.boolean()
		note := f.optionalInteger()
		if e.Outcome == policy.Overloaded {
			e.RetryAfter = time.Duration(note) * time.Millisecond
		}
		e.LimitReport = f.report(sc)
	case "PONG":
		e.Kind = policy.HealthChecked
		e.Endpoint = f.word()
		e.Outcome = f.outcome()
		e.Latency = f.ms()
		e.LimitReport = f.report(sc)
	case "TIMED_OUT_CLIENT":
		e.Kind = policy.MessageCancelled
		e.MessageID = f.id()
	case "TICK_DUE":
		e.Kind = policy.TimerFired
		f.unsigned()
	case "TARGETS":
		mode := f.word()
		f.unsigned()
		buffer := f.optionalInteger()
		switch mode {
		case "full", "cached":
			e.Kind = policy.EndpointSnapshot
		case "delta":
			e.Kind = policy.EndpointDelta
		case "failed":
			e.Kind = policy.WatchFailed
			return true, f.end()
		default:
			return false, fmt.Errorf("unknown mode")
		}
		list, ok := r.lists[buffer]
		if !ok {
			return false, fmt.Errorf("no such POOL")
		}
		e.Endpoints = list
	case "HEADERS", "INBOX":
		return false, nil
	default:
		return false, fmt.Errorf("unknown message")
	}
	return true, f.end()
}

func parseHost(f *fields) (policy.Endpoint, error) {
	var l policy.Endpoint
	switch f.word() {
	case "in_service":
		l.InService = true
	case "terminating":
	case "terminated":
		l.Removed = true
	default:
		return l, fmt.Errorf("unknown health")
	}
	l.Kind = f.integer()
	l.Destination = f.integer()
	l.Zone = f.integer()
	f.optional()
	l.ID = f.word()
	if w, err := strconv.ParseFloat(f.optional(), 64); err == nil && w > 0 && !math.IsInf(w, 0) {
		l.Weight = w
	}
	return l, f.end()
}

// fields splits a line; the first error sticks.
type fields struct {
	text string
	err  error
	over bool
}

func (f *fields) fail(what string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s", what)
	}
}

func (f *fields) word() string {
	if f.over {
		f.fail("line: too few values")
		return ""
	}
	w, rest, more := strings.Cut(f.text, " ")
	f.text, f.over = rest, !more
	if w == "" {
		f.fail("line: an empty value")
	}
	return w
}

func (f *fields) rest() string {
	f.over = true
	return f.text
}

// end reports what went wrong in the line so far. Values beyond those known are passed over.
func (f *fields) end() error { return f.err }

func (f *fields) optional() string {
	if w := f.word(); w != "-" {
		return w
	}
	return ""
}

func (f *fields) integer() int {
	n, err := strconv.Atoi(f.word())
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *fields) optionalInteger() int {
	w := f.optional()
	if w == "" {
		return 0
	}
	n, err := strconv.Atoi(w)
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *fields) unsigned() uint64 {
	n, err := strconv.ParseUint(f.word(), 10, 64)
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *fields) id() uint32 {
	n, err := strconv.ParseUint(f.word(), 10, 32)
	if err != nil {
		f.fail("message id")
	}
	return uint32(n)
}

func (f *fields) boolean() bool {
	switch f.word() {
	case "1":
		return true
	case "0":
		return false
	}
	f.fail("truth value")
	return false
}

func (f *fields) ms() time.Duration {
	d, err := millis(f.word())
	if err != nil {
		f.fail("time")
	}
	return d
}

func millis(w string) (time.Duration, error) {
	x, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		return 0, fmt.Errorf("bad time")
	}
	return time.Duration(math.Round(x*1000)) * time.Microsecond, nil
}

var outcomes = map[string]policy.Outcome{
	"ok": policy.OK, "error": policy.Error, "full": policy.Overloaded, "timeout": policy.Timeout,
	"connect_failed": policy.ConnectFailed, "reset": policy.Reset, "cancelled": policy.Cancelled,
	"moot": policy.NotSent,
}

func (f *fields) outcome() policy.Outcome {
	o, ok := outcomes[f.word()]
	if !ok {
		f.fail("outcome")
	}
	return o
}

// report reads name:value pairs; names that the settings do not explain are passed over.
func (f *fields) report(sc *schema) policy.LimitReport {
	var rep policy.LimitReport
	text := f.optional()
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, ",")
		name, value, _ := strings.Cut(pair, ":")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case sc.left:
			rep.Remaining = x
		case sc.limit:
			rep.Limit, rep.Present = x, true
		}
	}
	return rep
}

// Writer writes replies.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(out, 1<<16)} }

// Actions writes an instance's actions at now.
func (w *Writer) Actions(instance int, acts []policy.Action) {
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case policy.Send:
			w.head("SUBMIT_TO", instance)
			w.id(a.MessageID)
			w.text(a.Endpoint)
			w.ms(a.TimeoutAt)
		case policy.Reject:
			w.head("REJECT", instance)
			w.id(a.MessageID)
			w.ms(a.Delay)
		case policy.Fail:
			w.head("SURRENDER", instance)
			w.id(a.MessageID)
		case policy.SetTimer:
			w.head("WAKE_AT", instance)
			w.id(0)
			w.ms(a.Delay)
		case policy.CloseIdle:
			w.head("HANG_UP", instance)
			w.text(a.Endpoint)
		case policy.WatchEndpoints:
			w.head("STREAM_CHANGES", instance)
			w.id(1)
		}
		w.buf = append(w.buf, '\n')
		w.out.Write(w.buf)
	}
}

// Die writes that an instance's decisions broke.
func (w *Writer) Die(instance int, words string) {
	w.head("DIE", instance)
	w.text(strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, words))
	w.buf = append(w.buf, '\n')
	w.out.Write(w.buf)
}

// End ends the reply to a batch and flushes it.
func (w *Writer) End(number string) error {
	w.out.WriteString("YIELD ")
	w.out.WriteString(number)
	w.out.WriteByte('\n')
	return w.out.Flush()
}

func (w *Writer) head(name string, instance int) {
	w.buf = append(w.buf[:0], name...)
	w.buf = append(w.buf, ' ')
	w.buf = strconv.AppendInt(w.buf, int64(instance), 10)
}

func (w *Writer) text(s string) {
	w.buf = append(w.buf, ' ')
	w.buf = append(w.buf, s...)
}

func (w *Writer) id(n uint32) {
	w.buf = append(w.buf, ' ')
	w.buf = strconv.AppendUint(w.buf, uint64(n), 10)
}

func (w *Writer) ms(d time.Duration) {
	w.buf = append(w.buf, ' ')
	w.buf = strconv.AppendFloat(w.buf, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}
