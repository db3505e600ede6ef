package loadreport

import (
	"cmp"
	"slices"
	"time"
)

// Digest lists the versions of the reports that a table holds, by member. Another member compares it with its own table
// to find the reports that the first table lacks.
type Digest map[string]MemberVersions

// MemberVersions lists the versions of one member's reports.
type MemberVersions struct {
	Incarnation
	Sequences map[int]uint64 // sequence by report number
}

// lacks reports whether a table that holds these versions of a member lacks r, or holds an older version of it.
func (v MemberVersions) lacks(r Report) bool {
	known := v.Incarnation
	order := known.Compare(r.Incarnation)
	return order < 0 || order == 0 && r.Sequence > v.Sequences[r.Number]
}

// Digest returns the versions of all reports that have not expired.
func (t *Table) Digest(now time.Duration) Digest {
	d := Digest{}
	for name, m := range t.members {
		versions := MemberVersions{m.incarnation, make(map[int]uint64, len(m.reports))}
		for number, stored := range m.reports {
			if !stored.expired(now) {
				versions.Sequences[number] = stored.sequence
			}
		}
		d[name] = versions
	}
	return d
}

// MissingFrom returns the reports of t that the table described by a digest lacks, youngest first.
func (t *Table) MissingFrom(now time.Duration, d Digest) (missing []Report) {
	t.Each(now, func(r Report) {
		if versions, ok := d[r.Name]; !ok || versions.lacks(r) {
			missing = append(missing, r)
		}
	})
	slices.SortStableFunc(missing, func(a, b Report) int { return cmp.Compare(a.Age, b.Age) })
	return missing
}
