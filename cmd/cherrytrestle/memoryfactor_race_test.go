//go:build race

package main

// memoryTimes is how much more memory than its limit a relay of the tests may take: the race detector uses five to ten
// times as much.
const memoryTimes = 10
