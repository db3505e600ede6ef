package relay

import (
	"cmp"
	"errors"
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

// Config is all that a relay is given at its start.
type Config struct {
	Name          string
	Listen        string // the address for clients
	InheritedFD   string // descriptor of the platform's socket that listens there already; "": none
	AdminListen   string // the address for on-call staff and the platform; "": none
	DiscoveryAddr string // the address of service discovery's agent
	StateDir      string // the folder that outlasts the process
	Seed          uint64
	Limits        Limits

	Known        discovery.List   // the endpoint list as this relay last had it; may be old or empty
	KnownCatalog *catalog.Catalog // the list, in place of Known, if it is too long for the policy to hold it; else nil
	KnownErr     error            // why the list is unreadable; it is empty then, and comes from discovery

	// Config holds what a reload may change. Without TenantNames the site has no tenants.
	reload.Config

	Zones []string
	Kinds []string

	ConnectTimeout   time.Duration
	KeepAlive        time.Duration // endpoints close a connection that was idle for so long
	DrainGrace       time.Duration // so long after the news of a drain or removal, sends there must have ended
	Tick             time.Duration // the least time between two steps
	AllowHedging     bool          // two attempts of a message may be in flight at once
	LoadReportFields []string      // fields of the endpoints' load reports; empty: there are none

	Operator operatorfile.File
	Version  string // of the program

	// WrapJournalFS wraps the file system of the journal; nil: it is used as it is.
	WrapJournalFS func(store.FS) store.FS

	unreadable      int             // how many entries of the list are unreadable, if it is long
	firstUnreadable discovery.Entry // the first of them
}

// Limits are those of the relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// What holds if a configuration does not say otherwise.
const (
	defaultConnectTimeout = time.Second
	defaultKeepAlive      = 15 * time.Second
	defaultDrainGrace     = time.Second
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultDiskMB         = 3
	// defaultDeadline is the most time that a message may have if its class sets no deadline.
	defaultDeadline = 24 * time.Hour
)

// LoadConfig reads the configuration at a start: the file that ROUTER_CONFIG names. The other ROUTER_ variables
// override it.
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
		return Config{}, errors.New("config: ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_STATE must be set")
	}
	return c, nil
}

// ReloadConfig reads the file that ROUTER_CONFIG names once more. It overrides the other ROUTER_ variables, which are
// as old as the process. The endpoint list in it is checked and not kept: discovery has a newer one.
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
	defer func() { _ = f.Close() }() // it was only read
	c, err := parseConfigFile(f, known)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// setDefaults fills in what a configuration may leave out.
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

// maxTimeLeft is the most time that a message of a class may have.
func maxTimeLeft(class policy.Class) time.Duration {
	if class.Deadline > 0 {
		return class.Deadline
	}
	return defaultDeadline
}
