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
		// WeightVersion is the initial weight version (v1).
		WeightVersion string
		// PrefillRate is the prefill throughput, in tokens/s (80000).
		PrefillRate float64
		// TokenInterval is the time between two output tokens (1 ms).
		TokenInterval time.Duration
		// DefaultOutputTokens is the output length of requests without max_tokens, in tokens (16).
		DefaultOutputTokens int
		// CachePieces is the capacity of accelerator memory, in pieces of KV cache (100).
		CachePieces int
		// ColdStartDuration is the duration of a cold start (0).
		ColdStartDuration time.Duration
		// ColdStartMaxRuns is the maximum number of concurrent runs during a cold start; one more crashes
		// the engine (2).
		ColdStartMaxRuns int
		// CrashDowntime is the downtime after a crash (1 s).
		CrashDowntime time.Duration
		// ReportLag is the minimum age of load reports (0).
		ReportLag time.Duration
		// ChecksFencing enables the rejection of orders with an outdated fencing token.
		ChecksFencing bool
		// WeightStoreAddress is the ip:port of the weight store. If it is empty, loading weights takes 2 s.
		WeightStoreAddress string
	}

	// Engine emulates a model engine. It is safe for concurrent use.
	Engine struct {
		opts   Options
		faults *fault.Injector

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
		Runs            int `json:"runs"`
		PeakRuns        int `json:"peak-runs"`
		PeakColdRuns    int `json:"peak-cold"`
		Crashes         int `json:"crashes"`
		Cancelled       int `json:"cancelled"`
		PrefilledTokens int `json:"read-tokens"`
		BadImports      int `json:"bad-imports"`
		GoodImports     int `json:"good-imports"`
	}

	activeRun struct {
		conn   net.Conn
		cancel context.CancelFunc
	}
)

const weightLoadTime = 2 * time.Second

// New returns an engine at the beginning of its cold start.
func New(opts Options, faults *fault.Injector) *Engine {
	opts = opts.withDefaults()
	en := &Engine{
		opts:          opts,
		faults:        faults,
		weightVersion: opts.WeightVersion,
		runs:          make(map[string]*activeRun),
		prefillQueue:  newPrefillQueue(opts.Clock, opts.PrefillRate),
	}
	en.restart()
	return en
}

func (opts Options) withDefaults() Options {
	if opts.WeightVersion == "" {
		opts.WeightVersion = "v1"
	}
	if opts.PrefillRate == 0 {
		opts.PrefillRate = 80_000
	}
	if opts.TokenInterval == 0 {
		opts.TokenInterval = time.Millisecond
	}
	if opts.DefaultOutputTokens == 0 {
		opts.DefaultOutputTokens = 16
	}
	if opts.CachePieces == 0 {
		opts.CachePieces = 100
	}
	if opts.ColdStartMaxRuns == 0 {
		opts.ColdStartMaxRuns = 2
	}
	if opts.CrashDowntime == 0 {
		opts.CrashDowntime = time.Second
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

// crash does the work of Crash. The caller holds mu.
func (en *Engine) crash() {
	en.stats.Crashes++
	for _, ar := range en.runs {
		ar.cancel()
		_ = ar.conn.Close()
	}
	en.downUntil = en.opts.Clock.Now().Add(en.opts.CrashDowntime)
	en.restart()
}

// restart begins a cold start with an empty cache, after the downtime if there is one.
func (en *Engine) restart() {
	en.startID = uuid.NewString()[:8]
	en.startedAt = en.opts.Clock.Now()
	if en.downUntil.After(en.startedAt) {
		en.startedAt = en.downUntil
	}
	en.cache = newPieceCache(en.opts.CachePieces)
	en.reports = nil
}

func (en *Engine) isCold(now time.Time) bool {
	return now.Sub(en.startedAt) < en.opts.ColdStartDuration
}

// admitRun registers a run and returns false if the run crashes the engine.
func (en *Engine) admitRun(id, prompt string, conn net.Conn, cancel context.CancelFunc) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.runs[id] = &activeRun{conn: conn, cancel: cancel}
	en.stats.Runs++
	en.stats.PeakRuns = max(en.stats.PeakRuns, len(en.runs))
	if en.isCold(en.opts.Clock.Now()) {
		en.stats.PeakColdRuns = max(en.stats.PeakColdRuns, len(en.runs))
		if len(en.runs) > en.opts.ColdStartMaxRuns {
			en.crash()
			return false
		}
	}
	if trigger := en.faults.Active().CrashOn; trigger != "" && strings.Contains(prompt, trigger) {
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
