package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

// maintainRegistration registers the host in the metadata store, so that its peers find it, and renews
// the lease until ctx ends. Then it removes the registration.
func (no *Node) maintainRegistration(ctx context.Context) {
	var lease uint64
	value, err := json.Marshal(hostRegistration{Zone: no.st.Zone, Weight: no.st.Weight, Address: no.exchange.Address(), Relay: no.relayListener.Addr().String()})
	if err != nil {
		no.log.WithField("cause", err.Error()).Error("Encoding the host's registration failed.")
		return
	}
	isWritten := false
	for {
		requestedAt := clock.SinceBoot()
		switch {
		case lease == 0:
			isWritten = false
			if lease, err = no.deps.Store.Grant(ctx, registrationTTL); err == nil {
				err = no.writeRegistration(ctx, lease, value)
				isWritten = err == nil
			}
		case !isWritten:
			err = no.writeRegistration(ctx, lease, value)
			isWritten = err == nil
		default:
			err = no.deps.Store.Renew(ctx, lease)
		}
		switch {
		case err == nil:
			no.registeredUntil.Store(int64(requestedAt + registrationTTL - registrationMargin))
		case metastore.IsLeaseEnded(err):
			lease = 0
		}
		pause := registrationRenewInterval
		if lease == 0 && metastore.IsLeaseEnded(err) {
			pause = rand.N(maxReregisterDelay)
		}
		select {
		case <-ctx.Done():
			if lease != 0 {
				// The lease expires by itself if this call fails.
				_ = no.deps.Store.Revoke(context.WithoutCancel(ctx), lease)
			}
			return
		case <-no.ck.After(pause):
		case <-no.reregister:
			// The copy may have the lease, and lack the item.
			lease = 0
			select {
			case <-ctx.Done():
			case <-no.ck.After(rand.N(maxReregisterDelay)):
			}
		}
	}
}

// writeRegistration writes the host's registration with a lease.
func (no *Node) writeRegistration(ctx context.Context, lease uint64, value []byte) error {
	_, err := no.deps.Store.Commit(ctx, metastore.Transaction{
		Puts: []metastore.Put{{Key: prefixHosts + no.st.Name, Value: value, Lease: lease}},
	})
	return err
}

// isRegistered reports whether the registration of this host is valid. The host must also have seen its own
// registration in the metadata store, and with it all gates from before.
func (no *Node) isRegistered() bool {
	return int64(clock.SinceBoot()) < no.registeredUntil.Load() && no.storeState.hasHost(no.st.Name)
}
