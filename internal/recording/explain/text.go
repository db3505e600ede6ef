package explain

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// printer writes lines, and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// formatShare returns the text for a cause with its share of the time.
func formatShare(cause policy.BlockCause, ratio float64) string {
	return fmt.Sprintf("%s %.0f %%", CauseName(cause), 100*ratio)
}

// WriteText writes a table of a report's destinations, ordered by the time that their messages waited.
func WriteText(w io.Writer, report *Report) error {
	p := &printer{w: w}
	p.header(report)
	p.line(
		"%-6s %6s %6s %6s %6s %6s %6s %6s %8s %6s  %s",
		"dest", "taken", "sent", "ok", "full", "bad", "refuse", "fail", "waited", "queue", "what held its messages",
	)
	for _, d := range DestinationsByWait(report) {
		failedCalls := 0
		for outcome, n := range d.Calls {
			if outcome != policy.OK && outcome != policy.Overloaded {
				failedCalls += n
			}
		}
		p.line(
			"%-6d %6d %6d %6d %6d %6d %6d %6d %7.1fs %6d  %s",
			d.ID, d.Accepted, d.Sent, d.Calls[policy.OK], d.Calls[policy.Overloaded], failedCalls,
			d.Rejected, d.Failed, d.Waits.Sum(), d.MaxQueued, FormatShares(d.Waits),
		)
	}
	return p.err
}

func (p *printer) header(report *Report) {
	p.line(
		"%s, from %.3fs to %.3fs (0 is %s)",
		report.Meta.Name, report.From.Seconds(), report.To.Seconds(),
		report.Meta.Started.UTC().Format(time.RFC3339Nano),
	)
	if !report.Replay.SameRevision() {
		p.line("recorded by revision %s of the module, explained by %s", report.Meta.Revision, report.Replay.Revision)
	}
	if difference := report.Replay.Difference; difference != nil {
		p.line("NOT EXPLAINED beyond here: the module as built here decides otherwise: %v", difference)
	}
	for _, lost := range report.Replay.Lost {
		p.line("not read: %s", lost)
	}
	if report.Truncated {
		p.line("more happened than is kept: look at a shorter stretch")
	}
}

// WriteTransitions writes the transitions of a destination's endpoints, or of all endpoints if id is negative.
func WriteTransitions(w io.Writer, report *Report, id policy.DestinationID) error {
	p := &printer{w: w}
	for _, t := range report.Transitions {
		if id >= 0 && t.Destination != id {
			continue
		}
		cause := ""
		if t.Outcome != "" {
			cause = "  (" + t.Outcome + ")"
		}
		p.line("%9.3fs  dest %-4d %-12s %s%s", t.At.Seconds(), t.Destination, t.Endpoint, t.Text, cause)
	}
	return p.err
}

// historyLine is a line of a message's history.
type historyLine struct {
	at   time.Duration
	text string
}

// WriteMessage writes the history of a message, in order of time.
func WriteMessage(w io.Writer, m *Message) error {
	p := &printer{w: w}
	recovered := ""
	if m.Recovered {
		recovered = ", from an earlier process"
	}
	p.line(
		"message %d (%s) for destination %d, class %d, taken at %.3fs with %.3fs left%s",
		m.ID, m.Trace, m.Destination, m.Class, m.AcceptedAt.Seconds(), m.TimeLeft.Seconds(), recovered,
	)
	var lines []historyLine
	for _, span := range m.Spans {
		lines = append(lines, span.line())
	}
	for _, attempt := range m.Attempts {
		lines = append(lines, attempt.lines()...)
	}
	if m.ended() {
		lines = append(lines, m.endLine())
	}
	slices.SortStableFunc(lines, func(a, b historyLine) int { return cmp.Compare(a.at, b.at) })
	for _, line := range lines {
		p.line("%9.3fs  %s", line.at.Seconds(), line.text)
	}
	return p.err
}

func (s Span) line() historyLine {
	until := ""
	if s.Until != math.MaxInt64 && s.Until > s.To {
		until = fmt.Sprintf(", by then until %.3fs", s.Until.Seconds())
	}
	length := (s.To - s.From).Seconds()
	text := fmt.Sprintf("waits %6.3fs: %s %s%s", length, CauseName(s.Cause), s.Endpoint, until)
	return historyLine{at: s.From, text: text}
}

func (a Attempt) lines() []historyLine {
	sent := fmt.Sprintf(
		"attempt %d leaves for %s, to be cut off at %.3fs", a.Number, a.Endpoint, a.TimeoutAt.Seconds(),
	)
	lines := []historyLine{{at: a.SentAt, text: sent}}
	if a.EndedAt <= 0 {
		return lines
	}
	retryAfter := ""
	if a.RetryAfter > 0 {
		retryAfter = fmt.Sprintf(", told to wait %v", a.RetryAfter)
	}
	ended := fmt.Sprintf(
		"attempt %d: %s after %.3fs%s", a.Number, OutcomeName(a.Outcome), a.Latency.Seconds(), retryAfter,
	)
	return append(lines, historyLine{at: a.EndedAt, text: ended})
}

func (m *Message) endLine() historyLine {
	retryAfter := ""
	if m.RetryAfter > 0 {
		retryAfter = fmt.Sprintf(", to come again after %v", m.RetryAfter)
	}
	age := (m.EndedAt - m.AcceptedAt).Seconds()
	text := fmt.Sprintf("%s, %.3fs after it was taken%s", m.End, age, retryAfter)
	return historyLine{at: m.EndedAt, text: text}
}
