package policy

import (
	"crypto/sha256"
	"embed"
	"encoding/hex"
)

// revisionSize is the number of bytes of the hash that identify a revision.
const revisionSize = 6

// sourceFiles are the source files that affect decisions. Files that only describe the state are left out.
//
//go:embed action.go admission.go call.go capacity.go connect.go deadline.go dispatch.go ejection.go
//go:embed emptylist.go endpoints.go engine.go event.go fleetpacing.go latency.go message.go ordering.go
//go:embed outcome.go pacing.go queue.go quota.go restart.go retry.go scope.go selection.go
//go:embed settings.go slowstart.go suspicion.go terms.go traffic.go
var sourceFiles embed.FS

// Revision returns a hash of the source files that affect decisions. Engines of equal revisions make equal
// decisions, so that a recording can be replayed exactly.
func Revision() string {
	sum := sha256.New()
	entries, _ := sourceFiles.ReadDir(".") // sorted by name; cannot fail
	for _, entry := range entries {
		data, _ := sourceFiles.ReadFile(entry.Name())
		sum.Write(data)
	}
	return hex.EncodeToString(sum.Sum(nil)[:revisionSize])
}
