package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// Text writes a result as a table, followed by each violation with its evidence, and a summary.
func Text(w io.Writer, h eventlog.Header, events []eventlog.Event, result checker.Result) error {
	var text textBuilder
	if err := text.addTable(h, result); err != nil {
		return err
	}
	rules := result.Rules
	if views := result.PeerViews; views != nil {
		rules = append(slices.Clip(rules), views.TooFresh, views.Stale)
	}
	for _, rule := range rules {
		text.addViolations(rule, events)
	}
	for _, runError := range result.RunErrors {
		text.addf("\nINVALID RUN at %v: %s\n", round(runError.At), runError.Text)
	}
	for _, reason := range result.InconclusiveReasons {
		text.addf("\nNOT JUDGED: %s\n", reason)
	}
	if result.ClockSteps > 0 {
		text.addf("\nthe wall clock was stepped %d times; no result above depends on it\n", result.ClockSteps)
	}
	text.addf("\n%s\n", Summary(result))
	_, err := io.WriteString(w, text.String())
	return err
}

// Summary returns a result in one line.
func Summary(result checker.Result) string {
	count := map[checker.State]int{}
	for _, rule := range result.Rules {
		count[rule.State]++
	}
	text := "rules:"
	for _, state := range []checker.State{checker.Held, checker.Violated, checker.NotExercised, checker.Inconclusive} {
		if count[state] > 0 {
			text += fmt.Sprintf(" %d %s,", count[state], state)
		}
	}
	if len(result.RunErrors) > 0 {
		text += " INVALID RUN,"
	}
	return fmt.Sprintf("%s service %.3f", text, result.Service.Overall)
}

// textBuilder collects the text of a report. It keeps no error, since writes to a strings.Builder never fail.
type textBuilder struct{ strings.Builder }

func (b *textBuilder) addf(format string, args ...any) {
	_, _ = fmt.Fprintf(&b.Builder, format, args...) // never fails
}

// addTable adds the states of the rules and the figures of the service, in aligned columns.
func (b *textBuilder) addTable(h eventlog.Header, result checker.Result) error {
	var rows textBuilder
	rows.addf("scenario %s, seed %d, plan %s, %v, %d relays\n\n",
		h.Scenario, h.Seed, h.PlanDigest, h.Duration, len(h.Relays))
	for _, rule := range result.Rules {
		detail := fmt.Sprintf("%d checks", rule.Exercised)
		if rule.ViolationCount > 0 {
			detail = fmt.Sprintf("%d violations in %s", rule.ViolationCount, detail)
		}
		rows.addf("%s\t%s\t%s\n", rule.Rule, rule.State, detail)
	}
	rows.addService(result.Service)
	if views := result.PeerViews; views != nil {
		rows.addf("peer views\t%s\t%d recorded, %d of them while cut off or stopped; ",
			views.State(), views.Queried, views.Disconnected)
		rows.addf("%d fresher than possible, %d stale over healthy links\n",
			views.TooFresh.ViolationCount, views.Stale.ViolationCount)
	}
	rows.addf("load lag\t%v\tbehind the plan, at 99 %%\n", round(result.Service.LoadLagP99))

	aligned := tabwriter.NewWriter(&b.Builder, 2, 0, 2, ' ', 0)
	if _, err := io.WriteString(aligned, rows.String()); err != nil {
		return err
	}
	return aligned.Flush()
}

// addService adds the table of the service. The heading is part of its first row.
func (b *textBuilder) addService(s checker.Service) {
	b.addf("\nservice, ")
	for _, row := range serviceRows(s) {
		b.addf("%s\t%s\t%s\n", row.Name, row.Value, row.Note)
	}
}

// addViolations adds the violations of a rule, each with its first maxEvidence events of evidence.
func (b *textBuilder) addViolations(result checker.RuleResult, events []eventlog.Event) {
	for _, violation := range result.Violations {
		b.addf("\nBROKEN at %v: %s\n", round(violation.At), violation.Text)
		for _, i := range violation.Evidence[:min(maxEvidence, len(violation.Evidence))] {
			b.addf("    event %d: %s\n", i, eventLine(events[i]))
		}
		if more := len(violation.Evidence) - maxEvidence; more > 0 {
			b.addf("    and %d more\n", more)
		}
	}
	if more := result.ViolationCount - len(result.Violations); more > 0 {
		b.addf("\n%d more violations of: %s\n", more, result.Rule)
	}
}
