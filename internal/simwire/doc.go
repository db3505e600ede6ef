// Package simwire implements the simulator's protocol: text lines in, text lines out. It also maps settings, which the
// simulator and the platform name alike, to those of package policy.
package simwire
