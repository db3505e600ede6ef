//go:build race

package relay

// longList is the number of entries in the list of TestDrainAfterLongListTakesEffectInTime. It is lower here, because
// the race detector makes reading entries some ten times slower.
const longList = 5_000
