// Package relayprocess runs the relay as a separate process for tests and measurements. It writes the relay's
// configuration, sets its environment, checks its health, builds requests that submit messages, and measures its use of
// memory, processor and disk.
package relayprocess

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// File and folder names within a relay's folder.
const (
	stateFolder = "state"
	configFile  = "config.json"
)

// errNoSchedstat means that /proc has no schedstat files for a process: the kernel does not count processor time by
// thread, or the process does not exist.
var errNoSchedstat = errors.New("/proc has no schedstat files for the threads of the process")

// Fields of /proc/PID/status that Memory can read.
const (
	ResidentMemory = "VmRSS"
	PeakMemory     = "VmHWM"
)

// Settings configure a relay process.
type Settings struct {
	Program   string // path of the binary
	Folder    string // holds the relay's configuration and state: see ConfigFile and StateFolder
	Addr      string // address that the relay listens on
	Discovery string // address of discovery
}

// StateFolder returns the path of the state folder in a relay's folder.
func StateFolder(folder string) string { return filepath.Join(folder, stateFolder) }

// ConfigFile returns the path of the configuration file in a relay's folder.
func ConfigFile(folder string) string { return filepath.Join(folder, configFile) }

// Command returns a command that runs the relay and has not been started. Its process is killed when ctx is done.
func Command(ctx context.Context, s Settings) *exec.Cmd {
	cmd := exec.CommandContext(ctx, s.Program)
	cmd.Env = append(os.Environ(),
		"ROUTER_LISTEN="+s.Addr,
		"ROUTER_DISCOVERY="+s.Discovery,
		"ROUTER_STATE="+StateFolder(s.Folder),
		"ROUTER_CONFIG="+ConfigFile(s.Folder),
	)
	return cmd
}

// Ready reports whether the relay answers its health check with status 200.
func Ready(client *http.Client, addr string) bool {
	response, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the body was only read
	return response.StatusCode == http.StatusOK
}

// Memory returns a memory field of a running process, in bytes.
func Memory(pid int, field string) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("memory of process %d: %w", pid, err)
	}
	for line := range strings.Lines(string(data)) {
		value, ok := strings.CutPrefix(line, field+":")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
		if err != nil {
			return 0, fmt.Errorf("memory of process %d: %w", pid, err)
		}
		return kilobytes * 1024, nil
	}
	return 0, fmt.Errorf("memory of process %d: no field %s", pid, field)
}

// CPU returns the processor time that the present threads of a running process have used.
func CPU(pid int) (time.Duration, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, errors.Join(errNoSchedstat, err)
	}
	var sum time.Duration
	for _, path := range threads {
		used, err := threadCPU(path)
		if err != nil {
			return 0, err
		}
		sum += used
	}
	return sum, nil
}

// threadCPU returns the first field of a schedstat file: the time that a thread has run on a processor, in nanoseconds.
func threadCPU(path string) (time.Duration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) == 0 {
		return 0, fmt.Errorf("%s is empty", path)
	}
	nanoseconds, err := strconv.ParseInt(fields[0], 10, 64)
	return time.Duration(nanoseconds), err
}

// FolderSize returns the size of all regular files in a folder and its subfolders, in bytes. Files that are removed
// during the walk do not count.
func FolderSize(folder string) (float64, error) {
	var size int64
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if path != folder && errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil || !entry.Type().IsRegular() {
			return err
		}
		info, err := entry.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err != nil {
			return err
		}
		size += info.Size()
		return nil
	})
	return float64(size), err
}
