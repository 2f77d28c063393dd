package attempt

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// startCheckTimeout bounds the check which start of an endpoint answers.
	startCheckTimeout = 300 * time.Millisecond
	// maxStartAnswerBytes bounds the body of the answer.
	maxStartAnswerBytes = 64 << 10
	// maxStartCheckTries bounds the connections of a check. One that is accepted and then breaks may have been waiting at a start
	// that ended.
	maxStartCheckTries = 2
)

type (
	// StartState is what a check found out about a start of an endpoint.
	StartState int

	// StartCodec translates the request that asks an endpoint which start it is, and the answer.
	StartCodec interface {
		// EncodeStartRequest encodes the request, which has no body.
		EncodeStartRequest(target Target) []byte
		// DecodeStart decodes the answer; ok is false if it does not say anything of the start.
		DecodeStart(status int, body []byte) (an StartAnswer, ok bool)
	}

	// StartAnswer is what an endpoint says of its start.
	StartAnswer struct {
		// IsOther reports that another endpoint answered than the one that was asked.
		IsOther bool
		// StartTimeMs is the start time of the endpoint in Unix milliseconds; zero if it does not say one.
		StartTimeMs int64
	}

	// startCheck is a check that one or more callers wait for. The fields are set before done is closed.
	startCheck struct {
		done  chan struct{}
		state StartState
		err   error
	}

	// startChecks holds the running check of a target and the one that follows it; nil if there is none.
	startChecks struct{ running, next *startCheck }
)

const (
	// StartUnknown means that no usable answer arrived in time.
	StartUnknown StartState = iota
	// StartAlive means that the start that the target names answers.
	StartAlive
	// StartEnded means that connections are refused, or that another start or another endpoint answers.
	StartEnded
)

// CheckStart asks an endpoint whether it still is the start that the target names. It takes at most 300 ms; the error says why the
// state is unknown. Callers that wait for the same target share a check that began after they called.
func (po *Pool) CheckStart(ctx context.Context, target Target) (StartState, error) {
	if po.opts.StartCodec == nil {
		return StartUnknown, errNoStartCodec
	}
	sc := po.joinStartCheck(target)
	select {
	case <-sc.done:
		return sc.state, sc.err
	case <-ctx.Done():
		return StartUnknown, ctx.Err()
	}
}

// joinStartCheck returns a check that has not begun yet, and sees that it runs.
func (po *Pool) joinStartCheck(target Target) *startCheck {
	po.mu.Lock()
	defer po.mu.Unlock()
	cs := po.checks[target]
	if cs != nil {
		if cs.next == nil {
			cs.next = &startCheck{done: make(chan struct{})}
		}
		return cs.next
	}
	cs = &startChecks{running: &startCheck{done: make(chan struct{})}}
	po.checks[target] = cs
	go po.runStartChecks(target, cs)
	return cs.running
}

// runStartChecks runs the checks of a target until nobody waits for another.
func (po *Pool) runStartChecks(target Target, cs *startChecks) {
	for {
		sc := cs.running
		askedAt, at := po.beginQuestion()
		sc.state, sc.err = po.checkStart(target)
		po.noteStart(target, sc.state, askedAt, at)
		close(sc.done)
		po.mu.Lock()
		cs.running, cs.next = cs.next, nil
		if cs.running == nil {
			delete(po.checks, target)
			po.mu.Unlock()
			return
		}
		po.mu.Unlock()
	}
}

// checkStart asks over new connections.
func (po *Pool) checkStart(target Target) (StartState, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startCheckTimeout)
	defer cancel()
	var err error
	for try := 0; try < maxStartCheckTries && ctx.Err() == nil; try++ {
		var raw net.Conn
		if raw, err = po.dial(ctx, target, po.opts.DialTimeout); err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				return StartEnded, nil
			}
			// A connection to a listener that ends meanwhile may be reset.
			continue
		}
		cn := newConn(raw, po.opts.Memory)
		var state StartState
		state, _, err = po.askStart(ctx, cn, target)
		closeConn(cn)
		if err == nil || ctx.Err() != nil {
			return state, err
		}
	}
	return StartUnknown, err
}

// askStart asks on a connection that carries no other request. It reports whether the connection can carry one afterwards; the error
// says why the state is unknown.
func (po *Pool) askStart(ctx context.Context, cn *conn, target Target) (state StartState, canBeUsed bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer cn.source.holding.release()
	if _, err := cn.Write(po.opts.StartCodec.EncodeStartRequest(target)); err != nil {
		return StartUnknown, false, err
	}
	rs := &Response{pool: po, target: target, conn: cn, method: http.MethodGet}
	if err := rs.Next(); err != nil {
		return StartUnknown, false, err
	}
	body, err := io.ReadAll(io.LimitReader(rs, maxStartAnswerBytes+1))
	switch {
	case err != nil:
		return StartUnknown, false, err
	case len(body) > maxStartAnswerBytes:
		return StartUnknown, false, errStartAnswerSize
	}
	canBeUsed = stop() && rs.isReusable()
	an, ok := po.opts.StartCodec.DecodeStart(rs.Status, body)
	switch {
	case !ok, an.StartTimeMs == 0 && target.StartTimeMs != 0 && !an.IsOther:
		return StartUnknown, canBeUsed, errNoStart
	case an.IsOther || (target.StartTimeMs != 0 && an.StartTimeMs != target.StartTimeMs):
		return StartEnded, canBeUsed, nil
	}
	return StartAlive, canBeUsed, nil
}
