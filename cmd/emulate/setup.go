package main

import (
	"fmt"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// What several commands have in common: the scenarios and mutants that they are given, and the exit status.

// scenarioName names a shipped scenario, or a file.
type scenarioName string

func (n scenarioName) load() (scenario.File, error) {
	return scenario.LoadWithin(string(n), scenario.EmulatorBounds)
}

// mutantName names a mutant. The empty name is the relay as it is.
type mutantName string

// find returns the mutant, or nil for the relay as it is.
func (n mutantName) find() (*emulate.Mutant, error) {
	if n == "" {
		return nil, nil
	}
	mutant := emulate.FindMutant(string(n))
	if mutant == nil {
		var names []string
		for _, m := range emulate.Mutants() {
			names = append(names, m.Name)
		}
		return nil, fmt.Errorf("no mutant %q: one of %s", string(n), strings.Join(names, ", "))
	}
	return mutant, nil
}

// finish ends a command that has printed all its output.
func finish(out *cli.Printer, status int) error {
	if err := out.Err(); err != nil {
		return err
	}
	if status != exitHeld {
		return cli.Exit(status)
	}
	return nil
}

// ruleStatus is the exit status of a command that checked the rules.
func ruleStatus(held bool) int {
	if held {
		return exitHeld
	}
	return exitViolated
}

// resultStatus is the exit status for the result of one run.
func resultStatus(result checker.Result) int {
	switch result.State() {
	case checker.Violated:
		return exitViolated
	case checker.Inconclusive:
		return exitInconclusive
	default:
		return exitHeld
	}
}
