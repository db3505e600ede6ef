package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The parts of the page that are made, each between its markers.
const (
	SectionSummary  = "summary"
	SectionRoles    = "roles"
	SectionFailures = "failures"
	SectionBreaks   = "breaks"
	SectionSlopes   = "slopes"
	SectionPrograms = "programs"
)

// Sections makes the parts of the page from what was measured.
func Sections(t Target, d Data) (map[string]string, error) {
	r, ok := d.Latest()
	if !ok {
		return nil, fmt.Errorf("capacity: nothing was measured")
	}
	return map[string]string{
		SectionSummary: summary(
			t,
			d,
			r,
		), SectionRoles: roles(t, r), SectionFailures: failures(t, r), SectionBreaks: breaks(t, d),
		SectionSlopes: slopes(r), SectionPrograms: programs(d),
	}, nil
}

func marker(section string, end bool) string {
	if end {
		return "<!-- capacity: end of " + section + " -->"
	}
	return "<!-- capacity: " + section + ", made by go run ./cmd/capacity tables -->"
}

// Fill puts the sections between their markers of a page. A page that lacks a pair of markers is an error.
func Fill(page string, sections map[string]string) (string, error) {
	for _, name := range []string{SectionSummary, SectionRoles, SectionFailures, SectionBreaks, SectionSlopes, SectionPrograms} {
		text, ok := sections[name]
		if !ok {
			return "", fmt.Errorf("capacity: no section %s", name)
		}
		begin, end := marker(name, false), marker(name, true)
		before, rest, found := strings.Cut(page, begin)
		_, after, closed := strings.Cut(rest, end)
		if !found || !closed {
			return "", fmt.Errorf("capacity: the page has no %q with %q behind it", begin, end)
		}
		page = before + begin + "\n" + strings.TrimSpace(text) + "\n" + end + after
	}
	return page, nil
}

type table struct {
	strings.Builder
}

func (t *table) row(cells ...string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", "\\|")
	}
	t.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) head(cells ...string) {
	t.row(cells...)
	t.WriteString("|" + strings.Repeat(" --- |", len(cells)) + "\n")
}

func stamp(r Run) string {
	quick := ""
	if r.Quick {
		quick = ", quick: at the smaller sizes alone"
	}
	return fmt.Sprintf(
		"%s, commit %s, %d cores, %.0f GB, %s%s",
		r.Date,
		r.Commit,
		r.Machine.Cores,
		float64(r.Machine.MemoryMB)/1024,
		r.Machine.Go,
		quick,
	)
}

func summary(t Target, d Data, r Run) string {
	var s strings.Builder
	counts := map[Verdict]int{}
	all := 0
	var over, none, unknown []string
	for _, role := range Roles(t, r) {
		for _, f := range role.Figures {
			v := f.Verdict()
			counts[v]++
			all++
			name := strings.ToLower(strings.SplitN(role.Name, " (", 2)[0]) + ", " + f.What
			switch v {
			case Over:
				line := fmt.Sprintf(
					"%s: %s of %s (%s)",
					name,
					Format(f.Value, f.Unit),
					Format(f.Budget, f.Unit),
					strings.ReplaceAll(f.Says(), "*", ""),
				)
				if strings.Contains(f.How, "bends") {
					line += "; the line bends: a coarse figure"
				}
				over = append(over, line)
			case NoMechanism:
				if math.IsNaN(f.Value) {
					none = append(none, name)
				}
			case NotMeasured:
				unknown = append(unknown, name)
			}
		}
	}
	fmt.Fprintf(&s, "Measured: %s (the program %s).\n\n", stamp(r), r.Program)
	found := Breaks(t, r)
	if x, ok := Missing(found); ok {
		fmt.Fprintf(
			&s,
			"**Missing first: %s.** At %s of %s %s (%.2g %% of the target) %s: %s.\n\n",
			mechanism(x),
			Format(x.At, Count),
			exact(x.Target),
			x.Axis,
			100*x.Share(),
			x.What,
			x.Effect,
		)
	} else {
		s.WriteString("**Nothing that was measured breaks below its target.**\n\n")
	}
	if was, ok := d.Run(Before); ok && r.Program != Before {
		if x, ok := Missing(Breaks(t, was)); ok {
			fmt.Fprintf(
				&s,
				"Of the program before (%s) it was %s: at %s of %s %s (%.2g %%) %s: %s.\n\n",
				was.Commit,
				mechanism(x),
				Format(x.At, Count),
				exact(x.Target),
				x.Axis,
				100*x.Share(),
				x.What,
				x.Effect,
			)
		}
	}
	fmt.Fprintf(
		&s,
		"Of %d figures %d are carried, %d over, %d not measured, and %d have no mechanism yet.\n\n",
		all,
		counts[Carried],
		counts[Over],
		counts[NotMeasured],
		counts[NoMechanism],
	)
	t1 := table{}
	t1.head("axis", "target", "first break", "at", "share of the target", "effect")
	for _, axis := range axes(found) {
		for _, x := range found {
			if x.Axis == axis {
				t1.row(axis, Format(x.Target, Count), x.What, at(x), share(x), effect(x))
				break
			}
		}
	}
	s.WriteString(t1.String())
	list := func(title string, items []string) {
		if len(items) > 0 {
			fmt.Fprintf(&s, "\n%s\n", title)
			for _, x := range items {
				fmt.Fprintf(&s, "- %s\n", x)
			}
		}
	}
	list("Over:", over)
	list("Not measured:", unknown)
	list("No mechanism:", none)
	return s.String()
}

func mechanism(x Break) string {
	if x.Mechanism == "" {
		return "a mechanism that there is none of yet"
	}
	return "what carries " + x.Axis + " in " + x.Mechanism
}

func axes(all []Break) (names []string) {
	for _, x := range all {
		if !slices.Contains(names, x.Axis) {
			names = append(names, x.Axis)
		}
	}
	return names
}

func at(x Break) string {
	if math.IsNaN(x.At) {
		return "not known"
	}
	return Format(x.At, Count)
}

func share(x Break) string {
	switch s := x.Share(); {
	case math.IsNaN(s), math.IsInf(s, 1):
		return ""
	case s >= 10:
		return fmt.Sprintf("%.0f times", s)
	default:
		return short(100*s) + " %"
	}
}

func effect(x Break) string {
	if math.IsInf(x.At, 1) || math.IsNaN(x.At) {
		return ""
	}
	return x.Effect.String()
}

func budget(f Figure) string {
	if f.Allowed == "" {
		return "none told"
	}
	return Format(f.Budget, f.Unit) + " (" + f.Allowed + ")"
}

func roles(t Target, r Run) string {
	var s strings.Builder
	for _, role := range Roles(t, r) {
		fmt.Fprintf(&s, "### %s\n\n", role.Name)
		var x table
		x.head("what", "figure", "budget", "verdict", "carried by", "worked out from")
		for _, f := range role.Figures {
			by := f.Mechanism
			if by == "" {
				by = "nothing"
			}
			x.row(f.What, Format(f.Value, f.Unit), budget(f), f.Says(), by, f.How)
		}
		s.WriteString(x.String() + "\n")
	}
	return s.String()
}

func failures(t Target, r Run) string {
	var x table
	x.head(
		"failure",
		"relays away",
		"each other relay takes",
		"its processor",
		"messages out of reach",
		"held more by each",
		"on its disk",
		"lists that come anew",
		"ready after",
		"promises to clients",
	)
	none := func(v float64, u Unit) string {
		if v == 0 {
			return ""
		}
		return Format(v, u)
	}
	for _, f := range Failures(t, r) {
		x.row(
			f.Name,
			Format(f.Away, Count),
			Format(f.Load, Rate),
			Format(f.Cores, Cores),
			none(f.Beyond, Count),
			none(f.Held, Count),
			none(f.Disk, Bytes),
			none(f.Lists, Bytes),
			Format(f.Ready, Seconds),
			f.Promises,
		)
	}
	return x.String()
}

func breaks(t Target, d Data) string {
	var s strings.Builder
	for _, program := range []string{InForce, Before} {
		r, ok := d.Run(program)
		if !ok {
			continue
		}
		fmt.Fprintf(&s, "The program %s (%s):\n\n", program, stamp(r))
		var x table
		x.head("axis", "target", "breaks at", "share of the target", "effect", "what", "carried by", "worked out from")
		for _, b := range Breaks(t, r) {
			x.row(
				b.Axis,
				Format(b.Target, Count),
				at(b),
				share(b),
				effect(b),
				b.What,
				cmpOr(b.Mechanism, "nothing"),
				b.How,
			)
		}
		s.WriteString(x.String() + "\n")
	}
	return s.String()
}

func cmpOr(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

func slopes(r Run) string {
	var s strings.Builder
	fmt.Fprintf(&s, "%s; the last measuring took %s.\n\n", stamp(r), Format(r.Seconds, Seconds))
	var x table
	x.head("series", "over", "readings", "line", "residual", "")
	for _, m := range r.Series {
		var readings []string
		for _, p := range m.Points {
			v := Format(p.Value, m.Unit)
			if p.Stopped {
				v = "stopped"
			}
			readings = append(readings, exact(p.N)+": "+v)
		}
		line, residual, note := "", "", m.Hollow
		if l, err := Fit(m); err != nil {
			note = strings.TrimPrefix(note+"; "+err.Error(), "; ")
		} else {
			line, residual = fmt.Sprintf("%s + %s each", Format(l.Base, m.Unit), Format(l.Slope, m.Unit)), fmt.Sprintf("%.1f %%", 100*l.Residual)
			if l.Bends() {
				note = strings.TrimPrefix(note+"; **bends**: "+fmt.Sprintf("the last three grow by the power %.2g of the size", l.Power)+cmpOr(strings.TrimRight("; "+l.Why, "; "), ""), "; ")
			}
		}
		x.row("`"+m.Name+"`", m.Axis, strings.Join(readings, "; "), line, residual, note)
	}
	s.WriteString(x.String())
	return s.String()
}

// programs shows the program before beside the one in force, where both were measured at a size.
func programs(d Data) string {
	before, ok := d.Run(Before)
	if !ok {
		return "The program before was not measured."
	}
	after, measured := d.Run(InForce)
	var s strings.Builder
	fmt.Fprintf(&s, "Before: %s.\n", stamp(before))
	if measured {
		fmt.Fprintf(&s, "In force: %s.\n\n", stamp(after))
	} else {
		s.WriteString("In force: the same; no other program was measured yet.\n\n")
	}
	var x table
	x.head("series", "size", "before", "in force")
	for _, m := range before.Series {
		if !strings.HasPrefix(m.Name, "relay.") && !strings.HasPrefix(m.Name, "module.") {
			continue
		}
		now, _ := after.series(m.Name)
		for _, p := range m.Points {
			is := "not measured"
			for _, q := range now.Points {
				if q.N == p.N {
					is = reading(q, m.Unit)
				}
			}
			x.row("`"+m.Name+"`", exact(p.N)+" "+m.Axis, reading(p, m.Unit), is)
		}
	}
	s.WriteString(x.String())
	return s.String()
}

func reading(p Point, u Unit) string {
	if p.Stopped {
		return "never"
	}
	return Format(p.Value, u)
}
