package usage

import (
	"runtime"
	"testing"
	"time"
)

// busy loops until the process has used at least the given additional processor time.
func busy(minimum time.Duration) {
	for began := ProcessCPU(); ProcessCPU() < began+minimum; {
		continue
	}
}

func TestProcessCPU(t *testing.T) {
	const used = 20 * time.Millisecond
	began := ProcessCPU()
	busy(used)
	if got := ProcessCPU() - began; got < used {
		t.Errorf("used %v, want at least %v", got, used)
	}
}

func TestThreadCPU(t *testing.T) {
	if got := ThreadCPU(func() { busy(20 * time.Millisecond) }); got <= 0 {
		t.Errorf("a busy thread used %v, want more than 0", got)
	}
	const idle = 50 * time.Millisecond
	if got := ThreadCPU(func() { time.Sleep(idle) }); got >= idle {
		t.Errorf("a thread that slept for %v used %v of processor time", idle, got)
	}
}

func TestMemory(t *testing.T) {
	const size = 8 << 20
	before := Memory().HeapAlloc
	block := make([]byte, size)
	with := Memory().HeapAlloc
	runtime.KeepAlive(block)
	if with < before+size {
		t.Errorf("%d bytes in use after an allocation of %d, before %d", with, size, before)
	}
	if after := Memory().HeapAlloc; after > with-size/2 {
		t.Errorf("%d bytes in use after a release of %d, before %d", after, size, with)
	}
}
