package slot

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// MethodAcquire is the peer method that requests a slot from the owner.
	MethodAcquire = "slot-take"
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

	// LimitsOf returns the limits of the given endpoint.
	LimitsOf func(endpoint string) Limits

	// Broker requests slots from the owners of endpoints, and serves the requests for the endpoints
	// that this host owns. It is safe for concurrent use.
	Broker struct {
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

// NewBroker returns a Broker that serves requests from table, which holds the slots of the
// endpoints that this host owns.
func NewBroker(table *Table, owners Owners, caller Caller, limits LimitsOf, confirm Confirm) *Broker {
	return &Broker{table: table, owners: owners, caller: caller, limitsOf: limits, confirm: confirm}
}

// Acquire requests a slot from the owner. An error means that the owner did not respond; the endpoint
// must not be used then, because it may have restarted and be in cold start.
func (br *Broker) Acquire(ctx context.Context, req AcquireRequest) (AcquireResponse, error) {
	address, isSelf := br.owners.EndpointOwner(req.Endpoint)
	if isSelf {
		return br.acquire(ctx, req), nil
	}
	var res AcquireResponse
	err := br.caller.Call(ctx, address, MethodAcquire, req, &res)
	return res, err
}

// Release releases a slot at the owner. A failure is ignored, because the owner reclaims the slot
// when its grant expires.
func (br *Broker) Release(ctx context.Context, rl ReleaseRequest) {
	address, isSelf := br.owners.EndpointOwner(rl.Endpoint)
	if isSelf {
		br.table.Release(rl, br.limitsOf(rl.Endpoint))
		return
	}
	_ = br.caller.Notify(ctx, address, MethodRelease, rl)
}

// HandleAcquire serves the slot request of another host. It returns NotOwner if this host, by its own
// membership view, does not own the endpoint.
func (br *Broker) HandleAcquire(ctx context.Context, params json.RawMessage) (any, error) {
	var req AcquireRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "slot: take")
	}
	if _, isSelf := br.owners.EndpointOwner(req.Endpoint); !isSelf {
		return AcquireResponse{Reason: NotOwner}, nil
	}
	return br.acquire(ctx, req), nil
}

// HandleRelease releases a slot for another host.
func (br *Broker) HandleRelease(_ context.Context, params json.RawMessage) (any, error) {
	var rl ReleaseRequest
	if err := json.Unmarshal(params, &rl); err != nil {
		return nil, errors.Wrap(err, "slot: release")
	}
	br.table.Release(rl, br.limitsOf(rl.Endpoint))
	return struct{}{}, nil
}

func (br *Broker) acquire(ctx context.Context, req AcquireRequest) AcquireResponse {
	var res AcquireResponse
	for range maxAcquireAttempts {
		res = br.table.Acquire(req, br.limitsOf(req.Endpoint))
		if res.Reason != Unconfirmed {
			break
		}
		br.confirm(ctx, req.Endpoint)
	}
	return res
}
