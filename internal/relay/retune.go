package relay

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/admin"
	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// Clients go by other settings from 1.2 s after SIGHUP on. Until overlapFor both bind.
	overlapFor = 1500 * time.Millisecond
	// A class that is no longer named is taken for so long: what was refused under it comes again.
	droppedFor = 10 * time.Second
	gaugesFor  = 300 * time.Millisecond // longest wait for the loop's own figures
)

type (
	newTerms struct {
		terms reload.Config
		turn  int
	}
	gauges struct{ done chan struct{} } // asks for figures that are up to date
)

// Reload takes on what may change while the relay runs: the settings and discovery's address, or neither. err tells
// that the file could not even be read. It must not be called by two goroutines at once.
func (r *Relay) Reload(cfg Config, err error) error {
	if err == nil {
		err = reload.Validate(r.settled, cfg.Config)
	}
	if err != nil {
		r.figures.ReloadErrors.Add(1)
		return fmt.Errorf("relay: the configuration stays as it was: %w", err)
	}
	r.figures.Reloads.Add(1)
	r.log.Info("configuration taken", "discovery", cfg.Discovery, "classes", cfg.ClassNames)
	r.agent.move(cfg.Discovery)
	if reload.Equal(r.settled, cfg.Config) {
		return nil
	}
	r.turn++
	turn, old, fresh := r.turn, *r.door.Load(), cfg.Config
	r.settled = fresh
	r.change(old, fresh, turn)
	return nil
}

// change has fresh terms take the place of old ones, by way of what binds while clients may go by either.
func (r *Relay) change(old, fresh reload.Config, turn int) {
	r.post(newTerms{reload.Transitional(old, fresh), turn})
	leaving := reload.KeepRemovedClasses(old, fresh)
	time.AfterFunc(overlapFor, func() { r.post(newTerms{leaving, turn}) })
	time.AfterFunc(overlapFor+droppedFor, func() { r.post(newTerms{fresh, turn}) })
}

// reconfigure has other terms hold, unless later ones came meanwhile.
func (r *Relay) reconfigure(e newTerms) {
	if e.turn < r.turnNow {
		return
	}
	r.turnNow = e.turn
	if err := r.sender.Reconfigure(e.terms.Settings); err != nil {
		r.log.Error("settings not taken", "err", err) // terms.Check has asked the module
		return
	}
	r.rec.Reconfigured(e.terms.Settings)
	r.hold(e.terms)
}

// hold has the loop and the door go by terms.
func (r *Relay) hold(t reload.Config) {
	for _, class := range t.ClassNames {
		r.figures.RegisterClass(class)
	}
	r.terms = t
	r.door.Store(&t)
}

// count counts the end of a message.
func (r *Relay) count(m *journal.Message, e metrics.Result) {
	class := m.ClassName
	if class == "" && m.Class >= 0 && m.Class < len(r.terms.ClassNames) {
		class = r.terms.ClassNames[m.Class]
	}
	r.figures.CountResult(class, e)
}

func finalEnd(f journal.FinalAnswer) metrics.Result {
	if f.Retryable {
		return metrics.Rejected
	}
	return metrics.Failed
}

// gauge brings the loop's own figures up to date. A host is avoided while it drains, is skipped, or told to wait.
func (r *Relay) gauge() {
	r.figures.Pending.Store(int64(r.held))
	r.figures.Members.Store(int64(r.catalog.EndpointCount()))
	views, _ := r.sender.Views()
	avoided, now := int64(r.draining), r.now()
	for _, v := range views {
		if v.InService && avoids(v, now) {
			avoided++
		}
	}
	r.figures.UnavailableMembers.Store(avoided)
}

func avoids(v policy.EndpointView, now time.Duration) bool {
	return !v.InService || v.Ejected || now < v.EjectedUntil || now < v.RetryAfterUntil
}

// manage begins to answer on the second address, until the process ends.
func (r *Relay) manage() error {
	l, err := net.Listen("tcp", r.cfg.Second)
	if err != nil {
		return fmt.Errorf("relay: second address: %w", err)
	}
	s := admin.Server{
		Ready:   func() bool { return (r.listed.Load() || r.waiting.Load()) && !r.ending.Load() },
		Metrics: r.writeFigures,
		Log:     r.log,
	}
	if r.fleet != nil {
		s.Fleet = r.fleet.WriteJSON
	}
	go s.Serve(r.second, l)
	return nil
}

// writeFigures asks the loop for its own figures, but does not wait for long: late ones are of no use.
func (r *Relay) writeFigures(w io.Writer) {
	late := time.NewTimer(gaugesFor)
	defer late.Stop()
	g := gauges{make(chan struct{})}
	select {
	case r.events <- g:
		select {
		case <-g.done:
		case <-r.over:
		case <-late.C:
		}
	case <-r.over:
	case <-late.C:
	}
	r.figures.WriteTo(w)
}

// listen listens for clients, on the socket that the platform holds where there is one. That one goes on when this
// process closes its own descriptor of it: connections that are not taken then wait for another process.
func listen(addr, inherited string) (net.Listener, error) {
	if inherited == "" {
		return net.Listen("tcp", addr)
	}
	fd, err := strconv.Atoi(inherited)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("listen: %q is no descriptor", inherited)
	}
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("listen: no descriptor %d", fd)
	}
	defer f.Close() // the listener has its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("listen: descriptor %d: %w", fd, err)
	}
	return l, nil
}
