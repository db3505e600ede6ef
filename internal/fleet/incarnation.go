package fleet

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// incarnationFile is the file in the member's folder that holds the generation of its last incarnation.
const incarnationFile = "fleet.life"

// generationBits bounds the size of a stored generation. Members reject generations of more than 63 bits, so that a
// value close to that limit would leave no room for later generations.
const generationBits = 62

// readIncarnation returns the stored generation, or 0 if there is no file. If the file was lost, the other members
// still have reports of earlier incarnations. They send them back, and the member then begins a later incarnation.
func readIncarnation(cfg Config) uint64 {
	data, err := os.ReadFile(filepath.Join(cfg.Folder, incarnationFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0
	}
	generation, parseErr := strconv.ParseUint(strings.TrimSpace(string(data)), 10, generationBits)
	if err = errors.Join(err, parseErr); err != nil {
		cfg.Log.Warn("fleet: incarnation not read", "err", err)
	}
	return generation
}

// writeIncarnation replaces the stored generation.
func writeIncarnation(cfg Config, generation uint64) error {
	path := filepath.Join(cfg.Folder, incarnationFile)
	temporary := path + ".new"
	if err := os.WriteFile(temporary, fmt.Appendf(nil, "%d\n", generation), 0o600); err != nil {
		return fmt.Errorf("fleet: write incarnation: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("fleet: replace incarnation file: %w", err)
	}
	return nil
}
