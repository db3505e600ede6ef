package rehearsal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// olderStateName is the name of the folder with a copy of the relay's state folder as it was after the first start.
const olderStateName = "state.older"

// saveOlderState copies the present state folder, so that a restart with StateFolderOlder can use the copy.
func (r *relay) saveOlderState() error {
	return copyFiles(stateDir(r.dir), filepath.Join(r.dir, olderStateName))
}

// replaceState replaces the state folder that the last process left, unless the folder is kept.
func (r *relay) replaceState(folder scenario.StateFolder) error {
	state := stateDir(r.dir)
	switch folder {
	case scenario.StateFolderRemoved:
		return errors.Join(os.RemoveAll(state), os.MkdirAll(state, 0o700))
	case scenario.StateFolderOlder:
		return errors.Join(os.RemoveAll(state), copyFiles(filepath.Join(r.dir, olderStateName), state))
	default:
		return nil
	}
}

// copyFiles copies the regular files of a folder to another, without subfolders.
func copyFiles(from, to string) error {
	entries, err := os.ReadDir(from)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	for _, entry := range entries {
		if !entry.Type().IsRegular() {
			continue
		}
		data, err := os.ReadFile(filepath.Join(from, entry.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, entry.Name()), data, 0o600)
		}
		if err != nil {
			return fmt.Errorf("rehearsal: %w", err)
		}
	}
	return nil
}
