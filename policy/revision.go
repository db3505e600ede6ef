package policy

import (
	"crypto/sha256"
	"embed"
	"encoding/hex"
)

//go:embed action.go admission.go call.go capacity.go connect.go deadline.go dispatch.go ejection.go
//go:embed emptylist.go endpoints.go engine.go event.go fleetpacing.go latency.go message.go ordering.go
//go:embed outcome.go pacing.go queue.go quota.go restart.go retry.go scope.go selection.go
//go:embed settings.go slowstart.go suspicion.go traffic.go
var sourceFiles embed.FS

// Revision names the text of the decisions as built: equal revisions decide alike.
func Revision() string {
	sum := sha256.New()
	files, _ := sourceFiles.ReadDir(".") // sorted; cannot fail
	for _, f := range files {
		data, _ := sourceFiles.ReadFile(f.Name())
		sum.Write(data)
	}
	return hex.EncodeToString(sum.Sum(nil)[:6])
}
