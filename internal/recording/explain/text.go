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

// printer writes lines until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// formatShare returns the text for a cause with its share of the waiting time.
func formatShare(cause policy.BlockCause, ratio float64) string {
	return fmt.Sprintf("%s %.0f %%", CauseName(cause), 100*ratio)
}

// WriteText writes a table of a report's destinations, ordered by the total time that their messages waited. The
// columns accept, reject and fail count messages, the columns sent, ok, busy and errors attempts. Busy attempts were
// rejected as overloaded; errors are all other attempts that delivered nothing.
func WriteText(w io.Writer, report *Report) error {
	p := &printer{w: w}
	p.header(report)
	p.line(
		"%-6s %6s %6s %6s %6s %6s %6s %6s %8s %6s  %s",
		"dest", "accept", "sent", "ok", "busy", "errors", "reject", "fail", "waited", "queue", "blocked by",
	)
	for _, d := range DestinationsByWait(report) {
		rejectedCalls := d.Calls[policy.Overloaded] + d.Calls[policy.UnprovenRejection]
		failedCalls := -d.Calls[policy.OK] - rejectedCalls
		for _, n := range d.Calls {
			failedCalls += n
		}
		p.line(
			"%-6d %6d %6d %6d %6d %6d %6d %6d %7.1fs %6d  %s",
			d.ID, d.Accepted, d.Sent, d.Calls[policy.OK], rejectedCalls, failedCalls,
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
		p.line("recorded by engine revision %s, replayed by revision %s", report.Meta.Revision, report.Replay.Revision)
	}
	if difference := report.Replay.Difference; difference != nil {
		p.line("NOT EXPLAINED from here on: the engine of this build decides differently: %v", difference)
	}
	for _, lost := range report.Replay.Lost {
		p.line("not read or not replayed: %s", lost)
	}
	if report.Truncated {
		p.line("report truncated: too many transitions or spans, select a shorter interval")
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

// historyLine is a line of a message's history, and its time.
type historyLine struct {
	at   time.Duration
	text string
}

// WriteMessage writes the history of a message, in order of time.
func WriteMessage(w io.Writer, m *Message) error {
	p := &printer{w: w}
	recovered := ""
	if m.Recovered {
		recovered = ", recovered from an earlier process"
	}
	p.line(
		"message %d (%s) for destination %d, class %d, accepted at %.3fs with %.3fs left%s",
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
		until = fmt.Sprintf(", expected until %.3fs", s.Until.Seconds())
	}
	length := (s.To - s.From).Seconds()
	text := fmt.Sprintf("waits %6.3fs: %s %s%s", length, CauseName(s.Cause), s.Endpoint, until)
	return historyLine{at: s.From, text: text}
}

func (a Attempt) lines() []historyLine {
	sent := fmt.Sprintf(
		"attempt %d sent to %s, times out at %.3fs", a.Number, a.Endpoint, a.TimeoutAt.Seconds(),
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
		retryAfter = fmt.Sprintf(", client asked to retry after %v", m.RetryAfter)
	}
	age := (m.EndedAt - m.AcceptedAt).Seconds()
	text := fmt.Sprintf("%s, %.3fs after it was accepted%s", m.End, age, retryAfter)
	return historyLine{at: m.EndedAt, text: text}
}
