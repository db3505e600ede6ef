package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

func summarySection(t Target, d Data, r Run) string {
	var text strings.Builder
	fmt.Fprintf(&text, "Measured: %s (the program %s).\n\n", provenance(r), r.Program)
	bottlenecks := Bottlenecks(t, r)
	if first, ok := FirstBottleneck(bottlenecks); ok {
		fmt.Fprintf(&text, "**Missing first: %s.** At %s of %s %s (%.2g %% of the target) %s: %s.\n\n",
			missingMechanism(first), Format(first.Limit, Count), formatInteger(first.Target), first.Axis,
			100*first.TargetFraction(), first.Description, first.Effect)
	} else {
		text.WriteString("**Nothing that was measured breaks below its target.**\n\n")
	}
	text.WriteString(baselineSentence(t, d, r))

	verdicts := countVerdicts(t, r)
	fmt.Fprintf(&text, "Of %d figures %d are carried, %d over, %d not measured, and %d have no mechanism yet.\n\n",
		verdicts.figures, verdicts.count[WithinBudget], verdicts.count[BudgetExceeded], verdicts.count[NotMeasured],
		verdicts.count[NoMechanism])
	text.WriteString(axesTable(bottlenecks))
	writeList(&text, "Over:", verdicts.exceeded)
	writeList(&text, "Not measured:", verdicts.notMeasured)
	writeList(&text, "No mechanism:", verdicts.noMechanism)
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
	return fmt.Sprintf("Of the program before (%s) it was %s: at %s of %s %s (%.2g %%) %s: %s.\n\n",
		baseline.Commit, missingMechanism(first), Format(first.Limit, Count), formatInteger(first.Target), first.Axis,
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
		line := fmt.Sprintf("%s: %s of %s (%s)", name, Format(f.Value, f.Unit), Format(f.Budget, f.Unit),
			strings.ReplaceAll(f.VerdictText(), "*", ""))
		if strings.Contains(f.Derivation, "bends") {
			line += "; the line bends: a coarse figure"
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
	x := newTable("axis", "target", "first break", "at", "share of the target", "effect")
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

func missingMechanism(b Bottleneck) string {
	if b.Mechanism == noMechanism {
		return "a mechanism that there is none of yet"
	}
	return "what carries " + b.Axis + " in " + b.Mechanism
}
