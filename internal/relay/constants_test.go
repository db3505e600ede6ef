package relay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// What stands behind each constant of this package, of herd and of policy: no settings tell of it. One that stands in
// for something that they tell comes from them, and has no place here.
var behindConstants = map[string][]string{
	"the protocol's pages, the same for every customer": {
		"relay.bodyMost", "relay.requestFor", "relay.lastFor", "relay.shutdownAcceptTime", "relay.shutdownAnswerTime", "relay.shutdownSendTime", "relay.shutdownTimeout",
		"relay.WatchIdleTimeout", "relay.leaveFor", "relay.postTimeout", "backoff.period", "policy.toldShare",
	},
	"a bound of the relay's own, on what a peer may have of it": {
		"relay.wireMost", "relay.idMost", "relay.keptFor", "relay.writeFor", "relay.lingerFor", "relay.lingerMost", "netconn.MaxHeaderSize",
		"netconn.readBufferSize", "relay.MaxEntries", "relay.maxEntrySize", "relay.ListTimeout", "relay.maxNoticesPerPost", "relay.wholeFor", "relay.reportMost", "relay.informMost", "relay.fetchIdleTimeout",
	},
	"a bound of the relay's own, on its own work": {
		"relay.maxTick", "relay.eventQueueSize", "relay.maxBatchEvents", "relay.heldUpAfter", "relay.clockTolerance", "relay.initialClock", "relay.roomPause",
		"relay.minRetryDelay", "relay.maxRetryDelay", "relay.configOverlap", "relay.removedClassGrace", "relay.metricsTimeout", "relay.healthSaveInterval", "relay.healthSaveCostRatio",
		"relay.besideJournal", "relay.besidePool", "relay.lockFor", "relay.lockPause", "relay.silentFor", "relay.spareFor", "relay.maxFinishedMessages", "ratelog.minInterval",
		"relay.readBufferSize", "relay.MaxPartEntries", "relay.maxEvictions", "relay.evictInterval", "policy.scanDepth",
		"policy.sendersMost", "policy.snapshotForm", "policy.endMargin",
	},
	"a share of what the settings tell": {
		"relay.idleShare", "backoff.graceShare", "policy.lapseShare", "policy.roomShare", "policy.gateShare", "policy.overShare", "policy.lateShare",
	},
	"at most, or at least: the settings go before it": {
		"relay.unknownRunAge", "relay.defaultWarmUp", "policy.leastExpect", "policy.retryAdvice", "policy.MinRetryAfter", "policy.leastLimit", "backoff.pauseMost",
	},
	"the design's, open by its page: lengths of skips, rules, factors of paces": {
		"policy.skipFirst", "policy.skipMost", "policy.skipGrowth", "policy.skipJitter", "policy.longWait", "policy.shutRefusals", "policy.sparseShut",
		"policy.hintDoubt", "policy.sparseSpread", "policy.shutSpan", "policy.streakSkip", "policy.streakDoubt", "policy.recentDoubt", "policy.recentSkip",
		"policy.paceRestart", "policy.paceLeast", "policy.paceSure", "policy.paceCreep", "policy.paceCrawl", "policy.creepSteps", "policy.paceNear",
		"policy.paceFree", "policy.paceBurst", "policy.manyBurst", "policy.calmSpan", "policy.manyCreep", "policy.manyMost", "policy.manyLeast",
		"policy.takenSpan", "policy.takenPrior", "policy.takenShare", "policy.askEvery", "policy.askAhead", "policy.tightMost", "policy.tightRest",
		"policy.scarceSpan", "policy.aliveSpan", "policy.fewSenders", "policy.manySpread", "policy.MaxInitialSpread", "backoff.few", "backoff.share", "backoff.pauseFirst", "backoff.jitter",
	},
	"statistics: deviations, mixes, spans of a mean": {
		"policy.scatter", "policy.ownPart", "policy.roughFactor", "policy.ownSpan", "policy.devs", "policy.lateDevs",
	},
}

// Each constant has its reason, and none is listed that is gone: a new one has to be thought about.
func TestNoConstantStandsInForASetting(t *testing.T) {
	listed := map[string]bool{}
	for why, names := range behindConstants {
		for _, name := range names {
			if listed[name] {
				t.Errorf("%s is listed twice, also as: %s", name, why)
			}
			listed[name] = true
		}
	}
	var found []string
	for _, dir := range []string{".", "discovery/backoff", "netconn", "ratelog", "../../policy"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range files {
			if !strings.HasSuffix(name, "_test.go") {
				found = append(found, constantsOf(t, name)...)
			}
		}
	}
	slices.Sort(found)
	for _, name := range found {
		if !listed[name] {
			t.Errorf("%s: does it stand in for something that the settings tell?", name)
		}
		delete(listed, name)
	}
	for name := range listed {
		t.Errorf("%s is listed, and no more", name)
	}
	if len(found) < 80 {
		t.Errorf("%d constants found: the test shows little", len(found))
	}
}

// constantsOf are the constants of a file that have a value of their own and no type, or a Duration's.
func constantsOf(t *testing.T, name string) (names []string) {
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range file.Decls {
		group, ok := d.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			v := spec.(*ast.ValueSpec)
			if len(v.Values) == 0 || v.Type != nil { // of an enumeration
				continue
			}
			for _, n := range v.Names {
				names = append(names, file.Name.Name+"."+n.Name)
			}
		}
	}
	return names
}
