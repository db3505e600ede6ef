// Package simwire implements the protocol between the simulator and the decision engines, in which both sides send
// lines of text. It also converts settings, which have the same names in the simulator and on the platform, to those of
// package policy.
package simwire
