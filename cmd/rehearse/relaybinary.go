package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
)

const (
	relayName    = "cherrytrestle"
	relayPackage = "cherrytrestle.example/cherrytrestle/cmd/cherrytrestle"
)

// relayBinary returns the path of the relay's program: the given one or, if path is empty, the one beside this program,
// else one that relayBinary builds. remove deletes a program that was built.
func relayBinary(ctx context.Context, path string, stderr io.Writer) (binary string, remove func(), err error) {
	if path == "" {
		path = siblingRelay()
	}
	if path == "" {
		return buildRelay(ctx, stderr)
	}
	path, err = filepath.Abs(path)
	if err != nil {
		return "", nil, fmt.Errorf("relay: %w", err)
	}
	info, err := os.Stat(path)
	if err != nil {
		return "", nil, fmt.Errorf("relay: %w", err)
	}
	if info.IsDir() || info.Mode()&0o111 == 0 {
		return "", nil, fmt.Errorf("relay: %s is not an executable file", path)
	}
	return path, func() {}, nil
}

// siblingRelay returns the path of the relay beside this program; "" if there is none.
func siblingRelay() string {
	self, err := os.Executable()
	if err != nil {
		return ""
	}
	path := filepath.Join(filepath.Dir(self), relayName)
	if _, err := os.Stat(path); err != nil {
		return ""
	}
	return path
}

// buildRelay builds the relay from the module in the current folder. It is needed under "go run", where no relay is
// beside this program.
func buildRelay(ctx context.Context, stderr io.Writer) (binary string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "rehearse")
	if err != nil {
		return "", nil, fmt.Errorf("relay: %w", err)
	}
	remove = func() { _ = os.RemoveAll(dir) } // the system also clears its temporary folder
	path := filepath.Join(dir, relayName)
	build := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", path, relayPackage)
	build.Stdout, build.Stderr = stderr, stderr
	if err := build.Run(); err != nil {
		remove()
		return "", nil, fmt.Errorf(
			"there is no relay program beside this one, and building it failed: %w (name one with --relay)", err,
		)
	}
	return path, remove, nil
}
