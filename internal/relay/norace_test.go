//go:build !race

package relay

// longList is the number of entries in the list of TestDrainAfterLongListTakesEffectInTime.
const longList = 100_000
