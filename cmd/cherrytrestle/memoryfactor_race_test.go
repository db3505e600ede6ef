//go:build race

package main

// memoryFactor is the multiple of its memory limit that a relay of the tests may use. With the race detector a program
// uses five to ten times as much memory.
const memoryFactor = 10
