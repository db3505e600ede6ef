// Package policy makes a sender's decisions: which route a message tries, when it moves on, waits, is refused
// or fails. Its interface stands in api.go; all decisions stand here. The mechanism is a tiered provider
// selector: a message tries the routes of its destination in a fixed order, the first failure rule that
// matches an outcome decides, and a failing route is skipped by later messages until its skip expires.
package policy
