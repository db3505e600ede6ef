package report

import (
	"cmp"
	"fmt"
	"html/template"
	"io"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// pageData is what the page's template shows.
type pageData struct {
	Run        eventlog.Header
	Summary    string
	Rules      []checker.RuleResult
	Paragraphs []string
	Service    []serviceRow
	Plots      []template.HTML
}

// serviceRow is a row of the table with the service that clients got.
type serviceRow struct{ Name, Value, Note string }

// HTML writes the report of a run as one page, without scripts or references to other files.
func HTML(w io.Writer, h eventlog.Header, events []eventlog.Event, result checker.Result) error {
	return pageTemplate.Execute(w, pageData{
		Run:        h,
		Summary:    Summary(result),
		Rules:      result.Rules,
		Paragraphs: paragraphs(events, result),
		Service:    serviceRows(result.Service),
		Plots:      plots(newTimeline(h, events), h, events),
	})
}

// paragraphs returns a text for each violation with its evidence, for each error that makes the run invalid, and for
// each reason why the run is inconclusive.
func paragraphs(events []eventlog.Event, result checker.Result) []string {
	var all []string
	for _, rule := range result.Rules {
		for _, violation := range rule.Violations {
			text := fmt.Sprintf("%v: %s", round(violation.At), violation.Text)
			for _, i := range violation.Evidence[:min(maxEvidence, len(violation.Evidence))] {
				text += fmt.Sprintf("\n  event %d: %s", i, eventLine(events[i]))
			}
			all = append(all, text)
		}
	}
	for _, runError := range result.RunErrors {
		all = append(all, fmt.Sprintf("%v: INVALID RUN: %s", round(runError.At), runError.Text))
	}
	for _, reason := range result.InconclusiveReasons {
		all = append(all, "not judged: "+reason)
	}
	return all
}

// serviceRows returns the table of a run's service, for the text and the page.
func serviceRows(s checker.Service) []serviceRow {
	return []serviceRow{
		{
			Name:  "whole run",
			Value: fmt.Sprintf("%.3f", s.Overall),
			Note: fmt.Sprintf("%d submitted: %d in time, %d late, %d not delivered",
				s.Submitted, s.DeliveredInTime, s.DeliveredLate, s.Undelivered),
		},
		{
			Name:  "worst 10 s",
			Value: fmt.Sprintf("%.3f", s.WorstWindow),
			Note:  fmt.Sprintf("from %v", s.WorstWindowAt),
		},
		{
			Name:  "worst-served customer",
			Value: fmt.Sprintf("%.3f", s.WorstCustomerService),
			Note:  cmp.Or(s.WorstCustomer, "none") + ", within its share",
		},
		{
			Name:  "latency",
			Value: fmt.Sprint(round(s.LatencyP50)),
			Note:  fmt.Sprintf("at the median; %v at 95 %%, %v at 99 %%", round(s.LatencyP95), round(s.LatencyP99)),
		},
		{
			Name:  "submissions refused",
			Value: fmt.Sprint(s.Rejected),
			Note:  fmt.Sprintf("with 429 or 503; %d without an answer", s.Unanswered),
		},
		{
			Name:  "notices",
			Value: fmt.Sprint(s.Deferred),
			Note:  fmt.Sprintf("deferred; %d failed", s.Failed),
		},
		{
			Name:  "calls",
			Value: fmt.Sprint(s.Calls),
			Note: fmt.Sprintf("%d refused, %d failed, %d without an answer",
				s.CallsRejected, s.CallsFailed, s.CallsUnanswered),
		},
	}
}

// pageTemplate has no script and refers to no other file, so that the page can be kept and sent by itself.
var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Run.Scenario}}: {{.Summary}}</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; color: #222; max-width: 980px; margin: 1.5em auto; padding: 0 1em }
table { border-collapse: collapse; margin: .6em 0 1.2em } ` +
	`td, th { padding: .2em .9em .2em 0; text-align: left; vertical-align: top }
.held { color: #2e8b57 } .BROKEN { color: #c0392b; font-weight: bold } .not { color: #8a8f98 }
pre { background: #f6f4f0; padding: .6em; white-space: pre-wrap; overflow-wrap: anywhere; font-size: 12px }
` + chart.Style + `
</style>
<h1>{{.Run.Scenario}}</h1>
<p>{{.Summary}}. Seed {{.Run.Seed}}, plan {{.Run.PlanDigest}}, {{.Run.Duration}}, ` +
	`relays {{range .Run.Relays}}{{.}} {{end}}.</p>
<table><tr><th>rule<th>state<th>checks<th>violations</tr>
{{range .Rules}}<tr><td>{{.Rule}}<td class="{{.State}}">{{.State}}<td>{{.Exercised}}<td>{{.ViolationCount}}</tr>
{{end}}</table>
{{range .Paragraphs}}<pre>{{.}}</pre>{{end}}
<table>{{range .Service}}<tr><td>{{.Name}}<td>{{.Value}}<td>{{.Note}}</tr>
{{end}}</table>
<p>Faults are shaded; restarts and overloads are marked. Hover over one to see its name.</p>
{{range .Plots}}{{.}}
{{end}}</html>
`))
