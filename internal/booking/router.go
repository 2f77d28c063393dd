package booking

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/service"
)

const (
	// MethodBegin is Begin at the owner of a range.
	MethodBegin = "booking-begin"
	// MethodFinish is Finish at the owner of a range.
	MethodFinish = "booking-finish"
	// MethodRelease is Release at the owner of a range.
	MethodRelease = "booking-release"
)

type (
	// Caller calls a method of the host at an address.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Owners finds the host that owns a name. An empty address means this host.
	Owners interface {
		OwnerOf(name string) (address string)
	}

	// Router sends records to the owner of their range, so that one host gathers many of them
	// into one write. An owner that does not answer is passed over: ownership only saves writes.
	Router struct {
		ledger *Ledger
		owners Owners
		caller Caller
	}

	finishParams struct {
		Request Request        `json:"request"`
		Answer  service.Answer `json:"answer"`
	}
)

// NewRouter returns a router in front of this host's own ledger.
func NewRouter(ledger *Ledger, owners Owners, caller Caller) *Router {
	return &Router{ledger: ledger, owners: owners, caller: caller}
}

// Begin is Ledger.Begin at the owner of the range. On success it returns the request whose intent
// is durable: when the owner gave no answer, the first attempt is released, never dispatched,
// and a second one with a name of its own is recorded by this host.
func (ro *Router) Begin(ctx context.Context, req Request) (Decision, Request, error) {
	var d Decision
	address := ro.owners.OwnerOf(RangeName(RangeOf(req.ID)))
	if address == "" {
		d, err := ro.ledger.Begin(ctx, req)
		return d, req, err
	}
	if ro.caller.Call(ctx, address, MethodBegin, req, &d) == nil {
		return d, req, nil
	}
	if err := ro.ledger.Release(ctx, req); err != nil {
		return Decision{}, req, err
	}
	req.Intent = uuid.NewString()
	d, err := ro.ledger.Begin(ctx, req)
	return d, req, err
}

// Finish is Ledger.Finish at the owner of the range.
func (ro *Router) Finish(ctx context.Context, req Request, ans service.Answer) error {
	if ro.forward(ctx, req.ID, MethodFinish, finishParams{Request: req, Answer: ans}, nil) {
		return nil
	}
	return ro.ledger.Finish(ctx, req, ans)
}

// Release is Ledger.Release at the owner of the range.
func (ro *Router) Release(ctx context.Context, req Request) error {
	if ro.forward(ctx, req.ID, MethodRelease, req, nil) {
		return nil
	}
	return ro.ledger.Release(ctx, req)
}

// Look returns the newest record of a booking, with its answer.
func (ro *Router) Look(ctx context.Context, id string) (Record, error) {
	rec, err := ro.ledger.Look(ctx, id)
	if err != nil {
		return rec, err
	}
	rec.Answer, err = ro.ledger.Answer(ctx, rec)
	return rec, err
}

// Handlers returns the methods that this host answers as an owner.
func (ro *Router) Handlers() map[string]func(context.Context, json.RawMessage) (any, error) {
	return map[string]func(context.Context, json.RawMessage) (any, error){
		MethodBegin: func(ctx context.Context, params json.RawMessage) (any, error) {
			var req Request
			if err := json.Unmarshal(params, &req); err != nil {
				return nil, errors.Wrap(err, "booking: begin")
			}
			return ro.ledger.Begin(ctx, req)
		},
		MethodFinish: func(ctx context.Context, params json.RawMessage) (any, error) {
			var fp finishParams
			if err := json.Unmarshal(params, &fp); err != nil {
				return nil, errors.Wrap(err, "booking: finish")
			}
			return struct{}{}, ro.ledger.Finish(ctx, fp.Request, fp.Answer)
		},
		MethodRelease: func(ctx context.Context, params json.RawMessage) (any, error) {
			var req Request
			if err := json.Unmarshal(params, &req); err != nil {
				return nil, errors.Wrap(err, "booking: release")
			}
			return struct{}{}, ro.ledger.Release(ctx, req)
		},
	}
}

// forward reports whether the owner carried the call out. A repeat at this host is safe, because
// a request carries the identifier of its attempt.
func (ro *Router) forward(ctx context.Context, id, method string, params, out any) bool {
	address := ro.owners.OwnerOf(RangeName(RangeOf(id)))
	if address == "" {
		return false
	}
	return ro.caller.Call(ctx, address, method, params, out) == nil
}
