package fleetstats

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// allScopes is the scope for which Write prints the sums of all scopes, by bin.
const allScopes = "all"

const tableHeader = "place\ttold/s\ttaken\tresumed\tcalls\tsent\tfull\twaits\tbad\tok\tlate\tdeferred\tfailed\t"

// Write prints the counts between two times as a table: a row for each limit scope or, if a scope is given, a row for
// each bin. If to is 0 the table has everything from the time from on.
func (f *Fleet) Write(w io.Writer, from, to time.Duration, scope string) error {
	rows := f.rows(from, to, scope)
	keys := slices.SortedFunc(maps.Keys(rows), compareKeys)
	if _, err := fmt.Fprintf(w, "%d relays, from %s\n", f.Relays, f.Start.Format(time.RFC3339)); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(table, tableHeader); err != nil {
		return err
	}
	for _, key := range keys {
		c := rows[key]
		_, err := fmt.Fprintf(
			table, "%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			key, f.Limits[key], c.Accepted, c.Recovered, c.Calls, c.Sent, c.Rejected, c.WithRetryAfter,
			c.FailedCalls, c.Delivered, c.Late, c.RejectedMessages, c.FailedMessages,
		)
		if err != nil {
			return err
		}
	}
	return table.Flush()
}

// compareKeys orders short keys before long ones, so that destinations are in the order of their numbers.
func compareKeys(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}

// rows returns the sums of the counts between two times, by the key of their row.
func (f *Fleet) rows(from, to time.Duration, scope string) map[string]*Counts {
	rows := map[string]*Counts{}
	for bin, scopes := range f.Bins {
		at := time.Duration(bin) * f.Bin
		if at < from || to > 0 && at >= to {
			continue
		}
		for name, counts := range scopes {
			key := name
			if scope != "" {
				if name != scope && scope != allScopes {
					continue
				}
				key = fmt.Sprintf("%6.1fs", at.Seconds())
			}
			if rows[key] == nil {
				rows[key] = &Counts{}
			}
			rows[key].add(&counts)
		}
	}
	return rows
}
