package slot

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// MethodTake is the peer method that requests a slot from the owner.
	MethodTake = "slot-take"
	// MethodRelease is the peer method that releases a slot at the owner.
	MethodRelease = "slot-release"
)

type (
	// Caller sends calls, and notifications without a response, to the host at an address.
	Caller interface {
		Call(ctx context.Context, address, method string, params, result any) error
		Notify(ctx context.Context, address, method string, params any) error
	}

	// Owners returns the host that owns an endpoint. isSelf means that it is this host.
	Owners interface {
		EndpointOwner(endpoint string) (address string, isSelf bool)
	}

	// Confirm fetches the load report of an endpoint and passes it to Table.Observe.
	Confirm func(ctx context.Context, endpoint string)

	// LimitsOf returns the limits of an endpoint.
	LimitsOf func(endpoint string) Limits

	// Desk requests slots from the owners of endpoints, and serves the requests for the endpoints
	// that this host owns. It is safe for concurrent use.
	Desk struct {
		table    *Table
		owners   Owners
		caller   Caller
		limitsOf LimitsOf
		// confirm is called when the table returns Unconfirmed.
		confirm Confirm
	}
)

// maxAcquireAttempts limits the attempts to acquire a slot, with a confirmation after each
// attempt that returns Unconfirmed.
const maxAcquireAttempts = 3

// NewDesk returns an instance that serves requests from table, which holds the slots of the
// endpoints that this host owns.
func NewDesk(table *Table, owners Owners, caller Caller, limits LimitsOf, confirm Confirm) *Desk {
	return &Desk{table: table, owners: owners, caller: caller, limitsOf: limits, confirm: confirm}
}

// Take requests a slot from the owner. An error means that the owner did not respond; the endpoint
// must not be used then, because it may have restarted and be in cold start.
func (dk *Desk) Take(ctx context.Context, ask Ask) (Answer, error) {
	address, isSelf := dk.owners.EndpointOwner(ask.Endpoint)
	if isSelf {
		return dk.acquire(ctx, ask), nil
	}
	var ans Answer
	err := dk.caller.Call(ctx, address, MethodTake, ask, &ans)
	return ans, err
}

// Release releases a slot at the owner. A failure is ignored, because the owner reclaims the slot
// when its grant expires.
func (dk *Desk) Release(ctx context.Context, rl Release) {
	address, isSelf := dk.owners.EndpointOwner(rl.Endpoint)
	if isSelf {
		dk.table.Release(rl, dk.limitsOf(rl.Endpoint))
		return
	}
	_ = dk.caller.Notify(ctx, address, MethodRelease, rl)
}

// HandleTake serves the slot request of another host. It returns NotOwner if this host, by its own
// membership view, does not own the endpoint.
func (dk *Desk) HandleTake(ctx context.Context, params json.RawMessage) (any, error) {
	var ask Ask
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, errors.Wrap(err, "slot: take")
	}
	if _, isSelf := dk.owners.EndpointOwner(ask.Endpoint); !isSelf {
		return Answer{Reason: NotOwner}, nil
	}
	return dk.acquire(ctx, ask), nil
}

// HandleRelease releases a slot for another host.
func (dk *Desk) HandleRelease(_ context.Context, params json.RawMessage) (any, error) {
	var rl Release
	if err := json.Unmarshal(params, &rl); err != nil {
		return nil, errors.Wrap(err, "slot: release")
	}
	dk.table.Release(rl, dk.limitsOf(rl.Endpoint))
	return struct{}{}, nil
}

func (dk *Desk) acquire(ctx context.Context, ask Ask) Answer {
	var ans Answer
	for range maxAcquireAttempts {
		ans = dk.table.Take(ask, dk.limitsOf(ask.Endpoint))
		if ans.Reason != Unconfirmed {
			break
		}
		dk.confirm(ctx, ask.Endpoint)
	}
	return ans
}
