package booking

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bergamotway/bergamotway/internal/service"
)

const (
	// MethodBegin calls Begin on the owner of a range.
	MethodBegin = "booking-begin"
	// MethodFinish calls Finish on the owner of a range.
	MethodFinish = "booking-finish"
	// MethodRelease calls Release on the owner of a range.
	MethodRelease = "booking-release"
)

type (
	// Caller calls methods of other hosts.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
	}

	// Owners returns the address of the host that owns a name; an empty address means this host.
	Owners interface {
		OwnerOf(name string) (address string)
	}

	// Router forwards calls to the owner of their range, so that one host can combine many records in
	// one write. If the call to the owner fails, this host writes the record itself. Ownership only
	// reduces the number of writes and is not needed for correctness.
	Router struct {
		ledger *Ledger
		owners Owners
		caller Caller
	}

	// finishParams are the parameters of MethodFinish.
	finishParams struct {
		Attempt  Attempt          `json:"request"`
		Response service.Response `json:"answer"`
	}
)

// NewRouter returns a Router that uses ledger, the ledger of this host, for the ranges that this host
// owns and for calls to other owners that fail.
func NewRouter(ledger *Ledger, owners Owners, caller Caller) *Router {
	return &Router{ledger: ledger, owners: owners, caller: caller}
}

// Begin calls Ledger.Begin on the owner of the range. If the verdict is Proceed, the intent of the
// returned attempt is durable. If the call to the owner fails, this host releases the first attempt, so that
// it is never dispatched, and begins a second one with a new AttemptID.
func (ro *Router) Begin(ctx context.Context, att Attempt) (Decision, Attempt, error) {
	var d Decision
	address := ro.owners.OwnerOf(RangeName(RangeOf(att.BookingID)))
	if address == "" {
		d, err := ro.ledger.Begin(ctx, att)
		return d, att, err
	}
	if ro.caller.Call(ctx, address, MethodBegin, att, &d) == nil {
		return d, att, nil
	}
	if err := ro.ledger.Release(ctx, att); err != nil {
		return Decision{}, att, err
	}
	att.AttemptID = uuid.NewString()
	d, err := ro.ledger.Begin(ctx, att)
	return d, att, err
}

// Finish calls Ledger.Finish on the owner of the range.
func (ro *Router) Finish(ctx context.Context, att Attempt, rsp service.Response) error {
	if ro.forward(ctx, att.BookingID, MethodFinish, finishParams{Attempt: att, Response: rsp}, nil) {
		return nil
	}
	return ro.ledger.Finish(ctx, att, rsp)
}

// Release calls Ledger.Release on the owner of the range.
func (ro *Router) Release(ctx context.Context, att Attempt) error {
	if ro.forward(ctx, att.BookingID, MethodRelease, att, nil) {
		return nil
	}
	return ro.ledger.Release(ctx, att)
}

// Get returns the latest record of a booking with its response.
func (ro *Router) Get(ctx context.Context, id string) (Record, error) {
	rec, err := ro.ledger.Get(ctx, id)
	if err != nil {
		return rec, err
	}
	rec.Response, err = ro.ledger.LoadResponse(ctx, rec)
	return rec, err
}

// Handlers returns the methods that this host serves as the owner of a range, by name.
func (ro *Router) Handlers() map[string]func(context.Context, json.RawMessage) (any, error) {
	return map[string]func(context.Context, json.RawMessage) (any, error){
		MethodBegin: func(ctx context.Context, params json.RawMessage) (any, error) {
			var att Attempt
			if err := json.Unmarshal(params, &att); err != nil {
				return nil, errors.Wrap(err, "booking: begin")
			}
			return ro.ledger.Begin(ctx, att)
		},
		MethodFinish: func(ctx context.Context, params json.RawMessage) (any, error) {
			var fp finishParams
			if err := json.Unmarshal(params, &fp); err != nil {
				return nil, errors.Wrap(err, "booking: finish")
			}
			return struct{}{}, ro.ledger.Finish(ctx, fp.Attempt, fp.Response)
		},
		MethodRelease: func(ctx context.Context, params json.RawMessage) (any, error) {
			var att Attempt
			if err := json.Unmarshal(params, &att); err != nil {
				return nil, errors.Wrap(err, "booking: release")
			}
			return struct{}{}, ro.ledger.Release(ctx, att)
		},
	}
}

// forward calls a method on the owner of a booking's range and reports whether that succeeded. It returns
// false if this host is the owner. After a failure this host can safely repeat the operation, because the
// parameters identify the attempt.
func (ro *Router) forward(ctx context.Context, id, method string, params, out any) bool {
	address := ro.owners.OwnerOf(RangeName(RangeOf(id)))
	if address == "" {
		return false
	}
	return ro.caller.Call(ctx, address, method, params, out) == nil
}
