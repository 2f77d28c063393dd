// Package quarantine keeps which requests were running on endpoints that crashed.
//
// After a crash each request that was running there is a suspect. A suspect that is sent again
// runs apart from other suspects. One that is present at a second crash is refused.
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
)

type (
	// Fingerprint identifies equal requests of one team.
	Fingerprint string

	// Standing is what is known of a request. The zero value is a request like any other.
	Standing int

	// Board holds the crashes of the last hour. It is safe for concurrent use.
	Board struct {
		clk clock.Clock

		mu      sync.Mutex
		crashes map[Fingerprint][]crash
	}

	crash struct {
		id string
		at time.Time
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
	return &Board{clk: clk, crashes: make(map[Fingerprint][]crash)}
}

// Of returns the fingerprint of a request.
func Of(team, class string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team + "\x00" + class + "\x00"))
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil))[:fingerprintDigits])
}

// Crash records that a request was running when an endpoint crashed. The identifier names the
// crash, so that the same news from two hosts counts once.
func (bd *Board) Crash(id string, fps ...Fingerprint) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	now := bd.clk.Now()
	for _, fp := range fps {
		cs := bd.fresh(fp, now)
		if !slices.ContainsFunc(cs, func(c crash) bool { return c.id == id }) {
			cs = append(cs, crash{id: id, at: now})
		}
		bd.crashes[fp] = cs
	}
}

// Standing returns what is known of a request.
func (bd *Board) Standing(fp Fingerprint) Standing {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	cs := bd.fresh(fp, bd.clk.Now())
	if len(cs) == 0 {
		delete(bd.crashes, fp)
	}
	return Standing(min(len(cs), CrashLimit))
}

// Forget clears a request, by an operator's order.
func (bd *Board) Forget(fp Fingerprint) {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	delete(bd.crashes, fp)
}

// Size returns how many requests were present at a crash.
func (bd *Board) Size() int {
	bd.mu.Lock()
	defer bd.mu.Unlock()
	return len(bd.crashes)
}

func (bd *Board) fresh(fp Fingerprint, now time.Time) []crash {
	return slices.DeleteFunc(bd.crashes[fp], func(c crash) bool { return now.Sub(c.at) > retention })
}
