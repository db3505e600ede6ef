// Package report tells people what a rehearsal showed: as text, as JSON, and as one page of HTML with plots, which
// needs nothing but itself.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// provedBy is how many events that prove a break are told as text.
const provedBy = 6

// Text writes a verdict as a table.
func Text(w io.Writer, h eventlog.Header, events []eventlog.Event, v checker.Verdict) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintf(
		t,
		"scenario %s, seed %d, plan %s, %v, %d relays\n\n",
		h.Scenario,
		h.Seed,
		h.PlanDigest,
		h.Duration,
		len(h.Relays),
	)
	for _, f := range v.Findings {
		detail := fmt.Sprintf("%d occasions", f.Exercised)
		if f.Count > 0 {
			detail = fmt.Sprintf("%d breaks in %s", f.Count, detail)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", f.Rule, f.State, detail)
	}
	s := v.Service
	fmt.Fprintf(
		t,
		"\nservice, whole run\t%.3f\t%d asked for: %d in full, %d in part, %d not delivered\n",
		s.Whole,
		s.Offered,
		s.InFull,
		s.InPart,
		s.Undelivered,
	)
	fmt.Fprintf(t, "worst 10 s\t%.3f\tfrom %v\n", s.Worst10s, s.Worst10sAt)
	fmt.Fprintf(t, "worst-served customer\t%.3f\t%s, within its share\n", s.Worst, cmp.Or(s.WorstCustomer, "none"))
	fmt.Fprintf(
		t,
		"delivered after\t%v\tin the median; %v at 95 %%, %v at 99 %%\n",
		round(s.Median),
		round(s.P95),
		round(s.P99),
	)
	fmt.Fprintf(t, "hand-ins not taken on\t%d\trefused at the door; %d without an answer\n", s.Refused, s.Unanswered)
	fmt.Fprintf(t, "notices\t%d\tdeferred; %d failed\n", s.Deferred, s.Failed)
	fmt.Fprintf(
		t,
		"calls\t%d\t%d refused, %d failed, %d without an answer\n",
		s.Calls,
		s.CallsFull,
		s.CallsFailed,
		s.CallsMute,
	)
	if b := v.Beliefs; b != nil {
		fmt.Fprintf(
			t,
			"beliefs of the fleet\t%s\t%d asked for, %d of them while cut off or stopped; %d younger than can be, %d not heard over sound links\n",
			b.State(),
			b.Asked,
			b.Apart,
			b.Young.Count,
			b.Deaf.Count,
		)
	}
	fmt.Fprintf(t, "load\t%v\tlate against its plan, at 99 %%\n", round(s.LoadLagP99))
	if err := t.Flush(); err != nil {
		return err
	}
	var b strings.Builder
	findings := v.Findings
	if v.Beliefs != nil {
		findings = append(slices.Clip(findings), v.Beliefs.Young, v.Beliefs.Deaf)
	}
	for _, f := range findings {
		for _, x := range f.Breaks {
			fmt.Fprintf(&b, "\nBROKEN at %v: %s\n", round(x.At), x.Text)
			for _, i := range x.Events[:min(provedBy, len(x.Events))] {
				fmt.Fprintf(&b, "    event %d: %s\n", i, line(events[i]))
			}
			if more := len(x.Events) - provedBy; more > 0 {
				fmt.Fprintf(&b, "    and %d more\n", more)
			}
		}
		if more := f.Count - len(f.Breaks); more > 0 {
			fmt.Fprintf(&b, "\n%d more breaks of: %s\n", more, f.Rule)
		}
	}
	for _, x := range v.Faults {
		fmt.Fprintf(&b, "\nVOID at %v: %s\n", round(x.At), x.Text)
	}
	for _, d := range v.Doubts {
		fmt.Fprintf(&b, "\nNOT JUDGED: %s\n", d)
	}
	if v.Steps > 0 {
		fmt.Fprintf(&b, "\nthe wall clock was stepped %d times; nothing above goes by it\n", v.Steps)
	}
	fmt.Fprintf(&b, "\n%s\n", Summary(v))
	_, err := io.WriteString(w, b.String())
	return err
}

// Summary is a verdict in one line.
func Summary(v checker.Verdict) string {
	n := map[checker.State]int{}
	for _, f := range v.Findings {
		n[f.State]++
	}
	text := "rules:"
	for _, s := range []checker.State{checker.Held, checker.Broken, checker.NotExercised, checker.NotJudged} {
		if n[s] > 0 {
			text += fmt.Sprintf(" %d %s,", n[s], s)
		}
	}
	if len(v.Faults) > 0 {
		text += " VOID,"
	}
	return fmt.Sprintf("%s service %.3f", text, v.Service.Whole)
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// line is an event as the record has it, without what is empty.
func line(e eventlog.Event) string {
	data, err := json.Marshal(e)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// JSON writes a verdict as JSON.
func JSON(w io.Writer, h eventlog.Header, v checker.Verdict) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(struct {
		Header  eventlog.Header `json:"run"`
		Verdict checker.Verdict `json:"verdict"`
		OK      bool            `json:"ok"`
	}{h, v, v.OK()})
}
