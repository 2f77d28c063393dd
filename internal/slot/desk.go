package slot

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// MethodTake is Take at the owner.
	MethodTake = "slot-take"
	// MethodRelease is Release at the owner.
	MethodRelease = "slot-release"
)

type (
	// Caller calls a method of the host at an address, or tells it something without an answer.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
		Notify(ctx context.Context, address, method string, params any) error
	}

	// Owners finds the host that owns an endpoint. isSelf means this host.
	Owners interface {
		EndpointOwner(endpoint string) (address string, isSelf bool)
	}

	// Confirm asks an endpoint for its report and takes it into the table.
	Confirm func(ctx context.Context, endpoint string)

	// LimitsOf returns the bounds of an endpoint.
	LimitsOf func(endpoint string) Limits

	// Desk asks the owner of an endpoint for places, and answers for the endpoints that this host
	// owns. It is safe for concurrent use.
	Desk struct {
		table  *Table
		owners Owners
		caller Caller
		limits LimitsOf
		// confirm is called when the table must see an endpoint again.
		confirm Confirm
	}
)

// confirmTries is how often a place is asked for anew after the endpoint was seen again.
const confirmTries = 3

// NewDesk returns a desk over this host's own table.
func NewDesk(table *Table, owners Owners, caller Caller, limits LimitsOf, confirm Confirm) *Desk {
	return &Desk{table: table, owners: owners, caller: caller, limits: limits, confirm: confirm}
}

// Take asks the owner for a place. An error means that the owner gave no answer; the endpoint
// must not be used then, because it may have turned cold.
func (dk *Desk) Take(ctx context.Context, ask Ask) (Answer, error) {
	address, isSelf := dk.owners.EndpointOwner(ask.Endpoint)
	if isSelf {
		return dk.take(ctx, ask), nil
	}
	var ans Answer
	err := dk.caller.Call(ctx, address, MethodTake, ask, &ans)
	return ans, err
}

// Release gives a place back to the owner. A failure is ignored: the owner takes the place back
// when its term has passed.
func (dk *Desk) Release(ctx context.Context, rl Release) {
	address, isSelf := dk.owners.EndpointOwner(rl.Endpoint)
	if isSelf {
		dk.table.Release(rl, dk.limits(rl.Endpoint))
		return
	}
	_ = dk.caller.Notify(ctx, address, MethodRelease, rl)
}

// HandleTake answers another host. A host that does not own the endpoint, by what it knows,
// gives no place.
func (dk *Desk) HandleTake(ctx context.Context, params json.RawMessage) (any, error) {
	var ask Ask
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "slot: take")
	}
	if _, isSelf := dk.owners.EndpointOwner(ask.Endpoint); !isSelf {
		return Answer{Reason: NotOwner}, nil
	}
	return dk.take(ctx, ask), nil
}

// HandleRelease takes a place back from another host.
func (dk *Desk) HandleRelease(_ context.Context, params json.RawMessage) (any, error) {
	var rl Release
	if err := json.Unmarshal(params, &rl); err != nil {
		return nil, errors.Wrap(err, "slot: release")
	}
	dk.table.Release(rl, dk.limits(rl.Endpoint))
	return struct{}{}, nil
}

func (dk *Desk) take(ctx context.Context, ask Ask) Answer {
	var ans Answer
	for range confirmTries {
		ans = dk.table.Take(ask, dk.limits(ask.Endpoint))
		if ans.Reason != Unconfirmed {
			break
		}
		dk.confirm(ctx, ask.Endpoint)
	}
	return ans
}
