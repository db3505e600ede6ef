package capacity

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// pageFile is the page that the sections are generated for.
const pageFile = "../../docs/CAPACITY.md"

func TestSummaryNamesFirstBottlenecks(t *testing.T) {
	for _, want := range []string{
		"First bottleneck of the program \"before\" (x): support for more destinations",
		"**First bottleneck: support for more relays",
	} {
		if summary := exampleSections(t)[SectionSummary]; !strings.Contains(summary, want) {
			t.Errorf("the summary does not contain %q:\n%s", want, summary)
		}
	}
}

// exampleSections returns the sections for a baseline and a current program. The current program lacks the series of
// the baseline's first bottleneck.
func exampleSections(t *testing.T) map[string]string {
	t.Helper()
	target, baseline := roundExample()
	current := baseline
	current.Program = Current
	current.Series = slices.DeleteFunc(slices.Clone(baseline.Series), func(s Series) bool {
		return s.Name == RelayDiscoveryTime
	})
	sections, err := Sections(target, Data{Runs: []Run{baseline, current}})
	if err != nil {
		t.Fatal(err)
	}
	return sections
}

func TestFill(t *testing.T) {
	sections := exampleSections(t)
	blank := "# Title\n"
	for name := range sections {
		blank += "words of " + name + "\n" + beginMarker(name) + "\nold\n" + endMarker(name) + "\n"
	}
	page, err := Fill(blank, sections)
	if err != nil || strings.Contains(page, "old\n") || !strings.Contains(page, "words of breaks") ||
		!strings.Contains(page, "factor of 2**: a relay with a larger member table does not start") {
		t.Fatalf("the page was not filled correctly: %v\n%s", err, page)
	}
	if again, err := Fill(page, sections); err != nil || again != page {
		t.Errorf("filling the page again changes it: %v", err)
	}
	if _, err := Fill(strings.Replace(blank, endMarker(SectionBottlenecks), "", 1), sections); err == nil {
		t.Error("a page without the end marker of a section is accepted")
	}
}

func TestSectionsWithoutData(t *testing.T) {
	target, _ := roundExample()
	if _, err := Sections(target, Data{}); err == nil {
		t.Error("sections were generated without measurements")
	}
}

// docs/CAPACITY.md holds the sections that are generated from docs/capacity.json. The test also changes a measurement
// and expects another page, to show that the comparison detects a page that is out of date.
func TestPageMatchesData(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(dataFile)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	generate := func() string {
		t.Helper()
		sections, err := Sections(Design(), d)
		if err != nil {
			t.Fatal(err)
		}
		filled, err := Fill(string(page), sections)
		if err != nil {
			t.Fatal(err)
		}
		return filled
	}
	if generate() != string(page) {
		t.Error("docs/CAPACITY.md is out of date: run 'go run ./cmd/capacity tables'")
	}
	d.Runs[0].Series[0].Points[0].Value *= 2
	if generate() == string(page) {
		t.Error("another measurement gives the same page: the comparison above proves nothing")
	}
}
