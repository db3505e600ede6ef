package relay

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// configOverlap is how long after a reload the old and the new settings both apply. Clients switch to the new
	// settings from 1.2 s after SIGHUP on.
	configOverlap = 1500 * time.Millisecond
	// removedClassGrace is how long after configOverlap messages of a removed class are still accepted. Clients submit
	// messages again that were rejected before the class was removed.
	removedClassGrace = 10 * time.Second
)

// configChange has the loop apply a configuration, unless it has already applied one of a later generation.
type configChange struct {
	config     reload.Config
	generation int
}

// reloadState is owned by the goroutine that calls Reload.
type reloadState struct {
	latestConfig     reload.Config // accepted last; the loop switches to it in stages
	latestGeneration int           // of latestConfig; the loop ignores changes of earlier generations
}

// Reload applies what may change while the relay runs: the settings and discovery's address, or neither of them. A
// non-nil err means that the configuration file could not be read: Reload then changes nothing. Only one goroutine may
// call it at a time.
func (r *Relay) Reload(cfg Config, err error) error {
	if err == nil {
		err = reload.Validate(r.latestConfig, cfg.Config)
	}
	if err != nil {
		r.metrics.ReloadErrors.Add(1)
		return fmt.Errorf("relay: the previous configuration stays in force: %w", err)
	}
	r.metrics.Reloads.Add(1)
	r.log.Info("configuration applied", "discovery", cfg.DiscoveryAddr, "classes", cfg.ClassNames)
	r.agent.Move(cfg.DiscoveryAddr)
	if reload.Equal(r.latestConfig, cfg.Config) {
		return nil
	}
	// The loop may not have applied the latest configuration yet, of which clients may use either.
	from := reload.Transitional(*r.clientConfig.Load(), r.latestConfig)
	r.latestGeneration++
	r.latestConfig = cfg.Config
	r.scheduleConfig(from, cfg.Config, r.latestGeneration)
	return nil
}

// scheduleConfig switches from one configuration to another in three stages. First comes a transitional configuration
// for clients that use either of the two, then the new one with the classes that it removes, and last the new one.
func (r *Relay) scheduleConfig(from, to reload.Config, generation int) {
	r.post(configChange{reload.Transitional(from, to), generation})
	r.scheduleEndOfTransition(from, to, generation)
}

// scheduleEndOfTransition schedules the second and the third stage of scheduleConfig.
func (r *Relay) scheduleEndOfTransition(from, to reload.Config, generation int) {
	withRemoved := reload.KeepRemovedClasses(from, to)
	time.AfterFunc(configOverlap, func() { r.post(configChange{withRemoved, generation}) })
	time.AfterFunc(configOverlap+removedClassGrace, func() { r.post(configChange{to, generation}) })
}

// changeConfig applies another configuration to the policy and the relay, unless a later one was already applied.
func (r *Relay) changeConfig(e configChange) {
	if e.generation < r.activeGeneration {
		return
	}
	r.activeGeneration = e.generation
	if err := r.engine.Reconfigure(e.config.Settings); err != nil {
		r.log.Error("policy rejected new settings", "err", err) // a bug: reload.Validate has checked them
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
	r.activeTerms = termsOfClasses(&config.Settings)
	r.clientConfig.Store(&config)
}

// termsOfClasses returns the terms of new messages, by class.
func termsOfClasses(settings *policy.Settings) []policy.MessageTerms {
	terms := make([]policy.MessageTerms, len(settings.Classes))
	for i, class := range settings.Classes {
		terms[i] = policy.MessageTerms{Class: class, MaxAttempts: settings.MaxAttempts}
	}
	return terms
}
