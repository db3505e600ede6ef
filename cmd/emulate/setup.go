package main

import (
	"fmt"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// This file holds what several commands use: the names of scenarios and mutants as arguments, and the exit statuses.

// scenarioName is the name of a shipped scenario, or the path of a scenario file.
type scenarioName string

func (n scenarioName) load() (scenario.File, error) {
	return scenario.LoadWithin(string(n), scenario.EmulatorBounds)
}

// mutantName is the name of a mutant. The empty name stands for the unmodified relay.
type mutantName string

// find returns the mutant, or nil for the unmodified relay.
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
		return nil, fmt.Errorf("no mutant %q; must be one of %s", string(n), strings.Join(names, ", "))
	}
	return mutant, nil
}

// finish returns the result of a command that has printed all its output: an error if printing failed or if the exit
// status is not exitHeld.
func finish(out *cli.Printer, status int) error {
	if err := out.Err(); err != nil {
		return err
	}
	if status != exitHeld {
		return cli.Exit(status)
	}
	return nil
}

// ruleStatus returns the exit status of a command that checked the rules.
func ruleStatus(held bool) int {
	if held {
		return exitHeld
	}
	return exitViolated
}

// resultStatus returns the exit status for the result of one run.
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
