//go:build !race

package main

// memoryFactor is the multiple of its memory limit that a relay of the tests may use.
const memoryFactor = 1
