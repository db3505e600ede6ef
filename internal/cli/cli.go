// Package cli runs the command lines of all programs: it parses subcommands and flags, handles --help and --version,
// prints errors to standard error and returns the exit status.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// Exit statuses that are common to all programs.
const (
	OK     = 0
	Failed = 1 // the command failed; some programs use another status for this
	Usage  = 2 // the command line is invalid
)

// Streams holds the standard input, output and error of a command.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Exit is an error whose value becomes the exit status of the program. Run prints no message for it, because the
// command has already printed one.
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

// kongExit is the exit status when kong ends a command line, for example after --help. It is the value of a panic that
// Run recovers from, instead of an exit of the process.
type kongExit int

// Run parses args into app, a pointer to a struct that describes the command line to kong. It calls the Run method of
// the command that args select, which may have a context.Context and a *Streams as parameters. It returns the exit
// status, which is failed for any error of the command but an Exit.
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
		_, _ = fmt.Fprintf(s.Err, "see %s --help\n", name) // see printError
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

// printError writes an error with the program's name. It ignores a failure to write: only the exit status then reports
// the error.
func printError(w io.Writer, name string, err error) {
	_, _ = fmt.Fprintf(w, "%s: %v\n", name, err)
}
