package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/quarantine"
	"github.com/bergamotway/bergamotway/internal/verdicts"
)

const verdictPrefix = "bergamotway/quarantine/"

func TestItemsOfOperatorBlockAndClearPart(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, 2, 0)
	env.writeConfiguration()
	no := env.startReadyHost("host-1")
	env.awaitStatus(no, "/note/1", promptHeaders(), http.StatusOK)
	value, err := verdicts.Encode(quarantine.Verdict{Part: "bb02", Strikes: 5, LastCrash: time.Now(), ByOperator: true})
	require.NoError(t, err)
	key := verdicts.Key(verdictPrefix, "bb02")
	env.store.PutBytes(key, value)
	env.awaitStatus(no, "/note/1", promptHeaders(), http.StatusServiceUnavailable)
	env.store.Remove(key)
	env.awaitStatus(no, "/note/1", promptHeaders(), http.StatusOK)
	require.Nil(t, env.store.Value(key))
}
