package report

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

const hostsMost = 60 // that have a plot of their own

func newTimeline(h eventlog.Header, events []eventlog.Event) *chart.Timeline {
	length := h.Duration
	if n := len(events); n > 0 {
		length = max(length, events[n-1].At)
	}
	t := chart.NewTimeline(length)
	for _, e := range events {
		switch {
		case e.Kind == eventlog.FaultChanged && e.State == eventlog.StateBegin:
			t.Shades = append(t.Shades, chart.Shade{Name: e.Name, From: e.At, To: t.Length})
		case e.Kind == eventlog.FaultChanged:
			for i := range t.Shades {
				if t.Shades[i].Name == e.Name {
					t.Shades[i].To = e.At
				}
			}
		case e.Kind == eventlog.ProcessChanged && (e.State == eventlog.StateTerm || e.State == eventlog.StateKill || e.State == eventlog.StateUp) && e.At < h.Duration:
			t.Marks = append(t.Marks, chart.Mark{At: e.At, Text: e.Relay + " " + e.State})
		case e.Kind == eventlog.ServiceOverloaded:
			t.Marks = append(t.Marks, chart.Mark{At: e.At, Text: e.Place + " fell over"})
		}
	}
	return t
}

// plots are the charts of a run.
func plots(t *chart.Timeline, h eventlog.Header, events []eventlog.Event) (all []template.HTML) {
	tries := checker.Tries(h, events)
	worth, value, asked := t.Zeros(), t.Zeros(), t.Zeros()
	latencies := make([][]time.Duration, t.Bins)
	for _, a := range tries {
		i := t.At(a.At)
		worth[i], value[i], asked[i] = worth[i]+a.Worth, value[i]+a.Value, asked[i]+1/t.Bin.Seconds()
		if a.Delivered > 0 {
			latencies[i] = append(latencies[i], a.Delivered-a.At)
		}
	}
	service, median, high := t.Zeros(), t.Zeros(), t.Zeros()
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
	all = append(
		all,
		t.Draw(
			chart.Plot{
				Title:  "service",
				Unit:   "by when it was asked for",
				Height: 150,
				Max:    1,
				Series: []chart.Series{
					{Name: "worth delivered over worth asked for", Colour: chart.Green, Values: service},
				},
			},
		),
		t.Draw(
			chart.Plot{
				Title:  "delivered after",
				Unit:   "seconds, by when it was asked for",
				Height: 130,
				Series: []chart.Series{
					{Name: "95 %", Colour: chart.Orange, Values: high},
					{Name: "median", Colour: chart.Blue, Values: median},
				},
			},
		),
		t.Draw(
			chart.Plot{
				Title:  "asked for",
				Unit:   "messages a second",
				Height: 110,
				Series: []chart.Series{{Name: "first tries", Colour: chart.Blue, Values: asked}},
			},
		),
		t.Draw(
			chart.Plot{
				Title:   "calls",
				Unit:    "a second, by outcome",
				Height:  130,
				Stacked: true,
				Series:  outcomes(t, events),
			},
		),
	)
	return append(all, hostPlots(t, events)...)
}

// outcomes counts calls by how they ended.
func outcomes(t *chart.Timeline, events []eventlog.Event) []chart.Series {
	at := map[uint64]int{}
	s := []chart.Series{
		{Name: "delivered", Colour: chart.Green, Values: t.Zeros()},
		{Name: "refused", Colour: chart.Orange, Values: t.Zeros()},
		{Name: "failed", Colour: chart.Red, Values: t.Zeros()},
		{Name: "no answer", Colour: chart.Grey, Values: t.Zeros()},
	}
	for _, e := range events {
		per := 1 / t.Bin.Seconds()
		switch e.Kind {
		case eventlog.CallReceived:
			at[e.Call] = t.At(e.At)
			s[3].Values[at[e.Call]] += per // until it has one
		case eventlog.CallAnswered:
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
			s[3].Values[i] -= per
			s[kind].Values[i] += per
		}
	}
	return s
}

// hosts draws what each host received against what it could do.
func hostPlots(t *chart.Timeline, events []eventlog.Event) (all []template.HTML) {
	type host struct {
		id   string
		dest int
		got  []float64
		able []float64
		now  upstream.WarmUp
		upTo int
	}
	hosts := map[string]*host{}
	var order []*host
	fill := func(h *host, to int) {
		for ; h.upTo < to; h.upTo++ {
			h.able[h.upTo] = h.now.CapacityAt(time.Duration(h.upTo)*t.Bin + t.Bin/2)
		}
	}
	for _, e := range events {
		switch e.Kind {
		case eventlog.CapacityChanged:
			h := hosts[e.Host]
			if h == nil {
				h = &host{id: e.Host, dest: e.Destination, got: t.Zeros(), able: t.Zeros()}
				hosts[e.Host] = h
				order = append(order, h)
			}
			fill(h, t.At(e.At))
			h.now = upstream.WarmUp{StartedAt: e.At, FullCapacity: e.Rate, InitialCapacity: e.Share, Duration: e.For}
		case eventlog.CallReceived:
			if h := hosts[e.Host]; h != nil {
				h.got[t.At(e.At)] += 1 / t.Bin.Seconds()
			}
		}
	}
	slices.SortStableFunc(order, func(a, b *host) int { return cmp.Compare(a.dest, b.dest) })
	for _, h := range order[:min(hostsMost, len(order))] {
		fill(h, t.Bins)
		all = append(all, t.Draw(chart.Plot{
			Title: fmt.Sprintf("%s of destination %d", h.id, h.dest), Unit: "calls a second", Height: 84,
			Series: []chart.Series{
				{Name: "can do", Colour: chart.Grey, Values: h.able},
				{Name: "received", Colour: chart.Blue, Values: h.got},
			},
		}))
	}
	return all
}

// HTML writes one page with all that a run showed. It holds no script and asks for nothing.
func HTML(w io.Writer, h eventlog.Header, events []eventlog.Event, v checker.Verdict) error {
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
			{
				"whole run",
				fmt.Sprintf("%.3f", s.Whole),
				fmt.Sprintf(
					"%d asked for: %d in full, %d in part, %d not delivered",
					s.Offered,
					s.InFull,
					s.InPart,
					s.Undelivered,
				),
			},
			{"worst 10 s", fmt.Sprintf("%.3f", s.Worst10s), fmt.Sprintf("from %v", s.Worst10sAt)},
			{"worst-served customer", fmt.Sprintf("%.3f", s.Worst), s.WorstCustomer + ", within its share"},
			{
				"delivered after",
				fmt.Sprint(round(s.Median)),
				fmt.Sprintf("in the median; %v at 95 %%, %v at 99 %%", round(s.P95), round(s.P99)),
			},
			{
				"hand-ins not taken on",
				fmt.Sprint(s.Refused),
				fmt.Sprintf("refused at the door; %d without an answer", s.Unanswered),
			},
			{"notices", fmt.Sprint(s.Deferred), fmt.Sprintf("deferred; %d failed", s.Failed)},
			{
				"calls",
				fmt.Sprint(s.Calls),
				fmt.Sprintf("%d refused, %d failed, %d without an answer", s.CallsFull, s.CallsFailed, s.CallsMute),
			},
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
` + chart.Style + `
</style>
<h1>{{.Run.Scenario}}</h1>
<p>{{.Summary}}. Seed {{.Run.Seed}}, plan {{.Run.PlanDigest}}, {{.Run.Duration}}, relays {{range .Run.Relays}}{{.}} {{end}}.</p>
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
