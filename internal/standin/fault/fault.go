// Package fault injects faults into the emulated systems at run time.
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
	// Set holds the active faults. Its zero value has none.
	Set struct {
		// Down closes each connection without a response.
		Down bool `json:"down,omitempty"`
		// DelayMs delays each request before it is handled, in ms.
		DelayMs int `json:"delay-ms,omitempty"`
		// LoseAnswers handles requests and then closes the connection without a response.
		LoseAnswers bool `json:"lose-answers,omitempty"`
		// SilenceOpen stops responses on all connections that are open when the fault is applied;
		// new connections work.
		SilenceOpen bool `json:"silence-open,omitempty"`
		// Corrupt changes the first byte of each piece that a store host serves.
		Corrupt bool `json:"corrupt,omitempty"`
		// CutExports makes an engine abort an export to a store host after half of the data of the
		// first piece.
		CutExports bool `json:"cut-exports,omitempty"`
		// CutAfter closes an engine's stream after this number of tokens; zero means never.
		CutAfter int `json:"cut-after,omitempty"`
		// SilentAfter stalls an engine's stream after this number of tokens; zero means never.
		SilentAfter int `json:"silent-after,omitempty"`
		// DropEndMark closes an engine's stream after the last token, before the finish event.
		DropEndMark bool `json:"drop-end-mark,omitempty"`
		// CrossIDs sends an engine's events with the ID of another run.
		CrossIDs bool `json:"cross-ids,omitempty"`
		// CrashOn crashes an engine on a prompt that contains this text; empty means never.
		CrashOn string `json:"crash-on,omitempty"`
	}

	// Injector holds the active faults of one emulated system. Its zero value has none. It is safe for
	// concurrent use.
	Injector struct {
		mu  sync.Mutex
		set Set
		// silencedAt is the time at which SilenceOpen was set; zero means that it is not set.
		silencedAt time.Time
	}
)

// Path is the URL path to which a Set is sent as a JSON object. It replaces all earlier faults.
const Path = "/faults"

// Active returns the active faults.
func (inj *Injector) Active() Set {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.set
}

// SetFaults replaces the active faults.
func (inj *Injector) SetFaults(set Set) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.set = set
	inj.silencedAt = time.Time{}
	if set.SilenceOpen {
		inj.silencedAt = clock.System().Now()
	}
}

// Wrap returns a handler that applies the faults common to all emulated systems before and after h, and
// accepts new faults at Path.
func (inj *Injector) Wrap(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(fc *fasthttp.RequestCtx) {
		if string(fc.Path()) == Path {
			inj.handleFaults(fc)
			return
		}
		set := inj.Active()
		if inj.isSilenced(fc.ConnTime()) {
			inj.hangUntilClosed(fc)
			return
		}
		if set.Down {
			closeConn(fc)
			return
		}
		<-clock.System().After(time.Duration(set.DelayMs) * time.Millisecond)
		h(fc)
		if set.LoseAnswers {
			closeConn(fc)
		}
	}
}

func (inj *Injector) handleFaults(fc *fasthttp.RequestCtx) {
	var set Set
	if err := json.Unmarshal(fc.PostBody(), &set); err != nil {
		fc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	inj.SetFaults(set)
}

// isSilenced reports whether SilenceOpen applies to a connection that was opened at connTime.
func (inj *Injector) isSilenced(connTime time.Time) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return connTime.Before(inj.silencedAt)
}

// hangUntilClosed discards input until the client closes the connection, and never responds.
func (inj *Injector) hangUntilClosed(fc *fasthttp.RequestCtx) {
	buf := make([]byte, 1)
	_ = fc.Conn().SetReadDeadline(time.Time{})
	for {
		if _, err := fc.Conn().Read(buf); err != nil {
			break
		}
	}
	closeConn(fc)
}

// closeConn closes the connection without a response.
func closeConn(fc *fasthttp.RequestCtx) {
	fc.SetConnectionClose()
	_ = fc.Conn().Close()
}
