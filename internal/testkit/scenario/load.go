package scenario

import (
	"embed"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"slices"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/config/stricttoml"
)

const maxFileSize = 1 << 20 // bytes

//go:embed shipped/*.toml
var shipped embed.FS

// Shipped returns the names of the scenarios that are embedded in the program.
func Shipped() []string {
	entries, err := fs.ReadDir(shipped, "shipped")
	if err != nil {
		panic(err) // the folder is embedded in the program
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(entry.Name(), ".toml"))
	}
	return names
}

// Load reads a shipped scenario by its name, or a file by its path, and validates it for a rehearsal with processes.
func Load(name string) (File, error) { return LoadWithin(name, RehearsalBounds) }

// LoadWithin is like Load, but validates the scenario for a runner with the given bounds.
func LoadWithin(name string, bounds Bounds) (File, error) {
	if slices.Contains(Shipped(), name) {
		data, err := fs.ReadFile(shipped, path.Join("shipped", name+".toml"))
		if err != nil {
			return File{}, fmt.Errorf("scenario %s: %w", name, err)
		}
		return ParseWithin(name, data, bounds)
	}
	data, err := readFile(name)
	if err != nil {
		return File{}, err
	}
	return ParseWithin(name, data, bounds)
}

func readFile(name string) (data []byte, err error) {
	file, err := os.Open(name)
	if err != nil {
		if !strings.ContainsAny(name, "/.") {
			return nil, fmt.Errorf("scenario %q: neither shipped (%s) nor a file", name, strings.Join(Shipped(), ", "))
		}
		return nil, fmt.Errorf("scenario: %w", err)
	}
	defer func() { _ = file.Close() }() // opened for reading only: an error loses no data
	data, err = io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	if len(data) > maxFileSize {
		return nil, fmt.Errorf("scenario %s: file is larger than %d bytes", name, maxFileSize)
	}
	return data, nil
}

// Parse decodes a scenario and validates it for a rehearsal with processes. Errors name the file, and the line where it
// is known. One error describes all invalid values.
func Parse(name string, data []byte) (File, error) { return ParseWithin(name, data, RehearsalBounds) }

// ParseWithin is like Parse, but validates the scenario for a runner with the given bounds.
func ParseWithin(name string, data []byte, bounds Bounds) (File, error) {
	var f File
	if err := stricttoml.Decode("scenario "+name, data, &f); err != nil {
		return File{}, err
	}
	f.SetDefaults()
	if err := f.ValidateWithin(bounds); err != nil {
		return File{}, fmt.Errorf("scenario %s: %w", name, err)
	}
	return f, nil
}
