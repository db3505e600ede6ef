//go:build !race

package main

// memoryFactor is the factor by which a relay of the tests may exceed its memory limit.
const memoryFactor = 1
