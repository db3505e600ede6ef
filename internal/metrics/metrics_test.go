package metrics

import (
	"strings"
	"sync"
	"testing"
)

func TestWriteTo(t *testing.T) {
	var f Registry
	f.RegisterClass("b")
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			f.CountResult("a", Completed)
			f.CountResult("b", Failed)
			f.UpstreamRequests.Add(2)
			f.WriteTo(&strings.Builder{})
		})
	}
	wg.Wait()
	f.CountResult("a", Rejected)
	f.Pending.Store(14)
	f.ReloadErrors.Add(1)
	var text strings.Builder
	if _, err := f.WriteTo(&text); err != nil {
		t.Fatal(err)
	}
	want := `router.completed.a:100|c
router.rejected.a:1|c
router.failed.a:0|c
router.completed.b:0|c
router.rejected.b:0|c
router.failed.b:100|c
router.upstream_requests:200|c
router.pending:14|g
router.members:0|g
router.members_unavailable:0|g
router.config_reloads:0|c
router.config_reload_errors:1|c
`
	if text.String() != want {
		t.Errorf("%s", text.String())
	}
}
