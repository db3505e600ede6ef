package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// Text writes a verdict as a table, followed by the evidence of each violation and a summary.
func Text(w io.Writer, h eventlog.Header, events []eventlog.Event, v checker.Result) error {
	var text textBuilder
	if err := text.addTable(h, v); err != nil {
		return err
	}
	findings := v.Rules
	if v.PeerViews != nil {
		findings = append(slices.Clip(findings), v.PeerViews.TooFresh, v.PeerViews.Stale)
	}
	for _, f := range findings {
		text.addViolations(f, events)
	}
	for _, b := range v.RunErrors {
		text.addf("\nVOID at %v: %s\n", round(b.At), b.Text)
	}
	for _, doubt := range v.InconclusiveReasons {
		text.addf("\nNOT JUDGED: %s\n", doubt)
	}
	if v.ClockSteps > 0 {
		text.addf("\nthe wall clock was stepped %d times; nothing above goes by it\n", v.ClockSteps)
	}
	text.addf("\n%s\n", Summary(v))
	_, err := io.WriteString(w, text.String())
	return err
}

// Summary returns a verdict in one line.
func Summary(v checker.Result) string {
	count := map[checker.State]int{}
	for _, f := range v.Rules {
		count[f.State]++
	}
	text := "rules:"
	for _, state := range []checker.State{checker.Held, checker.Violated, checker.NotExercised, checker.Inconclusive} {
		if count[state] > 0 {
			text += fmt.Sprintf(" %d %s,", count[state], state)
		}
	}
	if len(v.RunErrors) > 0 {
		text += " VOID,"
	}
	return fmt.Sprintf("%s service %.3f", text, v.Service.Overall)
}

// textBuilder collects the text of a report. It keeps no error, since writes to a strings.Builder never fail.
type textBuilder struct{ strings.Builder }

func (b *textBuilder) addf(format string, args ...any) {
	_, _ = fmt.Fprintf(&b.Builder, format, args...) // never fails
}

// addTable adds the findings and the figures of the service, in aligned columns.
func (b *textBuilder) addTable(h eventlog.Header, v checker.Result) error {
	var rows textBuilder
	rows.addf("scenario %s, seed %d, plan %s, %v, %d relays\n\n",
		h.Scenario, h.Seed, h.PlanDigest, h.Duration, len(h.Relays))
	for _, f := range v.Rules {
		detail := fmt.Sprintf("%d occasions", f.Exercised)
		if f.ViolationCount > 0 {
			detail = fmt.Sprintf("%d breaks in %s", f.ViolationCount, detail)
		}
		rows.addf("%s\t%s\t%s\n", f.Rule, f.State, detail)
	}
	rows.addService(v.Service)
	if fleet := v.PeerViews; fleet != nil {
		rows.addf("beliefs of the fleet\t%s\t%d asked for, %d of them while cut off or stopped; ",
			fleet.State(), fleet.Queried, fleet.Disconnected)
		rows.addf("%d younger than can be, %d not heard over sound links\n",
			fleet.TooFresh.ViolationCount, fleet.Stale.ViolationCount)
	}
	rows.addf("load\t%v\tlate against its plan, at 99 %%\n", round(v.Service.LoadLagP99))

	aligned := tabwriter.NewWriter(&b.Builder, 2, 0, 2, ' ', 0)
	if _, err := io.WriteString(aligned, rows.String()); err != nil {
		return err
	}
	return aligned.Flush()
}

func (b *textBuilder) addService(s checker.Service) {
	b.addf("\nservice, whole run\t%.3f\t%d asked for: %d in full, %d in part, %d not delivered\n",
		s.Overall, s.Submitted, s.DeliveredInTime, s.DeliveredLate, s.Undelivered)
	b.addf("worst 10 s\t%.3f\tfrom %v\n", s.WorstWindow, s.WorstWindowAt)
	b.addf("worst-served customer\t%.3f\t%s, within its share\n",
		s.WorstCustomerService, cmp.Or(s.WorstCustomer, "none"))
	b.addf("delivered after\t%v\tin the median; %v at 95 %%, %v at 99 %%\n",
		round(s.LatencyP50), round(s.LatencyP95), round(s.LatencyP99))
	b.addf("hand-ins not taken on\t%d\trefused at the door; %d without an answer\n", s.Rejected, s.Unanswered)
	b.addf("notices\t%d\tdeferred; %d failed\n", s.Deferred, s.Failed)
	b.addf("calls\t%d\t%d refused, %d failed, %d without an answer\n",
		s.Calls, s.CallsRejected, s.CallsFailed, s.CallsUnanswered)
}

// addViolations adds the violations of a rule, each with the first events that show it.
func (b *textBuilder) addViolations(f checker.RuleResult, events []eventlog.Event) {
	for _, violation := range f.Violations {
		b.addf("\nBROKEN at %v: %s\n", round(violation.At), violation.Text)
		for _, i := range violation.Evidence[:min(maxEvidence, len(violation.Evidence))] {
			b.addf("    event %d: %s\n", i, eventLine(events[i]))
		}
		if more := len(violation.Evidence) - maxEvidence; more > 0 {
			b.addf("    and %d more\n", more)
		}
	}
	if more := f.ViolationCount - len(f.Violations); more > 0 {
		b.addf("\n%d more breaks of: %s\n", more, f.Rule)
	}
}
