// Package modelengine emulates a model engine with an OpenAI-compatible API.
//
// Its output depends only on the prompt and the weight version, so that a resumed response can be
// compared with an uninterrupted one.
package modelengine

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/standin/fault"
)

type (
	// Options configures an Engine. A zero value selects the default in parentheses.
	Options struct {
		Clock clock.Clock
		// Version is the initial weight version (v1).
		Version string
		// PrefillRate is the prefill throughput, in tokens/s (80000).
		PrefillRate float64
		// TokenTime is the time between two output tokens (1 ms).
		TokenTime time.Duration
		// AnswerTokens is the output length of requests without max_tokens, in tokens (16).
		AnswerTokens int
		// MemoryPieces is the capacity of accelerator memory, in pieces of KV cache (100).
		MemoryPieces int
		// ColdTime is the duration of a cold start (0).
		ColdTime time.Duration
		// ColdLimit is the maximum number of concurrent runs during a cold start; one more crashes
		// the engine (2).
		ColdLimit int
		// CrashTime is the downtime after a crash (1 s).
		CrashTime time.Duration
		// ReportLag is the minimum age of load reports (0).
		ReportLag time.Duration
		// ChecksFencing enables the rejection of orders with an outdated fencing token.
		ChecksFencing bool
		// WeightStore is the ip:port of the weight store. If it is empty, loading weights takes 2 s.
		WeightStore string
	}

	// Engine emulates a model engine. It is safe for concurrent use.
	Engine struct {
		opts   Options
		faults *fault.Switch

		mu              sync.Mutex
		startID         string
		startedAt       time.Time
		weightVersion   string
		fencingToken    uint64
		cache           *pieceCache
		runs            map[string]*activeRun
		downUntil       time.Time
		isLeaving       bool
		loadsInProgress int
		reports         []agedReport
		prefillQueue    *prefillQueue
		stats           Stats
	}

	// Stats counts what an engine has done since New, across crashes.
	Stats struct {
		Runs        int `json:"runs"`
		PeakRuns    int `json:"peak-runs"`
		PeakCold    int `json:"peak-cold"`
		Crashes     int `json:"crashes"`
		Cancelled   int `json:"cancelled"`
		ReadTokens  int `json:"read-tokens"`
		BadImports  int `json:"bad-imports"`
		GoodImports int `json:"good-imports"`
	}

	activeRun struct {
		conn   net.Conn
		cancel context.CancelFunc
	}
)

const weightLoadTime = 2 * time.Second

// New returns an engine at the beginning of its cold start.
func New(opts Options, faults *fault.Switch) *Engine {
	opts = opts.withDefaults()
	en := &Engine{
		opts:          opts,
		faults:        faults,
		weightVersion: opts.Version,
		runs:          make(map[string]*activeRun),
		prefillQueue:  newPrefillQueue(opts.Clock, opts.PrefillRate),
	}
	en.restart()
	return en
}

func (opts Options) withDefaults() Options {
	if opts.Version == "" {
		opts.Version = "v1"
	}
	if opts.PrefillRate == 0 {
		opts.PrefillRate = 80_000
	}
	if opts.TokenTime == 0 {
		opts.TokenTime = time.Millisecond
	}
	if opts.AnswerTokens == 0 {
		opts.AnswerTokens = 16
	}
	if opts.MemoryPieces == 0 {
		opts.MemoryPieces = 100
	}
	if opts.ColdLimit == 0 {
		opts.ColdLimit = 2
	}
	if opts.CrashTime == 0 {
		opts.CrashTime = time.Second
	}
	return opts
}

// Stats returns the engine's counters.
func (en *Engine) Stats() Stats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.stats
}

// Crash aborts all runs and restarts the engine with an empty cache after its crash downtime.
func (en *Engine) Crash() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.crash()
}

func (en *Engine) crash() {
	en.stats.Crashes++
	for _, ar := range en.runs {
		ar.cancel()
		_ = ar.conn.Close()
	}
	en.downUntil = en.opts.Clock.Now().Add(en.opts.CrashTime)
	en.restart()
}

func (en *Engine) restart() {
	en.startID = uuid.NewString()[:8]
	en.startedAt = en.opts.Clock.Now()
	if en.downUntil.After(en.startedAt) {
		en.startedAt = en.downUntil
	}
	en.cache = newPieceCache(en.opts.MemoryPieces)
	en.reports = nil
}

func (en *Engine) isCold(now time.Time) bool {
	return now.Sub(en.startedAt) < en.opts.ColdTime
}

// admitRun registers a run and returns false if the run crashes the engine.
func (en *Engine) admitRun(id, prompt string, conn net.Conn, cancel context.CancelFunc) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.runs[id] = &activeRun{conn: conn, cancel: cancel}
	en.stats.Runs++
	en.stats.PeakRuns = max(en.stats.PeakRuns, len(en.runs))
	if en.isCold(en.opts.Clock.Now()) {
		en.stats.PeakCold = max(en.stats.PeakCold, len(en.runs))
		if len(en.runs) > en.opts.ColdLimit {
			en.crash()
			return false
		}
	}
	if trigger := en.faults.Now().CrashOn; trigger != "" && strings.Contains(prompt, trigger) {
		en.crash()
		return false
	}
	return true
}

func (en *Engine) removeRun(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	delete(en.runs, id)
}
