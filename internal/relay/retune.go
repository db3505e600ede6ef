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
	// Clients go by other settings from 1.2 s after SIGHUP on. Until configOverlap both bind.
	configOverlap = 1500 * time.Millisecond
	// A class that is no longer named is taken for so long: what was refused under it comes again.
	removedClassGrace = 10 * time.Second
	metricsTimeout    = 300 * time.Millisecond // longest wait for the loop's own figures
)

type (
	configChange struct {
		config     reload.Config
		generation int
	}
	metricsRequest struct{ done chan struct{} } // asks for figures that are up to date
)

// Reload takes on what may change while the relay runs: the settings and discovery's address, or neither. err tells
// that the file could not even be read. It must not be called by two goroutines at once.
func (r *Relay) Reload(cfg Config, err error) error {
	if err == nil {
		err = reload.Validate(r.latestConfig, cfg.Config)
	}
	if err != nil {
		r.metrics.ReloadErrors.Add(1)
		return fmt.Errorf("relay: the configuration stays as it was: %w", err)
	}
	r.metrics.Reloads.Add(1)
	r.log.Info("configuration taken", "discovery", cfg.DiscoveryAddr, "classes", cfg.ClassNames)
	r.agent.Move(cfg.DiscoveryAddr)
	if reload.Equal(r.latestConfig, cfg.Config) {
		return nil
	}
	r.latestGeneration++
	turn, old, fresh := r.latestGeneration, *r.clientConfig.Load(), cfg.Config
	r.latestConfig = fresh
	r.scheduleConfig(old, fresh, turn)
	return nil
}

// scheduleConfig has fresh terms take the place of old ones, by way of what binds while clients may go by either.
func (r *Relay) scheduleConfig(old, fresh reload.Config, turn int) {
	r.post(configChange{reload.Transitional(old, fresh), turn})
	leaving := reload.KeepRemovedClasses(old, fresh)
	time.AfterFunc(configOverlap, func() { r.post(configChange{leaving, turn}) })
	time.AfterFunc(configOverlap+removedClassGrace, func() { r.post(configChange{fresh, turn}) })
}

// changeConfig has other terms hold, unless later ones came meanwhile.
func (r *Relay) changeConfig(e configChange) {
	if e.generation < r.activeGeneration {
		return
	}
	r.activeGeneration = e.generation
	if err := r.engine.Reconfigure(e.config.Settings); err != nil {
		r.log.Error("settings not taken", "err", err) // terms.Check has asked the module
		return
	}
	r.recorder.Reconfigured(e.config.Settings)
	r.applyConfig(e.config)
}

// applyConfig has the loop and the door go by terms.
func (r *Relay) applyConfig(t reload.Config) {
	for _, class := range t.ClassNames {
		r.metrics.RegisterClass(class)
	}
	r.activeConfig = t
	r.clientConfig.Store(&t)
}

// countResult counts the end of a message.
func (r *Relay) countResult(m *journal.Message, e metrics.Result) {
	class := m.ClassName
	if class == "" && m.Class >= 0 && m.Class < len(r.activeConfig.ClassNames) {
		class = r.activeConfig.ClassNames[m.Class]
	}
	r.metrics.CountResult(class, e)
}

func finalResult(f journal.FinalAnswer) metrics.Result {
	if f.Retryable {
		return metrics.Rejected
	}
	return metrics.Failed
}

// updateGauges brings the loop's own figures up to date. A host is avoided while it drains, is skipped, or told to
// wait.
func (r *Relay) updateGauges() {
	r.metrics.Pending.Store(int64(r.pending))
	r.metrics.Members.Store(int64(r.catalog.EndpointCount()))
	views, _ := r.engine.Views()
	avoided, now := int64(r.drainingEndpoints), r.now()
	for _, v := range views {
		if v.InService && unavailable(v, now) {
			avoided++
		}
	}
	r.metrics.UnavailableMembers.Store(avoided)
}

func unavailable(v policy.EndpointView, now time.Duration) bool {
	return !v.InService || v.Ejected || now < v.EjectedUntil || now < v.RetryAfterUntil
}

// serveAdmin begins to answer on the second address, until the process ends.
func (r *Relay) serveAdmin() error {
	l, err := net.Listen("tcp", r.cfg.AdminListen)
	if err != nil {
		return fmt.Errorf("relay: second address: %w", err)
	}
	s := admin.Server{
		Ready:   func() bool { return (r.endpointsKnown.Load() || r.awaitingHandover.Load()) && !r.terminating.Load() },
		Metrics: r.writeMetrics,
		Log:     r.log,
	}
	if r.fleet != nil {
		s.Fleet = r.fleet.WriteJSON
	}
	go s.Serve(r.adminCtx, l)
	return nil
}

// writeMetrics asks the loop for its own figures, but does not wait for long: late ones are of no use.
func (r *Relay) writeMetrics(w io.Writer) {
	late := time.NewTimer(metricsTimeout)
	defer late.Stop()
	g := metricsRequest{make(chan struct{})}
	select {
	case r.events <- g:
		select {
		case <-g.done:
		case <-r.loopDone:
		case <-late.C:
		}
	case <-r.loopDone:
	case <-late.C:
	}
	r.metrics.WriteTo(w)
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
