package store_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/standin/raw"
	"github.com/bergamotway/bergamotway/internal/store"
)

func TestLookupWithoutEndIsCut(t *testing.T) {
	en, err := raw.NewEndless("HTTP/1.1 200 OK\r\n\r\n{", strings.Repeat(" ", 1<<14))
	require.NoError(t, err)
	t.Cleanup(func() { _ = en.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = store.NewClient(connection.NewDialer(connection.Options{})).Lookup(ctx, en.Address(), []string{"piece"})
	require.NoError(t, ctx.Err(), "ended by the context")
	var tooLarge *connection.SizeError
	require.ErrorAs(t, err, &tooLarge)
}
