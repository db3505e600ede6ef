//go:build race

package main

// memoryFactor is the factor by which a relay of the tests may exceed its memory limit. With the race detector a program
// uses five to ten times as much memory.
const memoryFactor = 10
