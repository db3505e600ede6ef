package capacity

import (
	"cmp"
	"fmt"
	"math"
	"strings"
)

// provenance returns the date, the commit and the machine of a run.
func provenance(r Run) string {
	quick := ""
	if r.Quick {
		quick = ", quick: smaller sizes only"
	}
	memoryGB := float64(r.Machine.MemoryMB) / 1024
	return fmt.Sprintf("%s, commit %s, %d cores, %.0f GB, %s%s",
		r.Date, r.Commit, r.Machine.Cores, memoryGB, r.Machine.Go, quick)
}

func rolesSection(t Target, r Run) string {
	var text strings.Builder
	for _, role := range Roles(t, r) {
		fmt.Fprintf(&text, "### %s\n\n", role.Name)
		x := newTable("quantity", "value", "budget", "verdict", "implemented by", "derived from")
		for _, f := range role.Figures {
			x.row(
				f.Name,
				Format(f.Value, f.Unit),
				formatBudget(f),
				f.VerdictText(),
				cmp.Or(f.Mechanism, "nothing"),
				f.Derivation,
			)
		}
		text.WriteString(x.String() + "\n")
	}
	return text.String()
}

func formatBudget(f Figure) string {
	if f.BudgetName == "" {
		return "none"
	}
	return Format(f.Budget, f.Unit) + " (" + f.BudgetName + ")"
}

func outagesSection(t Target, r Run) string {
	x := newTable(
		"outage",
		"unavailable or isolated relays",
		"message rate per remaining relay",
		"CPU per remaining relay",
		"unreachable messages",
		"additional queued messages per isolated relay",
		"disk for these messages",
		"snapshots sent again",
		"time to ready",
		"effect on guarantees to clients",
	)
	formatNonZero := func(value float64, unit Unit) string {
		if value == 0 {
			return ""
		}
		return Format(value, unit)
	}
	for _, o := range Outages(t, r) {
		x.row(
			o.Name,
			Format(o.LostRelays, Count),
			Format(o.MessageRate, Rate),
			Format(o.Cores, Cores),
			formatNonZero(o.UnreachableMessages, Count),
			formatNonZero(o.QueuedMessages, Count),
			formatNonZero(o.QueuedBytes, Bytes),
			formatNonZero(o.SnapshotBytes, Bytes),
			Format(o.StartupTime, Seconds),
			o.Guarantees,
		)
	}
	return x.String()
}

func bottlenecksSection(t Target, d Data) string {
	var text strings.Builder
	for _, program := range []Program{Current, Baseline} {
		r, ok := d.Run(program)
		if !ok {
			continue
		}
		fmt.Fprintf(&text, "Program %q (%s):\n\n", program, provenance(r))
		x := newTable("axis", "target", "limit", "limit relative to target", "effect above the limit", "bottleneck",
			"implemented by", "derived from")
		for _, b := range Bottlenecks(t, r) {
			x.row(
				b.Axis,
				Format(b.Target, Count),
				formatLimit(b),
				formatTargetFraction(b),
				formatEffect(b),
				b.Description,
				cmp.Or(b.Mechanism, "nothing"),
				b.Derivation,
			)
		}
		text.WriteString(x.String() + "\n")
	}
	return text.String()
}

func formatLimit(b Bottleneck) string {
	if math.IsNaN(b.Limit) {
		return "unknown"
	}
	return Format(b.Limit, Count)
}

func formatTargetFraction(b Bottleneck) string {
	switch fraction := b.TargetFraction(); {
	case math.IsNaN(fraction), math.IsInf(fraction, 1):
		return ""
	case fraction >= 10:
		return fmt.Sprintf("%.0f times", fraction)
	default:
		return formatSignificant(100*fraction) + " %"
	}
}

func formatEffect(b Bottleneck) string {
	if math.IsInf(b.Limit, 1) || math.IsNaN(b.Limit) {
		return ""
	}
	return b.Effect.String()
}

func seriesSection(r Run) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s; the last measurement run took %s.\n\n", provenance(r), Format(r.Seconds, Seconds))
	x := newTable("series", "size", "cost at each size", "linear fit", "residual", "notes")
	for _, s := range r.Series {
		line, residual, notes := describeModel(s)
		x.row("`"+s.Name+"`", s.Axis, formatPoints(s), line, residual, notes)
	}
	text.WriteString(x.String())
	return text.String()
}

func formatPoints(s Series) string {
	var points []string
	for _, p := range s.Points {
		value := Format(p.Value, s.Unit)
		if p.Failed {
			value = "failed"
		}
		points = append(points, formatInteger(p.Size)+": "+value)
	}
	return strings.Join(points, "; ")
}

// describeModel returns the fitted line of a series, its residual, and notes on limitations and nonlinearity.
func describeModel(s Series) (line, residual, notes string) {
	var all []string
	if s.Limitations != "" {
		all = append(all, s.Limitations)
	}
	m, err := Fit(s)
	if err != nil {
		return "", "", strings.Join(append(all, err.Error()), "; ")
	}
	if m.Nonlinear() {
		all = append(all, fmt.Sprintf("**nonlinear**: the last three sizes follow a power law with exponent %.2g",
			m.Exponent))
		if m.ExtrapolationReason != "" {
			all = append(all, m.ExtrapolationReason)
		}
	}
	line = fmt.Sprintf("%s + %s per unit of size", Format(m.Intercept, s.Unit), Format(m.Slope, s.Unit))
	return line, fmt.Sprintf("%.1f %%", 100*m.Residual), strings.Join(all, "; ")
}

// programsSection compares the relay and engine series of both programs, at the baseline's sizes.
func programsSection(d Data) string {
	baseline, ok := d.Run(Baseline)
	if !ok {
		return "The program \"before\" was not measured."
	}
	current, ok := d.Run(Current)
	var text strings.Builder
	fmt.Fprintf(&text, "Before: %s.\n", provenance(baseline))
	if ok {
		fmt.Fprintf(&text, "In force: %s.\n\n", provenance(current))
	} else {
		text.WriteString("In force: the same program; no later one was measured yet.\n\n")
	}
	x := newTable("series", "size", "before", "in force")
	for _, s := range baseline.Series {
		if !strings.HasPrefix(s.Name, "relay.") && !strings.HasPrefix(s.Name, "module.") {
			continue
		}
		other, _ := current.series(s.Name)
		for _, p := range s.Points {
			size := formatInteger(p.Size) + " " + s.Axis
			x.row("`"+s.Name+"`", size, formatPoint(p, s.Unit), formatPointAt(other, p.Size, s.Unit))
		}
	}
	text.WriteString(x.String())
	return text.String()
}

func formatPoint(p Point, unit Unit) string {
	if p.Failed {
		return "failed"
	}
	return Format(p.Value, unit)
}

// formatPointAt formats the point of a series at a size, or returns "not measured" if there is none.
func formatPointAt(s Series, size float64, unit Unit) string {
	for _, p := range s.Points {
		if p.Size == size {
			return formatPoint(p, unit)
		}
	}
	return "not measured"
}
