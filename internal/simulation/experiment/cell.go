package experiment

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cell holds the results of the runs that have the same levels and differ only in their seeds.
type Cell struct {
	Levels  []Level
	Results []Result
}

// Name returns the levels of the cell as text, such as "relays=2 settings.slots=10".
func (c Cell) Name() string { return formatLevels(c.Levels) }

// Values returns the values of a measure in ascending order. It leaves out results with an error.
func (c Cell) Values(measure string) (values []float64) {
	for _, result := range c.Results {
		if value, ok := result.Measures[measure]; ok && result.Error == "" {
			values = append(values, value)
		}
	}
	slices.Sort(values)
	return values
}

// Cells groups results by their levels. It sorts the cells by level, and the results of each cell by seed.
func Cells(results []Result) (cells []Cell) {
	indices := map[string]int{}
	for _, result := range results {
		name := formatLevels(result.Cell)
		i, ok := indices[name]
		if !ok {
			i = len(cells)
			indices[name] = i
			cells = append(cells, Cell{Levels: result.Cell})
		}
		cells[i].Results = append(cells[i].Results, result)
	}
	for _, cell := range cells {
		slices.SortFunc(cell.Results, func(a, b Result) int { return cmp.Compare(a.Seed, b.Seed) })
	}
	slices.SortStableFunc(cells, func(a, b Cell) int { return compareLevels(a.Levels, b.Levels) })
	return cells
}

// compareLevels compares two cells by the first level whose values differ. It compares the values as numbers if
// parseNumber can parse both, and as text otherwise.
func compareLevels(a, b []Level) int {
	for i := range min(len(a), len(b)) {
		if a[i].Value == b[i].Value {
			continue
		}
		numberA, errA := parseNumber(a[i].Value)
		numberB, errB := parseNumber(b[i].Value)
		if errA == nil && errB == nil && numberA != numberB {
			return cmp.Compare(numberA, numberB)
		}
		return strings.Compare(a[i].Value, b[i].Value)
	}
	return len(a) - len(b)
}

// parseNumber parses a number or a duration. It returns a duration in seconds.
func parseNumber(text string) (float64, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return d.Seconds(), nil
	}
	return strconv.ParseFloat(text, 64)
}
