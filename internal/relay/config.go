package relay

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/operatorfile"
	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/jsonstream"
	"cherrytrestle.example/cherrytrestle/internal/simwire"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

// maxTick bounds the tick, so that no setting makes clients wait for their answers.
const maxTick = 20 * time.Millisecond

// readBufferSize is how much of a file is read at once, in bytes.
const readBufferSize = 64 << 10

// errTrailing is the error for a file with more than one object in it.
var errTrailing = errors.New("more behind the end")

// Config is all that a relay is told at its start.
type Config struct {
	Name          string
	Listen        string // where clients connect
	InheritedFD   string // the descriptor of a socket that listens there already, which the platform holds; "": none
	AdminListen   string // the second address, for on-call staff and the platform; "": none
	DiscoveryAddr string // address of discovery's agent
	StateDir      string // the folder that outlasts the process
	Seed          uint64
	Limits        Limits
	Known         discovery.List   // hosts as this relay last had them; may be old or empty
	KnownCatalog  *catalog.Catalog // what Known names, if that is too long to be told as a whole; else nil
	KnownErr      error            // why Known could not be read; it is empty then, and discovery is asked
	// what stands in the settings and may change while the relay runs; Customers empty: the site has none
	reload.Config

	Zones []string
	Kinds []string

	ConnectTimeout   time.Duration
	KeepAlive        time.Duration // hosts close a connection that stood idle for so long
	DrainGrace       time.Duration // after a drain or removal was told, sends to its host must have ended; default 1 s
	Tick             time.Duration // the module is asked no more often than this
	AllowHedging     bool          // two attempts of a message may be out at once
	LoadReportFields []string      // fields of the hosts' load reports; empty: none are sent

	Operator        operatorfile.File
	Version         string          // of the program
	unreadable      int             // entries of Long
	firstUnreadable discovery.Entry // the first of them

	// WrapJournalFS is what stands between the journal and the files of its folder; nil: nothing.
	WrapJournalFS func(store.FS) store.FS
}

// Limits are those of the relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// ReloadConfig reads the file that ROUTER_CONFIG names. What stands in it goes before the other ROUTER_ variables:
// these are as old as the process. The list of hosts in it is looked at and not kept: discovery has a newer one.
func ReloadConfig(getenv func(string) string) (Config, error) {
	c, err := readConfig(getenv, false)
	if err != nil {
		return Config{}, err
	}
	if c.KnownErr != nil {
		return Config{}, fmt.Errorf("config: %w", c.KnownErr)
	}
	c.DiscoveryAddr = cmp.Or(c.DiscoveryAddr, getenv("ROUTER_DISCOVERY"))
	return c, nil
}

func readConfig(getenv func(string) string, known bool) (Config, error) {
	f, err := os.Open(getenv("ROUTER_CONFIG"))
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	defer f.Close()
	c, err := scanConfig(f, known)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return c, nil
}

// LoadConfig reads the configuration of a start: the file that ROUTER_CONFIG names; the other ROUTER_ variables go
// before it.
func LoadConfig(getenv func(string) string) (Config, error) {
	c, err := readConfig(getenv, true)
	if err != nil {
		return Config{}, err
	}
	for name, field := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.DiscoveryAddr, "ROUTER_STATE": &c.StateDir,
		"ROUTER_MANAGEMENT": &c.AdminListen, "ROUTER_INHERITED_FD": &c.InheritedFD,
	} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if c.Listen == "" || c.DiscoveryAddr == "" || c.StateDir == "" {
		return Config{}, errors.New("config: ROUTER_LISTEN, ROUTER_DISCOVERY and ROUTER_STATE must be set")
	}
	return c, nil
}

// scanConfig reads a configuration as it comes: its list of hosts may be longer than all that is kept of it. known
// tells whether that is kept, or only looked at.
func scanConfig(src io.ReadSeeker, known bool) (Config, error) {
	rest, at, err := splitKnownEndpoints(src)
	if err != nil {
		return Config{}, err
	}
	c, err := parseSettings(rest)
	if err == nil && at >= 0 {
		// Read last, wherever it stands: its zones and kinds are named by the settings.
		if _, err = src.Seek(at, io.SeekStart); err == nil {
			c.KnownErr = c.readKnownEndpoints(src, known)
		}
	}
	if err != nil {
		return Config{}, err
	}
	c.setDefaults()
	return c, nil
}

// splitKnownEndpoints returns a configuration without its list of hosts, for which true stands, and where that begins,
// just behind its key; -1: there is none.
func splitKnownEndpoints(src io.Reader) (rest []byte, known int64, err error) {
	dec := json.NewDecoder(bufio.NewReaderSize(src, readBufferSize))
	if t, err := dec.Token(); err != nil {
		return nil, 0, err
	} else if t != json.Delim('{') {
		return nil, 0, errors.New("not an object")
	}
	known = -1
	values := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, 0, jsonstream.NoEOF(err)
		}
		key, _ := t.(string)
		var value json.RawMessage
		if !strings.EqualFold(key, "known") {
			err = dec.Decode(&value)
		} else {
			at, first := dec.InputOffset(), json.Token(nil)
			if first, err = jsonstream.SkipValue(dec, func() {}); err == nil && first == nil {
				known = -1
				delete(values, key)
				continue
			}
			known, value = at, json.RawMessage("true")
		}
		if err != nil {
			return nil, 0, jsonstream.NoEOF(err)
		}
		values[key] = value
	}
	if _, err := dec.Token(); err != nil {
		return nil, 0, jsonstream.NoEOF(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, 0, errTrailing
	}
	rest, err = json.Marshal(values)
	return rest, known, err
}

// readKnownEndpoints reads the list of hosts of a configuration, from just behind its key.
func (c *Config) readKnownEndpoints(src io.Reader, keep bool) error {
	from := bufio.NewReaderSize(src, readBufferSize)
	if _, err := from.ReadSlice(':'); err != nil { // blanks at most stand before it
		return fmt.Errorf("known: %w", err)
	}
	var parser *discovery.Parser
	if keep {
		parser = c.parser()
	}
	var head discovery.ListHead
	var short []discovery.Entry
	var long *catalog.Catalog
	err := discovery.NewListReader(from, parser).Next(&head, func(e discovery.Entry) error {
		if long == nil {
			if short = append(short, e); len(short) <= catalog.MaxEagerEndpoints {
				return nil
			}
			long = catalog.New()
			long.BeginSnapshot()
			for _, e := range short {
				c.addKnownEntry(long, e)
			}
			short = nil
			return nil
		}
		c.addKnownEntry(long, e)
		return nil
	})
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	c.Known, c.KnownCatalog = discovery.List{Version: head.Version, Full: head.Full, Entries: short}, long
	return nil
}

// parser reads the entries of discovery's list.
func (c *Config) parser() *discovery.Parser { return &discovery.Parser{Zones: c.Zones, Kinds: c.Kinds} }

// addKnownEntry adds an entry to a long list. One that cannot be read is noted, the first of them with its text.
func (c *Config) addKnownEntry(long *catalog.Catalog, e discovery.Entry) {
	if e.Err == nil {
		long.Upsert(e.Endpoint)
		return
	}
	if c.unreadable++; c.unreadable == 1 {
		c.firstUnreadable = e
	}
}

// namedEntry is an entry of the settings of which the relay goes by the name alone.
type namedEntry struct {
	Name string `json:"name"`
}

// parseSettings reads a configuration but for its list of hosts.
func parseSettings(data []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Second    string          `json:"management"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(data, &file); err != nil {
		return Config{}, err
	}
	// What the relay itself goes by; all decisions' settings are mapped by package wire.
	var own struct {
		Services []namedEntry `json:"services"`
		Realms   []namedEntry `json:"realms"`
		Zones    []string     `json:"zones"`
		Kinds    []string     `json:"kinds"`
		TickMS   float64      `json:"tick_ms"`
		Stats    struct {
			Fields []string `json:"fields"`
			How    string   `json:"how"`
		} `json:"stats"`
		Bounds struct {
			ConnectTimeoutMS float64 `json:"connect_timeout_ms"`
			KeepAliveMS      float64 `json:"keepalive_ms"`
			MayDuplicate     bool    `json:"may_duplicate"`
		} `json:"bounds"`
		Rules struct {
			StopSendingMS float64 `json:"stop_sending_within_ms"`
		} `json:"rules"`
	}
	if err := json.Unmarshal(file.Settings, &own); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	var tree any
	if err := json.Unmarshal(file.Settings, &tree); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	values := map[string]string{}
	flatten(values, "", tree)
	set, err := simwire.Settings(values)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	c := Config{
		Name: file.Name, Listen: file.Listen, AdminListen: file.Second, DiscoveryAddr: file.Discovery, Limits: file.Limits,
		Config: reload.Config{Settings: set, Shape: shape(data)},
		Zones:  own.Zones, Kinds: own.Kinds, AllowHedging: own.Bounds.MayDuplicate,
		ConnectTimeout: millis(own.Bounds.ConnectTimeoutMS), KeepAlive: millis(own.Bounds.KeepAliveMS),
		DrainGrace: millis(own.Rules.StopSendingMS), Tick: min(millis(own.TickMS), maxTick),
	}
	// A seed that is no hexadecimal number still gives random numbers, the same at each start.
	c.Seed, _ = strconv.ParseUint(file.Seed, 16, 64)
	for _, s := range own.Services {
		c.ClassNames = append(c.ClassNames, s.Name)
	}
	for _, r := range own.Realms {
		c.TenantNames = append(c.TenantNames, r.Name)
	}
	if own.Stats.How == "answers" {
		c.LoadReportFields = own.Stats.Fields
	}
	return c, nil
}

// shape is that of a whole file, in which true stands for the list of hosts.
func shape(data []byte) reload.Shape {
	var file map[string]any
	if json.Unmarshal(data, &file) != nil {
		return nil // parseSettings has read it
	}
	values := map[string]string{}
	flatten(values, "", file)
	return reload.ShapeOf(values)
}

// maxTimeLeft is the most time that a message of a class may have.
func maxTimeLeft(class policy.Class) time.Duration {
	if class.Deadline > 0 {
		return class.Deadline
	}
	return 24 * time.Hour
}

// setDefaults fills in what a configuration may leave out.
func (c *Config) setDefaults() {
	setDefault(&c.ConnectTimeout, time.Second)
	setDefault(&c.KeepAlive, 15*time.Second)
	setDefault(&c.DrainGrace, time.Second)
	setDefault(&c.Limits.MemoryMB, 192)
	setDefault(&c.Limits.Sockets, 1024)
	setDefault(&c.Limits.DiskMB, 3)
}

func setDefault[T float64 | int | time.Duration](p *T, v T) {
	if *p <= 0 {
		*p = v
	}
}

// flatten writes nested JSON as the paths and values of the simulator's wire.
func flatten(values map[string]string, path string, x any) {
	switch x := x.(type) {
	case map[string]any:
		for k, v := range x {
			flatten(values, strings.TrimPrefix(path+"."+k, "."), v)
		}
	case []any:
		plain := make([]string, 0, len(x))
		for i, v := range x {
			if _, nested := v.(map[string]any); nested {
				flatten(values, fmt.Sprintf("%s.%d", path, i), v)
				values[path+".count"] = strconv.Itoa(len(x))
			} else {
				plain = append(plain, scalar(v))
			}
		}
		if len(plain) > 0 {
			values[path] = strings.Join(plain, ",")
		}
	case nil:
	default:
		values[path] = scalar(x)
	}
}

func scalar(x any) string {
	if f, ok := x.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(x)
}

func millis(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
