package main

import (
	"errors"
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
)

//nolint:lll // A struct tag is one line.
type compareCommand struct {
	Files      []string `arg:"" help:"Results files of one experiment. Two files are compared as the results of two builds." type:"existingfile"`
	Factor     string   `help:"Factor of which two values are compared, in one results file." placeholder:"PATH"`
	A          string   `help:"First value of the factor."`
	B          string   `help:"Second value of the factor."`
	Confidence float64  `help:"Confidence level of the intervals." default:"0.95"`
}

// The errors of a comparison.
var (
	errConfidence    = errors.New("--confidence must be between 0 and 1")
	errCompareUsage  = errors.New("give two files, or one with --factor, --a and --b")
	errNotComparable = errors.New("nothing to compare: no two results agree in the seed and in all other factors")
)

// Run prints the differences of all measures.
func (c *compareCommand) Run(s *cli.Streams) error {
	if c.Confidence <= 0 || c.Confidence >= 1 {
		return errConfidence
	}
	differences, err := c.differences()
	if err != nil {
		return err
	}
	if len(differences) == 0 {
		return errNotComparable
	}
	out := cli.NewPrinter(s.Out)
	out.Printf("%-13s a       b       b - a    interval of %g\n", "measure", c.Confidence)
	for _, difference := range differences {
		out.Printf("%v\n", difference)
	}
	return finish(out, exitHeld)
}

func (c *compareCommand) differences() ([]experiment.Difference, error) {
	switch {
	case len(c.Files) == 2 && c.Factor == "":
		return c.compareBuilds()
	case len(c.Files) == 1 && c.Factor != "" && c.A != "" && c.B != "":
		return c.compareLevels()
	}
	return nil, errCompareUsage
}

// compareBuilds compares the results of the same runs in two files.
func (c *compareCommand) compareBuilds() ([]experiment.Difference, error) {
	a, errA := readResults(c.Files[0])
	b, errB := readResults(c.Files[1])
	if err := errors.Join(errA, errB); err != nil {
		return nil, err
	}
	if len(a) > 0 && len(b) > 0 && a[0].Plan != b[0].Plan {
		return nil, fmt.Errorf("the results are of different experiments: plan %s and plan %s", a[0].Plan, b[0].Plan)
	}
	return experiment.Compare(a, b, experiment.Result.Key, c.Confidence), nil
}

// compareLevels compares the results of two values of a factor in one file.
func (c *compareCommand) compareLevels() ([]experiment.Difference, error) {
	results, err := readResults(c.Files[0])
	if err != nil {
		return nil, err
	}
	a := experiment.WithLevel(results, c.Factor, c.A)
	b := experiment.WithLevel(results, c.Factor, c.B)
	return experiment.Compare(a, b, experiment.KeyWithoutFactor(c.Factor), c.Confidence), nil
}
