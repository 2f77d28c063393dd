package node_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/metastore"
)

// refusingStore refuses the first registration of a host.
type refusingStore struct {
	metastore.Store
	refused atomic.Bool
}

func (rs *refusingStore) Commit(ctx context.Context, tx metastore.Transaction) (metastore.Revision, error) {
	if len(tx.Puts) > 0 && strings.HasPrefix(tx.Puts[0].Key, "bergamotway/hosts/") && !rs.refused.Swap(true) {
		return metastore.Revision{}, errors.New("refused")
	}
	return rs.Store.Commit(ctx, tx)
}

// Guards against a host that only renews the lease of a registration that could not be written.
func TestRefusedRegistrationIsWrittenLater(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 0, 0)
	env.writeConfiguration()
	var store *refusingStore
	env.wrapStore = func(st metastore.Store) metastore.Store {
		store = &refusingStore{Store: st}
		return store
	}
	env.startReadyHost("host-0")
	env.awaitHosts(1)
	require.True(t, store.refused.Load())
}
