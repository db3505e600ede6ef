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

// allScopes is the value of Write's scope parameter that selects the sums over all scopes, in a row for each bin.
const allScopes = "all"

// tableHeader names the columns: the scope or the bin's start, the scope's limit, and the fields of Counts in order.
const tableHeader = "scope\tlimit/s\taccept\trecover\tcalls\tsent\tbusy\tretry-after\terrors\tok\tlate\treject\tfail\t"

// Write prints a table of the counts in the bins that start at or after from and before to. The table has a row for
// each rate-limit scope or, if a scope is given, a row for each bin. Times are relative to Start. If to is 0, the
// bins up to the last one are included.
func (f *Fleet) Write(w io.Writer, from, to time.Duration, scope string) error {
	rows := f.rows(from, to, scope)
	keys := slices.SortedFunc(maps.Keys(rows), compareKeys)
	if _, err := fmt.Fprintf(w, "%d relays, time 0 is %s\n", f.Relays, f.Start.Format(time.RFC3339)); err != nil {
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

// rows returns the counts for each row of Write's table. The key of a row is its first column.
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
