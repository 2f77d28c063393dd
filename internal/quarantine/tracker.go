// Package quarantine tracks which requests were running on endpoints when they crashed.
//
// After a crash each request that was running on the endpoint is a suspect. A suspect that is sent again
// runs apart from other suspects, and is refused after it was running during a second crash. Two crashes
// count as one if equal requests were running on both endpoints at the same time: a request that crashes
// endpoints runs on one after the other, so something else stopped both. A response to an equal request
// clears the suspect.
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
	// CrashLimit is the number of crashes from which on a request is refused.
	CrashLimit = 2

	crashRetention       = time.Hour
	fingerprintHexDigits = 24
	// newsPeriod is how long a change is sent to other hosts. It covers some ten digests, as digests may
	// be lost.
	newsPeriod = 2 * time.Second
	// maxNewsEntries bounds the crashes, and the cleared requests, in one digest.
	maxNewsEntries = 64
	// maxDelaySkew bounds the difference in delay between the reports of two hosts. It is far above
	// the delay of a digest.
	maxDelaySkew = time.Second
)

type (
	// Fingerprint is a hash that equal requests of one team share.
	Fingerprint string

	// Standing is the quarantine state of a request. The zero value is Clear.
	Standing int

	// Report states that a request was running on an endpoint when it crashed.
	Report struct {
		Fingerprint Fingerprint
		// ID identifies the crash, so that reports of it from two hosts count once.
		ID string
		// Teller is the host that detected the crash; empty means this one. Reports of different hosts
		// arrive with different delays, which shift their times.
		Teller string
		// Began is when the request was sent to the endpoint, At when the crash was detected.
		Began, At time.Time
	}

	// Board holds the crash reports of the last hour. It is safe for concurrent use.
	Board struct {
		clk clock.Clock

		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
	}

	// suspect holds the crashes during which a request was running.
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
	Clear Standing = iota
	// Suspected is a request that was running during one crash.
	Suspected
	// Refused is a request that was running during at least CrashLimit crashes.
	Refused
)

// NewBoard returns a board without crashes.
func NewBoard(clk clock.Clock) *Board {
	return &Board{clk: clk, suspects: make(map[Fingerprint]*suspect)}
}

// Of returns the fingerprint of a request.
func Of(team, class string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team + "\x00" + class + "\x00"))
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil))[:fingerprintHexDigits])
}

// Crash records that requests were running when an endpoint crashed. The ID identifies the crash, so
// that reports of it from two hosts count once.
func (bd *Board) Crash(id string, fps ...Fingerprint) {
	now := bd.clk.Now()
	for _, fp := range fps {
		bd.Record(Report{Fingerprint: fp, ID: id, Began: now, At: now})
	}
}

// Record adds a report. Of several reports of one crash from the same host it keeps the earliest time.
func (bd *Board) Record(re Report) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.clk.Now()
	su := bd.pruned(re.Fingerprint, now)
	if su == nil {
		su = &suspect{}
		bd.suspects[re.Fingerprint] = su
	}
	i := slices.IndexFunc(su.crashes, func(cr crash) bool { return cr.ID == re.ID })
	switch {
	case i < 0:
		su.crashes = append(su.crashes, crash{Report: re, receivedAt: now})
	case su.crashes[i].Teller == re.Teller && re.At.Before(su.crashes[i].At):
		// The same report with a shorter delay.
		su.crashes[i].Report = re
	}
}

// Standing returns the quarantine state of a request.
func (bd *Board) Standing(fp Fingerprint) Standing {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	su := bd.pruned(fp, bd.clk.Now())
	if su == nil {
		return Clear
	}
	return Standing(min(su.consecutiveCrashes(), CrashLimit))
}

// Forget clears a request, on an operator's request or after a response to an equal one. Later reports of
// a crash that is already known do not count either.
func (bd *Board) Forget(fp Fingerprint) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.clk.Now()
	su := bd.pruned(fp, now)
	if su == nil || !slices.ContainsFunc(su.crashes, func(cr crash) bool { return !cr.isCleared }) {
		return
	}
	su.clearedAt = now
	for i := range su.crashes {
		su.crashes[i].isCleared = true
	}
}

// News returns the crashes and the cleared requests of the last two seconds, at most 64 of each. Of the
// crashes it prefers the newest.
func (bd *Board) News() (crashes []Report, cleared []Fingerprint) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.clk.Now()
	for fp := range bd.suspects {
		su := bd.pruned(fp, now)
		if su == nil {
			continue
		}
		for _, cr := range su.crashes {
			if !cr.isCleared && now.Sub(cr.At) < newsPeriod {
				crashes = append(crashes, cr.Report)
			}
		}
		if !su.clearedAt.IsZero() && now.Sub(su.clearedAt) < newsPeriod {
			cleared = append(cleared, fp)
		}
	}
	slices.SortFunc(crashes, func(a, b Report) int { return b.At.Compare(a.At) })
	return crashes[:min(len(crashes), maxNewsEntries)], cleared[:min(len(cleared), maxNewsEntries)]
}

// Size returns the number of requests with a recorded crash.
func (bd *Board) Size() int {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return len(bd.suspects)
}

// pruned removes expired crashes of a request and returns the rest, or nil if none remain.
func (bd *Board) pruned(fp Fingerprint, now time.Time) *suspect {
	su := bd.suspects[fp]
	if su == nil {
		return nil
	}
	su.crashes = slices.DeleteFunc(su.crashes, func(cr crash) bool { return now.Sub(cr.receivedAt) > crashRetention })
	if len(su.crashes) == 0 {
		delete(bd.suspects, fp)
		return nil
	}
	return su
}

// consecutiveCrashes returns the number of crashes of which each happened in a run that began after the
// previous crash.
func (su *suspect) consecutiveCrashes() int {
	crashes := slices.DeleteFunc(slices.Clone(su.crashes), func(cr crash) bool { return cr.isCleared })
	slices.SortFunc(crashes, func(a, b crash) int { return a.At.Compare(b.At) })
	count := 0
	var last crash
	for _, cr := range crashes {
		earliest := last.At
		if cr.Teller != last.Teller {
			earliest = earliest.Add(maxDelaySkew)
		}
		if count == 0 || !cr.Began.Before(earliest) {
			count++
			last = cr
		}
	}
	return count
}
