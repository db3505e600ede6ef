package capacity

import (
	"errors"
	"fmt"
	"strings"
)

// The names of the generated sections, as in the markers of docs/CAPACITY.md.
const (
	SectionSummary     = "summary"
	SectionRoles       = "roles"
	SectionOutages     = "failures"
	SectionBottlenecks = "breaks"
	SectionSeries      = "slopes"
	SectionPrograms    = "programs"
)

var errNothingMeasured = errors.New("capacity: nothing was measured")

// sectionNames returns the names of the sections in the order of the page.
func sectionNames() []string {
	return []string{
		SectionSummary, SectionRoles, SectionOutages, SectionBottlenecks, SectionSeries, SectionPrograms,
	}
}

// Sections generates the sections of the page from measurements, by name. It fails if the data has no run.
func Sections(t Target, d Data) (map[string]string, error) {
	r, ok := d.Latest()
	if !ok {
		return nil, errNothingMeasured
	}
	return map[string]string{
		SectionSummary:     summarySection(t, d, r),
		SectionRoles:       rolesSection(t, r),
		SectionOutages:     outagesSection(t, r),
		SectionBottlenecks: bottlenecksSection(t, d),
		SectionSeries:      seriesSection(r),
		SectionPrograms:    programsSection(d),
	}, nil
}

func beginMarker(section string) string {
	return "<!-- capacity: " + section + ", made by go run ./cmd/capacity tables -->"
}

func endMarker(section string) string { return "<!-- capacity: end of " + section + " -->" }

// Fill replaces the text between the markers of each section in a page. It rejects a page that lacks a pair of markers.
func Fill(page string, sections map[string]string) (string, error) {
	for _, name := range sectionNames() {
		text, ok := sections[name]
		if !ok {
			return "", fmt.Errorf("capacity: section %q is missing", name)
		}
		begin, end := beginMarker(name), endMarker(name)
		before, rest, hasBegin := strings.Cut(page, begin)
		_, after, hasEnd := strings.Cut(rest, end)
		if !hasBegin || !hasEnd {
			return "", fmt.Errorf("capacity: the page has no marker %q followed by %q", begin, end)
		}
		page = before + begin + "\n" + strings.TrimSpace(text) + "\n" + end + after
	}
	return page, nil
}

// table is a Markdown table.
type table struct {
	strings.Builder
}

func newTable(columns ...string) *table {
	t := &table{}
	t.row(columns...)
	t.WriteString("|" + strings.Repeat(" --- |", len(columns)) + "\n")
	return t
}

func (t *table) row(cells ...string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", "\\|")
	}
	t.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
