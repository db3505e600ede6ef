// Command sockfault is a proxy that injects faults into connections according to rules; see package faultproxy.
//
//	sockfault --target 127.0.0.1:3000 'dir=up match="\r\n\r\n" do=reset'
//
// It prints the address on which it listens and, with --control, the address on which it accepts commands. It ends on
// SIGINT or SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

const about = "Forwards connections to a target and injects faults according to rules."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// app is the command line.
type app struct {
	Version kong.VersionFlag `help:"Print the version and exit."`

	Listen string `default:"127.0.0.1:0" placeholder:"ADDR" help:"Address to listen on."`
	Target string `required:"" placeholder:"ADDR" help:"Address that connections are forwarded to."`

	Control string `placeholder:"PATH|ADDR" help:"Accept commands here: path of a Unix socket, or loopback address."`
	Script  string `placeholder:"FILE" help:"Execute the commands of this file."`
	Seed    uint64 `default:"1" help:"Seed of the random bytes that replace garbled ones."`

	Rule []string `arg:"" optional:"" help:"Rules in force from the start, such as 'dir=up match=x do=reset'."`
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(ctx, "sockfault", about, &app{}, args, cli.Streams{Out: stdout, Err: stderr}, cli.Failed)
}

// Run serves until ctx ends or the control socket or the script fails.
func (a *app) Run(ctx context.Context, streams *cli.Streams) error {
	proxy, err := faultproxy.Start(a.Listen, a.Target, a.Seed)
	if err != nil {
		return err
	}
	defer discard(proxy)
	if err := a.addRules(proxy); err != nil {
		return err
	}
	report(streams.Out, "listening", proxy.Addr())
	ctx, cancel := context.WithCancelCause(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel(nil)
	if a.Control != "" {
		listener, err := listenControl(a.Control)
		if err != nil {
			return err
		}
		report(streams.Out, "control", listener.Addr().String())
		background.Go(func() { cancel(proxy.ServeControl(ctx, listener)) })
	}
	if a.Script != "" {
		script, err := os.Open(a.Script)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { discard(script) }) // also ends a read that is blocked
		background.Go(func() {
			err := proxy.RunScript(ctx, script, func(line, answer string) { report(streams.Out, line+":", answer) })
			if err != nil {
				cancel(fmt.Errorf("%s: %w", a.Script, err))
			}
		})
	}
	<-ctx.Done()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// addRules adds the rules of the command line.
func (a *app) addRules(proxy *faultproxy.Proxy) error {
	for _, text := range a.Rule {
		rule, err := faultproxy.ParseRule(text)
		if err != nil {
			return err
		}
		if _, err := proxy.AddRule(rule); err != nil {
			return err
		}
	}
	return nil
}

// listenControl listens on a Unix socket or a loopback address. Other addresses are rejected, because whoever connects
// can inject faults: only processes on this machine may.
func listenControl(addr string) (net.Listener, error) {
	if strings.Contains(addr, "/") {
		return net.Listen("unix", addr)
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("control: %s is not a loopback address", host)
	}
	return net.Listen("tcp", addr)
}

// report prints a line with a name and a value.
func report(out io.Writer, name, value string) {
	_, _ = fmt.Fprintln(out, name, value) // an error means that nobody reads the output; the proxy continues
}

// discard closes a resource whose result no longer matters.
func discard(closer io.Closer) {
	_ = closer.Close() // nothing depends on the error: the program is ending
}
