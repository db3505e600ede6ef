package explain

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// WriteText writes the explanation of all destinations, those that held messages longest first.
func WriteText(w io.Writer, rep *Report) error {
	p := &printer{w: w}
	p.head(rep)
	p.line(
		"%-6s %6s %6s %6s %6s %6s %6s %6s %8s %6s  %s",
		"dest",
		"taken",
		"sent",
		"ok",
		"full",
		"bad",
		"refuse",
		"fail",
		"waited",
		"queue",
		"what held its messages",
	)
	for _, d := range DestinationsByWait(rep) {
		bad := 0
		for o, n := range d.Calls {
			if o != policy.OK && o != policy.Overloaded {
				bad += n
			}
		}
		p.line(
			"%-6d %6d %6d %6d %6d %6d %6d %6d %7.1fs %6d  %s",
			d.ID,
			d.Accepted,
			d.Sent,
			d.Calls[policy.OK],
			d.Calls[policy.Overloaded],
			bad,
			d.Rejected,
			d.Failed,
			d.Waits.Sum(),
			d.MaxQueued,
			FormatShares(d.Waits),
		)
	}
	return p.err
}

// WriteTransitions writes what changed at the routes of a destination, or of all where id is negative.
func WriteTransitions(w io.Writer, rep *Report, id int) error {
	p := &printer{w: w}
	for _, t := range rep.Transitions {
		if id >= 0 && t.Destination != id {
			continue
		}
		by := ""
		if t.Outcome != "" {
			by = "  (" + t.Outcome + ")"
		}
		p.line("%9.3fs  dest %-4d %-12s %s%s", t.At.Seconds(), t.Destination, t.Endpoint, t.Text, by)
	}
	return p.err
}

// WriteMessage writes the story of a message.
func WriteMessage(w io.Writer, m *Message) error {
	p := &printer{w: w}
	p.line(
		"message %d (%s) for destination %d, class %d, taken at %.3fs with %.3fs left%s",
		m.ID,
		m.Trace,
		m.Destination,
		m.Class,
		m.AcceptedAt.Seconds(),
		m.TimeLeft.Seconds(),
		map[bool]string{true: ", from an earlier process"}[m.Recovered],
	)
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	for _, s := range m.Spans {
		until := ""
		if s.Until != math.MaxInt64 && s.Until > s.To {
			until = fmt.Sprintf(", by then until %.3fs", s.Until.Seconds())
		}
		lines = append(
			lines,
			line{
				s.From,
				fmt.Sprintf("waits %6.3fs: %s %s%s", (s.To - s.From).Seconds(), CauseName(s.Cause), s.Endpoint, until),
			},
		)
	}
	for _, a := range m.Attempts {
		lines = append(
			lines,
			line{
				a.SentAt,
				fmt.Sprintf("attempt %d leaves for %s, to be cut off at %.3fs", a.Number, a.Endpoint, a.TimeoutAt.Seconds()),
			},
		)
		if a.EndedAt > 0 {
			told := ""
			if a.RetryAfter > 0 {
				told = fmt.Sprintf(", told to wait %v", a.RetryAfter)
			}
			lines = append(
				lines,
				line{
					a.EndedAt,
					fmt.Sprintf("attempt %d: %s after %.3fs%s", a.Number, OutcomeName(a.Outcome), a.Latency.Seconds(), told),
				},
			)
		}
	}
	if m.EndedAt > 0 {
		advice := ""
		if m.RetryAfter > 0 {
			advice = fmt.Sprintf(", to come again after %v", m.RetryAfter)
		}
		lines = append(
			lines,
			line{
				m.EndedAt,
				fmt.Sprintf("%s, %.3fs after it was taken%s", m.End, (m.EndedAt - m.AcceptedAt).Seconds(), advice),
			},
		)
	}
	slices.SortStableFunc(lines, func(a, b line) int { return int(max(-1, min(1, a.at-b.at))) })
	for _, l := range lines {
		p.line("%9.3fs  %s", l.at.Seconds(), l.text)
	}
	return p.err
}

// DestinationsByWait are the destinations, those that held messages longest first.
func DestinationsByWait(rep *Report) []*Destination {
	sorted := slices.Clone(rep.Destinations)
	slices.SortStableFunc(sorted, func(a, b *Destination) int {
		switch x, y := a.Waits.Sum(), b.Waits.Sum(); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return sorted
}

// FormatShares are the causes with their shares of the time, the largest first.
func FormatShares(w Waits) string {
	sum := w.Sum()
	if sum == 0 {
		return "nothing"
	}
	var parts []string
	for _, c := range w.Sorted() {
		if share := w[c] / sum; share >= 0.005 {
			parts = append(parts, fmt.Sprintf("%s %.0f %%", CauseName(c), 100*share))
		}
	}
	return strings.Join(parts, ", ")
}

type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) head(rep *Report) {
	p.line(
		"%s, from %.3fs to %.3fs (0 is %s)",
		rep.Meta.Name,
		rep.From.Seconds(),
		rep.To.Seconds(),
		rep.Meta.Started.UTC().Format(time.RFC3339Nano),
	)
	if !rep.Replay.SameRevision() {
		p.line("recorded by revision %s of the module, explained by %s", rep.Meta.Revision, rep.Replay.Revision)
	}
	if d := rep.Replay.Difference; d != nil {
		p.line("NOT EXPLAINED beyond here: the module as built here decides otherwise: %v", d)
	}
	for _, lost := range rep.Replay.Lost {
		p.line("not read: %s", lost)
	}
	if rep.Truncated {
		p.line("more happened than is kept: look at a shorter stretch")
	}
}

// WriteJSON writes the explanation as JSON Lines: one line for the report, one for each destination, transition and
// message, told apart by "kind". Times are in seconds of the module's clock.
func WriteJSON(w io.Writer, rep *Report) error {
	out := json.NewEncoder(w)
	var err error
	line := func(kind string, fields map[string]any) {
		fields["kind"] = kind
		if err == nil {
			err = out.Encode(fields)
		}
	}
	waits := func(w Waits) map[string]float64 {
		named := map[string]float64{}
		for c, x := range w {
			named[CauseName(c)] = x
		}
		return named
	}
	line("report", map[string]any{
		"name": rep.Meta.Name, "revision": rep.Meta.Revision, "explained_by": rep.Replay.Revision, "from": rep.From.Seconds(), "to": rep.To.Seconds(),
		"started": rep.Meta.Started, "lost": rep.Replay.Lost, "differs": rep.Replay.Difference, "notes": rep.Notes,
	})
	for _, d := range rep.Destinations {
		calls := map[string]int{}
		for o, n := range d.Calls {
			calls[OutcomeName(o)] = n
		}
		line("destination", map[string]any{
			"destination": d.ID, "taken": d.Accepted, "sent": d.Sent, "calls": calls, "refused": d.Rejected, "failed": d.Failed,
			"waited": waits(d.Waits), "queue_most": d.MaxQueued,
		})
	}
	for _, t := range rep.Transitions {
		line(
			"transition",
			map[string]any{
				"at":          t.At.Seconds(),
				"destination": t.Destination,
				"route":       t.Endpoint,
				"what":        t.Text,
				"by":          t.Outcome,
			},
		)
	}
	for _, id := range sortedIDs(rep) {
		m := rep.Messages[id]
		var spans, attempts []map[string]any
		for _, s := range m.Spans {
			spans = append(
				spans,
				map[string]any{
					"from":  s.From.Seconds(),
					"to":    s.To.Seconds(),
					"cause": CauseName(s.Cause),
					"route": s.Endpoint,
				},
			)
		}
		for _, a := range m.Attempts {
			attempt := map[string]any{"n": a.Number, "route": a.Endpoint, "at": a.SentAt.Seconds()}
			if a.EndedAt > 0 {
				attempt["ended"], attempt["outcome"], attempt["told_wait"] = a.EndedAt.Seconds(), OutcomeName(
					a.Outcome,
				), a.RetryAfter.Seconds()
			}
			attempts = append(attempts, attempt)
		}
		line("message", map[string]any{
			"id": m.ID, "trace": m.Trace, "destination": m.Destination, "class": m.Class, "taken": m.AcceptedAt.Seconds(), "left": m.TimeLeft.Seconds(),
			"ended": m.EndedAt.Seconds(), "end": m.End, "spans": spans, "attempts": attempts,
		})
	}
	return err
}

func sortedIDs(rep *Report) []uint32 {
	ids := make([]uint32, 0, len(rep.Messages))
	for id := range rep.Messages {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// maxPlottedDestinations bounds the destinations that a page plots.
const maxPlottedDestinations = 40

// WriteHTML writes one page with plots, all on one time axis, without a script. Skips are shaded.
func WriteHTML(w io.Writer, rep *Report) error {
	t := &chart.Timeline{Length: max(time.Millisecond, rep.To-rep.From), Bin: rep.Bin, Bins: rep.Bins}
	per := 1 / rep.Bin.Seconds()
	var plots []template.HTML
	plots = append(
		plots,
		t.Draw(
			chart.Plot{
				Title:  "messages waiting",
				Unit:   "the most in a bin",
				Height: 110,
				Series: []chart.Series{{Name: "all destinations", Colour: chart.Blue, Values: rep.Queued}},
			},
		),
		t.Draw(
			chart.Plot{
				Title:  "slots",
				Unit:   "taken, the most in a bin",
				Height: 90,
				Max:    float64(rep.MaxInFlightCalls),
				Series: []chart.Series{{Name: "taken", Colour: chart.Orange, Values: rep.InFlightCalls}},
			},
		),
	)
	sorted := DestinationsByWait(rep)
	for _, d := range sorted[:min(maxPlottedDestinations, len(sorted))] {
		for i, r := range d.Endpoints {
			axis := *t
			axis.Shades = shadedSpans(r, rep)
			if r.LimitScope == r.Name {
				plots = append(plots, axis.Draw(chart.Plot{
					Title: fmt.Sprintf(
						"destination %d, %s",
						d.ID,
						r.Name,
					), Unit: "calls a second", Height: 120, Series: []chart.Series{
						{Name: "limit believed", Colour: chart.Grey, Values: withGaps(r.EstimatedLimit)},
						{Name: "refused last", Colour: chart.Red, Values: withGaps(r.LastRejectedRate)},
						{Name: "pace", Colour: chart.Blue, Values: withGaps(r.PacingRate)},
					},
				}))
			}
			series := []chart.Series{
				{Name: "delivered", Colour: chart.Green, Values: scaled(r.Delivered, per)},
				{Name: "refused", Colour: chart.Orange, Values: scaled(r.Rejected, per)},
				{Name: "failed", Colour: chart.Red, Values: scaled(r.Failed, per)},
			}
			plots = append(
				plots,
				axis.Draw(
					chart.Plot{
						Title:   "outcomes, " + r.Name,
						Unit:    "a second",
						Height:  90,
						Stacked: true,
						Series:  series,
					},
				),
			)
			if i == 0 {
				plots = append(plots, axis.Draw(chart.Plot{
					Title: fmt.Sprintf("waiting for destination %d", d.ID), Unit: "messages", Height: 80,
					Series: []chart.Series{{Name: "waiting", Colour: chart.Blue, Values: r.Queued}},
				}))
			}
		}
	}
	var text, changes strings.Builder
	if err := WriteText(&text, rep); err != nil {
		return err
	}
	if err := WriteTransitions(&changes, rep, -1); err != nil {
		return err
	}
	return page.Execute(
		w,
		map[string]any{"Name": rep.Meta.Name, "Text": text.String(), "Plots": plots, "Changes": changes.String()},
	)
}

// withGaps leaves out what is free or not told.
func withGaps(values []float64) []float64 {
	out := slices.Clone(values)
	for i, v := range out {
		if v == 0 {
			out[i] = math.NaN()
		}
	}
	return out
}

func scaled(values []float64, by float64) []float64 {
	out := slices.Clone(values)
	for i := range out {
		out[i] *= by
	}
	return out
}

func shadedSpans(r *Endpoint, rep *Report) (all []chart.Shade) {
	for _, x := range []struct {
		name  string
		flags []bool
	}{{"skipped", r.Ejected}, {"in doubt", r.WarmingUp}, {"told to wait", r.RetryAfter}} {
		for i := 0; i < len(x.flags); i++ {
			if !x.flags[i] {
				continue
			}
			from := i
			for i < len(x.flags) && x.flags[i] {
				i++
			}
			all = append(
				all,
				chart.Shade{Name: x.name, From: time.Duration(from) * rep.Bin, To: time.Duration(i) * rep.Bin},
			)
		}
	}
	return all
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>What held messages up: {{.Name}}</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; color: #222; max-width: 1100px; margin: 1.5em auto; padding: 0 1em }
pre { background: #f6f4f0; padding: .6em; overflow-x: auto; font-size: 12px }
` + chart.Style + `
</style>
<h1>What held messages up: {{.Name}}</h1>
<pre>{{.Text}}</pre>
<p>Time runs from the begin of the stretch. Skips, doubts and told waits are shaded: point at them for their names.</p>
{{range .Plots}}{{.}}
{{end}}<h2>What changed</h2>
<pre>{{.Changes}}</pre>
</html>
`))
