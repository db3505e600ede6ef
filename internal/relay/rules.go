package relay

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
)

// rulesSaveRetryInterval is the time after which rules that could not be saved are saved again.
const rulesSaveRetryInterval = 250 * time.Millisecond

// rulesState controls how the rules for new messages are saved in the journal. The next process needs them if this one
// is killed soon after a reload: clients then use the rules of before the reload for some time.
type rulesState struct {
	saved    reload.Rules // the rules that the journal holds
	nextSave time.Time    // the earliest time of the next save
}

// continueFromRules begins the transition from the rules of an earlier process to those of this process's
// configuration, if they differ. data is what the earlier process saved; it is empty if there was none or if it was of
// an earlier version.
func (r *Relay) continueFromRules(data []byte) {
	if len(data) == 0 {
		return
	}
	rules, err := reload.DecodeRules(data)
	if err != nil {
		r.log.Warn("rules of the earlier process unreadable", "err", err)
		return
	}
	r.rules.saved = rules
	r.continueFrom(rules.In(r.activeConfig))
}

// continueFrom begins the transition from the configuration of an earlier process to that of this process, if their
// rules for new messages differ. The transitional configuration applies at once.
func (r *Relay) continueFrom(earlier reload.Config) {
	if reload.RulesOf(earlier).Equal(reload.RulesOf(r.cfg.Config)) {
		return
	}
	r.log.Info("the earlier process had other rules for new messages", "classes", earlier.ClassNames,
		"own", r.cfg.ClassNames)
	r.changeConfig(configChange{config: reload.Transitional(earlier, r.cfg.Config)})
	r.scheduleEndOfTransition(earlier, r.cfg.Config, 0)
}

// saveRules writes the rules for new messages to the journal if they have changed. If there is no room, it tries again
// later: until then, the next process continues from the rules that were saved before.
func (r *Relay) saveRules() {
	rules := reload.RulesOf(r.activeConfig)
	if rules.Equal(r.rules.saved) {
		return
	}
	now := time.Now()
	if now.Before(r.rules.nextSave) {
		return
	}
	r.rules.nextSave = now.Add(rulesSaveRetryInterval)
	data, err := rules.Encode()
	if err == nil {
		err = r.journal.SaveRules(data)
	}
	if err != nil {
		r.log.Debug("rules for new messages not saved", "err", err)
		r.requestStepAfter(rulesSaveRetryInterval)
		return
	}
	r.rules = rulesState{saved: rules}
}
