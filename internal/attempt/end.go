package attempt

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const errEndedWithStart = startError("the response ended with its connection, and the endpoint has ended")

// witnessDelay is how long after the end of an answer other connections are looked at. The kernel of a process that is killed
// closes them all, one after the other.
const witnessDelay = 20 * time.Millisecond

// EndEvidence is what shows that an answer is whole.
type EndEvidence string

const (
	// Delimited means that the answer has a length or chunks.
	Delimited EndEvidence = "length-or-chunks"
	// OtherConnection means that an older connection to the endpoint outlived the one that ended the answer.
	OtherConnection EndEvidence = "other-connection"
	// SameStart means that the endpoint was asked after the end, and still is the same start.
	SameStart EndEvidence = "same-start"
	// StillAnswering means that the endpoint answered after the end, but does not say which start it is.
	StillAnswering EndEvidence = "still-answering"
)

// openConns holds the open connections to each target.
type openConns struct {
	mu    sync.Mutex
	conns map[Target]map[*conn]struct{}
}

func (oc *openConns) add(target Target, cn *conn) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	if oc.conns == nil {
		oc.conns = make(map[Target]map[*conn]struct{})
	}
	if oc.conns[target] == nil {
		oc.conns[target] = make(map[*conn]struct{})
	}
	oc.conns[target][cn] = struct{}{}
	cn.onClose = func() { oc.remove(target, cn) }
}

func (oc *openConns) remove(target Target, cn *conn) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	delete(oc.conns[target], cn)
	if len(oc.conns[target]) == 0 {
		delete(oc.conns, target)
	}
}

// countOpenedBy counts the connections to a target, other than except, that were opened by the time t: those that are open, and
// those that the endpoint has closed.
func (oc *openConns) countOpenedBy(target Target, except *conn, t time.Time) (open, closed int) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	for cn := range oc.conns[target] {
		switch {
		case cn == except || cn.establishedAt.After(t):
		case isEstablished(cn.Conn):
			open++
		default:
			closed++
		}
	}
	return open, closed
}

// Close closes the connection.
func (cn *conn) Close() error {
	if cn.onClose != nil {
		cn.onClose()
	}
	return cn.Conn.Close()
}

// IsDelimited reports whether the end of the body is marked by something else than the end of the connection.
func (rs *Response) IsDelimited() bool { return rs.method == http.MethodHead || rs.hasDelimitedBody() }

// ConfirmEnd tells, once Read has returned io.EOF, what shows that the response is whole. A process that is killed ends its
// connections like one that has finished, so a response that ends with its connection is whole only if the endpoint lives on. It
// fails with a *BrokenError if the endpoint has ended, or does not answer in time when it is asked.
func (rs *Response) ConfirmEnd(ctx context.Context) (EndEvidence, error) {
	if rs.IsDelimited() {
		return Delimited, nil
	}
	po := rs.pool
	if open, _ := po.open.countOpenedBy(rs.target, rs.conn, rs.openAt); open > 0 {
		select {
		case <-po.opts.Clock.After(witnessDelay):
		case <-ctx.Done():
			return "", rs.BrokenError(ctx.Err())
		}
		// One that is closed may be the next of all.
		if open, closed := po.open.countOpenedBy(rs.target, rs.conn, rs.openAt); open > 0 && closed == 0 {
			return OtherConnection, nil
		}
	}
	switch state, err := po.CheckStart(ctx, rs.target); {
	case state == StartAlive:
		return SameStart, nil
	case state == StartEnded:
		return "", rs.BrokenError(errEndedWithStart)
	case errors.Is(err, errNoStart):
		// Between an end and the next start at the address, connections are refused.
		return StillAnswering, nil
	default:
		return "", rs.BrokenError(errors.Wrap(err, "the response ended with its connection, and the endpoint does not say whether it lives"))
	}
}

// noteOpen records that the endpoint had not closed the connection of a response without a length yet.
func (rs *Response) noteOpen() {
	if rs.IsDelimited() {
		return
	}
	if now := rs.pool.opts.Clock.Now(); isEstablished(rs.conn.Conn) {
		rs.openAt = now
	}
}
