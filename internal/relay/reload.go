package relay

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
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
