package main

import (
	"errors"
	"os"
	"path/filepath"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
)

type reportCommand struct {
	File string `arg:"" help:"Results file of an experiment." type:"existingfile"`
	Out  string `help:"File for the HTML page." default:"experiment.html" placeholder:"FILE"`
}

// Run writes an HTML page about the results.
func (c *reportCommand) Run(s *cli.Streams) error {
	results, err := readResults(c.File)
	if err != nil {
		return err
	}
	page, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	err = experiment.WritePage(page, filepath.Base(c.File), results)
	if err := errors.Join(err, page.Close()); err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	out.Printf("page: %s\n", c.Out)
	return finish(out, exitHeld)
}
