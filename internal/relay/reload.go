package relay

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
)

const (
	// configOverlap is how long the old and the new settings both apply. Clients change over from 1.2 s after SIGHUP
	// on.
	configOverlap = 1500 * time.Millisecond
	// removedClassGrace is how much longer messages of a removed class are accepted: those that were rejected under it
	// come again.
	removedClassGrace = 10 * time.Second
)

// configChange has the loop apply a configuration, unless one of a later generation came before.
type configChange struct {
	config     reload.Config
	generation int
}

// reloadState is owned by the goroutine that calls Reload.
type reloadState struct {
	latestConfig     reload.Config // taken last; the loop changes over to it in steps
	latestGeneration int           // of latestConfig: changes of an earlier generation are void
}

// Reload applies what may change while the relay runs: the settings and discovery's address, or neither. err says that
// the file could not be read at all. Only one goroutine may call it at a time.
func (r *Relay) Reload(cfg Config, err error) error {
	if err == nil {
		err = reload.Validate(r.latestConfig, cfg.Config)
	}
	if err != nil {
		r.metrics.ReloadErrors.Add(1)
		return fmt.Errorf("relay: the configuration stays as it was: %w", err)
	}
	r.metrics.Reloads.Add(1)
	r.log.Info("configuration applied", "discovery", cfg.DiscoveryAddr, "classes", cfg.ClassNames)
	r.agent.Move(cfg.DiscoveryAddr)
	if reload.Equal(r.latestConfig, cfg.Config) {
		return nil
	}
	r.latestGeneration++
	r.latestConfig = cfg.Config
	r.scheduleConfig(*r.clientConfig.Load(), cfg.Config, r.latestGeneration)
	return nil
}

// scheduleConfig replaces one configuration by another in three steps: one that serves clients of either, the new one
// with the old one's classes, and the new one.
func (r *Relay) scheduleConfig(from, to reload.Config, generation int) {
	r.post(configChange{reload.Transitional(from, to), generation})
	withRemoved := reload.KeepRemovedClasses(from, to)
	time.AfterFunc(configOverlap, func() { r.post(configChange{withRemoved, generation}) })
	time.AfterFunc(configOverlap+removedClassGrace, func() { r.post(configChange{to, generation}) })
}

// changeConfig applies another configuration to the policy and the relay.
func (r *Relay) changeConfig(e configChange) {
	if e.generation < r.activeGeneration {
		return
	}
	r.activeGeneration = e.generation
	if err := r.engine.Reconfigure(e.config.Settings); err != nil {
		r.log.Error("settings rejected", "err", err) // a bug: reload.Validate has asked the policy
		return
	}
	r.recorder.Reconfigured(e.config.Settings)
	r.applyConfig(e.config)
}

// applyConfig applies a configuration to the loop and to the parsing of clients' requests.
func (r *Relay) applyConfig(config reload.Config) {
	for _, class := range config.ClassNames {
		r.metrics.RegisterClass(class)
	}
	r.activeConfig = config
	r.clientConfig.Store(&config)
}
