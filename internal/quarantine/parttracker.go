package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// maxCrashes and maxCrashParts bound the crashes that are kept and the parts accused by each, maxSentParts those
	// of all crashes in one digest.
	maxCrashes    = 512
	maxCrashParts = 256
	maxSentParts  = 512
	// maxSuspects bounds the parts that are kept; if it is reached, the quarter with the weakest evidence is removed.
	maxSuspects = 4096
	// maxVerdicts bounds the verdicts that are kept, maxSentVerdicts those in one digest.
	maxVerdicts     = 256
	maxSentVerdicts = 32
	// suspicionRetention is how long a crash counts against a part that is not blocked.
	suspicionRetention = 10 * time.Minute
	// clearedRetention is how long verdicts and reports from before a success are ignored.
	clearedRetention = 30 * time.Second
	// partReportPeriod is how long a crash is sent to other hosts; it covers the loss of an aggregator.
	partReportPeriod = 3 * time.Second
	sweepInterval    = time.Second
	// maxScopes bounds the services whose last success is kept.
	maxScopes = 1024
)

const (
	// PartBlocked is a part that becomes blocked.
	PartBlocked ChangeKind = iota
	// PartTried is a blocked part that this host tries again.
	PartTried
	// PartCleared is a blocked part that is no longer blocked.
	PartCleared
)

type (
	// ChangeKind is the kind of a change.
	ChangeKind int

	// Change is a change of a verdict.
	Change struct {
		Kind    ChangeKind
		Verdict Verdict
		// Age is the time since the last crash.
		Age time.Duration
	}

	// PartOptions configures a PartTracker.
	PartOptions struct {
		Clock clock.Clock
		// Host is the name of this host.
		Host string
		// Hosts returns the names of all hosts, which take turns in trying blocked parts; nil means only this one.
		Hosts func() []string
		// OnChange is called after each change of a verdict; nil ignores them.
		OnChange func(Change)
	}

	// PartTracker tracks which parts of prompts crash endpoints. A crash accuses the parts of all requests that
	// waited for their first event there; a response clears the parts of its request. A part that was running
	// during repeated crashes is blocked: for a growing time no host sends requests with it, and then one host at
	// a time tries it again. It is safe for concurrent use.
	PartTracker struct {
		opts PartOptions
		// suspectCount is the size of suspects, to be read without the lock.
		suspectCount atomic.Int64

		mu       sync.Mutex
		crashes  map[string]*partCrash
		suspects map[string]*partSuspect
		// lastSuccess holds, by service, when a response began last while there were suspects.
		lastSuccess map[string]time.Time
		sweptAt     time.Time
		changes     []Change
	}
)

// String returns the name of the kind.
func (ck ChangeKind) String() string {
	return [...]string{"blocked", "tried", "cleared"}[ck]
}

// NewPartTracker returns a tracker without suspects.
func NewPartTracker(opts PartOptions) *PartTracker {
	return &PartTracker{
		opts: opts, crashes: make(map[string]*partCrash), suspects: make(map[string]*partSuspect),
		lastSuccess: make(map[string]time.Time),
	}
}

// SuspectCount returns the number of parts with a recorded crash or verdict, recently cleared ones included.
func (tr *PartTracker) SuspectCount() int { return int(tr.suspectCount.Load()) }

func (tr *PartTracker) hosts() []string {
	if tr.opts.Hosts == nil {
		return nil
	}
	return tr.opts.Hosts()
}

func (tr *PartTracker) noteChange(kind ChangeKind, ve Verdict, now time.Time) {
	if tr.opts.OnChange != nil {
		tr.changes = append(tr.changes, Change{Kind: kind, Verdict: ve, Age: now.Sub(ve.LastCrash)})
	}
}

// publishChanges calls OnChange without the lock.
func (tr *PartTracker) publishChanges() {
	if tr.opts.OnChange == nil {
		return
	}
	tr.mu.Lock()
	changes := tr.changes
	tr.changes = nil
	tr.mu.Unlock()
	for _, ch := range changes {
		tr.opts.OnChange(ch)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func partKeys(ids []string) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = PartID(id)
	}
	return out
}

// PartID returns the identifier of a part, or a hash of a long one.
func PartID(id string) string {
	if len(id) <= maxPartIDBytes {
		return id
	}
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:maxPartIDBytes/2])
}
