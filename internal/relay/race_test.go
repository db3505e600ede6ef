//go:build race

package relay

// longList is how many entries the tests have a long list of: the race detector makes reading them some ten times
// slower.
const longList = 5_000
