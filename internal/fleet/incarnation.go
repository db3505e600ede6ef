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

// incarnationFile holds the generation of the member's last incarnation, in the relay's folder.
const incarnationFile = "fleet.life"

// generationBits bounds a stored generation: a greater one would leave no room for those after it.
const generationBits = 62

// readIncarnation returns the generation of the last incarnation, or 0 if none is known. If there was one, the other
// members report it.
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
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
