package simwire

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Writer writes replies to the simulator. It is not safe for concurrent use.
type Writer struct {
	output *bufio.Writer
	line   []byte
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{output: bufio.NewWriterSize(out, bufferSize)} }

// Actions writes the actions of an instance, in order.
func (w *Writer) Actions(instance int, actions []policy.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case policy.Send:
			w.begin("SUBMIT_TO", instance)
			w.unsigned(uint32(action.MessageID))
			w.text(action.Endpoint)
			w.milliseconds(action.TimeoutAt)
		case policy.Reject:
			w.begin("REJECT", instance)
			w.unsigned(uint32(action.MessageID))
			w.milliseconds(action.Delay)
		case policy.Fail:
			w.begin("SURRENDER", instance)
			w.unsigned(uint32(action.MessageID))
		case policy.SetTimer:
			w.begin("WAKE_AT", instance)
			w.unsigned(0)
			w.milliseconds(action.Delay)
		case policy.CloseIdle:
			w.begin("HANG_UP", instance)
			w.text(action.Endpoint)
		case policy.WatchEndpoints:
			w.begin("STREAM_CHANGES", instance)
			w.unsigned(1)
		}
		w.endLine()
	}
}

// Die reports that an instance panicked. It replaces line breaks in the reason with spaces.
func (w *Writer) Die(instance int, reason string) {
	w.begin("DIE", instance)
	w.text(strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, reason))
	w.endLine()
}

// End ends the reply to the batch with the given number and flushes it. It returns the first error of any write.
func (w *Writer) End(number string) error {
	w.line = append(w.line[:0], "YIELD "...)
	w.line = append(w.line, number...)
	w.endLine()
	return w.output.Flush()
}

// begin starts a line with its name and the number of its instance.
func (w *Writer) begin(name string, instance int) {
	w.line = append(w.line[:0], name...)
	w.line = append(w.line, ' ')
	w.line = strconv.AppendInt(w.line, int64(instance), 10)
}

// endLine writes the line. If the write fails, the buffered output keeps the error and End returns it.
func (w *Writer) endLine() {
	w.line = append(w.line, '\n')
	_, _ = w.output.Write(w.line)
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
