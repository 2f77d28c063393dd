package attempt

import (
	"context"
	"time"
)

const (
	// aliveTime is how long a start that has answered is trusted while the host does not learn of new ones. A break of a
	// connection ends it at once.
	aliveTime = 2 * time.Second
	// noticeTime is how long after the end of a start the host may take to notice that a connection to it broke.
	noticeTime = 500 * time.Millisecond
	// maxVerifications bounds the connections on which a start is verified for one request.
	maxVerifications = 3
)

type (
	// StartNeed is what a request needs of the start that it is sent to.
	StartNeed int

	// moment orders what happens to the connections of a pool.
	moment uint64

	// trust is whether connections that are opened to a target reach the start that it names. The zero value trusts it.
	trust struct {
		// doubtedAt is the last moment at which something showed that the start may have ended; zero if it has answered since.
		// firstDoubtAt and firstDoubt are the moment and the time of the first such since it answered.
		doubtedAt, firstDoubtAt moment
		firstDoubt              time.Time
		// askedAt is the moment at which the last question that it answered began, and aliveAt its time.
		askedAt moment
		aliveAt time.Time
	}
)

const (
	// AnyStart is for requests that may run at whichever start answers.
	AnyStart StartNeed = iota
	// KnownStart is for requests that are not sent if another start answers.
	KnownStart
	// VerifiedStart is for requests that are sent only on connections since whose opening the start has answered. While it is not in
	// doubt it is asked, too, since another may answer before anything shows that this one has ended; without an answer that says
	// which start it is, the connection is used then.
	VerifiedStart
)

// doubt notes that the start may have ended.
func (tr *trust) doubt(at moment, now time.Time) {
	if tr.doubtedAt == 0 {
		tr.firstDoubtAt, tr.firstDoubt = at, now
	}
	tr.doubtedAt = at
}

// holds reports whether a connection that is opened now reaches the start.
func (tr trust) holds(isConfirmed bool, now time.Time) bool {
	return tr.doubtedAt == 0 && (isConfirmed || (tr.askedAt > 0 && now.Sub(tr.aliveAt) < aliveTime))
}

// IsStartKnown reports whether the response comes from the start that the target names, as far as the host can know.
func (rs *Response) IsStartKnown() bool {
	return (rs.conn.isTrusted && !rs.isOpenedBeforeDoubt()) || rs.IsStartVerified()
}

// ConfirmStart is IsStartKnown, but asks the endpoint if something showed right after the connection was opened that the start may
// have ended before. It takes as long as two checks at most.
func (rs *Response) ConfirmStart() bool {
	if !rs.IsStartKnown() && rs.conn.isTrusted {
		// The answer is noted for the connections to the target.
		_, _ = rs.pool.CheckStart(context.Background(), rs.target)
	}
	return rs.IsStartKnown()
}

// isOpenedBeforeDoubt reports whether the start may have ended before the connection was opened, although that was noticed later.
func (rs *Response) isOpenedBeforeDoubt() bool {
	rs.pool.mu.Lock()
	defer rs.pool.mu.Unlock()
	tc := rs.pool.targets[rs.target]
	if tc == nil || !rs.pool.canAsk(rs.target) || rs.conn.isVerified {
		return false
	}
	tr := &tc.trust
	return tr.doubtedAt > 0 && tr.firstDoubtAt > rs.conn.openedAt && tr.firstDoubt.Sub(rs.conn.openedTime) < noticeTime
}

// IsStartVerified reports whether that start has answered since the connection was opened.
func (rs *Response) IsStartVerified() bool { return rs.pool.isVerified(rs.target, rs.conn) }

// tick returns a new moment. The caller holds the lock.
func (po *Pool) tick() moment {
	po.now++
	return po.now
}

// canAsk reports whether an answer of a target could be compared with its start. Otherwise each connection counts as one to it.
func (po *Pool) canAsk(target Target) bool {
	return target.StartTimeMs != 0 && po.opts.StartCodec != nil
}

func (po *Pool) isConfirmed() bool { return po.opts.IsConfirmed == nil || po.opts.IsConfirmed() }

// doubt notes that the start of a target may have ended.
func (po *Pool) doubt(target Target) {
	po.mu.Lock()
	defer po.mu.Unlock()
	po.conns(target).trust.doubt(po.tick(), po.opts.Clock.Now())
}

// beginQuestion returns the moment and the time at which a question begins.
func (po *Pool) beginQuestion() (moment, time.Time) {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.tick(), po.opts.Clock.Now()
}

// noteStart notes the answer to a question. A doubt that arose after the question began stays.
func (po *Pool) noteStart(target Target, state StartState, askedAt moment, at time.Time) {
	if state == StartUnknown {
		return
	}
	if state == StartEnded {
		po.doubt(target)
		return
	}
	po.mu.Lock()
	defer po.mu.Unlock()
	tr := &po.conns(target).trust
	if askedAt > tr.askedAt {
		tr.askedAt, tr.aliveAt = askedAt, at
	}
	if tr.doubtedAt < askedAt {
		tr.doubtedAt = 0
	}
}

// acquireAtStart returns a connection to the start of a target as far as it is needed.
func (po *Pool) acquireAtStart(ctx context.Context, target Target, need StartNeed, limit int) (*conn, error) {
	var cause error
	hasAsked := false
	for range maxVerifications {
		cn, err := po.acquire(ctx, target, limit)
		// A start that is not in doubt need not say which it is.
		if err != nil || po.suffices(target, cn, need) || (hasAsked && cn.isTrusted) {
			return cn, err
		}
		var (
			state     StartState
			canBeUsed bool
			isFresh   = cn.requests == 0
		)
		state, canBeUsed, cause = po.verify(ctx, target, cn)
		hasAsked = true
		switch {
		case state == StartEnded:
			po.release(target, cn, false)
			return nil, &NotSentError{target: target, cause: &OtherStartError{}}
		case canBeUsed && (state == StartAlive || need == KnownStart || cn.isTrusted):
			return cn, nil
		}
		po.release(target, cn, false)
		// A connection that was idle may have ended, and one whose answer ends it has shown that the start is alive.
		if ctx.Err() != nil || (state == StartUnknown && isFresh && !cn.isTrusted) {
			break
		}
	}
	if cause == nil {
		cause = errNoStart
	}
	return nil, &NotSentError{target: target, cause: &unverifiedError{cause: cause}}
}

// suffices reports whether a connection is to the start of a target as far as it is needed.
func (po *Pool) suffices(target Target, cn *conn, need StartNeed) bool {
	switch need {
	case AnyStart:
		return true
	case KnownStart:
		return cn.isTrusted || cn.isVerified
	case VerifiedStart:
	}
	return !po.canAsk(target) || po.isVerified(target, cn)
}

// isVerified reports whether the start of a target has answered since a connection to it was opened.
func (po *Pool) isVerified(target Target, cn *conn) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	tc := po.targets[target]
	return cn.isVerified || (tc != nil && tc.trust.askedAt > cn.openedAt)
}

// verify asks the endpoint on a connection which start it is. It reports whether the connection can carry a request afterwards.
func (po *Pool) verify(ctx context.Context, target Target, cn *conn) (state StartState, canBeUsed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, startCheckTimeout)
	defer cancel()
	askedAt, at := po.beginQuestion()
	cn.requests++
	state, canBeUsed, err = po.askStart(ctx, cn, target)
	po.noteStart(target, state, askedAt, at)
	cn.isVerified = state == StartAlive
	return state, canBeUsed, err
}
