package main

import (
	"fmt"
	"io"
	"path/filepath"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/rehearsal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/report"
)

type reportCommand struct {
	Dir  string `arg:"" help:"The folder of one run."`
	JSON bool   `name:"json" help:"Print the verdict as JSON, and write no files."`
}

// Run checks the record of a run again and shows the result.
func (c *reportCommand) Run(streams *cli.Streams) error {
	result, err := rehearsal.ReadRecord(c.Dir)
	if err != nil {
		return err
	}
	if c.JSON {
		err = report.JSON(streams.Out, result.Header, result.Verdict)
	} else {
		err = writeReport(streams.Out, c.Dir, result)
	}
	if err != nil {
		return err
	}
	return exitError(exitStatus(result.Verdict))
}

// writeReport writes the report of a run into its folder, and prints it.
func writeReport(stdout io.Writer, dir string, result rehearsal.Result) error {
	if err := report.Write(dir, result.Header, result.Events, result.Verdict); err != nil {
		return err
	}
	if err := report.Text(stdout, result.Header, result.Events, result.Verdict); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "report: %s\n", filepath.Join(dir, report.PageName))
	return err
}
