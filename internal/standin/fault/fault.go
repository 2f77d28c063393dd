// Package fault lets a stand-in fail on order, at run time.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
)

type (
	// Set is the faults that are switched on. The zero value is none.
	Set struct {
		// Down closes each connection without an answer.
		Down bool `json:"down,omitempty"`
		// DelayMs delays each answer.
		DelayMs int `json:"delay-ms,omitempty"`
		// LoseAnswers carries requests out and then closes the connection without an answer.
		LoseAnswers bool `json:"lose-answers,omitempty"`
		// SilenceOpen makes the connections that are open now silent for good; new ones work.
		SilenceOpen bool `json:"silence-open,omitempty"`
		// Corrupt damages the pieces that a store host serves.
		Corrupt bool `json:"corrupt,omitempty"`
		// CutExports ends each write to a store host half way.
		CutExports bool `json:"cut-exports,omitempty"`
		// CutAfter closes an engine's stream after this many tokens; zero means never.
		CutAfter int `json:"cut-after,omitempty"`
		// SilentAfter makes an engine's stream silent after this many tokens; zero means never.
		SilentAfter int `json:"silent-after,omitempty"`
		// DropEndMark closes an engine's stream after the last token and before the end mark.
		DropEndMark bool `json:"drop-end-mark,omitempty"`
		// CrossIDs gives an engine's events the identifier of another run.
		CrossIDs bool `json:"cross-ids,omitempty"`
		// CrashOn makes an engine crash on a prompt that contains this text.
		CrashOn string `json:"crash-on,omitempty"`
	}

	// Switch holds the faults of one stand-in. Its zero value has none. It is safe for concurrent
	// use.
	Switch struct {
		mu          sync.Mutex
		set         Set
		silentSince time.Time
	}
)

// Path is where a stand-in takes its faults, as a JSON object that replaces all earlier ones.
const Path = "/faults"

// Now returns the faults that are switched on.
func (sw *Switch) Now() Set {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.set
}

// Apply replaces the faults.
func (sw *Switch) Apply(set Set) {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.set = set
	sw.silentSince = time.Time{}
	if set.SilenceOpen {
		sw.silentSince = clock.System().Now()
	}
}

// Wrap returns a handler that applies the faults common to all stand-ins before and after h, and
// that takes new faults at Path.
func (sw *Switch) Wrap(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(fc *fasthttp.RequestCtx) {
		if string(fc.Path()) == Path {
			sw.serve(fc)
			return
		}
		set := sw.Now()
		if sw.isSilent(fc.ConnTime()) {
			sw.hang(fc)
			return
		}
		if set.Down {
			drop(fc)
			return
		}
		<-clock.System().After(time.Duration(set.DelayMs) * time.Millisecond)
		h(fc)
		if set.LoseAnswers {
			drop(fc)
		}
	}
}

func (sw *Switch) serve(fc *fasthttp.RequestCtx) {
	var set Set
	if err := json.Unmarshal(fc.PostBody(), &set); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	sw.Apply(set)
}

func (sw *Switch) isSilent(opened time.Time) bool {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return opened.Before(sw.silentSince)
}

// hang reads until the other side gives up, and never answers.
func (sw *Switch) hang(fc *fasthttp.RequestCtx) {
	buf := make([]byte, 1)
	_ = fc.Conn().SetReadDeadline(time.Time{})
	for {
		if _, err := fc.Conn().Read(buf); err != nil {
			break
		}
	}
	drop(fc)
}

// drop closes the connection without an answer.
func drop(fc *fasthttp.RequestCtx) {
	fc.SetConnectionClose()
	_ = fc.Conn().Close()
}
