package gateway

import (
	"context"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

const errRelayedEnd = forwardError("the other host's response ended with its connection")

// confirmEnd fails unless the response whose end has been read is whole.
func (fw *forwarder) confirmEnd(ctx context.Context, rs *attempt.Response) error {
	if fw.isRelayed && !rs.IsDelimited() {
		return rs.BrokenError(errRelayedEnd)
	}
	evidence, err := rs.ConfirmEnd(ctx)
	fw.endEvidence = evidence
	return err
}

// confirmStreamEnd fails unless the stream whose end has been read is whole. One without events may have been ended by an endpoint
// that stops, also if it is delimited.
func (fw *forwarder) confirmStreamEnd(ctx context.Context, rs *attempt.Response, pl plan, begun bool) error {
	if !begun && rs.IsDelimited() && fw.hasEndpointStopped(ctx, pl) {
		return rs.BrokenError(errNoEvent)
	}
	return fw.confirmEnd(ctx, rs)
}

// hasEndpointStopped reports whether the endpoint of an attempt accepts no connections any more.
func (fw *forwarder) hasEndpointStopped(ctx context.Context, pl plan) bool {
	return fw.gw.opts.Pool.RefusesConnections(ctx, pl.target())
}
