// Package unread bounds what a host holds for clients that do not read their responses.
package unread

import (
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
)

const (
	// blockedTime is the time from which a write counts as blocked.
	blockedTime = 250 * time.Millisecond
	// checkInterval is the least time between two checks of all writes.
	checkInterval = 100 * time.Millisecond
	// responseBytes is what a response takes besides the bytes that are held for it: buffers and stacks.
	responseBytes = 32 << 10
)

type (
	// Budget bounds what the host holds for all clients together that do not read. Past the bound it cuts the slowest. It is safe for
	// concurrent use.
	Budget struct {
		ck    clock.Clock
		limit int64

		mu sync.Mutex
		// writing holds the responses of which a write is in progress.
		writing   map[*Response]struct{}
		checkedAt time.Time
	}

	// Response is a response to one client. Its writer calls its methods in one goroutine.
	Response struct {
		budget *Budget
		caller string
		cut    func()
		// The following are guarded by the budget's lock while a write is in progress.
		held    int64
		since   time.Time
		isCut   bool
		longest time.Duration
	}
)

// New returns a budget of limit bytes; zero means no bound.
func New(ck clock.Clock, limit int64) *Budget {
	return &Budget{ck: ck, limit: limit, writing: make(map[*Response]struct{})}
}

// Begin returns a response for a caller. Cut makes a write in progress fail at once; it may be called from another goroutine, only between
// BeginWrite and EndWrite.
func (bu *Budget) Begin(caller string, cut func()) *Response {
	return &Response{budget: bu, caller: caller, cut: cut}
}

// BeginWrite states that a write begins, while the host holds so many bytes for the client.
func (re *Response) BeginWrite(held int64) {
	bu := re.budget
	now := bu.ck.Now()
	bu.mu.Lock()
	defer bu.mu.Unlock()
	re.held, re.since, re.isCut = held+responseBytes, now, false
	bu.writing[re] = struct{}{}
	bu.check(now)
}

// Check cuts the slowest if the bound has been reached. A write that begins does so, too; others call it where memory is short.
func (bu *Budget) Check() {
	now := bu.ck.Now()
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.check(now)
}

// check checks all writes, if it is time. The caller holds the lock.
func (bu *Budget) check(now time.Time) {
	if bu.limit > 0 && now.Sub(bu.checkedAt) >= checkInterval {
		bu.checkedAt = now
		bu.cutSlowest(now)
	}
}

// EndWrite states that the write has ended.
func (re *Response) EndWrite() {
	bu := re.budget
	bu.mu.Lock()
	defer bu.mu.Unlock()
	re.longest = max(re.longest, bu.ck.Now().Sub(re.since))
	delete(bu.writing, re)
}

// IsCut reports whether the last write was cut so that others have room.
func (re *Response) IsCut() bool { return re.isCut }

// ResetLongestWrite states that what follows comes from another endpoint.
func (re *Response) ResetLongestWrite() { re.longest = 0 }

// LongestWrite returns the time that the longest write since the last reset took.
func (re *Response) LongestWrite() time.Duration { return re.longest }

// cutSlowest cuts responses until the blocked ones are within the limit. The caller holds the lock.
func (bu *Budget) cutSlowest(now time.Time) {
	var (
		responses []*Response
		blocked   []Blocked
	)
	for re := range bu.writing {
		if wait := now.Sub(re.since); wait >= blockedTime && !re.isCut {
			responses = append(responses, re)
			blocked = append(blocked, Blocked{Caller: re.caller, Bytes: re.held, Wait: wait})
		}
	}
	for _, i := range Victims(blocked, bu.limit) {
		responses[i].isCut = true
		responses[i].cut()
	}
}
