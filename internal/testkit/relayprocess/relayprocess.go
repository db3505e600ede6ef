// Package relayprocess runs the relay as a process of its own for tests and measurements: its environment, its health,
// and its memory as the kernel counts it.
package relayprocess

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// File and folder names within a relay's folder.
const (
	stateFolder = "state"
	configFile  = "config.json"
)

// Memory fields of the kernel's status file of a process.
const (
	ResidentMemory = "VmRSS"
	PeakMemory     = "VmHWM"
)

// Settings are what a relay process is started with.
type Settings struct {
	Program   string // the binary
	Folder    string // has the relay's configuration and state: ConfigFile and StateFolder
	Addr      string // that the relay listens on
	Discovery string // the address of discovery
}

// StateFolder is the relay's state folder within its folder.
func StateFolder(folder string) string { return filepath.Join(folder, stateFolder) }

// ConfigFile is the relay's configuration file within its folder.
func ConfigFile(folder string) string { return filepath.Join(folder, configFile) }

// Command returns a command for the relay that has not been started. It is killed when ctx is done.
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

// Ready reports whether the relay answers its health check as ready.
func Ready(client *http.Client, addr string) bool {
	response, err := client.Get("http://" + addr + "/_health")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // It was only read: there is nothing to lose.
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
