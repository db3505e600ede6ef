//go:build !race

package main

// memoryTimes is how much more memory than its limit a relay of the tests may take.
const memoryTimes = 1
