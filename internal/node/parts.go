package node

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bergamotway/bergamotway/internal/peering"
	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/verdicts"
)

// newPartTracker returns the tracker of the parts of prompts that crash endpoints.
func (no *Node) newPartTracker() *quarantine.PartTracker {
	return quarantine.NewPartTracker(quarantine.PartOptions{
		Clock: no.ck, Host: no.st.Name, Hosts: no.allHosts, OnChange: no.notePartChange,
	})
}

// newVerdictRecords returns what keeps the verdicts of the tracker in the metadata store.
func (no *Node) newVerdictRecords() *verdicts.Records {
	return verdicts.New(verdicts.Options{
		Clock: no.ck, Store: no.deps.Store, Tracker: no.parts, Prefix: prefixVerdicts, RecordDelay: no.verdictDelay,
		Log: no.log.WithField("part", "state"),
	})
}

// verdictDelay returns how long after a change of a verdict is due this host writes it. All but the first host wait
// until they must have seen the change of another.
func (no *Node) verdictDelay() time.Duration {
	delay := no.recordDelay()
	if delay > 0 {
		delay += milliseconds(no.settings().Bounds.ApplyMs)
	}
	return delay
}

// allHosts returns the names of all hosts, including this one even if it is not registered.
func (no *Node) allHosts() []string {
	names := no.storeState.hostNames()
	for _, name := range names {
		if name == no.st.Name {
			return names
		}
	}
	return append(names, no.st.Name)
}

func (no *Node) notePartChange(ch quarantine.Change) {
	ve := ch.Verdict
	no.deps.Meter.PartQuarantineChanged(ch.Kind.String())
	if ch.Kind == quarantine.PartCleared {
		no.storeState.verdicts.NoteCleared(ve.Part)
	}
	no.log.WithFields(logrus.Fields{
		"prompt-part": ve.Part, "change": ch.Kind.String(), "crashes": ve.Crashes, "strikes": ve.Strikes,
		"age-ms": ch.Age.Milliseconds(), "reporters": strings.Join(ve.Reporters, " "), "companions": strings.Join(ve.Companions, " "),
		"blocked-ms": max(0, ve.BlockedUntil().Sub(no.ck.Now())).Milliseconds(),
	}).Warn("Quarantine of a prompt part changed.")
}

// addPartState adds what this host knows about parts that crash endpoints to its digest.
func (no *Node) addPartState(dg *peering.Digest) {
	now := no.ck.Now()
	crashes, cleared, verdicts := no.parts.RecentChanges()
	for _, pc := range crashes {
		dg.PartCrashes = append(dg.PartCrashes, peering.PartCrash{
			CrashID: pc.ID, Service: pc.Scope, Reporter: pc.Reporter, AgeUs: now.Sub(pc.DetectedAt).Microseconds(), Parts: pc.Parts,
		})
	}
	for _, cl := range cleared {
		dg.ClearedParts = append(dg.ClearedParts, peering.ClearedPart{Part: cl.Part, AgeUs: now.Sub(cl.At).Microseconds()})
	}
	for _, ve := range verdicts {
		dg.PartVerdicts = append(dg.PartVerdicts, peering.PartVerdict{
			Part: ve.Part, Crashes: ve.Crashes, Strikes: ve.Strikes, AgeUs: now.Sub(ve.LastCrash).Microseconds(),
			Reporters: ve.Reporters, Companions: ve.Companions,
		})
	}
}

// mergePartState merges what a digest says about parts that crash endpoints.
func (no *Node) mergePartState(dg peering.Digest) {
	now := no.ck.Now()
	before := func(ageUs int64) time.Time { return now.Add(-time.Duration(max(0, ageUs)) * time.Microsecond) }
	for _, pc := range dg.PartCrashes {
		if pc.Reporter == no.st.Name {
			continue
		}
		no.parts.RecordCrash(quarantine.PartCrash{
			ID: pc.CrashID, Scope: pc.Service, Reporter: pc.Reporter, DetectedAt: before(pc.AgeUs), Parts: pc.Parts,
		})
	}
	for _, cp := range dg.ClearedParts {
		no.parts.Clear(quarantine.Cleared{Part: cp.Part, At: before(cp.AgeUs)})
	}
	for _, pv := range dg.PartVerdicts {
		no.parts.Merge(quarantine.Verdict{
			Part: pv.Part, Crashes: pv.Crashes, Strikes: pv.Strikes, LastCrash: before(pv.AgeUs),
			Reporters: pv.Reporters, Companions: pv.Companions,
		})
	}
}
