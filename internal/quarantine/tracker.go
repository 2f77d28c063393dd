// Package quarantine tracks which requests were running on endpoints when they crashed.
//
// After a crash each request that was running on the endpoint is a suspect. A suspect that is sent again
// runs apart from other suspects, and is refused after it was running during a second crash. Two crashes
// count as one if equal requests were running on both endpoints at the same time: a request that crashes
// endpoints runs on them one after the other, so something else must have stopped both. A response to an
// equal request clears the suspect.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// CrashLimit is the number of crashes after which a request is refused.
	CrashLimit = 2

	// crashRetention is how long a crash counts. It is counted from the crash, also by hosts that learn of it later.
	crashRetention       = time.Hour
	fingerprintHexDigits = 24
	// recentChangePeriod is how long a change is sent to other hosts. It covers some ten digests, as digests may
	// be lost.
	recentChangePeriod = 2 * time.Second
	// refusalReportInterval is how often the crashes of refused requests are sent again, for hosts that have started since.
	refusalReportInterval = time.Second
	// maxRecentChanges bounds the crashes, and the cleared requests, in one digest.
	maxRecentChanges = 64
	// maxDelaySkew bounds the difference in delay between the reports of two hosts. It is far above the
	// delay of a digest.
	maxDelaySkew = time.Second
)

type (
	// Fingerprint is a hash that equal requests of one team share.
	Fingerprint string

	// State is the quarantine state of a request. The zero value is Clear.
	State int

	// Report states that a request was running on an endpoint when it crashed.
	Report struct {
		Fingerprint Fingerprint
		// CrashID identifies the crash, so that reports of it from two hosts count once.
		CrashID string
		// Reporter is the host that detected the crash; empty means this one. Reports of different hosts
		// arrive with different delays, which shift their times.
		Reporter string
		// RunStart is when the request was sent to the endpoint, DetectedAt when the crash was detected.
		RunStart, DetectedAt time.Time
	}

	// ClearedRequest states that an equal request was answered, or cleared by an operator, at a time.
	ClearedRequest struct {
		Fingerprint Fingerprint
		At          time.Time
	}

	// Tracker holds the crash reports of the last hour. It is safe for concurrent use.
	Tracker struct {
		clk clock.Clock

		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
		// refusalsReportedAt is when the crashes of refused requests were sent last.
		refusalsReportedAt time.Time
	}

	// suspect holds the crashes during which a request was running, and when this host cleared it last.
	suspect struct {
		crashes   []crash
		clearedAt time.Time
	}

	// crash is a report with the time of its arrival.
	crash struct {
		Report
		receivedAt time.Time
		// isCleared reports that the request was cleared after the crash.
		isCleared bool
	}
)

const (
	// Clear is a request that was running during no crash.
	Clear State = iota
	// Suspected is a request that was running during one crash.
	Suspected
	// Refused is a request that was running during at least CrashLimit crashes.
	Refused
)

// NewTracker returns a tracker without crashes.
func NewTracker(clk clock.Clock) *Tracker {
	return &Tracker{clk: clk, suspects: make(map[Fingerprint]*suspect)}
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(team, class string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team + "\x00" + class + "\x00"))
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil))[:fingerprintHexDigits])
}

// RecordCrash records that requests were running when an endpoint crashed. The ID identifies the crash, so
// that reports of it from two hosts count once.
func (tr *Tracker) RecordCrash(id string, fps ...Fingerprint) {
	now := tr.clk.Now()
	for _, fp := range fps {
		tr.RecordReport(Report{Fingerprint: fp, CrashID: id, RunStart: now, DetectedAt: now})
	}
}

// RecordReport adds a report. Of several reports of one crash it keeps the first; a later one replaces it only
// if it has the same reporter and an earlier detection time.
func (tr *Tracker) RecordReport(re Report) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.clk.Now()
	su := tr.pruneSuspect(re.Fingerprint, now)
	if su == nil {
		su = &suspect{}
		tr.suspects[re.Fingerprint] = su
	}
	i := slices.IndexFunc(su.crashes, func(cr crash) bool { return cr.CrashID == re.CrashID })
	switch {
	case i < 0:
		su.crashes = append(su.crashes, crash{Report: re, receivedAt: now})
	case su.crashes[i].Reporter == re.Reporter && re.DetectedAt.Before(su.crashes[i].DetectedAt):
		// The same report with a shorter delay.
		su.crashes[i].Report = re
	}
}

// State returns the quarantine state of a request.
func (tr *Tracker) State(fp Fingerprint) State {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	su := tr.pruneSuspect(fp, tr.clk.Now())
	if su == nil {
		return Clear
	}
	return State(min(su.consecutiveCrashes(), CrashLimit))
}

// ClearSuspect clears a request, by an operator's order or after a response to an equal request. Later
// reports of a crash that is already known do not count either.
func (tr *Tracker) ClearSuspect(fp Fingerprint) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.clk.Now()
	su := tr.pruneSuspect(fp, now)
	if su == nil || !slices.ContainsFunc(su.crashes, func(cr crash) bool { return !cr.isCleared }) {
		return
	}
	su.clearedAt = now
	for i := range su.crashes {
		su.crashes[i].isCleared = true
	}
}

// MergeCleared records that another host has cleared a request. Crashes since then count.
func (tr *Tracker) MergeCleared(cl ClearedRequest) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	su := tr.pruneSuspect(cl.Fingerprint, tr.clk.Now())
	if su == nil {
		return
	}
	for i := range su.crashes {
		cr := &su.crashes[i]
		cr.isCleared = cr.isCleared || !cr.DetectedAt.After(cl.At) || !cr.receivedAt.After(cl.At)
	}
}

// RecentChanges returns the crashes and the requests that this host cleared in the last two seconds, and once a second the crashes of
// refused requests, at most 64 of each. If there are more crashes, it returns the newest.
func (tr *Tracker) RecentChanges() (crashes []Report, cleared []ClearedRequest) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	now := tr.clk.Now()
	withRefusals := now.Sub(tr.refusalsReportedAt) >= refusalReportInterval
	if withRefusals {
		tr.refusalsReportedAt = now
	}
	for fp := range tr.suspects {
		su := tr.pruneSuspect(fp, now)
		if su == nil {
			continue
		}
		isRefused := withRefusals && su.consecutiveCrashes() >= CrashLimit
		for _, cr := range su.crashes {
			if !cr.isCleared && (isRefused || now.Sub(cr.DetectedAt) < recentChangePeriod) {
				crashes = append(crashes, cr.Report)
			}
		}
		if !su.clearedAt.IsZero() && now.Sub(su.clearedAt) < recentChangePeriod {
			cleared = append(cleared, ClearedRequest{Fingerprint: fp, At: su.clearedAt})
		}
	}
	slices.SortFunc(crashes, func(a, b Report) int { return b.DetectedAt.Compare(a.DetectedAt) })
	return crashes[:min(len(crashes), maxRecentChanges)], cleared[:min(len(cleared), maxRecentChanges)]
}

// SuspectCount returns the number of requests with a recorded crash, cleared ones included.
func (tr *Tracker) SuspectCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.suspects)
}

// pruneSuspect removes the expired crashes of a request. It returns the suspect, or nil if no crash remains.
func (tr *Tracker) pruneSuspect(fp Fingerprint, now time.Time) *suspect {
	su := tr.suspects[fp]
	if su == nil {
		return nil
	}
	su.crashes = slices.DeleteFunc(su.crashes, func(cr crash) bool { return now.Sub(cr.DetectedAt) > crashRetention })
	if len(su.crashes) == 0 {
		delete(tr.suspects, fp)
		return nil
	}
	return su
}

// consecutiveCrashes returns the number of crashes of which each happened in a run that began after the
// previous crash.
func (su *suspect) consecutiveCrashes() int {
	crashes := slices.DeleteFunc(slices.Clone(su.crashes), func(cr crash) bool { return cr.isCleared })
	slices.SortFunc(crashes, func(a, b crash) int { return a.DetectedAt.Compare(b.DetectedAt) })
	count := 0
	var last crash
	for _, cr := range crashes {
		earliestStart := last.DetectedAt
		if cr.Reporter != last.Reporter {
			earliestStart = earliestStart.Add(maxDelaySkew)
		}
		if count == 0 || !cr.RunStart.Before(earliestStart) {
			count++
			last = cr
		}
	}
	return count
}
