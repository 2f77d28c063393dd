// Package modelengine is a stand-in for a model engine with an OpenAI-compatible interface.
//
// Its answers depend on the prompt and the weight version only, so that a resumed answer can be
// compared with an uncut one.
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
	// Options configures an Engine. Zero values mean the defaults in parentheses.
	Options struct {
		Clock clock.Clock
		// Version is the weight version to begin with (v1).
		Version string
		// PrefillRate is the speed of reading, in tokens/s (80000).
		PrefillRate float64
		// TokenTime is the time between two tokens of an answer (1 ms).
		TokenTime time.Duration
		// AnswerTokens is the length of an answer without a bound of its own, in tokens (16).
		AnswerTokens int
		// MemoryPieces is how many pieces of KV cache fit (100).
		MemoryPieces int
		// ColdTime is the length of a cold start, from the start (0).
		ColdTime time.Duration
		// ColdLimit is the most runs that it bears in a cold start; one more crashes it (2).
		ColdLimit int
		// CrashTime is how long it stays away after a crash (1 s).
		CrashTime time.Duration
		// ReportLag is the age of its load reports (0).
		ReportLag time.Duration
		// ChecksFencing says that it refuses orders with an old fencing number.
		ChecksFencing bool
		// WeightStore is the ip:port of the weight store; empty means that a load takes 2 s.
		WeightStore string
	}

	// Engine is safe for concurrent use.
	Engine struct {
		opts   Options
		faults *fault.Switch

		mu        sync.Mutex
		startID   string
		started   time.Time
		version   string
		fencing   uint64
		memory    *memory
		runs      map[string]*activeRun
		downUntil time.Time
		isLeaving bool
		loading   int
		reports   []report
		queue     *prefillQueue
		stats     Stats
	}

	// Stats is what an engine has done.
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

// New returns an engine that has just started.
func New(opts Options, faults *fault.Switch) *Engine {
	opts = opts.withDefaults()
	en := &Engine{
		opts:    opts,
		faults:  faults,
		version: opts.Version,
		runs:    make(map[string]*activeRun),
		queue:   newPrefillQueue(opts.Clock, opts.PrefillRate),
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

// Stats returns what the engine has done.
func (en *Engine) Stats() Stats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.stats
}

// Crash ends every run and starts the engine anew after its crash time.
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
	en.started = en.opts.Clock.Now()
	if en.downUntil.After(en.started) {
		en.started = en.downUntil
	}
	en.memory = newMemory(en.opts.MemoryPieces)
	en.reports = nil
}

func (en *Engine) isCold(now time.Time) bool {
	return now.Sub(en.started) < en.opts.ColdTime
}

// begin admits a run. ok is false if the engine crashed of it.
func (en *Engine) begin(id, prompt string, conn net.Conn, cancel context.CancelFunc) bool {
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
	if text := en.faults.Now().CrashOn; text != "" && strings.Contains(prompt, text) {
		en.crash()
		return false
	}
	return true
}

func (en *Engine) end(id string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	delete(en.runs, id)
}
