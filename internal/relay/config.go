package relay

import (
	"cmp"
	"fmt"
	"os"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/operatorfile"
	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Config is the configuration of a relay at its start.
type Config struct {
	Name          string
	Listen        string // the address for clients
	InheritedFD   string // descriptor of the platform's socket, which already listens there; "": none
	AdminListen   string // the management address, for on-call staff and the platform; "": none
	DiscoveryAddr string // the address of service discovery's agent
	StateDir      string // the folder for the journal and other files that outlive the process
	Seed          uint64
	Limits        Limits

	Known        discovery.List   // the last endpoint list of this relay, from the file; may be outdated or empty
	KnownCatalog *catalog.Catalog // holds the list in place of Known if it is too long for the policy; else nil
	KnownErr     error            // why the list is unreadable; Known is then empty, and the list comes from discovery

	// Config holds what a reload may change. Its TenantNames is empty if the site has no tenants.
	reload.Config

	Zones []string
	Kinds []string

	ConnectTimeout   time.Duration
	KeepAlive        time.Duration // how long endpoints keep an idle connection open
	DrainGrace       time.Duration // how long sends to an endpoint may go on after the notice of its drain or removal
	Tick             time.Duration // minimum time between two steps
	AllowHedging     bool          // two attempts of a message may be in flight at once
	LoadReportFields []string      // fields of the endpoints' load reports; empty: there are no reports

	Operator operatorfile.File
	Version  string // version of the program

	// SetHeapLimit sets the limit of the memory that the Go runtime may use, in bytes; nil: the limit is not set.
	SetHeapLimit func(bytes int64)

	// WrapJournalFS wraps the file system of the journal; nil: the file system is used directly.
	WrapJournalFS func(store.FS) store.FS

	unreadableCount int             // number of unreadable entries, if the list is long
	firstUnreadable discovery.Entry // the first unreadable entry
}

// Limits are the resource limits of the relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// memoryBytes returns the limit of the process's memory, in bytes.
func (l Limits) memoryBytes() int64 { return int64(l.MemoryMB * (1 << 20)) }

// Defaults for settings that the configuration leaves out.
const (
	defaultConnectTimeout = time.Second
	defaultKeepAlive      = 15 * time.Second
	defaultDrainGrace     = time.Second
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultDiskMB         = 3
	// defaultDeadline bounds the time to the deadline of a message if its class sets no deadline.
	defaultDeadline = 24 * time.Hour
)

// LoadConfig reads the configuration for the start of a relay from the file that ROUTER_CONFIG names. The other
// ROUTER_ variables override the file.
func LoadConfig(getenv func(string) string) (Config, error) {
	c, err := readConfig(getenv, keepKnown)
	if err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{
		"ROUTER_NAME":         &c.Name,
		"ROUTER_LISTEN":       &c.Listen,
		"ROUTER_DISCOVERY":    &c.DiscoveryAddr,
		"ROUTER_STATE":        &c.StateDir,
		"ROUTER_MANAGEMENT":   &c.AdminListen,
		"ROUTER_INHERITED_FD": &c.InheritedFD,
	} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
	if c.Listen == "" || c.DiscoveryAddr == "" || c.StateDir == "" {
		return Config{}, fmt.Errorf(
			"config: ROUTER_LISTEN (%q), ROUTER_DISCOVERY (%q) and ROUTER_STATE (%q) must all be set",
			c.Listen, c.DiscoveryAddr, c.StateDir,
		)
	}
	return c, nil
}

// ReloadConfig reads the file that ROUTER_CONFIG names again. The file now overrides the other ROUTER_ variables,
// which date from the start of the process. The endpoint list in the file is checked but not kept: discovery has a
// newer one.
func ReloadConfig(getenv func(string) string) (Config, error) {
	c, err := readConfig(getenv, checkKnown)
	if err != nil {
		return Config{}, err
	}
	if c.KnownErr != nil {
		return Config{}, fmt.Errorf("config: %w", c.KnownErr)
	}
	c.DiscoveryAddr = cmp.Or(c.DiscoveryAddr, getenv("ROUTER_DISCOVERY"))
	return c, nil
}

// readConfig reads the file that ROUTER_CONFIG names.
func readConfig(getenv func(string) string, known knownMode) (Config, error) {
	f, err := os.Open(getenv("ROUTER_CONFIG"))
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	defer func() { _ = f.Close() }() // a file that was only read loses nothing if Close fails
	c, err := parseConfigFile(f, known)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// setDefaults sets the defaults for settings that the configuration leaves out.
func (c *Config) setDefaults() {
	setDefault(&c.ConnectTimeout, defaultConnectTimeout)
	setDefault(&c.KeepAlive, defaultKeepAlive)
	setDefault(&c.DrainGrace, defaultDrainGrace)
	setDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	setDefault(&c.Limits.Sockets, defaultSockets)
	setDefault(&c.Limits.DiskMB, defaultDiskMB)
}

func setDefault[T float64 | int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// maxTimeLeft returns the maximum time to the deadline of a message of a class.
func maxTimeLeft(class policy.Class) time.Duration {
	if class.Deadline > 0 {
		return class.Deadline
	}
	return defaultDeadline
}
