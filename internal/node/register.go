package node

import (
	"context"
	"encoding/json"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/metastore"
)

// keep registers the host in the metadata store, so that others find it.
func (no *Node) keep(ctx context.Context) {
	var lease uint64
	value, err := json.Marshal(hostItem{Zone: no.st.Zone, Weight: no.st.Weight, Address: no.exchange.Address()})
	if err != nil {
		no.log.WithField("cause", err.Error()).Error("Host's item is not valid.")
		return
	}
	for {
		asked := clock.Boot()
		if lease == 0 {
			if lease, err = no.wo.Store.Grant(ctx, registeredFor); err == nil {
				_, err = no.wo.Store.Commit(ctx, metastore.Transaction{
					Puts: []metastore.Put{{Key: prefixHosts + no.st.Name, Value: value, Lease: lease}},
				})
			}
		} else {
			err = no.wo.Store.Renew(ctx, lease)
		}
		switch {
		case err == nil:
			no.registered.Store(int64(asked + registeredFor - registeredMargin))
		case metastore.IsLeaseEnded(err):
			lease = 0
		}
		select {
		case <-ctx.Done():
			if lease != 0 {
				// The lease ends by itself if this call fails.
				_ = no.wo.Store.Revoke(context.WithoutCancel(ctx), lease)
			}
			return
		case <-no.ck.After(keepEvery):
		}
	}
}

// isRegistered reports whether the other hosts know of this one. It must have seen its own item, and
// with it all gates from before.
func (no *Node) isRegistered() bool {
	return int64(clock.Boot()) < no.registered.Load() && no.state.knows(no.st.Name)
}
