//go:build !race

package relay

// longList is how many entries the tests have a long list of.
const longList = 100_000
