package report

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/judge"
	"onyxroad.dev/onyxroad/internal/partner"
	"onyxroad.dev/onyxroad/internal/record"
)

// The sizes of a plot, in SVG's units.
const (
	plotWidth  = 960.0
	plotLeft   = 46.0
	plotRight  = 10.0
	plotTop    = 16.0
	plotBottom = 18.0
	binsMost   = 240 // along the time axis
	hostsMost  = 60  // that have a plot of their own
)

// series is one line, or one layer of a stack, with a value for each bin; NaN leaves a gap.
type series struct {
	name, colour string
	values       []float64
}

// plot is one chart on the time axis.
type plot struct {
	title, unit string
	height      float64
	most        float64 // of the value axis; 0: what the values need
	stacked     bool
	series      []series
}

// timeline is what all plots of a page share.
type timeline struct {
	length time.Duration
	bin    time.Duration
	bins   int
	shades []shade
	marks  []mark
}

type shade struct {
	name     string
	from, to time.Duration
}

type mark struct {
	at   time.Duration
	text string
}

func newTimeline(h record.Header, events []record.Event) *timeline {
	t := &timeline{length: max(h.Length, time.Second)}
	if n := len(events); n > 0 {
		t.length = max(t.length, events[n-1].At)
	}
	t.bin = time.Second
	for t.length/t.bin > binsMost {
		t.bin *= 2
	}
	t.bins = int((t.length + t.bin - 1) / t.bin)
	for _, e := range events {
		switch {
		case e.Kind == record.Trouble && e.State == record.StateBegin:
			t.shades = append(t.shades, shade{e.Name, e.At, t.length})
		case e.Kind == record.Trouble:
			for i := range t.shades {
				if t.shades[i].name == e.Name {
					t.shades[i].to = e.At
				}
			}
		case e.Kind == record.Process && (e.State == record.StateTerm || e.State == record.StateKill || e.State == record.StateUp) && e.At < h.Length:
			t.marks = append(t.marks, mark{e.At, e.Relay + " " + e.State})
		case e.Kind == record.Fell:
			t.marks = append(t.marks, mark{e.At, e.Place + " fell over"})
		}
	}
	return t
}

func (t *timeline) at(d time.Duration) int { return min(t.bins-1, max(0, int(d/t.bin))) }

func (t *timeline) zeros() []float64 { return make([]float64, t.bins) }

func (t *timeline) x(d time.Duration) float64 {
	return plotLeft + (plotWidth-plotLeft-plotRight)*float64(d)/float64(t.length)
}

// draw is a plot as SVG.
func (t *timeline) draw(p plot) template.HTML {
	most := p.most
	if most == 0 {
		most = niceAbove(p.highest())
	}
	inner := p.height - plotTop - plotBottom
	y := func(v float64) float64 { return plotTop + inner*(1-min(1, max(0, v/most))) }
	var b strings.Builder
	fmt.Fprintf(&b, `<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, plotWidth, p.height, template.HTMLEscapeString(p.title))
	for i, s := range t.shades {
		fmt.Fprintf(&b, `<rect class="shade" x="%.1f" y="%g" width="%.1f" height="%.1f"><title>%s</title></rect>`,
			t.x(s.from), plotTop, max(1, t.x(s.to)-t.x(s.from)), inner, template.HTMLEscapeString(s.name))
		if p.height > 100 {
			fmt.Fprintf(&b, `<text class="note" x="%.1f" y="%.1f">%s</text>`, t.x(s.from)+2, plotTop+9+float64(i%3)*9, template.HTMLEscapeString(s.name))
		}
	}
	for _, v := range []float64{0, most / 2, most} {
		fmt.Fprintf(&b, `<path class="grid" d="M%g %.1fH%g"/><text class="tick" text-anchor="end" x="%g" y="%.1f">%s</text>`,
			plotLeft, y(v), plotWidth-plotRight, plotLeft-4, y(v)+3, number(v))
	}
	for s, step := time.Duration(0), timeStep(t.length); s <= t.length; s += step {
		fmt.Fprintf(&b, `<text class="tick" text-anchor="middle" x="%.1f" y="%g">%gs</text>`, t.x(s), p.height-5, s.Seconds())
	}
	if p.stacked {
		t.stack(&b, p, y)
	} else {
		for _, s := range p.series {
			t.line(&b, s, y)
		}
	}
	for _, m := range t.marks {
		fmt.Fprintf(&b, `<path class="mark" d="M%.1f %gV%.1f"><title>%s</title></path>`, t.x(m.at), plotTop, plotTop+inner, template.HTMLEscapeString(m.text))
	}
	x := plotLeft
	fmt.Fprintf(&b, `<text class="title" x="%g" y="11">%s</text>`, x, template.HTMLEscapeString(p.title+", "+p.unit))
	x += 7*float64(len(p.title)+len(p.unit)) + 30
	for _, s := range p.series {
		fmt.Fprintf(&b, `<rect x="%.1f" y="4" width="8" height="8" fill="%s"/><text class="note" x="%.1f" y="11">%s</text>`, x, s.colour, x+11,
			template.HTMLEscapeString(s.name))
		x += 24 + 6*float64(len(s.name))
	}
	b.WriteString("</svg>")
	return template.HTML(b.String()) // numbers, and text that is escaped above
}

func (p plot) highest() (most float64) {
	for i := range p.series[0].values {
		sum := 0.0
		for _, s := range p.series {
			if v := s.values[i]; p.stacked {
				sum += v
			} else if v > sum {
				sum = v
			}
		}
		most = max(most, sum)
	}
	return most
}

// line draws a series as steps, with gaps where there is no value.
func (t *timeline) line(b *strings.Builder, s series, y func(float64) float64) {
	fmt.Fprintf(b, `<path fill="none" stroke="%s" stroke-width="1.5" d="`, s.colour)
	pen := false
	for i, v := range s.values {
		if math.IsNaN(v) {
			pen = false
			continue
		}
		from, to := t.x(time.Duration(i)*t.bin), t.x(min(t.length, time.Duration(i+1)*t.bin))
		if pen {
			fmt.Fprintf(b, "V%.1fH%.1f", y(v), to)
		} else {
			fmt.Fprintf(b, "M%.1f %.1fH%.1f", from, y(v), to)
		}
		pen = true
	}
	b.WriteString(`"/>`)
}

func (t *timeline) stack(b *strings.Builder, p plot, y func(float64) float64) {
	below := t.zeros()
	for _, s := range p.series {
		for i, v := range s.values {
			if v <= 0 {
				continue
			}
			x, to := t.x(time.Duration(i)*t.bin), t.x(min(t.length, time.Duration(i+1)*t.bin))
			fmt.Fprintf(b, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`, x, y(below[i]+v), max(0.5, to-x-0.5), y(below[i])-y(below[i]+v), s.colour)
			below[i] += v
		}
	}
}

// niceAbove is a round number that is not below x.
func niceAbove(x float64) float64 {
	if x <= 0 {
		return 1
	}
	scale := math.Pow(10, math.Floor(math.Log10(x)))
	for _, m := range []float64{1, 2, 4, 5, 10} {
		if m*scale >= x {
			return m * scale
		}
	}
	return 10 * scale
}

func timeStep(length time.Duration) time.Duration {
	for _, s := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute} {
		if length/s <= 20 {
			return s
		}
	}
	return 10 * time.Minute
}

func number(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

const (
	green, blue, orange, red, grey = "#2e8b57", "#2a6fbb", "#e08a1e", "#c0392b", "#8a8f98"
)

// plots are the charts of a run.
func plots(t *timeline, h record.Header, events []record.Event) (all []template.HTML) {
	tries := judge.Tries(h, events)
	worth, value, asked := t.zeros(), t.zeros(), t.zeros()
	latencies := make([][]time.Duration, t.bins)
	for _, a := range tries {
		i := t.at(a.At)
		worth[i], value[i], asked[i] = worth[i]+a.Worth, value[i]+a.Value, asked[i]+1/t.bin.Seconds()
		if a.Delivered > 0 {
			latencies[i] = append(latencies[i], a.Delivered-a.At)
		}
	}
	service, median, high := t.zeros(), t.zeros(), t.zeros()
	for i := range service {
		service[i], median[i], high[i] = math.NaN(), math.NaN(), math.NaN()
		if worth[i] > 0 {
			service[i] = value[i] / worth[i]
		}
		if l := latencies[i]; len(l) > 0 {
			slices.Sort(l)
			median[i], high[i] = l[len(l)/2].Seconds(), l[min(len(l)-1, len(l)*95/100)].Seconds()
		}
	}
	all = append(all,
		t.draw(plot{"service", "by when it was asked for", 150, 1, false, []series{{"worth delivered over worth asked for", green, service}}}),
		t.draw(plot{"delivered after", "seconds, by when it was asked for", 130, 0, false, []series{{"95 %", orange, high}, {"median", blue, median}}}),
		t.draw(plot{"asked for", "messages a second", 110, 0, false, []series{{"first tries", blue, asked}}}),
		t.draw(plot{"calls", "a second, by outcome", 130, 0, true, t.outcomes(events)}))
	return append(all, t.hosts(events)...)
}

// outcomes counts calls by how they ended.
func (t *timeline) outcomes(events []record.Event) []series {
	at := map[uint64]int{}
	s := []series{{"delivered", green, t.zeros()}, {"refused", orange, t.zeros()}, {"failed", red, t.zeros()}, {"no answer", grey, t.zeros()}}
	for _, e := range events {
		per := 1 / t.bin.Seconds()
		switch e.Kind {
		case record.Call:
			at[e.Call] = t.at(e.At)
			s[3].values[at[e.Call]] += per // until it has one
		case record.Reply:
			i, ok := at[e.Call]
			if !ok {
				continue
			}
			kind := 2
			switch e.Status {
			case 200:
				kind = 0
			case 429, 503:
				kind = 1
			}
			s[3].values[i] -= per
			s[kind].values[i] += per
		}
	}
	return s
}

// hosts draws what each host received against what it could do.
func (t *timeline) hosts(events []record.Event) (all []template.HTML) {
	type host struct {
		id   string
		dest int
		got  []float64
		able []float64
		now  partner.Cold
		upTo int
	}
	hosts := map[string]*host{}
	var order []*host
	fill := func(h *host, to int) {
		for ; h.upTo < to; h.upTo++ {
			h.able[h.upTo] = h.now.Able(time.Duration(h.upTo)*t.bin + t.bin/2)
		}
	}
	for _, e := range events {
		switch e.Kind {
		case record.Able:
			h := hosts[e.Host]
			if h == nil {
				h = &host{id: e.Host, dest: e.Dest, got: t.zeros(), able: t.zeros()}
				hosts[e.Host] = h
				order = append(order, h)
			}
			fill(h, t.at(e.At))
			h.now = partner.Cold{At: e.At, Rate: e.Rate, Share: e.Share, Warm: e.For}
		case record.Call:
			if h := hosts[e.Host]; h != nil {
				h.got[t.at(e.At)] += 1 / t.bin.Seconds()
			}
		}
	}
	slices.SortStableFunc(order, func(a, b *host) int { return cmp.Compare(a.dest, b.dest) })
	for _, h := range order[:min(hostsMost, len(order))] {
		fill(h, t.bins)
		all = append(all, t.draw(plot{fmt.Sprintf("%s of destination %d", h.id, h.dest), "calls a second", 84, 0, false,
			[]series{{"can do", grey, h.able}, {"received", blue, h.got}}}))
	}
	return all
}

// HTML writes one page with all that a run showed. It holds no script and asks for nothing.
func HTML(w io.Writer, h record.Header, events []record.Event, v judge.Verdict) error {
	t := newTimeline(h, events)
	type row struct{ Name, Value, Note string }
	s := v.Service
	var proofs []string
	for _, f := range v.Findings {
		for _, b := range f.Breaks {
			text := fmt.Sprintf("%v: %s", round(b.At), b.Text)
			for _, i := range b.Events[:min(provedBy, len(b.Events))] {
				text += fmt.Sprintf("\n  event %d: %s", i, line(events[i]))
			}
			proofs = append(proofs, text)
		}
	}
	for _, b := range v.Faults {
		proofs = append(proofs, fmt.Sprintf("%v: VOID: %s", round(b.At), b.Text))
	}
	for _, d := range v.Doubts {
		proofs = append(proofs, "not judged: "+d)
	}
	return page.Execute(w, map[string]any{
		"Run": h, "Summary": Summary(v), "Findings": v.Findings, "Proofs": proofs, "Plots": plots(t, h, events),
		"Service": []row{
			{"whole run", fmt.Sprintf("%.3f", s.Whole), fmt.Sprintf("%d asked for: %d in full, %d in part, %d not delivered", s.Offered, s.InFull, s.InPart, s.Undelivered)},
			{"worst 10 s", fmt.Sprintf("%.3f", s.Worst10s), fmt.Sprintf("from %v", s.Worst10sAt)},
			{"worst-served customer", fmt.Sprintf("%.3f", s.Worst), s.WorstCustomer + ", within its share"},
			{"delivered after", fmt.Sprint(round(s.Median)), fmt.Sprintf("in the median; %v at 95 %%, %v at 99 %%", round(s.P95), round(s.P99))},
			{"hand-ins not taken on", fmt.Sprint(s.Refused), fmt.Sprintf("refused at the door; %d without an answer", s.Unanswered)},
			{"notices", fmt.Sprint(s.Deferred), fmt.Sprintf("deferred; %d failed", s.Failed)},
			{"calls", fmt.Sprint(s.Calls), fmt.Sprintf("%d refused, %d failed, %d without an answer", s.CallsFull, s.CallsFailed, s.CallsMute)},
		},
	})
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Run.Scenario}}: {{.Summary}}</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; color: #222; max-width: 980px; margin: 1.5em auto; padding: 0 1em }
table { border-collapse: collapse; margin: .6em 0 1.2em } td, th { padding: .2em .9em .2em 0; text-align: left; vertical-align: top }
.held { color: #2e8b57 } .BROKEN { color: #c0392b; font-weight: bold } .not { color: #8a8f98 }
pre { background: #f6f4f0; padding: .6em; white-space: pre-wrap; overflow-wrap: anywhere; font-size: 12px }
svg { display: block; width: 100%; margin: .5em 0 } .grid { stroke: #e4e4e4 } .mark { stroke: #6b4ba1; stroke-dasharray: 3 2 }
.shade { fill: #e08a1e; opacity: .13 } .tick, .note { font-size: 9px; fill: #666 } .title { font-size: 11px; fill: #222 }
</style>
<h1>{{.Run.Scenario}}</h1>
<p>{{.Summary}}. Seed {{.Run.Seed}}, plan {{.Run.Plan}}, {{.Run.Length}}, relays {{range .Run.Relays}}{{.}} {{end}}.</p>
<table><tr><th>rule<th><th>occasions<th>breaks</tr>
{{range .Findings}}<tr><td>{{.Rule}}<td class="{{.State}}">{{.State}}<td>{{.Exercised}}<td>{{.Count}}</tr>
{{end}}</table>
{{range .Proofs}}<pre>{{.}}</pre>{{end}}
<table>{{range .Service}}<tr><td>{{.Name}}<td>{{.Value}}<td>{{.Note}}</tr>
{{end}}</table>
<p>Troubles are shaded, restarts marked: point at either for its name.</p>
{{range .Plots}}{{.}}
{{end}}</html>
`))
