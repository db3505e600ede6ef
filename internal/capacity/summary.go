package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

func summarySection(t Target, d Data, r Run) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Measured: %s (program %q).\n\n", provenance(r), r.Program)
	bottlenecks := Bottlenecks(t, r)
	if first, ok := FirstBottleneck(bottlenecks); ok {
		fmt.Fprintf(&text, "**First bottleneck: %s.** Above %s of %s %s (%.2g %% of the target), %s (%s).\n\n",
			describeMechanism(first), Format(first.Limit, Count), formatInteger(first.Target), first.Axis,
			100*first.TargetFraction(), first.Description, first.Effect)
	} else {
		text.WriteString("**No measured limit is below its target.**\n\n")
	}
	text.WriteString(baselineSentence(t, d, r))

	verdicts := countVerdicts(t, r)
	fmt.Fprintf(&text,
		"Of %d quantities, %d are within budget or have none, %d over budget, %d not measured, %d not implemented.\n\n",
		verdicts.figures, verdicts.count[WithinBudget], verdicts.count[BudgetExceeded], verdicts.count[NotMeasured],
		verdicts.count[NoMechanism])
	text.WriteString(axesTable(bottlenecks))
	writeList(&text, "Over budget:", verdicts.exceeded)
	writeList(&text, "Not measured:", verdicts.notMeasured)
	writeList(&text, "Not implemented:", verdicts.noMechanism)
	return text.String()
}

// baselineSentence names the first bottleneck of the baseline. It returns an empty string if r is the run of the
// baseline itself, or if the baseline was not measured or has no bottleneck.
func baselineSentence(t Target, d Data, r Run) string {
	baseline, ok := d.Run(Baseline)
	if !ok || r.Program == Baseline {
		return ""
	}
	first, ok := FirstBottleneck(Bottlenecks(t, baseline))
	if !ok {
		return ""
	}
	return fmt.Sprintf("First bottleneck of the program \"before\" (%s): %s. Above %s of %s %s (%.2g %%), %s (%s).\n\n",
		baseline.Commit, describeMechanism(first), Format(first.Limit, Count), formatInteger(first.Target), first.Axis,
		100*first.TargetFraction(), first.Description, first.Effect)
}

// verdictSummary counts figures by verdict, and lists those that exceed their budget or have no value.
type verdictSummary struct {
	figures                            int
	count                              map[Verdict]int
	exceeded, notMeasured, noMechanism []string
}

func countVerdicts(t Target, r Run) verdictSummary {
	s := verdictSummary{count: map[Verdict]int{}}
	for _, role := range Roles(t, r) {
		roleName, _, _ := strings.Cut(role.Name, " (")
		for _, f := range role.Figures {
			s.add(strings.ToLower(roleName)+", "+f.Name, f)
		}
	}
	return s
}

func (s *verdictSummary) add(name string, f Figure) {
	s.figures++
	s.count[f.Verdict()]++
	switch f.Verdict() {
	case WithinBudget:
	case BudgetExceeded:
		line := fmt.Sprintf("%s: %s, budget %s (%s)", name, Format(f.Value, f.Unit), Format(f.Budget, f.Unit),
			strings.ReplaceAll(f.VerdictText(), "*", ""))
		if strings.Contains(f.Derivation, "nonlinear model") {
			line += "; rough estimate, as the model is nonlinear"
		}
		s.exceeded = append(s.exceeded, line)
	case NotMeasured:
		s.notMeasured = append(s.notMeasured, name)
	case NoMechanism:
		if math.IsNaN(f.Value) {
			s.noMechanism = append(s.noMechanism, name)
		}
	}
}

// axesTable returns a table with the most urgent bottleneck of each axis.
func axesTable(bottlenecks []Bottleneck) string {
	x := newTable("axis", "target", "first bottleneck", "limit", "limit relative to target", "effect above the limit")
	var seen []string
	for _, b := range bottlenecks {
		if slices.Contains(seen, b.Axis) {
			continue
		}
		seen = append(seen, b.Axis)
		x.row(b.Axis, Format(b.Target, Count), b.Description, formatLimit(b), formatTargetFraction(b), formatEffect(b))
	}
	return x.String()
}

func writeList(text *strings.Builder, title string, items []string) {
	if len(items) == 0 {
		return
	}
	fmt.Fprintf(text, "\n%s\n", title)
	for _, item := range items {
		fmt.Fprintf(text, "- %s\n", item)
	}
}

func describeMechanism(b Bottleneck) string {
	if b.Mechanism == noMechanism {
		return "a mechanism that is not implemented yet"
	}
	return "support for more " + b.Axis + " in " + b.Mechanism
}
