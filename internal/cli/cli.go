// Package cli is the command line that all programs share: subcommands, --help and --version, errors on standard error
// and exit statuses.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// The exit statuses that all programs share.
const (
	OK     = 0
	Failed = 1 // unless a program says otherwise
	Usage  = 2
)

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Exit is an error that ends a program with this status and says nothing: all has been said.
type Exit int

func (e Exit) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

// Version is the program's, as the tool chain noted it when it was built.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version + " " + info.GoVersion
}

// kongExit is how kong's own end, after --help say, comes back.
type kongExit int

// Run parses a command line into app, a pointer to a struct in kong's form, and runs the command that it names: its
// Run method may take a context.Context and a *Streams. failed is the status after an error of the command.
func Run(ctx context.Context, name, about string, app any, args []string, s Streams, failed int) (status int) {
	defer func() {
		if x := recover(); x != nil {
			code, ok := x.(kongExit)
			if !ok {
				panic(x)
			}
			status = int(code)
		}
	}()
	parser, err := kong.New(
		app,
		kong.Name(name),
		kong.Description(about),
		kong.Writers(s.Out, s.Err),
		kong.UsageOnError(),
		kong.Vars{"version": name + " " + Version()},
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(&s),
		kong.Exit(
			func(code int) { panic(kongExit(code)) },
		),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
	if err != nil {
		fmt.Fprintf(s.Err, "%s: %v\n", name, err)
		return Usage
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(s.Err, "%s: %v\nsee %s --help\n", name, err, name)
		return Usage
	}
	err = command.Run()
	var exit Exit
	switch {
	case err == nil:
		return OK
	case errors.As(err, &exit):
		return int(exit)
	}
	fmt.Fprintf(s.Err, "%s: %v\n", name, err)
	return failed
}
