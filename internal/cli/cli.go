// Package cli runs the command lines of all programs: it parses subcommands and flags, answers --help and --version,
// prints errors on standard error and returns the exit status.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// The exit statuses that all programs have in common.
const (
	OK     = 0
	Failed = 1 // a command has failed; some programs use another status for that
	Usage  = 2 // the command line is invalid
)

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Exit is an error that ends a program with this status. Run prints no message for it: the command has printed its own.
type Exit int

func (e Exit) Error() string { return fmt.Sprintf("exit status %d", int(e)) }

// Version returns the version of the program, its revision and the version of Go, as recorded in the build.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version + " " + info.GoVersion
}

// kongExit is the panic by which kong ends a program, for example after --help. Its value is the exit status.
type kongExit int

// Run parses a command line into app, a pointer to a struct in kong's form, and calls the Run method of the command
// that the line selects, which may have a context.Context and a *Streams as parameters. It returns the exit status;
// failed is the one for an error of the command.
func Run(ctx context.Context, name, about string, app any, args []string, s Streams, failed int) (status int) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		exit, ok := recovered.(kongExit)
		if !ok {
			panic(recovered)
		}
		status = int(exit)
	}()
	parser, err := newParser(ctx, name, about, app, &s)
	if err != nil {
		printError(s.Err, name, err)
		return Usage
	}
	command, err := parser.Parse(args)
	if err != nil {
		printError(s.Err, name, err)
		_, _ = fmt.Fprintf(s.Err, "see %s --help\n", name) // as in printError
		return Usage
	}
	err = command.Run()
	if err == nil {
		return OK
	}
	var exit Exit
	if errors.As(err, &exit) {
		return int(exit)
	}
	printError(s.Err, name, err)
	return failed
}

func newParser(ctx context.Context, name, about string, app any, s *Streams) (*kong.Kong, error) {
	return kong.New(
		app,
		kong.Name(name),
		kong.Description(about),
		kong.Writers(s.Out, s.Err),
		kong.UsageOnError(),
		kong.Vars{"version": name + " " + Version()},
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(s),
		kong.Exit(func(code int) { panic(kongExit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}),
	)
}

// printError writes an error of a program. If that fails there is nowhere else to report it: the exit status remains.
func printError(w io.Writer, name string, err error) {
	_, _ = fmt.Fprintf(w, "%s: %v\n", name, err)
}
