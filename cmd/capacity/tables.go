package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/cli"
)

// files are the paths of the stored measurements and of the page whose tables are computed from them.
type files struct {
	Data string `help:"File with the stored measurements." default:"docs/capacity.json" placeholder:"FILE"`
	Page string `help:"Page that contains the tables." default:"docs/CAPACITY.md" placeholder:"FILE"`
}

// load reads the stored measurements. If the file does not exist, there are none.
func (f files) load() (capacity.Data, error) {
	data, err := os.ReadFile(f.Data)
	if errors.Is(err, fs.ErrNotExist) {
		return capacity.Data{}, nil
	}
	if err != nil {
		return capacity.Data{}, err
	}
	d, err := capacity.Parse(data)
	if err != nil {
		return capacity.Data{}, fmt.Errorf("%s: %w", f.Data, err)
	}
	return d, nil
}

// generate returns the current text of the page, and the text with the tables computed from the data.
func (f files) generate(d capacity.Data) (current, generated string, err error) {
	page, err := os.ReadFile(f.Page)
	if err != nil {
		return "", "", err
	}
	sections, err := capacity.Sections(capacity.Design(), d)
	if err != nil {
		return "", "", err
	}
	generated, err = capacity.Fill(string(page), sections)
	return string(page), generated, err
}

type tablesCommand struct {
	files
	Check bool `help:"Write nothing; fail if the tables of the page are not those of the stored data."`
}

// Run writes the tables to the page, or checks that the page has them.
func (c *tablesCommand) Run(s *cli.Streams) error {
	d, err := c.load()
	if err != nil {
		return err
	}
	current, generated, err := c.generate(d)
	switch {
	case err != nil:
		return err
	case current == generated:
		_, err := fmt.Fprintf(s.Out, "%s is up to date with %s\n", c.Page, c.Data)
		return err
	case c.Check:
		return fmt.Errorf("%s is not up to date with %s: run capacity tables", c.Page, c.Data)
	}
	if _, err := fmt.Fprintf(s.Out, "wrote %s\n", c.Page); err != nil {
		return err
	}
	return os.WriteFile(c.Page, []byte(generated), 0o644)
}
