package relay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/relay/jsonstream"
	"cherrytrestle.example/cherrytrestle/internal/simwire"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// maxTick bounds the tick, so that a large setting does not delay the answers to clients.
	maxTick = 20 * time.Millisecond
	// readBufferSize is the size of the buffer for reading a file, in bytes.
	readBufferSize = 64 << 10
	// knownKey is the key of the endpoint list in a configuration file.
	knownKey = "known"
)

// errTrailing reports that a file continues after its object.
var errTrailing = errors.New("unexpected data after the end of the object")

// parseConfigFile reads a configuration file without holding all of the file in memory, because the endpoint list in
// the file may be much longer than the part of it that is kept.
func parseConfigFile(src io.ReadSeeker, known knownMode) (Config, error) {
	settings, knownAt, err := splitKnownEndpoints(src)
	if err != nil {
		return Config{}, err
	}
	c, err := parseSettings(settings)
	if err != nil {
		return Config{}, err
	}
	if knownAt >= 0 {
		// The endpoint list is read last, wherever it stands: its entries refer to zones and kinds of the settings.
		if _, err := src.Seek(knownAt, io.SeekStart); err != nil {
			return Config{}, err
		}
		c.KnownErr = c.readKnownEndpoints(src, known)
	}
	c.setDefaults()
	return c, nil
}

// splitKnownEndpoints returns the configuration with true in place of its endpoint list. knownAt is the offset just
// after the key of the list, or -1 if there is no list.
func splitKnownEndpoints(src io.Reader) (settings []byte, knownAt int64, err error) {
	dec := json.NewDecoder(bufio.NewReaderSize(src, readBufferSize))
	t, err := dec.Token()
	if err != nil {
		return nil, 0, err
	}
	if t != json.Delim('{') {
		return nil, 0, fmt.Errorf("the file begins with %v, want an object", t)
	}
	knownAt = -1
	values := map[string]json.RawMessage{}
	for dec.More() {
		t, err := dec.Token()
		if err != nil {
			return nil, 0, jsonstream.NoEOF(err)
		}
		key, _ := t.(string)
		if strings.EqualFold(key, knownKey) {
			knownAt, err = skipKnownEndpoints(dec, key, values)
		} else {
			err = decodeValue(dec, key, values)
		}
		if err != nil {
			return nil, 0, jsonstream.NoEOF(err)
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, 0, jsonstream.NoEOF(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, 0, errTrailing
	}
	settings, err = json.Marshal(values)
	return settings, knownAt, err
}

// decodeValue reads the value of a key into values.
func decodeValue(dec *json.Decoder, key string, values map[string]json.RawMessage) error {
	var value json.RawMessage
	err := dec.Decode(&value)
	if err == nil {
		values[key] = value
	}
	return err
}

// skipKnownEndpoints reads past the endpoint list, puts true in its place into values, and returns the offset of the
// list; -1 if the list is null.
func skipKnownEndpoints(dec *json.Decoder, key string, values map[string]json.RawMessage) (at int64, err error) {
	at = dec.InputOffset()
	first, err := jsonstream.SkipValue(dec, func() {})
	if err != nil {
		return -1, err
	}
	if first == nil {
		delete(values, key)
		return -1, nil
	}
	values[key] = json.RawMessage("true")
	return at, nil
}

// configFile is the format of a configuration file, without the endpoint list.
type configFile struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Discovery   string          `json:"discovery"`
	Seed        string          `json:"seed"`
	Limits      Limits          `json:"limits"`
	AdminListen string          `json:"management"`
	Settings    json.RawMessage `json:"settings"`
}

// relaySettings are the settings that the relay itself uses. Package simwire maps those of the policy.
type relaySettings struct {
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

// namedEntry is an entry of the settings of which the relay uses only the name.
type namedEntry struct {
	Name string `json:"name"`
}

// statsInAnswers is the value of the setting stats.how if endpoints send load reports in their answers.
const statsInAnswers = "answers"

// parseSettings reads a configuration without its endpoint list.
func parseSettings(data []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(data, &file); err != nil {
		return Config{}, err
	}
	var own relaySettings
	if err := json.Unmarshal(file.Settings, &own); err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	settings, err := policySettings(file.Settings)
	if err != nil {
		return Config{}, fmt.Errorf("settings: %w", err)
	}
	c := Config{
		Name:           file.Name,
		Listen:         file.Listen,
		AdminListen:    file.AdminListen,
		DiscoveryAddr:  file.Discovery,
		Limits:         file.Limits,
		Config:         reload.Config{Settings: settings, Shape: shapeOf(data)},
		Zones:          own.Zones,
		Kinds:          own.Kinds,
		AllowHedging:   own.Bounds.MayDuplicate,
		ConnectTimeout: milliseconds(own.Bounds.ConnectTimeoutMS),
		KeepAlive:      milliseconds(own.Bounds.KeepAliveMS),
		DrainGrace:     milliseconds(own.Rules.StopSendingMS),
		Tick:           min(milliseconds(own.TickMS), maxTick),
	}
	// An invalid seed is not an error: ParseUint returns a fixed value for it, with which the random numbers are the
	// same at each start.
	c.Seed, _ = strconv.ParseUint(file.Seed, 16, 64)
	for _, service := range own.Services {
		c.ClassNames = append(c.ClassNames, service.Name)
	}
	for _, realm := range own.Realms {
		c.TenantNames = append(c.TenantNames, realm.Name)
	}
	if own.Stats.How == statsInAnswers {
		c.LoadReportFields = own.Stats.Fields
	}
	return c, nil
}

// policySettings maps settings to those of the policy. It first flattens them to the form in which the simulator
// sends settings, which simwire reads.
func policySettings(data []byte) (policy.Settings, error) {
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return policy.Settings{}, err
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return simwire.Settings(values)
}

// shapeOf returns the shape of a file that has true in place of the endpoint list.
func shapeOf(data []byte) reload.Shape {
	var file map[string]any
	if json.Unmarshal(data, &file) != nil {
		return nil // cannot happen: parseSettings has parsed the same data
	}
	values := map[string]string{}
	flatten(values, "", file)
	return reload.ShapeOf(values)
}

// flatten adds nested JSON to values, under the paths that the simulator uses.
func flatten(values map[string]string, path string, x any) {
	switch x := x.(type) {
	case map[string]any:
		for key, value := range x {
			flatten(values, strings.TrimPrefix(path+"."+key, "."), value)
		}
	case []any:
		flattenArray(values, path, x)
	case nil:
	default:
		values[path] = scalar(x)
	}
}

// flattenArray adds an array to values: objects under their indexes, with the length of the array as "count", and all
// other elements as one comma-separated list.
func flattenArray(values map[string]string, path string, array []any) {
	scalars := make([]string, 0, len(array))
	for i, element := range array {
		if _, nested := element.(map[string]any); nested {
			flatten(values, fmt.Sprintf("%s.%d", path, i), element)
			values[path+".count"] = strconv.Itoa(len(array))
		} else {
			scalars = append(scalars, scalar(element))
		}
	}
	if len(scalars) > 0 {
		values[path] = strings.Join(scalars, ",")
	}
}

// scalar formats a value that is neither an object nor an array.
func scalar(x any) string {
	if f, ok := x.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(x)
}

func milliseconds(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
