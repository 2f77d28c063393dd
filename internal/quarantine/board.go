// Package quarantine keeps which requests were running on endpoints that crashed.
//
// After a crash each request that was running there is a suspect. A suspect that is sent again
// runs apart from other suspects. One that is present at a second crash is refused. Two crashes count
// as one if equal requests were running at both at the same time: then something else stopped both
// endpoints, for a request that crashes endpoints runs at one after the other. An equal request that
// is answered clears the suspects.
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
	// CrashLimit is at how many crashes a request is refused.
	CrashLimit = 2

	retention         = time.Hour
	fingerprintDigits = 24
	// tellFor is for how long news are told to other hosts: some ten digests, as they may be lost.
	tellFor = 2 * time.Second
	// newsMost bounds the crashes, and the cleared requests, that are told at a time.
	newsMost = 64
	// tellerDelay is by how much news of two hosts may differ in delay, far above that of a digest.
	tellerDelay = time.Second
)

type (
	// Fingerprint identifies equal requests of one team.
	Fingerprint string

	// Standing is what is known of a request. The zero value is a request like any other.
	Standing int

	// Report says that a request was running when an endpoint crashed.
	Report struct {
		Fingerprint Fingerprint
		// ID names the crash, so that the same news from two hosts counts once.
		ID string
		// Teller is the host that noticed it; empty means this one. Times of different tellers have
		// reached this host with different delays.
		Teller string
		// Began is when the endpoint got the request, At when the crash was noticed.
		Began, At time.Time
	}

	// Board holds the crashes of the last hour. It is safe for concurrent use.
	Board struct {
		clk clock.Clock

		mu       sync.Mutex
		suspects map[Fingerprint]*suspect
	}

	suspect struct {
		crashes []crash
		cleared time.Time
	}

	crash struct {
		Report
		heard time.Time
		// isVoid reports a crash of before the request was cleared.
		isVoid bool
	}
)

const (
	// Clear is a request that was present at no crash.
	Clear Standing = iota
	// Suspected is a request that was present at one crash.
	Suspected
	// Refused is a request that was present at CrashLimit crashes.
	Refused
)

// NewBoard returns an empty board.
func NewBoard(clk clock.Clock) *Board {
	return &Board{clk: clk, suspects: make(map[Fingerprint]*suspect)}
}

// Of returns the fingerprint of a request.
func Of(team, class string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team + "\x00" + class + "\x00"))
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil))[:fingerprintDigits])
}

// Crash records that requests were running when an endpoint crashed. The identifier names the
// crash, so that the same news from two hosts counts once.
func (bd *Board) Crash(id string, fps ...Fingerprint) {
	now := bd.clk.Now()
	for _, fp := range fps {
		bd.Record(Report{Fingerprint: fp, ID: id, Began: now, At: now})
	}
}

// Record records that a request was running when an endpoint crashed.
func (bd *Board) Record(re Report) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.clk.Now()
	su := bd.fresh(re.Fingerprint, now)
	if su == nil {
		su = &suspect{}
		bd.suspects[re.Fingerprint] = su
	}
	at := slices.IndexFunc(su.crashes, func(cr crash) bool { return cr.ID == re.ID })
	switch {
	case at < 0:
		su.crashes = append(su.crashes, crash{Report: re, heard: now})
	case su.crashes[at].Teller == re.Teller && re.At.Before(su.crashes[at].At):
		// The same news with less delay.
		su.crashes[at].Report = re
	}
}

// Standing returns what is known of a request.
func (bd *Board) Standing(fp Fingerprint) Standing {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	su := bd.fresh(fp, bd.clk.Now())
	if su == nil {
		return Clear
	}
	return Standing(min(su.inTurn(), CrashLimit))
}

// Forget clears a request, by an operator's order or because an equal one was answered. Crashes of
// before that are heard of later do not count either, if another host has told them already.
func (bd *Board) Forget(fp Fingerprint) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.clk.Now()
	su := bd.fresh(fp, now)
	if su == nil || !slices.ContainsFunc(su.crashes, func(cr crash) bool { return !cr.isVoid }) {
		return
	}
	su.cleared = now
	for i := range su.crashes {
		su.crashes[i].isVoid = true
	}
}

// News returns the crashes and the cleared requests of the last two seconds, the newest 64 of each.
func (bd *Board) News() (crashes []Report, cleared []Fingerprint) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.clk.Now()
	for fp := range bd.suspects {
		su := bd.fresh(fp, now)
		if su == nil {
			continue
		}
		for _, cr := range su.crashes {
			if !cr.isVoid && now.Sub(cr.At) < tellFor {
				crashes = append(crashes, cr.Report)
			}
		}
		if !su.cleared.IsZero() && now.Sub(su.cleared) < tellFor {
			cleared = append(cleared, fp)
		}
	}
	slices.SortFunc(crashes, func(a, b Report) int { return b.At.Compare(a.At) })
	return crashes[:min(len(crashes), newsMost)], cleared[:min(len(cleared), newsMost)]
}

// Size returns how many requests were present at a crash.
func (bd *Board) Size() int {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return len(bd.suspects)
}

// fresh returns what is known of a request without what is too old, nil if nothing is.
func (bd *Board) fresh(fp Fingerprint, now time.Time) *suspect {
	su := bd.suspects[fp]
	if su == nil {
		return nil
	}
	su.crashes = slices.DeleteFunc(su.crashes, func(cr crash) bool { return now.Sub(cr.heard) > retention })
	if len(su.crashes) == 0 {
		delete(bd.suspects, fp)
		return nil
	}
	return su
}

// inTurn returns how many crashes happened one after the other, each with a run that began after the
// crash before.
func (su *suspect) inTurn() int {
	cs := slices.DeleteFunc(slices.Clone(su.crashes), func(cr crash) bool { return cr.isVoid })
	slices.SortFunc(cs, func(a, b crash) int { return a.At.Compare(b.At) })
	count := 0
	var last crash
	for _, cr := range cs {
		after := last.At
		if cr.Teller != last.Teller {
			after = after.Add(tellerDelay)
		}
		if count == 0 || !cr.Began.Before(after) {
			count++
			last = cr
		}
	}
	return count
}
