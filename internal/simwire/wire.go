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
	input    *bufio.Reader
	lineNumber  int
	endpointLists map[int][]policy.Endpoint
	limitFields map[int]*limitFields
	pendingList  struct{ number, left int }
	lineBuffer   []byte
}

// limitFields is what an instance's settings say of its events.
type limitFields struct{ remaining, limit string }

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		input: bufio.NewReaderSize(in, 1<<16), endpointLists: map[int][]policy.Endpoint{}, limitFields: map[int]*limitFields{},
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
			return fmt.Errorf("line %d: the input ends inside a batch", r.lineNumber)
		}
		if text == "" && !open {
			continue
		}
		f := lineFields{text: text}
		done, err := r.parse(&f, b, &open)
		if err == nil {
			err = f.err
		}
		if err != nil {
			return fmt.Errorf("line %d: %v: %q", r.lineNumber, err, truncate(text))
		}
		if done {
			return nil
		}
	}
}

func truncate(s string) string {
	if len(s) > 120 {
		return s[:120] + "..."
	}
	return s
}

func (r *Reader) readLine() (string, error) {
	r.lineNumber++
	r.lineBuffer = r.lineBuffer[:0]
	for {
		part, err := r.input.ReadSlice('\n')
		r.lineBuffer = append(r.lineBuffer, part...)
		if err == bufio.ErrBufferFull {
			continue
		}
		return string(bytes.TrimRight(r.lineBuffer, "\r\n")), err
	}
}

// parse takes one line of a batch; done tells that it was the last.
func (r *Reader) parse(f *lineFields, b *Batch, open *bool) (done bool, err error) {
	name := f.word()
	if name == "MARK" {
		if *open {
			return false, fmt.Errorf("MARK inside a batch")
		}
		*open = true
		b.Now = f.milliseconds()
		b.Number = f.word()
		if _, err := strconv.ParseUint(b.Number, 10, 64); err != nil {
			return false, fmt.Errorf("bad batch number")
		}
		return false, f.end()
	}
	if !*open {
		return false, fmt.Errorf("a line outside a batch")
	}
	if (name == "HOST") != (r.pendingList.left > 0) {
		return false, fmt.Errorf("POOL and its HOST lines do not match")
	}
	switch name {
	case "GO":
		return true, f.end()
	case "POOL":
		r.pendingList.number = f.integer()
		r.pendingList.left = f.integer()
		if r.pendingList.left < 0 {
			return false, fmt.Errorf("bad number of entries")
		}
		r.endpointLists[r.pendingList.number] = make([]policy.Endpoint, 0, min(r.pendingList.left, 1024))
		return false, f.end()
	case "HOST":
		r.pendingList.left--
		l, err := parseHost(f)
		r.endpointLists[r.pendingList.number] = append(r.endpointLists[r.pendingList.number], l)
		return false, err
	case "CONFIGURE":
		it := Item{Kind: Start, Instance: f.integer()}
		it.Seed = f.unsigned()
		set, sc, err := parseConfigure(f.rest())
		it.Settings = set
		r.limitFields[it.Instance] = sc
		b.Items = append(b.Items, it)
		return false, err
	case "RETIRE":
		b.Items = append(b.Items, Item{Kind: Stop, Instance: f.integer()})
		return false, f.end()
	}
	it := Item{Kind: Event, Instance: f.integer()}
	sc := r.limitFields[it.Instance]
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
func (r *Reader) parseEvent(name string, f *lineFields, e *policy.Event, sc *limitFields) (known bool, err error) {
	switch name {
	case "KNOCK":
		e.Kind = policy.MessageAccepted
		e.MessageID = f.messageID()
		e.Key = f.optional()
		f.integer()
		e.Tenant = f.optionalInteger()
		f.optional()
		e.Class = f.integer()
		e.TimeLeft = f.milliseconds()
		e.Destination = f.integer()
	case "FINISHED":
		e.Kind = policy.AttemptFinished
		e.MessageID = f.messageID()
		e.Attempt = f.integer()
		e.Endpoint = f.word()
		e.Outcome = f.outcome()
		e.Latency = f.milliseconds()
		e.MessageEnded = f.boolean()
		note := f.optionalInteger()
		if e.Outcome == policy.Overloaded {
			e.RetryAfter = time.Duration(note) * time.Millisecond
		}
		e.LimitReport = f.limitReport(sc)
	case "PONG":
		e.Kind = policy.HealthChecked
		e.Endpoint = f.word()
		e.Outcome = f.outcome()
		e.Latency = f.milliseconds()
		e.LimitReport = f.limitReport(sc)
	case "TIMED_OUT_CLIENT":
		e.Kind = policy.MessageCancelled
		e.MessageID = f.messageID()
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
		list, ok := r.endpointLists[buffer]
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

func parseHost(f *lineFields) (policy.Endpoint, error) {
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

// lineFields splits a line; the first error sticks.
type lineFields struct {
	text string
	err  error
	exhausted bool
}

func (f *lineFields) fail(what string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s", what)
	}
}

func (f *lineFields) word() string {
	if f.exhausted {
		f.fail("line: too few values")
		return ""
	}
	w, rest, more := strings.Cut(f.text, " ")
	f.text, f.exhausted = rest, !more
	if w == "" {
		f.fail("line: an empty value")
	}
	return w
}

func (f *lineFields) rest() string {
	f.exhausted = true
	return f.text
}

// end reports what went wrong in the line so far. Values beyond those known are passed over.
func (f *lineFields) end() error { return f.err }

func (f *lineFields) optional() string {
	if w := f.word(); w != "-" {
		return w
	}
	return ""
}

func (f *lineFields) integer() int {
	n, err := strconv.Atoi(f.word())
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *lineFields) optionalInteger() int {
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

func (f *lineFields) unsigned() uint64 {
	n, err := strconv.ParseUint(f.word(), 10, 64)
	if err != nil {
		f.fail("whole number")
	}
	return n
}

func (f *lineFields) messageID() uint32 {
	n, err := strconv.ParseUint(f.word(), 10, 32)
	if err != nil {
		f.fail("message id")
	}
	return uint32(n)
}

func (f *lineFields) boolean() bool {
	switch f.word() {
	case "1":
		return true
	case "0":
		return false
	}
	f.fail("truth value")
	return false
}

func (f *lineFields) milliseconds() time.Duration {
	d, err := parseMilliseconds(f.word())
	if err != nil {
		f.fail("time")
	}
	return d
}

func parseMilliseconds(w string) (time.Duration, error) {
	x, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > 1e12 {
		return 0, fmt.Errorf("bad time")
	}
	return time.Duration(math.Round(x*1000)) * time.Microsecond, nil
}

var outcomeByName = map[string]policy.Outcome{
	"ok": policy.OK, "error": policy.Error, "full": policy.Overloaded, "timeout": policy.Timeout,
	"connect_failed": policy.ConnectFailed, "reset": policy.Reset, "cancelled": policy.Cancelled,
	"moot": policy.NotSent,
}

func (f *lineFields) outcome() policy.Outcome {
	o, ok := outcomeByName[f.word()]
	if !ok {
		f.fail("outcome")
	}
	return o
}

// limitReport reads name:value pairs; names that the settings do not explain are passed over.
func (f *lineFields) limitReport(sc *limitFields) policy.LimitReport {
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
		case sc.remaining:
			rep.Remaining = x
		case sc.limit:
			rep.Limit, rep.Present = x, true
		}
	}
	return rep
}

// Writer writes replies.
type Writer struct {
	output *bufio.Writer
	line []byte
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{output: bufio.NewWriterSize(out, 1<<16)} }

// Actions writes an instance's actions at now.
func (w *Writer) Actions(instance int, acts []policy.Action) {
	for i := range acts {
		a := &acts[i]
		switch a.Kind {
		case policy.Send:
			w.begin("SUBMIT_TO", instance)
			w.unsigned(a.MessageID)
			w.text(a.Endpoint)
			w.milliseconds(a.TimeoutAt)
		case policy.Reject:
			w.begin("REJECT", instance)
			w.unsigned(a.MessageID)
			w.milliseconds(a.Delay)
		case policy.Fail:
			w.begin("SURRENDER", instance)
			w.unsigned(a.MessageID)
		case policy.SetTimer:
			w.begin("WAKE_AT", instance)
			w.unsigned(0)
			w.milliseconds(a.Delay)
		case policy.CloseIdle:
			w.begin("HANG_UP", instance)
			w.text(a.Endpoint)
		case policy.WatchEndpoints:
			w.begin("STREAM_CHANGES", instance)
			w.unsigned(1)
		}
		w.line = append(w.line, '\n')
		w.output.Write(w.line)
	}
}

// Die writes that an instance's decisions broke.
func (w *Writer) Die(instance int, words string) {
	w.begin("DIE", instance)
	w.text(strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, words))
	w.line = append(w.line, '\n')
	w.output.Write(w.line)
}

// End ends the reply to a batch and flushes it.
func (w *Writer) End(number string) error {
	w.output.WriteString("YIELD ")
	w.output.WriteString(number)
	w.output.WriteByte('\n')
	return w.output.Flush()
}

func (w *Writer) begin(name string, instance int) {
	w.line = append(w.line[:0], name...)
	w.line = append(w.line, ' ')
	w.line = strconv.AppendInt(w.line, int64(instance), 10)
}

func (w *Writer) text(s string) {
	w.line = append(w.line, ' ')
	w.line = append(w.line, s...)
}

func (w *Writer) unsigned(n uint32) {
	w.line = append(w.line, ' ')
	w.line = strconv.AppendUint(w.line, uint64(n), 10)
}

func (w *Writer) milliseconds(d time.Duration) {
	w.line = append(w.line, ' ')
	w.line = strconv.AppendFloat(w.line, float64(d/time.Microsecond)/1000, 'f', -1, 64)
}
