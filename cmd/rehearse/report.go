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
	Dir  string `arg:"" help:"Folder of a run."`
	JSON bool   `name:"json" help:"Print the verdict as JSON and write no files."`
}

// Run checks the record of a run again and prints the report.
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

// writeReport writes the report files into the folder of a run, and prints the text form.
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
